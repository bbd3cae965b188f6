//! Tests of the application of edits and of store records.

use assert_matches::assert_matches;
use uuid::Uuid;

use super::entry::{Bounds, Entry, Kind, Pool, PoolShare, Route, RouteRepeat, Service};
use super::message::{Change, Edit, Stored};
use super::{Applied, Catalogue, Scope, derived_id};
use crate::key::Offset;

fn pool(id: u128, replaces: Option<u64>, service: Service) -> Edit {
    let entry = Entry::Pool(Pool {
        name: "p".to_owned(),
        service,
        bounds: Bounds::default(),
    });
    Edit::put(Uuid::from_u128(id), replaces.map(Offset), entry)
}

fn remove(id: u128, replaces: Option<u64>) -> Edit {
    Edit {
        id: Uuid::from_u128(id),
        replaces: replaces.map(Offset),
        change: Change::Remove {
            kind: Kind::Pool,
            name: "p".to_owned(),
        },
        author: String::new(),
    }
}

struct Case {
    name: &'static str,
    edits: Vec<Edit>,
    accepted: &'static [u64],
}

#[test]
fn an_edit_applies_only_at_the_revision_it_replaces() {
    let cases = [
        Case {
            name: "a lost answer repeated",
            edits: vec![pool(1, None, Service::Model), pool(1, None, Service::Model)],
            accepted: &[0],
        },
        Case {
            name: "two operators racing",
            edits: vec![
                pool(1, None, Service::Model),
                pool(2, Some(0), Service::Plain),
                pool(3, Some(0), Service::Model),
            ],
            accepted: &[0, 1],
        },
        Case {
            name: "a repeated creation after the removal",
            edits: vec![
                pool(1, None, Service::Model),
                remove(2, Some(0)),
                pool(1, None, Service::Model),
            ],
            accepted: &[0, 1],
        },
        Case {
            name: "created again on purpose",
            edits: vec![
                pool(1, None, Service::Model),
                remove(2, Some(0)),
                pool(3, Some(1), Service::Plain),
            ],
            accepted: &[0, 1, 2],
        },
    ];
    for Case {
        name,
        edits,
        accepted,
    } in cases
    {
        let mut catalogue = Catalogue::new();
        let mut applied = Vec::new();
        for (offset, edit) in (0..).zip(&edits) {
            match catalogue.apply(Offset(offset), edit) {
                Applied::Accepted => applied.push(offset),
                Applied::Repeated | Applied::Conflict { .. } => {}
                Applied::Undecided => panic!("{name}: the log is complete"),
                Applied::Invalid(error) => panic!("{name}: {error}"),
            }
        }
        assert_eq!(applied, accepted, "{name}");
    }
}

#[test]
fn an_older_copy_never_replaces_a_newer_entry() {
    let mut catalogue = Catalogue::new();
    catalogue.apply(Offset(3), &pool(1, None, Service::Model));
    let old = catalogue
        .stored(Kind::Pool, "p")
        .expect("it was just created")
        .clone();
    assert_matches!(
        catalogue.apply(Offset(5), &pool(2, Some(3), Service::Plain)),
        Applied::Accepted
    );
    assert!(!catalogue.merge(&old));
    let (_, entry) = catalogue.pool_by_name("p").expect("it still exists");
    assert_eq!(entry.service, Service::Plain);
}

