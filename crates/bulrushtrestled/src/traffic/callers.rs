//! The HTTP paths of the callers' listener.

use std::sync::Arc;

use axum::error_handling::HandleErrorLayer;
use axum::extract::{Path, Request, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get, post};
use axum::{BoxError, Json, Router};
use bulrushtrestle_core::catalogue::entry::Service;
use bulrushtrestle_core::key::Fingerprint;
use bulrushtrestle_core::request::Repeat;
use bulrushtrestle_core::verdict::{Reason, Refusal};
use bytes::{Bytes, BytesMut};
use http::header::{AUTHORIZATION, CONTENT_LENGTH};
use http::{HeaderMap, request};
use http_body_util::BodyExt;
use hyper::body::Body;
use serde::Serialize;
use tokio::time::timeout;
use tower::ServiceBuilder;
use tower::limit::GlobalConcurrencyLimitLayer;

use crate::control::{Arrival, Identity};
use crate::traffic::Traffic;
use crate::traffic::admission::{Admission, BodyMemory, OpenRequest};
use crate::traffic::drive::{Call, drive};
use crate::traffic::parse::{Chat, Options, fingerprint, malformed};
use crate::traffic::refusal::{self, DEFAULT_RETRY_AFTER};
use crate::traffic::reply::Reply;

/// The body of an answer to `/v1/addresses`.
#[derive(Serialize)]
struct Addresses {
    addresses: Vec<String>,
    valid_for_ms: u64,
}

/// Returns the service that answers requests at the callers' listener.
pub(super) fn router(traffic: Arc<Traffic>) -> Router {
    let shedding = Arc::clone(&traffic);
    let limits = ServiceBuilder::new()
        .layer(HandleErrorLayer::new(move |_: BoxError| {
            let traffic = Arc::clone(&shedding);
            async move {
                let refusal = Refusal::not_run(Reason::Overloaded, Some(DEFAULT_RETRY_AFTER));
                refusal::response(&traffic.refused(refusal))
            }
        }))
        .load_shed()
        .layer(GlobalConcurrencyLimitLayer::new(
            traffic.settings.callers.requests_max,
        ));
    Router::new()
        .route("/v1/chat/completions", post(chat))
        .route("/v1/services/{name}", any(plain_root))
        .route("/v1/services/{name}/", any(plain_root))
        .route("/v1/services/{name}/{*rest}", any(plain))
        .layer(limits)
        // Outside the limits, so that a router at its request limit still answers with addresses.
        .route("/v1/addresses", get(addresses))
        .fallback(unknown_path)
        .method_not_allowed_fallback(unknown_path)
        .with_state(traffic)
}

async fn unknown_path(State(traffic): State<Arc<Traffic>>) -> Response {
    refusal::response(&traffic.refused(malformed()))
}

async fn addresses(State(traffic): State<Arc<Traffic>>, headers: HeaderMap) -> Response {
    let identity = match headers.contains_key(AUTHORIZATION) {
        true => {
            let found = traffic.admission.identify(&traffic.control, &headers).await;
            match found {
                Ok(identity) => Some(identity),
                // A router without a current catalogue still answers, as for an anonymous caller.
                Err(refusal) if refusal.reason == Reason::NotCurrent => None,
                Err(refusal) => return refusal::response(&traffic.refused(refusal)),
            }
        }
        false => None,
    };
    let organisation = identity.map(|identity| identity.organisation);
    match traffic.control.addresses(organisation).await {
        Ok(answer) => Json(Addresses {
            valid_for_ms: refusal::millis(answer.valid),
            addresses: answer.addresses,
        })
        .into_response(),
        Err(_) => {
            let refusal = Refusal::not_run(Reason::Overloaded, Some(DEFAULT_RETRY_AFTER));
            refusal::response(&traffic.refused(refusal))
        }
    }
}

async fn chat(State(traffic): State<Arc<Traffic>>, req: Request) -> Response {
    let outcome = async {
        let admitted = Admitted::read(&traffic, req).await?;
        let chat = Chat::read(&admitted.body)?;
        let call = Call {
            id: traffic.control.next_request(),
            service: Service::Model,
            stream: chat.stream,
            method: http::Method::POST,
            path: "/v1/chat/completions".to_owned(),
            headers: admitted.head.headers,
            body: chat.body,
            prefix: Some(chat.prefix),
            fresh_connection: admitted.options.key.is_some(),
        };
        let arrival = Arrival {
            arrived: traffic.clock.now(),
            id: call.id,
            organisation: admitted.identity.organisation,
            kind: Service::Model,
            class: admitted.options.class,
            repeat: admitted.options.repeat_chat(),
            deadline: deadline(&traffic, &admitted.options),
            prompt_tokens: chat.prompt_tokens,
            hint_tokens: admitted.options.hint_tokens,
            fingerprint: fingerprint([chat.model.as_bytes(), &admitted.body]),
            prefix: Some(chat.prefix),
            pool: chat.model,
        };
        start(&traffic, arrival, call, (admitted.open, admitted.memory)).await
    };
    response_of(&traffic, outcome.await)
}

async fn plain_root(
    State(traffic): State<Arc<Traffic>>,
    Path(name): Path<String>,
    req: Request,
) -> Response {
    let outcome = call_plain(&traffic, name, req).await;
    response_of(&traffic, outcome)
}

