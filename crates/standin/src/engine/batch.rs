//! What an engine runs: the batch, those who wait for a slot, and what both cost.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};

use super::cache::Cache;
use super::{Config, Orders};
use crate::target::{History, Load};

/// What part of a prompt still has to be taken in if its prefix is cached: one of this many tokens.
const CACHED_PROMPT_DIVISOR: u64 = 10;

/// What an engine has done since it was started, crashes included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Stats {
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests whose last token was made.
    pub finished: u64,
    /// Requests that were cancelled before.
    pub cancelled: u64,
    /// Tokens that were made.
    pub tokens: u64,
    /// Prompts whose prefix was cached.
    pub cache_hits: u64,
    /// How often it went down.
    pub crashes: u64,
    /// The most requests that ran at the same time.
    pub running_max: u32,
}

/// A request that was admitted.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) attempt: String,
    /// The tokens that the caller has already.
    pub(super) made: u64,
    /// The number of the last token.
    pub(super) last: u64,
    pub(super) prompt_tokens: u64,
    pub(super) prefix: Option<String>,
    /// It makes a token in one of this many steps only.
    pub(super) every: u64,
    pub(super) crashes: bool,
    /// Numbers of tokens; closed when the caller has left, dropped after the last token.
    pub(super) tokens: mpsc::UnboundedSender<u64>,
}

/// What the next step is.
pub(super) enum Step {
    /// There is nothing to do until something arrives.
    Idle,
    /// The engine goes down.
    Crash,
    /// The step takes this long.
    Takes(Duration),
}

/// The state that is lost in a crash, and the counts that are not.
pub(super) struct Batch {
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    pub(super) cache: Cache,
    pub(super) orders: Orders,
    history: History,
    up_since: Instant,
    cold_since: Instant,
    steps: u64,
    /// It is going down and does nothing until it is up again. What it holds stays until its
    /// connections are closed, so that no stream ends in order.
    down: bool,
    arrived: Arc<Notify>,
    pub(super) stats: Stats,
}

impl Batch {
    pub(super) fn new(cfg: &Config) -> Self {
        Self {
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: Cache::new(cfg.cache_prefixes),
            orders: first_orders(cfg),
            history: History::default(),
            up_since: Instant::now(),
            cold_since: Instant::now(),
            steps: 0,
            down: false,
            arrived: Arc::default(),
            stats: Stats::default(),
        }
    }

    /// Loses what a crash loses. The engine is up again after `down_for`.
    pub(super) fn restart(&mut self, cfg: &Config, down_for: Duration) {
        self.running.clear();
        self.waiting.clear();
        self.cache.clear();
        self.orders = first_orders(cfg);
        self.up_since = Instant::now() + down_for;
        self.cold_since = self.up_since;
        self.stats.crashes += 1;
        self.down = false;
        self.record();
    }

    /// Turns cold without a restart.
    pub(super) fn cool(&mut self) {
        self.cold_since = Instant::now();
    }

    pub(super) fn arrived(&self) -> Arc<Notify> {
        self.arrived.clone()
    }

    pub(super) fn uptime(&self) -> Duration {
        self.up_since.elapsed()
    }

    pub(super) fn load(&self) -> Load {
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        Load {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
        }
    }

    pub(super) fn load_as_of(&self, lag: Duration) -> Load {
        if lag.is_zero() {
            self.load()
        } else {
            self.history.as_of(lag)
        }
    }

    pub(super) fn push(&mut self, sequence: Sequence) {
        self.waiting.push_back(sequence);
        self.stats.admitted += 1;
        self.record();
        self.arrived.notify_one();
    }

    /// Drops the request of an attempt and returns whether there was one.
    pub(super) fn cancel(&mut self, attempt: &str) -> bool {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|sequence| sequence.attempt != attempt);
        self.waiting.retain(|sequence| sequence.attempt != attempt);
        let gone = before - self.running.len() - self.waiting.len();
        self.stats.cancelled += gone as u64;
        self.record();
        gone > 0
    }

    /// Returns how many requests the engine can bear now.
    fn bearable(&self, cfg: &Config) -> u64 {
        let age = u64::try_from(self.cold_since.elapsed().as_millis()).unwrap_or(u64::MAX);
        if age >= cfg.cold_ms {
            return u64::MAX;
        }
        let missing = u64::from(cfg.slots.saturating_sub(cfg.cold_slots));
        u64::from(cfg.cold_slots) + missing * age / cfg.cold_ms
    }

    /// Admits those who wait and returns how long the next step takes.
    pub(super) fn begin_step(&mut self, cfg: &Config) -> Step {
        if self.down {
            return Step::Idle;
        }
        self.drop_left();
        let load = self.load();
        if u64::from(load.running) + u64::from(load.waiting) > self.bearable(cfg) {
            return self.go_down();
        }
        let mut prompt_tokens = 0;
        while self.running.len() < cfg.slots as usize
            && let Some(sequence) = self.waiting.pop_front()
        {
            prompt_tokens += self.take_in(&sequence);
            self.running.push(sequence);
        }
        if self.running.iter().any(|sequence| sequence.crashes) {
            return self.go_down();
        }
        self.record();
        if self.running.is_empty() {
            return Step::Idle;
        }
        let prompt_ms = prompt_tokens / cfg.prompt_tokens_per_ms.max(1);
        Step::Takes(Duration::from_millis(cfg.token_ms + prompt_ms))
    }

    fn go_down(&mut self) -> Step {
        self.down = true;
        Step::Crash
    }

    /// Makes one token for each request that runs.
    pub(super) fn end_step(&mut self) {
        self.steps += 1;
        let (steps, stats) = (self.steps, &mut self.stats);
        self.running.retain_mut(|sequence| {
            if !steps.is_multiple_of(sequence.every) {
                return true;
            }
            sequence.made += 1;
            stats.tokens += 1;
            // A caller that has left is dropped at the next step.
            let _ = sequence.tokens.send(sequence.made);
            let done = sequence.made >= sequence.last;
            stats.finished += u64::from(done);
            !done
        });
        self.record();
    }

    /// Returns how many tokens of a prompt have to be taken in.
    fn take_in(&mut self, sequence: &Sequence) -> u64 {
        let hit = sequence
            .prefix
            .as_deref()
            .is_some_and(|prefix| self.cache.touch(prefix));
        self.stats.cache_hits += u64::from(hit);
        let divisor = if hit { CACHED_PROMPT_DIVISOR } else { 1 };
        sequence.prompt_tokens / divisor
    }

    fn drop_left(&mut self) {
        let before = self.running.len() + self.waiting.len();
        self.running.retain(|sequence| !sequence.tokens.is_closed());
        self.waiting.retain(|sequence| !sequence.tokens.is_closed());
        self.stats.cancelled += (before - self.running.len() - self.waiting.len()) as u64;
    }

    fn record(&mut self) {
        let load = self.load();
        self.stats.running_max = self.stats.running_max.max(load.running);
        self.history.push(load);
    }
}

fn first_orders(cfg: &Config) -> Orders {
    Orders {
        fence: 0,
        models: cfg.models.clone(),
        version: cfg.version.clone(),
        role: "any".to_owned(),
    }
}