#[test]
fn a_router_that_starts_after_records_aged_out_reaches_the_same_state() {
    struct Case {
        name: &'static str,
        /// The edits and their offsets. Edits below offset 10 have aged out.
        edits: Vec<(u64, Edit)>,
        /// The entry is appended again before the record of this offset is read.
        copied_at: Option<u64>,
    }
    let cases = [
        Case {
            name: "the copy comes before the edit",
            edits: vec![
                (1, pool(1, None, Service::Model)),
                (20, pool(2, Some(1), Service::Plain)),
            ],
            copied_at: Some(15),
        },
        Case {
            name: "the copy comes after the edit",
            edits: vec![
                (1, pool(1, None, Service::Model)),
                (20, pool(2, Some(1), Service::Plain)),
            ],
            copied_at: Some(25),
        },
        Case {
            name: "a conflict before the copy",
            edits: vec![
                (1, pool(1, None, Service::Model)),
                (2, pool(2, Some(1), Service::Plain)),
                (20, pool(3, Some(1), Service::Model)),
            ],
            copied_at: Some(25),
        },
        Case {
            name: "a creation of an entry that exists but has aged out",
            edits: vec![
                (1, pool(1, None, Service::Model)),
                (20, pool(2, None, Service::Plain)),
            ],
            copied_at: Some(25),
        },
        Case {
            name: "a creation of an entry that never existed",
            edits: vec![
                (20, pool(1, None, Service::Model)),
                (21, pool(2, Some(20), Service::Plain)),
            ],
            copied_at: None,
        },
        Case {
            name: "a repeated creation of a removed entry",
            edits: vec![
                (1, pool(1, None, Service::Model)),
                (2, remove(2, Some(1))),
                (20, pool(1, None, Service::Model)),
            ],
            copied_at: Some(25),
        },
    ];
    for Case {
        name,
        edits,
        copied_at,
    } in cases
    {
        let mut old = Catalogue::new();
        let mut new = Catalogue::with_truncated_log();
        for offset in 0..30 {
            if copied_at == Some(offset) {
                let copy = old
                    .stored(Kind::Pool, "p")
                    .expect("the case creates it")
                    .clone();
                new.merge(&copy);
            }
            for (_, edit) in edits.iter().filter(|(at, _)| *at == offset) {
                old.apply(Offset(offset), edit);
                if offset >= 10 {
                    new.apply(Offset(offset), edit);
                }
            }
        }
        new.on_tail_reached();
        assert_eq!(
            new.stored(Kind::Pool, "p"),
            old.stored(Kind::Pool, "p"),
            "{name}"
        );
    }
}

#[test]
fn a_repeated_append_is_told_from_a_conflict() {
    let mut catalogue = Catalogue::new();
    let create = pool(1, None, Service::Model);
    assert_matches!(catalogue.apply(Offset(0), &create), Applied::Accepted);
    assert_matches!(catalogue.apply(Offset(1), &create), Applied::Repeated);
    let late = pool(2, None, Service::Plain);
    assert_matches!(
        catalogue.apply(Offset(2), &late),
        Applied::Conflict {
            current_revision: Some(Offset(0))
        }
    );
}

fn route(name: &str, prefix: &str, timeout_ms: u32) -> Entry {
    Entry::Route(Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: prefix.to_owned(),
        pools: vec![PoolShare {
            pool: "p".to_owned(),
            weight: 1,
        }],
        repeat: RouteRepeat::Once,
        streams: false,
        timeout_ms,
        objective_ms: 0,
        attempts_max: 1,
        anonymous: true,
    })
}

#[test]
fn the_longest_beginning_of_a_path_names_the_route() {
    let mut catalogue = Catalogue::new();
    let routes = vec![
        route("all", "/", 1),
        route("a", "/a/", 1),
        route("ab", "/a/b/", 1),
    ];
    catalogue.replace(Offset(1), &Scope::All(vec![Kind::Route]), routes);
    let cases = [
        ("/a/b/c", Some("ab")),
        ("/a/b/", Some("ab")),
        ("/a/b", Some("a")),
        ("/a", Some("all")),
        ("/", Some("all")),
        ("x", None),
    ];
    for (path, name) in cases {
        let found = catalogue.route("h", path).map(|route| route.name.as_str());
        assert_eq!(found, name, "{path}");
    }
    assert!(catalogue.route("other", "/a/").is_none());
}

#[test]
fn a_record_of_a_store_replaces_what_it_held_before_and_never_goes_back() {
    let scope = Scope::All(vec![Kind::Route]);
    let mut catalogue = Catalogue::new();
    assert!(catalogue.replace(
        Offset(4),
        &scope,
        vec![route("a", "/a/", 1), route("b", "/b/", 1)]
    ));
    let id = catalogue
        .stored(Kind::Route, "a")
        .map(|stored| stored.created);
    assert_eq!(id, Some(derived_id(Kind::Route, "a")));
    // The same content at a later revision is not a change.
    assert!(!catalogue.replace(
        Offset(5),
        &scope,
        vec![route("a", "/a/", 1), route("b", "/b/", 1)]
    ));
    assert!(catalogue.replace(Offset(7), &scope, vec![route("a", "/a/", 9)]));
    assert!(catalogue.route("h", "/b/").is_none());
    // An older copy, from a peer or a late read, has no effect.
    let stale = Stored {
        created: derived_id(Kind::Route, "b"),
        revision: Offset(6),
        edit: Uuid::nil(),
        entry: Some(route("b", "/b/", 1)),
        kind: Kind::Route,
        name: "b".to_owned(),
    };
    assert!(!catalogue.merge(&stale));
    assert!(!catalogue.replace(Offset(6), &scope, vec![route("a", "/a/", 1)]));
    let timeout = catalogue.route("h", "/a/").map(|route| route.timeout_ms);
    assert_eq!(timeout, Some(9));
}
