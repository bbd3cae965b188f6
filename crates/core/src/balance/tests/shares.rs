//! Tests of the shares of organisations.

use super::*;
use crate::balance::{Service, ServiceWindow, Share};

/// The organisation whose requests arrive at this router.
const OWN: OrganisationId = OrganisationId(1);

/// Returns a claim of an organisation with these tokens asked for and sent.
fn service(organisation: u32, asked: u32, sent: u32) -> ClaimRow {
    ClaimRow {
        asked,
        sent,
        unserved: u32::from(asked > sent),
        ..claim(organisation, u64::MAX, 0)
    }
}

/// Returns a router that knows these claims of a peer and has these of its own.
fn router(peer: Vec<ClaimRow>, own: &[ClaimRow], weights: &[(u32, u32)]) -> Balance {
    let mut balance = Balance::new(Config::default());
    let report = report_of(Figures {
        claims: peer,
        ..Figures::default()
    });
    balance.on_part(NOW, RouterId(2), &report);
    update(&mut balance, NOW, own, weights);
    balance
}

fn update(balance: &mut Balance, now: Time, own: &[ClaimRow], weights: &[(u32, u32)]) {
    balance.update_shares(now, own, |organisation| {
        let mut listed = weights.iter();
        listed
            .find(|(id, _)| *id == organisation.0)
            .map_or(1, |(_, weight)| *weight)
    });
}

/// Guards against shares that hold back an organisation while nobody is short, or one that asks for
/// no more than its share, and against an organisation that is short because its router may send
/// little.
#[test]
fn those_that_exceed_their_share_are_limited_while_another_is_short() {
    struct Case {
        name: &'static str,
        peer: Vec<ClaimRow>,
        own: ClaimRow,
        weights: &'static [(u32, u32)],
        share: Share,
        /// The tokens that this router may send in a window.
        limit: Option<u64>,
    }
    let cases = [
        Case {
            name: "nobody else",
            peer: Vec::new(),
            own: service(1, 9_000, 5_000),
            weights: &[],
            share: Share::Open,
            limit: None,
        },
        Case {
            name: "all get what they ask for",
            peer: vec![service(2, 500, 500)],
            own: service(1, 9_000, 9_000),
            weights: &[],
            share: Share::Open,
            limit: None,
        },
        Case {
            name: "the other gets a little less than its share",
            peer: vec![service(2, 9_000, 4_000)],
            own: service(1, 9_000, 5_000),
            weights: &[],
            share: Share::Open,
            limit: None,
        },
        Case {
            name: "the other is short",
            peer: vec![service(2, 9_000, 1_000)],
            own: service(1, 9_000, 7_000),
            weights: &[],
            share: Share::Credit,
            limit: Some(4_000),
        },
        Case {
            name: "the other is short, and most requests arrive at the peer",
            peer: vec![service(2, 9_000, 1_000), service(1, 6_000, 5_000)],
            own: service(1, 3_000, 2_000),
            weights: &[],
            share: Share::Credit,
            limit: Some(4_000 / 3),
        },
        Case {
            name: "another one exceeds its share, this one asks for less",
            peer: vec![service(2, 9_000, 1_000), service(3, 9_000, 7_000)],
            own: service(1, 1_000, 1_000),
            weights: &[],
            share: Share::Open,
            limit: None,
        },
        Case {
            name: "it is short itself",
            peer: vec![service(2, 9_000, 7_000)],
            own: service(1, 9_000, 1_000),
            weights: &[],
            share: Share::Short,
            limit: None,
        },
        Case {
            name: "the other asks for little, and gets less than that",
            peer: vec![service(2, 1_000, 400)],
            own: service(1, 9_000, 5_600),
            weights: &[],
            share: Share::Credit,
            limit: Some(5_000),
        },
        Case {
            name: "the other is due little by its weight",
            peer: vec![service(2, 9_000, 2_000)],
            own: service(1, 9_000, 6_000),
            weights: &[(1, 3)],
            share: Share::Open,
            limit: None,
        },
        Case {
            name: "the other is short by its weight",
            peer: vec![service(2, 9_000, 4_000)],
            own: service(1, 9_000, 4_000),
            weights: &[(2, 3)],
            share: Share::Credit,
            limit: Some(2_000),
        },
        Case {
            name: "what the other asks for is not held back by capacity",
            peer: vec![ClaimRow {
                unserved: 0,
                ..service(2, 9_000, 1_000)
            }],
            own: service(1, 9_000, 7_000),
            weights: &[],
            share: Share::Open,
            limit: None,
        },
    ];
    for case in cases {
        let mut balance = router(case.peer, &[case.own], case.weights);
        assert_eq!(balance.share(NOW, POOL, OWN), case.share, "{}", case.name);
        let standing = balance.standing(POOL, OWN);
        assert_eq!(standing.share, case.limit, "{}", case.name);
    }
}