async fn plain(
    State(traffic): State<Arc<Traffic>>,
    Path((name, _)): Path<(String, String)>,
    req: Request,
) -> Response {
    let outcome = call_plain(&traffic, name, req).await;
    response_of(&traffic, outcome)
}

async fn call_plain(
    traffic: &Arc<Traffic>,
    name: String,
    req: Request,
) -> Result<Response, Refusal> {
    let admitted = Admitted::read(traffic, req).await?;
    let path = service_path(&admitted.head);
    let method = admitted.head.method;
    let repeat = admitted.options.repeat_plain(&method);
    let content = [
        name.as_bytes(),
        method.as_str().as_bytes(),
        path.as_bytes(),
        &admitted.body,
    ];
    let content: Fingerprint = fingerprint(content);
    let call = Call {
        id: traffic.control.next_request(),
        service: Service::Plain,
        stream: false,
        method,
        path,
        headers: admitted.head.headers,
        body: admitted.body,
        prefix: None,
        fresh_connection: repeat != Repeat::Allowed,
    };
    let arrival = Arrival {
        arrived: traffic.clock.now(),
        id: call.id,
        organisation: admitted.identity.organisation,
        pool: name,
        kind: Service::Plain,
        class: admitted.options.class,
        repeat,
        deadline: deadline(traffic, &admitted.options),
        prompt_tokens: 0,
        hint_tokens: admitted.options.hint_tokens,
        fingerprint: content,
        prefix: None,
    };
    start(traffic, arrival, call, (admitted.open, admitted.memory)).await
}

/// Hands a request over to the control thread and waits for the head of its answer. `held` is
/// released when the request has ended.
async fn start(
    traffic: &Arc<Traffic>,
    arrival: Arrival,
    call: Call,
    held: (OpenRequest, BodyMemory),
) -> Result<Response, Refusal> {
    let decisions = traffic
        .control
        .request(arrival)
        .map_err(|_| Refusal::not_run(Reason::Overloaded, Some(DEFAULT_RETRY_AFTER)))?;
    let (reply, answer) = Reply::new(traffic.settings.callers.unread_timeout);
    tokio::spawn(drive(Arc::clone(traffic), call, decisions, reply, held));
    Ok(answer.response().await)
}

/// Returns the response of a request. Counts a refusal and turns it into its response.
fn response_of(traffic: &Traffic, outcome: Result<Response, Refusal>) -> Response {
    outcome.unwrap_or_else(|refusal| refusal::response(&traffic.refused(refusal)))
}

/// Returns the time of the deadline that the caller set, if any.
fn deadline(traffic: &Traffic, options: &Options) -> Option<bulrushtrestle_core::time::Time> {
    options.timeout.map(|timeout| traffic.clock.now() + timeout)
}

/// Returns the part of the path after the service's name, with the query, exactly as the caller
/// sent both.
fn service_path(head: &request::Parts) -> String {
    let full = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = full
        .strip_prefix("/v1/services/")
        .and_then(|named| named.find(['/', '?']).map(|at| &named[at..]))
        .unwrap_or("/");
    match rest.starts_with('/') {
        true => rest.to_owned(),
        false => format!("/{rest}"),
    }
}

/// A request that was admitted and whose body has been read in full.
struct Admitted {
    head: request::Parts,
    body: Bytes,
    identity: Identity,
    options: Options,
    open: OpenRequest,
    memory: BodyMemory,
}

impl Admitted {
    /// Identifies the caller, checks the limits and reads the body. The caller is identified before
    /// any of the body is read.
    async fn read(traffic: &Arc<Traffic>, req: Request) -> Result<Self, Refusal> {
        let (head, body) = req.into_parts();
        let identity = traffic
            .admission
            .identify(&traffic.control, &head.headers)
            .await?;
        let options = Options::read(&head.headers)?;
        let open = Admission::open(traffic, &identity)?;
        let limit = traffic.settings.callers.body_bytes_max;
        check_content_length(&head.headers, limit)?;
        // Only received bytes are counted, so that a large Content-Length alone takes no memory
        // from other callers.
        let mut memory = Admission::reserve_body_memory(traffic, 0)?;
        let reading = read_body(traffic, body, limit, &mut memory);
        let body = timeout(traffic.settings.callers.body_timeout, reading)
            .await
            .map_err(|_| Refusal::not_run(Reason::CallerTooSlow, None))??;
        Ok(Self {
            head,
            body,
            identity,
            options,
            open,
            memory,
        })
    }
}

/// Refuses a request whose Content-Length exceeds `limit` bytes, before any of the body is read.
fn check_content_length(headers: &HeaderMap, limit: usize) -> Result<(), Refusal> {
    let Some(length) = headers.get(CONTENT_LENGTH) else {
        return Ok(());
    };
    let length: usize = length
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or(malformed())?;
    match length <= limit {
        true => Ok(()),
        false => Err(Refusal::not_run(Reason::TooLarge, None)),
    }
}

/// Reads a body of at most `limit` bytes, and counts each byte in `memory` as it arrives.
pub(super) async fn read_body<B>(
    traffic: &Arc<Traffic>,
    mut body: B,
    limit: usize,
    memory: &mut BodyMemory,
) -> Result<Bytes, Refusal>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| malformed())?.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > limit {
            return Err(Refusal::not_run(Reason::TooLarge, None));
        }
        bytes.extend_from_slice(&data);
        memory.grow_to(traffic, bytes.len())?;
    }
    Ok(bytes.freeze())
}
