//! Reads a JSON object key by key.
//!
//! Each key is removed when it is read, so that the keys that remain at the end are unknown.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bulrushtrestle_wire::{FLEET_KEY_BYTES_MIN, FleetKey};
use serde_json::{Map, Value};

use crate::settings::error::{Error, Kind};

/// The largest settings file, in bytes.
const FILE_BYTES_MAX: u64 = 1024 * 1024;

/// The largest file with a secret, in bytes.
const SECRET_BYTES_MAX: u64 = 4096;

/// The text that replaces a secret in an error. Errors may show the length of a text, but no
/// secret.
const HIDDEN: &str = "the value is not shown";

/// A JSON object in the settings file.
#[derive(Debug)]
pub(super) struct Section {
    file: PathBuf,
    prefix: String,
    unread: Map<String, Value>,
    known: Vec<&'static str>,
}

impl Section {
    /// Reads a file that contains one JSON object.
    pub(super) fn load(path: &Path) -> Result<Self, Error> {
        let fail = |kind| Error::new(path, kind);
        let text = read_bounded(path, FILE_BYTES_MAX)
            .map_err(|error| fail(Kind::Unreadable(error)))?
            .ok_or_else(|| {
                fail(Kind::TooLarge {
                    max: FILE_BYTES_MAX,
                })
            })?;
        match serde_json::from_slice(&text).map_err(|error| fail(Kind::NotJson(error)))? {
            Value::Object(object) => Ok(Self::new(path, "", object)),
            _ => Err(fail(Kind::NotObject)),
        }
    }

    /// Returns the object under a required key.
    pub(super) fn section(&mut self, key: &'static str) -> Result<Self, Error> {
        match self.take(key) {
            Some(value) => self.object(key, value),
            None => Err(self.missing(key, "an object")),
        }
    }

    /// Returns the object under a key, or an empty one.
    pub(super) fn optional_section(&mut self, key: &'static str) -> Result<Self, Error> {
        let value = self.take(key).unwrap_or_else(|| Map::new().into());
        self.object(key, value)
    }

    /// Fails if a key of the object was not read.
    pub(super) fn finish(&self) -> Result<(), Error> {
        match self.unread.keys().next() {
            None => Ok(()),
            Some(key) => Err(self.fail(Kind::Unknown {
                key: self.path(key),
                allowed: self.known.join(", "),
            })),
        }
    }

