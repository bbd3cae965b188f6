//! Scoring of targets for a request.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::balance::prefix_index::{PrefixHash, shared_prefixes};
use crate::balance::state::{Balance, Load};
use crate::limit::Permits;
use crate::prelude::*;
use crate::route::Distance;
use crate::speed::WORK_USUAL;

/// A request is light if it generates more than one token for this many prompt tokens. An engine
/// reads a token a few times faster than it generates one for a request among many.
const LIGHT_RATIO: u32 = 4;
/// A target that is reserved for light requests takes other requests only up to its slots divided
/// by this number.
const HEAVY_SLOTS_DIVISOR: u32 = 16;
/// The unread tokens that a target may have after a request of an organisation that is short, in
/// hundredths of what it may have otherwise. Else small requests of others would use all room before
/// there is enough for a large one.
const SHORT_UNREAD_PERCENT: u64 = 125;

/// The tokens by which the scores of targets are spread at random: one step of an engine, so that a
/// difference that the prompt of a request does not notice decides nothing. Without it all routers
/// that know the same figures choose the same target until the next report.
const SPREAD_TOKENS: u64 = 2_048;
/// The score of calls of plain services that use all slots of a target.
const CALL_SCORE: u64 = 1_000;

/// A target that may take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The target.
    pub target: TargetId,
    /// The most requests that the target runs at the same time.
    pub slots: u32,
    /// The distance between this router and the target.
    pub distance: Distance,
    /// Whether the target is reserved for light requests, which generate much and read little.
    pub prefers_light: bool,
}

impl Candidate {
    /// Returns the number of slots that the target offers to a request, which is smaller for a
    /// request that is not light on a target that is reserved for light ones.
    pub(super) const fn slots_for(&self, is_light: bool) -> u32 {
        match self.prefers_light && !is_light {
            true => self.slots / HEAVY_SLOTS_DIVISOR,
            false => self.slots,
        }
    }
}

/// How fast a target reads, and how much of it may be unread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadSpeed {
    /// The time that work takes there, in hundredths of the usual time.
    pub work: u32,
    /// The most unread tokens at the target, so that streams there are on time. `None` if the pool has
    /// no pause objective and the target has the usual speed; then [`Config::max_unread`] applies, and
    /// targets are compared by tokens alone.
    ///
    /// [`Config::max_unread`]: crate::balance::Config::max_unread
    pub unread_max: Option<u64>,
}

impl Default for ReadSpeed {
    fn default() -> Self {
        Self {
            work: WORK_USUAL,
            unread_max: None,
        }
    }
}

/// A target that may take a request, with its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CandidateLoad {
    /// The target.
    pub candidate: Candidate,
    /// The load of the whole fleet at the target, as known to this router.
    pub load: Load,
    /// How many requests this router may send the target now; `None` if the target states no limit.
    pub permits: Option<Permits>,
    /// How fast the target reads.
    pub speed: ReadSpeed,
}

/// The size of a prompt, compared with those of other requests of its pool. Limits of targets count
/// requests of any size, so they are left to large ones as far as these need them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Size {
    /// The request may use permits that large ones do not need.
    #[default]
    Small,
    /// The request suits targets with limits, and others as well.
    Large,
    /// The request is large and may still wait for a permit.
    LargeAwaitingPermit,
}

/// The properties of a request that decide which target suits it.
#[derive(Debug, Clone, Copy)]
pub struct RequestProfile<'a> {
    /// Tokens of the complete prompt.
    pub prompt_tokens: u32,
    /// The parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Tokens that are likely to be generated.
    pub output_tokens: u32,
    /// The size of the body in bytes.
    pub body_bytes: u32,
    /// Whether the request may still wait for a target that caches its prompt.
    pub may_wait: bool,
    /// Whether the request's organisation is short, so that a target may have more unread tokens
    /// after the request than others may leave there.
    pub is_short: bool,
    /// How the size of the prompt compares with those of other requests of the pool, where some of
    /// its targets state limits.
    pub size: Size,
    /// The tokens that a target of usual speed reads until the answer is due to begin; `u64::MAX` if
    /// that does not bind.
    pub due_tokens: u64,
}

