//! Tests of what a router knows of the store's topics.

use super::message::{Answer, FeedPart};
use super::{Config, Feed, Received, Record, Topic};
use crate::prelude::*;

const START: Time = Time::from_millis(1_000);
const PAUSE: Duration = Duration::from_millis(300);
const PEER: RouterId = RouterId(2);
const OTHER: RouterId = RouterId(3);

fn feed() -> Feed {
    Feed::new(Config::default())
}

fn after(ms: u64) -> Time {
    START + Duration::from_millis(ms)
}

/// A record whose serial number is its offset.
fn record(key: &str, offset: u64, says: u64) -> Record {
    Record {
        key: key.to_owned(),
        offset: Offset(offset),
        value: Some(format!("{says} {offset}").into_bytes()),
        digest: says,
    }
}

fn removal(key: &str, offset: u64) -> Record {
    Record {
        key: key.to_owned(),
        offset: Offset(offset),
        value: None,
        digest: 0,
    }
}

/// Lets `from` read records and the end of the topic of targets.
fn read(feed: &mut Feed, now: Time, records: Vec<Record>, end: u64) -> Vec<Record> {
    let new = feed.on_records(now, Topic::Targets, records);
    feed.on_complete(now, Topic::Targets, Offset(end), now);
    new
}

/// Asks at one time and returns the answer that `peer` gives at another.
fn question(feed: &mut Feed, peer: &mut Feed, asked: Time, answered: Time) -> Answer {
    feed.set_sources(vec![PEER], true);
    let (to, ask) = feed
        .ask(asked, PAUSE, std::iter::empty())
        .expect("a question is due");
    assert_eq!(to, PEER);
    peer.answer(answered, &ask)
}

/// Returns what an answer brought for the topic of targets.
fn targets(received: Vec<Received>) -> Received {
    let mut received = received.into_iter();
    let found = received.find(|it| it.topic == Topic::Targets);
    found.expect("every answer covers all topics")
}

fn keys(records: &[Record]) -> Vec<(&str, u64)> {
    let pairs = records.iter();
    pairs.map(|it| (it.key.as_str(), it.offset.0)).collect()
}

#[test]
fn an_older_record_never_replaces_a_newer_one() {
    struct Case {
        name: &'static str,
        held: Vec<Record>,
        arrives: Record,
        is_new: bool,
    }
    let case = |name, held, arrives, is_new| Case {
        name,
        held,
        arrives,
        is_new,
    };
    let cases = [
        case("first", vec![], record("a", 4, 1), true),
        case("newer", vec![record("a", 4, 1)], record("a", 5, 2), true),
        case(
            "serial number",
            vec![record("a", 4, 1)],
            record("a", 5, 1),
            true,
        ),
        case("again", vec![record("a", 4, 1)], record("a", 4, 1), false),
        case("older", vec![record("a", 4, 1)], record("a", 3, 2), false),
        case(
            "other key",
            vec![record("a", 4, 1)],
            record("b", 3, 2),
            true,
        ),
        case("removal", vec![record("a", 4, 1)], removal("a", 5), true),
        case(
            "older removal",
            vec![record("a", 4, 1)],
            removal("a", 3),
            false,
        ),
        case(
            "before a removal",
            vec![removal("a", 4)],
            record("a", 3, 1),
            false,
        ),
        case(
            "after a removal",
            vec![removal("a", 4)],
            record("a", 5, 1),
            true,
        ),
    ];
    for Case {
        name,
        held,
        arrives,
        is_new,
    } in cases
    {
        let mut feed = feed();
        read(&mut feed, START, held, 5);
        let new = read(&mut feed, after(1), vec![arrives], 6);
        assert_eq!(!new.is_empty(), is_new, "{name}");
    }
}

#[test]
fn a_key_that_is_missing_from_all_records_was_removed() {
    let mut feed = feed();
    read(
        &mut feed,
        START,
        vec![record("a", 1, 1), record("b", 2, 1)],
        3,
    );
    // `c` was written between two pages, after the topic's end was read.
    read(&mut feed, after(1), vec![record("c", 7, 1)], 8);
    let new = feed.on_all_records(after(2), Topic::Targets, vec![record("b", 2, 1)], Offset(6));
    assert_eq!(keys(&new), [("a", 5)]);
    assert_eq!(new[0].value, None);
}

