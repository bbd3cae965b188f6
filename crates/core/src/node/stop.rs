//! The planned stop.
//!
//! # Invariant
//!
//! A planned stop cuts off no request. From the signal on, the router is in no new answer about addresses.
//! It goes on accepting until every earlier answer has run out, finishes all that it has accepted, and only
//! then ends. What is still unfinished at the deadline gets its final answer.

use crate::node::Node;
use crate::node::request::Stage;
use crate::output::Output;
use crate::prelude::*;

/// A stop that has been asked for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stopping {
    /// Until when callers may still come with an address that they were given before.
    accept_until: Time,
    /// When the process ends at the latest.
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
        self.watch_currency();
        self.send_heartbeats();
    }

    /// Says whether a stop still lets requests in.
    pub(super) fn accepts(&self) -> bool {
        self.stopping
            .is_none_or(|stopping| self.cx.now < stopping.accept_until)
    }

    pub(super) fn finish_stop(&mut self) {
        let Some(stopping) = self.stopping.filter(|_| !self.stopped) else {
            return;
        };
        if self.cx.now >= stopping.deadline {
            self.cut_off();
        }
        if self.requests.is_empty() && !self.accepts() {
            self.stopped = true;
            self.cx.out.push(Output::Stopped);
        }
    }

    /// Gives their final answer to the requests that are left at the deadline.
    fn cut_off(&mut self) {
        let left: Vec<(RequestId, Stage)> = self
            .requests
            .iter()
            .map(|(&id, active)| (id, active.stage))
            .collect();
        for (request, stage) in left {
            match stage {
                Stage::Claiming | Stage::Waiting => self.give_up(request, Reason::Stopping),
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
