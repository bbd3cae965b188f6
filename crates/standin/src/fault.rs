//! What the faults of all stand-ins have in common: they can be read and replaced while it runs.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::server::{Connection, hang};

/// Faults that can be changed at run time, and since when they hold.
#[derive(Debug)]
pub struct Dial<F>(Arc<Mutex<Setting<F>>>);

#[derive(Debug)]
struct Setting<F> {
    faults: F,
    since: Instant,
}

impl<F> Clone for Dial<F> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<F: Clone> Dial<F> {
    /// Returns faults that hold from now on.
    pub fn new(faults: F) -> Self {
        Self(Arc::new(Mutex::new(Setting {
            faults,
            since: Instant::now(),
        })))
    }

    /// Returns the faults as they stand.
    pub fn get(&self) -> F {
        self.setting().faults.clone()
    }

    /// Returns for how long the faults have stood.
    pub fn age(&self) -> Duration {
        self.setting().since.elapsed()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: F) {
        *self.setting() = Setting {
            faults,
            since: Instant::now(),
        };
    }

    /// Changes the faults in place, for those that count down.
    pub fn update<R>(&self, change: impl FnOnce(&mut F) -> R) -> R {
        change(&mut self.setting().faults)
    }

    fn setting(&self) -> MutexGuard<'_, Setting<F>> {
        self.0
            .lock()
            .expect("no thread panics while it holds this lock")
    }
}

impl<F> Dial<F>
where
    F: Clone + Send + 'static + Serialize + DeserializeOwned,
{
    /// Returns `GET` and `PUT /v1/faults`.
    pub(crate) fn routes(&self) -> Router {
        let (reader, writer) = (self.clone(), self.clone());
        let methods = get(move || async move { Json(reader.get()) }).put(
            move |Json(faults): Json<F>| async move {
                writer.set(faults);
                Json(writer.get())
            },
        );
        Router::new().route("/v1/faults", methods)
    }
}

/// Takes one from a count of faults that are still to happen; `false` if none is left.
pub(crate) fn take(left: &mut u32) -> bool {
    let happens = *left > 0;
    *left -= u32::from(happens);
    happens
}

/// How a service that is out behaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It is not out.
    #[default]
    None,
    /// It answers 503.
    Unavailable,
    /// It never answers.
    Hang,
    /// It closes the connection without an answer.
    Close,
}

impl Outage {
    /// Lets a request through after a delay, or treats it as the outage says.
    ///
    /// # Errors
    ///
    /// Fails with the status of the answer if the request is refused.
    pub(crate) async fn pass(
        self,
        connection: &Connection,
        slow_ms: u64,
    ) -> Result<(), StatusCode> {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        match self {
            Self::None => Ok(()),
            Self::Unavailable => Err(StatusCode::SERVICE_UNAVAILABLE),
            Self::Hang => hang().await,
            Self::Close => connection.close().await,
        }
    }
}
