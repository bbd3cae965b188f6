//! Which routers an organisation uses: asked of a seed, kept for as long as the answer holds.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use tokio::sync::Mutex;
use tokio::time::Instant;

use super::experiment::only_loopback;
use crate::error::{Error, Service};
use crate::http::{self, Base, Client};

/// How long one router may take to name addresses.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// For how long the seeds are used as they are if no router names addresses.
const SEEDS_HOLD: Duration = Duration::from_secs(1);

/// The addresses that one organisation uses.
#[derive(Debug)]
pub(super) struct Addresses {
    seeds: Vec<SocketAddr>,
    token: String,
    known: Mutex<Option<Known>>,
}

#[derive(Debug, Clone)]
struct Known {
    addresses: Vec<SocketAddr>,
    until: Instant,
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
            known: Mutex::new(None),
        }
    }

    /// Asks whether any router answers.
    ///
    /// # Errors
    ///
    /// Fails if none of the seeds does, or if one of them names no loopback address.
    pub(super) async fn reach(&self) -> Result<(), Error> {
        let mut last = Ok(());
        for &seed in &self.seeds {
            match self.ask_one(seed).await {
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

    /// Returns the addresses to use now, the best first.
    pub(super) async fn get(&self) -> Vec<SocketAddr> {
        let mut known = self.known.lock().await;
        if let Some(known) = known.as_ref().filter(|known| Instant::now() < known.until) {
            return known.addresses.clone();
        }
        let fresh = self.ask(known.as_ref()).await;
        let addresses = fresh.addresses.clone();
        *known = Some(fresh);
        addresses
    }

    /// Forgets the addresses, because one of them does not answer.
    pub(super) async fn forget(&self, address: SocketAddr) {
        if let Some(known) = self.known.lock().await.as_mut() {
            known.addresses.retain(|&known| known != address);
            if known.addresses.is_empty() {
                known.until = Instant::now();
            }
        }
    }

    /// Asks the routers known so far and then the seeds; any router answers.
    async fn ask(&self, known: Option<&Known>) -> Known {
        let before = known
            .map(|known| known.addresses.clone())
            .unwrap_or_default();
        for router in before.into_iter().chain(self.seeds.iter().copied()) {
            if let Ok(Some(answer)) = self.ask_one(router).await {
                return answer;
            }
        }
        Known {
            addresses: self.seeds.clone(),
            until: Instant::now() + SEEDS_HOLD,
        }
    }

    /// Returns what one router names; `None` if it names no address that may be used.
    async fn ask_one(&self, router: SocketAddr) -> Result<Option<Known>, http::Error> {
        let client = Client::new(Base::of(router), Some(self.token.clone()), ASK_TIMEOUT);
        let answer: Answer = client.get("/v1/addresses").await?;
        let mut addresses = answer.addresses;
        addresses.retain(|&address| only_loopback("addresses", address).is_ok());
        let until = Instant::now() + Duration::from_millis(answer.valid_for_ms);
        Ok((!addresses.is_empty()).then_some(Known { addresses, until }))
    }
}
