//! The status of moves for operators, used if the catalogue is kept in a store.

use crate::output::{MovePhase, MoveProgress};
use crate::prelude::*;
use crate::version::evidence::{Load, Route};
use crate::version::message::{Fault, MoveStep, Rollback};
use crate::version::state::{Moves, STATUS_READ_RETRY};

/// The route of a rollback that is known only from the status recorded for operators, which
/// contains no route.
const RECORDED_ROUTE: Route = Route {
    class: Class::Interactive,
    objective_ms: 0,
    load: Load::Low,
};

impl Moves {
    /// Returns the status of a move if its phase has not been reported to operators for at least
    /// `wait`, and marks the phase as reported.
    pub fn status_for_operators(
        &mut self,
        now: Time,
        pool: PoolId,
        wait: Duration,
    ) -> Option<MoveProgress> {
        let active = self.moves.get(&pool)?;
        if !active.is_status_read {
            return None;
        }
        let phase = match self.fact(pool, active.revision) {
            Some(fact) if fact.taken_back.is_some() => MovePhase::TakenBack,
            Some(fact) if fact.finished => MovePhase::Finished,
            _ => MovePhase::Running,
        };
        let active = self.moves.get_mut(&pool)?;
        if active.reported_phase == Some(phase) {
            active.pending_phase = None;
            return None;
        }
        let (_, since) = *active.pending_phase.insert(match active.pending_phase {
            Some(pending) if pending.0 == phase => pending,
            _ => (phase, now),
        });
        if now.since(since) < wait {
            return None;
        }
        active.pending_phase = None;
        active.reported_phase = Some(phase);
        Some(MoveProgress {
            pool: active.name.clone(),
            version: active.entry.to.clone(),
            revision: Some(active.revision),
            phase,
        })
    }

    /// Gives the move of a pool the revision that its order has after a restore of the store. What is
    /// known of the move stays, and its status is to be recorded again.
    pub fn renumber(&mut self, pool: PoolId, former: Offset, revision: Offset) {
        if revision <= former {
            return;
        }
        if let Some(known) = self.facts.remove(&(pool, former)) {
            let renumbered = self.facts.entry((pool, revision)).or_default();
            renumbered.fact.merge(&known.fact);
            renumbered.has_update = true;
        }
        if let Some(active) = self.moves.get_mut(&pool)
            && active.revision == former
        {
            active.revision = revision;
            active.reported_phase = None;
            active.pending_phase = None;
        }
    }

    /// Returns the pools of which this router cannot tell whether their move was finished or rolled
    /// back before it learned of the move. Returns nothing before the next retry is due.
    pub fn pools_without_status(&mut self, now: Time) -> Vec<PoolId> {
        if now < self.next_status_read {
            return Vec::new();
        }
        let unknown = self.moves.iter().filter(|(_, it)| !it.is_status_read);
        let pools: Vec<PoolId> = unknown.map(|(&pool, _)| pool).collect();
        if !pools.is_empty() {
            self.next_status_read = now + STATUS_READ_RETRY;
        }
        pools
    }

    /// Adopts the recorded statuses of all moves, which were read at `asked` or later.
    pub fn on_recorded_statuses(
        &mut self,
        cx: &mut Context,
        asked: Time,
        statuses: &[MoveProgress],
    ) {
        for status in statuses {
            self.adopt(cx, status);
        }
        for active in self.moves.values_mut() {
            // A status that was written after the read belongs to a later order.
            active.is_status_read |= asked >= active.known_since;
        }
    }

    /// Adopts the status of a move that this router or another one recorded for operators. A status
    /// of an earlier move of the pool to the same version has another revision. One of an earlier era
    /// was recorded before the store was restored, when the order had another offset.
    fn adopt(&mut self, cx: &mut Context, status: &MoveProgress) {
        let found = self.moves.iter().find(|(_, active)| {
            active.name == status.pool
                && active.entry.to == status.version
                && status
                    .revision
                    .is_none_or(|it| it == active.revision || it.era() < active.revision.era())
        });
        let Some((&pool, active)) = found else {
            return;
        };
        let revision = active.revision;
        let mut fact = self.fact(pool, revision).cloned().unwrap_or_default();
        match status.phase {
            MovePhase::Running => return,
            MovePhase::Finished => fact.finished = true,
            MovePhase::TakenBack => {
                fact.taken_back = Some(Rollback {
                    at: cx.now,
                    by: cx.me,
                    fault: Fault::Fails,
                    route: RECORDED_ROUTE,
                });
            }
        }
        if let Some(active) = self.moves.get_mut(&pool) {
            active.reported_phase = Some(status.phase);
        }
        let (name, version) = (&status.pool, &status.version);
        let subject = format!("{name} to {version}: recorded as {:?}", status.phase);
        cx.notice(NoticeKind::Version, subject);
        let step = MoveStep {
            pool,
            revision,
            fact,
        };
        self.merge(cx, &step);
    }
}
