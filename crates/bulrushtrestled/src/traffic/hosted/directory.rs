//! The listeners for readiness checks of the platform and for callers that ask which router to use.

use std::sync::Arc;

use axum::Router;
use axum::extract::{RawQuery, State};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bulrushtrestle_platform::directory as protocol;
use bytes::Bytes;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::listener::{self, Gate, Limits, Protocols};
use crate::settings;
use crate::traffic::Traffic;

/// The most concurrent connections to one of these listeners.
const CONNECTIONS_MAX: usize = 256;
/// The largest head of a request, in bytes.
const HEADER_BYTES_MAX: usize = 8 * 1024;
/// The response to a connection over the connection limit.
const OVER_LIMIT: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// The state of the listeners' paths.
#[derive(Debug)]
struct Directory {
    traffic: Arc<Traffic>,
    cfg: settings::Hosting,
}

/// Serves readiness checks and router look-ups at a listener until the process ends. A router that
/// is stopping still answers look-ups.
pub(crate) async fn serve(listener: TcpListener, traffic: Arc<Traffic>, cfg: settings::Hosting) {
    let limits = Limits {
        connections_max: CONNECTIONS_MAX,
        per_address_max: CONNECTIONS_MAX,
        header_bytes_max: HEADER_BYTES_MAX,
        header_timeout: traffic.settings.callers.header_timeout,
        over_limit_response: Bytes::from_static(OVER_LIMIT),
        protocols: Protocols::Http1,
    };
    let busy = traffic.metrics.busy.clone();
    let router = Router::new()
        .route(protocol::RESOLVE_PATH, get(resolve))
        .route(protocol::READY_PATH, get(ready))
        .with_state(Arc::new(Directory { traffic, cfg }));
    let (_sender, draining) = watch::channel(false);
    let gate = Gate::open(draining);
    listener::serve(listener, router, limits, |_| {}, gate, busy).await;
}

async fn resolve(State(directory): State<Arc<Directory>>, RawQuery(query): RawQuery) -> Response {
    let query = query.unwrap_or_default();
    let data_centre = protocol::data_centre(&query).map(str::to_owned);
    match directory.traffic.control.routers_near(data_centre).await {
        Ok(addresses) if !addresses.is_empty() => {
            let body = protocol::answer(&addresses, directory.cfg.addresses_valid);
            ([(CONTENT_TYPE, "application/json")], body).into_response()
        }
        Ok(_) | Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn ready(State(directory): State<Arc<Directory>>) -> StatusCode {
    match directory.traffic.control.is_ready().await {
        Ok(true) => StatusCode::OK,
        Ok(false) | Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
