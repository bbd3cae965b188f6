//! Answers of model engines, which are always streamed.
//!
//! Every token carries its number. An answer that breaks off is resumed after the last token, at
//! the same or another target, and the caller receives each token once. A caller that did not ask
//! for a stream receives the same tokens as one JSON answer.

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

/// The largest text that is collected for a caller that did not ask for a stream.
const COLLECTED_BYTES_MAX: usize = 8 * 1024 * 1024;

/// The timeout for the end of a body after the end mark. The connection can be reused only if the
/// body is read to its end.
const BODY_END_TIMEOUT: Duration = Duration::from_secs(1);

/// The state of an answer to a chat request, across all attempts.
#[derive(Debug)]
pub(super) struct ChatAnswer {
    /// The number of tokens that were sent to the caller or collected for it.
    delivered: u64,
    /// The collected answer; `None` if the caller asked for a stream.
    collected: Option<Collected>,
    /// Whether the beginning of a stream was sent to the caller.
    is_streaming: bool,
    /// Whether an earlier attempt sent the beginning of the answer.
    has_opened: bool,
}

/// An answer that is collected for a caller that did not ask for a stream.
#[derive(Debug, Default)]
struct Collected {
    model: String,
    content: String,
    finish_reason: Option<String>,
}

/// The data of an event in the stream of an engine.
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

/// The answer to a caller that did not ask for a stream.
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

/// Whether the end of a stream was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Flow {
    /// The stream continues.
    More,
    /// The end mark was received.
    End,
}

impl ChatAnswer {
    /// Returns an empty answer, to be streamed if `stream` is set.
    pub(super) fn new(stream: bool) -> Self {
        Self {
            delivered: 0,
            collected: (!stream).then(Collected::default),
            is_streaming: false,
            has_opened: false,
        }
    }

    /// Returns the number of tokens that were sent to the caller or collected for it.
    pub(super) const fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns whether the beginning of a stream was sent to the caller. Another attempt can
    /// continue such a stream.
    pub(super) const fn is_streaming(&self) -> bool {
        self.is_streaming
    }

    /// Runs an attempt, which resumes the answer after the last token that was delivered.
    pub(super) async fn run_attempt(&mut self, attempt: &Attempt<'_>, reply: &mut Reply) -> Ended {
        match self.stream(attempt, reply).await {
            Ok(()) => Ended::Complete,
            Err(ended) => ended,
        }
    }

    async fn stream(&mut self, attempt: &Attempt<'_>, reply: &mut Reply) -> Result<(), Ended> {
        self.has_opened = self.is_streaming || self.delivered > 0;
        let answer = attempt.send(self.delivered).await?;
        let (head, mut body) = answer.into_parts();
        if !head.status.is_success() {
            if self.has_opened {
                return Err(not_resumed(attempt));
            }
            // The engine rejected the request. Its response is the complete answer.
            return plain::forward(attempt, head, body, reply).await;
        }
        let resumed_from = self.delivered;
        let mut splitter = Splitter::default();
        let mut limit = attempt.first_timeout();
        loop {
            let chunk = attempt.next_chunk(&mut body, limit).await?;
            let chunk = chunk.ok_or(Ended::failed(FailureKind::Truncated))?;
            splitter
                .push(&chunk)
                .map_err(|_| Ended::failed(FailureKind::Error))?;
            let flow = self
                .forward(attempt, &mut splitter, resumed_from, reply)
                .await?;
            if flow == Flow::End {
                tokio::spawn(read_to_end(body));
                return Ok(());
            }
            if self.delivered > resumed_from {
                limit = attempt.gap_timeout();
                attempt.traffic.progress.record(attempt.id, self.delivered);
            }
        }
    }

    /// Forwards all complete events in the buffer.
    async fn forward(
        &mut self,
        attempt: &Attempt<'_>,
        splitter: &mut Splitter,
        resumed_from: u64,
        reply: &mut Reply,
    ) -> Result<Flow, Ended> {
        let mut batch = BytesMut::new();
        let mut result = BatchResult {
            delivered: self.delivered,
            flow: Flow::More,
            outcome: Ok(()),
        };
        while result.flow == Flow::More && result.outcome.is_ok() {
            let Some(event) = splitter.next() else {
                break;
            };
            self.process_event(attempt, &event, resumed_from, &mut result, &mut batch);
        }
        if self.collected.is_none() && !batch.is_empty() {
            reply.begin(stream_head());
            self.is_streaming = true;
            reply.send(batch.freeze()).await?;
        }
        self.delivered = result.delivered;
        result.outcome?;
        if result.flow == Flow::End {
            self.complete(reply).await?;
        }
        Ok(result.flow)
    }

    /// Checks the number of an event, and adds the event to the batch or to the collected answer.
    fn process_event(
        &mut self,
        attempt: &Attempt<'_>,
        event: &Event,
        resumed_from: u64,
        result: &mut BatchResult,
        batch: &mut BytesMut,
    ) {
        if event.is_end {
            result.flow = Flow::End;
        } else if let Some(id) = event.id {
            let has_continued = result.delivered > resumed_from;
            if id <= resumed_from && !has_continued {
                // The engine runs the request from the beginning, so its tokens may be others.
                result.outcome = Err(not_resumed(attempt));
                return;
            }
            if id != result.delivered + 1 {
                result.outcome = Err(Ended::failed(FailureKind::Truncated));
                return;
            }
            result.delivered = id;
        } else if self.has_opened && result.delivered == resumed_from {
            // The caller received the opening event, which has no number, in an earlier attempt.
            return;
        }
        match &mut self.collected {
            None => batch.extend_from_slice(&event.raw),
            Some(_) if event.is_end => {}
            Some(collected) => {
                if collected.add(event).is_none() {
                    result.outcome = Err(Ended::failed(FailureKind::Error));
                }
            }
        }
    }

    /// Sends the collected answer to a caller that did not ask for a stream.
    async fn complete(&self, reply: &mut Reply) -> Result<(), Ended> {
        let Some(collected) = &self.collected else {
            return Ok(());
        };
        reply.begin(json_head());
        reply.send(collected.completion(self.delivered)).await?;
        Ok(())
    }
}

/// The result of processing the events that are forwarded in one batch.
struct BatchResult {
    /// The number of the last token, including tokens of earlier batches.
    delivered: u64,
    flow: Flow,
    outcome: Result<(), Ended>,
}

impl Collected {
    /// Adds the text of an event. Returns `None` if the event is not a valid chunk or the answer
    /// becomes too large.
    fn add(&mut self, event: &Event) -> Option<()> {
        let Some(data) = event.data() else {
            // An event without data, such as a comment, has no text.
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
        (self.content.len() <= COLLECTED_BYTES_MAX).then_some(())
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

/// Counts an answer that does not continue the answer for which the request was sent again, and
/// returns how the attempt ended.
fn not_resumed(attempt: &Attempt<'_>) -> Ended {
    attempt.traffic.metrics.edge(Edge::TargetNotResumed);
    Ended::failed(FailureKind::Error)
}

fn json_head() -> response::Parts {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::OK;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response.into_parts().0
}

/// Reads a body from the end mark to its end, so that its connection can be reused.
async fn read_to_end(mut body: Incoming) {
    let end = async { while let Some(Ok(_)) = body.frame().await {} };
    drop(timeout(BODY_END_TIMEOUT, end).await);
}
