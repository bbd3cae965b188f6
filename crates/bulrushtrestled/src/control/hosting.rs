//! The control thread's part for a hosting platform: following the store, and admitting requests.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bulrushtrestle_core::catalogue::entry::{DataCentreState, Entry, Kind, Route, RouteRepeat};
use bulrushtrestle_core::catalogue::{Catalogue, ConfigurationOrder, Scope};
use bulrushtrestle_core::counter::Counter;
use bulrushtrestle_core::feed::{self, Feed};
use bulrushtrestle_core::input::{
    FeedEvent, Input, RequestedPause, StoreChange, StoreEvent, TargetNotice, Vm, VmRole,
};
use bulrushtrestle_core::key::{Offset, OrganisationId, PoolId, RouterId, TargetId};
use bulrushtrestle_core::output::{MovePhase, MoveProgress};
use bulrushtrestle_core::request::{Repeat, Request, RequestDetails};
use bulrushtrestle_core::target::{RecordOrder, Standing};
use bulrushtrestle_core::time::Time;
use bulrushtrestle_core::verdict::{Reason, Refusal};
use bulrushtrestle_platform::operator::{self, CallerLimits};
use bulrushtrestle_platform::store::{Record, Topic};
use bulrushtrestle_platform::{rollout, router, target};
use tokio::sync::{mpsc, watch};

use crate::clock::Clock;
use crate::control::follow::{
    self, Activity, Pauses, ReadSchedule, Rewrites, TopicEvent, feed_topic,
};
use crate::control::gate::Gate;
use crate::control::lost::Questions;
use crate::control::message::{Decision, ForwardingPlan, HostedCall};
use crate::control::peers::PeerListener;
use crate::control::run::Control;
use crate::metrics::{Edge, Metrics};
use crate::platform::Store;
use crate::settings;

/// The longest time for which the store may hold back a read of the operators' records. It is half
/// of the time after which a router that has not read them stops dispatching.
const OPERATORS_WAIT_MAX: Duration = Duration::from_millis(1_500);

/// The longest time for which the store may hold back a read of the routers' records.
const ROUTERS_WAIT_MAX: Duration = Duration::from_secs(5);

/// The pause after a read that returned records of routers. Each router writes a record when a fleet
/// starts; without the pause every router would receive each of these records in a read of its own.
const ROUTERS_PAUSE: Duration = Duration::from_millis(800);

/// The pause between two reads of the targets' records, in percent of the time after which a leaving
/// target must receive no more requests. At this value one read may fail. Long polls would return at
/// once, because targets write about once a second.
const TARGETS_INTERVAL_PERCENT: u32 = 40;

/// The pause between two reads of the targets' records while the router has no requests, in percent
/// of the same time. It is longer, so that many idle routers cause little load on the store.
const TARGETS_IDLE_INTERVAL_PERCENT: u32 = 70;

/// The pause between two reads of the targets' records by a router on which others rely, in percent of
/// the same time: what they know is older by the time until they ask.
const TARGETS_SOURCE_INTERVAL_PERCENT: u32 = 20;

/// How long each router with a lower id is given to offer a key for the fleet, and the longest wait.
const KEY_OFFER_STEP: Duration = Duration::from_secs(1);
const KEY_OFFER_MAX: Duration = Duration::from_secs(4);

/// How much longer a router without a key waits if the store was restored: running routers that know
/// the key write it again, and the first of them have read the topic by then.
const KEY_OFFER_AFTER_RESTORE: Duration = Duration::from_secs(7);

/// How long each router with a lower id is given to write the fleet's key again, and the pause before
/// a router tries again.
const KEY_RESTORE_STEP: Duration = Duration::from_millis(200);
const KEY_RESTORE_RETRY: Duration = Duration::from_secs(2);

/// Records of the store, or the news that none is missing, that are to be applied.
#[derive(Debug)]
pub(super) enum Delivery {
    /// New records, and the peer that passed them on unless this router read them.
    Records(feed::Topic, Vec<feed::Record>, Option<RouterId>),
    /// What is to be done with records because the store was restored from an older copy.
    Restored(feed::Topic, feed::Restored),
    /// No record below the offset is missing, nor was any other at this time.
    Complete(feed::Topic, Offset, Time),
}

