//! Admission checks: the bearer token, the limits on open requests and the memory for bodies.

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
use crate::traffic::refusal::DEFAULT_RETRY_AFTER;

/// How long the identity of a token is cached. A token that operators remove is still accepted for
/// up to this time.
const IDENTITY_TTL: Duration = Duration::from_secs(1);

/// The most cached identities. Only tokens in the catalogue are cached, so unknown callers cannot
/// fill the cache.
const IDENTITIES_MAX: usize = 4_096;

/// The state of the admission checks.
#[derive(Debug)]
pub(super) struct Admission {
    requests_max: usize,
    body_memory_max: usize,
    metrics: Arc<Metrics>,
    /// Cached identities by the SHA-256 hash of the token, with the time of the look-up.
    identities: Mutex<HashMap<[u8; 32], (Identity, Instant)>>,
    /// The number of open requests of each organisation.
    open: Mutex<HashMap<OrganisationId, usize>>,
}

/// A request that counts as open until the value is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest {
    organisation: OrganisationId,
    traffic: Arc<super::Traffic>,
}

/// Memory that is reserved for a body until the value is dropped.
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
            identities: Mutex::default(),
            open: Mutex::default(),
        }
    }

    /// Returns the identity of the caller with the bearer token in `headers`.
    pub(super) async fn identify(
        &self,
        control: &Handle,
        headers: &HeaderMap,
    ) -> Result<Identity, Refusal> {
        let hash = token_hash(headers).ok_or(Refusal::not_run(Reason::Unauthorised, None))?;
        if let Some(identity) = self.cached_identity(&hash) {
            return Ok(identity);
        }
        let found = control
            .identity(hash)
            .await
            .map_err(|_| Refusal::not_run(Reason::Overloaded, Some(DEFAULT_RETRY_AFTER)))?;
        let identity = found?;
        self.cache_identity(hash, identity);
        Ok(identity)
    }

    fn cached_identity(&self, hash: &[u8; 32]) -> Option<Identity> {
        let identities = lock(&self.identities);
        let (identity, at) = identities.get(hash)?;
        (at.elapsed() < IDENTITY_TTL).then_some(*identity)
    }

    fn cache_identity(&self, hash: [u8; 32], identity: Identity) {
        let mut identities = lock(&self.identities);
        if identities.len() >= IDENTITIES_MAX {
            identities.retain(|_, (_, at)| at.elapsed() < IDENTITY_TTL);
        }
        if identities.len() < IDENTITIES_MAX {
            identities.insert(hash, (identity, Instant::now()));
        }
    }

    /// Counts a request as open, if the limits of its organisation and of the router allow another.
    pub(super) fn open(
        traffic: &Arc<super::Traffic>,
        identity: &Identity,
    ) -> Result<OpenRequest, Refusal> {
        let admission = &traffic.admission;
        let limits = identity.limits;
        let mut open = lock(&admission.open);
        if admission.metrics.requests.get() >= saturating(admission.requests_max) {
            return Err(Refusal::not_run(
                Reason::Overloaded,
                Some(DEFAULT_RETRY_AFTER),
            ));
        }
        let count = open.entry(identity.organisation).or_default();
        if *count >= limits.waiting as usize + limits.running as usize {
            return Err(Refusal::not_run(
                Reason::TooManyOpen,
                Some(DEFAULT_RETRY_AFTER),
            ));
        }
        *count += 1;
        admission.metrics.requests.inc();
        Ok(OpenRequest {
            organisation: identity.organisation,
            traffic: Arc::clone(traffic),
        })
    }

    /// Reserves memory for a body, if the limit for all bodies allows it.
    pub(super) fn reserve_body_memory(
        traffic: &Arc<super::Traffic>,
        bytes: usize,
    ) -> Result<BodyMemory, Refusal> {
        let held = &traffic.metrics.body_bytes;
        let bytes = saturating(bytes);
        held.add(bytes);
        // If the limit is exceeded, dropping the value releases the memory again.
        let memory = BodyMemory {
            bytes,
            traffic: Arc::clone(traffic),
        };
        match held.get() <= saturating(traffic.admission.body_memory_max) {
            true => Ok(memory),
            false => Err(Refusal::not_run(
                Reason::Overloaded,
                Some(DEFAULT_RETRY_AFTER),
            )),
        }
    }
}

impl Drop for OpenRequest {
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
    /// Increases the reservation to `bytes`. A reservation is never reduced.
    pub(super) fn grow_to(
        &mut self,
        traffic: &Arc<super::Traffic>,
        bytes: usize,
    ) -> Result<(), Refusal> {
        let more = saturating(bytes) - self.bytes;
        if more > 0 {
            let mut added =
                Admission::reserve_body_memory(traffic, usize::try_from(more).unwrap_or(0))?;
            self.bytes += added.bytes;
            // Dropping `self` releases the added memory too.
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

/// Returns the SHA-256 hash of the bearer token.
///
/// Tokens are looked up by their hash. The duration of a look-up may reveal something about the
/// hash, which is of no use for guessing a token.
fn token_hash(headers: &HeaderMap) -> Option<[u8; 32]> {
    let token = headers
        .get(AUTHORIZATION)?
        .as_bytes()
        .strip_prefix(b"Bearer ")?;
    Some(Sha256::digest(token).into())
}

/// Locks a mutex. Its content stays usable if a thread panicked while holding the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn saturating(n: usize) -> i64 {
    i64::try_from(n).unwrap_or(i64::MAX)
}
