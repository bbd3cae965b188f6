//! Follows a version move until it finishes or is rolled back.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::args::Watch;
use crate::error::Error;
use crate::http::Client;
use crate::output::Output;
use crate::status;

/// The delay between two reads of the router's status.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The fields of a router's status that this command uses.
#[derive(Debug, Deserialize)]
struct Status {
    #[serde(default)]
    moves: Vec<Move>,
}

/// A version move, as reported in the status of a router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Move {
    pool: String,
    from: String,
    to: String,
    /// The share of the traffic that goes to the new version, in thousandths.
    share: u32,
    fact: MoveStatus,
}

/// Whether a move has finished or was rolled back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct MoveStatus {
    finished: bool,
    taken_back: Option<Rollback>,
}

/// The rollback of a move: the router that decided it, and the fault behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Rollback {
    by: u32,
    fault: String,
}

/// Prints each step of a version move until it ends.
///
/// The router may not have received the move yet, or may be unavailable for a short time. Both are
/// tolerated for up to `unavailable_max`.
///
/// # Errors
///
/// Fails if the move was rolled back or removed, if there is no move, or if the router does not
/// answer.
pub(crate) async fn run(
    router: &Client,
    watch: &Watch,
    unavailable_max: Duration,
    out: &Output,
) -> Result<(), Error> {
    let deadline = watch.within.map(|within| Instant::now() + within.0);
    let mut last_found = Instant::now();
    let mut shown = None;
    loop {
        match fetch_move(router, watch).await {
            Ok(Some(step)) => {
                last_found = Instant::now();
                if shown.as_ref() != Some(&step) {
                    out.result(&step, || step.line());
                }
                if step.has_ended()? {
                    return Ok(());
                }
                shown = Some(step);
            }
            Ok(None) if shown.is_some() => return Err(Error::failed("the move was removed")),
            Ok(None) if last_found.elapsed() >= unavailable_max => return Err(no_move(watch)),
            Err(err) if !err.is_transient() || last_found.elapsed() >= unavailable_max => {
                return Err(err);
            }
            Ok(None) | Err(_) => {}
        }
        if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            return Err(Error::unknown("the move is still under way"));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the watched move from the current status of the router, if the status has the move.
async fn fetch_move(router: &Client, watch: &Watch) -> Result<Option<Move>, Error> {
    let status: Status = status::read(router).await?;
    let is_wanted =
        |step: &Move| step.pool == watch.pool && watch.to.as_ref().is_none_or(|to| *to == step.to);
    Ok(status.moves.into_iter().find(is_wanted))
}

fn no_move(watch: &Watch) -> Error {
    let to = watch
        .to
        .as_ref()
        .map_or_else(String::new, |to| format!(" to {to}"));
    Error::field("pool", format!("{} has no version move{to}", watch.pool))
}

impl Move {
    /// Returns whether the move has finished.
    ///
    /// # Errors
    ///
    /// Fails if the move was rolled back.
    fn has_ended(&self) -> Result<bool, Error> {
        match &self.fact.taken_back {
            Some(_) => Err(Error::failed(self.line())),
            None => Ok(self.fact.finished),
        }
    }

    fn line(&self) -> String {
        let Self {
            pool,
            from,
            to,
            share,
            fact,
        } = self;
        if let Some(Rollback { by, fault }) = &fact.taken_back {
            return format!(
                "{pool}: the move from {from} to {to} was rolled back by router {by}: {fault}"
            );
        }
        if fact.finished {
            return format!("{pool}: the move from {from} to {to} has finished");
        }
        let percent = f64::from(*share) / 10.0;
        format!("{pool}: {percent:.1}% of the traffic has moved from {from} to {to}")
    }
}