/// Why records are applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// They were written.
    Written,
    /// They were lost when the store was restored; the records are removals.
    Lost,
}

/// The control thread's state for a hosting platform.
#[derive(Debug)]
pub(crate) struct Hosting {
    store: Store,
    regions: BTreeMap<String, String>,
    events: mpsc::UnboundedReceiver<TopicEvent>,
    /// The sending end of `events`, for reads of a topic that is not followed.
    event_sender: mpsc::UnboundedSender<TopicEvent>,
    /// The listener for peers. `None` once the key of the fleet is known and the listener is in use.
    peers: Option<PeerListener>,
    /// The routers and the targets in the store, which serve as the platform's VM list. A target may
    /// have the same number as a router.
    routers: BTreeMap<u32, Vm>,
    targets: BTreeMap<TargetId, Vm>,
    /// Detects records of targets that are older than one already applied.
    record_order: RecordOrder,
    /// Detects configurations that a restored store shows and that are older than the one applied.
    configuration_order: ConfigurationOrder,
    /// When this router's own record has to be written again.
    own_rewrites: watch::Sender<Rewrites>,
    questions: Questions,
    limits: watch::Sender<Option<CallerLimits>>,
    metrics: Arc<Metrics>,
    clock: Clock,
    /// Whether the data centres of the settings have been added to the catalogue.
    has_data_centres: bool,
    activity: Activity,
    gate: Gate,
    deliveries: VecDeque<Delivery>,
    /// Since when no key of the fleet was found where one is needed.
    key_missing_since: Option<Time>,
    /// The key of this router's record in the store.
    own_key: String,
    /// The number of this router's VM.
    own_id: u32,
    /// The key of the fleet that this router uses.
    fleet_key: Option<String>,
    /// The era in which the store lacks the key of the fleet, and when this router writes it again.
    next_key_write: Option<(u64, Time)>,
}

/// Waits for the next event of a topic of the store. Never returns without a hosting platform.
pub(super) async fn next_store_event(hosting: &mut Option<Hosting>) -> TopicEvent {
    let next = match hosting {
        Some(hosting) => hosting.events.recv().await,
        None => None,
    };
    match next {
        Some(event) => event,
        None => std::future::pending().await,
    }
}

impl Hosting {
    /// Starts the tasks that follow the store's topics and write this router's record.
    pub(super) fn start(
        cfg: &settings::Hosting,
        data_centre: &str,
        clock: Clock,
        metrics: Arc<Metrics>,
        peers: PeerListener,
        limits: watch::Sender<Option<CallerLimits>>,
    ) -> Self {
        let store = Store::new(cfg.store);
        let (sender, events) = mpsc::unbounded_channel();
        let targets = Pauses {
            active: cfg.leave_within * TARGETS_INTERVAL_PERCENT / 100,
            idle: cfg.leave_within * TARGETS_IDLE_INTERVAL_PERCENT / 100,
            source: cfg.leave_within * TARGETS_SOURCE_INTERVAL_PERCENT / 100,
        };
        let activity = Activity::default();
        let gate = Gate::default();
        let topics = [
            (
                Topic::Operators,
                ReadSchedule::LongPoll {
                    wait: OPERATORS_WAIT_MAX,
                    pause: Duration::ZERO,
                },
            ),
            (Topic::Targets, ReadSchedule::Every(targets)),
            (
                Topic::Routers,
                ReadSchedule::LongPoll {
                    wait: ROUTERS_WAIT_MAX,
                    pause: ROUTERS_PAUSE,
                },
            ),
        ];
        for (topic, schedule) in topics {
            let follow = follow::follow(
                store.clone(),
                topic,
                schedule,
                (clock, activity.clone(), gate.clone()),
                sender.clone(),
                Arc::clone(&metrics),
            );
            tokio::task::spawn_local(follow);
        }
        let own_rewrites = watch::Sender::new(Rewrites::default());
        let (key, own_id) = (own_key(&peers), peers.router);
        tokio::task::spawn_local(follow::announce(
            store.clone(),
            key.clone(),
            data_centre.to_owned(),
            own_rewrites.subscribe(),
        ));
        Self {
            store,
            regions: cfg.regions.clone(),
            events,
            event_sender: sender,
            peers: Some(peers),
            routers: BTreeMap::new(),
            targets: BTreeMap::new(),
            record_order: RecordOrder::default(),
            configuration_order: ConfigurationOrder::default(),
            own_key: key,
            own_id,
            own_rewrites,
            questions: Questions::default(),
            fleet_key: None,
            next_key_write: None,
            limits,
            metrics,
            clock,
            has_data_centres: false,
            activity,
            gate,
            deliveries: VecDeque::new(),
            key_missing_since: None,
        }
    }

