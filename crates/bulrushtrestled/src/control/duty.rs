//! The control thread's part for the duties: the topic of the lease, and calls to the endpoint.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bulrushtrestle_core::duty::{DutyCall, DutyEvent, DutyOrder, DutyResult};
use bulrushtrestle_core::feed;
use bulrushtrestle_core::input::Input;
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::time::Time;
use bulrushtrestle_platform::duty::{self, Content};
use bulrushtrestle_platform::store::{Appended, Batch, Record, Topic};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::clock::Suspensions;
use crate::control::run::Control;
use crate::metrics::{Edge, Metrics};
use crate::platform::{self, Answered, Store, StoreError};
use crate::settings;

/// The interval at which the node is told what the wall clock reads.
const WALL_CLOCK_INTERVAL: Duration = Duration::from_secs(1);

/// The client of the endpoint, and of the topic in which the lease is kept.
#[derive(Debug)]
pub(super) struct DutyClient {
    store: Store,
    endpoint: SocketAddr,
    /// The endpoint's address as text, for the header `Host`.
    host: String,
    node: String,
    call_timeout: Duration,
    suspensions: Suspensions,
    next_wall_clock: Instant,
    inputs: mpsc::UnboundedSender<Input>,
    metrics: Arc<Metrics>,
}

impl DutyClient {
    pub(super) fn new(
        cfg: &settings::Duty,
        store: Store,
        inputs: mpsc::UnboundedSender<Input>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let (endpoint, lease) = (cfg.endpoint, cfg.lease.as_millis());
        let (node, fencing) = (&cfg.node, cfg.fencing_required);
        log::info!(target: "duty", "endpoint={endpoint} node={node} lease_ms={lease} fencing_required={fencing} usage_report={} autoscale={} calls_per_s={}", cfg.usage_report, cfg.autoscale, cfg.calls_per_s);
        Self {
            store,
            endpoint,
            host: endpoint.to_string(),
            node: cfg.node.clone(),
            call_timeout: cfg.call_timeout(),
            suspensions: Suspensions::start(),
            next_wall_clock: Instant::now(),
            inputs,
            metrics,
        }
    }

    /// Returns whether the VM was suspended since the last time that this was asked.
    pub(super) fn was_suspended(&mut self) -> bool {
        self.suspensions.advance()
    }

    /// Returns the reading of the wall clock, if the node is to be told.
    pub(super) fn wall_clock_due(&mut self) -> Option<Time> {
        let now = Instant::now();
        if now < self.next_wall_clock {
            return None;
        }
        self.next_wall_clock = now + WALL_CLOCK_INTERVAL;
        let wall = SystemTime::now().duration_since(UNIX_EPOCH);
        Some(Time::default() + wall.unwrap_or_default())
    }
}

impl Control {
    /// Reads the topic of the duties.
    pub(super) fn read_duties(&self, from: Option<Offset>, wait: Duration) {
        let Some(client) = &self.duty else {
            return;
        };
        let (store, inputs) = (client.store.clone(), client.inputs.clone());
        let metrics = Arc::clone(&client.metrics);
        spawn_local(async move {
            let event = match read(&store, from, wait).await {
                Ok(event) => event,
                Err(error) => {
                    metrics.edge(Edge::ReadFailed);
                    log::warn!(target: "store", "read failed topic=duties error={error}");
                    DutyEvent::ReadFailed
                }
            };
            // The receiver is dropped only when the process ends.
            drop(inputs.send(Input::Duty(event)));
        });
    }

