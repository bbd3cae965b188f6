//! The settings of this duty.

use crate::prelude::*;

/// How targets are compared.
#[derive(Debug, Clone)]
pub struct Config {
    /// Prompt tokens that a model engine reads in a millisecond while it generates too. Default: 80, three
    /// quarters of what the users' sheets state for an idle engine.
    pub read_per_ms: u32,
    /// For how long a target may have unread prompts ahead of a request. Default: 500 ms, the middle objective of
    /// the users' model requests.
    pub max_unread: Duration,
    /// How often a token that has to be read again counts against one that is read only once. Default: 16, because
    /// it takes time of all that run beside it, and a request may well wait for less than its objective.
    pub reread_weight: u32,
    /// Tokens that may be read again without waiting for a target that holds them. Default: 1024, half of what
    /// an engine reads in one step.
    pub reread_min: u32,
    /// The part of its wait for which a request waits for a target that holds its prompt, in hundredths. Default:
    /// 90.
    pub holder_wait_percent: u32,
    /// What a running request counts, in prompt tokens. Default: 60.
    pub running_tokens: u32,
    /// What a byte of a request's body counts, in hundredths of a prompt token, if the target is in another data
    /// centre. Default: 10.
    pub far_byte_centitokens: u32,
    /// For how long a part of a prompt is presumed to stay in a target's memory. Default: 8 s, in which the memory of a
    /// busy target of the users' fleets turns over.
    pub prefix_ttl: Duration,
    /// The part of the objective that a request may wait in the router before it is refused, in hundredths.
    /// Default: 60, so that the rest suffices for the answer to start.
    pub max_wait_percent: u32,
    /// By how much the recent service of two organisations has to differ for one to go before the other. Default: 30000
    /// generated tokens, an eighth of a second of what the users' fleets do for one organisation.
    pub lead: Cost,
    /// The time over which the service of organisations is compared. Default: 4 s, the window in which the users'
    /// platform reckons what an organisation is owed.
    pub fairness_window: Duration,
    /// For how long what a peer claimed counts. Default: 300 ms, three reports.
    pub claim_ttl: Duration,
    /// The part of a model's targets that is kept for requests that generate much and read little, in hundredths.
    /// Default: 20.
    pub light_percent: u32,
    /// The time between two reports to peers, if anything changed. Default: 100 ms, in which a router of the
    /// users' fleets sends a few requests.
    pub report_every: Duration,
    /// The age at which what a peer told no longer counts. Default: 2 s, four heartbeats.
    pub stale_after: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            read_per_ms: 80,
            max_unread: Duration::from_millis(500),
            reread_weight: 16,
            reread_min: 1_024,
            holder_wait_percent: 90,
            running_tokens: 60,
            far_byte_centitokens: 10,
            prefix_ttl: Duration::from_secs(8),
            max_wait_percent: 60,
            lead: Cost::tokens(30_000),
            fairness_window: Duration::from_secs(4),
            claim_ttl: Duration::from_millis(300),
            light_percent: 20,
            report_every: Duration::from_millis(100),
            stale_after: Duration::from_secs(2),
        }
    }
}

impl Config {
    /// Returns how many unread tokens a target may have ahead of a request.
    pub fn max_unread_tokens(&self) -> u64 {
        self.tokens_in(self.max_unread)
    }

    /// Returns how many tokens a target reads in a time.
    pub fn tokens_in(&self, time: Duration) -> u64 {
        let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        millis.saturating_mul(u64::from(self.read_per_ms))
    }
}
