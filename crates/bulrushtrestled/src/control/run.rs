//! The event loop of the control thread.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bulrushtrestle_core::catalogue::entry::Service;
use bulrushtrestle_core::counter::Counter;
use bulrushtrestle_core::duty::DutyEvent;
use bulrushtrestle_core::input::{AttemptEvent, Input};
use bulrushtrestle_core::key::{AttemptId, OrganisationId, PoolId, RequestId};
use bulrushtrestle_core::node::Node;
use bulrushtrestle_core::output::Output;
use bulrushtrestle_core::request::{Request, RequestDetails};
use bulrushtrestle_core::time::Time;
use bulrushtrestle_core::verdict::{Reason, Refusal};
use bulrushtrestle_platform::operator::CallerLimits;
use bulrushtrestle_wire::FleetKey;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::control::backlog::{Backlog, LATE_MAX, spread_retry_after};
use crate::control::duty::DutyClient;
use crate::control::follow::TopicEvent;
use crate::control::handle::Handle;
use crate::control::hosting::{Hosting, next_store_event};
use crate::control::log::LogClient;
use crate::control::message::{
    Addresses, Arrival, AttemptNames, Decision, Identity, LocalEvent, NewRequest, Query,
};
use crate::control::orders::Orders;
use crate::control::peers::{self, PeerListener, Peers};
use crate::control::watch::{Reports, Watched, watch_vms};
use crate::control::withdrawn::Withdrawn;
use crate::logging::EventLog;
use crate::metrics::{Edge, Metrics, Stage};
use crate::platform::{Http, HttpLog, HttpVmList, HttpWeights};
use crate::settings::{self, Platform, Settings};

/// The interval at which the lag of the thread's timers is measured.
const LAG_INTERVAL: Duration = Duration::from_millis(20);

/// The lag of the thread's timers from which on it is logged. It is a quarter of the time within
/// which the directory has to answer, on the users' weakest VMs.
const LATE_LOG_MIN: Duration = Duration::from_millis(250);

/// The time for which events are handled before the concurrent tasks may run, which read the store
/// and receive from peers. Without the limit, a router with more requests than it sustains would
/// decide by state that is seconds old. It is a fifth of the wait for the processor at which no more
/// connections are accepted.
const EVENT_BATCH_MAX: Duration = Duration::from_millis(10);

/// The most data centres for which the last answer to callers is kept for the log. It is limited
/// because callers may name any data centre.
const LOGGED_DATA_CENTRES_MAX: usize = 64;

/// The retry delay proposed to callers while the router's catalogue is incomplete.
const NOT_CURRENT_RETRY: Duration = Duration::from_secs(1);

/// The listener, the names and the channel ends with which the control thread starts.
#[derive(Debug)]
pub(crate) struct ControlContext {
    /// The listener for connections from peers.
    pub(crate) listener: TcpListener,
    /// The names that identify attempts to targets.
    pub(crate) names: AttemptNames,
    /// Set to true when a planned stop is complete.
    pub(crate) stopped: watch::Sender<bool>,
    /// Receives the limits that operators of a hosting platform set for callers.
    pub(crate) limits: watch::Sender<Option<CallerLimits>>,
    /// The requests that wait for the control thread.
    pub(crate) backlog: Backlog,
    /// The targets to which no more requests may be sent.
    pub(crate) withdrawn: Withdrawn,
}

/// The control thread's ends of the channels to the traffic threads.
#[derive(Debug)]
pub(crate) struct Receivers {
    queries: mpsc::Receiver<Query>,
    arrivals: mpsc::Receiver<NewRequest>,
    backlog: Backlog,
    local_events: mpsc::UnboundedReceiver<LocalEvent>,
    limits: watch::Sender<Option<CallerLimits>>,
    withdrawn: Withdrawn,
}

impl Receivers {
    /// Returns the shared set of targets to which no more requests may be sent.
    pub(crate) fn withdrawn(&self) -> Withdrawn {
        self.withdrawn.clone()
    }

    /// Returns the shared list of requests that wait for the control thread.
    pub(crate) fn backlog(&self) -> Backlog {
        self.backlog.clone()
    }

