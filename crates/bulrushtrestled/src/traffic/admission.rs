//! What is checked at the door: tokens, open requests and memory for bodies.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bulrushtrestle_core::key::OrganisationId;
use bulrushtrestle_core::verdict::{Reason, Refusal};
use http::HeaderMap;
use http::header::AUTHORIZATION;
use sha2::{Digest, Sha256};

use crate::control::{Handle, Identity};
use crate::metrics::Metrics;
use crate::settings;
use crate::traffic::refusal::RETRY_SOON;

/// For how long a known token is not looked up again. A token that operators remove is refused after
/// this time.
const KNOWN_FOR: Duration = Duration::from_secs(1);

/// Known tokens. Only tokens of the catalogue get here, so strangers cannot push others out.
const KNOWN_MAX: usize = 4_096;

/// The door.
#[derive(Debug)]
pub(super) struct Admission {
    requests_max: usize,
    body_memory_max: usize,
    metrics: Arc<Metrics>,
    known: Mutex<HashMap<[u8; 32], (Identity, Instant)>>,
    open: Mutex<HashMap<OrganisationId, usize>>,
}

/// A request that counts as open until this is dropped.
#[derive(Debug)]
pub(super) struct Open {
    organisation: OrganisationId,
    traffic: Arc<super::Traffic>,
}

/// Memory that is set aside for a body until this is dropped.
#[derive(Debug)]
pub(super) struct BodyMemory {
    bytes: i64,
    traffic: Arc<super::Traffic>,
}

impl Admission {
    pub(super) fn new(cfg: &settings::Callers, metrics: Arc<Metrics>) -> Self {
        Self {
            requests_max: cfg.requests_max,
            body_memory_max: cfg.body_memory_max,
            metrics,
            known: Mutex::default(),
            open: Mutex::default(),
        }
    }

    /// Returns who the caller is, by its bearer token.
    pub(super) async fn identify(
        &self,
        control: &Handle,
        headers: &HeaderMap,
    ) -> Result<Identity, Refusal> {
        let sum = token_sum(headers).ok_or(Refusal::not_run(Reason::Unauthorised, None))?;
        if let Some(identity) = self.known(&sum) {
            return Ok(identity);
        }
        let found = control
            .identity(sum)
            .await
            .map_err(|_| Refusal::not_run(Reason::Overloaded, Some(RETRY_SOON)))?;
        let identity = found?;
        self.remember(sum, identity);
        Ok(identity)
    }

    fn known(&self, sum: &[u8; 32]) -> Option<Identity> {
        let known = lock(&self.known);
        let (identity, at) = known.get(sum)?;
        (at.elapsed() < KNOWN_FOR).then_some(*identity)
    }

    fn remember(&self, sum: [u8; 32], identity: Identity) {
        let mut known = lock(&self.known);
        if known.len() >= KNOWN_MAX {
            known.retain(|_, (_, at)| at.elapsed() < KNOWN_FOR);
        }
        if known.len() < KNOWN_MAX {
            known.insert(sum, (identity, Instant::now()));
        }
    }

    /// Counts a request of an organisation as open, if its limits and the router's allow it.
    pub(super) fn open(
        traffic: &Arc<super::Traffic>,
        identity: &Identity,
    ) -> Result<Open, Refusal> {
        let admission = &traffic.admission;
        let limits = identity.limits;
        let mut open = lock(&admission.open);
        if admission.metrics.requests.get() >= saturating(admission.requests_max) {
            return Err(Refusal::not_run(Reason::Overloaded, Some(RETRY_SOON)));
        }
        let count = open.entry(identity.organisation).or_default();
        if *count >= limits.waiting as usize + limits.running as usize {
            return Err(Refusal::not_run(Reason::TooManyOpen, Some(RETRY_SOON)));
        }
        *count += 1;
        admission.metrics.requests.inc();
        Ok(Open {
            organisation: identity.organisation,
            traffic: Arc::clone(traffic),
        })
    }

    /// Sets memory aside for a body.
    pub(super) fn body_memory(
        traffic: &Arc<super::Traffic>,
        bytes: usize,
    ) -> Result<BodyMemory, Refusal> {
        let held = &traffic.metrics.body_bytes;
        let bytes = saturating(bytes);
        held.add(bytes);
        // Dropping the guard takes it back.
        let memory = BodyMemory {
            bytes,
            traffic: Arc::clone(traffic),
        };
        match held.get() <= saturating(traffic.admission.body_memory_max) {
            true => Ok(memory),
            false => Err(Refusal::not_run(Reason::Overloaded, Some(RETRY_SOON))),
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let admission = &self.traffic.admission;
        admission.metrics.requests.dec();
        let mut open = lock(&admission.open);
        if let Some(count) = open.get_mut(&self.organisation) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.organisation);
            }
        }
    }
}

impl BodyMemory {
    /// Sets more memory aside for a body whose length was not announced.
    pub(super) fn grow_to(
        &mut self,
        traffic: &Arc<super::Traffic>,
        bytes: usize,
    ) -> Result<(), Refusal> {
        let more = saturating(bytes) - self.bytes;
        if more > 0 {
            let mut added = Admission::body_memory(traffic, usize::try_from(more).unwrap_or(0))?;
            self.bytes += added.bytes;
            // It is given back together with the rest.
            added.bytes = 0;
        }
        Ok(())
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.traffic.metrics.body_bytes.sub(self.bytes);
    }
}

/// Returns the SHA-256 sum of the bearer token.
///
/// Tokens are looked up by their sum: what the time of the look-up tells about a sum is of no use for
/// finding a token.
fn token_sum(headers: &HeaderMap) -> Option<[u8; 32]> {
    let token = headers
        .get(AUTHORIZATION)?
        .as_bytes()
        .strip_prefix(b"Bearer ")?;
    Some(Sha256::digest(token).into())
}

/// Counters stay usable when a thread panicked while it held their lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn saturating(n: usize) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}
