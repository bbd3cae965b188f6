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
    pub is_quiet: bool,
}

/// A target that may take a request, with what the fleet has there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The target.
    pub candidate: Candidate,
    /// What the fleet has there.
    pub load: Load,
}

/// What a request wants of a target.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
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

impl<'a> Wanted<'a> {
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
    fn is_light(&self) -> bool {
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

impl Balance {
    /// Returns the best target with room for a request.
    pub fn choose<'a>(
        &self,
        now: Time,
        wanted: Wanted<'_>,
        places: impl Iterator<Item = &'a Place> + Clone,
    ) -> Option<Choice> {
        let parts: Vec<(Chain, u32)> = shared(wanted.parts).collect();
        let presumed = parts
            .last()
            .and_then(|&(chain, _)| preferred(chain, places.clone()));
        let choices = places.filter_map(|&Place { candidate, load }| {
            let known = self.unread(now, wanted.prompt_tokens, &parts, candidate.target);
            let is_presumed = presumed == Some(candidate.target);
            let unread = if is_presumed {
                known.min(own_tokens(wanted.prompt_tokens, &parts))
            } else {
                known
            };
            let reread = unread.saturating_sub(own_tokens(wanted.prompt_tokens, &parts));
            let waits = wanted.patient && reread > self.cfg.reread_min;
            let slots = match (candidate.is_quiet && !wanted.is_light(), waits) {
                (true, _) => candidate.slots / QUIET_PARTS,
                (false, true) => candidate.slots / 2,
                (false, false) => candidate.slots,
            };
            let has_room = self.has_room(load, slots, unread)
                && (load.unread == 0 || slots == candidate.slots);
            has_room.then(|| {
                let score = self.score(wanted, candidate, load, unread);
                let is_idle = load.unread == 0;
                let tie = tie(candidate.target, wanted);
                (score, tie, candidate.target, known, is_idle)
            })
        });
        let (_, _, target, unread, is_idle) = choices.min()?;
        Some(Choice {
            target,
            unread,
            is_idle,
        })
    }

    /// Returns how many tokens of a prompt a target would have to read, by what this router sent it.
    fn unread(&self, now: Time, prompt: u32, parts: &[(Chain, u32)], target: TargetId) -> u32 {
        let since = now - self.cfg.keep;
        let held = parts
            .iter()
            .take_while(|(chain, _)| self.holdings.has(since, *chain, target));
        let held: u32 = held.map(|(_, tokens)| *tokens).sum();
        prompt.saturating_sub(held)
    }

    fn has_room(&self, load: Load, slots: u32, unread: u32) -> bool {
        let ahead = load.unread + u64::from(unread);
        let reads_soon = load.unread == 0 || ahead <= self.cfg.ahead_tokens();
        load.requests < slots && reads_soon
    }

    fn score(&self, wanted: Wanted<'_>, candidate: Candidate, load: Load, unread: u32) -> u64 {
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
        let loud = match wanted.is_light() && !candidate.is_quiet {
            true => cfg.ahead_tokens(),
            false => 0,
        };
        load.unread + reread + running + way + loud
    }
}

/// Returns the tokens of a prompt that no other request shares.
fn own_tokens(prompt: u32, parts: &[(Chain, u32)]) -> u32 {
    let shared: u32 = parts.iter().map(|(_, tokens)| *tokens).sum();
    prompt.saturating_sub(shared)
}

/// Returns the target that every router takes for the holder of a part.
fn preferred<'a>(chain: Chain, places: impl Iterator<Item = &'a Place>) -> Option<TargetId> {
    let score = |target: TargetId| xxh3_64_with_seed(&target.0.to_le_bytes(), chain.key());
    places
        .map(|place| place.candidate.target)
        .max_by_key(|&target| (score(target), target))
}

/// Orders targets that suit a request alike, differently for different requests.
fn tie(target: TargetId, wanted: Wanted<'_>) -> u64 {
    let own = wanted.parts.last().map_or(0, |part| part.content.0);
    xxh3_64_with_seed(&target.0.to_le_bytes(), own)
}