    /// Returns the sender for the limits that operators set for callers.
    pub(crate) fn limits(&self) -> watch::Sender<Option<CallerLimits>> {
        self.limits.clone()
    }
}

/// Returns both ends of the channels between the traffic threads and the control thread.
pub(crate) fn channels(handover_max: usize) -> (Handle, Receivers) {
    let (queries, queries_receiver) = mpsc::channel(handover_max);
    let (arrivals, arrivals_receiver) = mpsc::channel(handover_max);
    let backlog = Backlog::default();
    let (local_events, local_events_receiver) = mpsc::unbounded_channel();
    let (limits, limits_receiver) = watch::channel(None);
    let withdrawn = Withdrawn::default();
    let handle = Handle::new(
        (queries, arrivals),
        local_events,
        backlog.clone(),
        limits_receiver,
        withdrawn.clone(),
    );
    let receivers = Receivers {
        queries: queries_receiver,
        arrivals: arrivals_receiver,
        backlog,
        local_events: local_events_receiver,
        limits,
        withdrawn,
    };
    (handle, receivers)
}

/// An attempt in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) address: SocketAddr,
    /// The kind of service of the target's pool.
    pub(super) service: Service,
    /// Whether the attempt has failed. Set while the node decides how to continue.
    pub(super) has_failed: bool,
}

/// An event that the control thread handles.
enum Event {
    /// An input from a peer, or from a task that runs concurrently with the loop.
    Input(Input),
    /// An event that a traffic thread reported.
    Local(LocalEvent),
    /// A query of a traffic thread.
    Query(Query),
    /// An event of a topic of a hosting platform's store.
    Store(TopicEvent),
    /// A request that a traffic thread handed over.
    NewRequest(NewRequest),
}

impl Event {
    const fn stage(&self) -> Stage {
        match self {
            Self::Input(Input::Peer { .. }) => Stage::ControlPeer,
            Self::Input(_) => Stage::ControlOther,
            Self::Local(LocalEvent::Attempt(..)) => Stage::ControlAttempt,
            Self::Local(LocalEvent::Head(..)) => Stage::ControlLoad,
            Self::Local(LocalEvent::Progress(_)) => Stage::ControlProgress,
            Self::Local(LocalEvent::Notice(..)) => Stage::ControlLoad,
            Self::Local(
                LocalEvent::Cancelled(_)
                | LocalEvent::TimedOut(_)
                | LocalEvent::LiftBar(_)
                | LocalEvent::Stop,
            ) => Stage::ControlNote,
            Self::Query(_) => Stage::ControlAsk,
            Self::NewRequest(..) => Stage::ControlRequest,
            Self::Store(_) => Stage::ControlStore,
        }
    }
}

/// The state of the control thread.
#[derive(Debug)]
pub(crate) struct Control {
    pub(super) node: Node,
    pub(super) clock: Clock,
    pub(super) metrics: Arc<Metrics>,
    pub(super) event_log: EventLog,
    /// The senders of decisions, one per request from its arrival to its final answer.
    pub(super) decisions: HashMap<RequestId, mpsc::UnboundedSender<Decision>>,
    /// The attempts in progress.
    pub(super) attempts: HashMap<AttemptId, Attempt>,
    pub(super) names: AttemptNames,
    /// The times at which the node asked for a timer input.
    pub(super) wake_times: BTreeSet<Time>,
    /// Inputs that result from executing outputs.
    pub(super) follow_ups: VecDeque<Input>,
    /// The client of the log. `None` if a store keeps the catalogue.
    pub(super) log: Option<LogClient<HttpLog>>,
    /// The connections to peers. `None` until the fleet's key is known.
    pub(super) peers: Option<Peers>,
    /// The sender of orders to targets. `None` on a hosting platform.
    pub(super) orders: Option<Orders>,
    /// The state for a hosting platform. `None` with the project's own services.
    pub(super) hosting: Option<Hosting>,
    /// The client for the duties. `None` if the deployment has none.
    pub(super) duty: Option<DutyClient>,
    pub(super) withdrawn: Withdrawn,
    backlog: Backlog,
    /// The last addresses returned to callers near each data centre. A change is logged.
    logged_addresses: BTreeMap<String, Vec<String>>,
    pub(super) http: Http,
    pub(super) stopped: watch::Sender<bool>,
    reports: Option<Reports>,
    next_lag_check: Instant,
    /// Whether the thread's timers were late at the last check.
    is_late: bool,
    next_report: Instant,
    report_every: Duration,
    stop_timeout: Duration,
    inputs: mpsc::UnboundedReceiver<Input>,
    sender: mpsc::UnboundedSender<Input>,
    out: Vec<Output>,
}

