//! What a hosting platform needs of the control thread: following the store, and taking in calls.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use bulrushtrestle_core::catalogue::Scope;
use bulrushtrestle_core::catalogue::entry::{DataCentreState, Entry, Kind, Route, RouteRepeat};
use bulrushtrestle_core::counter::Counter;
use bulrushtrestle_core::input::{Input, StoreChange, StoreEvent, Vm, VmRole};
use bulrushtrestle_core::key::{Offset, OrganisationId, PoolId};
use bulrushtrestle_core::output::{MovePhase, MoveProgress};
use bulrushtrestle_core::request::{Repeat, Request, RequestDetails};
use bulrushtrestle_core::target::RecordOrder;
use bulrushtrestle_core::time::Time;
use bulrushtrestle_core::verdict::{Reason, Refusal};
use bulrushtrestle_platform::operator::{self, CallerLimits};
use bulrushtrestle_platform::store::{Record, Topic};
use bulrushtrestle_platform::{rollout, router, target};
use tokio::sync::{mpsc, watch};

use crate::clock::Clock;
use crate::control::follow::{self, Activity, Followed, Pace};
use crate::control::message::{Decision, HostedCall, Passage};
use crate::control::peers::PeerListener;
use crate::control::run::Control;
use crate::metrics::{Edge, Metrics};
use crate::platform::Store;
use crate::settings;

/// For how long the store may hold back a read of the operators' records. It is half of the time after which a
/// router that has not read them stops giving out work.
const OPERATORS_WAIT: Duration = Duration::from_millis(1_500);
/// For how long the store may hold back a read of the routers' records.
const ROUTERS_WAIT: Duration = Duration::from_secs(5);
/// The pause after routers were read. A fleet that starts writes a record for each router, and every router would be
/// told of each one by itself.
const ROUTERS_PAUSE: Duration = Duration::from_millis(800);
/// The time between two reads of the targets' records, in hundredths of the time after which a target that leaves
/// must get nothing. Targets write about once a second, so a read that waited for one would come back at once; one
/// read may fail.
const TARGETS_EVERY: u32 = 40;
/// The same while the router has no requests, so that a fleet of many idle routers asks the store little.
const TARGETS_EVERY_IDLE: u32 = 70;

/// The control thread's way to a hosting platform.
#[derive(Debug)]
pub(crate) struct Hosting {
    store: Store,
    regions: BTreeMap<String, String>,
    events: mpsc::UnboundedReceiver<Followed>,
    /// The peers' listener, until the key of the fleet is known.
    peers: Option<PeerListener>,
    /// The routers and targets that the store names, as the platform's VM list.
    vms: BTreeMap<u32, Vm>,
    /// Which records of targets are newer than others.
    order: RecordOrder,
    limits: watch::Sender<Option<CallerLimits>>,
    metrics: Arc<Metrics>,
    clock: Clock,
    /// Whether the data centres of the settings are in the catalogue.
    has_data_centres: bool,
    activity: Activity,
}

