//! Limits the rate at which callers' connections are accepted, so that a router starts no more work
//! than it can finish.
//!
//! # Invariant
//!
//! Work is limited where it starts. The rate of accepted connections rises while tasks that are
//! ready run without delay, and falls once they wait for [`DELAY_TARGET`]. Beyond the rate the
//! listener is closed, so that the kernel refuses connections at once and at no cost to the
//! process. The target is well below the wait at which requests are refused ([`LATE_MAX`]), so
//! accepted connections are still served, and goodput does not fall as the load rises. See
//! [0032](../../../../docs/design/0032-intake.md).
//!
//! The rate rises by a constant and falls by a factor (additive increase, multiplicative decrease).
//! This needs no knowledge of the processor's speed or of the cost of a request.

#[cfg(test)]
mod tests;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::control::LATE_MAX;
use crate::traffic::lag::{Lag, TICK};

/// The wait for the processor from which on the rate of connections is reduced. It is a third of
/// the wait at which requests are refused, so that accepted connections are still served.
pub(super) const DELAY_TARGET: Duration = Duration::from_millis(50);

/// The increase of the rate with each tick, in connections per tick. One connection is the smallest
/// usable step. It adds 50 connections per second; the users' weakest VMs sustain some 100 answers
/// per second.
const RATE_INCREASE: f64 = 1.0;

/// The consecutive ticks that must reach the target delay before a limit is set. A CPU quota that
/// is exhausted once delays one tick only.
const LATE_TICKS: u32 = 2;

/// The longest wait that an exhausted CPU quota can cause: the quota of the users' VMs is renewed
/// every 100 ms. A wait of this length or more means overload.
pub(super) const QUOTA_WAIT_MAX: Duration = Duration::from_millis(100);

/// The factor applied to the rate when the target is exceeded. It is the usual factor of loss-based
/// congestion control, as in CUBIC.
const RATE_DECREASE_FACTOR: f64 = 0.7;

/// The lowest rate, in connections per tick. At five per second, an overloaded router still accepts
/// some connections within the time in which users expect a ready router to accept one.
const RATE_MIN: f64 = 0.1;

/// The rate at which the limit is lifted, in connections per tick. It is 5,000 per second, more
/// than a core sustains.
const RATE_MAX: f64 = 100.0;

/// The interval of log lines while connections are limited.
const REPORT_EVERY: Duration = Duration::from_secs(1);

/// The rate at which connections may be accepted.
#[derive(Debug, Default)]
pub(super) struct Rate {
    /// The limit, in connections per tick; `None` while there is no limit.
    per_tick: Option<f64>,
    /// Connections that may still be accepted before the next tick, if there is a limit. Negative
    /// if more were accepted.
    left: f64,
    /// Connections accepted since the last tick.
    accepted: u32,
    /// Consecutive ticks at which the target delay was reached.
    late_ticks: u32,
}

impl Rate {
    /// Adapts the rate to `delay`, the time for which ready tasks wait for the processor. `since`
    /// is the time since the last tick.
    pub(super) fn tick(&mut self, delay: Duration, since: Duration) {
        let ticks = (since.as_secs_f64() / TICK.as_secs_f64()).max(1.0);
        let is_late = delay >= DELAY_TARGET;
        self.late_ticks = if is_late { self.late_ticks + 1 } else { 0 };
        let falls = match self.per_tick {
            None => self.late_ticks >= LATE_TICKS || delay >= QUOTA_WAIT_MAX,
            // Connections accepted before the rate fell keep the delay up until they are served.
            Some(_) => self.late_ticks == 1,
        };
        if falls {
            let observed = f64::from(self.accepted) / ticks;
            let rate = self.per_tick.unwrap_or(observed).min(RATE_MAX);
            self.per_tick = Some((rate * RATE_DECREASE_FACTOR).max(RATE_MIN));
            self.left = 0.0;
        } else if !is_late {
            let rate = self.per_tick.map(|rate| rate + RATE_INCREASE);
            self.per_tick = rate.filter(|&rate| rate < RATE_MAX);
        }
        self.accepted = 0;
        if let Some(rate) = self.per_tick {
            // The lowest rate is granted however late the process is.
            let granted = if is_late { RATE_MIN } else { rate };
            self.left = (self.left + granted).min(rate.max(1.0));
        }
    }

    /// Counts an accepted connection.
    pub(super) fn record_accept(&mut self) {
        self.accepted += 1;
        self.left -= 1.0;
    }

    /// Returns whether a connection may be accepted now.
    pub(super) fn is_open(&self) -> bool {
        self.per_tick.is_none() || self.left >= 1.0
    }

    /// Returns whether there is a limit and the last tick reached the target delay.
    pub(super) const fn is_late(&self) -> bool {
        self.late_ticks > 0 && self.per_tick.is_some()
    }

    /// Returns the limit in connections per second, or `None` while there is no limit.
    pub(super) fn per_second(&self) -> Option<f64> {
        self.per_tick.map(|rate| rate / TICK.as_secs_f64())
    }
}

/// Closes the callers' listener while the process accepts connections faster than it can serve
/// them.
#[derive(Debug)]
pub(crate) struct AcceptLimiter {
    lag: Lag,
    rate: Mutex<Rate>,
    close: watch::Sender<bool>,
}

impl AcceptLimiter {
    /// Returns a limiter without a limit.
    pub(crate) fn new() -> Self {
        let (close, _) = watch::channel(false);
        Self {
            lag: Lag::new(),
            rate: Mutex::default(),
            close,
        }
    }

    /// Returns a channel that holds whether the listener is to be closed.
    pub(crate) fn closed(&self) -> watch::Receiver<bool> {
        self.close.subscribe()
    }

    /// Counts an accepted connection, and closes the listener if no more may be accepted.
    pub(crate) fn record_accept(&self) {
        let mut rate = self.rate();
        rate.record_accept();
        // The timer task is delayed like all other tasks, so the lag is also checked here.
        self.close_unless(rate.is_open() && self.lag.now() < QUOTA_WAIT_MAX);
    }

    /// Returns whether the lag is so large that requests are refused, also those that arrive on
    /// connections that are already open.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.lag.now() >= LATE_MAX
    }

    /// Returns whether a limit is exceeded at present, so that open connections must not be reused.
    pub(crate) fn is_late(&self) -> bool {
        self.rate().is_late()
    }

    /// Adapts the rate with every tick; never returns. `control_delay` returns how long requests
    /// wait for the control thread, which runs on the same processor. `account` returns the fields
    /// of a log line that describe what the process did since the last line.
    pub(crate) async fn adapt(
        &self,
        control_delay: impl Fn() -> Duration,
        mut account: impl FnMut() -> String,
    ) {
        let mut ticked = Instant::now();
        let mut reported: Option<Instant> = None;
        loop {
            let (since, delay) = (ticked.elapsed(), self.lag.tick());
            ticked += since;
            let control = control_delay();
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
                    log::warn!(target: "intake", "limited=true per_second={limit:.0} late_ms={late} control_ms={control} target_ms={} {}", DELAY_TARGET.as_millis(), account());
                }
                (None, Some(_)) => {
                    reported = None;
                    log::warn!(target: "intake", "limited=false late_ms={late} control_ms={control} {}", account());
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
