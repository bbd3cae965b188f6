//! Tests of liveness and of the distribution of rows.

use super::message::{Condition, Heartbeat};
use super::{Config, Members};
use crate::input::{Vm, VmRole};
use crate::prelude::*;

/// A fleet in which heartbeats arrive immediately, except on cut links.
struct Group {
    now: Time,
    members: Vec<Members>,
    sequences: Vec<u64>,
    /// Links on which no heartbeat arrives, in either direction.
    cut: Vec<(usize, usize)>,
    /// The routers that have stopped running.
    stopped: Vec<usize>,
}

impl Group {
    fn new(routers: u32) -> Self {
        let now = Time::from_millis(1_000);
        let cfg = Config::default();
        let vms: Vec<Vm> = (0..routers).map(vm).collect();
        let member = |id: u32| {
            let address = format!("127.0.0.1:{id}");
            let mut member = Members::new(now, RouterId(id), Incarnation(1), &address, cfg.clone());
            member.on_vms(now, &vms);
            member.set_condition(Condition::Ready);
            member
        };
        Self {
            now,
            members: (0..routers).map(member).collect(),
            sequences: vec![0; routers as usize],
            cut: Vec::new(),
            stopped: Vec::new(),
        }
    }

    fn round(&mut self) {
        self.now = self.now + Duration::from_millis(500);
        for from in 0..self.members.len() {
            if self.stopped.contains(&from) {
                continue;
            }
            self.members[from].detect_unresponsive(self.now);
            let rows = self.members[from].take_rows();
            let partners: Vec<RouterId> = self.members[from].partners().collect();
            for to in partners {
                self.heartbeat(from, to.0 as usize, rows.clone());
            }
        }
    }

    fn heartbeat(&mut self, from: usize, to: usize, rows: Vec<super::message::Row>) {
        let cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
        if cut || self.stopped.contains(&to) {
            return;
        }
        self.sequences[from] += 1;
        let sender = RouterId(from as u32);
        let heartbeat = Heartbeat {
            echo: 0,
            applied: Offset(0),
            current_age_ms: 0,
            log_down: false,
            wants_rows: false,
            rows,
        };
        let receiver = &mut self.members[to];
        assert!(receiver.on_frame(self.now, sender, Incarnation(1), self.sequences[from]));
        receiver.on_heartbeat(self.now, sender, heartbeat);
    }

    fn rounds(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.round();
        }
    }

    /// Returns how many of the running routers consider `router` live.
    fn count_considering_live(&self, router: usize) -> usize {
        let id = RouterId(router as u32);
        let running = (0..self.members.len()).filter(|index| !self.stopped.contains(index));
        running
            .filter(|&index| self.members[index].is_live(self.now, id))
            .count()
    }
}

fn vm(id: u32) -> Vm {
    Vm {
        id,
        role: VmRole::Router,
        address: String::new(),
        data_centre: "a".to_owned(),
        leaving: false,
    }
}

#[test]
fn deaths_and_returns_reach_everyone() {
    struct Case {
        name: &'static str,
        routers: u32,
    }
    let cases = [
        Case {
            name: "all routers are partners",
            routers: 8,
        },
        Case {
            name: "a few partners each",
            routers: 60,
        },
        Case {
            name: "many routers",
            routers: 200,
        },
    ];
    for Case { name, routers } in cases {
        let mut group = Group::new(routers);
        group.rounds(12);
        let all = routers as usize;
        for router in 0..all {
            assert_eq!(
                group.count_considering_live(router),
                all,
                "{name}: at the start, router {router}"
            );
        }
        group.stopped.push(3);
        group.rounds(12);
        assert_eq!(group.count_considering_live(3), 0, "{name}: after the stop");
        assert_eq!(
            group.count_considering_live(4),
            all - 1,
            "{name}: another one"
        );
    }
}

#[test]
fn one_broken_link_does_not_kill_a_router_for_the_fleet() {
    let mut group = Group::new(60);
    group.rounds(12);
    let partner = group.members[3]
        .partners()
        .next()
        .expect("it has partners")
        .0 as usize;
    group.cut.push((3, partner));
    for _ in 0..40 {
        group.round();
    }
    // Only the partner behind the broken link, which receives no heartbeats, may consider the
    // router down.
    assert!(group.count_considering_live(3) >= 59);
}

#[test]
fn an_echo_dates_what_a_peer_says() {
    let now = Time::from_millis(1_000);
    let mut members = Members::new(now, RouterId(0), Incarnation(1), "", Config::default());
    members.on_vms(now, &[vm(0), vm(1)]);
    members.on_sent(now, RouterId(1), 7);
    let later = now + Duration::from_millis(400);
    let heartbeat = |echo| Heartbeat {
        echo,
        applied: Offset(5),
        current_age_ms: 100,
        log_down: false,
        wants_rows: false,
        rows: Vec::new(),
    };
    assert!(members.on_frame(later, RouterId(1), Incarnation(1), 1));
    members.on_heartbeat(later, RouterId(1), heartbeat(3));
    assert_eq!(
        members.heartbeats(later).count(),
        0,
        "an echo of an unknown frame gives no date"
    );
    members.on_heartbeat(later, RouterId(1), heartbeat(7));
    let dated: Vec<Time> = members
        .heartbeats(later)
        .map(|(_, after, _)| after)
        .collect();
    assert_eq!(dated, [now]);
}

/// Guards against a router that was paused and then reports all its partners as down, because it
/// received no heartbeats during the pause.
#[test]
fn a_router_that_was_paused_itself_declares_nobody_dead() {
    let mut group = Group::new(60);
    group.rounds(12);
    group.now = group.now + Duration::from_secs(10);
    let down = group.members[3].detect_unresponsive(group.now);
    assert!(down.is_empty(), "{down:?}");
}

/// Guards against links whose number grows with the fleet once routers are lost.
#[test]
fn the_number_of_partners_is_that_of_a_smaller_fleet() {
    struct Case {
        name: &'static str,
        /// Every so many routers one is lost.
        lost_every: usize,
    }
    let cases = [
        Case {
            name: "nobody lost",
            lost_every: usize::MAX,
        },
        Case {
            name: "a third lost",
            lost_every: 3,
        },
        Case {
            name: "half lost",
            lost_every: 2,
        },
    ];
    for Case { name, lost_every } in cases {
        let mean = |routers: u32| {
            let mut group = Group::new(routers);
            group.rounds(8);
            group.stopped = (1..routers as usize).step_by(lost_every).collect();
            if lost_every == usize::MAX {
                group.stopped.clear();
            }
            group.rounds(40);
            let running = (0..routers as usize).filter(|at| !group.stopped.contains(at));
            let counts = running.map(|at| group.members[at].partners().count());
            let counts: Vec<usize> = counts.collect();
            counts.iter().sum::<usize>() as f64 / counts.len() as f64
        };
        let (small, large) = (mean(60), mean(300));
        assert!(
            large <= 1.2 * small,
            "{name}: {small} of 60, {large} of 300"
        );
    }
}

/// Guards against substitutes that count among the routers that have to confirm an outage of the store: in a part of the fleet
/// that is cut off, they are all on the same side.
#[test]
fn substitutes_are_not_fixed_partners() {
    let mut group = Group::new(60);
    group.rounds(8);
    let before = group.members[0].fixed_partner_count();
    group.stopped = (20..60).collect();
    group.rounds(40);
    let member = &group.members[0];
    let fixed = member.partners().filter(|&id| member.is_fixed_partner(id));
    assert_eq!(fixed.count(), before);
    assert_eq!(member.fixed_partner_count(), before);
    assert!(member.partners().count() > before, "there are substitutes");
}
