//! The service that organisations asked for and received recently at this router.
//!
//! Service is counted in tokens of prompts and answers, at the arrival of a request and when it is
//! sent to a target. Demand is thus known whether or not the request is served: a router that may
//! send little still reports how much its callers ask for. See [`turns`](super::turns).

use std::collections::BTreeMap;

use crate::prelude::*;

/// The length of the window. It holds enough requests of an organisation that random arrivals alone
/// do not look like a shortage, and is a third of the time for which a shortage may last.
pub(super) const WINDOW: Duration = Duration::from_secs(2);

/// The number of slices of the window.
const SLICES: u64 = 20;

/// The length of a slice in microseconds.
const SLICE_MICROS: u64 = 100_000;

/// What an organisation asked for and received within the window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Service {
    /// The tokens of requests that arrived.
    pub asked: u64,
    /// The tokens of requests that were sent to targets and not broken off before the answer began.
    pub sent: u64,
    /// The requests that were refused for lack of capacity.
    pub refused: u64,
}

/// The sums of one organisation in one pool.
#[derive(Debug, Default)]
struct Window {
    /// The slices of the window, each at its number modulo [`SLICES`].
    slices: [Slice; SLICES as usize],
    /// The number of the newest slice since the Unix epoch.
    newest: u64,
    /// The sum of all slices.
    sum: Slice,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Slice {
    asked: u64,
    sent: u64,
    broken: u64,
    refused: u64,
}

impl Slice {
    fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.sent += other.sent;
        self.broken += other.broken;
        self.refused += other.refused;
    }

    fn subtract(&mut self, other: Self) {
        self.asked -= other.asked;
        self.sent -= other.sent;
        self.broken -= other.broken;
        self.refused -= other.refused;
    }
}

impl Window {
    /// Clears the slices that have left the window.
    fn advance(&mut self, now: Time) {
        let newest = now.0 / SLICE_MICROS;
        let passed = newest.saturating_sub(self.newest).min(SLICES);
        for number in newest + 1 - passed..=newest {
            let slice = core::mem::take(self.slice_mut(number));
            self.sum.subtract(slice);
        }
        self.newest = self.newest.max(newest);
    }

    fn slice_mut(&mut self, number: u64) -> &mut Slice {
        let at = usize::try_from(number % SLICES).unwrap_or(0);
        &mut self.slices[at]
    }

    fn add(&mut self, now: Time, change: Slice) {
        self.advance(now);
        let newest = self.newest;
        self.slice_mut(newest).add(change);
        self.sum.add(change);
    }
}

/// The service of all organisations that were active at this router within the window.
#[derive(Debug, Default)]
pub struct ServiceWindow(BTreeMap<(PoolId, OrganisationId), Window>);

impl ServiceWindow {
    /// Counts a request that arrived.
    pub fn on_asked(&mut self, now: Time, key: (PoolId, OrganisationId), tokens: u64) {
        self.add(now, key, |slice| slice.asked = tokens);
    }

    /// Counts a request that was refused for lack of capacity, on arrival or after it waited.
    pub fn on_refused(&mut self, now: Time, key: (PoolId, OrganisationId)) {
        self.add(now, key, |slice| slice.refused = 1);
    }

    /// Counts a request that was sent to a target.
    pub fn on_sent(&mut self, now: Time, key: (PoolId, OrganisationId), tokens: u64) {
        self.add(now, key, |slice| slice.sent = tokens);
    }

    /// Counts a request that was broken off before its answer began, so that it got no service.
    pub fn on_broken(&mut self, now: Time, key: (PoolId, OrganisationId), tokens: u64) {
        self.add(now, key, |slice| slice.broken = tokens);
    }

    fn add(&mut self, now: Time, key: (PoolId, OrganisationId), fill: impl FnOnce(&mut Slice)) {
        let mut change = Slice::default();
        fill(&mut change);
        self.0.entry(key).or_default().add(now, change);
    }

    /// Removes organisations without service in the window.
    pub fn advance(&mut self, now: Time) {
        self.0.retain(|_, window| {
            window.advance(now);
            window.sum != Slice::default()
        });
    }

    /// Returns the service of an organisation as of the last call of [`advance`](Self::advance).
    pub fn of(&self, key: (PoolId, OrganisationId)) -> Service {
        let sum = self.0.get(&key).map(|window| window.sum);
        let sum = sum.unwrap_or_default();
        Service {
            asked: sum.asked,
            sent: sum.sent.saturating_sub(sum.broken),
            refused: sum.refused,
        }
    }

    /// Returns the pools and organisations with service in the window.
    pub fn keys(&self) -> impl Iterator<Item = (PoolId, OrganisationId)> {
        self.0.keys().copied()
    }
}
