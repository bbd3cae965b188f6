//! The state of a node and its one entry point.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::attempt::Budgets;
use crate::balance::{Balance, ServiceWindow};
use crate::catalogue::Catalogue;
use crate::cold_start::ColdTargets;
use crate::duty::Duties;
use crate::feed::Feed;
use crate::input::{AttemptEvent, Input, StoreChange};
use crate::lease::Leases;
use crate::limit::{Demand, Limits};
use crate::membership::Members;
use crate::node::attempt::Attempt;
use crate::node::duty::DutyState;
use crate::node::freshness::CatchUp;
use crate::node::funnel::Funnels;
use crate::node::local_dispatch::TargetList;
use crate::node::log::Reader;
use crate::node::request::Active;
use crate::node::stop::Stopping;
use crate::node::usage::Reporting;
use crate::node::{CatalogueSource, Config};
use crate::once::Once;
use crate::output::Output;
use crate::pace::{Pace, Usual};
use crate::poison::Poison;
use crate::prelude::*;
use crate::quarantine::Quarantine;
use crate::queue::{Queues, Running};
use crate::relay::Relays;
use crate::route::{Prefixes, Splits};
use crate::share::{Ledger, Recent};
use crate::slots::{Policy, Slots};
use crate::speed::Speeds;
use crate::target::Targets;
use crate::version::Moves;

/// A router without its sockets: it makes every decision and does no I/O.
///
/// The same settings, seed and events give the same effects, so any number of nodes can run in one
/// process, in virtual time, over any transport.
///
/// # Examples
///
/// ```
/// use bulrushtrestle_core::input::Input;
/// use bulrushtrestle_core::key::{Incarnation, Offset, RouterId};
/// use bulrushtrestle_core::node::{Config, Node};
/// use bulrushtrestle_core::output::Output;
/// use bulrushtrestle_core::time::Time;
///
/// let cfg = Config::new(RouterId(1), Incarnation(1));
/// let mut node = Node::new(cfg, Time::from_millis(1), 42);
/// let mut out = Vec::new();
/// node.handle(Time::from_millis(1), Input::Timer, &mut out);
/// // A node that starts reads the log from its beginning.
/// assert!(out.contains(&Output::Read { from: Offset(0) }));
/// ```
#[derive(Debug)]
pub struct Node {
    pub(super) cx: Context,
    pub(super) cfg: Config,
    pub(super) catalogue: Catalogue,
    pub(super) reader: Reader,
    pub(super) catch_up: CatchUp,
    pub(super) members: Members,
    pub(super) leases: Leases,
    pub(super) ledger: Ledger,
    pub(super) recent: Recent,
    pub(super) queues: Queues,
    pub(super) slots: Slots,
    pub(super) targets: Targets,
    pub(super) prefixes: Prefixes,
    pub(super) running: Running,
    pub(super) moves: Moves,
    pub(super) requests: BTreeMap<RequestId, Active>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    pub(super) budgets: Budgets,
    pub(super) balance: Balance,
    pub(super) cold_targets: ColdTargets,
    pub(super) limits: Limits,
    /// How fast targets read and answer.
    pub(super) speeds: Speeds,
    pub(super) demand: Demand,
    pub(super) pace: Pace,
    /// The usual time to the start of an answer, against which paced targets are compared.
    pub(super) usual_starts: Usual,
    pub(super) splits: Splits,
    /// Targets whose records lapsed while the store was unreachable, by name: the time until which
    /// they are still used, and the change that removes them.
    pub(super) lapsed: BTreeMap<String, (Time, StoreChange)>,
    /// The time as of which the targets' records were last read; `None` if no store keeps them.
    pub(super) targets_read: Option<Time>,
    /// Whether the last read of the targets' records failed because the store did not answer.
    pub(super) target_store_down: bool,
    /// When data last arrived from each target, on any connection.
    pub(super) last_received: BTreeMap<TargetId, Time>,
    pub(super) once: Once,
    pub(super) quarantine: Quarantine,
    pub(super) poison: Poison,
    pub(super) next_attempt: u64,
    pub(super) sequences: BTreeMap<RouterId, u64>,
    pub(super) next_tick: Time,
    pub(super) next_frame: Time,
    pub(super) next_load_report: Time,
    /// The cached target list of each pool, used where routers choose targets by themselves.
    pub(super) target_lists: BTreeMap<PoolId, TargetList>,
    /// The earliest time of the next scan of a pool's queues, unless the pool changes at this
    /// router before.
    pub(super) next_scans: BTreeMap<PoolId, Time>,
    /// How many requests of each pool were dispatched since the last load report.
    pub(super) dispatched_since_report: BTreeMap<PoolId, u32>,
    /// What organisations asked for and were sent recently at this router.
    pub(super) service: ServiceWindow,
    /// How far the requests of each organisation came since the last log lines.
    pub(super) funnels: Funnels,
    /// The routers that received this router's last load report.
    pub(super) load_readers: BTreeSet<RouterId>,
    /// The routers that received the last sums of this relay.
    pub(super) sums_readers: BTreeSet<RouterId>,
    pub(super) relays: Relays,
    pub(super) feed: Feed,
    /// The duties, if the deployment has any.
    pub(super) duty: Option<DutyState>,
    /// The counts for the duties; `None` in a deployment without them.
    pub(super) reporting: Option<Reporting>,
    pub(super) flush_all: bool,
    pub(super) started: Time,
    pub(super) was_ready: bool,
    pub(super) stopping: Option<Stopping>,
    pub(super) stopped: bool,
}

