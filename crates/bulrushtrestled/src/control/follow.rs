//! Follows topics of a hosting platform's store, and writes the few records that routers own.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bulrushtrestle_core::feed;
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::time::Time;
use bulrushtrestle_platform::rollout::{self, State, Status};
use bulrushtrestle_platform::router;
use bulrushtrestle_platform::store::{Appended, Batch, Record, Topic};
use rand::{Rng, RngExt};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::sleep;

use crate::clock::Clock;
use crate::control::LATE_MAX;
use crate::control::gate::Gate;
use crate::metrics::{Edge, Metrics};
use crate::platform::{Answered, CALL_TIMEOUT, Store, StoreError};

/// The delay before a failed call of the store is retried. Reads double it with each failure in a
/// row, up to the longest, because a store that turns routers away is relieved by none of their calls.
const RETRY_DELAY: Duration = Duration::from_millis(250);
const RETRY_DELAY_MAX: Duration = Duration::from_secs(1);
/// The range of the jitter of that delay, in per cent.
const RETRY_JITTER_PERCENT: std::ops::RangeInclusive<u32> = 80..=120;

/// The number of attempts to write the status of a rollout.
const STATUS_TRIES: u32 = 40;

/// The attempts to append the fleet's key at the end of the topic, while other routers of a fleet that
/// starts append their records.
const OFFER_TRIES: u32 = 16;

/// When a topic is read again.
#[derive(Debug, Clone, Copy)]
pub(super) enum ReadSchedule {
    /// Long poll: the store holds the answer back until there is a record, for at most `wait`. A read
    /// that returned records is followed by `pause`, so that a burst of records is read together.
    LongPoll { wait: Duration, pause: Duration },
    /// Polls without waiting.
    Every(Pauses),
}

/// The pauses between two reads that do not wait.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pauses {
    /// While the router has requests.
    pub(super) active: Duration,
    /// While it has none.
    pub(super) idle: Duration,
    /// While other routers rely on what it reads.
    pub(super) source: Duration,
}

/// The time after its last request for which a router is considered active.
const ACTIVE_FOR: Duration = Duration::from_secs(5);

/// The time of this router's last request. Shared between tasks of the control thread.
#[derive(Debug, Clone, Default)]
pub(super) struct Activity(Rc<Requests>);

#[derive(Debug, Default)]
struct Requests {
    last: Cell<Time>,
    /// Notifies followers of the first request after an idle period.
    resumed: Notify,
}

impl Activity {
    /// Records a request.
    pub(super) fn record(&self, now: Time) {
        if !self.is_active(now) {
            self.0.resumed.notify_waiters();
        }
        self.0.last.set(now);
    }

    /// Pauses between two reads. The first request after an idle period ends the pause.
    async fn pause(&self, now: Time, active: Duration, idle: Duration) {
        if self.is_active(now) {
            return sleep(active).await;
        }
        tokio::select! {
            () = sleep(idle) => {}
            () = self.0.resumed.notified() => {}
        }
    }

    fn is_active(&self, now: Time) -> bool {
        now.since(self.0.last.get()) < ACTIVE_FOR
    }
}

/// An event of a topic.
#[derive(Debug)]
pub(super) enum TopicEvent {
    /// Records, in order. If there is an offset, these are the newest records of all keys, and the
    /// topic did not end below it.
    Records(Topic, Vec<Record>, Option<Offset>),
    /// All records below the offset were received. The answer is as recent as the time.
    CaughtUp(Topic, Offset, Time),
    /// A read failed and will be retried. True if the failure was detected in time. Otherwise this
    /// process was delayed, and the failure is no evidence about the store.
    Failed(Topic, bool),
    /// The store answered in this era, which is higher than that of the topic's last answer.
    Era(u64),
    /// The newest statuses of all rollouts, as of the time or later.
    Statuses(Vec<Record>, Time),
}

/// Follows a topic until the receiver of its events is dropped.
pub(super) async fn follow(
    store: Store,
    topic: Topic,
    schedule: ReadSchedule,
    (clock, activity, gate): (Clock, Activity, Gate),
    events: mpsc::UnboundedSender<TopicEvent>,
    metrics: Arc<Metrics>,
) {
    let mut follower = Follower {
        store,
        topic,
        schedule,
        clock,
        activity,
        gate,
        events,
        asked: clock.now(),
        failures: 0,
        has_read: false,
        era: 0,
    };
    while !follower.events.is_closed() {
        if let Err(error) = follower.run().await {
            metrics.edge(Edge::ReadFailed);
            follower.on_failure(&error).await;
        }
    }
}

