//! The validator of entries. `bulrushctl`, checks of files and the application of records share it.

use core::net::SocketAddr;
use core::ops::RangeInclusive;

use crate::catalogue::entry::{
    Autoscale, Bounds, Entry, Limits, Move, Organisation, Route, Target,
};

/// The maximum length of a name, in bytes.
const NAME_BYTES_MAX: usize = 100;
/// The range of weights of organisations.
const WEIGHTS: RangeInclusive<u64> = 1..=1_000;
/// The range of limits on waiting and running requests.
const REQUESTS: RangeInclusive<u64> = 1..=10_000;
/// The range of maximum waits, in milliseconds.
const WAIT_MS: RangeInclusive<u64> = 100..=3_600_000;
/// The range of the number of slots of a target.
const SLOTS: RangeInclusive<u64> = 1..=4_096;
/// The range of the limit on connections of a target.
const CONNECTIONS: RangeInclusive<u64> = 0..=65_535;
/// The range of the limit on requests started per second at a cold target.
const STARTS_PER_S: RangeInclusive<u64> = 0..=10_000;
/// The range of times that may be zero, in milliseconds.
const MILLIS: RangeInclusive<u64> = 0..=3_600_000;
/// The range of timeouts, in milliseconds.
const TIMEOUT_MS: RangeInclusive<u64> = 1..=3_600_000;
/// The range of the number of tokens in one event of a stream.
const TOKENS_PER_EVENT: RangeInclusive<u64> = 0..=4_096;
/// The range of the largest number of targets that may be ordered in a data centre.
const SCALED_TARGETS: RangeInclusive<u64> = 1..=10_000;
/// The range of the limit on attempts of a request.
const ATTEMPTS: RangeInclusive<u64> = 1..=100;
/// The range of weights of pools in a route.
const POOL_WEIGHTS: RangeInclusive<u64> = 0..=1_000_000;
/// The maximum length of a host or a path prefix, in bytes.
const PATH_BYTES_MAX: usize = 1_024;
/// The maximum number of tokens of one organisation.
const TOKENS_MAX: usize = 16;

/// The error of an invalid entry.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {kind}")]
pub struct InvalidError {
    field: &'static str,
    kind: InvalidErrorKind,
}

#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
enum InvalidErrorKind {
    #[error("{value} is not in {min} to {max}")]
    Range { value: u64, min: u64, max: u64 },
    #[error("must be 1 to {NAME_BYTES_MAX} bytes of lower-case letters, digits, '-', '_' and '.'")]
    Name,
    #[error("must be an IP number and a port, such as 127.0.0.1:8000")]
    Address,
    #[error("must be 64 hexadecimal digits")]
    Sha256,
    #[error("must begin and end with a slash and have at most {PATH_BYTES_MAX} bytes")]
    Path,
    #[error("must have 1 to {PATH_BYTES_MAX} bytes")]
    Host,
    #[error("must have at least one element")]
    Empty,
    #[error("must have at most {TOKENS_MAX} elements")]
    TooMany,
    #[error("must differ from `from`")]
    SameVersion,
}

impl InvalidError {
    /// Returns the name of the invalid field.
    pub const fn field(&self) -> &'static str {
        self.field
    }
}

/// Checks that all fields of an entry are valid.
///
/// # Errors
///
/// Fails with the first invalid field and the rule that it violates.
pub fn check(entry: &Entry) -> Result<(), InvalidError> {
    name("name", entry.name())?;
    match entry {
        Entry::Organisation(entry) => organisation(entry),
        Entry::Target(entry) => target(entry),
        Entry::Move(entry) => version_move(entry),
        Entry::DataCentre(entry) => name("region", &entry.region),
        Entry::Pool(entry) => {
            bounds(&entry.bounds)?;
            entry.autoscale.as_ref().map_or(Ok(()), autoscale)
        }
        Entry::Route(entry) => route(entry),
    }
}

/// Decodes a SHA-256 hash from 64 hexadecimal digits.
pub(super) fn parse_sha256(text: &str) -> Option<[u8; 32]> {
    let digits = text.as_bytes();
    if digits.len() != 64 {
        return None;
    }
    let mut hash = [0; 32];
    for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        *byte = u8::try_from(high * 16 + low).ok()?;
    }
    Some(hash)
}

