//! Figures that travel over relays. Pattern: a large fleet in which every router has work.

use super::*;

/// A relay with two members beside another relay with one, in the order of their ids from 1 on:
/// relay, member, member, relay, member.
struct Fleet {
    now: Time,
    routers: Vec<Balance>,
}

const RELAY_OF: [usize; 5] = [0, 0, 0, 3, 3];

impl Fleet {
    fn new() -> Self {
        Self {
            now: NOW,
            routers: (0..5).map(|_| Balance::new(Config::default())).collect(),
        }
    }

    /// Lets every router report once. Frames for which `is_lost` returns true do not arrive.
    fn report(&mut self, claims: &[Vec<ClaimRow>; 5], is_lost: impl Fn(usize, usize) -> bool) {
        let (now, every) = (self.now, self.routers[0].cfg().report_every);
        for from in [1, 2, 4, 0, 3] {
            let is_relay = RELAY_OF[from] == from;
            let (coverage, to) = match is_relay {
                true => (Coverage::Members, 3 - from),
                false => (Coverage::Router, RELAY_OF[from]),
            };
            let part = self.routers[from].report(now, claims[from].clone(), coverage);
            if let Some(part) = part.filter(|_| !is_lost(from, to)) {
                self.routers[to].on_part(now, id(from), &part);
            }
        }
        for from in [0, 3] {
            let members: Vec<_> = self.routers[from].members(now).collect();
            let is_full = self.routers[from].is_full_sum_due(now);
            let sums = self.routers[from].fleet_sums(now, is_full);
            for member in members {
                let to = member.router.0 as usize - 1;
                let part = FleetPart {
                    included: member.number,
                    ..sums.clone()
                };
                if !is_lost(from, to) {
                    self.routers[to].on_fleet_part(now, id(from), &part);
                }
            }
        }
        self.now = now + every;
    }

    fn load(&self, at: usize) -> Load {
        self.routers[at].load(self.now, TargetId(1))
    }
}

fn id(at: usize) -> RouterId {
    RouterId(u32::try_from(at + 1).expect("few routers"))
}

const NO_CLAIMS: [Vec<ClaimRow>; 5] = [const { Vec::new() }; 5];

/// Guards against figures that count twice: a router's own requests are part of the sums that its
/// relay sends, as of a report that may be older than its last one.
#[test]
fn every_router_knows_the_load_of_the_fleet_and_counts_no_request_twice() {
    let mut fleet = Fleet::new();
    for (at, router) in fleet.routers.iter_mut().enumerate() {
        for _ in 0..=at {
            router.on_dispatch(NOW, TargetId(1), 10, &[]);
        }
    }
    // A round for the reports of members, and one for the sums of the other relay.
    fleet.report(&NO_CLAIMS, |_, _| false);
    fleet.report(&NO_CLAIMS, |_, _| false);
    let all = Load {
        unread: 150,
        requests: 15,
    };
    for at in 0..5 {
        assert_eq!(fleet.load(at), all, "router {at}");
        assert_eq!(
            fleet.routers[at].reporting_peers(fleet.now),
            4,
            "router {at}"
        );
    }
    // What a router sends between two reports counts at once, and only once.
    fleet.routers[1].on_dispatch(fleet.now, TargetId(1), 10, &[]);
    assert_eq!(fleet.load(1).requests, 16);
    // The relay's sums arrive, but still without the member's last report.
    let now = fleet.now;
    fleet.report(&NO_CLAIMS, |from, to| from == 1 && to == 0);
    assert_eq!(fleet.load(1).requests, 16);
    assert_eq!(fleet.load(2).requests, 15);
    // The lost report is made up for by the next full one.
    for _ in 0..12 {
        fleet.report(&NO_CLAIMS, |_, _| false);
    }
    for at in 0..5 {
        assert_eq!(fleet.load(at).requests, 16, "router {at}");
    }
    // Requests that end are no longer counted.
    for _ in 0..3 {
        fleet.routers[1].on_end(TargetId(1));
    }
    for _ in 0..2 {
        fleet.report(&NO_CLAIMS, |_, _| false);
    }
    for at in 0..5 {
        assert_eq!(fleet.load(at).requests, 13, "router {at}");
    }
    assert!(fleet.now > now);
}

