//! Requests of callers on a hosting platform.
//!
//! # Invariant
//!
//! The bodies of a request and of its answer are forwarded unchanged. An answer is forwarded only
//! if its head shows that it belongs to the request, and a caller can always detect an answer that
//! broke off. A request that may run only once is sent again only if no target can have started it.
//! The final answer is sent as soon as it is known.
//!
//! `bulrushtrestle-platform` translates the headers on both sides. The node decides how a request
//! is handled.

mod connections;
mod directory;
mod drive;
mod first_ids;
mod refusal_log;
mod relay;
mod sequence;
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
use self::drive::drive;
use self::first_ids::FirstIds;
use self::refusal_log::{RefusalLog, log_refusal};
use crate::control::{HostedCall, spread_retry_after};
use crate::listener::{self, Gate, Protocols};
use crate::metrics::{Edge, IntervalStats, Stage};
use crate::traffic::admission::Admission;
use crate::traffic::callers::read_body;
use crate::traffic::parse::{fingerprint, malformed};
use crate::traffic::refusal;
use crate::traffic::reply::Reply;
use crate::traffic::{Traffic, limits};

pub(crate) use self::directory::serve as serve_directory;

/// Serves callers until `draining` is set, then finishes the open requests.
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
        refusal_log: Arc::default(),
        first_ids: FirstIds::default(),
        traffic: Arc::clone(&traffic),
    });
    tokio::spawn(crate::traffic::progress::flush(Arc::clone(&traffic)));
    let closed = traffic.accept_limiter.closed();
    let measured = Arc::clone(&traffic);
    tokio::spawn(async move {
        let control = &measured.control;
        let mut account = IntervalStats::new(Arc::clone(&measured.metrics));
        let account = || account.log_fields();
        measured
            .accept_limiter
            .adapt(|| control.take_delay(), account)
            .await;
    });
    let service = service_fn(move |req| {
        let hosted = Arc::clone(&hosted);
        async move { Ok(call(&hosted, req).await) }
    });
    let busy = traffic.metrics.busy.clone();
    let events = move |event| traffic.record(event);
    let gate = Gate { closed, draining };
    let serve = listener::serve(listener, service, limits, events, gate, busy.clone());
    busy.run(Stage::Accept, serve).await;
}

/// The state shared by all requests of callers on a hosting platform.
#[derive(Debug)]
struct Hosted {
    traffic: Arc<Traffic>,
    connections: Connections,
    refusal_log: Arc<RefusalLog>,
    first_ids: FirstIds,
}

/// A request as received, without the headers that the router adds for a target.
#[derive(Debug)]
struct Call {
    /// The decoded head of the request.
    info: request::RequestInfo,
    method: Method,
    host: String,
    path_and_query: String,
    headers: HeaderMap,
    body: Bytes,
}

/// Answers a request, and closes the connection afterwards if the router is overloaded.
async fn call(hosted: &Arc<Hosted>, req: Request<Incoming>) -> Response {
    let (head, body) = req.into_parts();
    let busy = &hosted.traffic.metrics.busy;
    let attempt = request::attempt(&head.headers).cloned();
    let started = busy.run(Stage::Admit, start(hosted, head, body));
    match started.await {
        Ok(mut response) => {
            if hosted.traffic.accept_limiter.is_late() {
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
            if refusal.reason != Reason::Overloaded || hosted.refusal_log.allows_line() {
                let attempt = attempt.as_ref().and_then(|id| id.to_str().ok());
                log_refusal(busy, attempt.unwrap_or_default(), &refusal);
            }
            let mut response = refusal_response(&refusal);
            if is_overloaded(&hosted.traffic) {
                close_after(&mut response);
            }
            response
        }
    }
}

/// Makes the connection close after an answer, so that the caller's next request goes to a router
/// that accepts connections.
fn close_after(response: &mut Response) {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
}

/// Reads a request, hands it over to the control thread and waits for the head of its answer.
async fn start(hosted: &Arc<Hosted>, head: Parts, body: Incoming) -> Result<Response, Refusal> {
    let traffic = &hosted.traffic;
    let id = traffic.control.next_request();
    let overloaded = || Refusal::not_run(Reason::Overloaded, Some(spread_retry_after(id)));
    if is_overloaded(traffic) {
        traffic.metrics.edge(Edge::RefusedEarly);
        return Err(overloaded());
    }
    let arrived = traffic.clock.now();
    let host = host(&head).ok_or_else(malformed)?;
    let max = body_bytes_max(traffic);
    let mut memory = Admission::reserve_body_memory(traffic, 0)?;
    let reading = read_body(traffic, body, max, &mut memory);
    let body = timeout(traffic.settings.callers.body_timeout, reading)
        .await
        .map_err(|_| Refusal::not_run(Reason::CallerTooSlow, None))??;
    let path_and_query = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let token = request::bearer_token(&head.headers).map(|token| Sha256::digest(token).into());
    let call = Call {
        info: request::decode(&head.headers),
        method: head.method,
        host,
        path_and_query: path_and_query.to_owned(),
        headers: head.headers,
        body,
    };
    let last_part = call.info.parts.last().map_or(0, |part| part.content.0);
    let arrival = HostedCall {
        id,
        host: call.host.clone(),
        path: head.uri.path().to_owned(),
        token,
        arrived,
        handed_over: traffic.clock.now(),
        head: call.info.clone(),
        body_bytes: u32::try_from(call.body.len()).unwrap_or(u32::MAX),
        fingerprint: fingerprint([
            call.path_and_query.as_bytes(),
            token.as_ref().map_or(&[], |sum| sum.as_slice()),
            &last_part.to_le_bytes(),
            &call.body,
        ]),
    };
    let decisions = traffic.control.call(arrival).map_err(|_| {
        traffic.metrics.edge(Edge::RefusedQueueFull);
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

/// Returns whether the traffic threads or the control thread are so late that requests are refused.
fn is_overloaded(traffic: &Traffic) -> bool {
    traffic.accept_limiter.is_overloaded() || traffic.control.is_behind()
}

/// Returns the largest allowed body, in bytes: the operators' limit, but at most the limit in the
/// settings. The latter applies alone while the operators' limit is unknown or zero.
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

/// Returns the host of a request, without a port.
fn host(head: &Parts) -> Option<String> {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let named = named.or_else(|| head.uri.host())?;
    let host = named.rsplit_once(':').map_or(named, |(host, _)| host);
    Some(host.to_owned())
}

/// Returns the response for a refusal, with the status and headers of the hosting platform.
fn refusal_response(refusal: &Refusal) -> Response {
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