    /// Returns the records to write because these routers are lost.
    pub(super) fn lost_router_records(&self, lost: &[RouterId]) -> Vec<(String, Option<Vec<u8>>)> {
        let now = self.clock.now();
        let lost = lost.iter().filter_map(|id| self.routers.get(&id.0));
        self.questions.records(now, lost)
    }

    /// Returns the client of the store.
    pub(super) const fn store(&self) -> &Store {
        &self.store
    }

    /// Queues records for [`Control::apply`].
    pub(super) fn deliver(&mut self, delivery: Delivery) {
        self.deliveries.push_back(delivery);
    }

    /// Returns what is to be applied next.
    pub(super) fn next_delivery(&mut self) -> Option<Delivery> {
        self.deliveries.pop_front()
    }

    /// Tells the followers of topics when they have to read.
    pub(super) fn update_gate(&self, feed: &Feed) {
        self.gate.update(self.clock.now(), feed);
    }

    /// Records that this router received a request.
    pub(super) fn record_request(&self) {
        self.activity.record(self.clock.now());
    }

    /// Decodes records of operators. If a record cannot be decoded, the previous content of its key
    /// stays in effect.
    fn decode_operators(&mut self, records: &[Record]) -> Vec<StoreChange> {
        let now = self.clock.now();
        let mut changes = Vec::new();
        for record in records {
            match operator::decode(record, &self.regions, now) {
                Ok(Some(decoded)) => {
                    if let Some(limits) = decoded.limits {
                        let version = limits.version;
                        if !self.configuration_order.admits(record.offset, version) {
                            log::warn!(target: "catalogue", "passed_over=older version={version} offset={}", record.offset);
                            continue;
                        }
                        log::info!(target: "catalogue", "version={} offset={}", limits.version, record.offset);
                        self.limits.send_replace(Some(limits));
                    }
                    for field in &decoded.left_out {
                        log::warn!(target: "catalogue", "offset={} left out: {field}", record.offset);
                    }
                    changes.push(StoreChange {
                        revision: record.offset,
                        scope: decoded.scope,
                        entries: decoded.entries,
                    });
                }
                Ok(None) => {}
                Err(error) => self.skip_record(Topic::Operators, record, &error),
            }
        }
        changes
    }

    /// Returns the data centres of the settings at the first call, and nothing later. Operators can
    /// only put a data centre out of service.
    fn initial_data_centres(&mut self) -> Vec<Entry> {
        if std::mem::replace(&mut self.has_data_centres, true) {
            return Vec::new();
        }
        let names = self.regions.keys();
        let entries =
            |name: &String| operator::data_centre(name, &self.regions, DataCentreState::In).entries;
        names.flat_map(entries).collect()
    }

