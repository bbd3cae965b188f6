//! What a router knows of the store's topics, whom it asks for more, and when it reads by itself.

use std::collections::{BTreeMap, VecDeque};

use crate::feed::Topic;
use crate::feed::copy::{Copy, Restored};
use crate::feed::message::{Answer, Ask, Record, TopicPart};
use crate::prelude::*;

/// How long after a question was sent its answer keeps a router from reading the store. It covers
/// two more questions, so that one lost answer changes nothing.
const ANSWER_LASTS: Duration = Duration::from_millis(900);
/// The time after which an unanswered question shows that its receiver is silent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a silent router is not asked, if there is another.
const SILENT_FOR: Duration = Duration::from_secs(2);
/// The most questions whose answers are waited for.
const ASKED_MAX: usize = 16;
/// The most targets that a question names.
const NAMED_MAX: usize = 32;
/// The time after a question during which the router that was asked counts as a source.
const ASKED_RECENTLY: Duration = Duration::from_secs(2);

/// How old what a router knows of each topic may become before it reads the store itself.
#[derive(Debug, Clone)]
pub struct Config {
    /// For the records that operators write. Default: 1.8 s, so that a read that takes 0.8 s ends
    /// before a router that knows nothing newer stops to serve.
    pub operators: Duration,
    /// For the records that targets write. Default: 1.2 s.
    pub targets: Duration,
    /// For the records of routers. Default: 7 s.
    pub routers: Duration,
    /// Returns whether the operators' record of a key states a version, by which its receiver detects
    /// outdated ones. After a restore of the store the record of any other key takes effect only once
    /// it is certain that no newer one is written again. Default: none does.
    pub is_versioned: fn(&str) -> bool,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            operators: Duration::from_millis(1_800),
            targets: Duration::from_millis(1_200),
            routers: Duration::from_secs(7),
            is_versioned: |_| false,
        }
    }
}

impl Config {
    const fn age_max(&self, topic: Topic) -> Duration {
        match topic {
            Topic::Operators => self.operators,
            Topic::Targets => self.targets,
            Topic::Routers => self.routers,
        }
    }
}

/// The store's records as known to this router, and the questions that it has sent.
#[derive(Debug)]
pub struct Feed {
    cfg: Config,
    topics: [Known; Topic::ALL.len()],
    /// The routers that this one asks in turn; empty while it reads the store itself.
    sources: Vec<RouterId>,
    turn: usize,
    asked: VecDeque<Asked>,
    number: u64,
    next_ask: Time,
    /// Routers that did not answer in time, and until when others are preferred.
    silent: BTreeMap<RouterId, Time>,
    /// When a router last asked this one.
    last_asked_by: Option<Time>,
    /// Whether this router leaves the store to its sources as long as they answer.
    is_fed: bool,
    /// The highest era of the store that is known.
    era: u64,
}

/// What is known of one topic.
#[derive(Debug)]
struct Known {
    copy: Copy,
    /// Until when answers of peers make an own read unnecessary.
    fed_until: Time,
    /// Whether the last own read failed.
    failed: bool,
}

#[derive(Debug, Clone, Copy)]
struct Asked {
    number: u64,
    at: Time,
    to: RouterId,
}

/// What an answer of a peer brought for one topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Received {
    /// The topic.
    pub topic: Topic,
    /// The records that are newer than what was known of their keys.
    pub records: Vec<Record>,
    /// The offset below which all records are known, and the time as of which nothing was missing,
    /// if the answer moved that time.
    pub complete: Option<(Offset, Time)>,
}

impl Feed {
    /// Returns the feed of a router that has read nothing.
    pub fn new(cfg: Config) -> Self {
        let is_versioned = cfg.is_versioned;
        let topics = Topic::ALL.map(|topic| Known {
            copy: Copy::new(match topic {
                Topic::Operators => is_versioned,
                // Targets number their records. The record of a router never changes.
                Topic::Targets | Topic::Routers => |_| true,
            }),
            fed_until: Time::default(),
            failed: false,
        });
        Self {
            cfg,
            topics,
            sources: Vec::new(),
            turn: 0,
            asked: VecDeque::new(),
            number: 0,
            next_ask: Time::default(),
            silent: BTreeMap::new(),
            last_asked_by: None,
            is_fed: false,
            era: 0,
        }
    }

