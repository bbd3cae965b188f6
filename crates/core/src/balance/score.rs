//! How well a target suits a request.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::balance::holdings::{Chain, shared};
use crate::balance::state::{Balance, Load};
use crate::prelude::*;
use crate::route::Distance;

/// A request is light if it generates more than one token for so many of its prompt: reading a token takes an engine
/// a few times less than generating one for a request among many.
const LIGHT_RATIO: u32 = 4;
/// The part of its slots up to which a target that is kept for light requests takes others, as one of so many.
const QUIET_PARTS: u32 = 16;

/// A target that may take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// The most requests that it runs at the same time.
    pub slots: u32,
    /// How far it is from this router.
    pub distance: Distance,
    /// Whether it is kept for requests that generate much and read little.
    pub prefers_light: bool,
}

impl Candidate {
    /// Returns up to how many requests it takes another one, light or not.
    pub(super) const fn slots_for(&self, is_light: bool) -> u32 {
        match self.prefers_light && !is_light {
            true => self.slots / QUIET_PARTS,
            false => self.slots,
        }
    }
}

/// A target that may take a request, with what the fleet has there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateLoad {
    /// The target.
    pub candidate: Candidate,
    /// What the fleet has there.
    pub load: Load,
}

/// What a request wants of a target.
#[derive(Debug, Clone, Copy)]
pub struct RequestProfile<'a> {
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// The parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Tokens that are likely to be generated.
    pub output_tokens: u32,
    /// The size of the body.
    pub body_bytes: u32,
    /// Whether it may still wait for a target that holds its prompt.
    pub patient: bool,
}

impl<'a> RequestProfile<'a> {
    /// Returns what a request wants.
    pub fn of(req: &'a Request, patient: bool) -> Self {
        Self {
            prompt_tokens: req.prompt_tokens,
            parts: &req.terms.parts,
            output_tokens: req.terms.output_tokens,
            body_bytes: req.terms.body_bytes,
            patient,
        }
    }

    /// Says whether generating takes longer than reading the prompt, so that every prompt that a target reads
    /// beside it delays it.
    pub fn is_light(&self) -> bool {
        self.output_tokens.saturating_mul(LIGHT_RATIO) > self.prompt_tokens
    }
}

/// The choice that was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// Prompt tokens that it will have to read.
    pub unread: u32,
    /// Whether it has nothing to read now.
    pub is_idle: bool,
}

/// What targets hold of a prompt.
#[derive(Debug)]
struct Prompt {
    tokens: u32,
    /// Tokens that no other request shares.
    own: u32,
    /// Targets that hold something, with the tokens that they hold.
    held: Vec<(TargetId, u32)>,
    /// The target that is to hold the shared parts, if none is known to.
    presumed: Option<TargetId>,
}

impl Prompt {
    /// Returns the tokens that a target has to read, as far as is known.
    fn unread_at(&self, target: TargetId) -> u32 {
        let held = self.held.iter().find(|(other, _)| *other == target);
        self.tokens
            .saturating_sub(held.map_or(0, |(_, held)| *held))
    }

    /// Returns the tokens that count against a target: the shared parts have to be read somewhere once, and
    /// that is best done where every router looks for them.
    fn counted_at(&self, target: TargetId) -> u32 {
        match self.presumed == Some(target) {
            true => self.own,
            false => self.unread_at(target),
        }
    }
}

