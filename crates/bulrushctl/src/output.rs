//! Output of the command: text for people, or JSON for scripts.

use std::io::Write;

use bulrushtrestle_core::catalogue::entry::{DataCentreState, Entry, Service};
use bulrushtrestle_core::catalogue::message::Stored;
use serde::Serialize;
use serde_json::{Value, json};

use crate::args::kind_name;
use crate::error::Error;

/// Prints results to the standard output and errors to the standard error output. With `--json`, an
/// error is also printed as a result.
#[derive(Debug)]
pub(crate) struct Output {
    json: bool,
}

impl Output {
    pub(crate) const fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints a result as JSON or as text, depending on `--json`.
    pub(crate) fn result(&self, value: &impl Serialize, text: impl FnOnce() -> String) {
        if self.json {
            print_line(&serde_json::to_string(value).expect("results have string keys only"));
        } else {
            print_line(text().trim_end());
        }
    }

    /// Prints an error and, for a conflict, the entry that won.
    pub(crate) fn error(&self, err: &Error) {
        eprintln!("bulrushctl: {err}");
        if self.json {
            let value = json!({
                "outcome": err.outcome(),
                "error": err.to_string(),
                "entry": err.winner(),
            });
            print_line(&value.to_string());
        } else if let Some(winner) = err.winner() {
            let author = winner.author.as_deref().filter(|author| !author.is_empty());
            print_line(&format!(
                "won by {}:",
                author.unwrap_or("an edit without an author")
            ));
            print_line(&entry_line(&winner.stored));
        }
    }
}

/// Prints a line to the standard output. Write errors, such as a closed pipe, are ignored.
fn print_line(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Formats entries as lines with aligned columns.
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
        Entry::Route(entry) => {
            let pools: Vec<&str> = entry.pools.iter().map(|part| part.pool.as_str()).collect();
            format!(
                "{}{} to {}, timeout {} ms",
                entry.host,
                entry.path_prefix,
                pools.join(" and "),
                entry.timeout_ms,
            )
        }
        Entry::Move(entry) => format!(
            "from {} to {}, to finish at {} s since the epoch",
            entry.from,
            entry.to,
            entry.finish_at.as_millis() / 1_000,
        ),
    }
}

/// Formats rows as lines with aligned columns.
pub(crate) fn table<const N: usize>(rows: &[[String; N]]) -> String {
    let rows: Vec<&[String]> = rows.iter().map(<[String; N]>::as_slice).collect();
    aligned(&rows, "")
}

fn aligned(rows: &[&[String]], indent: &str) -> String {
    let columns = rows.first().map_or(0, |row| row.len());
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max();
    let widths: Vec<usize> = (0..columns)
        .map(|column| width(column).unwrap_or(0))
        .collect();
    let mut text = String::new();
    for row in rows {
        let cells = row
            .iter()
            .zip(&widths)
            .map(|(cell, &width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        text.push_str(&format!("{indent}{}\n", line.trim_end()));
    }
    text
}

/// Formats any JSON value as lines of names and values. A list of objects becomes a table.
pub(crate) fn outline(value: &Value) -> String {
    let mut text = String::new();
    outline_into(value, "", &mut text);
    text
}

fn outline_into(value: &Value, indent: &str, text: &mut String) {
    let Value::Object(fields) = value else {
        text.push_str(&format!("{indent}{}\n", plain(value)));
        return;
    };
    let deeper = format!("{indent}  ");
    for (name, value) in fields {
        match value {
            Value::Array(items) if items.first().is_some_and(Value::is_object) => {
                text.push_str(&format!(
                    "{indent}{name}:\n{}",
                    object_table(items, &deeper)
                ));
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(plain).collect();
                text.push_str(&format!("{indent}{name}: {}\n", items.join(", ")));
            }
            Value::Object(_) => {
                text.push_str(&format!("{indent}{name}:\n"));
                outline_into(value, &deeper, text);
            }
            scalar => text.push_str(&format!("{indent}{name}: {}\n", plain(scalar))),
        }
    }
}

/// Formats objects as a table whose columns are the fields of the first object.
fn object_table(items: &[Value], indent: &str) -> String {
    let first = items.first().and_then(Value::as_object);
    let names: Vec<String> = first
        .into_iter()
        .flat_map(|item| item.keys().cloned())
        .collect();
    let row = |item: &Value| {
        names
            .iter()
            .map(|name| plain(&item[name.as_str()]))
            .collect()
    };
    let cells: Vec<Vec<String>> = items.iter().map(row).collect();
    let rows: Vec<&[String]> = std::iter::once(names.as_slice())
        .chain(cells.iter().map(Vec::as_slice))
        .collect();
    aligned(&rows, indent)
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}
