//! Claims of idempotency keys on their way through the node.

use crate::node::Node;
use crate::once::message::ClaimBatch;
use crate::once::{Admission, LogStatus, Settled};
use crate::prelude::*;

impl Node {
    /// Decides whether the key of a request, if it has one, lets it run.
    pub(super) fn admit_key(
        &mut self,
        req: &Request,
        deadline: Time,
    ) -> Result<Admission, Refusal> {
        let Repeat::Once(uuid) = req.repeat else {
            return Ok(Admission::Run);
        };
        let sight = self.sight();
        self.once.admit(&mut self.cx, sight, req, uuid, deadline)
    }

    pub(super) fn on_claims(&mut self, batch: &ClaimBatch) {
        let settled = self.once.on_record(&mut self.cx, batch);
        self.settle(settled);
    }

    pub(super) fn on_claims_appended(&mut self, id: AppendId, had_no_effect: bool) {
        let sight = self.sight();
        let settled = self.once.on_append(self.cx.now, sight, id, had_no_effect);
        self.settle(settled);
    }

    /// Refuses the requests whose deadline passed before their claims were decided.
    pub(super) fn give_up_unclaimed(&mut self) {
        let (now, sight) = (self.cx.now, self.sight());
        for request in self.once.expired(now) {
            if let Some(refusal) = self.once.refusal(now, sight, request) {
                self.refuse(request, refusal);
            }
        }
    }

    fn settle(&mut self, settled: Vec<Settled>) {
        for one in settled {
            match one {
                Settled::Won(request) => self.enqueue(request),
                Settled::Lost(request, refusal) => self.refuse(request, refusal),
            }
        }
    }

    pub(super) const fn sight(&self) -> LogStatus {
        LogStatus {
            down: self.reader.down,
            current: self.reader.current,
        }
    }
}