    /// Decodes records of targets and updates the VM list. Records older than one already applied are
    /// skipped.
    fn decode_targets(
        &mut self,
        catalogue: &Catalogue,
        records: &[Record],
        cause: Cause,
    ) -> Vec<Input> {
        let mut changes = Vec::new();
        let mut states = Vec::new();
        for record in records {
            let Some(id) = catalogue.target_id(&record.key) else {
                continue;
            };
            let described = match target::decode(record, id) {
                Ok(described) => described,
                Err(error) => {
                    self.skip_record(Topic::Targets, record, &error);
                    continue;
                }
            };
            if let Some(described) = &described
                && !self.record_order.admits(&described.state)
            {
                let sequence = described.state.sequence;
                log::info!(target: "target", "name={} passed_over=older offset={} sequence={sequence}", record.key, record.offset);
                continue;
            }
            match &described {
                Some(described) => {
                    let entry = &described.entry;
                    let listed = Vm {
                        id: id.0,
                        role: VmRole::Target,
                        address: entry.address.clone(),
                        data_centre: entry.data_centre.clone(),
                        leaving: described.state.leaving,
                    };
                    let leaving = listed.leaving;
                    let before = self.targets.insert(id, listed);
                    if leaving != before.is_some_and(|before| before.leaving) {
                        let sequence = described.state.sequence;
                        log::info!(target: "target", "name={} leaving={leaving} offset={} sequence={sequence}", record.key, record.offset);
                    }
                    states.push(described.state);
                }
                None => {
                    // A target whose record was lost may write the same record again.
                    if cause == Cause::Written {
                        self.record_order.on_removed(self.clock.now(), id);
                    }
                    if self.targets.remove(&id).is_some() {
                        log::info!(target: "target", "name={} gone=true offset={}", record.key, record.offset);
                    }
                }
            }
            changes.push(StoreChange {
                revision: record.offset,
                scope: Scope::One(Kind::Target, record.key.clone()),
                entries: described
                    .map(|described| Entry::Target(described.entry))
                    .into_iter()
                    .collect(),
            });
        }
        vec![
            Input::Store(StoreEvent::Changed(changes)),
            Input::Vms(self.vms()),
            Input::Store(StoreEvent::Targets(states)),
        ]
    }

    fn vms(&self) -> Vec<Vm> {
        let vms = self.routers.values().chain(self.targets.values());
        vms.cloned().collect()
    }

    /// Decodes records of routers and updates the VM list. Returns the fleet's key if a record holds
    /// it.
    fn decode_routers(&mut self, records: &[Record], cause: Cause) -> Option<String> {
        let mut key = None;
        let now = self.clock.now();
        let mut is_own_gone = false;
        for record in records {
            match router::decode(record) {
                Ok(Some(router::RouterRecord::FleetKey(text))) => key = Some(text),
                Ok(Some(router::RouterRecord::Router { vm, is_questioned })) => {
                    if vm.id == self.own_id {
                        is_own_gone = is_questioned;
                    }
                    self.questions.on_record(now, vm.id, is_questioned);
                    self.routers.insert(vm.id, vm);
                }
                Ok(Some(router::RouterRecord::Removed(id))) => {
                    is_own_gone |= id == self.own_id;
                    self.questions.on_removed(id);
                    self.routers.remove(&id);
                }
                Ok(None) => {}
                Err(error) => self.skip_record(Topic::Routers, record, &error),
            }
        }
        // What a restore of the store lost is written again in another way.
        if is_own_gone && cause == Cause::Written {
            self.own_rewrites.send_modify(|it| it.times += 1);
        }
        key
    }

    /// Returns whether this router offers a key for the fleet now: none is known, and the routers
    /// before it in the order of ids have had their time to offer one.
    fn offers_key(&mut self, now: Time, era: u64) -> bool {
        let Some(peers) = &self.peers else {
            return false;
        };
        let since = *self.key_missing_since.get_or_insert(now);
        let before = self.routers.range(..peers.router).count();
        let extra = match era {
            0 => Duration::ZERO,
            _ => KEY_OFFER_AFTER_RESTORE,
        };
        now.since(since) >= key_offer_wait(before) + extra
    }

    /// Counts and logs records that a peer passed on.
    fn log_received(&self, topic: feed::Topic, records: &[feed::Record], from: RouterId) {
        self.metrics.edge(Edge::RecordsFromPeer);
        let last = records.iter().map(|it| it.offset).max().unwrap_or_default();
        let (topic, count) = (topic.as_str(), records.len());
        log::info!(target: "store", "records from={from} topic={topic} count={count} last={last}");
    }

    /// Counts and logs a record that cannot be decoded.
    fn skip_record(&self, topic: Topic, record: &Record, error: &dyn std::error::Error) {
        self.metrics.edge(Edge::RecordUnusable);
        let (topic, key, offset) = (topic.as_str(), &record.key, record.offset);
        log::warn!(target: "store", "unusable record skipped topic={topic} key={key} offset={offset} error={error}");
    }
}