impl<'a> RequestProfile<'a> {
    /// Returns the profile of a request. `may_wait` says whether the request may still wait for a
    /// target that caches its prompt.
    pub fn of(req: &'a Request, may_wait: bool) -> Self {
        Self {
            prompt_tokens: req.prompt_tokens,
            parts: &req.details.parts,
            output_tokens: req.details.output_tokens,
            body_bytes: req.details.body_bytes,
            is_short: false,
            may_wait,
            size: Size::default(),
            due_tokens: u64::MAX,
        }
    }

    /// Returns whether generating takes longer than reading the prompt. A light request is delayed
    /// by every prompt that its target reads while the request runs.
    pub fn is_light(&self) -> bool {
        self.output_tokens.saturating_mul(LIGHT_RATIO) > self.prompt_tokens
    }
}

/// The target chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Choice {
    /// The target.
    pub target: TargetId,
    /// Prompt tokens of the request that the target has to read.
    pub unread: u32,
    /// Whether the target had no unread tokens before this request.
    pub is_idle: bool,
}

/// How much of a prompt each target is presumed to cache.
#[derive(Debug)]
struct PromptCoverage {
    /// Tokens of the complete prompt.
    tokens: u32,
    /// Tokens of the part that no other request shares.
    unshared: u32,
    /// Targets that cache a prefix of the prompt, with the tokens of the longest one.
    cached: Vec<(TargetId, u32)>,
    /// The target that should cache the shared parts, if no candidate is known to cache all of
    /// them.
    presumed_holder: Option<TargetId>,
}

impl PromptCoverage {
    /// Returns the tokens that a target has to read, as known from the prefix index.
    fn unread_at(&self, target: TargetId) -> u32 {
        let cached = self.cached.iter().find(|(other, _)| *other == target);
        self.tokens
            .saturating_sub(cached.map_or(0, |(_, tokens)| *tokens))
    }

    /// Returns the tokens that count against a target in its score. The shared parts are free at
    /// the presumed holder: one target has to read them, and there every router will find them.
    fn scored_at(&self, target: TargetId) -> u32 {
        match self.presumed_holder == Some(target) {
            true => self.unshared,
            false => self.unread_at(target),
        }
    }
}

