//! Passing on the records of the store; see [`feed`](crate::feed).

use rand::RngExt;

use crate::feed::message::FeedPart;
use crate::feed::{ASK_EVERY, Feed, Restored, Topic};
use crate::input::FeedEvent;
use crate::membership::ranking;
use crate::node::Node;
use crate::output::Output;
use crate::prelude::*;
use crate::relay::Role;

/// The range of the jitter of the interval between two questions, in per cent.
const ASK_JITTER_PERCENT: core::ops::RangeInclusive<u32> = 80..=120;
/// The bit that keeps the rendezvous keys of routers that pick whom to ask apart from other keys.
const SOURCE_KEY: u64 = 1 << 43;

impl Node {
    /// Returns what this router knows of the store's topics, and when it has to read them.
    pub const fn feed(&self) -> &Feed {
        &self.feed
    }

    pub(super) fn on_feed(&mut self, event: FeedEvent) {
        let now = self.cx.now;
        match event {
            FeedEvent::Records {
                topic,
                records,
                all_below,
            } => {
                let offsets = records.iter().map(|record| record.offset);
                if let Some(latest) = offsets.chain(all_below).max() {
                    self.on_store_era(latest.era());
                }
                let records = match all_below {
                    Some(end) => self.feed.on_all_records(now, topic, records, end),
                    None => self.feed.on_records(now, topic, records),
                };
                self.pass_on_restored(topic);
                if !records.is_empty() {
                    self.cx.out.push(Output::Records {
                        topic,
                        records,
                        from: None,
                    });
                }
            }
            FeedEvent::Complete {
                topic,
                known,
                asked,
            } => {
                self.on_store_era(known.era());
                if !self.feed.on_complete(now, topic, known, asked) {
                    return;
                }
                self.pass_on_restored(topic);
                self.cx.out.push(Output::Complete {
                    topic,
                    known,
                    as_of: asked,
                    from: None,
                });
            }
            FeedEvent::Failed(topic) => self.feed.on_failed(topic),
        }
    }

    /// Begins a new era of the store, unless it is known already.
    pub(super) fn on_store_era(&mut self, era: u64) {
        if !self.feed.raise_era(era) {
            return;
        }
        let subject = format!("the store was restored from an older copy; era {era}");
        self.cx.notice(NoticeKind::Log, subject);
        self.cx.out.push(Output::StoreEra(era));
        self.on_duty_era(era);
    }

    /// Learns the era of the store from the offsets that a peer states.
    fn on_offsets_of_peer(&mut self, offsets: impl Iterator<Item = Offset>) {
        if let Some(latest) = offsets.max() {
            self.on_store_era(latest.era());
        }
    }

    fn pass_on_restored(&mut self, topic: Topic) {
        let records = self.feed.take_restored(topic);
        if records != Restored::default() {
            self.cx.out.push(Output::Restored { topic, records });
        }
    }

    pub(super) fn on_feed_part(&mut self, from: RouterId, part: FeedPart) {
        let now = self.cx.now;
        let answer = match part {
            FeedPart::Ask(ask) => {
                self.on_offsets_of_peer(ask.known.into_iter());
                let answer = FeedPart::Answer(self.feed.answer(now, &ask));
                self.cx.send(from, Part::Feed(answer), Urgency::Now);
                return;
            }
            FeedPart::Answer(answer) => answer,
        };
        self.on_offsets_of_peer(answer.topics.iter().map(|part| part.known));
        for received in self.feed.on_answer(now, from, answer) {
            let (topic, records) = (received.topic, received.records);
            let from = Some(from);
            self.pass_on_restored(topic);
            if !records.is_empty() {
                self.cx.out.push(Output::Records {
                    topic,
                    records,
                    from,
                });
            }
            if let Some((known, as_of)) = received.complete {
                self.cx.out.push(Output::Complete {
                    topic,
                    known,
                    as_of,
                    from,
                });
            }
        }
    }

    /// Chooses whom to ask for records. A member of a large fleet asks relays and leaves the store to
    /// them; any other router asks only while the store does not answer it.
    pub(super) fn choose_sources(&mut self, role: &Role) {
        let sources = match role {
            Role::Member(_) => self.relays.sources(self.cx.me, &self.cfg.data_centre),
            Role::Direct | Role::Relay(_) if !self.feed.has_failed() => Vec::new(),
            Role::Direct => {
                let heartbeats = self.members.heartbeats(self.cx.now);
                let served = heartbeats.filter(|(.., heartbeat)| !heartbeat.log_down);
                served.map(|(router, ..)| router).collect()
            }
            Role::Relay(others) => {
                let me = SOURCE_KEY | u64::from(self.cx.me.0);
                ranking(me, others.iter().copied())
            }
        };
        let is_fed = matches!(role, Role::Member(_)) && !sources.is_empty();
        self.feed.set_sources(sources, is_fed);
    }

    /// Asks for records, if a question is due.
    pub(super) fn ask_for_records_if_due(&mut self) {
        let now = self.cx.now;
        let Some(due) = self.feed.next_ask() else {
            return;
        };
        if due > now {
            return;
        }
        let pause = ASK_EVERY * self.cx.rng.random_range(ASK_JITTER_PERCENT) / 100;
        let catalogue = &self.catalogue;
        let unconfirmed = self.cold_targets.unconfirmed(now);
        let named = unconfirmed.filter_map(|id| Some(catalogue.target(id)?.entry.name.clone()));
        if let Some((to, ask)) = self.feed.ask(now, pause, named) {
            self.cx
                .send(to, Part::Feed(FeedPart::Ask(ask)), Urgency::Now);
        }
        self.cx.wake(now + pause);
    }
}
