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
use crate::control::{HostedCall, retry_soon};
use crate::listener::{self, Gate, Protocols};
use crate::metrics::{Account, Edge, Stage};
use crate::traffic::admission::Admission;
use crate::traffic::callers::read_body;
use crate::traffic::parse::{fingerprint, malformed};
use crate::traffic::refusal;
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
        connections: Connections::new(
            traffic.settings.targets.clone(),
            traffic.metrics.busy.clone(),
        ),
        door: Arc::default(),
        traffic: Arc::clone(&traffic),
    });
    tokio::spawn(crate::traffic::progress::flush(Arc::clone(&traffic)));
    let closed = traffic.intake.closed();
    let measured = Arc::clone(&traffic);
    tokio::spawn(async move {
        let control = &measured.control;
        let mut account = Account::new(Arc::clone(&measured.metrics));
        let spent = || account.tell();
        measured.intake.adapt(|| control.delay(), spent).await;
    });
    let service = service_fn(move |req| {
        let hosted = Arc::clone(&hosted);
        async move { Ok(call(&hosted, req).await) }
    });
    let busy = traffic.metrics.busy.clone();
    let events = move |event| traffic.note(event);
    let gate = Gate { closed, draining };
    let serve = listener::serve(listener, service, limits, events, gate, busy.clone());
    busy.run(Stage::Accept, serve).await;
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
    let busy = &hosted.traffic.metrics.busy;
    let attempt = request::attempt(&head.headers).cloned();
    let started = busy.run(Stage::Admit, start(hosted, head, body));
    match started.await {
        Ok(mut response) => {
            if hosted.traffic.intake.is_late() {
                close_after(&mut response);
            }
            response
        }
        Err(refusal) => {
            let _within = busy.enter(Stage::Refuse);
            hosted
                .traffic
                .metrics
                .count(Counter::Refused(refusal.reason));
            if refusal.reason != Reason::Overloaded || hosted.door.admits() {
                let attempt = attempt.as_ref().and_then(|id| id.to_str().ok());
                log_refusal(busy, attempt.unwrap_or_default(), &refusal);
            }
            let mut response = response(&refusal);
            if is_behind(&hosted.traffic) {
                close_after(&mut response);
            }
            response
        }
    }
}

/// Closes a connection behind an answer, so that the caller's next request goes to a router that takes connections.
fn close_after(response: &mut Response) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

async fn start(hosted: &Arc<Hosted>, head: Parts, body: Incoming) -> Result<Response, Refusal> {
    let traffic = &hosted.traffic;
    let id = traffic.control.next_request();
    let overloaded = || Refusal::not_run(Reason::Overloaded, Some(retry_soon(id)));
    if is_behind(traffic) {
        traffic.metrics.edge(Edge::RefusedAtDoor);
        return Err(overloaded());
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
        id,
        host: call.host.clone(),
        path: head.uri.path().to_owned(),
        token,
        arrived,
        handed_over: traffic.clock.now(),
        said: call.said.clone(),
        body_bytes: u32::try_from(call.body.len()).unwrap_or(u32::MAX),
        fingerprint: fingerprint([
            call.path_and_query.as_bytes(),
            token.as_ref().map_or(&[], |sum| sum.as_slice()),
            &own_part.to_le_bytes(),
            &call.body,
        ]),
    };
    let decisions = traffic.control.call(asked).map_err(|_| {
        traffic.metrics.edge(Edge::RefusedAtHandover);
        overloaded()
    })?;
    let (reply, answer) = Reply::new(traffic.settings.callers.unread_timeout);
    let driven = drive(
        Arc::clone(hosted),
        (id, arrived),
        call,
        decisions,
        reply,
        memory,
    );
    let busy = traffic.metrics.busy.clone();
    tokio::spawn(async move { busy.run(Stage::Relay, driven).await });
    Ok(answer.response().await)
}

/// Says whether the process does not keep up with what it has taken.
fn is_behind(traffic: &Traffic) -> bool {
    traffic.intake.is_too_late() || traffic.control.is_behind()
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
