//! What is printed: text for people, or JSON for scripts.

use std::io::Write;

use bulrushtrestle_core::catalogue::entry::{DataCentreState, Entry, Service};
use bulrushtrestle_core::catalogue::message::Stored;
use serde::Serialize;
use serde_json::{Value, json};

use crate::args::kind_name;
use crate::error::Error;

/// Where results go. Results go to the standard output, errors to the standard error output; with
/// `--json` an error is a result too.
#[derive(Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    pub(crate) const fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a result in the form that was asked for.
    pub(crate) fn result(&self, value: &impl Serialize, text: impl FnOnce() -> String) {
        if self.json {
            line(&serde_json::to_string(value).expect("results have string keys only"));
        } else {
            line(text().trim_end());
        }
    }

    /// Prints an error.
    pub(crate) fn error(&self, err: &Error) {
        eprintln!("bulrushctl: {err}");
        if self.json {
            let value = json!({
                "outcome": err.outcome(),
                "error": err.to_string(),
                "entry": err.winner(),
            });
            line(&value.to_string());
        } else if let Some(winner) = err.winner() {
            let author = winner.author.as_deref().filter(|author| !author.is_empty());
            line(&format!(
                "won by {}:",
                author.unwrap_or("an edit without an author")
            ));
            line(&entry_line(&winner.stored));
        }
    }
}

/// Prints a line; a reader that has gone away is no error.
fn line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Returns entries as lines with aligned columns.
pub(crate) fn entry_table<'a>(entries: impl Iterator<Item = &'a Stored>) -> String {
    let mut rows = vec![["KIND", "NAME", "REVISION", "CONTENT"].map(str::to_owned)];
    rows.extend(entries.map(entry_row));
    table(&rows)
}

fn entry_line(stored: &Stored) -> String {
    table(&[entry_row(stored)])
}

fn entry_row(stored: &Stored) -> [String; 4] {
    let content = stored
        .entry
        .as_ref()
        .map_or_else(|| "removed".to_owned(), content);
    [
        kind_name(stored.kind).to_owned(),
        stored.name.clone(),
        stored.revision.to_string(),
        content,
    ]
}

fn content(entry: &Entry) -> String {
    match entry {
        Entry::Organisation(entry) => format!(
            "owner {}, {}, weight {}, waiting {}, running {}, wait {} ms, {} tokens",
            entry.owner,
            entry.class.as_str(),
            entry.weight,
            entry.limits.waiting,
            entry.limits.running,
            entry.limits.wait_ms,
            entry.tokens_sha256.len(),
        ),
        Entry::Pool(entry) => match entry.service {
            Service::Model => "model".to_owned(),
            Service::Plain => "plain service".to_owned(),
        },
        Entry::Target(entry) => format!(
            "{} {} at {}, VM {}, data centre {}, {} slots",
            entry.pool, entry.version, entry.address, entry.vm, entry.data_centre, entry.slots,
        ),
        Entry::DataCentre(entry) => {
            let state = match entry.state {
                DataCentreState::In => "in service",
                DataCentreState::Out => "OUT of service",
            };
            format!("region {}, {state}", entry.region)
        }
        Entry::Move(entry) => format!(
            "from {} to {}, to finish at {} s since the epoch",
            entry.from,
            entry.to,
            entry.finish_at.as_millis() / 1_000,
        ),
    }
}

/// Returns rows as lines with aligned columns.
pub(crate) fn table<const N: usize>(rows: &[[String; N]]) -> String {
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let widths: [usize; N] = std::array::from_fn(|column| width(column).unwrap_or(0));
    let mut text = String::new();
    for row in rows {
        let cells = row
            .iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Returns any JSON value as indented lines of names and values.
pub(crate) fn outline(value: &Value) -> String {
    let mut text = String::new();
    outline_into(value, 0, &mut text);
    text
}

fn outline_into(value: &Value, depth: usize, text: &mut String) {
    let indent = "  ".repeat(depth);
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                outline_field(name, value, depth, text);
            }
        }
        Value::Array(items) => {
            for item in items {
                text.push_str(&format!("{indent}-\n"));
                outline_into(item, depth + 1, text);
            }
        }
        scalar => text.push_str(&format!("{indent}{}\n", plain(scalar))),
    }
}

fn outline_field(name: &str, value: &Value, depth: usize, text: &mut String) {
    let indent = "  ".repeat(depth);
    let is_flat = |items: &[Value]| {
        items
            .iter()
            .all(|item| !item.is_object() && !item.is_array())
    };
    match value {
        Value::Array(items) if is_flat(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            text.push_str(&format!("{indent}{name}: {}\n", items.join(", ")));
        }
        Value::Object(_) | Value::Array(_) => {
            text.push_str(&format!("{indent}{name}:\n"));
            outline_into(value, depth + 1, text);
        }
        scalar => text.push_str(&format!("{indent}{name}: {}\n", plain(scalar))),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
