//! The model engine: continuous batching, a prefix cache, cold starts, orders and streams.
//!
//! The engine admits what arrives and knows no priorities. All requests that run take one step
//! together; each step yields one token for each of them, and admitting a prompt makes the step
//! longer for all. So a long prompt holds up the streams of others, as it does in a real engine.
//!
//! The number of tokens of an answer is that of the mark `[tokens=N]` in the body, or
//! [`Config::tokens`], but no more than `max_tokens`. Each token carries its number after a hash of
//! the body, such as `1f0c-3 `, or after the text of the mark `[echo=TEXT]` in the body, so that a
//! caller can prove that a whole answer is its own.

mod batch;
mod cache;
mod http;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::batch::Stats;
use self::batch::{Batch, Step};
use crate::fault::Dial;
use crate::server::{Control, Handle, RESTART_MS, Server};
use crate::target::Bad;

/// The settings of a model engine.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens. A free port of loopback by default.
    pub listen: SocketAddr,
    /// The models that it holds. `m` by default.
    pub models: Vec<String>,
    /// The version that it runs. `v1` by default.
    pub version: String,
    /// How many requests it runs at the same time. 8 by default.
    pub slots: u32,
    /// How long a step takes, in milliseconds. 5 by default.
    pub token_ms: u64,
    /// How many prompt tokens it takes in within a millisecond. 20 by default.
    pub prompt_tokens_per_ms: u64,
    /// How many tokens an answer has unless the request says otherwise. 32 by default.
    pub tokens: u64,
    /// How many prefixes its cache holds. 64 by default.
    pub cache_prefixes: usize,
    /// For how many milliseconds after a start it is cold. 0 by default.
    pub cold_ms: u64,
    /// How many requests it can bear at first when it is cold; the number grows to its slots by the
    /// end of the cold time. With more it falls over. 1 by default.
    pub cold_slots: u32,
    /// For how many milliseconds it is down after it fell over. 500 by default.
    pub restart_ms: u64,
    /// Whether it refuses orders with an old fencing number. It does by default.
    pub checks_fence: bool,
    /// Its faults from the start on. None by default.
    pub faults: Faults,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            models: vec!["m".to_owned()],
            version: "v1".to_owned(),
            slots: 8,
            token_ms: 5,
            prompt_tokens_per_ms: 20,
            tokens: 32,
            cache_prefixes: 64,
            cold_ms: 0,
            cold_slots: 1,
            restart_ms: RESTART_MS,
            checks_fence: true,
            faults: Faults::default(),
        }
    }
}

/// What goes wrong with an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// It does not start any request, and says so.
    pub declines: bool,
    /// How far its report lags, in milliseconds.
    pub report_lag_ms: u64,
    /// How late it publishes cache events, in milliseconds.
    pub cache_lag_ms: u64,
    /// Every which cache event it loses; none if zero.
    pub cache_gap_every: u64,
    /// The text in a body that makes it crash when the request is admitted.
    pub crash_marker: Option<String>,
    /// How many answers show another attempt.
    pub crossed_answers: u32,
    /// By how many milliseconds answers come late.
    pub late_ms: u64,
    /// How streams go wrong.
    pub stream: Option<StreamFault>,
    /// How many requests to resume an answer it rejects.
    pub rejected_resumes: u32,
    /// How many requests to resume an answer it runs from the beginning, with other text.
    pub restarted_resumes: u32,
    /// How its version is bad.
    pub bad: Option<Bad>,
    /// How many orders take effect and are never answered.
    pub lost_order_answers: u32,
}

/// How streams go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StreamFault {
    /// What happens.
    pub how: StreamEnd,
    /// After how many tokens of the stream.
    pub after_tokens: u64,
    /// To how many streams it still happens.
    pub times: u32,
}

/// How a stream goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamEnd {
    /// It ends in order, but without its end mark.
    Truncated,
    /// The connection breaks.
    Broken,
    /// Nothing more arrives; the connection stays open.
    Silent,
}

/// The answer to `GET /v1/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The highest fencing number that it has seen.
    pub fence: u64,
    /// The models that it holds.
    pub models: Vec<String>,
    /// The version that it runs.
    pub version: String,
    /// Its role.
    pub role: String,
}

pub(crate) struct Engine {
    cfg: Config,
    faults: Dial<Faults>,
    control: Control,
    batch: Mutex<Batch>,
}

/// Starts a model engine.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn(cfg: Config) -> io::Result<Handle<Faults>> {
    let faults = Dial::new(cfg.faults.clone());
    let engine = Arc::new(Engine {
        faults: faults.clone(),
        control: Control::default(),
        batch: Mutex::new(Batch::new(&cfg)),
        cfg,
    });
    let server = Server {
        listen: engine.cfg.listen,
        faults,
        control: engine.control.clone(),
        app: http::routes(engine.clone()),
    };
    let crashing = engine.clone();
    let on_crash = move |down_for| crashing.batch().restart(&crashing.cfg, down_for);
    server.spawn(on_crash, run(engine)).await
}

impl Engine {
    fn batch(&self) -> MutexGuard<'_, Batch> {
        self.batch
            .lock()
            .expect("no thread panics while it holds this lock")
    }

    /// Goes down, because it was asked for more than it can bear.
    fn fall_over(&self) {
        self.control
            .crash(Duration::from_millis(self.cfg.restart_ms));
    }
}

/// Takes step after step for as long as there is work.
async fn run(engine: Arc<Engine>) {
    let arrived = engine.batch().arrived();
    loop {
        let step = engine.batch().begin_step(&engine.cfg);
        match step {
            Step::Idle => arrived.notified().await,
            Step::Crash => engine.fall_over(),
            Step::Takes(time) => {
                tokio::time::sleep(time).await;
                engine.batch().end_step();
            }
        }
    }
}
