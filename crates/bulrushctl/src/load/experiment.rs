//! The file that describes an experiment.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

use bulrushtrestle_core::catalogue;
use bulrushtrestle_core::catalogue::entry::{Bounds, Entry, Pool, Service};
use bulrushtrestle_core::request::Class;
use serde::{Deserialize, Serialize};

use crate::error::Error;

/// The range of the duration of an experiment, in seconds.
const SECONDS: RangeInclusive<f64> = 0.1..=600.0;
/// The range of the number of requests of an experiment.
const REQUESTS: RangeInclusive<u64> = 1..=200_000;
/// The range of the maximum number of requests in flight.
const IN_FLIGHT: RangeInclusive<u64> = 1..=10_000;
/// The range of the time between two samples, in milliseconds.
const SAMPLE_MS: RangeInclusive<u64> = 50..=10_000;
/// The range of the wait that makes an organisation backlogged, in milliseconds.
const BACKLOG_MS: RangeInclusive<u64> = 1..=60_000;
/// The range of the time to wait for requests in flight at the end, in seconds.
const DRAIN_SECONDS: RangeInclusive<f64> = 0.0..=600.0;
/// The range of the rate of a stream of requests, per second.
const PER_SECOND: RangeInclusive<f64> = 0.001..=10_000.0;
/// The range of the size of a prompt or a body, in bytes.
const BODY_BYTES: RangeInclusive<u64> = 0..=1_000_000;
/// The range of the number of tokens of an answer.
const TOKENS: RangeInclusive<u64> = 1..=1_000_000;
/// The range of the run time of a plain call, in milliseconds.
const CALL_MS: RangeInclusive<u64> = 0..=600_000;
/// The range of the deadline of a request, in milliseconds.
const DEADLINE_MS: RangeInclusive<u64> = 1..=86_400_000;
/// The range of the weight of an organisation.
const WEIGHTS: RangeInclusive<u64> = 1..=1_000;

/// A load experiment, as described by its file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Experiment {
    /// The routers that are queried for the router addresses to use. Loopback addresses only.
    pub(crate) seeds: Vec<SocketAddr>,
    /// How long requests arrive, in seconds.
    pub(crate) seconds: f64,
    /// The maximum number of requests that arrive. Default: 20000.
    #[serde(default = "default_requests")]
    pub(crate) requests_max: u64,
    /// The maximum number of requests in flight. Requests over the maximum are counted as not sent.
    /// Default: 2000.
    #[serde(default = "default_in_flight")]
    pub(crate) in_flight_max: u64,
    /// How long to wait for requests in flight at the end, in seconds. Default: 30.
    #[serde(default = "default_drain")]
    pub(crate) drain_seconds: f64,
    /// The time between two samples of the service, in milliseconds. Default: 500.
    #[serde(default = "default_sample")]
    pub(crate) sample_ms: u64,
    /// An organisation is backlogged while one of its requests has waited this long for the
    /// beginning of its answer, in milliseconds. Default: 500.
    #[serde(default = "default_backlog")]
    pub(crate) backlog_ms: u64,
    /// The random seed of the arrivals. The same seed gives the same arrivals. Default: 1.
    #[serde(default = "default_seed")]
    pub(crate) seed: u64,
    /// The organisations that send requests.
    pub(crate) organisations: Vec<Organisation>,
}

/// An organisation of an experiment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Organisation {
    /// The name of the organisation in the report.
    pub(crate) name: String,
    /// The bearer token of the organisation. Either this or `token_file` is given.
    #[serde(default)]
    pub(crate) token: Option<String>,
    /// A file with the bearer token of the organisation.
    #[serde(default)]
    pub(crate) token_file: Option<PathBuf>,
    /// The weight in the organisation's catalogue entry, used to compute the fairness gap. Default: 1.
    #[serde(default = "default_weight")]
    pub(crate) weight: u64,
    /// The streams of requests that the organisation sends.
    pub(crate) streams: Vec<Stream>,
}

