//! The listeners at which the platform asks for readiness and callers ask which router to use.

use std::sync::Arc;

use axum::Router;
use axum::extract::{RawQuery, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bulrushtrestle_platform::directory;
use bytes::Bytes;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::listener::{self, Gate, Limits, Protocols};
use crate::settings;
use crate::traffic::Traffic;

/// Connections to one of these listeners at a time.
const CONNECTIONS_MAX: usize = 256;
/// The size of a request's head, in bytes.
const HEADER_BYTES_MAX: usize = 8 * 1024;
/// The answer to a connection over the limit.
const TURNED_AWAY: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

#[derive(Debug)]
struct Directory {
    traffic: Arc<Traffic>,
    cfg: settings::Hosting,
}

/// Answers both questions at a listener for as long as the process lives. A router that stops still tells callers
/// where to go.
pub(crate) async fn serve(listener: TcpListener, traffic: Arc<Traffic>, cfg: settings::Hosting) {
    let limits = Limits {
        connections_max: CONNECTIONS_MAX,
        per_address_max: CONNECTIONS_MAX,
        header_bytes_max: HEADER_BYTES_MAX,
        header_timeout: traffic.settings.callers.header_timeout,
        over_limit_response: Bytes::from_static(TURNED_AWAY),
        protocols: Protocols::Http1,
    };
    let busy = traffic.metrics.busy.clone();
    let router = Router::new()
        .route(directory::RESOLVE_PATH, get(resolve))
        .route(directory::READY_PATH, get(ready))
        .with_state(Arc::new(Directory { traffic, cfg }));
    let (_open, never) = watch::channel(false);
    let gate = Gate::open(never);
    listener::serve(listener, router, limits, |_| {}, gate, busy).await;
}

async fn resolve(State(own): State<Arc<Directory>>, RawQuery(query): RawQuery) -> Response {
    let query = query.unwrap_or_default();
    let near = directory::data_centre(&query).map(str::to_owned);
    match own.traffic.control.near(near).await {
        Ok(addresses) if !addresses.is_empty() => {
            let body = directory::answer(&addresses, own.cfg.addresses_valid);
            ([(CONTENT_TYPE, "application/json")], body).into_response()
        }
        Ok(_) | Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn ready(State(own): State<Arc<Directory>>) -> StatusCode {
    match own.traffic.control.is_ready().await {
        Ok(true) => StatusCode::OK,
        Ok(false) | Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
