//! Settings of the load balancer.

use crate::prelude::*;

/// Settings by which routers compare targets and order organisations.
#[derive(Debug, Clone)]
pub struct Config {
    /// Prompt tokens that a model engine reads in a millisecond while it also generates. Default:
    /// 80, three quarters of the rate that is specified for an idle engine.
    pub read_per_ms: u32,
    /// The most unread prompts that a target may have ahead of a request, as the time to read them.
    /// Default: 500 ms, the middle objective of model requests.
    pub max_unread: Duration,
    /// The part of a pool's least pause objective that the unread prompts at a target may take to be
    /// read, in hundredths. Default: 50, because a target may slow down while it reads them.
    pub pause_percent: u32,
    /// The weight of a token that a target has to read, relative to a token that is already in its
    /// queue. Default: 16, because reading slows all requests that run on the target, and a request
    /// can often wait for less than its objective.
    pub reread_weight: u32,
    /// Tokens that may be read again rather than waiting for a target that caches them. Default:
    /// 1024, half of what an engine reads in one step.
    pub reread_min: u32,
    /// The part of its allowed wait for which a request waits for a target that caches its prompt,
    /// in hundredths. Default: 90.
    pub holder_wait_percent: u32,
    /// The weight of a running request in a target's score, in prompt tokens. Default: 60.
    pub running_tokens: u32,
    /// The weight of a byte of a request's body in the score of a target in another data centre, in
    /// hundredths of a prompt token. Default: 10.
    pub far_byte_centitokens: u32,
    /// The time for which a prompt part is presumed to stay in a target's cache. Default: 8 s, in
    /// which the cache of a busy target turns over.
    pub prefix_ttl: Duration,
    /// The part of the objective that a request may wait in the router before it is refused, in
    /// hundredths. Default: 60, so that the rest suffices for the answer to start.
    pub max_wait_percent: u32,
    /// The difference in recent service from which one organisation goes before another. Default:
    /// 30000 generated tokens, an eighth of a second of a large fleet's service for one
    /// organisation.
    pub lead: Cost,
    /// The window over which the recent service of organisations is compared. Default: 4 s, the
    /// window over which the platform accounts for what an organisation is owed.
    pub fairness_window: Duration,
    /// The part of its share, in hundredths, below which an organisation with unserved requests is
    /// short, so that others are held to their shares. Default: 75, midway
    /// between a full share and the half that is promised.
    pub short_percent: u32,
    /// The time for which the claims in a peer's report count. Default: 300 ms, three reports.
    pub claim_ttl: Duration,
    /// The part of a model's targets that is reserved for light requests, in hundredths. A light
    /// request generates much and reads little. Default: 20.
    pub light_percent: u32,
    /// The time between two reports to peers, if anything changed. Default: 100 ms, in which a
    /// router dispatches a few requests.
    pub report_every: Duration,
    /// The age at which a peer's report no longer counts. Default: 2 s, four heartbeats.
    pub stale_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            read_per_ms: 80,
            max_unread: Duration::from_millis(500),
            pause_percent: 50,
            reread_weight: 16,
            reread_min: 1_024,
            holder_wait_percent: 90,
            running_tokens: 60,
            far_byte_centitokens: 10,
            prefix_ttl: Duration::from_secs(8),
            max_wait_percent: 60,
            lead: Cost::tokens(30_000),
            fairness_window: Duration::from_secs(4),
            short_percent: 75,
            claim_ttl: Duration::from_millis(300),
            light_percent: 20,
            report_every: Duration::from_millis(100),
            stale_after: Duration::from_secs(2),
        }
    }
}

impl Config {
    /// Returns the most unread tokens that a target may have ahead of a request.
    pub fn max_unread_tokens(&self) -> u64 {
        self.tokens_in(self.max_unread)
    }

    /// Returns how many prompt tokens a target reads in a given time.
    pub fn tokens_in(&self, time: Duration) -> u64 {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        millis.saturating_mul(u64::from(self.read_per_ms))
    }
}
