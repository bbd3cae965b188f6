//! What operators see of a node.

use serde::Serialize;

use crate::address;
use crate::catalogue::TargetView;
use crate::node::Node;
use crate::prelude::*;
use crate::target::Condition;
use crate::version::MoveStatus;

/// A snapshot of a node's state, for operators.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// This router.
    pub router: RouterId,
    /// This run of it.
    pub incarnation: Incarnation,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The next offset of the log that is not applied.
    pub applied: Offset,
    /// Whether the log cannot be read.
    pub log_down: bool,
    /// The routers that are alive.
    pub live: Vec<RouterId>,
    /// Requests that wait or run.
    pub requests: usize,
    /// The targets, with what the fleet may have at each of them.
    pub targets: Vec<TargetStatus>,
    /// The version moves.
    pub moves: Vec<MoveStatus>,
}

/// What operators see of a target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetStatus {
    /// The name.
    pub name: String,
    /// Requests that the whole fleet may have at it, as far as this router knows.
    pub limit: u32,
    /// Its slots when warm.
    pub slots: u32,
    /// Whether it may be given work.
    pub condition: Condition,
    /// The router that keeps the limit.
    pub owner: Option<RouterId>,
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
        }
    }

    /// Returns the targets whose reports and cache events the embedding should ask for. Polling is
    /// thus bounded by the targets that a router owns or uses, not by all there are.
    pub fn watched_targets(&self) -> impl Iterator<Item = TargetId> {
        self.targets.watched(self.cx.now)
    }

    fn target_status(&self, now: Time) -> Vec<TargetStatus> {
        let status = |view: TargetView<'_>| TargetStatus {
            name: view.entry.name.clone(),
            limit: self.targets.limit(view.id),
            slots: view.entry.slots,
            condition: self.targets.condition(now, &view),
            owner: self.targets.owner(view.id),
        };
        self.catalogue.targets().map(status).collect()
    }

    /// Returns the service and the virtual time of an organisation in the whole fleet, as far as this
    /// router knows.
    pub fn service(&self, organisation: OrganisationId) -> (Cost, u64) {
        let entry = self.catalogue.organisation(organisation);
        let weight = entry.map_or(1, |entry| entry.weight);
        let time = self.ledger.virtual_time(organisation, weight);
        (self.ledger.total(organisation), time)
    }

    /// Returns the addresses that a caller of `organisation` should use, the best first.
    /// Callers that do not say who they are are spread by the router that they ask.
    pub fn addresses(&self, organisation: Option<OrganisationId>) -> Vec<String> {
        let organisation = organisation.unwrap_or(OrganisationId(self.cx.me.0));
        address::answer(&self.members, self.cx.now, organisation)
    }

    /// Returns for how long a caller may keep the answer about addresses.
    pub const fn addresses_valid(&self) -> Duration {
        self.cfg.address.valid
    }

    /// Issues `n` idempotency keys that an organisation can use at this router, also while the log is
    /// out, for as long as this run of it lasts.
    pub fn issue_keys(&mut self, n: usize, organisation: OrganisationId) -> Vec<uuid::Uuid> {
        let now = self.cx.now;
        (0..n).map(|_| self.once.issue(now, organisation)).collect()
    }

    /// Returns where to reach the other routers.
    pub fn peer_addresses(&self) -> impl Iterator<Item = (RouterId, &str)> {
        self.members
            .peers()
            .map(|(id, peer)| (id, peer.address.as_str()))
    }
}