/// Requests of one kind that arrive at one rate.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Stream {
    /// The kind of request.
    pub(crate) kind: Kind,
    /// The pool that the requests are for: a model or a plain service.
    pub(crate) pool: String,
    /// The average number of requests per second. Requests arrive independently of each other.
    pub(crate) per_second: f64,
    /// The earliest arrival, in seconds after the start of the experiment. Default: 0.
    #[serde(default)]
    pub(crate) start_seconds: f64,
    /// How long requests of the stream arrive, in seconds. Default: to the end of the experiment.
    #[serde(default)]
    pub(crate) seconds: Option<f64>,
    /// The class of the requests. Default: the class in the organisation's catalogue entry.
    #[serde(default)]
    pub(crate) class: Option<Class>,
    /// The deadline that the requests carry, in milliseconds. Default: none is sent.
    #[serde(default)]
    pub(crate) deadline_ms: Option<u64>,
    /// The expected number of answer tokens that the requests carry as a hint. Default: none is sent.
    #[serde(default)]
    pub(crate) hint_tokens: Option<u64>,
    /// The size of the prompt or the body, in bytes. Default: 200.
    #[serde(default = "default_body")]
    pub(crate) body_bytes: u64,
    /// The length of the prefix that the organisation's prompts have in common, in bytes. Default: 0.
    #[serde(default)]
    pub(crate) prefix_bytes: u64,
    /// Whether the targets are stand-ins that echo a mark of the request. The mark shows whether an
    /// answer belongs to another request. Default: false.
    #[serde(default)]
    pub(crate) echo: bool,
    /// The `max_tokens` of chat requests. Default: 64.
    #[serde(default = "default_tokens")]
    pub(crate) max_tokens: u64,
    /// The number of tokens that a stand-in engine answers with. Default: the engine decides.
    #[serde(default)]
    pub(crate) answer_tokens: Option<u64>,
    /// The path of a call of a plain service. Default: `/`.
    #[serde(default = "default_path")]
    pub(crate) path: String,
    /// How long a call of a plain service runs, in milliseconds. This value is used to compute the
    /// service, because a caller cannot distinguish the run time from waiting time. Default: 20.
    #[serde(default = "default_call")]
    pub(crate) call_ms: u64,
    /// Whether a call of a plain service carries an idempotency key. Default: false.
    #[serde(default)]
    pub(crate) once: bool,
}

/// The kind of the requests of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    /// A chat request to a model, with a streamed answer.
    Chat,
    /// A `POST` request to a plain service.
    Plain,
}

impl Experiment {
    /// Reads and checks the file of an experiment, and the token files that it names.
    ///
    /// # Errors
    ///
    /// Fails with the field that is missing, unknown or out of range, and the range. Also fails if a
    /// file cannot be read.
    pub(crate) fn load(file: &Path) -> Result<Self, Error> {
        let name = file.display().to_string();
        let fail = |problem: String| Error::field(name.clone(), problem);
        let text = std::fs::read_to_string(file).map_err(|err| fail(err.to_string()))?;
        let mut experiment: Self =
            serde_json::from_str(&text).map_err(|err| fail(err.to_string()))?;
        experiment.check()?;
        experiment.read_tokens()?;
        Ok(experiment)
    }

    /// Checks every field against its range.
    ///
    /// # Errors
    ///
    /// Fails with the first field that is out of range, and the range.
    pub(crate) fn check(&self) -> Result<(), Error> {
        if self.seeds.is_empty() {
            return Err(Error::field("seeds", "must name at least one router"));
        }
        for seed in &self.seeds {
            check_loopback("seeds", *seed)?;
        }
        check_range("seconds", self.seconds, SECONDS)?;
        check_range("requests_max", self.requests_max, REQUESTS)?;
        check_range("in_flight_max", self.in_flight_max, IN_FLIGHT)?;
        check_range("drain_seconds", self.drain_seconds, DRAIN_SECONDS)?;
        check_range("sample_ms", self.sample_ms, SAMPLE_MS)?;
        check_range("backlog_ms", self.backlog_ms, BACKLOG_MS)?;
        if self.organisations.is_empty() {
            return Err(Error::field("organisations", "must name at least one"));
        }
        for (n, organisation) in self.organisations.iter().enumerate() {
            organisation.check(&format!("organisations[{n}]"), self.seconds)?;
        }
        Ok(())
    }

    fn read_tokens(&mut self) -> Result<(), Error> {
        for organisation in &mut self.organisations {
            if let Some(file) = &organisation.token_file {
                organisation.token = Some(crate::command::read_token(file)?);
            }
        }
        Ok(())
    }
}

