//! Requests of a hosting platform's callers.
//!
//! # Invariant
//!
//! The body of a request and of its answer pass unchanged. A caller gets an answer of a target only if the target's
//! head shows that it belongs to this request, and an answer that breaks off never looks whole. A request that may
//! run once is sent again only if no target can have begun it. The final answer goes out the moment it is known.
//!
//! The headers on both sides are translated by `bulrushtrestle-platform`; what becomes of a request is
//! decided by the node.

mod connections;
mod directory;
mod door;
mod drive;
mod relay;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use axum::response::Response;
use bulrushtrestle_core::counter::Counter;
use bulrushtrestle_core::verdict::{Reason, Refusal};
use bulrushtrestle_platform::request;
use bytes::Bytes;
use http::header::{CONNECTION, HOST, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request};
use hyper::body::Incoming;
use sha2::{Digest, Sha256};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;
use tower::service_fn;

use self::connections::Connections;
use self::door::{Door, log_refusal};
use self::drive::drive;
use crate::control::HostedCall;
use crate::listener::{self, Gate, Protocols};
use crate::traffic::admission::Admission;
use crate::traffic::callers::read_body;
use crate::traffic::parse::{fingerprint, malformed};
use crate::traffic::refusal::{self, RETRY_SOON};
use crate::traffic::reply::Reply;
use crate::traffic::{Traffic, limits};

pub(crate) use self::directory::serve as serve_directory;

/// Serves callers until `draining` is set, then finishes what is open.
pub(crate) async fn serve(
    listener: TcpListener,
    traffic: Arc<Traffic>,
    draining: watch::Receiver<bool>,
) {
    let limits = limits(&traffic, Protocols::Http1);
    let hosted = Arc::new(Hosted {
        connections: Connections::new(traffic.settings.targets.clone()),
        door: Arc::default(),
        traffic: Arc::clone(&traffic),
    });
    tokio::spawn(crate::traffic::progress::flush(Arc::clone(&traffic)));
    let (close, closed) = watch::channel(false);
    let measured = Arc::clone(&traffic);
    tokio::spawn(async move {
        let control = &measured.control;
        measured.lag.measure(|| control.is_behind(), close).await;
    });
    let service = service_fn(move |req| {
        let hosted = Arc::clone(&hosted);
        async move { Ok(call(&hosted, req).await) }
    });
    let events = move |event| traffic.note(event);
    listener::serve(listener, service, limits, events, Gate { closed, draining }).await;
}

/// What all requests share.
#[derive(Debug)]
struct Hosted {
    traffic: Arc<Traffic>,
    connections: Connections,
    door: Arc<Door>,
}

/// A request as targets will see it, but for what the router adds.
#[derive(Debug)]
struct Call {
    said: request::Said,
    method: Method,
    host: String,
    path_and_query: String,
    headers: HeaderMap,
    body: Bytes,
}

async fn call(hosted: &Arc<Hosted>, req: Request<Incoming>) -> Response {
    let (head, body) = req.into_parts();
    let attempt = request::attempt(&head.headers).cloned();
    match start(hosted, head, body).await {
        Ok(response) => response,
        Err(refusal) => {
            hosted
                .traffic
                .metrics
                .count(Counter::Refused(refusal.reason));
            if refusal.reason != Reason::Overloaded || hosted.door.admits() {
                let attempt = attempt.as_ref().and_then(|id| id.to_str().ok());
                log_refusal(attempt.unwrap_or_default(), &refusal);
            }
            let mut response = response(&refusal);
            if is_behind(&hosted.traffic) {
                // The caller's next request goes to a router that takes connections.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        }
    }
}

async fn start(hosted: &Arc<Hosted>, head: Parts, body: Incoming) -> Result<Response, Refusal> {
    let traffic = &hosted.traffic;
    if is_behind(traffic) {
        return Err(Refusal::not_run(Reason::Overloaded, Some(RETRY_SOON)));
    }
    let arrived = traffic.clock.now();
    let host = host(&head).ok_or_else(malformed)?;
    let max = body_bytes_max(traffic);
    let mut memory = Admission::body_memory(traffic, 0)?;
    let reading = read_body(traffic, body, max, &mut memory);
    let body = timeout(traffic.settings.callers.body_timeout, reading)
        .await
        .map_err(|_| Refusal::not_run(Reason::CallerTooSlow, None))??;
    let path_and_query = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let token = request::bearer_token(&head.headers).map(|token| Sha256::digest(token).into());
    let call = Call {
        said: request::decode(&head.headers),
        method: head.method,
        host,
        path_and_query: path_and_query.to_owned(),
        headers: head.headers,
        body,
    };
    let own_part = call.said.parts.last().map_or(0, |part| part.content.0);
    let asked = HostedCall {
        id: traffic.control.next_request(),
        host: call.host.clone(),
        path: head.uri.path().to_owned(),
        token,
        arrived,
        said: call.said.clone(),
        body_bytes: u32::try_from(call.body.len()).unwrap_or(u32::MAX),
        fingerprint: fingerprint([
            call.path_and_query.as_bytes(),
            token.as_ref().map_or(&[], |sum| sum.as_slice()),
            &own_part.to_le_bytes(),
            &call.body,
        ]),
    };
    let id = asked.id;
    let decisions = traffic
        .control
        .call(asked)
        .map_err(|_| Refusal::not_run(Reason::Overloaded, Some(RETRY_SOON)))?;
    let (reply, answer) = Reply::new(traffic.settings.callers.unread_timeout);
    let driven = drive(
        Arc::clone(hosted),
        (id, arrived),
        call,
        decisions,
        reply,
        memory,
    );
    tokio::spawn(driven);
    Ok(answer.response().await)
}

/// Says whether the process does not keep up with what it has taken.
fn is_behind(traffic: &Traffic) -> bool {
    traffic.lag.is_too_large() || traffic.control.is_behind()
}

/// Returns the size that a body may have: the operators' limit, or that of the settings until it is known.
fn body_bytes_max(traffic: &Traffic) -> usize {
    let own = traffic.settings.callers.body_bytes_max;
    let allowed = traffic
        .control
        .limits()
        .map_or(own, |limits| limits.body_bytes);
    match allowed {
        0 => own,
        allowed => allowed.min(own),
    }
}

/// Returns the host that a caller names, without a port.
fn host(head: &Parts) -> Option<String> {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let named = named.or_else(|| head.uri.host())?;
    let host = named.rsplit_once(':').map_or(named, |(host, _)| host);
    Some(host.to_owned())
}

/// Returns the answer that a refusal is to a caller of the platform.
fn response(refusal: &Refusal) -> Response {
    let mut response = refusal::response(refusal);
    *response.status_mut() = bulrushtrestle_platform::answer::status(refusal);
    let wait = refusal
        .retry_after
        .map(bulrushtrestle_platform::answer::retry_after);
    if let Some(wait) = wait.and_then(|wait| HeaderValue::try_from(wait).ok()) {
        response.headers_mut().insert(RETRY_AFTER, wait);
    }
    response
}