    /// Returns an integer within a range.
    pub(super) fn int<T: TryFrom<u64>>(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Result<T, Error> {
        let value = self.take(key);
        self.to_int(key, &range, value.unwrap_or_else(|| default.into()))
    }

    /// Returns an integer within a range under a required key.
    pub(super) fn required_int<T: TryFrom<u64>>(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
    ) -> Result<T, Error> {
        match self.take(key) {
            Some(value) => self.to_int(key, &range, value),
            None => Err(self.missing(key, int_range(&range))),
        }
    }

    /// Returns a duration in milliseconds within a range.
    pub(super) fn millis(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Result<Duration, Error> {
        self.int(key, range, default).map(Duration::from_millis)
    }

    /// Returns a string under a required key. Its length in bytes must be within a range.
    pub(super) fn required_text(
        &mut self,
        key: &'static str,
        range: RangeInclusive<usize>,
    ) -> Result<String, Error> {
        let allowed = text_range(&range);
        match self.take(key) {
            Some(Value::String(text)) if range.contains(&text.len()) => Ok(text),
            Some(other) => Err(self.wrong(key, describe(&other), allowed)),
            None => Err(self.missing(key, allowed)),
        }
    }

    /// Returns an address, if there is one.
    pub(super) fn address(&mut self, key: &'static str) -> Result<Option<SocketAddr>, Error> {
        const ALLOWED: &str = "an IP number and a port, such as \"127.0.0.1:8001\"";
        match self.take(key) {
            None => Ok(None),
            Some(Value::String(text)) => match text.parse() {
                Ok(address) => Ok(Some(address)),
                Err(_) => Err(self.wrong(key, format!("{text:?}"), ALLOWED)),
            },
            Some(other) => Err(self.wrong(key, describe(&other), ALLOWED)),
        }
    }

    /// Returns an address under a required key.
    pub(super) fn required_address(&mut self, key: &'static str) -> Result<SocketAddr, Error> {
        match self.address(key)? {
            Some(address) => Ok(address),
            None => Err(self.missing(key, "an IP number and a port")),
        }
    }

    /// Returns a list of SHA-256 sums.
    pub(super) fn sha256_list(
        &mut self,
        key: &'static str,
        range: RangeInclusive<usize>,
    ) -> Result<Vec<[u8; 32]>, Error> {
        let allowed = format!(
            "a list of {} to {} sums of 64 hexadecimal digits",
            range.start(),
            range.end()
        );
        let list = match self.take(key) {
            Some(Value::Array(list)) if range.contains(&list.len()) => list,
            Some(Value::Array(list)) => {
                return Err(self.wrong(key, format!("a list of {}", list.len()), allowed));
            }
            Some(other) => return Err(self.wrong(key, describe(&other), allowed)),
            None => return Err(self.missing(key, allowed)),
        };
        list.iter()
            .map(|sum| sum.as_str().and_then(parse_hex))
            .map(|sum| sum.and_then(|bytes| bytes.try_into().ok()))
            .collect::<Option<_>>()
            .ok_or_else(|| self.wrong(key, "another element", allowed))
    }

    /// Returns a secret, which is either a value in the settings file or the content of another
    /// file.
    pub(super) fn secret(
        &mut self,
        key: &'static str,
        file_key: &'static str,
        range: RangeInclusive<usize>,
    ) -> Result<Option<String>, Error> {
        let text = match (self.take(key), self.take(file_key)) {
            (None, None) => return Ok(None),
            (Some(_), Some(_)) => {
                let allowed = format!("omitted if {} is set", self.path(file_key));
                return Err(self.wrong(key, "both are set", allowed));
            }
            (Some(Value::String(text)), None) => text,
            (None, Some(Value::String(path))) => self.read_secret(file_key, Path::new(&path))?,
            (Some(_), None) => return Err(self.wrong(key, HIDDEN, "a text")),
            (None, Some(other)) => {
                return Err(self.wrong(file_key, describe(&other), "the path of a file"));
            }
        };
        if !range.contains(&text.len()) {
            return Err(self.wrong(key, HIDDEN, text_range(&range)));
        }
        Ok(Some(text))
    }

    /// Returns the fleet's key. Its hexadecimal digits are a value in the settings file or the
    /// content of another file.
    pub(super) fn fleet_key(
        &mut self,
        key: &'static str,
        file_key: &'static str,
        optional: bool,
    ) -> Result<Option<FleetKey>, Error> {
        let allowed = format!("{} or more hexadecimal digits", 2 * FLEET_KEY_BYTES_MIN);
        match self.secret(key, file_key, 1..=4_096)? {
            None if optional => Ok(None),
            None => Err(self.missing(key, format!("{allowed}, or {} set", self.path(file_key)))),
            Some(text) => match parse_fleet_key(&text) {
                Some(key) => Ok(Some(key)),
                None => Err(self.wrong(key, HIDDEN, allowed)),
            },
        }
    }

    /// Returns whether the object has an unread value under a key.
    pub(super) fn has(&self, key: &str) -> bool {
        self.unread.contains_key(key)
    }

    /// Returns a boolean.
    pub(super) fn bool(&mut self, key: &'static str, default: bool) -> Result<bool, Error> {
        match self.take(key) {
            None => Ok(default),
            Some(Value::Bool(on)) => Ok(on),
            Some(other) => Err(self.wrong(key, describe(&other), "true or false")),
        }
    }

    /// Returns an IPv4 address, if there is one.
    pub(super) fn ipv4(&mut self, key: &'static str) -> Result<Option<Ipv4Addr>, Error> {
        const ALLOWED: &str = "an IP number of version 4, such as \"10.0.0.1\"";
        match self.take(key) {
            None => Ok(None),
            Some(Value::String(text)) => match text.parse() {
                Ok(ip) => Ok(Some(ip)),
                Err(_) => Err(self.wrong(key, format!("{text:?}"), ALLOWED)),
            },
            Some(other) => Err(self.wrong(key, describe(&other), ALLOWED)),
        }
    }

    /// Returns a number within a range under a required key, in thousandths. Digits beyond them are
    /// dropped: the number is a limit, which a smaller one keeps too.
    pub(super) fn thousandths(
        &mut self,
        key: &'static str,
        range: RangeInclusive<f64>,
    ) -> Result<u32, Error> {
        // Undoes the rounding of binary fractions, by which 0.57 is slightly less than 0.57.
        const BINARY_ERROR: f64 = 1e-6;
        let allowed = number_range(&range);
        let Some(value) = self.take(key) else {
            return Err(self.missing(key, allowed));
        };
        match value.as_f64().filter(|number| range.contains(number)) {
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "all callers pass small, non-negative ranges"
            )]
            Some(number) => Ok((number * 1_000.0 + BINARY_ERROR).floor() as u32),
            None => Err(self.wrong(key, describe(&value), allowed)),
        }
    }