impl Balance {
    /// Returns the candidate with the lowest score among those with free capacity for a request.
    pub fn choose<'a>(
        &self,
        now: Time,
        profile: RequestProfile<'_>,
        candidates: impl Iterator<Item = &'a CandidateLoad> + Clone,
    ) -> Option<Choice> {
        let coverage = self.coverage(now, profile, candidates.clone());
        let is_divided = candidates.clone().any(|place| place.permits.is_none());
        let is_timed = candidates
            .clone()
            .any(|place| place.speed.unread_max.is_some());
        let choices = candidates.filter_map(|&place| {
            let CandidateLoad {
                candidate,
                load,
                speed,
                ..
            } = place;
            let to_read = coverage.scored_at(candidate.target);
            let reread = to_read.saturating_sub(coverage.unshared);
            let waits = profile.may_wait && reread > self.cfg.reread_min;
            let slots = match candidate.slots_for(profile.is_light()) {
                slots if slots == candidate.slots && waits => slots / 2,
                slots => slots,
            };
            let is_idle = load.unread == 0;
            let unread = match speed.unread_max {
                // Streams at the target also wait for parts that are presumed to be there.
                Some(_) => coverage.unread_at(candidate.target),
                None => to_read,
            };
            let has_capacity = self.has_capacity(&place, slots, unread, profile.is_short)
                && is_due_later(&place, unread, profile.due_tokens)
                && (is_idle || slots == candidate.slots)
                && (!is_divided || suits(profile.size, place.permits, is_idle));
            has_capacity.then(|| {
                let is_too_long = speed
                    .unread_max
                    .is_some_and(|most| u64::from(unread) > most);
                let hash = tie_breaker(candidate.target, profile);
                let spread = match is_timed {
                    true => spread(hash, profile, candidate),
                    false => 0,
                };
                let score = self.score(profile, place, to_read, is_timed) + spread;
                (is_too_long, score, hash, candidate.target, is_idle)
            })
        });
        let (_, _, _, target, is_idle) = choices.min()?;
        Some(Choice {
            target,
            unread: coverage.unread_at(target),
            is_idle,
        })
    }

    /// Returns how much of a prompt each target is presumed to cache, by what this router and its
    /// peers sent there.
    fn coverage<'a>(
        &self,
        now: Time,
        profile: RequestProfile<'_>,
        candidates: impl Iterator<Item = &'a CandidateLoad> + Clone,
    ) -> PromptCoverage {
        let since = now - self.cfg.prefix_ttl;
        let mut cached: Vec<(TargetId, u32)> = Vec::new();
        let mut sum = 0;
        let mut longest = None;
        for (prefix, tokens) in shared_prefixes(profile.parts) {
            sum += tokens;
            longest = Some(prefix);
            for target in self.prefixes.holders(since, prefix) {
                // A cached prefix includes all parts before its last, so the longest one replaces
                // shorter ones.
                match cached.iter_mut().find(|(other, _)| *other == target) {
                    Some((_, tokens)) => *tokens = sum,
                    None => cached.push((target, sum)),
                }
            }
        }
        let is_candidate = |target| {
            candidates
                .clone()
                .any(|loaded| loaded.candidate.target == target)
        };
        let is_cached = cached
            .iter()
            .any(|&(target, tokens)| tokens == sum && is_candidate(target));
        let uncached = longest.filter(|_| !is_cached);
        PromptCoverage {
            tokens: profile.prompt_tokens,
            unshared: profile.prompt_tokens.saturating_sub(sum),
            cached,
            presumed_holder: uncached
                .and_then(|prefix| presumed_holder(prefix, profile.is_light(), candidates)),
        }
    }

    /// Returns whether a target can take any request at all. Whether it can take a given one
    /// depends on the size of that request.
    pub fn may_have_capacity(&self, loaded: &CandidateLoad) -> bool {
        self.has_capacity(loaded, loaded.candidate.slots, 0, true)
    }

    fn has_capacity(
        &self,
        loaded: &CandidateLoad,
        slots: u32,
        to_read: u32,
        is_short: bool,
    ) -> bool {
        let load = loaded.load;
        let unread = load.unread + u64::from(to_read);
        let unread_max = match is_short {
            true => self.unread_max(loaded) * SHORT_UNREAD_PERCENT / 100,
            false => self.unread_max(loaded),
        };
        let reads_soon = load.unread == 0 || unread <= unread_max;
        load.requests < slots && reads_soon
    }

    /// Returns the most unread tokens that a target may have unless it takes a single request.
    pub(super) fn unread_max(&self, loaded: &CandidateLoad) -> u64 {
        let bound = loaded.speed.unread_max;
        bound.unwrap_or_else(|| self.cfg.max_unread_tokens())
    }

    /// Returns the cost of sending a request to a target that has to read `to_read` tokens for it, in
    /// hundredths of the time in which a usual target reads a token. `is_timed` says whether time counts
    /// in the pool, rather than tokens alone.
    fn score(
        &self,
        profile: RequestProfile<'_>,
        CandidateLoad {
            candidate,
            load,
            permits,
            speed,
        }: CandidateLoad,
        to_read: u32,
        is_timed: bool,
    ) -> u64 {
        let cfg = &self.cfg;
        let distance = match candidate.distance {
            Distance::Near => 0,
            Distance::Region | Distance::Far => {
                u64::from(profile.body_bytes) * u64::from(cfg.far_byte_centitokens) / 100
            }
        };
        // Calls of plain services have no prompt. Their targets have few slots, so the share of
        // slots in use counts.
        let running = match profile.prompt_tokens {
            0 => {
                // Where speeds differ, the request itself takes longer at a slow target.
                let requests = u64::from(load.requests) + u64::from(is_timed);
                requests * CALL_SCORE / u64::from(candidate.slots.max(1))
            }
            _ => u64::from(load.requests) * u64::from(cfg.running_tokens),
        };
        // Prompts that a target reads for other requests delay a light one.
        let interference = match profile.is_light() && !candidate.prefers_light {
            true => cfg.max_unread_tokens(),
            false => 0,
        };
        let permit = match (permits, profile.size) {
            (Some(_), Size::Large | Size::LargeAwaitingPermit) | (None, Size::Small) => 0,
            (Some(_), Size::Small) | (None, Size::Large | Size::LargeAwaitingPermit) => {
                cfg.max_unread_tokens()
            }
        };
        // Reading a prompt again costs more than its time, and that does not depend on the target's
        // speed at this moment: a machine that is slow for half a second would lose all its prompts.
        let read = u64::from(to_read);
        let reread = read * u64::from(cfg.reread_weight.saturating_sub(1));
        let timed = load.unread + read + running;
        let untimed = reread + distance + interference + permit;
        timed * u64::from(speed.work) + untimed * u64::from(WORK_USUAL)
    }
}

