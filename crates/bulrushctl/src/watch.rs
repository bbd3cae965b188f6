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
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Move {
    pool: String,
    from: String,
    to: String,
    /// The part of the traffic that goes to the new version, in thousandths.
    share: u32,
    fact: Fact,
}

/// What is known of a move.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Fact {
    finished: bool,
    taken_back: Option<TakenBack>,
}

/// Why and by whom a move was taken back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TakenBack {
    by: u32,
    fault: String,
}

/// Prints each step of a version move until it ends.
///
/// The router may not have heard of the move yet, or may be out for a moment; both are borne for
/// `patience`.
///
/// # Errors
///
/// Fails if the move was taken back or removed, if there is none, or if the router does not answer.
pub(crate) async fn run(
    router: &Client,
    watch: &Watch,
    patience: Duration,
    out: &Output,
) -> Result<(), Error> {
    let deadline = watch.within.map(|within| Instant::now() + within.0);
    let mut heard = Instant::now();
    let mut shown = None;
    loop {
        match look(router, watch).await {
            Ok(Some(step)) => {
                heard = Instant::now();
                if shown.as_ref() != Some(&step) {
                    out.result(&step, || step.line());
                }
                if step.has_ended()? {
                    return Ok(());
                }
                shown = Some(step);
            }
            Ok(None) if shown.is_some() => return Err(Error::failed("the move was removed")),
            Ok(None) if heard.elapsed() >= patience => return Err(no_move(watch)),
            Err(err) if !err.is_passing() || heard.elapsed() >= patience => return Err(err),
            Ok(None) | Err(_) => {}
        }
        if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            return Err(Error::unknown("the move is still under way"));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Returns the move as the router sees it now, if it knows it.
async fn look(router: &Client, watch: &Watch) -> Result<Option<Move>, Error> {
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
    /// Says whether the move has finished.
    ///
    /// # Errors
    ///
    /// Fails if it was taken back.
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
        if let Some(TakenBack { by, fault }) = &fact.taken_back {
            return format!(
                "{pool}: the move from {from} to {to} was taken back by router {by}: {fault}"
            );
        }
        if fact.finished {
            return format!("{pool}: the move from {from} to {to} has finished");
        }
        let percent = f64::from(*share) / 10.0;
        format!("{pool}: {percent:.1}% of the traffic has moved from {from} to {to}")
    }
}