    /// Returns a limit within a range, which may have a fraction and is rounded down: who stays
    /// below the smaller limit stays below the exact one.
    pub(super) fn limit<T: TryFrom<u64>>(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Result<T, Error> {
        let value = self.take(key).unwrap_or_else(|| default.into());
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the conversion saturates, and negative numbers are refused"
        )]
        let whole = match value.as_u64() {
            Some(number) => Some(number),
            None => value.as_f64().filter(|n| *n >= 0.0).map(|n| n as u64),
        };
        whole
            .filter(|n| range.contains(n))
            .and_then(|n| T::try_from(n).ok())
            .ok_or_else(|| {
                let (least, most) = (range.start(), range.end());
                self.wrong(
                    key,
                    describe(&value),
                    format!("a number from {least} to {most}"),
                )
            })
    }

    /// Returns a duration in milliseconds within which something must happen, rounded down like
    /// every [`limit`](Self::limit).
    pub(super) fn millis_limit(
        &mut self,
        key: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> Result<Duration, Error> {
        self.limit(key, range, default).map(Duration::from_millis)
    }

    /// Returns a map of strings under a required key.
    pub(super) fn string_map(
        &mut self,
        key: &'static str,
    ) -> Result<BTreeMap<String, String>, Error> {
        const ALLOWED: &str = "an object whose values are texts";
        match self.take(key) {
            None => Err(self.missing(key, ALLOWED)),
            Some(value) => serde_json::from_value(value.clone())
                .map_err(|_| self.wrong(key, describe(&value), ALLOWED)),
        }
    }

    /// Returns a list of strings, which is empty if the key is missing.
    pub(super) fn string_list(&mut self, key: &'static str) -> Result<Vec<String>, Error> {
        match self.take(key) {
            None => Ok(Vec::new()),
            Some(value) => serde_json::from_value(value.clone())
                .map_err(|_| self.wrong(key, describe(&value), "a list of texts")),
        }
    }

    /// Accepts any value under a key that does not matter.
    pub(super) fn skip(&mut self, key: &'static str) {
        drop(self.take(key));
    }

    /// Fails if a duration is shorter than another.
    pub(super) fn at_least(
        &self,
        (key, found): (&str, Duration),
        (other, least): (&str, Duration),
    ) -> Result<(), Error> {
        match found >= least {
            true => Ok(()),
            false => Err(self.wrong(
                key,
                found.as_millis().to_string(),
                format!("{} or more, as {other}", least.as_millis()),
            )),
        }
    }

    fn new(file: &Path, prefix: &str, unread: Map<String, Value>) -> Self {
        Self {
            file: file.to_owned(),
            prefix: prefix.to_owned(),
            unread,
            known: Vec::new(),
        }
    }

    /// Removes the value under a key, and records the key as known.
    fn take(&mut self, key: &'static str) -> Option<Value> {
        self.known.push(key);
        self.unread.remove(key)
    }

    fn object(&self, key: &str, value: Value) -> Result<Self, Error> {
        match value {
            Value::Object(object) => Ok(Self::new(&self.file, &self.path(key), object)),
            other => Err(self.wrong(key, describe(&other), "an object")),
        }
    }

    fn to_int<T: TryFrom<u64>>(
        &self,
        key: &str,
        range: &RangeInclusive<u64>,
        value: Value,
    ) -> Result<T, Error> {
        value
            .as_u64()
            .filter(|n| range.contains(n))
            .and_then(|n| T::try_from(n).ok())
            .ok_or_else(|| self.wrong(key, describe(&value), int_range(range)))
    }

    fn read_secret(&self, key: &str, path: &Path) -> Result<String, Error> {
        let fail = |reason: String| {
            self.fail(Kind::SecretFile {
                key: self.path(key),
                path: path.to_owned(),
                reason,
            })
        };
        let bytes = read_bounded(path, SECRET_BYTES_MAX)
            .map_err(|error| fail(error.to_string()))?
            .ok_or_else(|| fail(format!("it is larger than {SECRET_BYTES_MAX} bytes")))?;
        let text = String::from_utf8(bytes).map_err(|_| fail("it is not text".to_owned()))?;
        Ok(text.trim().to_owned())
    }

    fn path(&self, key: &str) -> String {
        match self.prefix.as_str() {
            "" => key.to_owned(),
            prefix => format!("{prefix}.{key}"),
        }
    }

    fn missing(&self, key: &str, allowed: impl Into<String>) -> Error {
        self.fail(Kind::Missing {
            key: self.path(key),
            allowed: allowed.into(),
        })
    }

    fn wrong(&self, key: &str, found: impl Into<String>, allowed: impl Into<String>) -> Error {
        self.fail(Kind::Wrong {
            key: self.path(key),
            found: found.into(),
            allowed: allowed.into(),
        })
    }

    fn fail(&self, kind: Kind) -> Error {
        Error::new(&self.file, kind)
    }
}

