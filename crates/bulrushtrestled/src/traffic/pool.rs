//! Connections to targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use crate::settings;

/// A client for requests to targets.
pub(super) type Client = legacy::Client<HttpConnector, Full<Bytes>>;

/// Clients with kept connections for each target, and one that keeps none.
///
/// A request that may not be repeated always gets a fresh connection: on a kept one that the target is
/// just closing, nobody could tell whether the request arrived.
#[derive(Debug)]
pub(super) struct Pools {
    cfg: settings::Targets,
    kept: Mutex<HashMap<SocketAddr, Client>>,
    fresh: Client,
}

impl Pools {
    pub(super) fn new(cfg: settings::Targets) -> Self {
        Self {
            fresh: client(&cfg, 0),
            kept: Mutex::default(),
            cfg,
        }
    }

    /// Returns the client for a target.
    pub(super) fn client(&self, address: SocketAddr, fresh: bool) -> Client {
        if fresh {
            return self.fresh.clone();
        }
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.entry(address)
            .or_insert_with(|| client(&self.cfg, self.cfg.idle_max))
            .clone()
    }

    /// Drops the kept connections of a target on which a connection fell silent or crossed answers:
    /// whatever lost track of one may have lost track of all.
    pub(super) fn forget(&self, address: SocketAddr) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.remove(&address);
    }
}

fn client(cfg: &settings::Targets, idle_max: usize) -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(cfg.connect_timeout));
    legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(cfg.idle_timeout)
        .pool_max_idle_per_host(idle_max)
        .build(connector)
}
