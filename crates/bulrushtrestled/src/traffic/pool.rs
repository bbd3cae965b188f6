//! HTTP clients with pooled connections to targets.

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

/// A client with idle connections for each target, and one client that keeps none.
///
/// A request that may not be repeated always uses a new connection. If the target closes a reused
/// connection at the same moment, the router cannot tell whether the request arrived.
#[derive(Debug)]
pub(super) struct Pools {
    cfg: settings::Targets,
    reusing: Mutex<HashMap<SocketAddr, Client>>,
    fresh: Client,
}

impl Pools {
    pub(super) fn new(cfg: settings::Targets) -> Self {
        Self {
            fresh: client(&cfg, 0),
            reusing: Mutex::default(),
            cfg,
        }
    }

    /// Returns the client for a target. The client opens a new connection for each request if
    /// `fresh_connection` is set.
    pub(super) fn client(&self, address: SocketAddr, fresh_connection: bool) -> Client {
        if fresh_connection {
            return self.fresh.clone();
        }
        let mut reusing = self.reusing.lock().unwrap_or_else(PoisonError::into_inner);
        reusing
            .entry(address)
            .or_insert_with(|| client(&self.cfg, self.cfg.idle_max))
            .clone()
    }

    /// Closes the idle connections of a target, after one connection sent no data within its
    /// timeout or returned the answer of another request. The same fault may affect all connections
    /// to the target.
    pub(super) fn discard_idle(&self, address: SocketAddr) {
        let mut reusing = self.reusing.lock().unwrap_or_else(PoisonError::into_inner);
        reusing.remove(&address);
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
