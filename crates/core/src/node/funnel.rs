//! Log lines that show how far the requests of each organisation came, and what held them back.
//!
//! The lines of single requests do not tell why an organisation received less than another: what
//! was refused at once has no basis of a decision, and what a router claimed or was allowed to send
//! belongs to no request. One line a second for each organisation with requests gives these sums;
//! see `docs/OPERATIONS.md`. Their number is bounded by the organisations active at this router.

use std::collections::BTreeMap;

use crate::balance::{Quota, Workload};
use crate::node::Node;
use crate::prelude::*;

/// The interval of the lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// The sums of one organisation in one pool since the last line.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Funnel {
    /// The requests that arrived, with the tokens of prompts and answers.
    pub(super) asked: Workload,
    /// Requests refused on arrival.
    pub(super) refused: u64,
    /// Requests refused after they waited.
    pub(super) expired: u64,
    /// The requests in this router's claims, summed over the reports.
    pub(super) claimed: u64,
    /// The requests that turns allowed, in thousandths; nothing is added for an unlimited turn.
    pub(super) allowed_millis: u64,
    /// Scans that ended because the organisation had used up its turn.
    pub(super) without_turn: u64,
    /// Scans that found no target with capacity for the organisation's first requests.
    pub(super) without_target: u64,
    /// The requests sent to targets.
    pub(super) sent: Workload,
    /// The requests that targets began to answer.
    pub(super) begun: Workload,
    /// Attempts that ended before the target began to answer.
    pub(super) broken: u64,
    /// The last turn.
    pub(super) quota: Option<Quota>,
}

/// The sums of all organisations with requests since the last lines.
#[derive(Debug, Default)]
pub(super) struct Funnels {
    rows: BTreeMap<(PoolId, OrganisationId), Funnel>,
    next: Option<Time>,
}

impl Funnels {
    /// Returns the sums of an organisation in a pool.
    pub(super) fn of(&mut self, pool: PoolId, organisation: OrganisationId) -> &mut Funnel {
        self.rows.entry((pool, organisation)).or_default()
    }
}

/// Returns the work of one request, with the tokens of its prompt and its answer. A call without
/// tokens counts as one.
pub(super) fn work_of(req: &Request) -> Workload {
    let tokens = u64::from(req.prompt_tokens) + u64::from(req.details.output_tokens);
    Workload {
        requests: 1,
        tokens: tokens.max(1),
    }
}

impl Node {
    /// Writes the lines if they are due.
    pub(super) fn log_funnels_if_due(&mut self) {
        let now = self.cx.now;
        let next = *self.funnels.next.get_or_insert(now + INTERVAL);
        if now < next {
            return;
        }
        self.funnels.next = Some(now + INTERVAL);
        let claims_age = self.balance.claims_age(now);
        for ((pool, organisation), row) in core::mem::take(&mut self.funnels.rows) {
            let subject = self.funnel_line(pool, organisation, &row, claims_age);
            self.cx.notice(NoticeKind::Funnel, subject);
        }
    }

    fn funnel_line(
        &self,
        pool: PoolId,
        organisation: OrganisationId,
        row: &Funnel,
        claims_age: Option<Duration>,
    ) -> String {
        let entry = self.catalogue.organisation(organisation);
        let name = entry.map_or("-", |entry| entry.name.as_str());
        let pool_name = self.catalogue.pool(pool).map_or("-", |pool| &pool.name);
        let recent = self.recent_time(organisation, entry.map_or(1, |entry| entry.weight));
        let waiting = self.queues.waiting_for(pool, organisation);
        let total_age = self.ledger.total_age(organisation);
        let or_none = |value: Option<u128>| value.map_or("none".to_owned(), |it| it.to_string());
        let standing = self.balance.standing(pool, organisation);
        let level = self.balance.level(pool);
        // Without a turn in this time there is no figure, which is not the same as zero.
        let turn = row.quota.map_or("turn=none".to_owned(), |quota| {
            format!(
                "unlimited={} capacity={} lower={} near={} lowest={}",
                quota.is_unlimited,
                quota.capacity,
                quota.lower,
                quota.near,
                or_none(quota.lowest.map(u128::from)),
            )
        });
        format!(
            "pool={pool_name} organisation={name} asked={} asked_tokens={} refused={} expired={} \
             waiting={waiting} fleet_asked={} fleet_sent={} level={} share={} claimed={} allowed={} {turn} without_turn={} without_target={} sent={} sent_tokens={} begun={} begun_tokens={} \
             broken={} recent={recent} recent_age_periods={} claims_age_ms={}",
            row.asked.requests,
            row.asked.tokens,
            row.refused,
            row.expired,
            standing.asked,
            standing.sent,
            or_none(level.map(u128::from)),
            or_none(standing.share.map(u128::from)),
            row.claimed,
            row.allowed_millis / 1_000,
            row.without_turn,
            row.without_target,
            row.sent.requests,
            row.sent.tokens,
            row.begun.requests,
            row.begun.tokens,
            row.broken,
            or_none(total_age.map(u128::from)),
            or_none(claims_age.map(|age| age.as_millis())),
        )
    }
}