impl Control {
    /// Starts the tasks of the control thread; runs inside its `LocalSet`.
    pub(crate) fn start(
        node: Node,
        settings: &Settings,
        clock: Clock,
        metrics: &Arc<Metrics>,
        context: ControlContext,
    ) -> Self {
        let ControlContext {
            listener,
            names,
            stopped,
            limits,
            backlog,
            withdrawn,
        } = context;
        let (sender, inputs) = mpsc::unbounded_channel();
        // Targets must not receive the platform's token.
        let http = Http::new(None);
        let now = Instant::now();
        let mut control = Self {
            node,
            clock,
            metrics: Arc::clone(metrics),
            event_log: EventLog::new(),
            decisions: HashMap::new(),
            attempts: HashMap::new(),
            names,
            wake_times: BTreeSet::new(),
            follow_ups: VecDeque::new(),
            log: None,
            peers: None,
            orders: None,
            hosting: None,
            duty: None,
            withdrawn,
            backlog,
            logged_addresses: BTreeMap::new(),
            reports: None,
            http,
            stopped,
            next_lag_check: now + LAG_INTERVAL,
            is_late: false,
            next_report: now,
            report_every: settings.targets.report_every,
            stop_timeout: settings.stop_timeout,
            inputs,
            sender,
            out: Vec::new(),
        };
        let peers = PeerListener {
            listener,
            router: settings.router,
            cfg: settings.peers.clone(),
        };
        match &settings.platform {
            Platform::Services(services) => {
                control.start_services(services);
                if let Some(key) = &settings.peers.key {
                    control.start_peers(peers, key);
                }
            }
            Platform::Hosting(cfg) => {
                control.hosting = Some(Hosting::start(
                    cfg,
                    &settings.data_centre,
                    clock,
                    Arc::clone(metrics),
                    peers,
                    limits,
                ));
                if let (Some(hosting), Some(duty)) = (&control.hosting, &cfg.duty) {
                    control.duty = Some(DutyClient::new(
                        duty,
                        hosting.store().clone(),
                        control.sender.clone(),
                        Arc::clone(metrics),
                    ));
                }
            }
        }
        control
    }

    /// Starts the clients of the log, the VM list and the weight store.
    fn start_services(&mut self, cfg: &settings::Services) {
        let http = Http::new(cfg.token.as_deref());
        let log = HttpLog {
            http: http.clone(),
            address: cfg.log,
            append_timeout: cfg.append_timeout,
            read_wait: cfg.read_wait,
        };
        let vms = HttpVmList {
            http: http.clone(),
            address: cfg.vms,
        };
        let weights = HttpWeights {
            http,
            address: cfg.weights,
        };
        let (sender, metrics) = (&self.sender, &self.metrics);
        spawn_local(watch_vms(
            vms,
            cfg.vms_every,
            sender.clone(),
            Arc::clone(metrics),
        ));
        self.log = Some(LogClient::start(log, sender.clone(), Arc::clone(metrics)));
        self.orders = Some(Orders::new(weights, sender.clone(), Arc::clone(metrics)));
        let reports = Reports::new(self.http.clone(), sender.clone(), Arc::clone(metrics));
        self.reports = Some(reports);
    }

    /// Starts to accept connections from peers and to connect to them. Called once the fleet's key is
    /// known.
    pub(super) fn start_peers(&mut self, at: PeerListener, key: &FleetKey) {
        let metrics = &self.metrics;
        let peers = Peers::new(at.router, at.cfg.clone(), key, Arc::clone(metrics));
        self.peers = Some(peers);
        spawn_local(peers::accept(
            at,
            key.clone(),
            self.sender.clone(),
            Arc::clone(metrics),
        ));
        self.set_peer_addresses();
    }