    /// Returns the number of times that the store has been restored from an older copy, as far as
    /// known.
    pub const fn era(&self) -> u64 {
        self.era
    }

    /// Records the era that the store or a peer stated. Returns whether it is higher than before.
    pub fn raise_era(&mut self, era: u64) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        for of in &mut self.topics {
            of.copy.begin_era(era);
        }
        true
    }

    /// Returns whether a topic is known completely in the present era of the store and has no value of
    /// a key, so that whoever wrote it has to write it again. False in era 0, in which nothing is lost.
    pub fn lacks(&self, topic: Topic, key: &str) -> bool {
        let copy = &self.topics[topic.index()].copy;
        self.era > 0 && copy.known.era() == self.era && copy.lacks(key)
    }

    /// Returns what is to be done with records of a topic because the store was restored.
    pub fn take_restored(&mut self, topic: Topic) -> Restored {
        self.topics[topic.index()].copy.take_restored()
    }

    /// Applies records that this router read. Returns those that are new.
    pub fn on_records(&mut self, now: Time, topic: Topic, records: Vec<Record>) -> Vec<Record> {
        let records = self.of_this_era(records);
        self.topics[topic.index()].copy.admit(now, records)
    }

    /// Applies the newest records of all keys, read when the topic did not end before `end`. Returns
    /// what is new, with a removal for each key that has no record any more.
    pub fn on_all_records(
        &mut self,
        now: Time,
        topic: Topic,
        records: Vec<Record>,
        end: Offset,
    ) -> Vec<Record> {
        if end.era() < self.era {
            return Vec::new();
        }
        let copy = &mut self.topics[topic.index()].copy;
        copy.admit_all(now, records, end)
    }

    /// Records that this router read a topic up to its end, as of `asked`. Returns whether that holds
    /// in the present era of the store.
    pub fn on_complete(&mut self, now: Time, topic: Topic, known: Offset, asked: Time) -> bool {
        if known.era() < self.era {
            return false;
        }
        let of = &mut self.topics[topic.index()];
        of.copy.on_complete(now, known, asked);
        of.failed = false;
        true
    }

    /// Records that this router's read of a topic failed.
    pub fn on_failed(&mut self, topic: Topic) {
        self.topics[topic.index()].failed = true;
    }

    /// Sets the routers to ask. `is_fed` says whether they spare this router its own reads.
    pub fn set_sources(&mut self, sources: Vec<RouterId>, is_fed: bool) {
        self.is_fed = is_fed;
        self.sources = sources;
    }

    /// Returns whether the last own read of any topic failed.
    pub fn has_failed(&self) -> bool {
        self.topics.iter().any(|of| of.failed)
    }

    /// Returns whether others rely on what this router reads.
    pub fn is_source(&self, now: Time) -> bool {
        let is_recent = |at: Time| now.since(at) < ASKED_RECENTLY;
        self.last_asked_by.is_some_and(is_recent)
    }

    /// Returns until when this router need not read a topic itself.
    pub fn fed_until(&self, topic: Topic) -> Option<Time> {
        self.is_fed.then(|| self.topics[topic.index()].fed_until)
    }

    /// Returns the offset below which all records of a topic are known.
    pub fn known(&self, topic: Topic) -> Offset {
        self.topics[topic.index()].copy.known
    }

    /// Returns when the next question is due, if there is anybody to ask.
    pub fn next_ask(&self) -> Option<Time> {
        (!self.sources.is_empty()).then_some(self.next_ask)
    }

    /// Returns a question and its receiver, if one is due. The next one is due after `pause`. `named`
    /// are targets whose newest records are needed.
    pub fn ask(
        &mut self,
        now: Time,
        pause: Duration,
        named: impl Iterator<Item = String>,
    ) -> Option<(RouterId, Ask)> {
        if self.next_ask()? > now {
            return None;
        }
        self.next_ask = now + pause;
        self.note_silent(now);
        let to = self.next_source()?;
        self.number += 1;
        if self.asked.len() == ASKED_MAX {
            self.asked.pop_front();
        }
        self.asked.push_back(Asked {
            number: self.number,
            at: now,
            to,
        });
        let ask = Ask {
            number: self.number,
            known: Topic::ALL.map(|topic| self.known(topic)),
            named: named.take(NAMED_MAX).collect(),
        };
        Some((to, ask))
    }

    /// Answers a question.
    pub fn answer(&mut self, now: Time, ask: &Ask) -> Answer {
        self.last_asked_by = Some(now);
        let topics = Topic::ALL.map(|topic| {
            let of = &self.topics[topic.index()];
            let named = match topic {
                Topic::Targets => &ask.named[..ask.named.len().min(NAMED_MAX)],
                Topic::Operators | Topic::Routers => &[],
            };
            TopicPart {
                failed: of.failed && of.fed_until <= now,
                ..of.copy.part(now, ask.known[topic.index()], named)
            }
        });
        Answer {
            number: ask.number,
            topics,
        }
    }

    /// Applies the answer of a router that was asked. Returns nothing for any other answer.
    pub fn on_answer(&mut self, now: Time, from: RouterId, answer: Answer) -> Vec<Received> {
        let is_for = |asked: &Asked| asked.number == answer.number && asked.to == from;
        let Some(at) = self.asked.iter().position(is_for) else {
            return Vec::new();
        };
        let Some(asked) = self.asked.remove(at) else {
            return Vec::new();
        };
        self.silent.remove(&from);
        let received = Topic::ALL.into_iter().zip(answer.topics);
        let received: Vec<Received> = received
            .map(|(topic, part)| self.on_topic(now, topic, asked.at, part))
            .collect();
        // A topic that does not fit into one answer is fetched without a pause.
        let has_more = received
            .iter()
            .any(|of| of.complete.is_none() && !of.records.is_empty());
        if has_more {
            self.next_ask = now;
        }
        received
    }

    fn on_topic(&mut self, now: Time, topic: Topic, asked: Time, part: TopicPart) -> Received {
        let age_max = self.cfg.age_max(topic);
        if part.known.era() < self.era {
            // The peer has not read the topic in the present era.
            return Received {
                topic,
                records: Vec::new(),
                complete: None,
            };
        }
        let records = self.of_this_era(part.records);
        let of = &mut self.topics[topic.index()];
        let records = of.copy.admit(now, records);
        of.copy.known = of.copy.known.max(part.known);
        let before = of.copy.as_of;
        if let Some(age) = part.age_ms {
            let as_of = asked - Duration::from_millis(u64::from(age));
            of.copy.on_complete(now, part.known, as_of);
            if !part.failed {
                let until = (asked + ANSWER_LASTS).min(as_of + age_max);
                of.fed_until = of.fed_until.max(until);
            }
        }
        let as_of = of.copy.as_of.filter(|_| of.copy.as_of > before);
        Received {
            topic,
            records,
            complete: as_of.map(|as_of| (of.copy.known, as_of)),
        }
    }

    /// Returns the records of the present era.
    fn of_this_era(&self, records: Vec<Record>) -> Vec<Record> {
        let mut records = records;
        records.retain(|record| record.offset.era() >= self.era);
        records
    }

    /// Marks the routers that left a question unanswered.
    fn note_silent(&mut self, now: Time) {
        self.silent.retain(|_, until| *until > now);
        while let Some(&first) = self.asked.front()
            && now.since(first.at) >= ANSWER_TIMEOUT
        {
            self.silent.insert(first.to, now + SILENT_FOR);
            self.asked.pop_front();
        }
    }

    /// Returns the next router to ask: in turn, those that answer before the others.
    fn next_source(&mut self) -> Option<RouterId> {
        let count = self.sources.len();
        let in_turn = (0..count).map(|step| (self.turn + step) % count);
        let at = in_turn
            .clone()
            .find(|&at| !self.silent.contains_key(&self.sources[at]))
            .or_else(|| in_turn.clone().next())?;
        self.turn = (at + 1) % count;
        Some(self.sources[at])
    }
}
