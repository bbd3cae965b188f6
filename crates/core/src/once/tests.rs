//! Tests of single decisions on claims and issued keys.

mod orders;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use uuid::Uuid;

use super::issue::Origin;
use super::message::{Step, StepKind};
use super::*;
use crate::output::Output;
use crate::prelude::*;
use crate::record::Record;

const START: Time = Time::from_millis(1_800_000_000_000);
const ORG: OrganisationId = OrganisationId(1);

fn key(millis: u64, number: u64) -> Key {
    let high = millis << 16 | 0x7000;
    Key::new(ORG, Uuid::from_u64_pair(high, 1 << 63 | number)).expect("it is of version 7")
}

fn step(kind: StepKind, key: Key, number: u64) -> Step {
    Step {
        kind,
        organisation: ORG,
        key: key.uuid(),
        number,
    }
}

/// Returns the context of a run of a router.
fn context(router: u32, incarnation: u64) -> Context {
    let rng = ChaCha8Rng::seed_from_u64(7);
    let mut cx = Context::new(RouterId(router), Incarnation(incarnation), rng);
    cx.now = START;
    cx
}

#[test]
fn the_order_of_the_log_decides_who_holds_a_key() {
    use StepKind::{Claim, Release};
    use StepOutcome::{Held, Lost, Released};
    const A: (RouterId, Incarnation) = (RouterId(1), Incarnation(1));
    const AGAIN: (RouterId, Incarnation) = (RouterId(1), Incarnation(2));
    const B: (RouterId, Incarnation) = (RouterId(2), Incarnation(1));
    struct Case {
        name: &'static str,
        steps: &'static [((RouterId, Incarnation), StepKind, u64, StepOutcome)],
        held: usize,
    }
    let cases = [
        Case {
            name: "the first claim holds, the second is lost for good",
            steps: &[
                (A, Claim, 0, Held),
                (B, Claim, 0, Lost),
                (A, Release, 0, Released),
            ],
            held: 0,
        },
        Case {
            name: "a claim after the release holds",
            steps: &[
                (A, Claim, 0, Held),
                (A, Release, 0, Released),
                (B, Claim, 0, Held),
            ],
            held: 1,
        },
        Case {
            name: "a record that is in the log twice has no effect the second time",
            steps: &[
                (A, Claim, 0, Held),
                (A, Claim, 0, Held),
                (B, Claim, 0, Lost),
            ],
            held: 1,
        },
        Case {
            name: "a late release does not undo a later claim of the same run",
            steps: &[
                (A, Claim, 0, Held),
                (A, Release, 0, Released),
                (A, Claim, 1, Held),
                (A, Release, 0, Released),
                (B, Claim, 0, Lost),
            ],
            held: 1,
        },
        Case {
            name: "only the holder releases, and a restarted router is not the holder",
            steps: &[
                (A, Claim, 0, Held),
                (B, Release, 0, Released),
                (AGAIN, Release, 0, Released),
                (AGAIN, Claim, 0, Lost),
            ],
            held: 1,
        },
        Case {
            name: "a release before its claim undoes nothing",
            steps: &[
                (A, Release, 0, Released),
                (A, Claim, 0, Held),
                (B, Claim, 0, Lost),
            ],
            held: 1,
        },
    ];
    for case in cases {
        let mut claims = Claims::new(10);
        let key = key(START.as_millis(), 1);
        for &(run, kind, number, outcome) in case.steps {
            let step = step(kind, key, number);
            assert_eq!(claims.apply(run, key, &step), outcome, "{}", case.name);
        }
        assert_eq!(claims.len(), case.held, "{}", case.name);
    }
}

#[test]
fn what_is_forgotten_is_refused() {
    let run = (RouterId(1), Incarnation(1));
    let mut claims = Claims::new(3);
    for millis in 1..=4 {
        let key = key(millis, 0);
        let step = step(StepKind::Claim, key, millis);
        assert_eq!(claims.apply(run, key, &step), StepOutcome::Held);
    }
    assert_eq!(claims.len(), 3);
    let oldest = key(1, 0);
    assert!(claims.is_too_old(&oldest));
    let again = step(StepKind::Claim, oldest, 9);
    assert_eq!(claims.apply(run, oldest, &again), StepOutcome::TooOld);
    claims.forget_until(Time::from_millis(9));
    claims.forget_until(Time::from_millis(2));
    assert!(claims.is_empty());
    assert!(
        claims.is_too_old(&key(9, 0)),
        "the horizon never moves back"
    );
}

