//! Tests of how the outcome of an edit is read from the log.

use bulrushtrestle_core::catalogue::Applied;
use bulrushtrestle_core::catalogue::entry::{Bounds, Entry, Pool, Service};
use bulrushtrestle_core::catalogue::message::Edit;
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::record::Record;
use uuid::Uuid;

use super::fold::Fold;
use super::log::Kept;

/// The edit that is followed.
const MINE: u128 = 1;

/// What became of the edit, as far as the log shows it.
#[derive(Debug, PartialEq)]
enum Seen {
    Nothing,
    Accepted(u64),
    Lost(u64),
}

fn edit(id: u128, replaces: Option<u64>) -> Edit {
    let entry = Entry::Pool(Pool {
        name: "m".to_owned(),
        service: Service::Model,
        bounds: Bounds::default(),
    });
    Edit::put(Uuid::from_u128(id), replaces.map(Offset), entry)
}

fn seen(fold: &mut Fold) -> Seen {
    match fold.outcome() {
        None => Seen::Nothing,
        Some((offset, Applied::Accepted)) => Seen::Accepted(offset.0),
        Some((offset, Applied::Conflict { .. })) => Seen::Lost(offset.0),
        Some(other) => panic!("an edit that is valid and new, yet {other:?}"),
    }
}

#[test]
fn the_first_record_of_an_edit_decides() {
    struct Case {
        name: &'static str,
        /// Id and replaced offset of each edit on the log.
        edits: &'static [(u128, Option<u64>)],
        seen: Seen,
    }
    let cases = [
        Case {
            name: "not there",
            edits: &[(2, None)],
            seen: Seen::Nothing,
        },
        Case {
            name: "alone",
            edits: &[(MINE, None)],
            seen: Seen::Accepted(0),
        },
        Case {
            name: "twice",
            edits: &[(MINE, None), (MINE, None)],
            seen: Seen::Accepted(0),
        },
        Case {
            name: "second",
            edits: &[(2, None), (MINE, None)],
            seen: Seen::Lost(1),
        },
        Case {
            name: "applied, replaced by another, and there once more",
            edits: &[(MINE, None), (2, Some(0)), (MINE, None)],
            seen: Seen::Accepted(0),
        },
    ];
    for Case {
        name,
        edits,
        seen: expected,
    } in cases
    {
        let mut fold = Fold::default();
        fold.follow(Uuid::from_u128(MINE));
        for (offset, &(id, replaces)) in (0..).zip(edits) {
            let record = Record::Edit(edit(id, replaces)).encode();
            let body = String::from_utf8(record).expect("records are JSON");
            let kept = Kept {
                offset: Offset(offset),
                body,
            };
            fold.take(&kept);
            fold.take(&kept);
        }
        assert_eq!(seen(&mut fold), expected, "{name}");
    }
}
