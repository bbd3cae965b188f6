//! What happens because time has passed.

use crate::node::Node;
use crate::output::Output;
use crate::prelude::*;

/// The time between two looks at deadlines.
const TICK: Duration = Duration::from_millis(50);

impl Node {
    /// Does everything that is due. It runs after every event, so that a late timer delays nothing
    /// on a busy router.
    pub(super) fn on_time(&mut self) {
        self.read_if_due();
        if self.cx.now >= self.next_tick {
            self.next_tick = self.cx.now + TICK;
            self.give_up_expired();
            self.finish_stop();
            self.cx.wake(self.next_tick);
        }
        if self.cx.now >= self.next_frame {
            self.next_frame = self.cx.now + self.members.period();
            self.send_heartbeats();
        }
    }

    fn give_up_expired(&mut self) {
        for request in self.queues.expired(self.cx.now) {
            let Some(active) = self.requests.get(&request) else {
                continue;
            };
            let (pool, org) = (active.req.pool, active.req.organisation);
            self.queues.remove(pool, org, request);
            self.refuse(
                request,
                Refusal::not_run(Reason::DeadlinePassed, Some(TICK)),
            );
        }
    }

    fn finish_stop(&mut self) {
        if self.stopping.is_some() && self.requests.is_empty() && !self.stopped {
            self.stopped = true;
            self.cx.out.push(Output::Stopped);
        }
    }
}