/// Returns whether an answer is likely to begin in time behind what a target has to read. A target
/// without unread tokens takes any request, as does one that is compared by tokens alone.
fn is_due_later(loaded: &CandidateLoad, to_read: u32, due_tokens: u64) -> bool {
    let CandidateLoad { load, speed, .. } = loaded;
    let tokens = load.unread + u64::from(to_read);
    let is_bound = speed.unread_max.is_some() && load.unread > 0 && due_tokens < u64::MAX;
    !is_bound || tokens * u64::from(speed.work) <= due_tokens.saturating_mul(u64::from(WORK_USUAL))
}

/// Returns whether a target may take a request of this size, where other targets of the pool state no
/// limit.
fn suits(size: Size, permits: Option<Permits>, is_idle: bool) -> bool {
    match (size, permits) {
        (Size::Small, Some(permits)) => permits.has_spare,
        (Size::LargeAwaitingPermit, None) => is_idle,
        (Size::Small, None) | (Size::Large, _) | (Size::LargeAwaitingPermit, Some(_)) => true,
    }
}

/// Returns the target that every router presumes to cache a prefix: for a light request one of the
/// targets that are reserved for light requests, otherwise one of the others. If there is no such
/// candidate, any candidate qualifies.
fn presumed_holder<'a>(
    prefix: PrefixHash,
    is_light: bool,
    candidates: impl Iterator<Item = &'a CandidateLoad>,
) -> Option<TargetId> {
    let score = |target: TargetId| xxh3_64_with_seed(&target.0.to_le_bytes(), prefix.key());
    let candidates = candidates.map(|loaded| loaded.candidate);
    let best = candidates.max_by_key(|candidate| {
        let suits = candidate.prefers_light == is_light;
        (suits, score(candidate.target), candidate.target)
    })?;
    Some(best.target)
}

/// Orders targets with equal scores, in a different order for each request.
fn tie_breaker(target: TargetId, profile: RequestProfile<'_>) -> u64 {
    let unshared = profile.parts.last().map_or(0, |part| part.content.0);
    xxh3_64_with_seed(&target.0.to_le_bytes(), unshared)
}

/// Returns what is added to the score of a target where time counts, by the hash of the target and the
/// request: up to [`SPREAD_TOKENS`], or half of a call.
fn spread(hash: u64, profile: RequestProfile<'_>, candidate: Candidate) -> u64 {
    let most = match profile.prompt_tokens {
        0 => CALL_SCORE / u64::from(candidate.slots.max(1)) / 2,
        _ => SPREAD_TOKENS,
    };
    ((hash >> 32) * most * u64::from(WORK_USUAL)) >> 32
}