impl Control {
    /// Handles an event of a topic of the store.
    pub(super) fn on_store_event(&mut self, event: TopicEvent) {
        match event {
            TopicEvent::Records(topic, records, all_below) => {
                if let Some(feed_topic) = feed_topic(topic) {
                    self.handle(Input::Feed(FeedEvent::Records {
                        topic: feed_topic,
                        records: records.iter().map(|it| to_feed(topic, it)).collect(),
                        all_below,
                    }));
                }
            }
            TopicEvent::Era(era) => self.handle(Input::StoreEra(era)),
            TopicEvent::Statuses(records, asked) => self.on_statuses(&records, asked),
            TopicEvent::CaughtUp(topic, known, asked) => {
                if let Some(topic) = feed_topic(topic) {
                    self.handle(Input::Feed(FeedEvent::Complete {
                        topic,
                        known,
                        asked,
                    }));
                }
            }
            TopicEvent::Failed(topic, in_time) => {
                if let Some(topic) = feed_topic(topic) {
                    self.handle(Input::Feed(FeedEvent::Failed(topic)));
                }
                match (topic, in_time) {
                    (Topic::Operators, _) => self.handle(Input::Store(StoreEvent::Failed)),
                    (Topic::Targets, true) => self.handle(Input::Store(StoreEvent::TargetsFailed)),
                    _ => {}
                }
            }
        }
    }

    /// Makes answers of earlier eras errors, so that every topic is read again in the new one.
    pub(super) fn on_new_era(&mut self, era: u64) {
        if let Some(hosting) = &mut self.hosting {
            hosting.key_missing_since = None;
            hosting.store.raise_era(era);
            hosting.gate.begin_era(era);
        }
    }

    /// Queues records of the store. They are applied once the node has handled its present input.
    pub(super) fn deliver(&mut self, delivery: Delivery) {
        if let Some(hosting) = &mut self.hosting {
            hosting.deliver(delivery);
        }
    }

    /// Applies records of the store, whoever read them.
    pub(super) fn apply(&mut self, delivery: Delivery) {
        let Some(hosting) = &mut self.hosting else {
            return;
        };
        match delivery {
            Delivery::Records(topic, records, from) => {
                if let Some(from) = from {
                    hosting.log_received(topic, &records, from);
                }
                let records: Vec<Record> = records.into_iter().map(from_feed).collect();
                self.apply_records(topic, &records, Cause::Written);
            }
            Delivery::Restored(topic, restored) => self.apply_restored(topic, restored),
            Delivery::Complete(feed::Topic::Operators, known, asked) => {
                self.handle(Input::Store(StoreEvent::Current { known, asked }));
            }
            Delivery::Complete(feed::Topic::Targets, _, asked) => {
                self.handle(Input::Store(StoreEvent::TargetsRead { asked }));
            }
            Delivery::Complete(feed::Topic::Routers, end, _) => {
                self.offer_fleet_key_if_missing(end);
                self.restore_own_records(end);
                self.clear_lost_routers(end);
            }
        }
    }

    /// Applies what a restore of the store changed.
    fn apply_restored(&mut self, topic: feed::Topic, restored: feed::Restored) {
        let (again, lost) = (restored.again.len(), restored.lost.len());
        let in_force = restored.in_force.len();
        let name = topic.as_str();
        log::info!(target: "store", "restored topic={name} again={again} lost={lost} in_force={in_force}");
        if topic == feed::Topic::Operators {
            for record in restored.again.into_iter().map(from_feed) {
                if let Some(pool) = operator::ordered_pool(&record) {
                    self.handle(Input::Store(StoreEvent::MoveRenumbered {
                        pool: pool.to_owned(),
                        revision: record.offset,
                    }));
                }
            }
        }
        let changes = [
            (restored.lost, Cause::Lost),
            (restored.in_force, Cause::Written),
        ];
        for (records, cause) in changes {
            let records: Vec<Record> = records.into_iter().map(from_feed).collect();
            if !records.is_empty() {
                self.apply_records(topic, &records, cause);
            }
        }
    }

