//! Option values with their own syntax.

use std::str::FromStr;
use std::time::Duration;

use bulrushtrestle_core::catalogue::entry::Kind;
use serde::de::DeserializeOwned;

/// A duration on the command line, such as `500ms`, `90s`, `10m` or `2h`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Span(pub(crate) Duration);

/// The longest duration that the command line accepts.
const SPAN_MAX: Duration = Duration::from_secs(30 * 24 * 60 * 60);

impl Span {
    pub(crate) const fn from_secs(secs: u64) -> Self {
        Self(Duration::from_secs(secs))
    }
}

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let invalid =
            || format!("{text} is not a time from 1ms to 30 days such as 500ms, 90s, 10m or 2h");
        let split = text
            .find(|c: char| !c.is_ascii_digit())
            .ok_or_else(invalid)?;
        let (digits, unit) = text.split_at(split);
        let n: u64 = digits.parse().map_err(|_| invalid())?;
        let millis = match unit {
            "ms" => Some(n),
            "s" => n.checked_mul(1_000),
            "m" => n.checked_mul(60 * 1_000),
            "h" => n.checked_mul(60 * 60 * 1_000),
            "d" => n.checked_mul(24 * 60 * 60 * 1_000),
            _ => None,
        };
        let span = Duration::from_millis(millis.ok_or_else(invalid)?);
        if span.is_zero() || span > SPAN_MAX {
            return Err(invalid());
        }
        Ok(Self(span))
    }
}

/// A kind of catalogue entry, parsed from its command-line name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct KindName(pub(crate) Kind);

impl FromStr for KindName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Kind::ALL
            .into_iter()
            .find(|&kind| kind_name(kind) == text)
            .map(Self)
            .ok_or_else(|| {
                let names: Vec<&str> = Kind::ALL.into_iter().map(kind_name).collect();
                format!("{text} is not one of {}", names.join(", "))
            })
    }
}

/// Returns the command-line name of a kind of catalogue entry.
pub(crate) const fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Organisation => "organisation",
        Kind::Pool => "pool",
        Kind::Target => "target",
        Kind::DataCentre => "data-centre",
        Kind::Move => "version",
        Kind::Route => "route",
    }
}

/// Parses an enum variant from its name in JSON.
pub(crate) fn from_name<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    let value = serde_json::Value::String(text.to_owned());
    serde_json::from_value(value).map_err(|err| err.to_string())
}
