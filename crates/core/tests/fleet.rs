//! Tests of a small fleet in virtual time.

mod fixture;

use bulrushtrestle_core::prelude::*;

use self::fixture::{Job, Setup, request, setup};

#[test]
fn every_request_of_a_light_load_is_answered() {
    let Setup {
        mut fleet,
        pool,
        organisations,
        ..
    } = setup(3, 4, 3, 1);
    let job = Job {
        tokens: 20,
        token_time: Duration::from_millis(10),
        crashes: false,
    };
    for id in 0..30 {
        let router = RouterId(1 + id as u32 % 3);
        let organisation = organisations[id as usize % 3];
        fleet.submit(router, request(id, organisation, pool), job);
        fleet.run(Duration::from_millis(50));
    }
    fleet.run(Duration::from_secs(5));
    assert_eq!(fleet.answers.len(), 30);
    assert!(fleet.answers.iter().all(|answer| answer.refusal.is_none()));
    assert_eq!(fleet.overload(), 0);
}

/// The time within which the slots of a dead router are in use again: the users' "few seconds" twice,
/// once to detect the failure and once for the router's grants to expire.
const RECOVERED: Duration = Duration::from_secs(10);

#[test]
fn the_slots_of_a_dead_router_are_in_use_again_in_time() {
    let job = Job {
        tokens: 20,
        token_time: Duration::from_millis(10),
        crashes: false,
    };
    for dead in 1..=3 {
        let Setup {
            mut fleet,
            pool,
            organisations,
            ..
        } = setup(3, 1, 1, 1);
        fleet.kill(RouterId(dead));
        let alive: Vec<u32> = (1..=3).filter(|&router| router != dead).collect();
        for &router in &alive {
            let req = request(u64::from(router), organisations[0], pool);
            fleet.submit(RouterId(router), req, job);
        }
        fleet.run(RECOVERED);
        let served = fleet.answers.iter().filter(|a| a.refusal.is_none()).count();
        assert_eq!(served, alive.len(), "{dead} is dead");
    }
}
