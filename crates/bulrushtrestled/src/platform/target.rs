//! An HTTP client of a target's control endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushtrestle_core::input::{CacheEvent, OrderEvent, Report};
use bulrushtrestle_core::key::{Fence, Fingerprint};
use bulrushtrestle_core::output::Order;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::platform::http::{Http, HttpError};
use crate::platform::{Target, Unanswered};

/// The timeout for reading a report or cache events.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout for an order, and for reading an order back.
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);

/// A client of one target's control endpoints.
#[derive(Debug, Clone)]
pub(crate) struct HttpTarget {
    /// The client that sends the requests.
    pub(crate) http: Http,
    /// The address of the target.
    pub(crate) address: SocketAddr,
}

#[derive(Deserialize)]
struct ReportAnswer {
    running: u32,
    waiting: u32,
    uptime_ms: u64,
}

#[derive(Deserialize)]
pub(super) struct CacheAnswer {
    next: u64,
    events: Vec<CacheChange>,
}

#[derive(Deserialize)]
struct CacheChange {
    seq: u64,
    stored: Option<String>,
    evicted: Option<String>,
}

#[derive(Serialize)]
struct CancelRequest<'a> {
    attempt: &'a str,
}

#[derive(Serialize)]
struct OrderRequest<'a> {
    fence: u64,
    #[serde(flatten)]
    order: &'a Order,
}

#[derive(Deserialize)]
struct OrderState {
    fence: u64,
}

impl Target for HttpTarget {
    async fn report(&self) -> Result<Report, Unanswered> {
        let answer: ReportAnswer = self
            .http
            .get(self.address, "/v1/report", POLL_TIMEOUT)
            .await
            .map_err(|_| Unanswered)?;
        Ok(Report {
            running: answer.running,
            waiting: answer.waiting,
            uptime: Duration::from_millis(answer.uptime_ms),
        })
    }

    async fn cache_events(&self, from: u64) -> Result<(Vec<CacheEvent>, u64), Unanswered> {
        let path = format!("/v1/cache-events?from={from}");
        let answer: CacheAnswer = self
            .http
            .get(self.address, &path, POLL_TIMEOUT)
            .await
            .map_err(|_| Unanswered)?;
        Ok((cache_events(from, &answer), answer.next))
    }

    async fn cancel(&self, attempt: &str) {
        let content = CancelRequest { attempt };
        let sent = self
            .http
            .post(self.address, "/v1/cancel", &content, POLL_TIMEOUT);
        // Plain services do not support cancellation, and there is no other way to stop a call.
        drop(sent.await);
    }

    async fn order(&self, order: &Order, fence: Fence, checks_fence: bool) -> OrderEvent {
        let content = OrderRequest {
            fence: fence.0,
            order,
        };
        let sent = self
            .http
            .post(self.address, "/v1/orders", &content, ORDER_TIMEOUT);
        match sent.await {
            Ok(_) if checks_fence => OrderEvent::Done,
            Ok(_) => self.read_back(fence).await,
            Err(HttpError::Status(StatusCode::CONFLICT)) => OrderEvent::Fenced,
            Err(_) => OrderEvent::Unknown,
        }
    }
}

impl HttpTarget {
    /// Checks whether the order is still in effect at a target that does not check fencing numbers.
    async fn read_back(&self, fence: Fence) -> OrderEvent {
        let state: Result<OrderState, _> = self
            .http
            .get(self.address, "/v1/orders", ORDER_TIMEOUT)
            .await;
        match state {
            Ok(state) if state.fence == fence.0 => OrderEvent::Done,
            Ok(_) => OrderEvent::Fenced,
            Err(_) => OrderEvent::Unknown,
        }
    }
}

/// Converts numbered changes into events. A missing number, or a restart of the numbers, is a gap.
pub(super) fn cache_events(from: u64, answer: &CacheAnswer) -> Vec<CacheEvent> {
    let mut events = Vec::with_capacity(answer.events.len());
    let mut expected = from;
    if answer.next < from {
        events.push(CacheEvent::Gap);
        expected = answer.events.first().map_or(answer.next, |first| first.seq);
    }
    for change in &answer.events {
        if change.seq != expected {
            events.push(CacheEvent::Gap);
        }
        expected = change.seq + 1;
        events.push(match (&change.stored, &change.evicted) {
            (Some(hex), None) => fingerprint(hex).map_or(CacheEvent::Gap, CacheEvent::Stored),
            (None, Some(hex)) => fingerprint(hex).map_or(CacheEvent::Gap, CacheEvent::Evicted),
            _ => CacheEvent::Gap,
        });
    }
    if answer.next > expected {
        events.push(CacheEvent::Gap);
    }
    events
}

fn fingerprint(hex: &str) -> Option<Fingerprint> {
    u64::from_str_radix(hex, 16).ok().map(Fingerprint)
}
