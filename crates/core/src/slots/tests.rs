//! Tests of this duty.

use super::Sight;
use crate::prelude::*;

/// Returns the part that a side of this size hands out.
fn part(side: usize, listed: usize, limit: u32) -> u32 {
    let mut sight = Sight::new(Duration::from_secs(1));
    sight.on_seen(Time::from_millis(1), side, listed);
    sight.part(limit)
}

/// Calls `check` with every way to split `left` routers into sides of at most `largest`.
fn splits(left: usize, largest: usize, sides: &mut Vec<usize>, check: &mut impl FnMut(&[usize])) {
    if left == 0 {
        check(sides);
        return;
    }
    for side in (1..=left.min(largest)).rev() {
        sides.push(side);
        splits(left - side, side, sides, check);
        sides.pop();
    }
}

#[test]
fn the_parts_of_all_sides_of_a_partition_add_up_to_no_more_than_the_limit() {
    for listed in 1..=12 {
        splits(listed, listed, &mut Vec::new(), &mut |sides| {
            for limit in 1..=16 {
                let total: u32 = sides.iter().map(|&side| part(side, listed, limit)).sum();
                assert!(total <= limit, "{sides:?}: {total} of {limit}");
            }
        });
    }
}

#[test]
fn a_large_minority_can_warm_a_target_up() {
    struct Case {
        side: usize,
        listed: usize,
        limit: u32,
        part: u32,
    }
    let cases = [
        Case {
            side: 2,
            listed: 5,
            limit: 2,
            part: 1,
        },
        Case {
            side: 2,
            listed: 5,
            limit: 8,
            part: 3,
        },
        Case {
            side: 3,
            listed: 5,
            limit: 2,
            part: 1,
        },
        Case {
            side: 3,
            listed: 5,
            limit: 1,
            part: 1,
        },
        Case {
            side: 1,
            listed: 5,
            limit: 8,
            part: 0,
        },
        Case {
            side: 7,
            listed: 8,
            limit: 8,
            part: 8,
        },
    ];
    for Case {
        side,
        listed,
        limit,
        part: expected,
    } in cases
    {
        assert_eq!(
            part(side, listed, limit),
            expected,
            "{side} of {listed}, limit {limit}"
        );
    }
}
