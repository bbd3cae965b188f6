//! Reads from and appends to the log. At most one read and one append are in progress.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bulrushtrestle_core::input::{Input, LogEvent};
use bulrushtrestle_core::key::{AppendId, Offset};
use tokio::sync::mpsc;

use crate::metrics::{Edge, Metrics};
use crate::platform::{AppendError, Log};

/// The most records in one append.
const BATCH_RECORDS: usize = 64;

/// The most bytes of records in one append. A larger record is appended alone.
const BATCH_BYTES: usize = 512 * 1024;

/// The delay before a failed read is reported, so that a refused connection is not retried in a busy
/// loop.
const READ_FAILED_AFTER: Duration = Duration::from_millis(50);

/// A record that waits to be appended.
type Pending = (AppendId, Vec<u8>);

/// The control thread's client of the log.
#[derive(Debug)]
pub(super) struct LogClient<L> {
    log: Rc<L>,
    appends: mpsc::UnboundedSender<Pending>,
    inputs: mpsc::UnboundedSender<Input>,
    metrics: Arc<Metrics>,
}

impl<L: Log + 'static> LogClient<L> {
    /// Starts the task that appends.
    pub(super) fn start(
        log: L,
        inputs: mpsc::UnboundedSender<Input>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let log = Rc::new(log);
        let (appends, pending) = mpsc::unbounded_channel();
        tokio::task::spawn_local(append_all(
            Rc::clone(&log),
            pending,
            inputs.clone(),
            Arc::clone(&metrics),
        ));
        Self {
            log,
            appends,
            inputs,
            metrics,
        }
    }

    /// Queues a record to be appended.
    pub(super) fn append(&self, id: AppendId, bytes: Vec<u8>) {
        // The task runs as long as the thread.
        drop(self.appends.send((id, bytes)));
    }

    /// Starts a read. The node requests at most one at a time.
    pub(super) fn read(&self, from: Offset) {
        let log = Rc::clone(&self.log);
        let inputs = self.inputs.clone();
        let metrics = Arc::clone(&self.metrics);
        tokio::task::spawn_local(async move {
            let event = match log.read(from).await {
                Ok(batch) => LogEvent::Read {
                    records: batch.records,
                    tail: batch.tail,
                    first: batch.first,
                },
                Err(_) => {
                    metrics.edge(Edge::ReadFailed);
                    tokio::time::sleep(READ_FAILED_AFTER).await;
                    LogEvent::ReadFailed
                }
            };
            drop(inputs.send(Input::Log(event)));
        });
    }
}

/// Appends queued records, in order and in batches.
async fn append_all(
    log: Rc<impl Log>,
    mut pending: mpsc::UnboundedReceiver<Pending>,
    inputs: mpsc::UnboundedSender<Input>,
    metrics: Arc<Metrics>,
) {
    let mut next_first = None;
    loop {
        let first = match next_first.take() {
            Some(first) => first,
            None => match pending.recv().await {
                Some(first) => first,
                None => return,
            },
        };
        let (ids, records) = batch(first, &mut pending, &mut next_first);
        let outcome = log.append(&records).await;
        for (at, id) in ids.into_iter().enumerate() {
            let event = match &outcome {
                Ok(offsets) => LogEvent::Appended(id, offsets[at]),
                Err(AppendError::Failed) => {
                    metrics.edge(Edge::AppendFailed);
                    LogEvent::AppendFailed(id)
                }
                Err(AppendError::Unknown) => {
                    metrics.edge(Edge::AppendUnknown);
                    LogEvent::AppendUnknown(id)
                }
            };
            drop(inputs.send(Input::Log(event)));
        }
    }
}

/// Collects records up to the limits of a batch. The first record that does not fit is put into
/// `next_first`.
fn batch(
    first: Pending,
    pending: &mut mpsc::UnboundedReceiver<Pending>,
    next_first: &mut Option<Pending>,
) -> (Vec<AppendId>, Vec<Vec<u8>>) {
    let mut bytes = first.1.len();
    let mut ids = vec![first.0];
    let mut records = vec![first.1];
    while records.len() < BATCH_RECORDS {
        let Ok(next) = pending.try_recv() else {
            break;
        };
        bytes += next.1.len();
        if bytes > BATCH_BYTES {
            *next_first = Some(next);
            break;
        }
        ids.push(next.0);
        records.push(next.1);
    }
    (ids, records)
}