#[test]
fn an_answer_brings_what_changed_and_removals_but_no_serial_numbers() {
    let (mut feed, mut peer) = (feed(), feed());
    read(
        &mut peer,
        START,
        vec![record("a", 0, 1), record("b", 1, 1)],
        2,
    );
    let answer = question(&mut feed, &mut peer, after(10), after(10));
    let received = targets(feed.on_answer(after(11), PEER, answer));
    assert_eq!(keys(&received.records), [("a", 0), ("b", 1)]);
    assert_eq!(received.complete, Some((Offset(2), START)));

    let later = vec![record("a", 2, 1), removal("b", 3), record("c", 4, 1)];
    read(&mut peer, after(400), later, 5);
    let answer = question(&mut feed, &mut peer, after(500), after(500));
    let received = targets(feed.on_answer(after(501), PEER, answer));
    assert_eq!(keys(&received.records), [("b", 3), ("c", 4)]);
    assert_eq!(received.complete, Some((Offset(5), after(400))));
}

#[test]
fn the_newest_record_of_a_named_target_is_passed_on() {
    let (mut feed, mut peer) = (feed(), feed());
    read(&mut peer, START, vec![record("a", 0, 1)], 1);
    let answer = question(&mut feed, &mut peer, after(10), after(10));
    feed.on_answer(after(11), PEER, answer);
    read(&mut peer, after(400), vec![record("a", 1, 1)], 2);
    let named = ["a".to_owned(), "unknown".to_owned()].into_iter();
    let (_, ask) = feed.ask(after(500), PAUSE, named).expect("it is due");
    let answer = peer.answer(after(500), &ask);
    let received = targets(feed.on_answer(after(501), PEER, answer));
    assert_eq!(keys(&received.records), [("a", 1)]);
}

#[test]
fn an_answer_is_dated_by_its_question() {
    let (mut feed, mut peer) = (feed(), feed());
    read(&mut peer, START, vec![record("a", 0, 1)], 1);
    // The answer was given late, and was on its way for long.
    let answer = question(&mut feed, &mut peer, after(100), after(600));
    let received = targets(feed.on_answer(after(900), PEER, answer));
    // The peer's knowledge was 600 ms old after the question was sent.
    assert_eq!(
        received.complete,
        Some((Offset(1), START - Duration::from_millis(500)))
    );
    assert_eq!(feed.fed_until(Topic::Targets), Some(after(700)));
}

#[test]
fn an_answer_that_was_not_asked_for_proves_nothing() {
    let (mut feed, mut peer) = (feed(), feed());
    read(&mut peer, START, vec![record("a", 0, 1)], 1);
    let answer = question(&mut feed, &mut peer, after(10), after(10));
    let other = feed.on_answer(after(11), OTHER, answer.clone());
    assert_eq!(other, [], "from another router");
    assert_ne!(feed.on_answer(after(11), PEER, answer.clone()), []);
    assert_eq!(
        feed.on_answer(after(12), PEER, answer),
        [],
        "the second copy"
    );
}

#[test]
fn a_peer_that_knows_less_shows_that_nothing_is_missing() {
    let mut feed = feed();
    read(
        &mut feed,
        START,
        vec![record("a", 0, 1), record("b", 1, 1)],
        2,
    );
    // The peer read the topic later, and it had not grown; or from a copy that lags, and it was shorter.
    for (at, end) in [(50, 2), (60, 1)] {
        let mut peer = self::feed();
        read(&mut peer, after(at), vec![], end);
        let asked = after(100 * at);
        let answer = question(&mut feed, &mut peer, asked, asked);
        let received = targets(feed.on_answer(asked, PEER, answer));
        assert_eq!(received.complete, Some((Offset(2), after(at))), "{at}");
    }
}

