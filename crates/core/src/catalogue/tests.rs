//! Tests of the application of edits and of store records.

use std::collections::HashMap;

use assert_matches::assert_matches;
use uuid::Uuid;

use super::entry::{
    Bounds, DataCentre, DataCentreState, Entry, Kind, Limits, Organisation, Pool, PoolShare, Route,
    RouteRepeat, Service, Target,
};
use super::message::{Change, Edit, Stored};
use super::{Applied, Catalogue, ConfigurationOrder, Scope, derived_id};
use crate::key::{Offset, OrganisationId, PoolId};
use crate::request::Class;

fn pool(id: u128, replaces: Option<u64>, service: Service) -> Edit {
    let entry = Entry::Pool(Pool {
        name: "p".to_owned(),
        service,
        bounds: Bounds::default(),
        autoscale: None,
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
        gap_aim_ms: 0,
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

/// Guards against an order that has no effect because it is the first record of the store: its revision is 0, the least that
/// there is.
#[test]
fn the_first_record_of_a_store_overrides_a_default() {
    struct Case {
        name: &'static str,
        default_first: bool,
        revision: u64,
    }
    let case = |name, default_first, revision| Case {
        name,
        default_first,
        revision,
    };
    let cases = [
        case("the first record", true, 0),
        case("a later record", true, 7),
        case("the default comes late", false, 0),
    ];
    let data_centre = |state| {
        Entry::DataCentre(DataCentre {
            name: "d".to_owned(),
            region: "r".to_owned(),
            state,
        })
    };
    let scope = Scope::One(Kind::DataCentre, "d".to_owned());
    for Case {
        name,
        default_first,
        revision,
    } in cases
    {
        let mut catalogue = Catalogue::new();
        let revision = Offset(revision);
        let out = vec![data_centre(DataCentreState::Out)];
        if default_first {
            catalogue.set_default(data_centre(DataCentreState::In));
        }
        assert!(
            catalogue.replace(revision, &scope, out.clone()),
            "{name}: ordered"
        );
        catalogue.set_default(data_centre(DataCentreState::In));
        assert!(!catalogue.replace(revision, &scope, out), "{name}: again");
        let stored = catalogue.stored(Kind::DataCentre, "d");
        let entry = stored.and_then(|stored| stored.entry.clone());
        assert_eq!(entry, Some(data_centre(DataCentreState::Out)), "{name}");
    }
}

/// Returns two names whose entries have the same derived identity, in alphabetical order.
fn colliding_names(kind: Kind) -> (String, String) {
    let mut names: HashMap<Offset, String> = HashMap::new();
    for number in 0..1_000_000 {
        let name = format!("name-{number:06}");
        if let Some(other) = names.insert(derived_id(kind, &name), name.clone()) {
            return (other, name);
        }
    }
    panic!("no two of a million names share a hash of 31 bits");
}

/// Returns the hash of the only token of an organisation.
fn token_of(name: &str) -> [u8; 32] {
    let mut hash = [0; 32];
    hash[..name.len()].copy_from_slice(name.as_bytes());
    hash
}

fn organisation_with(name: &str, tokens: &[[u8; 32]]) -> Entry {
    let hex = |hash: &[u8; 32]| hash.iter().map(|byte| format!("{byte:02x}")).collect();
    Entry::Organisation(Organisation {
        name: name.to_owned(),
        owner: String::new(),
        class: Class::Interactive,
        weight: 1,
        limits: Limits {
            waiting: 1,
            running: 1,
            wait_ms: 1,
        },
        tokens_sha256: tokens.iter().map(hex).collect(),
    })
}

fn entry(kind: Kind, name: &str) -> Entry {
    match kind {
        Kind::Organisation => organisation_with(name, &[token_of(name)]),
        Kind::Pool => Entry::Pool(Pool {
            name: name.to_owned(),
            service: Service::Plain,
            bounds: Bounds::default(),
            autoscale: None,
        }),
        Kind::Target => Entry::Target(Target {
            name: name.to_owned(),
            vm: 0,
            address: "127.0.0.1:9000".to_owned(),
            data_centre: "a".to_owned(),
            pool: "p".to_owned(),
            version: "v1".to_owned(),
            slots: 1,
            checks_fence: false,
        }),
        Kind::DataCentre | Kind::Move | Kind::Route => unreachable!("not looked up by a key"),
    }
}

/// Returns the name of the entry that the key of `name` leads to, or `None` if there is no such entry.
fn found_by_key(catalogue: &Catalogue, kind: Kind, name: &str) -> Option<String> {
    match kind {
        Kind::Organisation => {
            let id = catalogue.organisation_by_token(&token_of(name))?;
            catalogue.organisation(id).map(|entry| entry.name.clone())
        }
        Kind::Pool => {
            let (id, _) = catalogue.pool_by_name(name)?;
            catalogue.pool(id).map(|entry| entry.name.clone())
        }
        Kind::Target => {
            let view = catalogue.target(catalogue.target_id(name)?)?;
            Some(view.entry.name.clone())
        }
        Kind::DataCentre | Kind::Move | Kind::Route => None,
    }
}

/// Returns the identity of an entry that is in the catalogue.
fn identity_of(catalogue: &Catalogue, kind: Kind, name: &str) -> Option<Offset> {
    let stored = catalogue.stored(kind, name)?;
    stored.entry.as_ref().map(|_| stored.created)
}

/// Guards against two names that share a hash: requests with the token of one organisation run under the name of the other,
/// and what is known of one target or pool is taken for the other.
#[test]
fn entries_whose_names_share_a_hash_are_told_apart() {
    /// A content of the store: whether it holds the first and the second name.
    type Content = (bool, bool);
    struct Case {
        name: &'static str,
        contents: &'static [Content],
    }
    let cases = [
        Case {
            name: "both at once",
            contents: &[(true, true)],
        },
        Case {
            name: "the first is added",
            contents: &[(false, true), (true, true)],
        },
        Case {
            name: "the second is added",
            contents: &[(true, false), (true, true)],
        },
        Case {
            name: "one is removed",
            contents: &[(true, true), (true, false)],
        },
        Case {
            name: "one takes the place of the other",
            contents: &[(true, false), (false, true)],
        },
        Case {
            name: "one goes and comes back",
            contents: &[(true, true), (false, true), (true, true)],
        },
    ];
    for kind in [Kind::Organisation, Kind::Pool, Kind::Target] {
        let (first, second) = colliding_names(kind);
        let scope = Scope::All(vec![kind]);
        for case in &cases {
            let mut catalogue = Catalogue::new();
            for (revision, &content) in (1..).zip(case.contents) {
                let names = [(content.0, &first), (content.1, &second)];
                let entries = names
                    .iter()
                    .filter(|(is_held, _)| *is_held)
                    .map(|(_, name)| entry(kind, name))
                    .collect();
                catalogue.replace(Offset(revision), &scope, entries);
                for (is_held, name) in names {
                    let found = found_by_key(&catalogue, kind, name);
                    let expected = is_held.then(|| name.clone());
                    assert_eq!(found, expected, "{kind:?}, {}: {content:?}", case.name);
                }
            }
        }
    }
}

/// Guards against routers of which each takes one identity for another entry than its peers do, because they have read other
/// parts of the history. An entry may have two identities, but no identity two entries.
#[test]
fn an_identity_means_the_same_entry_on_routers_with_different_histories() {
    for kind in [Kind::Organisation, Kind::Pool, Kind::Target] {
        let (first, second) = colliding_names(kind);
        let scope = Scope::All(vec![kind]);
        let both = || vec![entry(kind, &second), entry(kind, &first)];
        let started_late = {
            let mut catalogue = Catalogue::new();
            catalogue.replace(Offset(2), &scope, both());
            catalogue
        };
        for earlier in [&first, &second] {
            let mut catalogue = Catalogue::new();
            catalogue.replace(Offset(1), &scope, vec![entry(kind, earlier)]);
            let before = identity_of(&catalogue, kind, earlier);
            catalogue.replace(Offset(2), &scope, both());
            let ids = |name| {
                let of = |catalogue| identity_of(catalogue, kind, name).expect("it is there");
                [of(&catalogue), of(&started_late)]
            };
            let is_shared = ids(&first).iter().any(|id| ids(&second).contains(id));
            assert!(!is_shared, "{kind:?}: {earlier} was there first");
            let after = identity_of(&catalogue, kind, earlier);
            assert_eq!(
                before, after,
                "{kind:?}: requests in progress keep their organisation"
            );
        }
    }
}

/// Guards against entries of one kind that hide those of another whose names have the same hash.
#[test]
fn entries_of_two_kinds_may_share_an_identity() {
    let mut pools: HashMap<Offset, String> = HashMap::new();
    let mut pair = None;
    for number in 0..200_000 {
        let name = format!("name-{number:06}");
        pools.insert(derived_id(Kind::Pool, &name), name);
    }
    for number in 0..200_000 {
        let name = format!("name-{number:06}");
        if let Some(pool) = pools.get(&derived_id(Kind::Organisation, &name)) {
            pair = Some((name, pool.clone()));
        }
    }
    let (organisation, pool) = pair.expect("two of so many names share a hash of 31 bits");
    let scope = Scope::All(vec![Kind::Organisation, Kind::Pool]);
    let mut catalogue = Catalogue::new();
    let entries = vec![
        entry(Kind::Organisation, &organisation),
        entry(Kind::Pool, &pool),
    ];
    catalogue.replace(Offset(1), &scope, entries);
    let id = u32::try_from(derived_id(Kind::Pool, &pool).0).expect("31 bits");
    let found = catalogue.organisation(OrganisationId(id));
    assert_eq!(found.map(|entry| &entry.name), Some(&organisation));
    let found = catalogue.pool(PoolId(id));
    assert_eq!(found.map(|entry| &entry.name), Some(&pool));
}

/// Guards against a token that nobody holds any more, because one of two organisations that held it has dropped it.
#[test]
fn a_token_that_two_organisations_held_stays_with_the_one_that_keeps_it() {
    let scope = Scope::All(vec![Kind::Organisation]);
    let shared = token_of("shared");
    for (keeps, drops) in [("a", "b"), ("b", "a")] {
        let mut catalogue = Catalogue::new();
        let both = ["a", "b"].map(|name| organisation_with(name, &[shared]));
        catalogue.replace(Offset(1), &scope, both.to_vec());
        let entries = vec![
            organisation_with(keeps, &[shared]),
            organisation_with(drops, &[]),
        ];
        catalogue.replace(Offset(2), &scope, entries);
        let id = catalogue.organisation_by_token(&shared);
        let found = id.and_then(|id| catalogue.organisation(id));
        assert_eq!(found.map(|entry| entry.name.as_str()), Some(keeps));
    }
}

/// Guards against an older configuration that a restored store shows at a later offset, and against
/// refusing operators who go back to a lower version.
#[test]
fn a_restored_store_does_not_bring_back_an_older_configuration() {
    struct Case {
        era: u64,
        position: u64,
        version: u64,
        admitted: bool,
    }
    let case = |era, position, version, admitted| Case {
        era,
        position,
        version,
        admitted,
    };
    let cases = [
        case(0, 1, 5, true),
        case(0, 2, 4, true),
        case(0, 3, 6, true),
        case(1, 1, 5, false),
        case(1, 2, 6, true),
        case(1, 3, 3, true),
        case(3, 1, 2, false),
    ];
    let mut order = ConfigurationOrder::default();
    for case in cases {
        let Case {
            era,
            position,
            version,
            admitted,
        } = case;
        let revision = Offset::in_era(era, position).expect("in range");
        let was = order.admits(revision, version);
        assert_eq!(was, admitted, "version {version} at {revision}");
    }
}