struct Follower {
    store: Store,
    topic: Topic,
    schedule: ReadSchedule,
    clock: Clock,
    activity: Activity,
    gate: Gate,
    events: mpsc::UnboundedSender<TopicEvent>,
    /// When the last call of the store began.
    asked: Time,
    /// The reads in a row that failed.
    failures: u32,
    /// Whether the newest records were read once.
    has_read: bool,
    /// The era of the last answer.
    era: u64,
}

impl Follower {
    /// Reads the newest records, then follows the topic until too many reads in a row have failed.
    /// Reads the newest records again if records expired unread.
    async fn run(&mut self) -> Result<(), StoreError> {
        self.wait_until_due().await;
        let mut next = self.read_newest().await?;
        loop {
            let wait = self.wait_until_due().await;
            // Peers may have delivered records meanwhile.
            next = next.max(self.known());
            let asked = self.clock.now();
            self.asked = asked;
            let read = tokio::select! {
                read = self.store.read(self.topic, next, wait) => read.map(Some),
                () = self.gate.wait_for_era_after(next.era()) => Ok(None),
            };
            let batch = match read {
                Ok(Some(answer)) => self.result(answer),
                // The store was restored, so the offset may belong to another record.
                Ok(None) => Batch::Expired,
                // The records read so far stay valid, so only repeated failures require reading all
                // newest records again.
                Err(error) if self.failures < READ_FAILURES_MAX => {
                    self.on_failure(&error).await;
                    continue;
                }
                Err(error) => return Err(error),
            };
            self.failures = 0;
            match batch {
                Batch::Expired => {
                    log::warn!(target: "store", "records expired unread topic={}", self.topic.as_str());
                    next = self.read_newest().await?;
                }
                Batch::Records {
                    records,
                    next: to,
                    end,
                } => {
                    // An empty answer that was held back shows that no record was written meanwhile.
                    let as_of = match records.is_empty() {
                        true => (asked + wait).min(self.clock.now()),
                        false => asked,
                    };
                    let had_records = !records.is_empty();
                    if had_records {
                        self.send(TopicEvent::Records(self.topic, records, None));
                    }
                    next = to;
                    if next >= end {
                        self.send(TopicEvent::CaughtUp(self.topic, next, as_of));
                    }
                    if let ReadSchedule::LongPoll { pause, .. } = self.schedule
                        && had_records
                    {
                        sleep(pause).await;
                    }
                }
            }
        }
    }

    /// Waits until a read is due. Returns for how long the store may hold its answer back.
    async fn wait_until_due(&self) -> Duration {
        let Some(topic) = feed_topic(self.topic) else {
            return Duration::ZERO;
        };
        if let ReadSchedule::Every(pauses) = self.schedule
            && !self.gate.is_fed(self.clock.now(), topic)
            // The records of a failed read are already late.
            && self.failures == 0
            && self.has_read
        {
            let now = self.clock.now();
            match self.gate.is_source() {
                true => sleep(pauses.source).await,
                false => self.activity.pause(now, pauses.active, pauses.idle).await,
            }
        }
        let was_fed = self.gate.wait(&self.clock, topic).await;
        match self.schedule {
            // What peers delivered last is old, so the read must return at once.
            ReadSchedule::LongPoll { wait, .. } if !was_fed => match self.gate.is_source() {
                true => wait.min(SOURCE_WAIT_MAX),
                false => wait,
            },
            ReadSchedule::LongPoll { .. } | ReadSchedule::Every(_) => Duration::ZERO,
        }
    }

    /// Returns the offset below which all records of the topic are known.
    fn known(&self) -> Offset {
        feed_topic(self.topic).map_or(Offset(0), |topic| self.gate.known(topic))
    }

    /// Reads the newest record of every key, and returns the offset from which to follow the topic.
    async fn read_newest(&mut self) -> Result<Offset, StoreError> {
        let asked = self.clock.now();
        self.asked = asked;
        let answer = self.store.newest(self.topic).await?;
        let (records, end) = self.result(answer);
        self.failures = 0;
        self.has_read = true;
        self.send(TopicEvent::Records(self.topic, records, Some(end)));
        self.send(TopicEvent::CaughtUp(self.topic, end, asked));
        Ok(end)
    }