#[test]
fn a_key_is_refused_once_a_claim_of_it_may_have_aged_out() {
    struct Case {
        name: &'static str,
        /// The offsets of the applied records, and their times in seconds after the start.
        applied: &'static [(u64, u64)],
        /// The first offset that the log still retains.
        first: u64,
        /// The time of the first record of the next read, in seconds after the start.
        next: Option<u64>,
        /// The time of the newest refused key in seconds after the start, without the margin.
        horizon: Option<u64>,
    }
    let cases = [
        Case {
            name: "everything is kept",
            applied: &[(0, 0), (1, 100)],
            first: 0,
            next: Some(200),
            horizon: None,
        },
        Case {
            name: "records that were applied have aged out",
            applied: &[(0, 0), (1, 100), (2, 200)],
            first: 1,
            next: None,
            horizon: Some(100),
        },
        Case {
            name: "everything that was applied has aged out, and nothing was missed",
            applied: &[(0, 0), (1, 100)],
            first: 2,
            next: None,
            horizon: Some(100),
        },
        Case {
            name: "records have aged out unread",
            applied: &[(0, 0), (1, 100)],
            first: 5,
            next: Some(300),
            horizon: Some(300),
        },
        Case {
            name: "a router that has just started reads what is left",
            applied: &[],
            first: 5,
            next: Some(300),
            horizon: Some(300),
        },
        Case {
            name: "a router that has just started finds nothing left",
            applied: &[],
            first: 5,
            next: None,
            horizon: Some(1_000),
        },
    ];
    for case in cases {
        let at = |seconds| START + Duration::from_secs(seconds);
        let mut cx = context(1, 1);
        let cfg = Config::default();
        let mut once = Once::new(&mut cx, cfg.clone());
        for &(offset, age) in case.applied {
            once.on_age(Offset(offset), at(age));
        }
        let applied = Offset(case.applied.len() as u64);
        once.on_read(at(1_000), Offset(case.first), applied, case.next.map(at));
        let horizon = case.horizon.map_or(Time(0), |age| at(age) + cfg.margin);
        let newest_refused = key(horizon.as_millis(), 0);
        let oldest_accepted = key(horizon.as_millis() + 1, 0);
        assert!(once.is_too_old(&newest_refused), "{}", case.name);
        assert!(!once.is_too_old(&oldest_accepted), "{}", case.name);
    }
}

#[test]
fn an_issued_key_is_known_to_its_issuer_alone() {
    let valid = Duration::from_secs(600);
    let mut here = Issuer::new(&mut context(1, 1), valid);
    let mut other = Issuer::new(&mut context(2, 1), valid);
    let restarted = Issuer::new(&mut context(1, 2), valid);
    let mut keys: Vec<Uuid> = (0..40_000).map(|_| here.issue(START, ORG)).collect();
    let first = Key::new(ORG, keys[0]).expect("it is of version 7");
    assert_eq!(first.time(), START);
    assert_eq!(here.origin(&first), Origin::Here);
    assert_eq!(other.origin(&first), Origin::Elsewhere);
    assert_eq!(restarted.origin(&first), Origin::Elsewhere);
    let stolen = Key::new(OrganisationId(2), keys[0]).expect("it is of version 7");
    assert_eq!(here.origin(&stolen), Origin::Elsewhere);
    let forged = Uuid::from_u64_pair(keys[0].as_u64_pair().0, keys[0].as_u64_pair().1 ^ 1);
    let forged = Key::new(ORG, forged).expect("it is of version 7");
    assert_eq!(here.origin(&forged), Origin::Elsewhere);
    assert_eq!(here.origin(&key(START.as_millis(), 1)), Origin::Caller);
    assert_eq!(
        other.mark_used(START, first),
        Ok(()),
        "`mark_used` does not check the origin"
    );
    assert_eq!(here.mark_used(START, first), Ok(()));
    assert_eq!(here.mark_used(START, first), Err(Reason::Duplicate));
    let late = START + valid;
    assert_eq!(here.mark_used(late, first), Err(Reason::KeyTooOld));
    keys.sort();
    keys.dedup();
    assert_eq!(keys.len(), 40_000, "no key is issued twice");
}

#[test]
fn claims_of_one_window_share_an_append() {
    let mut cx = context(1, 1);
    let mut once = Once::new(&mut cx, Config::default());
    let log = LogStatus {
        down: false,
        current: Some(START),
    };
    for id in 0..1_500 {
        let req = request(RequestId(id), key(START.as_millis(), id).uuid());
        let admission = once.admit(&mut cx, log, &req, uuid_of(&req), Time::MAX);
        assert_eq!(admission, Ok(Admission::Claiming));
        once.flush(&mut cx);
    }
    assert_eq!(once.pending(ORG), 1_500);
    assert_eq!(appends(&mut cx).len(), 0, "the window is open");
    cx.now = cx.now + Config::default().window;
    once.flush(&mut cx);
    let sent = appends(&mut cx);
    assert_eq!(sent.len(), 1, "one append is under way at a time");
    assert!(sent[0].1.len() <= crate::record::RECORD_BYTES_MAX);
    once.flush(&mut cx);
    assert_eq!(appends(&mut cx).len(), 0);
    once.on_append(cx.now, log, sent[0].0, false);
    once.flush(&mut cx);
    assert_eq!(appends(&mut cx).len(), 1, "the rest follows the answer");
}

fn request(id: RequestId, uuid: Uuid) -> Request {
    Request {
        id,
        organisation: ORG,
        pool: PoolId(1),
        class: None,
        repeat: Repeat::Once(uuid),
        deadline: None,
        prompt_tokens: 0,
        hint_tokens: None,
        fingerprint: Fingerprint(0),
        prefix: None,
        details: RequestDetails::default(),
    }
}

fn uuid_of(req: &Request) -> Uuid {
    match req.repeat {
        Repeat::Once(uuid) => uuid,
        Repeat::Allowed | Repeat::Unkeyed => Uuid::nil(),
    }
}

const fn log_status(now: Time) -> LogStatus {
    LogStatus {
        down: false,
        current: Some(now),
    }
}

/// Removes and returns the requested appends.
fn appends(cx: &mut Context) -> Vec<(AppendId, Vec<u8>)> {
    let appends = cx.out.drain(..).filter_map(|output| match output {
        Output::Append { id, bytes } => Some((id, bytes)),
        _ => None,
    });
    appends.collect()
}