#[test]
fn records_that_do_not_fit_into_one_answer_come_in_several() {
    let (mut feed, mut peer) = (feed(), feed());
    let large = |key: &str, offset| Record {
        value: Some(vec![7; 30_000]),
        ..record(key, offset, offset)
    };
    let all: Vec<Record> = (0..5).map(|at| large(&format!("k{at}"), at)).collect();
    read(&mut peer, START, all, 5);
    let mut got = Vec::new();
    for round in 0..3 {
        let now = after(10 + round);
        let answer = question(&mut feed, &mut peer, now, now);
        let received = targets(feed.on_answer(now, PEER, answer));
        got.extend(received.records.iter().map(|it| it.offset.0));
        let is_last = round == 2;
        assert_eq!(received.complete.is_some(), is_last, "round {round}");
    }
    assert_eq!(got, [0, 1, 2, 3, 4]);
}

#[test]
fn what_does_not_fit_or_was_forgotten_is_left_to_the_store() {
    let (mut feed, mut peer) = (feed(), feed());
    let huge = Record {
        value: Some(vec![7; 600_000]),
        ..record("a", 0, 1)
    };
    read(&mut peer, START, vec![huge], 1);
    let answer = question(&mut feed, &mut peer, after(10), after(10));
    let received = targets(feed.on_answer(after(11), PEER, answer));
    assert_eq!((received.records.len(), received.complete), (0, None));
    assert!(feed.fed_until(Topic::Targets) <= Some(after(10)));

    // Removals are forgotten after a minute; whoever has the key still has to read the store.
    let (mut feed, mut peer) = (self::feed(), self::feed());
    read(&mut feed, START, vec![record("a", 1, 1)], 2);
    read(
        &mut peer,
        START,
        vec![record("a", 1, 1), removal("a", 4)],
        5,
    );
    read(&mut peer, after(61_000), vec![record("b", 5, 1)], 6);
    let answer = question(&mut feed, &mut peer, after(61_001), after(61_001));
    let received = targets(feed.on_answer(after(61_002), PEER, answer));
    assert_eq!((received.records.len(), received.complete), (0, None));
}

#[test]
fn a_router_reads_the_store_itself_when_its_sources_are_silent_old_or_without_success() {
    struct Case {
        name: &'static str,
        /// The age of the source's knowledge when it answers, if it answers.
        age_ms: Option<u64>,
        has_failed: bool,
        fed_for_ms: u64,
    }
    let case = |name, age_ms, has_failed, fed_for_ms| Case {
        name,
        age_ms,
        has_failed,
        fed_for_ms,
    };
    let cases = [
        case("recent", Some(0), false, 900),
        case("older", Some(500), false, 700),
        case("too old", Some(1_300), false, 0),
        case("silent", None, false, 0),
        case("without success", Some(0), true, 0),
    ];
    for Case {
        name,
        age_ms,
        has_failed,
        fed_for_ms,
    } in cases
    {
        let (mut feed, mut peer) = (feed(), feed());
        let asked = after(5_000);
        let age = Duration::from_millis(age_ms.unwrap_or(0));
        read(&mut peer, asked - age, vec![record("a", 0, 1)], 1);
        if has_failed {
            peer.on_failed(Topic::Targets);
        }
        let answer = question(&mut feed, &mut peer, asked, asked);
        if age_ms.is_some() {
            feed.on_answer(asked, PEER, answer);
        }
        let until = feed.fed_until(Topic::Targets).expect("it has a source");
        let fed_for = until.max(asked).since(asked);
        assert_eq!(fed_for, Duration::from_millis(fed_for_ms), "{name}");
    }
}

#[test]
fn a_silent_source_is_passed_over() {
    let (mut feed, mut peer) = (feed(), feed());
    feed.set_sources(vec![PEER, OTHER], true);
    let mut asked = Vec::new();
    for round in 0..6 {
        let now = after(round * 300);
        let (to, ask) = feed.ask(now, PAUSE, std::iter::empty()).expect("it is due");
        asked.push(to);
        if to == OTHER {
            let answer = peer.answer(now, &ask);
            feed.on_answer(now, OTHER, answer);
        }
    }
    assert_eq!(asked, [PEER, OTHER, OTHER, OTHER, OTHER, OTHER]);
}

