//! Checking a file without changing anything.

use std::path::Path;

use bulrushtrestle_core::catalogue;
use bulrushtrestle_core::catalogue::entry::Entry;
use serde_json::{Value, json};

use crate::error::Error;
use crate::output::Output;

/// Checks a file with the validator that every router uses.
///
/// # Errors
///
/// Fails with the first field that is missing, unknown or out of range.
pub(crate) fn run(file: &Path, out: &Output) -> Result<(), Error> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|err| Error::field(&name, err.to_string()))?;
    let value: Value =
        serde_json::from_str(&text).map_err(|err| Error::field(&name, err.to_string()))?;
    let entries = match value {
        Value::Array(entries) => entries,
        entry => vec![entry],
    };
    for (n, entry) in entries.iter().enumerate() {
        check_entry(entry).map_err(|err| Error::field(format!("{name}: entry {n}"), err))?;
    }
    let count = entries.len();
    out.result(&json!({ "outcome": "valid", "entries": count }), || {
        format!("{name}: {count} entries are valid")
    });
    Ok(())
}

fn check_entry(value: &Value) -> Result<(), String> {
    let entry: Entry = serde_json::from_value(value.clone()).map_err(|err| err.to_string())?;
    catalogue::check(&entry).map_err(|err| err.to_string())
}
