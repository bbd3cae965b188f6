//! Fairness, work conservation and the limits of targets, for a fleet in virtual time.

mod fixture;

use bulrushtrestle_core::prelude::*;

use self::fixture::{Load, Tokens, setup, spread};

#[test]
fn trial() {
    for uneven in [false, true] {
        let s = setup(8, 20, 16, 1);
        let sources = spread(&s, 8, 30, Tokens::Between(50, 350), |o, r| {
            !uneven || o >= 8 || r as usize == o % 8 + 1
        });
        let mut load = Load::new(s, sources);
        load.run(Duration::from_secs(15));
        load.mark();
        let (m, b) = (load.fleet().messages, load.fleet().bytes);
        let d = load.fleet().dispatches.len();
        load.run(Duration::from_secs(100));
        let (m2, b2) = (load.fleet().messages, load.fleet().bytes);
        println!(
            "uneven {uneven}: worst {:?} util {:.4} overload {} msg/s/router {} B/s/router {} dispatches {} refusals {}",
            load.worst,
            load.utilisation(),
            load.setup.fleet.overload(),
            (m2 - m) / 8 / 100,
            (b2 - b) / 8 / 100,
            load.setup.fleet.dispatches.len() - d,
            load.refusals
        );
        for &o in &load.setup.organisations { 
            let v: Vec<_> = load.setup.fleet.hosts.values().map(|h| { let (c, t) = h.node.service(o); (c.0/1000, (t-c.0)/1000) }).collect();
            println!("{o} {} {v:?}", load.setup.fleet.service[&o]);
        }
        println!(
            "{:?}",
            load.gaps.iter().map(|g| *g as u64).collect::<Vec<_>>()
        );
    }
}
