//! The loop of the control thread.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bulrushtrestle_core::catalogue::entry::Service;
use bulrushtrestle_core::counter::Counter;
use bulrushtrestle_core::input::{AttemptEvent, Input};
use bulrushtrestle_core::key::{AttemptId, OrganisationId, PoolId, RequestId, TargetId};
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
use crate::control::follow::Followed;
use crate::control::handle::Handle;
use crate::control::hosting::{Hosting, hosted_event};
use crate::control::log::LogPump;
use crate::control::message::{
    Addresses, Arrival, Arriving, Ask, AttemptNames, Decision, Identity, Note,
};
use crate::control::orders::Orders;
use crate::control::peers::{self, PeerListener, Peers};
use crate::control::watch::{Reports, Watched, watch_vms};
use crate::control::withdrawn::Withdrawn;
use crate::logging::EventLog;
use crate::metrics::{Edge, Metrics, Stage};
use crate::platform::{Http, HttpLog, HttpVmList, HttpWeights};
use crate::settings::{self, Platform, Settings};

/// The time between two measurements of how late the thread is.
const LAG_TICK: Duration = Duration::from_millis(20);

/// How late the thread's timers are when that is worth a line: what the users' weakest VMs do in a quarter of the time that an
/// answer of the directory may take.
const LATE: Duration = Duration::from_millis(250);

/// For how long events are dealt with before the tasks beside the loop have their turn: those that read the store and hear peers.
/// Otherwise a router with more requests than it bears would go by what it knew seconds ago. A fifth of the wait for the
/// processor at which no more connections are taken.
const TURN_MAX: Duration = Duration::from_millis(10);

/// The most data centres of which it is remembered what callers were told; callers may name any.
const NAMED_MAX: usize = 64;

/// The wait that is proposed while the router does not know the whole catalogue.
const NOT_CURRENT_RETRY: Duration = Duration::from_secs(1);

/// What the control thread is started with besides its settings.
#[derive(Debug)]
pub(crate) struct ControlContext {
    /// Where peers connect to.
    pub(crate) listener: TcpListener,
    /// The names by which targets know attempts.
    pub(crate) names: AttemptNames,
    /// Shows that a planned stop is complete.
    pub(crate) stopped: watch::Sender<bool>,
    /// Takes what operators of a hosting platform allow callers.
    pub(crate) limits: watch::Sender<Option<CallerLimits>>,
    /// How far the control thread is behind.
    pub(crate) backlog: Backlog,
    /// Takes which targets must get nothing more.
    pub(crate) withdrawn: Withdrawn,
}

/// The control thread's ends of the channels.
#[derive(Debug)]
pub(crate) struct Receivers {
    asks: mpsc::Receiver<Ask>,
    arrivals: mpsc::Receiver<Arriving>,
    backlog: Backlog,
    notes: mpsc::UnboundedReceiver<Note>,
    limits: watch::Sender<Option<CallerLimits>>,
    withdrawn: Withdrawn,
}

impl Receivers {
    /// Returns where it is said which targets must get nothing more.
    pub(crate) fn withdrawn(&self) -> Withdrawn {
        self.withdrawn.clone()
    }

    /// Returns where it is noted how far the control thread is behind.
    pub(crate) fn backlog(&self) -> Backlog {
        self.backlog.clone()
    }

    /// Returns where the callers' limits go.
    pub(crate) fn limits(&self) -> watch::Sender<Option<CallerLimits>> {
        self.limits.clone()
    }
}

/// Returns both ends of the channels between the traffic threads and the control thread.
pub(crate) fn channels(handover_max: usize) -> (Handle, Receivers) {
    let (asks, asks_receiver) = mpsc::channel(handover_max);
    let (arrivals, arrivals_receiver) = mpsc::channel(handover_max);
    let backlog = Backlog::default();
    let (notes, notes_receiver) = mpsc::unbounded_channel();
    let (limits, limits_receiver) = watch::channel(None);
    let withdrawn = Withdrawn::default();
    let handle = Handle::new(
        (asks, arrivals),
        notes,
        backlog.clone(),
        limits_receiver,
        withdrawn.clone(),
    );
    let receivers = Receivers {
        asks: asks_receiver,
        arrivals: arrivals_receiver,
        backlog,
        notes: notes_receiver,
        limits,
        withdrawn,
    };
    (handle, receivers)
}