    fn set_peer_addresses(&mut self) {
        if let Some(peers) = &mut self.peers {
            peers.set_addresses(self.node.peer_addresses());
        }
    }

    /// Runs the event loop until the traffic threads have ended.
    pub(crate) async fn run(mut self, mut from: Receivers) {
        self.handle(Input::Timer);
        let busy = self.metrics.busy.clone();
        // The timer is reset rather than created for each event: a new timer would be the runtime's
        // earliest each time and wake the runtime's own thread.
        let timer = sleep_until(self.next_due().into());
        let mut timer = pin!(timer);
        let mut batch_time = Duration::ZERO;
        loop {
            if batch_time >= EVENT_BATCH_MAX {
                batch_time = Duration::ZERO;
                yield_now().await;
            }
            let began = Instant::now();
            if self.next_due() <= began {
                let _within = busy.enter(Stage::ControlTimer);
                self.on_due();
                batch_time += began.elapsed();
            }
            let due = self.next_due().into();
            if timer.is_elapsed() || timer.deadline() != due {
                timer.as_mut().reset(due);
            }
            // Updates of the router's state and events of admitted requests take precedence over new
            // requests.
            let event = tokio::select! {
                biased;
                () = &mut timer => continue,
                event = next_store_event(&mut self.hosting) => Event::Store(event),
                Some(event) = from.local_events.recv() => Event::Local(event),
                query = from.queries.recv() => match query {
                    Some(query) => Event::Query(query),
                    None => return,
                },
                Some(input) = self.inputs.recv() => Event::Input(input),
                Some(new_request) = from.arrivals.recv() => Event::NewRequest(new_request),
            };
            let _within = busy.enter(event.stage());
            let began = Instant::now();
            match event {
                Event::Input(input) => self.handle(input),
                Event::Local(event) => self.on_local_event(event),
                Event::Store(event) => self.on_store_event(event),
                Event::Query(query) => self.on_query(query),
                Event::NewRequest(new_request) => self.on_new_request(new_request),
            }
            batch_time += began.elapsed();
        }
    }

    /// Passes an input to the node and executes the outputs, including all inputs that result.
    pub(super) fn handle(&mut self, input: Input) {
        self.handle_one(input);
        loop {
            while let Some(next) = self.follow_ups.pop_front() {
                self.handle_one(next);
            }
            let Some(delivery) = self.hosting.as_mut().and_then(Hosting::next_delivery) else {
                break;
            };
            self.apply(delivery);
        }
        if let Some(hosting) = &self.hosting {
            hosting.update_gate(self.node.feed());
        }
    }

    fn handle_one(&mut self, input: Input) {
        let has_vms = matches!(input, Input::Vms(_));
        if let (Input::Request(_), Some(hosting)) = (&input, &self.hosting) {
            hosting.record_request();
        }
        let mut out = std::mem::take(&mut self.out);
        if self.duty.as_mut().is_some_and(DutyClient::was_suspended) {
            let suspended = Input::Duty(DutyEvent::Suspended);
            self.node.handle(self.clock.now(), suspended, &mut out);
        }
        self.node.handle(self.clock.now(), input, &mut out);
        if has_vms {
            // The outputs may already contain messages to routers that this VM list added.
            self.set_peer_addresses();
        }
        for output in out.drain(..) {
            self.execute(output);
        }
        self.out = out;
    }

    fn next_due(&self) -> Instant {
        let next = self.next_lag_check.min(self.next_report);
        match self.wake_times.first() {
            Some(&wake) => next.min(self.clock.instant(wake)),
            None => next,
        }
    }

