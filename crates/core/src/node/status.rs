//! The status of a node for operators.

use serde::Serialize;

use crate::address;
use crate::catalogue::TargetView;
use crate::limit::Rate;
use crate::node::Node;
use crate::prelude::*;
use crate::target::Condition;
use crate::version::MoveStatus;

/// A snapshot of a node's state, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// The id of this router.
    pub router: RouterId,
    /// The run of this router.
    pub incarnation: Incarnation,
    /// Whether the router takes new requests.
    pub ready: bool,
    /// Whether the router is stopping.
    pub stopping: bool,
    /// The first offset of the log that is not yet applied.
    pub applied: Offset,
    /// Whether the log cannot be read.
    pub log_down: bool,
    /// The routers that this one considers live.
    pub live: Vec<RouterId>,
    /// The number of requests that wait or run.
    pub requests: usize,
    /// The targets, each with the number of requests that the fleet may have there.
    pub targets: Vec<TargetStatus>,
    /// The version moves.
    pub moves: Vec<MoveStatus>,
    /// The parts of prompts that are barred because they crashed targets.
    pub barred_parts: Vec<BarredPartStatus>,
}

/// The status of a barred part of prompts for operators.
#[derive(Debug, Clone, Serialize)]
pub struct BarredPartStatus {
    /// The name of the pool whose targets crashed.
    pub pool: String,
    /// The hash of the part's content, in hexadecimal.
    pub part: String,
    /// How long ago the run of crashes began for which the part is barred, in milliseconds.
    pub since_ms: u128,
    /// How long no request with the part is sent, in milliseconds. At zero a trial is due.
    pub left_ms: u128,
    /// How many trials have failed.
    pub failed_trials: u8,
    /// The names of the targets that crashed, as far as they are remembered and listed.
    pub crashed: Vec<String>,
}

/// The status of a target for operators.
#[derive(Debug, Clone, Serialize)]
pub struct TargetStatus {
    /// The name of the target.
    pub name: String,
    /// The number of requests that the entire fleet may have at the target, as far as this router
    /// knows.
    pub limit: u32,
    /// The target's slots when it is warm.
    pub slots: u32,
    /// Whether the target may be sent requests.
    pub condition: Condition,
    /// The router that enforces the limit.
    pub owner: Option<RouterId>,
    /// The requests per second that the target takes from all routers, in thousandths, if it states
    /// a limit.
    pub stated_limit_millis: Option<u64>,
    /// This router's part of that limit.
    pub part_millis: Option<u64>,
    /// The requests per second at which all routers use the target, in thousandths, while it is paced
    /// after a start or a failure.
    pub pace_millis: Option<u64>,
    /// The time that work takes at the target, in hundredths of the usual time, as far as this router
    /// knows from what targets state and from their answers.
    pub work: u32,
}

impl Node {
    /// Returns a snapshot for operators.
    pub fn status(&self, now: Time) -> Status {
        Status {
            router: self.cx.me,
            incarnation: self.cx.incarnation,
            ready: self.is_ready() && self.stopping.is_none(),
            stopping: self.stopping.is_some(),
            applied: self.reader.applied,
            log_down: self.reader.down,
            live: self.members.live(now).collect(),
            requests: self.requests.len(),
            targets: self.target_status(now),
            moves: self.moves.status(),
            barred_parts: self.barred_part_status(now),
        }
    }

    fn barred_part_status(&self, now: Time) -> Vec<BarredPartStatus> {
        let barred = self.poison.barred();
        let status = barred.map(|(key, bar, crashes)| BarredPartStatus {
            pool: self.pool_name(key.pool),
            part: format!("{:x}", key.content.0),
            since_ms: now.since(bar.since).as_millis(),
            left_ms: bar.until.since(now).as_millis(),
            failed_trials: bar.failed_trials,
            crashed: self.target_names(crashes.iter().map(|crash| crash.target)),
        });
        status.collect()
    }

    /// Returns the targets whose reports and cache events the embedding should request. Polling is
    /// thus bounded by the targets that a router owns or uses, not by the number of all targets.
    pub fn watched_targets(&self) -> impl Iterator<Item = TargetId> {
        self.targets.watched(self.cx.now)
    }

    fn target_status(&self, now: Time) -> Vec<TargetStatus> {
        let stated = |target| self.limits.limit(target);
        let status = |view: TargetView<'_>| TargetStatus {
            name: view.entry.name.clone(),
            limit: self.targets.limit(view.id),
            slots: view.entry.slots,
            condition: self.targets.condition(now, &view),
            owner: self.targets.owner(view.id),
            stated_limit_millis: stated(view.id).map(|(limit, _)| limit.as_millis()),
            part_millis: stated(view.id).map(|(_, part)| part.as_millis()),
            pace_millis: self.pace.pace(view.id).map(Rate::as_millis),
            work: self.speeds.work(now, view.id),
        };
        self.catalogue.targets().map(status).collect()
    }

    /// Returns the service and the virtual time of an organisation in the entire fleet, as far as
    /// this router knows.
    pub fn service(&self, organisation: OrganisationId) -> (Cost, u64) {
        let entry = self.catalogue.organisation(organisation);
        let weight = entry.map_or(1, |entry| entry.weight);
        let time = self.ledger.virtual_time(organisation, weight);
        (self.ledger.total(organisation), time)
    }

    /// Returns the addresses that a caller of `organisation` should use, the best first. For
    /// anonymous callers the order depends on the router that is asked, which spreads them.
    pub fn addresses(&self, organisation: Option<OrganisationId>) -> Vec<String> {
        let organisation = organisation.unwrap_or(OrganisationId(self.cx.me.0));
        address::addresses_for(&self.members, self.cx.now, organisation)
    }

    /// Returns how long a caller may use an answer about addresses.
    pub const fn addresses_valid(&self) -> Duration {
        self.cfg.address.valid
    }

    /// Issues `n` idempotency keys that an organisation can use at this router, even during an
    /// outage of the log, until this run of the router ends.
    pub fn issue_keys(&mut self, n: usize, organisation: OrganisationId) -> Vec<uuid::Uuid> {
        let now = self.cx.now;
        (0..n).map(|_| self.once.issue(now, organisation)).collect()
    }

    /// Returns the ids and addresses of the other routers.
    pub fn peer_addresses(&self) -> impl Iterator<Item = (RouterId, &str)> {
        self.members
            .peers()
            .map(|(id, peer)| (id, peer.address.as_str()))
    }
}
