//! Sending one request and following its answer to the end.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::json;
use uuid::Uuid;

use super::address::Addresses;
use super::experiment::{Experiment, Kind, Organisation, Stream};
use super::sse::{Event, Reader};
use super::tally::{Call, Failure, Outcome, Refusal};
use crate::error::Error;

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// How many routers are tried for one request while none of it was sent.
const ROUTERS_MAX: usize = 3;

/// The largest refusal or plain answer that is read, in bytes.
const BODY_BYTES_MAX: usize = 4 * 1024 * 1024;

/// The header that names the class of a request.
const CLASS: &str = "x-class";

/// The callers of all organisations.
#[derive(Debug)]
pub(super) struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<Addresses>,
}

/// A refusal as routers write it.
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

    /// Asks whether any router answers.
    ///
    /// # Errors
    ///
    /// Fails if none of the seeds does.
    pub(super) async fn reach(&self) -> Result<(), Error> {
        match self.addresses.first() {
            Some(addresses) => addresses.reach().await,
            None => Ok(()),
        }
    }

    /// Sends a request and follows its answer; what arrives is counted as it arrives.
    pub(super) async fn call(
        &self,
        index: usize,
        organisation: &Organisation,
        stream: &Stream,
        call: &Call,
    ) -> Outcome {
        let res = match self.send(index, organisation, stream).await {
            Ok(res) => res,
            Err(failure) => return Outcome::Failed(failure),
        };
        if !res.status().is_success() {
            return refused(res).await;
        }
        match stream.kind {
            Kind::Chat => follow(res, call).await,
            Kind::Plain => whole(res, call).await,
        }
    }

    /// Sends a request to the first router that can be connected to.
    async fn send(
        &self,
        index: usize,
        organisation: &Organisation,
        stream: &Stream,
    ) -> Result<Response<Incoming>, Failure> {
        let key = stream.once.then(Uuid::now_v7);
        for _ in 0..ROUTERS_MAX {
            let Some(&router) = self.addresses[index].get().await.first() else {
                return Err(Failure::Connect);
            };
            let req = request(router, organisation, stream, key);
            match self.client.request(req).await {
                Ok(res) => return Ok(res),
                Err(err) if err.is_connect() => self.addresses[index].forget(router).await,
                Err(_) => return Err(Failure::Broken),
            }
        }
        Err(Failure::Connect)
    }
}

fn request(
    router: SocketAddr,
    organisation: &Organisation,
    stream: &Stream,
    key: Option<Uuid>,
) -> Request<Full<Bytes>> {
    let (path, body) = match stream.kind {
        Kind::Chat => ("/v1/chat/completions".to_owned(), chat_body(stream)),
        Kind::Plain => {
            let path = format!("/v1/services/{}{}", stream.pool, stream.path);
            (path, filler(stream.body_bytes))
        }
    };
    let token = organisation.token.as_deref().unwrap_or_default();
    let mut req = Request::post(format!("http://{router}{path}"))
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(class) = stream.class {
        req = req.header(CLASS, class.as_str());
    }
    if let Some(key) = key {
        req = req.header("idempotency-key", key.to_string());
    }
    req.body(Full::new(body.into()))
        .expect("tokens and paths were checked")
}

fn chat_body(stream: &Stream) -> String {
    // A number of its own makes each prompt differ, as those of real callers do.
    let mut content = format!("{} ", Uuid::now_v7());
    if let Some(tokens) = stream.answer_tokens {
        content.push_str(&format!("[tokens={tokens}] "));
    }
    content.push_str(&filler(stream.body_bytes));
    json!({
        "model": stream.pool,
        "messages": [{ "role": "user", "content": content }],
        "stream": true,
        "max_tokens": stream.max_tokens,
    })
    .to_string()
}

fn filler(bytes: u64) -> String {
    "clock "
        .chars()
        .cycle()
        .take(usize::try_from(bytes).unwrap_or(usize::MAX))
        .collect()
}

/// Reads why a request was refused.
async fn refused(res: Response<Incoming>) -> Outcome {
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

/// Follows a stream of tokens to its end mark.
async fn follow(res: Response<Incoming>, call: &Call) -> Outcome {
    let mut body = res.into_body();
    let mut reader = Reader::default();
    let mut progress = Progress::default();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Outcome::Failed(Failure::Broken);
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        reader.take(&bytes, |event| progress.take(event, call));
    }
    progress.outcome()
}

/// How far a stream has come.
#[derive(Debug, Default)]
struct Progress {
    tokens: u64,
    ended: bool,
    problem: bool,
    out_of_order: bool,
}

impl Progress {
    fn take(&mut self, event: Event, call: &Call) {
        match event {
            Event::Token(number) => {
                self.tokens += 1;
                self.out_of_order |= number.is_some_and(|number| number != self.tokens);
                call.token();
            }
            Event::End => self.ended = true,
            Event::Problem => self.problem = true,
        }
    }

    const fn outcome(&self) -> Outcome {
        match self {
            Self { problem: true, .. } => Outcome::Failed(Failure::Problem),
            Self {
                out_of_order: true, ..
            } => Outcome::Failed(Failure::OutOfOrder),
            Self { ended: true, .. } => Outcome::Finished,
            Self { .. } => Outcome::Failed(Failure::Truncated),
        }
    }
}

/// Reads the whole answer of a plain service.
async fn whole(res: Response<Incoming>, call: &Call) -> Outcome {
    call.begun();
    match Limited::new(res.into_body(), BODY_BYTES_MAX)
        .collect()
        .await
    {
        Ok(_) => Outcome::Finished,
        Err(_) => Outcome::Failed(Failure::Truncated),
    }
}