    fn on_due(&mut self) {
        let now = Instant::now();
        if now >= self.next_lag_check {
            let late = now - self.next_lag_check;
            self.metrics.lag(late);
            if self.is_late != (late >= LATE_LOG_MIN) {
                self.is_late = !self.is_late;
                log::warn!(target: "lag", "thread=control late_ms={} max_ms={}", late.as_millis(), LATE_LOG_MIN.as_millis());
            }
            self.next_lag_check = now + LAG_INTERVAL;
        }
        if now >= self.next_report {
            self.next_report = now + self.report_every;
            if let Some(reports) = &self.reports {
                reports.read(&self.watched());
            }
        }
        let wall_clock = self.duty.as_mut().and_then(DutyClient::wall_clock_due);
        if let Some(wall_clock) = wall_clock {
            self.handle(Input::WallClock(wall_clock));
            self.metrics.scaled(&self.node.scale_status());
        }
        let time = self.clock.now();
        if let Some(duties) = self.node.duties() {
            let fence = duties.held(time).map_or(0, |fence| fence.0);
            let fence = i64::try_from(fence).unwrap_or(i64::MAX);
            self.metrics.duty_fence.set(fence);
        }
        if self.wake_times.first().is_some_and(|&wake| wake <= time) {
            self.wake_times = self
                .wake_times
                .split_off(&(time + Duration::from_micros(1)));
            self.handle(Input::Timer);
        }
    }

    fn on_local_event(&mut self, event: LocalEvent) {
        match event {
            LocalEvent::Cancelled(request) => {
                self.decisions.remove(&request);
                self.handle(Input::Cancelled(request));
            }
            LocalEvent::TimedOut(request) => {
                self.decisions.remove(&request);
                self.handle(Input::TimedOut(request));
            }
            LocalEvent::Notice(name, notice) => self.on_target_notice(&name, notice),
            LocalEvent::Head(attempt, head) => self.handle(Input::Head(attempt, head)),
            LocalEvent::Attempt(attempt, event) => self.on_attempt(attempt, event),
            LocalEvent::Progress(all) => {
                for (attempt, tokens) in all {
                    self.on_attempt(attempt, AttemptEvent::Progress { tokens });
                }
            }
            LocalEvent::LiftBar(content) => self.handle(Input::LiftBar(content)),
            LocalEvent::Stop => {
                let deadline = self.clock.now() + self.stop_timeout;
                self.handle(Input::Stop { deadline });
            }
        }
    }

    fn on_attempt(&mut self, attempt: AttemptId, event: AttemptEvent) {
        if let (AttemptEvent::Failed(_), Some(failed)) = (event, self.attempts.get_mut(&attempt)) {
            failed.has_failed = true;
        }
        self.handle(Input::Attempt(attempt, event));
        match event {
            AttemptEvent::Started | AttemptEvent::Progress { .. } => {}
            AttemptEvent::Finished { .. } => {
                if let Some(finished) = self.attempts.remove(&attempt) {
                    self.decisions.remove(&finished.request);
                }
            }
            AttemptEvent::Declined | AttemptEvent::Withheld | AttemptEvent::Failed(_) => {
                self.attempts.remove(&attempt);
            }
        }
    }

    /// Answers a query of a traffic thread. The answer is dropped if the caller has left meanwhile.
    fn on_query(&mut self, query: Query) {
        match query {
            Query::Identity { sum, reply } => drop(reply.send(self.identity(&sum))),
            Query::Addresses {
                organisation,
                reply,
            } => drop(reply.send(self.addresses(organisation))),
            Query::RoutersNear { data_centre, reply } => {
                drop(reply.send(self.addresses_near(data_centre)));
            }
            Query::Status { reply } => {
                let status = serde_json::to_string(&self.node.status(self.clock.now()));
                drop(reply.send(status.unwrap_or_default()));
            }
            Query::Catalogue { after, reply } => {
                let page = self.node.catalogue_page(after);
                drop(reply.send(page.and_then(|page| serde_json::to_string(&page).ok())));
            }
            Query::Ready { reply } => drop(reply.send(self.node.status(self.clock.now()).ready)),
        }
    }

    /// Returns the addresses for callers near a data centre, and logs them if they changed.
    fn addresses_near(&mut self, data_centre: Option<String>) -> Vec<String> {
        let addresses = self.node.addresses_near(data_centre.as_deref());
        let named = data_centre.unwrap_or_default();
        let is_known = self.logged_addresses.get(&named) == Some(&addresses);
        if !is_known
            && (self.logged_addresses.len() < LOGGED_DATA_CENTRES_MAX
                || self.logged_addresses.contains_key(&named))
        {
            let list = addresses.join(",");
            log::info!(target: "addresses", "data_centre={named:?} count={} named={list}", addresses.len());
            self.logged_addresses.insert(named, addresses.clone());
        }
        addresses
    }

