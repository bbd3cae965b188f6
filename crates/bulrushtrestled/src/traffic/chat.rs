//! Answers of model engines, which always stream.
//!
//! Every token carries its number, so an answer that breaks off goes on from there, at the same or at
//! another target, and the caller sees each token once. A caller that did not ask for a stream gets
//! the same tokens as one answer.

use std::time::Duration;

use axum::response::Response;
use bulrushtrestle_core::input::FailureKind;
use bytes::{Bytes, BytesMut};
use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode, response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::metrics::Edge;
use crate::traffic::attempt::{Attempt, Ended};
use crate::traffic::plain;
use crate::traffic::reply::{Reply, stream_head};
use crate::traffic::sse::{Event, Splitter};

/// The largest answer that is gathered for a caller that did not ask for a stream.
const GATHERED_BYTES_MAX: usize = 8 * 1024 * 1024;

/// For how long the end of a body is awaited behind the end mark, so that its connection can be kept.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// What a caller has of an answer, over all attempts.
#[derive(Debug)]
pub(super) struct ChatAnswer {
    /// Tokens that the caller has, or that are gathered for it.
    delivered: u64,
    /// What is gathered; `None` for a caller that asked for a stream.
    gathered: Option<Gathered>,
    /// Whether the caller has the beginning of a stream.
    is_streaming: bool,
}

#[derive(Debug, Default)]
struct Gathered {
    model: String,
    content: String,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    model: Option<String>,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Serialize)]
struct Completion<'a> {
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u64,
}

/// Whether more of a stream is to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    More,
    End,
}

impl ChatAnswer {
    pub(super) fn new(stream: bool) -> Self {
        Self {
            delivered: 0,
            gathered: (!stream).then(Gathered::default),
            is_streaming: false,
        }
    }

    /// Returns how many tokens the caller has, or are gathered for it.
    pub(super) const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Says whether the caller has the beginning of a stream, which a further attempt can go on with.
    pub(super) const fn is_streaming(&self) -> bool {
        self.is_streaming
    }

    /// Makes an attempt, from where the last one ended.
    pub(super) async fn take(&mut self, attempt: &Attempt<'_>, reply: &mut Reply) -> Ended {
        match self.stream(attempt, reply).await {
            Ok(()) => Ended::Whole,
            Err(ended) => ended,
        }
    }

    async fn stream(&mut self, attempt: &Attempt<'_>, reply: &mut Reply) -> Result<(), Ended> {
        let answer = attempt.send(self.delivered).await?;
        let (head, mut body) = answer.into_parts();
        if !head.status.is_success() {
            // The engine turned the request itself down; that is the whole answer.
            return plain::pass(attempt, head, body, reply).await;
        }
        let begun = self.delivered;
        let mut splitter = Splitter::default();
        let mut limit = attempt.first_timeout();
        loop {
            let piece = attempt.piece(&mut body, limit).await?;
            let piece = piece.ok_or(Ended::failed(FailureKind::Truncated))?;
            splitter
                .push(&piece)
                .map_err(|_| Ended::failed(FailureKind::Error))?;
            let flow = self.forward(attempt, &mut splitter, begun, reply).await?;
            if flow == Flow::End {
                tokio::spawn(finish(body));
                return Ok(());
            }
            if self.delivered > begun {
                limit = attempt.gap_timeout();
                attempt.traffic.progress.note(attempt.id, self.delivered);
            }
        }
    }

    /// Passes on the events that are whole.
    async fn forward(
        &mut self,
        attempt: &Attempt<'_>,
        splitter: &mut Splitter,
        begun: u64,
        reply: &mut Reply,
    ) -> Result<Flow, Ended> {
        let mut batch = BytesMut::new();
        let mut taken = Taken {
            delivered: self.delivered,
            flow: Flow::More,
            outcome: Ok(()),
        };
        while taken.flow == Flow::More && taken.outcome.is_ok() {
            let Some(event) = splitter.next() else {
                break;
            };
            self.take_event(attempt, &event, begun, &mut taken, &mut batch);
        }
        if self.gathered.is_none() && !batch.is_empty() {
            reply.begin(stream_head());
            self.is_streaming = true;
            reply.send(batch.freeze()).await?;
        }
        self.delivered = taken.delivered;
        taken.outcome?;
        if taken.flow == Flow::End {
            self.complete(reply).await?;
        }
        Ok(taken.flow)
    }

    fn take_event(
        &mut self,
        attempt: &Attempt<'_>,
        event: &Event,
        begun: u64,
        taken: &mut Taken,
        batch: &mut BytesMut,
    ) {
        if event.is_end {
            taken.flow = Flow::End;
        } else if let Some(id) = event.id {
            if id <= taken.delivered {
                attempt.traffic.metrics.edge(Edge::TokenRepeated);
                return;
            }
            if id != taken.delivered + 1 {
                taken.outcome = Err(Ended::failed(FailureKind::Truncated));
                return;
            }
            taken.delivered = id;
        } else if begun > 0 {
            // An opening event without a number came with the first attempt.
            return;
        }
        match &mut self.gathered {
            None => batch.extend_from_slice(&event.raw),
            Some(_) if event.is_end => {}
            Some(gathered) => {
                if gathered.add(event).is_none() {
                    taken.outcome = Err(Ended::failed(FailureKind::Error));
                }
            }
        }
    }

    /// Gives a caller that did not ask for a stream its answer.
    async fn complete(&self, reply: &mut Reply) -> Result<(), Ended> {
        let Some(gathered) = &self.gathered else {
            return Ok(());
        };
        reply.begin(json_head());
        reply.send(gathered.completion(self.delivered)).await?;
        Ok(())
    }
}

/// What came of the events that are passed on together.
struct Taken {
    delivered: u64,
    flow: Flow,
    outcome: Result<(), Ended>,
}

impl Gathered {
    /// Adds an event, if it is a chunk of an answer and there is room for it.
    fn add(&mut self, event: &Event) -> Option<()> {
        let Some(data) = event.data() else {
            // A comment carries nothing.
            return Some(());
        };
        let chunk: Chunk = serde_json::from_slice(data).ok()?;
        if let Some(model) = chunk.model {
            self.model = model;
        }
        for choice in chunk.choices {
            self.content
                .push_str(choice.delta.content.as_deref().unwrap_or_default());
            self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
        }
        (self.content.len() <= GATHERED_BYTES_MAX).then_some(())
    }

    fn completion(&self, tokens: u64) -> Bytes {
        let completion = Completion {
            object: "chat.completion",
            model: &self.model,
            choices: [Choice {
                index: 0,
                message: Message {
                    role: "assistant",
                    content: &self.content,
                },
                finish_reason: self.finish_reason.as_deref().unwrap_or("stop"),
            }],
            usage: Usage {
                completion_tokens: tokens,
            },
        };
        serde_json::to_vec(&completion)
            .expect("a completion has only plain members")
            .into()
    }
}

fn json_head() -> response::Parts {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::OK;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response.into_parts().0
}

/// Reads a body to its end behind the end mark, so that its connection can be kept.
async fn finish(mut body: Incoming) {
    let end = async { while let Some(Ok(_)) = body.frame().await {} };
    drop(timeout(END_TIMEOUT, end).await);
}