#[test]
fn parts_survive_the_codec() {
    let (mut feed, mut peer) = (feed(), feed());
    read(
        &mut peer,
        START,
        vec![record("a", 0, 1), removal("b", 1)],
        2,
    );
    let answer = FeedPart::Answer(question(&mut feed, &mut peer, START, START));
    let bytes = postcard::to_stdvec(&answer).expect("it is encoded");
    let decoded: FeedPart = postcard::from_bytes(&bytes).expect("it is decoded");
    assert_eq!(decoded, answer);
}

fn at(era: u64, position: u64) -> Offset {
    Offset::in_era(era, position).expect("in range")
}

fn of_era(era: u64, record: Record) -> Record {
    Record {
        offset: at(era, record.offset.0),
        ..record
    }
}

/// A record whose value does not depend on its offset, as operators and targets write it again.
fn written(key: &str, offset: Offset, says: u64) -> Record {
    Record {
        key: key.to_owned(),
        offset,
        value: Some(vec![u8::try_from(says).expect("small")]),
        digest: says,
    }
}

/// Reads the newest records of a topic in an era, as of `now`.
fn read_all(
    feed: &mut Feed,
    now: Time,
    topic: Topic,
    records: Vec<Record>,
    end: Offset,
) -> Vec<Record> {
    feed.raise_era(end.era());
    let new = feed.on_all_records(now, topic, records, end);
    feed.on_complete(now, topic, end, now);
    new
}

/// Guards against four faults after a restore: an operator's record that is taken for an old one
/// because of its offset, an outdated record that takes effect, a key that is removed although its
/// record is written again, and one that stays although it is not.
#[test]
fn what_was_known_stays_in_force_until_a_new_era_has_settled() {
    struct Case {
        name: &'static str,
        topic: Topic,
        /// What the copy shows in era 1. In era 0 the key `a` said 1 at offset 9.
        copy: Vec<Record>,
        /// What is written 1 s after the first read.
        later: Vec<Record>,
        /// What takes effect at the first read, and at the second.
        applied: [Vec<u64>; 2],
        again: usize,
        lost: usize,
        in_force: usize,
    }
    let case = |name, topic, copy, later, applied, (again, lost, in_force)| Case {
        name,
        topic,
        copy,
        later,
        applied,
        again,
        lost,
        in_force,
    };
    let (operators, targets, routers) = (Topic::Operators, Topic::Targets, Topic::Routers);
    let none = || [vec![], vec![]];
    let cases = [
        case(
            "written again",
            operators,
            vec![],
            vec![written("a", at(1, 2), 1)],
            none(),
            (1, 0, 0),
        ),
        case(
            "still there",
            operators,
            vec![written("a", at(1, 9), 1)],
            vec![],
            none(),
            (1, 0, 0),
        ),
        case(
            "written twice",
            operators,
            vec![written("a", at(1, 2), 1)],
            vec![written("a", at(1, 3), 1)],
            none(),
            (2, 0, 0),
        ),
        case(
            "new",
            operators,
            vec![],
            vec![written("a", at(1, 10), 2)],
            [vec![], vec![2]],
            (0, 0, 0),
        ),
        case(
            "outdated, then written again",
            operators,
            vec![written("a", at(1, 2), 3)],
            vec![written("a", at(1, 3), 1)],
            none(),
            (1, 0, 0),
        ),
        case(
            "outdated, not written again",
            operators,
            vec![written("a", at(1, 2), 3)],
            vec![],
            none(),
            (0, 0, 1),
        ),
        case("lost", operators, vec![], vec![], none(), (0, 1, 0)),
        case(
            "a target's, lost",
            targets,
            vec![],
            vec![],
            none(),
            (0, 1, 0),
        ),
        case(
            "a target's, outdated",
            targets,
            vec![written("a", at(1, 2), 3)],
            vec![],
            [vec![3], vec![]],
            (0, 0, 0),
        ),
        case(
            "a router's, lost",
            routers,
            vec![],
            vec![],
            none(),
            (0, 1, 0),
        ),
    ];
    for case in cases {
        let (name, topic) = (case.name, case.topic);
        let mut feed = feed();
        read_all(
            &mut feed,
            after(0),
            topic,
            vec![written("a", at(0, 9), 1)],
            at(0, 10),
        );
        let says =
            |records: Vec<Record>| -> Vec<u64> { records.iter().map(|it| it.digest).collect() };
        let first = says(read_all(
            &mut feed,
            after(1_000),
            topic,
            case.copy,
            at(1, 3),
        ));
        let second = says(feed.on_records(after(2_000), topic, case.later));
        feed.on_complete(after(2_900), topic, at(1, 11), after(2_900));
        let early = feed.take_restored(topic);
        assert_eq!(
            (early.lost.len(), early.in_force.len()),
            (0, 0),
            "{name}: too early"
        );
        feed.on_complete(after(3_000), topic, at(1, 11), after(3_000));
        let settled = feed.take_restored(topic);
        assert_eq!([first, second], case.applied, "{name}");
        assert_eq!(early.again.len(), case.again, "{name}: again");
        assert_eq!(settled.lost.len(), case.lost, "{name}: lost");
        assert_eq!(settled.in_force.len(), case.in_force, "{name}: in force");
        // Whatever comes later is newer than all of this.
        let next = written("a", at(1, 11), 7);
        assert_eq!(
            feed.on_records(after(3_100), topic, vec![next]).len(),
            1,
            "{name}"
        );
    }
}

