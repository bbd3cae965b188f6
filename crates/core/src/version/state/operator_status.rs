//! The status of moves for operators, used if the catalogue is kept in a store.

use crate::output::{MovePhase, MoveProgress};
use crate::prelude::*;
use crate::version::evidence::{Load, Route};
use crate::version::message::{Fault, MoveStep, Rollback};
use crate::version::state::Moves;

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
            phase,
        })
    }

    /// Adopts the status of a move that this router or another one recorded for operators.
    pub fn on_recorded_status(&mut self, cx: &mut Context, status: &MoveProgress) {
        let found = self
            .moves
            .iter()
            .find(|(_, active)| active.name == status.pool && active.entry.to == status.version);
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
        let step = MoveStep {
            pool,
            revision,
            fact,
        };
        self.merge(cx, &step);
    }
}