/// Pattern: an organisation is short for a while, and recovers.
#[test]
fn credit_is_earned_by_time_and_an_organisation_is_short_until_it_has_recovered() {
    let short = vec![service(2, 40_000, 2_000)];
    let own = [service(1, 40_000, 18_000)];
    let mut balance = router(short, &own, &[]);
    // The share is 10,000 tokens in two seconds, of which a tenth is kept.
    balance.spend_share(POOL, OWN, 1_001);
    assert_eq!(balance.share(NOW, POOL, OWN), Share::Exhausted);
    let soon = NOW + Duration::from_millis(1);
    assert_eq!(balance.share(soon, POOL, OWN), Share::Credit);
    // A large request overdraws the credit, which the time that follows makes up for.
    balance.spend_share(POOL, OWN, 5_000);
    let earlier = soon + Duration::from_millis(990);
    assert_eq!(balance.share(earlier, POOL, OWN), Share::Exhausted);
    let later = soon + Duration::from_millis(1_010);
    assert_eq!(balance.share(later, POOL, OWN), Share::Credit);
    // An organisation that is nearly at its share is short only if it was before.
    for (sent, share) in [
        (8_000, Share::Credit),
        (9_800, Share::Open),
        (8_000, Share::Open),
    ] {
        let report = report_of(Figures {
            claims: vec![service(2, 40_000, sent)],
            ..Figures::default()
        });
        balance.on_part(later, RouterId(2), &report);
        let own = [service(1, 40_000, 20_000 - sent)];
        update(&mut balance, later, &own, &[]);
        let is_limited = balance.standing(POOL, OWN).share.is_some();
        assert_eq!(is_limited, share == Share::Credit, "{sent}");
    }
    // Reports that are too old count no longer.
    let report = report_of(Figures {
        claims: vec![service(2, 40_000, 2_000)],
        ..Figures::default()
    });
    balance.on_part(later, RouterId(2), &report);
    update(&mut balance, later + Duration::from_secs(1), &own, &[]);
    assert_eq!(balance.level(POOL), None);
}

/// Guards against a demand that is inferred from what was granted: what is refused counts as well.
#[test]
fn service_counts_within_the_window_whether_or_not_it_was_granted() {
    let key = (POOL, OWN);
    let mut window = ServiceWindow::default();
    let at = |millis| NOW + Duration::from_millis(millis);
    window.on_asked(at(0), key, 700);
    window.on_refused(at(0), key);
    window.on_asked(at(1_000), key, 200);
    window.on_sent(at(1_000), key, 200);
    window.on_asked(at(1_500), key, 90);
    window.on_sent(at(1_500), key, 90);
    window.on_broken(at(1_600), key, 90);
    let service = |asked, sent, refused| Service {
        asked,
        sent,
        refused,
    };
    for (millis, expected) in [
        (1_900, service(990, 200, 1)),
        (2_000, service(290, 200, 0)),
        (3_000, service(90, 0, 0)),
        (3_500, service(0, 0, 0)),
        (9_000, service(0, 0, 0)),
    ] {
        window.advance(at(millis));
        assert_eq!(window.of(key), expected, "after {millis} ms");
    }
    assert_eq!(window.keys().count(), 0);
}

/// Guards against small requests that fill targets so that a large one of an organisation that is
/// short never fits, and against requests beyond a share that use up the room of others.
#[test]
fn targets_keep_room_for_those_that_are_short() {
    let mut balance = Balance::new(Config::default());
    let most = u32::try_from(balance.cfg().max_unread_tokens()).expect("small");
    let large = [part(1, most / 4)];
    let of_short = RequestProfile {
        is_short: true,
        ..profile(&large, false)
    };
    balance.on_dispatch(NOW, TargetId(1), most, &[]);
    assert_eq!(choose(&balance, profile(&large, false), 1), None);
    assert_eq!(choose(&balance, of_short, 1), Some(TargetId(1)));
    balance.on_dispatch(NOW, TargetId(1), 1, &[]);
    assert_eq!(choose(&balance, of_short, 1), None);

    let balance = Balance::new(Config::default());
    let spare = |unread: u32, requests, slots, to_read| {
        let mut loaded = candidates(&balance, 1)[0];
        loaded.load = Load {
            unread: u64::from(unread),
            requests,
        };
        loaded.candidate.slots = slots;
        let choice = Choice {
            target: TargetId(1),
            unread: to_read,
            is_idle: unread == 0,
        };
        balance.has_spare_room(&loaded, &choice)
    };
    assert!(spare(0, 0, SLOTS, 2 * most));
    assert!(spare(most / 4, 1, SLOTS, most / 4));
    assert!(!spare(most / 4, 1, SLOTS, most / 4 + 1));
    assert!(spare(0, SLOTS - SLOTS / 8 - 1, SLOTS, 1));
    assert!(!spare(0, SLOTS - SLOTS / 8, SLOTS, 1));
    assert!(spare(0, 0, 1, 1) && !spare(0, 1, 1, 1));
}
