//! What targets state in their answers: that they are leaving, or that they want no requests for a
//! while.

use crate::input::TargetNotice;
use crate::node::Node;
use crate::prelude::*;
use crate::target::Standing;

/// The time that a request must have left when a target takes requests again: the interval at which
/// the queues are scanned. With less, it would only wait in vain.
const MARGIN: Duration = Duration::from_millis(10);

impl Node {
    /// Records what a target stated in an answer. If no target of its pool takes requests in time,
    /// the requests that wait for the pool are refused.
    pub(super) fn on_target_notice(&mut self, target: TargetId, notice: TargetNotice) {
        let now = self.cx.now;
        if !self.targets.on_notice(now, target, notice) {
            return;
        }
        match self.targets.standing(now, target) {
            Standing::Open => {}
            Standing::Paused(until) => {
                self.cx.count(Counter::TargetPaused);
                self.cx.wake(until);
            }
            Standing::Leaving => {
                self.cx.count(Counter::TargetStatedLeaving);
                self.balance.report_leaving(target);
            }
        }
        let view = self.catalogue.target(target);
        let pool = view.and_then(|view| self.catalogue.pool_by_name(&view.entry.pool));
        if let Some((pool, _)) = pool {
            self.refuse_hopeless(pool);
        }
    }

    /// Returns whether a target takes requests of this router, by what it stated in its answers.
    pub fn standing(&self, target: TargetId) -> Standing {
        self.targets.standing(self.cx.now, target)
    }

    /// Returns how long it takes until a target of a pool takes requests again. `None` if one takes
    /// them now, or if no target serves the pool.
    fn time_to_reopening(&self, pool: PoolId) -> Option<Duration> {
        let now = self.cx.now;
        let serving = self.catalogue.targets_of(pool);
        let serving = serving.filter(|view| self.targets.serves(view));
        let reopening = serving.map(|view| match self.targets.standing(now, view.id) {
            Standing::Paused(until) => until.since(now),
            Standing::Open | Standing::Leaving => Duration::ZERO,
        });
        reopening.min().filter(|time| !time.is_zero())
    }

    /// Returns how long it takes until a target of a pool takes requests again, if a request that may
    /// wait until `wait_until` waits for that in vain.
    pub(super) fn hopeless_wait(&self, pool: PoolId, wait_until: Time) -> Option<Duration> {
        let time = self.time_to_reopening(pool)?;
        (wait_until < self.cx.now + time + MARGIN).then_some(time)
    }

    /// Refuses the requests that wait for a pool and whose wait ends before a target of the pool
    /// takes requests again.
    fn refuse_hopeless(&mut self, pool: PoolId) {
        let Some(time) = self.time_to_reopening(pool) else {
            return;
        };
        let now = self.cx.now;
        let organisations: Vec<OrganisationId> =
            self.queues.backlogged(pool).map(|(id, _)| id).collect();
        for organisation in organisations {
            let waiting = self.queues.first(now, pool, organisation, usize::MAX);
            for (_, waiting) in waiting {
                if waiting.deadline < now + time + MARGIN {
                    self.abandon_for(waiting.request, Reason::NoTarget, Some(time));
                }
            }
        }
    }
}
