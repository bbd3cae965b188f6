//! The planned stop.
//!
//! # Invariant
//!
//! A planned stop interrupts no request until the deadline of the stop. From the signal on, the
//! router is in no new answer about addresses. It goes on accepting requests until every earlier
//! answer has expired, finishes all accepted requests, and only then ends. Requests that are
//! unfinished at the deadline get their final answer.

use crate::node::Node;
use crate::node::request::Stage;
use crate::output::Output;
use crate::prelude::*;

/// The times of a requested stop.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stopping {
    /// The time until which callers may still use an address that they were given before.
    accept_until: Time,
    /// The latest time at which the process ends.
    deadline: Time,
}

impl Node {
    /// Begins the stop. A second signal changes nothing.
    pub(super) fn on_stop(&mut self, deadline: Time) {
        if self.stopping.is_some() {
            return;
        }
        let accept_until = (self.cx.now + self.cfg.address.valid).min(deadline);
        self.stopping = Some(Stopping {
            accept_until,
            deadline,
        });
        self.cx.notice(NoticeKind::Stop, "stopping");
        self.update_readiness();
        self.send_heartbeats();
    }

    /// Says whether the router still accepts requests: it is not stopping, or addresses that it
    /// gave out are still valid.
    pub(super) fn accepts(&self) -> bool {
        self.stopping
            .is_none_or(|stopping| self.cx.now < stopping.accept_until)
    }

    pub(super) fn finish_stop(&mut self) {
        let Some(stopping) = self.stopping.filter(|_| !self.stopped) else {
            return;
        };
        if self.cx.now >= stopping.deadline {
            self.refuse_unfinished();
        }
        if self.requests.is_empty() && !self.accepts() {
            self.stopped = true;
            self.cx.out.push(Output::Stopped);
        }
    }

    /// Gives the requests that are unfinished at the deadline their final answer.
    fn refuse_unfinished(&mut self) {
        let left: Vec<(RequestId, Stage)> = self
            .requests
            .iter()
            .map(|(&id, active)| (id, active.stage))
            .collect();
        for (request, stage) in left {
            match stage {
                Stage::Claiming | Stage::Waiting => self.abandon(request, Reason::Stopping),
                Stage::Running(attempt) => {
                    self.end_attempt(attempt);
                    self.cx.out.push(Output::Abort(attempt));
                    let refusal = Refusal::may_have_run(Reason::Stopping, None);
                    self.refuse(request, refusal);
                }
            }
        }
    }
}