    /// Returns the result of a read, and reports the era of the answer if it has risen.
    fn result<T>(&mut self, answer: Answered<T>) -> T {
        if answer.era > self.era {
            self.era = answer.era;
            self.send(TopicEvent::Era(answer.era));
        }
        answer.result
    }

    /// Reports a failed read, and waits before the next.
    async fn on_failure(&mut self, error: &StoreError) {
        self.report_failure(error);
        let doubled = RETRY_DELAY * 2_u32.saturating_pow(self.failures.min(READ_FAILURES_MAX));
        self.failures += 1;
        let percent = rand::rng().random_range(RETRY_JITTER_PERCENT);
        sleep(doubled.min(RETRY_DELAY_MAX) * percent / 100).await;
    }

    fn report_failure(&self, error: &StoreError) {
        let topic = self.topic;
        let took = self.clock.now().since(self.asked);
        let wait = match self.schedule {
            ReadSchedule::LongPoll { wait, .. } => wait,
            ReadSchedule::Every(_) => Duration::ZERO,
        };
        let is_in_time = took <= CALL_TIMEOUT + wait + LATE_MAX;
        let (name, took) = (topic.as_str(), took.as_millis());
        log::warn!(target: "store", "read failed topic={name} took_ms={took} in_time={is_in_time} error={error}");
        self.send(TopicEvent::Failed(topic, is_in_time));
    }

    fn send(&self, event: TopicEvent) {
        // The receiver is dropped only when the process ends.
        drop(self.events.send(event));
    }
}

/// The longest time for which the store may hold back a read of a router on which others rely. They
/// know nothing newer than what it last read, and stop to serve if that is too old.
const SOURCE_WAIT_MAX: Duration = Duration::from_secs(1);

/// Returns the topic as peers pass it on, if they do.
pub(super) const fn feed_topic(topic: Topic) -> Option<feed::Topic> {
    match topic {
        Topic::Operators => Some(feed::Topic::Operators),
        Topic::Targets => Some(feed::Topic::Targets),
        Topic::Routers => Some(feed::Topic::Routers),
        Topic::Status | Topic::Duties => None,
    }
}

/// The consecutive reads that may fail before the newest record of every key is read again.
const READ_FAILURES_MAX: u32 = 8;

/// When a router has to write its own record again.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rewrites {
    /// The highest era of the store in which the record is missing.
    pub(super) era: u64,
    /// How many times the record was found removed, or with the question whether the router runs.
    pub(super) times: u64,
}

/// Writes the record of this router, and retries until the store has accepted it. Writes it again
/// whenever `rewrites` demands it.
pub(super) async fn announce(
    store: Store,
    key: String,
    data_centre: String,
    rewrites: watch::Receiver<Rewrites>,
) {
    let value = router::encode(&data_centre, false);
    let mut rewrites = rewrites;
    loop {
        let times = rewrites.borrow_and_update().times;
        let written = match store.append(Topic::Routers, &key, Some(&value), None).await {
            Ok(answer) => answer.era,
            Err(error) => {
                log::warn!(target: "store", "announcement failed key={key} error={error}");
                sleep(RETRY_DELAY).await;
                continue;
            }
        };
        // The sender is dropped only when the process ends.
        let is_due = |it: &Rewrites| it.era > written || it.times > times;
        let Ok(Rewrites { era, .. }) = rewrites.wait_for(is_due).await.map(|it| *it) else {
            return;
        };
        log::info!(target: "store", "writing the announcement again key={key} era={era}");
    }
}

/// Appends records of routers, each a key and a value, to the topic that ends at `at`. Stops if another
/// router has written there: whatever these records are based on may have changed.
pub(super) async fn append_router_records(
    store: Store,
    records: Vec<(String, Option<Vec<u8>>)>,
    at: Offset,
) {
    let mut at = at;
    for (key, value) in records {
        let appended = store.append(Topic::Routers, &key, value.as_deref(), Some(at));
        match appended.await {
            Ok(answer) if answer.era == at.era() && answer.result == Appended::Done => {}
            Ok(_) => return,
            Err(error) => {
                log::warn!(target: "store", "record of a router not written key={key} error={error}");
                return;
            }
        }
        at = Offset(at.0 + 1);
    }
}

