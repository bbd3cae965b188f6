//! Frames from and to the other routers.

use crate::membership::message::Heartbeat;
use crate::message::Frame;
use crate::node::Node;
use crate::output::Output;
use crate::prelude::*;

impl Node {
    pub(super) fn on_peer(&mut self, from: RouterId, bytes: &[u8]) {
        let Ok(frame) = Frame::decode(bytes) else {
            self.cx.count(Counter::PeerMessageInvalid);
            return;
        };
        if frame.from != from || from == self.cx.me {
            self.cx.count(Counter::PeerMessageInvalid);
            return;
        }
        let now = self.cx.now;
        if !self
            .members
            .on_frame(now, from, frame.incarnation, frame.sequence)
        {
            self.cx.count(Counter::PeerMessageStale);
            return;
        }
        for part in frame.parts {
            self.on_part(from, part);
        }
    }

    /// Queues what is due to every peer once in a period.
    pub(super) fn send_heartbeats(&mut self) {
        let now = self.cx.now;
        let age = self
            .reader
            .current
            .map_or(Duration::MAX, |current| now.since(current));
        let heartbeat = Heartbeat {
            applied: self.reader.applied,
            current_age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            log_down: self.reader.down,
            ready: self.reader.is_ready(),
            stopping: self.stopping.is_some(),
        };
        let peers: Vec<RouterId> = self.members.peers().map(|(id, _)| id).collect();
        for to in peers {
            self.cx
                .send(to, Part::Heartbeat(heartbeat.clone()), Urgency::Now);
        }
    }

    /// Sends a frame to every peer that something urgent is due to.
    pub(super) fn flush(&mut self) {
        for (to, parts) in self.cx.take_due(false) {
            let sequence = self.sequences.entry(to).or_default();
            *sequence += 1;
            let frame = Frame {
                from: self.cx.me,
                incarnation: self.cx.incarnation,
                sequence: *sequence,
                parts,
            };
            self.cx.out.push(Output::Peer {
                to,
                bytes: frame.encode(),
            });
        }
    }

    fn on_part(&mut self, from: RouterId, part: Part) {
        match part {
            Part::Heartbeat(heartbeat) => self.members.on_heartbeat(from, &heartbeat),
            Part::Address(_)
            | Part::Catalogue(_)
            | Part::Share(_)
            | Part::Slots(_)
            | Part::Target(_)
            | Part::Version(_)
            | Part::Quarantine(_) => {}
        }
    }
}