/// Lost frames are made up for by full figures, which are sent twice in the time after which
/// figures are stale.
#[test]
fn lost_frames_are_made_up_for() {
    struct Case {
        name: &'static str,
        lost: (usize, usize),
    }
    let cases = [
        Case {
            name: "a member's report",
            lost: (1, 0),
        },
        Case {
            name: "a relay's sums for the other relay",
            lost: (0, 3),
        },
        Case {
            name: "a relay's sums for a member",
            lost: (3, 4),
        },
    ];
    for case in cases {
        let mut fleet = Fleet::new();
        fleet.report(&NO_CLAIMS, |_, _| false);
        fleet.report(&NO_CLAIMS, |_, _| false);
        fleet.routers[1].on_dispatch(fleet.now, TargetId(1), 10, &[]);
        for _ in 0..3 {
            fleet.report(&NO_CLAIMS, |from, to| (from, to) == case.lost);
        }
        assert_eq!(fleet.load(4).requests, 0, "{}", case.name);
        let stale_after = fleet.routers[0].cfg().stale_after;
        let made_up_for = fleet.now + stale_after * 3 / 4;
        while fleet.now < made_up_for {
            fleet.report(&NO_CLAIMS, |_, _| false);
        }
        for at in 0..5 {
            assert_eq!(fleet.load(at).requests, 1, "{}, router {at}", case.name);
        }
    }
}

/// Guards against an organisation that is passed over because its requests wait at a router that
/// reports to another relay, and against a router that yields to its own waiting requests.
#[test]
fn requests_that_wait_anywhere_are_known_everywhere_and_own_ones_do_not_count() {
    let mut fleet = Fleet::new();
    let mut claims = NO_CLAIMS;
    claims[1] = vec![claim(7, 500, 3)];
    claims[2] = vec![claim(7, 400, 2), claim(8, 900, 1)];
    claims[4] = vec![claim(7, 450, 4)];
    for _ in 0..3 {
        fleet.report(&claims, |_, _| false);
    }
    let waiting = |fleet: &Fleet, at: usize| {
        let router = &fleet.routers[at];
        let view = router.fleet.as_ref().expect("it reports to a relay");
        let rows = view.claims.iter();
        rows.map(|row| (row.organisation.0, row.requests))
            .collect::<Vec<_>>()
    };
    assert_eq!(waiting(&fleet, 1), [(7, 6), (8, 1)]);
    assert_eq!(waiting(&fleet, 2), [(7, 7)]);
    assert_eq!(waiting(&fleet, 4), [(7, 5), (8, 1)]);
    // The least service that any router knows of counts.
    let level = fleet.routers[1]
        .fleet
        .as_ref()
        .map(|view| view.claims[0].level);
    assert_eq!(level, Some(400));
}

/// When the relay sends nothing, its last figures count for a bounded time, and then the router goes
/// by its own requests.
#[test]
fn figures_of_a_silent_relay_expire() {
    let mut fleet = Fleet::new();
    fleet.routers[4].on_dispatch(NOW, TargetId(1), 10, &[]);
    fleet.routers[1].on_dispatch(NOW, TargetId(1), 10, &[]);
    fleet.report(&NO_CLAIMS, |_, _| false);
    fleet.report(&NO_CLAIMS, |_, _| false);
    assert_eq!(fleet.load(1).requests, 2);
    let stale_after = fleet.routers[1].cfg().stale_after;
    fleet.now = fleet.now + stale_after;
    assert_eq!(fleet.load(1).requests, 1);
    assert_eq!(fleet.routers[1].reporting_peers(fleet.now), 0);
}

/// Prefixes that targets hold become known to routers that report to another relay.
#[test]
fn long_prefixes_are_made_known_over_relays() {
    let mut fleet = Fleet::new();
    fleet.report(&NO_CLAIMS, |_, _| false);
    fleet.routers[1].on_dispatch(fleet.now, TargetId(3), 11_000, &long_prompt(1));
    for _ in 0..3 {
        fleet.report(&NO_CLAIMS, |_, _| false);
    }
    for at in [0, 2, 3, 4] {
        let candidates = candidates(&fleet.routers[at], 5);
        let choice =
            fleet.routers[at].choose(NOW, profile(&long_prompt(2), true), candidates.iter());
        assert_eq!(choice.map(|it| it.target), Some(TargetId(3)), "router {at}");
    }
}

/// Guards against a router that forgets the figures of its former relay at changes from a new one,
/// whose full figures were lost.
#[test]
fn changes_of_a_new_relay_leave_the_figures_of_the_former_one() {
    let mut fleet = Fleet::new();
    fleet.routers[4].on_dispatch(NOW, TargetId(1), 10, &[]);
    fleet.report(&NO_CLAIMS, |_, _| false);
    fleet.report(&NO_CLAIMS, |_, _| false);
    assert_eq!(fleet.load(1).requests, 1);
    let changes = FleetPart {
        routers: 5,
        ..FleetPart::default()
    };
    fleet.routers[1].on_fleet_part(fleet.now, id(3), &changes);
    assert_eq!(fleet.load(1).requests, 1);
}
