//! How moves stand, as operators are told where a store keeps the catalogue.

use crate::output::{MovePhase, MoveProgress};
use crate::prelude::*;
use crate::version::evidence::{Load, Route};
use crate::version::message::{Fault, MoveStep, TakenBack};
use crate::version::state::Moves;

/// The route of a fault that is known only from what operators were told.
const RECORDED_ROUTE: Route = Route {
    class: Class::Interactive,
    objective_ms: 0,
    load: Load::Low,
};

impl Moves {
    /// Returns how a move stands if operators have not been told for so long, and notes that they are.
    pub fn news_for_operators(
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
        if active.operators_know == Some(phase) {
            active.untold = None;
            return None;
        }
        let (_, since) = *active.untold.insert(match active.untold {
            Some(untold) if untold.0 == phase => untold,
            _ => (phase, now),
        });
        if now.since(since) < wait {
            return None;
        }
        active.untold = None;
        active.operators_know = Some(phase);
        Some(MoveProgress {
            pool: active.name.clone(),
            version: active.entry.to.clone(),
            phase,
        })
    }

    /// Takes over how a move stood by the word that operators were given before this router started.
    pub fn on_stand(&mut self, cx: &mut Context, stand: &MoveProgress) {
        let found = self
            .moves
            .iter()
            .find(|(_, active)| active.name == stand.pool && active.entry.to == stand.version);
        let Some((&pool, active)) = found else {
            return;
        };
        let revision = active.revision;
        let mut fact = self.fact(pool, revision).cloned().unwrap_or_default();
        match stand.phase {
            MovePhase::Running => return,
            MovePhase::Finished => fact.finished = true,
            MovePhase::TakenBack => {
                fact.taken_back = Some(TakenBack {
                    at: cx.now,
                    by: cx.me,
                    fault: Fault::Fails,
                    route: RECORDED_ROUTE,
                });
            }
        }
        if let Some(active) = self.moves.get_mut(&pool) {
            active.operators_know = Some(stand.phase);
        }
        let step = MoveStep {
            pool,
            revision,
            fact,
        };
        self.merge(cx, &step);
    }
}