/// An attempt under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) target: TargetId,
    pub(super) address: SocketAddr,
    /// What the target is.
    pub(super) service: Service,
    /// Whether it failed and the node is just deciding what follows.
    pub(super) has_failed: bool,
}

/// Something that the control thread deals with.
enum Event {
    /// From a peer, or from a task beside the loop.
    Input(Input),
    Note(Note),
    Ask(Ask),
    Store(Followed),
    /// A request.
    Arriving(Arriving),
}

impl Event {
    const fn stage(&self) -> Stage {
        match self {
            Self::Input(Input::Peer { .. }) => Stage::ControlPeer,
            Self::Input(_) => Stage::ControlOther,
            Self::Note(Note::Attempt(..)) => Stage::ControlAttempt,
            Self::Note(Note::Load(..)) => Stage::ControlLoad,
            Self::Note(Note::Progress(_)) => Stage::ControlProgress,
            Self::Note(Note::Cancelled(_) | Note::TimedOut(_) | Note::Stop) => Stage::ControlNote,
            Self::Ask(_) => Stage::ControlAsk,
            Self::Arriving(..) => Stage::ControlRequest,
            Self::Store(_) => Stage::ControlStore,
        }
    }
}

/// Everything that the control thread holds.
#[derive(Debug)]
pub(crate) struct Control {
    pub(super) node: Node,
    pub(super) clock: Clock,
    pub(super) metrics: Arc<Metrics>,
    pub(super) journal: EventLog,
    /// Where decisions about a request go, from its arrival to its final answer.
    pub(super) decisions: HashMap<RequestId, mpsc::UnboundedSender<Decision>>,
    /// The attempts under way.
    pub(super) attempts: HashMap<AttemptId, Attempt>,
    pub(super) names: AttemptNames,
    pub(super) wakes: BTreeSet<Time>,
    /// Inputs that follow from carrying out outputs.
    pub(super) follow_ups: VecDeque<Input>,
    /// The log; nothing where a store keeps the catalogue.
    pub(super) log: Option<LogPump<HttpLog>>,
    /// The peers; nothing until the fleet's key is known.
    pub(super) peers: Option<Peers>,
    pub(super) orders: Option<Orders>,
    /// What a hosting platform needs.
    pub(super) hosting: Option<Hosting>,
    pub(super) withdrawn: Withdrawn,
    backlog: Backlog,
    /// What callers near each data centre were told last, for the log.
    named: BTreeMap<String, Vec<String>>,
    pub(super) http: Http,
    pub(super) stopped: watch::Sender<bool>,
    reports: Option<Reports>,
    next_lag_tick: Instant,
    /// Whether the thread's timers were late when that was looked at last.
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
        ends: ControlContext,
    ) -> Self {
        let ControlContext {
            listener,
            names,
            stopped,
            limits,
            backlog,
            withdrawn,
        } = ends;
        let (sender, inputs) = mpsc::unbounded_channel();
        // The platform's token is not for targets.
        let http = Http::new(None);
        let now = Instant::now();
        let mut control = Self {
            node,
            clock,
            metrics: Arc::clone(metrics),
            journal: EventLog::new(),
            decisions: HashMap::new(),
            attempts: HashMap::new(),
            names,
            wakes: BTreeSet::new(),
            follow_ups: VecDeque::new(),
            log: None,
            peers: None,
            orders: None,
            hosting: None,
            withdrawn,
            backlog,
            named: BTreeMap::new(),
            reports: None,
            http,
            stopped,
            next_lag_tick: now + LAG_TICK,
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
            }
        }
        control
    }

    /// Starts what reads from and writes to a log, a VM list and a weight store.
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
        self.log = Some(LogPump::start(log, sender.clone(), Arc::clone(metrics)));
        self.orders = Some(Orders::new(weights, sender.clone(), Arc::clone(metrics)));
        let reports = Reports::new(self.http.clone(), sender.clone(), Arc::clone(metrics));
        self.reports = Some(reports);
    }

    /// Lets peers in and calls them, now that the key of the fleet is known.
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

    /// Carries until the traffic threads are gone.
    pub(crate) async fn run(mut self, mut from: Receivers) {
        self.handle(Input::Timer);
        let busy = self.metrics.busy.clone();
        // A timer that is made anew for each event is each time the runtime's earliest, and wakes its own thread.
        let timer = sleep_until(self.next_due().into());
        let mut timer = pin!(timer);
        let mut turn = Duration::ZERO;
        loop {
            if turn >= TURN_MAX {
                turn = Duration::ZERO;
                yield_now().await;
            }
            let began = Instant::now();
            if self.next_due() <= began {
                let _within = busy.enter(Stage::ControlTimer);
                self.on_due();
                turn += began.elapsed();
            }
            let due = self.next_due().into();
            if timer.is_elapsed() || timer.deadline() != due {
                timer.as_mut().reset(due);
            }
            // What the router knows, and the requests that it has, go before those that arrive.
            let event = tokio::select! {
                biased;
                () = &mut timer => continue,
                event = hosted_event(&mut self.hosting) => Event::Store(event),
                Some(note) = from.notes.recv() => Event::Note(note),
                ask = from.asks.recv() => match ask {
                    Some(ask) => Event::Ask(ask),
                    None => return,
                },
                Some(input) = self.inputs.recv() => Event::Input(input),
                Some(arriving) = from.arrivals.recv() => Event::Arriving(arriving),
            };
            let _within = busy.enter(event.stage());
            let began = Instant::now();
            match event {
                Event::Input(input) => self.handle(input),
                Event::Note(note) => self.on_note(note),
                Event::Store(event) => self.on_hosted(event),
                Event::Ask(ask) => self.on_ask(ask),
                Event::Arriving(arriving) => self.on_arriving(arriving),
            }
            turn += began.elapsed();
        }
    }

    /// Hands an event to the node and carries out what it asks for.
    pub(super) fn handle(&mut self, input: Input) {
        self.handle_one(input);
        while let Some(next) = self.follow_ups.pop_front() {
            self.handle_one(next);
        }
    }

    fn handle_one(&mut self, input: Input) {
        let has_vms = matches!(input, Input::Vms(_));
        if let (Input::Request(_), Some(hosting)) = (&input, &self.hosting) {
            hosting.note_request();
        }
        let mut out = std::mem::take(&mut self.out);
        self.node.handle(self.clock.now(), input, &mut out);
        if has_vms {
            // The node may already send to routers that it has just learnt of.
            self.set_peer_addresses();
        }
        for output in out.drain(..) {
            self.carry_out(output);
        }
        self.out = out;
    }

    fn next_due(&self) -> Instant {
        let next = self.next_lag_tick.min(self.next_report);
        match self.wakes.first() {
            Some(&wake) => next.min(self.clock.instant(wake)),
            None => next,
        }
    }

    fn on_due(&mut self) {
        let now = Instant::now();
        if now >= self.next_lag_tick {
            let late = now - self.next_lag_tick;
            self.metrics.lag(late);
            if self.is_late != (late >= LATE) {
                self.is_late = !self.is_late;
                log::warn!(target: "lag", "thread=control late_ms={} max_ms={}", late.as_millis(), LATE.as_millis());
            }
            self.next_lag_tick = now + LAG_TICK;
        }
        if now >= self.next_report {
            self.next_report = now + self.report_every;
            if let Some(reports) = &self.reports {
                reports.read(&self.watched());
            }
        }
        let time = self.clock.now();
        if self.wakes.first().is_some_and(|&wake| wake <= time) {
            self.wakes = self.wakes.split_off(&(time + Duration::from_micros(1)));
            self.handle(Input::Timer);
        }
    }

    fn on_note(&mut self, note: Note) {
        match note {
            Note::Cancelled(request) => {
                self.decisions.remove(&request);
                self.handle(Input::Cancelled(request));
            }
            Note::TimedOut(request) => {
                self.decisions.remove(&request);
                self.handle(Input::TimedOut(request));
            }
            Note::Load(attempt, load) => {
                if let Some(attempt) = self.attempts.get(&attempt) {
                    self.handle(Input::Load(attempt.target, load));
                }
            }
            Note::Attempt(attempt, event) => self.on_attempt(attempt, event),
            Note::Progress(all) => {
                for (attempt, tokens) in all {
                    self.on_attempt(attempt, AttemptEvent::Progress { tokens });
                }
            }
            Note::Stop => {
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

    /// Answers a traffic thread. Who asked may have left meanwhile; then nobody takes the answer.
    fn on_ask(&mut self, ask: Ask) {
        match ask {
            Ask::Identity { sum, reply } => drop(reply.send(self.identity(&sum))),
            Ask::Addresses {
                organisation,
                reply,
            } => drop(reply.send(self.addresses(organisation))),
            Ask::Near { data_centre, reply } => {
                drop(reply.send(self.addresses_near(data_centre)));
            }
            Ask::Status { reply } => {
                let status = serde_json::to_string(&self.node.status(self.clock.now()));
                drop(reply.send(status.unwrap_or_default()));
            }
            Ask::Catalogue { after, reply } => {
                let page = self.node.catalogue_page(after);
                drop(reply.send(page.and_then(|page| serde_json::to_string(&page).ok())));
            }
            Ask::Ready { reply } => drop(reply.send(self.node.status(self.clock.now()).ready)),
        }
    }

    /// Returns the addresses for callers near a data centre, and tells when they are others than before.
    fn addresses_near(&mut self, data_centre: Option<String>) -> Vec<String> {
        let addresses = self.node.addresses_near(data_centre.as_deref());
        let named = data_centre.unwrap_or_default();
        let is_known = self.named.get(&named) == Some(&addresses);
        if !is_known && (self.named.len() < NAMED_MAX || self.named.contains_key(&named)) {
            let list = addresses.join(",");
            log::info!(target: "addresses", "data_centre={named:?} count={} named={list}", addresses.len());
            self.named.insert(named, addresses.clone());
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

    /// Returns the addresses for an organisation, or for a caller that does not say who it is.
    fn addresses(&self, organisation: Option<OrganisationId>) -> Addresses {
        Addresses {
            addresses: self.node.addresses(organisation),
            valid: self.node.addresses_valid(),
        }
    }

    /// Refuses for want of an entry, unless the entry may only not have been read yet.
    pub(super) fn not_found(&self, reason: Reason) -> Refusal {
        match self.node.is_ready() {
            true => Refusal::not_run(reason, None),
            false => Refusal::not_run(Reason::NotCurrent, Some(NOT_CURRENT_RETRY)),
        }
    }

    /// Takes a request in, unless its caller has left or it has waited for too long.
    fn on_arriving(&mut self, arriving: Arriving) {
        let waited = self.backlog.leave(Instant::now());
        self.metrics.handed(waited);
        if let Some(read) = arriving.read() {
            self.metrics.read(read);
        }
        if arriving.decisions().is_closed() {
            return;
        }
        if waited >= LATE_MAX {
            self.metrics.edge(Edge::RefusedLate);
            let wait = spread_retry_after(arriving.id());
            let refusal = Refusal::not_run(Reason::Overloaded, Some(wait));
            self.metrics.count(Counter::Refused(refusal.reason));
            // Who asked may have left.
            drop(arriving.decisions().send(Decision::Refuse(refusal)));
            return;
        }
        match arriving {
            Arriving::Request(arrival, decisions) => self.on_request(arrival, decisions),
            Arriving::Call(call, decisions) => self.on_call(call, waited, decisions),
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

    /// Returns the targets whose reports are read.
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
