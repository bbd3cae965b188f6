//! How many connections of callers are taken, so that a router begins no more than it finishes.
//!
//! # Invariant
//!
//! Work is bounded where it begins. Connections are taken at a rate that rises while what is ready finds the processor free
//! and falls once that waits for [`DELAY_TARGET`]; beyond the rate the listener is closed, so that the kernel refuses callers
//! at once and at no cost to the process. The target lies well below the wait at which requests are refused
//! ([`LATE_MAX`]), so what has been taken is served, and goodput does not fall when more callers come. See
//! [0032](../../../../docs/design/0032-intake.md).
//!
//! The rate rises by a step and falls by a factor (additive increase, multiplicative decrease), which needs no knowledge of
//! what the processor is or of what a request costs on it.

#[cfg(test)]
mod tests;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::control::LATE_MAX;
use crate::traffic::lag::{Lag, TICK};

/// How long what is ready may wait for the processor before no connections are taken: a third of the wait at which requests
/// are refused, so that those that were taken are still served.
pub(super) const DELAY_TARGET: Duration = Duration::from_millis(50);

/// By how many connections in a tick the rate rises with each tick: the least step that is a connection, 50 a second each time,
/// where the users' weakest VMs bear some 100 answers a second.
const RISE: f64 = 1.0;

/// Ticks in a row at which the target has to be exceeded before there is a limit: a quota of the processor that was used up for
/// once shows at one only.
const LATE_TICKS: u32 = 2;

/// A wait that is too long to be that of a quota: the users' VMs get theirs anew each tenth of a second.
pub(super) const QUOTA_WAIT_MAX: Duration = Duration::from_millis(100);

/// What is left of the rate when the target is exceeded: the usual factor of loss-based congestion control, as in CUBIC.
const FALL: f64 = 0.7;

/// The lowest rate, in connections in a tick: five in a second, so that a router that is behind still takes some within the
/// time in which its users expect a ready one to do so.
const RATE_MIN: f64 = 0.1;

/// The rate from which on there is no limit, in connections in a tick: 5,000 a second, more than a core bears.
const RATE_MAX: f64 = 100.0;

/// The time between two lines while connections are limited.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// The rate at which connections are taken.
#[derive(Debug, Default)]
pub(super) struct Rate {
    /// Connections that are taken in a tick; nothing while there is no limit.
    per_tick: Option<f64>,
    /// Connections that may be taken until the next tick, under a limit.
    left: f64,
    /// Connections that were taken since the last tick.
    taken: u32,
    /// Ticks in a row at which the target was exceeded.
    late: u32,
}

impl Rate {
    /// Adapts the rate, `since` after the last tick, to how long what is ready waits for the processor.
    pub(super) fn tick(&mut self, delay: Duration, since: Duration) {
        let ticks = (since.as_secs_f64() / TICK.as_secs_f64()).max(1.0);
        let is_late = delay >= DELAY_TARGET;
        self.late = if is_late { self.late + 1 } else { 0 };
        let falls = match self.per_tick {
            None => self.late >= LATE_TICKS || delay >= QUOTA_WAIT_MAX,
            // What was taken before it fell has yet to be served.
            Some(_) => self.late == 1,
        };
        if falls {
            let seen = f64::from(self.taken) / ticks;
            let rate = self.per_tick.unwrap_or(seen).min(RATE_MAX);
            self.per_tick = Some((rate * FALL).max(RATE_MIN));
            self.left = 0.0;
        } else if !is_late {
            let rate = self.per_tick.map(|rate| rate + RISE);
            self.per_tick = rate.filter(|&rate| rate < RATE_MAX);
        }
        self.taken = 0;
        if let Some(rate) = self.per_tick {
            // Some callers are let in at all times.
            let granted = if is_late { RATE_MIN } else { rate };
            self.left = (self.left + granted).min(rate.max(1.0));
        }
    }

    /// Counts a connection that is taken.
    pub(super) fn take(&mut self) {
        self.taken += 1;
        self.left -= 1.0;
    }

    /// Says whether a connection may be taken now.
    pub(super) fn is_open(&self) -> bool {
        self.per_tick.is_none() || self.left >= 1.0
    }

    /// Says whether what is ready waits for the processor for longer than it should, under a limit.
    pub(super) const fn is_late(&self) -> bool {
        self.late > 0 && self.per_tick.is_some()
    }

    /// Returns the connections that are taken in a second, under a limit.
    pub(super) fn per_second(&self) -> Option<f64> {
        self.per_tick.map(|rate| rate / TICK.as_secs_f64())
    }
}

/// Takes connections as far as the processor bears them.
#[derive(Debug)]
pub(crate) struct Intake {
    lag: Lag,
    rate: Mutex<Rate>,
    close: watch::Sender<bool>,
}

impl Intake {
    /// Starts without a limit.
    pub(crate) fn new() -> Self {
        let (close, _) = watch::channel(false);
        Self {
            lag: Lag::new(),
            rate: Mutex::default(),
            close,
        }
    }

    /// Shows whether the listener is to be closed.
    pub(crate) fn closed(&self) -> watch::Receiver<bool> {
        self.close.subscribe()
    }

    /// Counts a connection that was taken.
    pub(crate) fn take(&self) {
        let mut rate = self.rate();
        rate.take();
        // The look at the clock waits in turn with all else; until it comes nothing else tells how late it is.
        self.close_unless(rate.is_open() && self.lag.now() < QUOTA_WAIT_MAX);
    }

    /// Says whether what is ready waits so long that requests are refused: those on connections that were open before.
    pub(crate) fn is_too_late(&self) -> bool {
        self.lag.now() >= LATE_MAX
    }

    /// Says whether the processor bears no more, so that connections are not to be used again.
    pub(crate) fn is_late(&self) -> bool {
        self.rate().is_late()
    }

    /// Adapts the rate for as long as the process serves. `control` tells how long requests wait for the control thread, which
    /// runs on the same processor; `spent` tells what it did since the last line.
    pub(crate) async fn adapt(
        &self,
        control: impl Fn() -> Duration,
        mut spent: impl FnMut() -> String,
    ) {
        let mut ticked = Instant::now();
        let mut reported: Option<Instant> = None;
        loop {
            let (since, delay) = (ticked.elapsed(), self.lag.tick());
            ticked += since;
            let control = control();
            let limit = {
                let mut rate = self.rate();
                rate.tick(delay.max(control), since);
                self.close_unless(rate.is_open());
                rate.per_second()
            };
            let is_due = reported.is_none_or(|at| at.elapsed() >= REPORT_EVERY);
            let (late, control) = (delay.as_millis(), control.as_millis());
            match (limit, reported) {
                (Some(limit), _) if is_due => {
                    reported = Some(ticked);
                    log::warn!(target: "intake", "limited=true per_second={limit:.0} late_ms={late} control_ms={control} target_ms={} {}", DELAY_TARGET.as_millis(), spent());
                }
                (None, Some(_)) => {
                    reported = None;
                    log::warn!(target: "intake", "limited=false late_ms={late} control_ms={control} {}", spent());
                }
                _ => {}
            }
            sleep(TICK).await;
        }
    }

    fn close_unless(&self, is_open: bool) {
        self.close.send_if_modified(|closed| {
            let changed = *closed == is_open;
            *closed = !is_open;
            changed
        });
    }

    fn rate(&self) -> MutexGuard<'_, Rate> {
        self.rate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
