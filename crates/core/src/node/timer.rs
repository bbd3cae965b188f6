//! Work that is due because time has passed.

use crate::node::Node;
use crate::prelude::*;

/// The interval of the checks that need not run in every event.
const TICK: Duration = Duration::from_millis(50);

impl Node {
    /// Does all work that is due. It runs after every event, so that a late timer delays nothing on
    /// a busy router.
    pub(super) fn on_time(&mut self) {
        self.read_if_due();
        self.abandon_expired();
        self.refuse_unclaimed();
        self.once.flush(&mut self.cx);
        if self.cx.now >= self.next_tick {
            self.next_tick = self.cx.now + TICK;
            self.report_unresponsive_peers();
            self.update_owners();
            self.update_readiness();
            self.catch_up_if_behind();
            self.refresh_if_due();
            self.note_late_starts();
            self.note_stalled();
            self.remove_lapsed();
            self.exchange_cold_shares();
            self.advance_suspects();
            self.advance_poison();
            self.report_usage_if_due();
            self.log_funnels_if_due();
            self.finish_stop();
            if self.members.has_unsent_rows() {
                self.next_frame = self.cx.now;
            }
            self.cx.wake(self.next_tick);
        }
        self.targets
            .on_time(&mut self.cx, &self.catalogue, &self.members);
        self.follow_moves();
        self.renew_turns_if_due();
        self.advance_duties();
        if self.cx.now >= self.next_frame {
            self.next_frame = self.cx.now + self.members.period();
            self.send_heartbeats();
            self.send_duty_parts();
            self.report_service();
            self.renew_slots();
            self.flush_all = true;
        }
    }

    fn abandon_expired(&mut self) {
        for request in self.queues.expired(self.cx.now) {
            let active = self.requests.get(&request);
            let passed = active.is_none_or(|active| active.deadline <= self.cx.now);
            let reason = match passed {
                true => Reason::DeadlinePassed,
                // The caller would go on waiting, but an answer could only be late.
                false => Reason::QueueFull,
            };
            self.abandon(request, reason);
        }
    }
}