/// Reads a file unless it is larger than `max`.
fn read_bounded(path: &Path, max: u64) -> std::io::Result<Option<Vec<u8>>> {
    if fs::metadata(path)?.len() > max {
        return Ok(None);
    }
    let mut bytes = Vec::new();
    File::open(path)?.take(max + 1).read_to_end(&mut bytes)?;
    Ok((bytes.len() as u64 <= max).then_some(bytes))
}

/// Parses the fleet's key from hexadecimal digits.
pub(crate) fn parse_fleet_key(text: &str) -> Option<FleetKey> {
    parse_hex(text).and_then(|bytes| FleetKey::new(&bytes).ok())
}

fn parse_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}

fn int_range(range: &RangeInclusive<u64>) -> String {
    format!("a whole number from {} to {}", range.start(), range.end())
}

fn number_range(range: &RangeInclusive<f64>) -> String {
    format!("a number from {} to {}", range.start(), range.end())
}

fn text_range(range: &RangeInclusive<usize>) -> String {
    format!("a text of {} to {} bytes", range.start(), range.end())
}

fn describe(value: &Value) -> String {
    match value {
        Value::Null => "null".to_owned(),
        Value::Bool(_) | Value::Number(_) => value.to_string(),
        Value::String(text) => format!("a text of {} bytes", text.len()),
        Value::Array(list) => format!("a list of {}", list.len()),
        Value::Object(_) => "an object".to_owned(),
    }
}
