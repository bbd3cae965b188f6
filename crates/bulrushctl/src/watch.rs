//! Following a version move until it has finished or was taken back.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::args::Watch;
use crate::error::Error;
use crate::http::Client;
use crate::output::Output;
use crate::status;

/// The pause between two looks at the router.
const PAUSE: Duration = Duration::from_millis(500);

/// The part of a router's status that is of interest.
#[derive(Debug, Deserialize)]
struct Status {
    #[serde(default)]
    moves: Vec<Move>,
}

/// A version move as a router sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Move {
    pool: String,
    from: String,
    to: String,
    state: State,
    /// The part of the traffic that goes to the new version, in thousandths.
    #[serde(default)]
    share_permille: u32,
    /// Why it was taken back.
    #[serde(default)]
    reason: Option<String>,
}

/// How far a version move is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Moving,
    Finished,
    TakenBack,
}

/// Prints each step of a version move until it ends.
///
/// # Errors
///
/// Fails if the move was taken back, if there is none, or if the router does not answer.
pub(crate) async fn run(router: &Client, watch: &Watch, out: &Output) -> Result<(), Error> {
    let deadline = watch.within.map(|within| Instant::now() + within.0);
    let mut shown = None;
    loop {
        let status: Status = status::read(router).await?;
        let Some(step) = status
            .moves
            .into_iter()
            .find(|step| step.pool == watch.pool)
        else {
            return Err(Error::field(
                "pool",
                format!("{} has no version move", watch.pool),
            ));
        };
        if shown.as_ref() != Some(&step) {
            out.result(&step, || step.line());
        }
        match step.state {
            State::Finished => return Ok(()),
            State::TakenBack => return Err(Error::failed(step.line())),
            State::Moving => shown = Some(step),
        }
        if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            return Err(Error::unknown("the move is still under way"));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

impl Move {
    fn line(&self) -> String {
        let Self { pool, from, to, .. } = self;
        match (self.state, &self.reason) {
            (State::Moving, _) => {
                let percent = f64::from(self.share_permille) / 10.0;
                format!("{pool}: {percent:.1}% of the traffic has moved from {from} to {to}")
            }
            (State::Finished, _) => format!("{pool}: the move from {from} to {to} has finished"),
            (State::TakenBack, Some(reason)) => {
                format!("{pool}: the move from {from} to {to} was taken back: {reason}")
            }
            (State::TakenBack, None) => {
                format!("{pool}: the move from {from} to {to} was taken back")
            }
        }
    }
}
