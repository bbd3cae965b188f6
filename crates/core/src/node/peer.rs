//! Frames from and to the other routers.

use crate::membership::message::{Heartbeat, Row};
use crate::message::Frame;
use crate::node::{CatalogueSource, Node};
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
        let is_known = self
            .members
            .row(from)
            .is_some_and(|row| row.incarnation == frame.incarnation);
        if !self
            .members
            .on_frame(now, from, frame.incarnation, frame.sequence)
        {
            self.cx.count(Counter::PeerMessageStale);
            return;
        }
        if self
            .members
            .asks_sender_for_rows(now, from, frame.incarnation)
        {
            self.ask_for_rows(from, &[]);
        }
        if !is_known {
            self.send_quarantine(from);
        }
        for part in frame.parts {
            self.on_part(from, frame.incarnation, part);
        }
    }

    /// Queues the periodic heartbeat for every partner.
    pub(super) fn send_heartbeats(&mut self) {
        let rows = self.members.take_rows();
        let partners: Vec<RouterId> = self.members.partners().collect();
        for to in partners {
            match self.members.asks_for_rows(self.cx.now, to) {
                true => self.ask_for_rows(to, &rows),
                false => self.send_heartbeat(to, rows.clone(), false),
            }
        }
    }

    /// Sends a heartbeat that asks for all rows, with the changed `rows` and those of all routers that
    /// are down: the receiver may have been out of reach when these were reported.
    fn ask_for_rows(&mut self, to: RouterId, rows: &[Row]) {
        let is_new = |row: &&Row| rows.iter().all(|sent| sent.router != row.router);
        let down = self.members.down_rows().filter(is_new).cloned();
        let rows = down.chain(rows.iter().cloned()).collect();
        self.send_heartbeat(to, rows, true);
    }

    /// Reports the partners that sent no heartbeat within the timeout.
    pub(super) fn report_unresponsive_peers(&mut self) {
        for router in self.members.detect_unresponsive(self.cx.now) {
            self.cx.notice(
                NoticeKind::Peer,
                format!("{router} sent no heartbeat within the timeout"),
            );
        }
    }

    fn send_heartbeat(&mut self, to: RouterId, rows: Vec<Row>, wants_rows: bool) {
        let now = self.cx.now;
        let age = self
            .reader
            .current_at
            .map_or(Duration::MAX, |current| now.since(current));
        let heartbeat = Heartbeat {
            echo: self.members.last_sequence(to),
            applied: self.reader.known,
            current_age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            log_down: self.reader.down,
            wants_rows,
            rows,
        };
        self.cx.send(to, Part::Heartbeat(heartbeat), Urgency::Now);
    }

    /// Sends a frame to every peer for which something urgent is queued, or to every peer for which
    /// anything is queued if `flush_all` is set.
    pub(super) fn flush(&mut self) {
        let everything = core::mem::take(&mut self.flush_all);
        for (to, parts) in self.cx.take_due(everything) {
            let sequence = self.sequences.entry(to).or_default();
            *sequence += 1;
            self.members.on_sent(self.cx.now, to, *sequence);
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

    fn on_part(&mut self, from: RouterId, run: Incarnation, part: Part) {
        match part {
            Part::Heartbeat(heartbeat) => {
                if heartbeat.wants_rows {
                    let rows = self.members.all_rows();
                    self.send_heartbeat(from, rows, false);
                }
                if self.cfg.log.source == CatalogueSource::Store {
                    self.on_store_era(heartbeat.applied.era());
                }
                self.members.on_heartbeat(self.cx.now, from, heartbeat);
            }
            Part::Catalogue(part) => self.on_catalogue_part(from, part),
            Part::Share(part) => self.ledger.on_part(from, run, part),
            Part::Slots(part) => self.on_slots_part(from, run, part),
            Part::Target(part) => self.targets.on_part(&mut self.cx, from, &part),
            Part::Version(part) => self.moves.on_part(&mut self.cx, from, &part),
            Part::Quarantine(part) => self.on_quarantine_part(from, part),
            Part::Load(part) => self.on_load_part(from, &part),
            Part::Fleet(part) => self.on_fleet_part(from, &part),
            Part::Feed(part) => self.on_feed_part(from, part),
            Part::Poison(part) => self.on_poison_part(from, part),
            Part::Duty(part) => self.on_duty_part(part),
            Part::Usage(part) => self.on_usage_part(from, run, part),
            Part::Cold(part) => self.cold_targets.on_part(self.cx.now, from, part),
        }
    }
}