/// Waits for what was read from the store; for ever where there is none.
pub(super) async fn hosted_event(hosting: &mut Option<Hosting>) -> Followed {
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
    /// Starts to follow the store and to tell it of this router.
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
        let targets_every = cfg.leave_within * TARGETS_EVERY / 100;
        let targets_idle = cfg.leave_within * TARGETS_EVERY_IDLE / 100;
        let activity = Activity::default();
        let topics = [
            (
                Topic::Operators,
                Pace::LongPoll {
                    wait: OPERATORS_WAIT,
                    pause: Duration::ZERO,
                },
            ),
            (Topic::Targets, Pace::Every(targets_every, targets_idle)),
            (
                Topic::Routers,
                Pace::LongPoll {
                    wait: ROUTERS_WAIT,
                    pause: ROUTERS_PAUSE,
                },
            ),
        ];
        for (topic, pace) in topics {
            let follow = follow::follow(
                store.clone(),
                topic,
                pace,
                (clock, activity.clone()),
                sender.clone(),
                Arc::clone(&metrics),
            );
            tokio::task::spawn_local(follow);
        }
        tokio::task::spawn_local(follow::announce(
            store.clone(),
            own_key(&peers),
            data_centre.to_owned(),
        ));
        Self {
            store,
            regions: cfg.regions.clone(),
            events,
            peers: Some(peers),
            vms: BTreeMap::new(),
            order: RecordOrder::default(),
            limits,
            metrics,
            clock,
            has_data_centres: false,
            activity,
        }
    }

    /// Notes that this router has a request.
    pub(super) fn note_request(&self) {
        self.activity.note(self.clock.now());
    }

    /// Decodes records of operators. One that cannot be decoded leaves in force what it said before.
    fn operators(&mut self, records: &[Record]) -> Vec<StoreChange> {
        let now = self.clock.now();
        let mut changes = self.data_centres();
        for record in records {
            match operator::decode(record, &self.regions, now) {
                Ok(Some(wanted)) => {
                    if let Some(limits) = wanted.limits {
                        log::info!(target: "catalogue", "version={} offset={}", limits.version, record.offset);
                        self.limits.send_replace(Some(limits));
                    }
                    changes.push(StoreChange {
                        revision: record.offset,
                        scope: wanted.scope,
                        entries: wanted.entries,
                    });
                }
                Ok(None) => {}
                Err(error) => self.pass_over(Topic::Operators, record, &error),
            }
        }
        changes
    }

    /// Returns the data centres of the settings the first time; operators only take them out.
    fn data_centres(&mut self) -> Vec<StoreChange> {
        if std::mem::replace(&mut self.has_data_centres, true) {
            return Vec::new();
        }
        let names = self.regions.keys();
        names
            .map(|name| {
                let wanted = operator::data_centre(name, &self.regions, DataCentreState::In);
                StoreChange {
                    revision: Offset(0),
                    scope: wanted.scope,
                    entries: wanted.entries,
                }
            })
            .collect()
    }

    /// Decodes records of targets, and notes their VMs.
    fn targets(&mut self, records: &[Record]) -> Vec<Input> {
        let mut changes = Vec::new();
        let mut states = Vec::new();
        for record in records {
            let vm = target::id(record).0;
            let described = match target::decode(record) {
                Ok(described) => described,
                Err(error) => {
                    self.pass_over(Topic::Targets, record, &error);
                    continue;
                }
            };
            if let Some(described) = &described
                && !self.order.admits(&described.state)
            {
                let sequence = described.state.sequence;
                log::info!(target: "target", "name={} passed_over=older offset={} sequence={sequence}", record.key, record.offset);
                continue;
            }
            match &described {
                Some(described) => {
                    let entry = &described.entry;
                    let listed = Vm {
                        id: vm,
                        role: VmRole::Target,
                        address: entry.address.clone(),
                        data_centre: entry.data_centre.clone(),
                        leaving: described.state.leaving,
                    };
                    let leaving = listed.leaving;
                    let before = self.vms.insert(vm, listed);
                    if leaving != before.is_some_and(|before| before.leaving) {
                        let sequence = described.state.sequence;
                        log::info!(target: "target", "name={} leaving={leaving} offset={} sequence={sequence}", record.key, record.offset);
                    }
                    states.push(described.state);
                }
                None => {
                    self.order.on_removed(self.clock.now(), target::id(record));
                    if self.vms.remove(&vm).is_some() {
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
            Input::Vms(self.vms.values().cloned().collect()),
            Input::Store(StoreEvent::Targets(states)),
        ]
    }

    /// Decodes records of routers, notes their VMs, and returns the fleet's key if it is there.
    fn routers(&mut self, records: &[Record]) -> Option<String> {
        let mut key = None;
        for record in records {
            match router::decode(record) {
                Ok(Some(router::RouterRecord::FleetKey(text))) => key = Some(text),
                Ok(Some(router::RouterRecord::Router(vm))) => {
                    self.vms.insert(vm.id, vm);
                }
                Ok(Some(router::RouterRecord::Removed(id))) => {
                    self.vms.remove(&id);
                }
                Ok(None) => {}
                Err(error) => self.pass_over(Topic::Routers, record, &error),
            }
        }
        key
    }

    fn pass_over(&self, topic: Topic, record: &Record, error: &dyn std::error::Error) {
        self.metrics.edge(Edge::RecordUnusable);
        let (topic, key, offset) = (topic.as_str(), &record.key, record.offset);
        log::warn!(target: "store", "record passed over topic={topic} key={key} offset={offset} error={error}");
    }
}

impl Control {
    /// Takes in what was read from the store.
    pub(super) fn on_hosted(&mut self, event: Followed) {
        let Some(hosting) = &mut self.hosting else {
            return;
        };
        match event {
            Followed::Records(Topic::Operators, records) => {
                let changes = hosting.operators(&records);
                self.handle(Input::Store(StoreEvent::Changed(changes)));
            }
            Followed::Records(Topic::Targets, records) => {
                for input in hosting.targets(&records) {
                    self.handle(input);
                }
                self.withdraw(&records);
            }
            Followed::Records(Topic::Routers, records) => {
                let key = hosting.routers(&records);
                let vms = hosting.vms.values().cloned().collect();
                self.handle(Input::Vms(vms));
                if let Some(text) = key {
                    self.on_fleet_key(&text);
                }
            }
            Followed::Records(Topic::Status, records) => self.on_status(&records),
            Followed::CaughtUp(Topic::Operators, known, asked) => {
                self.handle(Input::Store(StoreEvent::Current { known, asked }));
            }
            Followed::CaughtUp(Topic::Routers, end, _) => self.draw_fleet_key(end),
            Followed::CaughtUp(Topic::Targets, _, asked) => {
                self.handle(Input::Store(StoreEvent::TargetsRead { asked }));
            }
            Followed::CaughtUp(Topic::Status, ..) => {}
            Followed::Failed(Topic::Operators, _) => {
                self.handle(Input::Store(StoreEvent::Failed));
            }
            Followed::Failed(Topic::Targets, true) => {
                self.handle(Input::Store(StoreEvent::TargetsFailed));
            }
            Followed::Failed(..) => {}
        }
    }

    /// Tells the traffic threads which of these targets must get nothing more. One whose entry lapsed while the store
    /// was away is still used for a while.
    fn withdraw(&self, records: &[Record]) {
        for record in records {
            let id = target::id(record);
            let is_known = self.node.catalogue().target(id).is_some();
            let vm = self.hosting.as_ref().and_then(|h| h.vms.get(&id.0));
            let may_be_used = is_known && !vm.is_some_and(|vm| vm.leaving);
            self.withdrawn.note(&record.key, may_be_used);
        }
    }

    fn on_fleet_key(&mut self, text: &str) {
        let Some(peers) = self.hosting.as_mut().and_then(|h| h.peers.take()) else {
            return;
        };
        match settings::parse_fleet_key(text) {
            Some(key) => self.start_peers(peers, &key),
            None => {
                self.metrics.edge(Edge::RecordUnusable);
                log::error!(target: "store", "the fleet's key cannot be used; this router stays alone");
            }
        }
    }

    /// Offers a key of the fleet if there is none. Of several routers that do, the first to append wins.
    fn draw_fleet_key(&self, end: Offset) {
        let Some(hosting) = &self.hosting else {
            return;
        };
        if hosting.peers.is_some() {
            tokio::task::spawn_local(follow::offer_fleet_key(hosting.store.clone(), end));
        }
    }

    fn on_status(&mut self, records: &[Record]) {
        for record in records {
            let stand = match rollout::decode(record) {
                Ok(Some(status)) => stand(status),
                Ok(None) => continue,
                Err(error) => {
                    if let Some(hosting) = &self.hosting {
                        hosting.pass_over(Topic::Status, record, &error);
                    }
                    continue;
                }
            };
            self.handle(Input::Store(StoreEvent::MoveProgress(stand)));
        }
    }

    /// Records how a version move stands.
    pub(super) fn tell_operators(&self, stand: MoveProgress) {
        let Some(hosting) = &self.hosting else {
            return;
        };
        let subject = format!("{} to {}: {:?}", stand.pool, stand.version, stand.phase);
        self.journal.line("version", &subject);
        let state = match stand.phase {
            MovePhase::Running => rollout::State::Running,
            MovePhase::Finished => rollout::State::Completed,
            MovePhase::TakenBack => rollout::State::RolledBack,
        };
        let status = rollout::Status {
            pool: stand.pool,
            version: stand.version,
            state,
        };
        let store = hosting.store.clone();
        tokio::task::spawn_local(follow::tell_rollout(store, status));
    }

    /// Takes in a call of a hosting platform that was `handed` over so long ago, or refuses it.
    pub(super) fn on_call(
        &mut self,
        call: HostedCall,
        handed: Duration,
        decisions: mpsc::UnboundedSender<Decision>,
    ) {
        match self.resolve(&call, handed) {
            Ok((passage, request)) => {
                let taken = decisions.send(Decision::Taken(Arc::new(passage)));
                if taken.is_ok() {
                    self.decisions.insert(call.id, decisions);
                    self.handle(Input::Request(request));
                }
            }
            Err(refusal) => {
                self.metrics.count(Counter::Refused(refusal.reason));
                // Who asked may have left.
                drop(decisions.send(Decision::Refuse(refusal)));
            }
        }
    }

    fn resolve(
        &mut self,
        call: &HostedCall,
        handed: Duration,
    ) -> Result<(Passage, Request), Refusal> {
        let found = self.node.resolve(&call.host, &call.path);
        let (route, pool) = found.ok_or_else(|| self.not_found(Reason::UnknownPool))?;
        let (organisation, name) = self.caller(call, &route)?;
        let until = call.arrived + Duration::from_millis(u64::from(route.timeout_ms));
        let deadline = call.said.timeout.map(|patience| call.arrived + patience);
        let passage = Passage {
            route: route.name.clone(),
            read: call.handed_over.since(call.arrived),
            handed,
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
        Ok((passage, request))
    }

    /// Returns whose request it is.
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

fn request(
    call: &HostedCall,
    route: &Route,
    (organisation, pool): (OrganisationId, PoolId),
    deadline: Time,
) -> Request {
    let objective = Duration::from_millis(u64::from(route.objective_ms));
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
        prompt_tokens: call.said.prompt_tokens,
        hint_tokens: call.said.output_tokens_hint,
        fingerprint: call.fingerprint,
        prefix: None,
        details: RequestDetails {
            parts: call.said.parts.clone(),
            attempts_max: Some(route.attempts_max),
            objective: (!objective.is_zero()).then_some(objective),
            arrived: Some(call.arrived),
            output_tokens: call
                .said
                .output_tokens_hint
                .unwrap_or(call.said.output_tokens_max),
            body_bytes: call.body_bytes,
        },
    }
}

fn stand(status: rollout::Status) -> MoveProgress {
    MoveProgress {
        pool: status.pool,
        version: status.version,
        phase: match status.state {
            rollout::State::Running => MovePhase::Running,
            rollout::State::Completed => MovePhase::Finished,
            rollout::State::RolledBack => MovePhase::TakenBack,
        },
    }
}

fn own_key(peers: &PeerListener) -> String {
    match peers.cfg.listen {
        std::net::SocketAddr::V4(address) => router::key(address),
        std::net::SocketAddr::V6(address) => {
            // The settings name an IP number of version 4; anything else is not reachable for peers.
            router::key(SocketAddrV4::new([0, 0, 0, 0].into(), address.port()))
        }
    }
}