/// Guards against using what a peer or a late answer says of an earlier era, and against a member that
/// is fed and lacks records of the new one.
#[test]
fn an_answer_of_an_earlier_era_shows_nothing() {
    let (mut asker, mut peer) = (feed(), feed());
    let held = vec![record("a", 4, 1), record("gone", 5, 1)];
    read(&mut asker, after(0), held.clone(), 6);
    read(&mut peer, after(0), held, 6);

    // The asker has read the new era, the peer has not.
    let new = vec![of_era(1, record("a", 2, 1))];
    read_all(
        &mut asker,
        after(100),
        Topic::Targets,
        new.clone(),
        at(1, 3),
    );
    let answer = question(&mut asker, &mut peer, after(200), after(200));
    let received = targets(asker.on_answer(after(210), PEER, answer));
    assert_eq!((received.records.len(), received.complete), (0, None));
    let late = vec![record("b", 6, 1)];
    assert!(
        asker
            .on_records(after(220), Topic::Targets, late)
            .is_empty()
    );
    assert!(!asker.on_complete(after(220), Topic::Targets, Offset(7), after(220)));

    // A member that knows only the earlier era gets all records of the new one, changed or not, and
    // removes what is lost by itself.
    let mut member = feed();
    read(
        &mut member,
        after(0),
        vec![record("a", 4, 1), record("gone", 5, 1)],
        6,
    );
    let mut brought = Vec::new();
    let mut lost = 0;
    for ms in [300, 1_300, 2_400] {
        asker.on_complete(after(ms), Topic::Targets, at(1, 3), after(ms));
        let answer = question(&mut member, &mut asker, after(ms), after(ms));
        let part = &answer.topics[Topic::Targets.index()];
        member.raise_era(part.known.era());
        let received = targets(member.on_answer(after(ms + 10), PEER, answer));
        assert!(received.complete.is_some(), "{ms}");
        brought.extend(received.records);
        lost += member.take_restored(Topic::Targets).lost.len();
    }
    assert_eq!(keys(&brought), [("a", at(1, 2).0)]);
    assert_eq!(lost, 1, "the key without a record");
}

/// Guards against writing again what is not lost, and against any such call where no era is stated.
#[test]
fn only_what_the_present_era_lacks_is_missing() {
    let mut feed = feed();
    let topic = Topic::Routers;
    assert!(!feed.lacks(topic, "me"), "nothing read");
    read_all(&mut feed, after(0), topic, vec![], at(0, 0));
    assert!(!feed.lacks(topic, "me"), "era 0");
    read_all(
        &mut feed,
        after(10),
        topic,
        vec![written("me", at(1, 1), 1)],
        at(1, 2),
    );
    assert!(!feed.lacks(topic, "me"), "in the copy");
    feed.raise_era(2);
    assert!(!feed.lacks(topic, "me"), "not read yet");
    read_all(&mut feed, after(20), topic, vec![], at(2, 0));
    assert!(feed.lacks(topic, "me"), "lost");
    feed.on_records(after(30), topic, vec![written("me", at(2, 0), 1)]);
    assert!(!feed.lacks(topic, "me"), "written again");
}
