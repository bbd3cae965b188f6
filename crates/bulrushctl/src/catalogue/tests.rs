//! Tests that the outcome of an edit is read from the log correctly.

use bulrushtrestle_core::catalogue::Applied;
use bulrushtrestle_core::catalogue::entry::{Bounds, Entry, Pool, Service};
use bulrushtrestle_core::catalogue::message::Edit;
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::record::Record;
use uuid::Uuid;

use super::fold::Fold;
use super::log::LogRecord;

/// The id of the tracked edit.
const TRACKED: u128 = 1;

/// The outcome of the tracked edit, with the offset that decided it.
#[derive(Debug, PartialEq)]
enum Outcome {
    Unknown,
    Accepted(u64),
    Lost(u64),
}

fn edit(id: u128, replaces: Option<u64>) -> Edit {
    let entry = Entry::Pool(Pool {
        name: "m".to_owned(),
        service: Service::Model,
        bounds: Bounds::default(),
        autoscale: None,
    });
    Edit::put(Uuid::from_u128(id), replaces.map(Offset), entry)
}

fn outcome(fold: &mut Fold) -> Outcome {
    match fold.take_outcome() {
        None => Outcome::Unknown,
        Some((offset, Applied::Accepted)) => Outcome::Accepted(offset.0),
        Some((offset, Applied::Conflict { .. })) => Outcome::Lost(offset.0),
        Some(other) => panic!("unexpected outcome of a valid new edit: {other:?}"),
    }
}

#[test]
fn the_first_record_of_an_edit_decides() {
    struct Case {
        name: &'static str,
        /// Id and replaced offset of each edit on the log.
        edits: &'static [(u128, Option<u64>)],
        expected: Outcome,
    }
    let cases = [
        Case {
            name: "not there",
            edits: &[(2, None)],
            expected: Outcome::Unknown,
        },
        Case {
            name: "alone",
            edits: &[(TRACKED, None)],
            expected: Outcome::Accepted(0),
        },
        Case {
            name: "twice",
            edits: &[(TRACKED, None), (TRACKED, None)],
            expected: Outcome::Accepted(0),
        },
        Case {
            name: "second",
            edits: &[(2, None), (TRACKED, None)],
            expected: Outcome::Lost(1),
        },
        Case {
            name: "applied, replaced by another, and there once more",
            edits: &[(TRACKED, None), (2, Some(0)), (TRACKED, None)],
            expected: Outcome::Accepted(0),
        },
    ];
    for Case {
        name,
        edits,
        expected,
    } in cases
    {
        let mut fold = Fold::default();
        fold.track(Uuid::from_u128(TRACKED));
        for (offset, &(id, replaces)) in (0..).zip(edits) {
            let encoded = Record::Edit(edit(id, replaces)).encode();
            let body = String::from_utf8(encoded).expect("records are JSON");
            let record = LogRecord {
                offset: Offset(offset),
                body,
            };
            fold.apply_record(&record);
            fold.apply_record(&record);
        }
        assert_eq!(outcome(&mut fold), expected, "{name}");
    }
}