impl Balance {
    /// Returns the best target with room for a request.
    pub fn choose<'a>(
        &self,
        now: Time,
        wanted: RequestProfile<'_>,
        places: impl Iterator<Item = &'a CandidateLoad> + Clone,
    ) -> Option<Choice> {
        let prompt = self.prompt(now, wanted, places.clone());
        let choices = places.filter_map(|&CandidateLoad { candidate, load }| {
            let counted = prompt.counted_at(candidate.target);
            let reread = counted.saturating_sub(prompt.own);
            let waits = wanted.patient && reread > self.cfg.reread_min;
            let slots = match candidate.slots_for(wanted.is_light()) {
                slots if slots == candidate.slots && waits => slots / 2,
                slots => slots,
            };
            let is_idle = load.unread == 0;
            let has_room =
                self.has_room(load, slots, counted) && (is_idle || slots == candidate.slots);
            has_room.then(|| {
                let score = self.score(wanted, candidate, load, counted);
                (
                    score,
                    tie(candidate.target, wanted),
                    candidate.target,
                    is_idle,
                )
            })
        });
        let (_, _, target, is_idle) = choices.min()?;
        Some(Choice {
            target,
            unread: prompt.unread_at(target),
            is_idle,
        })
    }

    /// Returns what targets hold of a prompt, by what this router and its peers sent them.
    fn prompt<'a>(
        &self,
        now: Time,
        wanted: RequestProfile<'_>,
        places: impl Iterator<Item = &'a CandidateLoad> + Clone,
    ) -> Prompt {
        let since = now - self.cfg.prefix_ttl;
        let mut held: Vec<(TargetId, u32)> = Vec::new();
        let mut sum = 0;
        let mut deepest = None;
        for (chain, tokens) in shared(wanted.parts) {
            sum += tokens;
            deepest = Some(chain);
            for target in self.holdings.holders(since, chain) {
                // A part is of use only behind all parts before it, so the deepest counts.
                match held.iter_mut().find(|(other, _)| *other == target) {
                    Some((_, tokens)) => *tokens = sum,
                    None => held.push((target, sum)),
                }
            }
        }
        let is_open = |target| places.clone().any(|place| place.candidate.target == target);
        let is_held = held
            .iter()
            .any(|&(target, tokens)| tokens == sum && is_open(target));
        let unheld = deepest.filter(|_| !is_held);
        Prompt {
            tokens: wanted.prompt_tokens,
            own: wanted.prompt_tokens.saturating_sub(sum),
            held,
            presumed: unheld.and_then(|chain| preferred(chain, wanted.is_light(), places)),
        }
    }

    /// Says whether a target may take any request at all; which ones it takes follows from their size.
    pub fn may_have_capacity(&self, place: &CandidateLoad) -> bool {
        self.has_room(place.load, place.candidate.slots, 0)
    }

    fn has_room(&self, load: Load, slots: u32, unread: u32) -> bool {
        let ahead = load.unread + u64::from(unread);
        let reads_soon = load.unread == 0 || ahead <= self.cfg.max_unread_tokens();
        load.requests < slots && reads_soon
    }

    fn score(
        &self,
        wanted: RequestProfile<'_>,
        candidate: Candidate,
        load: Load,
        unread: u32,
    ) -> u64 {
        let cfg = &self.cfg;
        let way = match candidate.distance {
            Distance::Near => 0,
            Distance::Region | Distance::Far => {
                u64::from(wanted.body_bytes) * u64::from(cfg.far_byte_centitokens) / 100
            }
        };
        // Targets of plain services have few slots, and what runs is all that counts.
        let running = match wanted.prompt_tokens {
            0 => u64::from(load.requests) * 1_000 / u64::from(candidate.slots.max(1)),
            _ => u64::from(load.requests) * u64::from(cfg.running_tokens),
        };
        let reread = u64::from(unread) * u64::from(cfg.reread_weight);
        let loud = match wanted.is_light() && !candidate.prefers_light {
            true => cfg.max_unread_tokens(),
            false => 0,
        };
        load.unread + reread + running + way + loud
    }
}

/// Returns the target that every router takes for the holder of a part: one of those that are kept for light
/// requests if the request is light, else one of the others, as long as there are any.
fn preferred<'a>(
    chain: Chain,
    is_light: bool,
    places: impl Iterator<Item = &'a CandidateLoad>,
) -> Option<TargetId> {
    let score = |target: TargetId| xxh3_64_with_seed(&target.0.to_le_bytes(), chain.key());
    let candidates = places.map(|place| place.candidate);
    let best = candidates.max_by_key(|candidate| {
        let suits = candidate.prefers_light == is_light;
        (suits, score(candidate.target), candidate.target)
    })?;
    Some(best.target)
}

/// Orders targets that suit a request alike, differently for different requests.
fn tie(target: TargetId, wanted: RequestProfile<'_>) -> u64 {
    let own = wanted.parts.last().map_or(0, |part| part.content.0);
    xxh3_64_with_seed(&target.0.to_le_bytes(), own)
}
