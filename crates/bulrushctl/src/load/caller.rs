//! Sends one request and reads its answer to the end.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use uuid::Uuid;

use super::address::Addresses;
use super::experiment::{Experiment, Kind, Organisation, Stream};
use super::request::{Body, request};
use super::sse::{Event, Parser};
use super::tally::{Call, Failure, Outcome, Refusal};
use crate::error::Error;

/// The time within which a connection has to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of routers to which a connection is tried for one request.
const ROUTERS_MAX: usize = 3;

/// The maximum size of a refusal or of the answer of a plain service, in bytes.
const BODY_BYTES_MAX: usize = 4 * 1024 * 1024;

/// The HTTP client of all organisations, with the router addresses that each organisation uses.
#[derive(Debug)]
pub(super) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<Addresses>,
}

/// The body of a refusal, in the form that routers send.
#[derive(Debug, Deserialize)]
struct Problem {
    verdict: String,
    reason: String,
}

impl Caller {
    pub(super) fn new(experiment: &Experiment) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let addresses = experiment.organisations.iter().map(|organisation| {
            Addresses::new(
                experiment.seeds.clone(),
                organisation.token.clone().unwrap_or_default(),
            )
        });
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            addresses: addresses.collect(),
        }
    }

    /// Checks that a router answers.
    ///
    /// # Errors
    ///
    /// Fails if no seed answers with an address that may be used.
    pub(super) async fn check_reachable(&self) -> Result<(), Error> {
        match self.addresses.first() {
            Some(addresses) => addresses.check_reachable().await,
            None => Ok(()),
        }
    }

    /// Sends a request and reads its answer. Tokens are counted as they arrive.
    pub(super) async fn call(
        &self,
        index: usize,
        organisation: &Organisation,
        stream: &Stream,
        call: &Call,
    ) -> Outcome {
        let body = Body::new(organisation, stream);
        let res = match self.send(index, organisation, stream, &body).await {
            Ok(res) => res,
            Err(failure) => return Outcome::Failed(failure),
        };
        if !res.status().is_success() {
            return read_refusal(res).await;
        }
        match stream.kind {
            Kind::Chat => read_chat_answer(res, call, body.mark()).await,
            Kind::Plain => read_plain_answer(res, call, body.mark()).await,
        }
    }

    /// Sends a request to the first router that accepts a connection.
    async fn send(
        &self,
        index: usize,
        organisation: &Organisation,
        stream: &Stream,
        body: &Body,
    ) -> Result<Response<Incoming>, Failure> {
        let key = stream.once.then(Uuid::now_v7);
        for _ in 0..ROUTERS_MAX {
            let Some(&router) = self.addresses[index].get().await.first() else {
                return Err(Failure::Connect);
            };
            let req = request(router, organisation, stream, key, body);
            match self.client.request(req).await {
                Ok(res) => return Ok(res),
                Err(err) if err.is_connect() => self.addresses[index].forget(router).await,
                Err(_) => return Err(Failure::Broken),
            }
        }
        Err(Failure::Connect)
    }
}

/// Reads the reason of a refusal. A response without a valid problem body counts as failed.
async fn read_refusal(res: Response<Incoming>) -> Outcome {
    let status = res.status();
    let retry_after = res.headers().contains_key(header::RETRY_AFTER);
    let body = Limited::new(res.into_body(), BODY_BYTES_MAX)
        .collect()
        .await;
    let bytes = body.map(|body| body.to_bytes()).unwrap_or_default();
    match serde_json::from_slice::<Problem>(&bytes) {
        Ok(Problem { verdict, reason }) => Outcome::Refused(Refusal {
            reason,
            verdict,
            retry_after,
        }),
        Err(_) => Outcome::Failed(Failure::Status(status.as_u16())),
    }
}

/// Reads the stream of tokens of a chat answer until the body ends.
async fn read_chat_answer(res: Response<Incoming>, call: &Call, mark: Option<&str>) -> Outcome {
    let mut body = res.into_body();
    let mut parser = Parser::default();
    let mut progress = Progress::default();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Outcome::Failed(Failure::Broken);
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        parser.push(&bytes, |event| progress.on_event(&event, call, mark));
    }
    progress.outcome()
}

/// The state of a stream of tokens that is being read.
#[derive(Debug, Default)]
struct Progress {
    tokens: u64,
    ended: bool,
    problem: bool,
    out_of_order: bool,
    crossed: bool,
}

impl Progress {
    fn on_event(&mut self, event: &Event, call: &Call, mark: Option<&str>) {
        match event {
            Event::Token { number, data } => {
                self.tokens += 1;
                self.crossed |= mark.is_some_and(|mark| !data.contains(mark));
                self.out_of_order |= number.is_some_and(|number| number != self.tokens);
                call.on_token();
            }
            Event::End => self.ended = true,
            Event::Problem => self.problem = true,
        }
    }

    const fn outcome(&self) -> Outcome {
        match self {
            Self { crossed: true, .. } => Outcome::Failed(Failure::Crossed),
            Self { problem: true, .. } => Outcome::Failed(Failure::Problem),
            Self {
                out_of_order: true, ..
            } => Outcome::Failed(Failure::OutOfOrder),
            Self { ended: true, .. } => Outcome::Finished,
            Self { .. } => Outcome::Failed(Failure::Truncated),
        }
    }
}

/// Reads the complete answer of a plain service.
async fn read_plain_answer(res: Response<Incoming>, call: &Call, mark: Option<&str>) -> Outcome {
    call.on_answer_start();
    let body = Limited::new(res.into_body(), BODY_BYTES_MAX)
        .collect()
        .await;
    let Ok(body) = body else {
        return Outcome::Failed(Failure::Truncated);
    };
    let bytes = body.to_bytes();
    let text = String::from_utf8_lossy(&bytes);
    match mark {
        Some(mark) if !text.contains(mark) => Outcome::Failed(Failure::Crossed),
        _ => Outcome::Finished,
    }
}