/// Generates a key for the fleet and appends it unless the topic holds one, of which the caller has
/// read all below `at`. Which router's key was accepted is read from the topic.
pub(super) async fn offer_fleet_key(store: Store, at: Offset) {
    let mut bytes = [0; 32];
    rand::rng().fill_bytes(&mut bytes);
    let text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    append_fleet_key(store, text, at).await;
}

/// Appends the fleet's key unless the topic holds one, of which the caller has read all below `at`.
pub(super) async fn append_fleet_key(store: Store, text: String, at: Offset) {
    let mut at = at;
    for _ in 0..OFFER_TRIES {
        match try_offer(&store, &text, at).await {
            Ok(Some(next)) => at = next,
            Ok(None) => return,
            Err(error) => {
                log::warn!(target: "store", "fleet key not appended error={error}");
                return;
            }
        }
    }
}

/// Appends the fleet's key if the topic ends at `at`. Otherwise reads on, and returns where the topic
/// ends now unless it holds a key.
async fn try_offer(store: &Store, text: &str, at: Offset) -> Result<Option<Offset>, StoreError> {
    let value = Some(text.as_bytes());
    let appended = store.append(Topic::Routers, router::FLEET_KEY, value, Some(at));
    if appended.await?.result == Appended::Done {
        return Ok(None);
    }
    match store.read(Topic::Routers, at, Duration::ZERO).await?.result {
        Batch::Records { records, next, .. } => {
            let has_key = records.iter().any(|it| it.key == router::FLEET_KEY);
            Ok((!has_key).then_some(next))
        }
        Batch::Expired => Ok(None),
    }
}

/// Reads the statuses of all rollouts once. A failure is only logged, because the node asks again.
pub(super) async fn read_statuses(
    store: Store,
    clock: Clock,
    events: mpsc::UnboundedSender<TopicEvent>,
    metrics: Arc<Metrics>,
) {
    let asked = clock.now();
    match store.newest(Topic::Status).await {
        Ok(Answered {
            result: (records, _),
            ..
        }) => drop(events.send(TopicEvent::Statuses(records, asked))),
        Err(error) => {
            metrics.edge(Edge::ReadFailed);
            let took = clock.now().since(asked).as_millis();
            log::warn!(target: "store", "read failed topic=status took_ms={took} error={error}");
        }
    }
}

/// Writes the status of a rollout to the store, unless a final status of the rollout or the status of a
/// later one is already recorded.
pub(super) async fn record_rollout(store: Store, status: Status) {
    let (key, value) = rollout::encode(&status);
    for _ in 0..STATUS_TRIES {
        match write_status(&store, &status, &key, &value).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                log::warn!(target: "store", "status not written key={key} error={error}");
                sleep(RETRY_DELAY).await;
            }
        }
    }
    log::error!(target: "store", "status not written, no more retries key={key} tries={STATUS_TRIES}");
}

/// Appends a status if the topic has not changed since it was read. Returns whether the status is
/// recorded or no longer needed.
async fn write_status(
    store: &Store,
    status: &Status,
    key: &str,
    value: &[u8],
) -> Result<bool, StoreError> {
    let (records, end) = store.newest(Topic::Status).await?.result;
    let present = records.iter().find(|record| record.key == key);
    match present.map(rollout::decode).transpose() {
        Ok(Some(Some(present))) if !replaces(status, &present) => return Ok(true),
        Ok(_) => {}
        // Whoever wrote it, operators cannot read it either.
        Err(error) => {
            log::warn!(target: "store", "unusable status replaced key={key} error={error}");
        }
    }
    let appended = store
        .append(Topic::Status, key, Some(value), Some(end))
        .await?;
    Ok(appended.result == Appended::Done)
}

/// Returns whether a status is to replace the recorded one.
fn replaces(status: &Status, present: &Status) -> bool {
    let is_same = match (status.order, present.order) {
        (Some(order), Some(recorded)) if recorded > order => return false,
        // Recorded before the store was restored: the same order had another offset then. Its final
        // state stays, under the offset that the order has now.
        (Some(order), Some(recorded))
            if recorded.era() < order.era() && present.version == status.version =>
        {
            return present.state == State::Running || present.state == status.state;
        }
        (Some(order), Some(recorded)) => recorded == order,
        _ => present.version == status.version,
    };
    !is_same || (present.state == State::Running && status.state != State::Running)
}
