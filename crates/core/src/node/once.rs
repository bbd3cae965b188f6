//! Claims of idempotency keys: the calls between the node and [`Once`](crate::once::Once).

use crate::node::Node;
use crate::once::message::ClaimBatch;
use crate::once::{Admission, LogStatus, Settled};
use crate::prelude::*;

impl Node {
    /// Decides whether the idempotency key of a request, if any, allows the request to run.
    pub(super) fn admit_key(
        &mut self,
        req: &Request,
        deadline: Time,
    ) -> Result<Admission, Refusal> {
        let Repeat::Once(uuid) = req.repeat else {
            return Ok(Admission::Run);
        };
        let log_visibility = self.log_visibility();
        self.once
            .admit(&mut self.cx, log_visibility, req, uuid, deadline)
    }

    pub(super) fn on_claims(&mut self, batch: &ClaimBatch) {
        let settled = self.once.on_record(&mut self.cx, batch);
        self.settle(settled);
    }

    pub(super) fn on_claims_appended(&mut self, id: AppendId, had_no_effect: bool) {
        let log_visibility = self.log_visibility();
        let settled = self
            .once
            .on_append(self.cx.now, log_visibility, id, had_no_effect);
        self.settle(settled);
    }

    /// Refuses the requests whose deadline passed before their claims were decided.
    pub(super) fn refuse_unclaimed(&mut self) {
        let (now, log_visibility) = (self.cx.now, self.log_visibility());
        for request in self.once.expired(now) {
            if let Some(refusal) = self.once.refusal(now, log_visibility, request) {
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

    pub(super) const fn log_visibility(&self) -> LogStatus {
        LogStatus {
            down: self.reader.down,
            current: self.reader.current_at,
        }
    }
}
