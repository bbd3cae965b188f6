//! The model engine.

mod failure;
mod order;
mod stream;

use bulrushtrestle_standin::Handle;
use bulrushtrestle_standin::engine::{self, Config, Faults};
use http::Method;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::json;

use crate::client::{Answer, Client};

pub(super) const CHAT: &str = "/v1/chat/completions";

/// More tokens than any test waits for.
const ENDLESS: u64 = 1_000_000;

pub(super) async fn spawn(cfg: Config) -> (Handle<Faults>, Client) {
    let engine = engine::spawn(cfg).await.expect("loopback has free ports");
    let client = Client::new(engine.address());
    (engine, client)
}

pub(super) fn chat(prompt: &str, tokens: u64) -> String {
    let messages = json!([{ "role": "user", "content": prompt }]);
    json!({ "model": "m", "messages": messages, "stream": true, "max_tokens": tokens }).to_string()
}

/// Starts a stream that does not end by itself and waits for its first token.
pub(super) async fn endless(client: &Client, attempt: &str) -> Incoming {
    let body = chat(&format!("[tokens={ENDLESS}]"), ENDLESS);
    let res = client
        .open(Method::POST, CHAT, &[("x-attempt-id", attempt)], body)
        .await;
    let mut body = res.expect("the engine answers").into_body();
    let frame = body.frame().await.expect("there is a first token");
    frame.expect("the first token arrives");
    body
}

/// Returns the numbers of the tokens of an answer, and whether it has its end mark.
pub(super) fn tokens(answer: &Answer) -> (Vec<u64>, bool) {
    let numbers = answer
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    let numbers = numbers.map(|number| number.parse().expect("ids are numbers"));
    (numbers.collect(), answer.body.ends_with("data: [DONE]\n\n"))
}