impl Node {
    /// Returns the node of a router that has just started, with an empty catalogue and no known
    /// peers.
    pub fn new(cfg: Config, now: Time, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let mut cx = Context::new(cfg.me, cfg.incarnation, rng);
        cx.now = now;
        let once = Once::new(&mut cx, cfg.once.clone());
        Self {
            cx,
            catalogue: Catalogue::new(),
            reader: Reader::new(now),
            catch_up: CatchUp::default(),
            members: Members::new(
                now,
                cfg.me,
                cfg.incarnation,
                &cfg.caller_address,
                cfg.membership.clone(),
            ),
            leases: Leases::new(cfg.lease.clone()),
            ledger: Ledger::new(cfg.me, cfg.incarnation, cfg.share.clone()),
            recent: Recent::new(cfg.balance.fairness_window),
            queues: Queues::new(cfg.queue.clone()),
            slots: Slots::new(
                cfg.incarnation,
                cfg.slots.clone(),
                cfg.membership.sparse.timeout + cfg.slots.term,
            ),
            running: Running::default(),
            targets: Targets::new(cfg.me, cfg.target.clone(), now),
            prefixes: Prefixes::new(),
            moves: match cfg.log.source {
                CatalogueSource::Log => Moves::new(cfg.me, cfg.version.clone()),
                CatalogueSource::Store => Moves::with_recorded_status(cfg.me, cfg.version.clone()),
            },
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            budgets: Budgets::new(cfg.attempt.clone()),
            balance: Balance::new(cfg.balance.clone()),
            cold_targets: ColdTargets::default(),
            limits: Limits::default(),
            speeds: Speeds::default(),
            demand: Demand::default(),
            pace: Pace::default(),
            usual_starts: Usual::default(),
            splits: Splits::default(),
            lapsed: BTreeMap::new(),
            targets_read: None,
            target_store_down: false,
            last_received: BTreeMap::new(),
            once,
            quarantine: Quarantine::new(cfg.me, cfg.quarantine.clone()),
            poison: Poison::new(cfg.me, cfg.poison),
            next_attempt: 0,
            sequences: BTreeMap::new(),
            next_tick: now,
            next_frame: now,
            next_load_report: now,
            target_lists: BTreeMap::new(),
            next_scans: BTreeMap::new(),
            dispatched_since_report: BTreeMap::new(),
            service: ServiceWindow::default(),
            funnels: Funnels::default(),
            load_readers: BTreeSet::new(),
            sums_readers: BTreeSet::new(),
            relays: Relays::default(),
            feed: Feed::new(cfg.feed.clone()),
            duty: cfg
                .duty
                .clone()
                .map(|duty| DutyState::new(Duties::new(duty))),
            reporting: cfg.usage.clone().map(|cfg| Reporting::new(now, cfg)),
            flush_all: false,
            started: now,
            was_ready: false,
            stopping: None,
            stopped: false,
            cfg,
        }
    }

    /// Handles one event and appends the resulting effects to `out`.
    ///
    /// `now` must not run backwards; an earlier time counts as the latest one given so far. The
    /// effects are to be carried out in order.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.cx.now = self.cx.now.max(now);
        // The progress of a stream frees nothing that a request could wait for.
        let frees_nothing = matches!(input, Input::Attempt(_, AttemptEvent::Progress { .. }));
        match input {
            Input::Request(req) => self.on_request(req),
            Input::Cancelled(request) => self.drop_request(request, Reason::CallerLeft),
            Input::TimedOut(request) => self.drop_request(request, Reason::DeadlinePassed),
            Input::Attempt(attempt, event) => self.on_attempt(attempt, event),
            Input::Peer { from, bytes } => self.on_peer(from, &bytes),
            Input::Log(event) => self.on_log(event),
            Input::Vms(vms) => {
                self.members.on_vms(self.cx.now, &vms);
                self.update_retry_burst();
                self.targets.on_vms(&vms);
            }
            Input::Report(target, report) => {
                self.targets.on_report(&mut self.cx, target, report);
                self.on_report(target, report);
                self.on_report_after_break(target, report);
            }
            Input::Store(event) => self.on_store(event),
            Input::Feed(event) => self.on_feed(event),
            Input::StoreEra(era) => self.on_store_era(era),
            Input::Head(attempt, head) => self.on_answer_head(attempt, head),
            Input::Notice(target, notice) => self.on_target_notice(target, notice),
            Input::Cache(target, events) => self.prefixes.on_events(target, &events),
            Input::Ordered(..) => {}
            Input::Timer => {}
            Input::Duty(event) => self.on_duty(event),
            Input::DutyAnswer(call, result) => self.on_duty_answer(call, result),
            Input::WallClock(time) => self.on_wall_clock(time),
            Input::LiftBar(content) => self.lift_bar(content),
            Input::Stop { deadline } => self.on_stop(deadline),
        }
        self.on_time();
        if !(frees_nothing && self.slots.cfg.policy == Policy::Local) {
            self.dispatch_waiting();
        }
        self.report_load_if_due();
        self.ask_for_records_if_due();
        self.flush();
        out.append(&mut self.cx.out);
    }

    /// Returns the catalogue as far as this router has applied the log.
    pub const fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }
}
