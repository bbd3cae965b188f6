//! The settings of attempts.

/// How often requests are sent again.
#[derive(Debug, Clone)]
pub struct Config {
    /// How often one request is sent to a target at most. Default: 3.
    pub attempts_max: u32,
    /// The most retries that an organisation can save up at a router. Default: 10.
    pub retry_burst: u32,
    /// The retries that an organisation earns in a second, in thousandths. Default: 1000.
    pub retry_millis_per_second: u32,
    /// The part of a retry that each accepted request earns, in thousandths. Default: 100.
    pub retry_millis_per_request: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            attempts_max: 3,
            retry_burst: 10,
            retry_millis_per_second: 1_000,
            retry_millis_per_request: 100,
        }
    }
}