    /// Appends a record to the topic of the duties.
    pub(super) fn append_duty_record(&self, key: String, value: Vec<u8>, at: Option<Offset>) {
        let Some(client) = &self.duty else {
            return;
        };
        let (store, inputs) = (client.store.clone(), client.inputs.clone());
        spawn_local(async move {
            let appended = store.append(Topic::Duties, &key, Some(&value), at).await;
            let event = match appended {
                Ok(Answered { result, era }) => match result {
                    Appended::Done => DutyEvent::Appended { era },
                    Appended::OffsetMismatch { .. } => DutyEvent::OffsetMismatch { era },
                },
                Err(error) => {
                    log::warn!(target: "store", "append unanswered topic=duties key={key} error={error}");
                    DutyEvent::AppendUnknown
                }
            };
            drop(inputs.send(Input::Duty(event)));
        });
    }

    /// Calls the endpoint, unless the time for it has passed or the VM was suspended meanwhile.
    pub(super) fn call_endpoint(&mut self, call: DutyCall) {
        let Some(client) = &self.duty else {
            return;
        };
        let DutyCall {
            id,
            fence,
            order,
            start_before,
        } = call;
        let request = self
            .content(order)
            .and_then(|content| duty::call(&client.host, &client.node, fence, &content).ok());
        let Some(request) = request else {
            log::warn!(target: "duty", "call refused id={id} fence={} reason=no_such_pool", fence.0);
            let refused = Input::DutyAnswer(id, DutyResult::Refused);
            self.follow_ups.push_back(refused);
            return;
        };
        let (endpoint, max) = (client.endpoint, client.call_timeout);
        let (inputs, suspensions, clock) = (client.inputs.clone(), client.suspensions, self.clock);
        spawn_local(async move {
            let began = Instant::now();
            let path = request.uri().path().to_owned();
            let body = request.body().clone();
            let is_allowed = || clock.now() < start_before && !suspensions.has_advanced();
            let outcome = platform::call_endpoint(endpoint, request, max, is_allowed).await;
            let (took, result) = (began.elapsed().as_millis(), outcome.as_str());
            let body = String::from_utf8_lossy(&body);
            log::info!(target: "duty", "call={path} fence={} result={result} took_ms={took} body={body}", fence.0);
            drop(inputs.send(Input::DutyAnswer(id, outcome.result())));
        });
    }

    /// Returns the content of a call with the names that the endpoint knows. Returns `None` if the pool
    /// is not known any more.
    fn content(&self, order: DutyOrder) -> Option<Content> {
        match order {
            DutyOrder::Usage { window, counts } => Some(Content::Usage { window, counts }),
            DutyOrder::Scale {
                pool,
                data_centre,
                desired,
            } => Some(Content::Scale {
                pool: self.node.catalogue().pool(pool)?.name.clone(),
                data_centre,
                desired,
            }),
        }
    }
}

/// Reads the topic up to its end: from an offset, or the newest records if there is none or the store
/// does not have it any more.
async fn read(
    store: &Store,
    from: Option<Offset>,
    wait: Duration,
) -> Result<DutyEvent, StoreError> {
    let Some(from) = from else {
        return read_newest(store).await;
    };
    let (mut from, mut wait, mut all) = (from, wait, Vec::new());
    loop {
        let Answered { result, era } = store.read(Topic::Duties, from, wait).await?;
        match result {
            Batch::Expired => return read_newest(store).await,
            Batch::Records { records, next, end } => {
                all.extend(records.into_iter().map(to_feed));
                if next >= end {
                    return Ok(DutyEvent::Read {
                        era,
                        all: false,
                        records: all,
                        end,
                    });
                }
                (from, wait) = (next, Duration::ZERO);
            }
        }
    }
}

async fn read_newest(store: &Store) -> Result<DutyEvent, StoreError> {
    let Answered { result, era } = store.newest(Topic::Duties).await?;
    let (records, end) = result;
    Ok(DutyEvent::Read {
        era,
        all: true,
        records: records.into_iter().map(to_feed).collect(),
        end,
    })
}

fn to_feed(record: Record) -> feed::Record {
    feed::Record {
        digest: record.offset.0,
        key: record.key,
        offset: record.offset,
        value: record.value.map(|value| value.to_vec()),
    }
}
