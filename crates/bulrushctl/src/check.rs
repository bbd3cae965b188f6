//! Checks a file without changing anything.

use std::path::Path;

use bulrushtrestle_core::catalogue;
use bulrushtrestle_core::catalogue::entry::Entry;
use serde_json::{Value, json};

use crate::error::Error;
use crate::load::Experiment;
use crate::output::Output;

/// The content of a file, by kind.
enum Content {
    Entries(Vec<Value>),
    Experiment,
    Settings,
}

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
    match Content::of(value) {
        Content::Entries(entries) => {
            check_entries(&name, &entries)?;
            report_valid(out, &name, &format!("{} entries", entries.len()));
        }
        Content::Experiment => {
            Experiment::load(file)?;
            report_valid(out, &name, "a load experiment");
        }
        Content::Settings => {
            let problem =
                "settings of a router; check them with bulrushtrestled --check --settings";
            return Err(Error::field(&name, problem));
        }
    }
    Ok(())
}

impl Content {
    fn of(value: Value) -> Self {
        match value {
            Value::Array(entries) => Self::Entries(entries),
            object if object.get("seeds").is_some() => Self::Experiment,
            object if object.get("callers").is_some() => Self::Settings,
            entry => Self::Entries(vec![entry]),
        }
    }
}

fn report_valid(out: &Output, name: &str, content: &str) {
    let result = json!({ "outcome": "valid", "content": content });
    out.result(&result, || format!("{name}: valid, {content}"));
}

fn check_entries(name: &str, entries: &[Value]) -> Result<(), Error> {
    for (n, entry) in entries.iter().enumerate() {
        check_entry(entry).map_err(|err| Error::field(format!("{name}: entry {n}"), err))?;
    }
    Ok(())
}

fn check_entry(value: &Value) -> Result<(), String> {
    let entry: Entry = serde_json::from_value(value.clone()).map_err(|err| err.to_string())?;
    catalogue::check(&entry).map_err(|err| err.to_string())
}