    fn identity(&self, sum: &[u8; 32]) -> Result<Identity, Refusal> {
        let catalogue = self.node.catalogue();
        let found = catalogue
            .organisation_by_token(sum)
            .and_then(|id| catalogue.organisation(id).map(|entry| (id, entry)));
        let (organisation, entry) = found.ok_or(self.not_found(Reason::Unauthorised))?;
        Ok(Identity {
            organisation,
            limits: entry.limits,
        })
    }

    /// Returns the addresses for an organisation, or for an unidentified caller if `organisation` is
    /// `None`.
    fn addresses(&self, organisation: Option<OrganisationId>) -> Addresses {
        Addresses {
            addresses: self.node.addresses(organisation),
            valid: self.node.addresses_valid(),
        }
    }

    /// Returns the refusal for a missing catalogue entry. While the catalogue is incomplete the entry
    /// may still be read, so the refusal proposes a retry instead of `reason`.
    pub(super) fn not_found(&self, reason: Reason) -> Refusal {
        match self.node.is_ready() {
            true => Refusal::not_run(reason, None),
            false => Refusal::not_run(Reason::NotCurrent, Some(NOT_CURRENT_RETRY)),
        }
    }

    /// Admits a request, unless its caller has left or it has waited too long for this thread.
    fn on_new_request(&mut self, new_request: NewRequest) {
        let waited = self.backlog.leave(Instant::now());
        self.metrics.handed(waited);
        if let Some(read) = new_request.read_time() {
            self.metrics.read(read);
        }
        if new_request.decisions().is_closed() {
            return;
        }
        if waited >= LATE_MAX {
            self.metrics.edge(Edge::RefusedLate);
            let wait = spread_retry_after(new_request.id());
            let refusal = Refusal::not_run(Reason::Overloaded, Some(wait));
            self.metrics.count(Counter::Refused(refusal.reason));
            // The send fails if the caller has left.
            drop(new_request.decisions().send(Decision::Refuse(refusal)));
            return;
        }
        match new_request {
            NewRequest::Request(arrival, decisions) => self.on_request(arrival, decisions),
            NewRequest::Call(call, decisions) => self.on_call(call, waited, decisions),
        }
    }

    fn on_request(&mut self, arrival: Arrival, decisions: mpsc::UnboundedSender<Decision>) {
        let Some(pool) = self.pool(&arrival.pool, arrival.kind) else {
            let refusal = self.not_found(Reason::UnknownPool);
            self.metrics.count(Counter::Refused(refusal.reason));
            let _ = decisions.send(Decision::Refuse(refusal));
            return;
        };
        self.decisions.insert(arrival.id, decisions);
        self.handle(Input::Request(Request {
            id: arrival.id,
            organisation: arrival.organisation,
            pool,
            class: arrival.class,
            repeat: arrival.repeat,
            deadline: arrival.deadline,
            prompt_tokens: arrival.prompt_tokens,
            hint_tokens: arrival.hint_tokens,
            fingerprint: arrival.fingerprint,
            prefix: arrival.prefix,
            details: RequestDetails {
                arrived: Some(arrival.arrived),
                ..RequestDetails::default()
            },
        }));
    }

    fn pool(&self, name: &str, kind: Service) -> Option<PoolId> {
        let (id, entry) = self.node.catalogue().pool_by_name(name)?;
        (entry.service == kind).then_some(id)
    }

    /// Returns the targets whose reports are to be read.
    fn watched(&self) -> Vec<Watched> {
        let catalogue = self.node.catalogue();
        let targets = self.node.watched_targets().filter_map(|id| {
            let target = catalogue.target(id)?;
            let (_, pool) = catalogue.pool_by_name(&target.entry.pool)?;
            Some(Watched {
                id: target.id,
                address: target.entry.address.parse().ok()?,
                has_cache: pool.service == Service::Model,
            })
        });
        targets.collect()
    }
}