impl Organisation {
    fn check(&self, at: &str, seconds: f64) -> Result<(), Error> {
        if self.token.is_some() == self.token_file.is_some() {
            let field = format!("{at}.token");
            return Err(Error::field(field, "must be given, or else token_file"));
        }
        if self.token.as_deref().is_some_and(|token| !is_token(token)) {
            let field = format!("{at}.token");
            return Err(Error::field(field, "must be visible ASCII characters"));
        }
        check_range(&format!("{at}.weight"), self.weight, WEIGHTS)?;
        if self.streams.is_empty() {
            return Err(Error::field(
                format!("{at}.streams"),
                "must hold at least one",
            ));
        }
        for (n, stream) in self.streams.iter().enumerate() {
            stream.check(&format!("{at}.streams[{n}]"), seconds)?;
        }
        Ok(())
    }
}

impl Stream {
    fn check(&self, at: &str, seconds: f64) -> Result<(), Error> {
        let field = |name: &str| format!("{at}.{name}");
        check_range(&field("per_second"), self.per_second, PER_SECOND)?;
        check_range(&field("start_seconds"), self.start_seconds, 0.0..=seconds)?;
        if let Some(own) = self.seconds {
            check_range(&field("seconds"), own, 0.0..=seconds)?;
        }
        check_range(&field("body_bytes"), self.body_bytes, BODY_BYTES)?;
        check_range(&field("call_ms"), self.call_ms, CALL_MS)?;
        check_range(&field("max_tokens"), self.max_tokens, TOKENS)?;
        if let Some(deadline) = self.deadline_ms {
            check_range(&field("deadline_ms"), deadline, DEADLINE_MS)?;
        }
        if let Some(tokens) = self.hint_tokens {
            check_range(&field("hint_tokens"), tokens, TOKENS)?;
        }
        if let Some(tokens) = self.answer_tokens {
            check_range(&field("answer_tokens"), tokens, TOKENS)?;
        }
        let is_path = self.path.starts_with('/') && self.path.parse::<http::Uri>().is_ok();
        if !is_path {
            let problem = "must be a path such as /book?day=3";
            return Err(Error::field(field("path"), problem));
        }
        if !is_name(&self.pool) {
            let problem = "must be 1 to 100 bytes of lower-case letters, digits, '-', '_' and '.'";
            return Err(Error::field(field("pool"), problem));
        }
        check_range(&field("prefix_bytes"), self.prefix_bytes, BODY_BYTES)?;
        Ok(())
    }

    /// Returns the end of the stream's arrivals, in seconds after the start of an experiment that
    /// lasts `experiment_seconds`.
    pub(crate) fn end_seconds(&self, experiment_seconds: f64) -> f64 {
        self.seconds.map_or(experiment_seconds, |own| {
            (self.start_seconds + own).min(experiment_seconds)
        })
    }
}

fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn is_name(text: &str) -> bool {
    let pool = Pool {
        name: text.to_owned(),
        service: Service::Model,
        bounds: Bounds::default(),
        autoscale: None,
    };
    catalogue::check(&Entry::Pool(pool)).is_ok()
}

/// Checks that an address is a loopback address.
///
/// # Errors
///
/// Fails with the field and the address if it is not a loopback address.
pub(crate) fn check_loopback(field: &str, address: SocketAddr) -> Result<(), Error> {
    if address.ip().is_loopback() {
        return Ok(());
    }
    let problem = format!("{address} is not a loopback address, such as 127.0.0.1:8001");
    Err(Error::field(field, problem))
}

fn check_range<T>(field: &str, value: T, range: RangeInclusive<T>) -> Result<(), Error>
where
    T: PartialOrd + std::fmt::Display,
{
    if range.contains(&value) {
        return Ok(());
    }
    let (min, max) = (range.start(), range.end());
    Err(Error::field(
        field,
        format!("{value} is not in {min} to {max}"),
    ))
}

const fn default_requests() -> u64 {
    20_000
}

const fn default_in_flight() -> u64 {
    2_000
}

const fn default_drain() -> f64 {
    30.0
}

const fn default_sample() -> u64 {
    500
}

const fn default_backlog() -> u64 {
    500
}

const fn default_seed() -> u64 {
    1
}

const fn default_weight() -> u64 {
    1
}

const fn default_body() -> u64 {
    200
}

const fn default_tokens() -> u64 {
    64
}

const fn default_call() -> u64 {
    20
}

fn default_path() -> String {
    "/".to_owned()
}