fn organisation(entry: &Organisation) -> Result<(), InvalidError> {
    range("weight", entry.weight, WEIGHTS)?;
    limits(&entry.limits)?;
    if entry.tokens_sha256.len() > TOKENS_MAX {
        return error("tokens_sha256", InvalidErrorKind::TooMany);
    }
    if entry
        .tokens_sha256
        .iter()
        .any(|hash| parse_sha256(hash).is_none())
    {
        return error("tokens_sha256", InvalidErrorKind::Sha256);
    }
    Ok(())
}

fn limits(limits: &Limits) -> Result<(), InvalidError> {
    range("limits.waiting", limits.waiting, REQUESTS)?;
    range("limits.running", limits.running, REQUESTS)?;
    range("limits.wait_ms", limits.wait_ms, WAIT_MS)
}

fn target(entry: &Target) -> Result<(), InvalidError> {
    name("data_centre", &entry.data_centre)?;
    name("pool", &entry.pool)?;
    name("version", &entry.version)?;
    range("slots", entry.slots, SLOTS)?;
    match entry.address.parse::<SocketAddr>() {
        Ok(_) => Ok(()),
        Err(_) => error("address", InvalidErrorKind::Address),
    }
}

fn bounds(bounds: &Bounds) -> Result<(), InvalidError> {
    range("bounds.connections", bounds.connections, CONNECTIONS)?;
    range(
        "bounds.cold_starts_per_s",
        bounds.cold_starts_per_s,
        STARTS_PER_S,
    )?;
    range("bounds.cold_ms", bounds.cold_ms, MILLIS)?;
    range(
        "bounds.tokens_per_event",
        bounds.tokens_per_event,
        TOKENS_PER_EVENT,
    )
}

fn autoscale(limits: &Autoscale) -> Result<(), InvalidError> {
    range("autoscale.max", limits.max, SCALED_TARGETS)?;
    range("autoscale.min", limits.min, 0..=u64::from(limits.max))?;
    range("autoscale.boot_s", limits.boot_ms, MILLIS)
}

fn route(entry: &Route) -> Result<(), InvalidError> {
    let has_slashes = entry.path_prefix.starts_with('/') && entry.path_prefix.ends_with('/');
    if !has_slashes || entry.path_prefix.len() > PATH_BYTES_MAX {
        return error("path_prefix", InvalidErrorKind::Path);
    }
    if entry.host.is_empty() || entry.host.len() > PATH_BYTES_MAX {
        return error("host", InvalidErrorKind::Host);
    }
    if entry.pools.is_empty() {
        return error("pools", InvalidErrorKind::Empty);
    }
    for share in &entry.pools {
        name("pools.pool", &share.pool)?;
        range("pools.weight", share.weight, POOL_WEIGHTS)?;
    }
    range("timeout_ms", entry.timeout_ms, TIMEOUT_MS)?;
    range("objective_ms", entry.objective_ms, MILLIS)?;
    range("gap_aim_ms", entry.gap_aim_ms, MILLIS)?;
    range("attempts_max", entry.attempts_max, ATTEMPTS)
}

fn version_move(entry: &Move) -> Result<(), InvalidError> {
    name("from", &entry.from)?;
    name("to", &entry.to)?;
    if entry.from == entry.to {
        return error("to", InvalidErrorKind::SameVersion);
    }
    Ok(())
}

fn name(field: &'static str, text: &str) -> Result<(), InvalidError> {
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
    let valid = (1..=NAME_BYTES_MAX).contains(&text.len()) && text.bytes().all(allowed);
    if valid {
        Ok(())
    } else {
        error(field, InvalidErrorKind::Name)
    }
}

fn range(field: &'static str, value: u32, range: RangeInclusive<u64>) -> Result<(), InvalidError> {
    let value = u64::from(value);
    if range.contains(&value) {
        return Ok(());
    }
    error(
        field,
        InvalidErrorKind::Range {
            value,
            min: *range.start(),
            max: *range.end(),
        },
    )
}

fn error(field: &'static str, kind: InvalidErrorKind) -> Result<(), InvalidError> {
    Err(InvalidError { field, kind })
}