    /// Writes again what this router wrote and the store lost when it was restored: its own record, and
    /// the key of the fleet, of which the routers take turns in the order of their ids.
    fn restore_own_records(&mut self, end: Offset) {
        let now = self.clock.now();
        let feed = self.node.feed();
        let Some(hosting) = &mut self.hosting else {
            return;
        };
        if feed.lacks(feed::Topic::Routers, &hosting.own_key) {
            let era = feed.era();
            hosting
                .own_rewrites
                .send_if_modified(|it| std::mem::replace(&mut it.era, era) != era);
        }
        let Some(key) = hosting.fleet_key.clone() else {
            return;
        };
        if !feed.lacks(feed::Topic::Routers, router::FLEET_KEY) {
            hosting.next_key_write = None;
            return;
        }
        let era = feed.era();
        let due = match hosting.next_key_write {
            Some((of, due)) if of == era => due,
            _ => {
                let before = hosting.routers.range(..hosting.own_id).count();
                let steps = u32::try_from(before).unwrap_or(u32::MAX);
                now + KEY_RESTORE_STEP.saturating_mul(steps)
            }
        };
        if now < due {
            hosting.next_key_write = Some((era, due));
            return;
        }
        hosting.next_key_write = Some((era, now + KEY_RESTORE_RETRY));
        log::info!(target: "store", "writing the lost key of the fleet again era={era}");
        let store = hosting.store.clone();
        tokio::task::spawn_local(follow::append_fleet_key(store, key, end));
    }

    fn apply_records(&mut self, topic: feed::Topic, records: &[Record], cause: Cause) {
        if topic == feed::Topic::Targets {
            let names = records.iter().map(|it| (Kind::Target, it.key.clone()));
            let names = names.collect();
            self.handle(Input::Store(StoreEvent::Named(names)));
        }
        let Some(hosting) = &mut self.hosting else {
            return;
        };
        match topic {
            feed::Topic::Operators => {
                let defaults = hosting.initial_data_centres();
                let changes = hosting.decode_operators(records);
                if !defaults.is_empty() {
                    self.handle(Input::Store(StoreEvent::Defaults(defaults)));
                }
                self.handle(Input::Store(StoreEvent::Changed(changes)));
            }
            feed::Topic::Targets => {
                for input in hosting.decode_targets(self.node.catalogue(), records, cause) {
                    self.handle(input);
                }
                self.withdraw(records);
            }
            feed::Topic::Routers => {
                let key = hosting.decode_routers(records, cause);
                let vms = hosting.vms();
                self.handle(Input::Vms(vms));
                if let Some(text) = key {
                    self.on_fleet_key(&text);
                }
            }
        }
    }

    /// Reports to the traffic threads to which of these targets no more requests may be sent. A target
    /// whose entry expired while the store was unavailable stays in use for a while.
    fn withdraw(&self, records: &[Record]) {
        for record in records {
            let Some(id) = self.node.catalogue().target_id(&record.key) else {
                continue;
            };
            let is_known = self.node.catalogue().target(id).is_some();
            let vm = self.hosting.as_ref().and_then(|h| h.targets.get(&id));
            let standing = self.node.standing(id);
            let is_leaving = standing == Standing::Leaving || vm.is_some_and(|vm| vm.leaving);
            self.withdrawn.record(&record.key, is_known && !is_leaving);
            if standing == Standing::Open {
                self.withdrawn.resume(&record.key);
            }
        }
    }

    /// Passes on to the node what a target stated in an answer, and logs it if it is new.
    pub(super) fn on_target_notice(&mut self, name: &str, notice: TargetNotice) {
        let Some(id) = self.node.catalogue().target_id(name) else {
            return;
        };
        let before = self.node.standing(id);
        self.handle(Input::Notice(id, notice));
        let standing = self.node.standing(id);
        match (standing == before, standing) {
            (true, _) | (false, Standing::Open) => {}
            (false, Standing::Leaving) => {
                log::info!(target: "target", "name={name} leaving=true stated_by=answer");
                self.withdrawn.record(name, false);
            }
            (false, Standing::Paused(until)) => {
                let pause_ms = until.since(self.clock.now()).as_millis();
                let readable = notice.pause != Some(RequestedPause::Unreadable);
                log::info!(target: "target", "name={name} pause_ms={pause_ms} readable={readable} stated_by=answer");
            }
        }
    }

