//! The routers that an organisation uses: fetched from a router and cached while the answer is valid.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use tokio::sync::Mutex;
use tokio::time::Instant;

use super::experiment::check_loopback;
use crate::error::{Error, Service};
use crate::http::{self, BaseUrl, Client};

/// The time within which one router has to answer a query for addresses.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// How long the seeds themselves are used if no router returns addresses.
const SEEDS_VALID_FOR: Duration = Duration::from_secs(1);

/// The router addresses that one organisation uses.
#[derive(Debug)]
pub(super) struct Addresses {
    seeds: Vec<SocketAddr>,
    token: String,
    cached: Mutex<Option<CachedAddresses>>,
}

#[derive(Debug, Clone)]
struct CachedAddresses {
    addresses: Vec<SocketAddr>,
    valid_until: Instant,
}

#[derive(Debug, Deserialize)]
struct Answer {
    addresses: Vec<SocketAddr>,
    valid_for_ms: u64,
}

impl Addresses {
    pub(super) fn new(seeds: Vec<SocketAddr>, token: String) -> Self {
        Self {
            seeds,
            token,
            cached: Mutex::new(None),
        }
    }

    /// Checks that a seed returns an address that may be used.
    ///
    /// # Errors
    ///
    /// Fails with the problem of the last seed if no seed answers with a loopback address.
    pub(super) async fn check_reachable(&self) -> Result<(), Error> {
        let mut last = Ok(());
        for &seed in &self.seeds {
            match self.fetch_from(seed).await {
                Ok(Some(_)) => return Ok(()),
                Ok(None) => {
                    let problem = format!("{seed} names no loopback address");
                    last = Err(Error::field("addresses", problem));
                }
                Err(err) => last = Err(Error::unavailable(Service::Callers, err)),
            }
        }
        last
    }

    /// Returns the addresses to use, in order of preference. Fetches them if the cached ones have
    /// expired.
    pub(super) async fn get(&self) -> Vec<SocketAddr> {
        let mut cached = self.cached.lock().await;
        if let Some(valid) = cached
            .as_ref()
            .filter(|cached| Instant::now() < cached.valid_until)
        {
            return valid.addresses.clone();
        }
        let fresh = self.fetch(cached.as_ref()).await;
        let addresses = fresh.addresses.clone();
        *cached = Some(fresh);
        addresses
    }

    /// Removes an address that does not accept connections from the cached ones. If none is left, the
    /// next call of `get` fetches the addresses again.
    pub(super) async fn forget(&self, address: SocketAddr) {
        if let Some(cached) = self.cached.lock().await.as_mut() {
            cached.addresses.retain(|&other| other != address);
            if cached.addresses.is_empty() {
                cached.valid_until = Instant::now();
            }
        }
    }

    /// Fetches the addresses from the first router that returns any: the cached routers first, then
    /// the seeds. Falls back to the seeds themselves.
    async fn fetch(&self, cached: Option<&CachedAddresses>) -> CachedAddresses {
        let previous = cached
            .map(|cached| cached.addresses.clone())
            .unwrap_or_default();
        for router in previous.into_iter().chain(self.seeds.iter().copied()) {
            if let Ok(Some(answer)) = self.fetch_from(router).await {
                return answer;
            }
        }
        CachedAddresses {
            addresses: self.seeds.clone(),
            valid_until: Instant::now() + SEEDS_VALID_FOR,
        }
    }

    /// Fetches the addresses from one router; `None` if the router names no loopback address.
    async fn fetch_from(&self, router: SocketAddr) -> Result<Option<CachedAddresses>, http::Error> {
        let client = Client::new(
            BaseUrl::from_address(router),
            Some(self.token.clone()),
            QUERY_TIMEOUT,
        );
        let answer: Answer = client.get("/v1/addresses").await?;
        let mut addresses = answer.addresses;
        addresses.retain(|&address| check_loopback("addresses", address).is_ok());
        let valid_until = Instant::now() + Duration::from_millis(answer.valid_for_ms);
        Ok((!addresses.is_empty()).then_some(CachedAddresses {
            addresses,
            valid_until,
        }))
    }
}