    fn on_fleet_key(&mut self, text: &str) {
        if let Some(hosting) = &mut self.hosting {
            let used = hosting.fleet_key.get_or_insert_with(|| text.to_owned());
            if used != text {
                log::error!(target: "store", "the store holds another key of the fleet; this router goes on with the former one");
            }
        }
        let Some(peers) = self.hosting.as_mut().and_then(|h| h.peers.take()) else {
            return;
        };
        match settings::parse_fleet_key(text) {
            Some(key) => self.start_peers(peers, &key),
            None => {
                self.metrics.edge(Edge::RecordUnusable);
                log::error!(target: "store", "the fleet's key cannot be used; this router does not connect to peers");
            }
        }
    }

    /// Offers a key of the fleet if none is known at the end of the topic and it is this router's turn.
    /// If several routers offer one, the first append wins.
    fn offer_fleet_key_if_missing(&mut self, end: Offset) {
        let now = self.clock.now();
        let era = self.node.feed().era();
        if let Some(hosting) = &mut self.hosting
            && hosting.offers_key(now, era)
        {
            tokio::task::spawn_local(follow::offer_fleet_key(hosting.store.clone(), end));
        }
    }

    /// Reads the statuses of all rollouts, and passes them to the node.
    pub(super) fn read_move_statuses(&self) {
        let Some(hosting) = &self.hosting else {
            return;
        };
        tokio::task::spawn_local(follow::read_statuses(
            hosting.store.clone(),
            hosting.clock,
            hosting.event_sender.clone(),
            Arc::clone(&hosting.metrics),
        ));
    }

    fn on_statuses(&mut self, records: &[Record], asked: Time) {
        let Some(hosting) = &self.hosting else {
            return;
        };
        let decode = |record| match rollout::decode(record) {
            Ok(status) => status.map(move_progress),
            Err(error) => {
                hosting.skip_record(Topic::Status, record, &error);
                None
            }
        };
        let statuses = records.iter().filter_map(decode).collect();
        self.handle(Input::Store(StoreEvent::MoveStatuses { asked, statuses }));
    }

    /// Logs the progress of a version move and writes it to the store for operators.
    pub(super) fn record_move_progress(&self, progress: MoveProgress) {
        let Some(hosting) = &self.hosting else {
            return;
        };
        let subject = format!(
            "{} to {}: {:?}",
            progress.pool, progress.version, progress.phase
        );
        self.event_log.line("version", &subject);
        let state = match progress.phase {
            MovePhase::Running => rollout::State::Running,
            MovePhase::Finished => rollout::State::Completed,
            MovePhase::TakenBack => rollout::State::RolledBack,
        };
        let status = rollout::Status {
            pool: progress.pool,
            version: progress.version,
            state,
            order: progress.revision,
        };
        let store = hosting.store.clone();
        tokio::task::spawn_local(follow::record_rollout(store, status));
    }

    /// Admits or refuses a request of a caller on a hosting platform, which waited `handover_wait` for
    /// the control thread.
    pub(super) fn on_call(
        &mut self,
        call: HostedCall,
        handover_wait: Duration,
        decisions: mpsc::UnboundedSender<Decision>,
    ) {
        match self.resolve(&call, handover_wait) {
            Ok((plan, request)) => {
                let sent = decisions.send(Decision::Admitted(Arc::new(plan)));
                if sent.is_ok() {
                    self.decisions.insert(call.id, decisions);
                    self.handle(Input::Request(request));
                }
            }
            Err(refusal) => {
                self.metrics.count(Counter::Refused(refusal.reason));
                // The send fails if the caller has left.
                drop(decisions.send(Decision::Refuse(refusal)));
            }
        }
    }

    /// Looks up the route, the pool and the organisation of a request.
    fn resolve(
        &mut self,
        call: &HostedCall,
        handover_wait: Duration,
    ) -> Result<(ForwardingPlan, Request), Refusal> {
        let found = self.node.resolve(&call.host, &call.path);
        let (route, pool) = found.ok_or_else(|| self.not_found(Reason::UnknownPool))?;
        let (organisation, name) = self.caller(call, &route)?;
        let until = call.arrived + Duration::from_millis(u64::from(route.timeout_ms));
        let deadline = call.head.timeout.map(|patience| call.arrived + patience);
        let plan = ForwardingPlan {
            route: route.name.clone(),
            read_time: call.handed_over.since(call.arrived),
            handover_wait,
            organisation: (!route.anonymous).then_some(name),
            until,
            deadline,
            streams: route.streams,
            repeatable: route.repeat == RouteRepeat::Allowed,
        };
        let request = request(
            call,
            &route,
            (organisation, pool),
            until.min(deadline.unwrap_or(until)),
        );
        Ok((plan, request))
    }

    /// Returns the organisation that sent a request and its name.
    fn caller(
        &self,
        call: &HostedCall,
        route: &Route,
    ) -> Result<(OrganisationId, String), Refusal> {
        let catalogue = self.node.catalogue();
        let id = match (route.anonymous, &call.token) {
            (true, _) => catalogue
                .organisation_by_name(operator::ANONYMOUS)
                .map(|(id, _)| id),
            (false, Some(sum)) => catalogue.organisation_by_token(sum),
            (false, None) => None,
        };
        let found = id.and_then(|id| Some((id, catalogue.organisation(id)?.name.clone())));
        found.ok_or_else(|| self.not_found(Reason::Unauthorised))
    }
}

/// Returns how long a router leaves it to others to offer a key for the fleet. `before` is the number of
/// routers before it in the order of ids.
pub(super) fn key_offer_wait(before: usize) -> Duration {
    let steps = u32::try_from(before).unwrap_or(u32::MAX);
    KEY_OFFER_STEP.saturating_mul(steps).min(KEY_OFFER_MAX)
}

/// Returns a record as routers pass it on.
fn to_feed(topic: Topic, record: &Record) -> feed::Record {
    feed::Record {
        key: record.key.clone(),
        offset: record.offset,
        value: record.value.as_ref().map(|value| value.to_vec()),
        digest: match topic {
            Topic::Targets => target::digest(record),
            // Whatever else is written again is passed on again.
            Topic::Operators | Topic::Routers | Topic::Status | Topic::Duties => record.offset.0,
        },
    }
}

fn from_feed(record: feed::Record) -> Record {
    Record {
        offset: record.offset,
        key: record.key,
        value: record.value.map(Into::into),
    }
}

fn request(
    call: &HostedCall,
    route: &Route,
    (organisation, pool): (OrganisationId, PoolId),
    deadline: Time,
) -> Request {
    let objective = Duration::from_millis(u64::from(route.objective_ms));
    let gap_max = Duration::from_millis(u64::from(route.gap_aim_ms));
    Request {
        id: call.id,
        organisation,
        pool,
        class: None,
        repeat: match route.repeat {
            RouteRepeat::Allowed => Repeat::Allowed,
            RouteRepeat::Once => Repeat::Unkeyed,
        },
        deadline: Some(deadline),
        prompt_tokens: call.head.prompt_tokens,
        hint_tokens: call.head.output_tokens_hint,
        fingerprint: call.fingerprint,
        prefix: None,
        details: RequestDetails {
            parts: call.head.parts.clone(),
            attempts_max: Some(route.attempts_max),
            objective: (!objective.is_zero()).then_some(objective),
            gap_max: (!gap_max.is_zero()).then_some(gap_max),
            arrived: Some(call.arrived),
            output_tokens: call
                .head
                .output_tokens_hint
                .unwrap_or(call.head.output_tokens_max),
            body_bytes: call.body_bytes,
            is_resumed: call.head.resume_after.is_some(),
        },
    }
}

fn move_progress(status: rollout::Status) -> MoveProgress {
    MoveProgress {
        pool: status.pool,
        version: status.version,
        revision: status.order,
        phase: match status.state {
            rollout::State::Running => MovePhase::Running,
            rollout::State::Completed => MovePhase::Finished,
            rollout::State::RolledBack => MovePhase::TakenBack,
        },
    }
}

/// Returns the key of this router's record in the store.
fn own_key(peers: &PeerListener) -> String {
    match peers.cfg.listen {
        std::net::SocketAddr::V4(address) => router::key(address),
        std::net::SocketAddr::V6(address) => {
            // The settings name an IPv4 address; peers cannot reach any other.
            router::key(SocketAddrV4::new([0, 0, 0, 0].into(), address.port()))
        }
    }
}
