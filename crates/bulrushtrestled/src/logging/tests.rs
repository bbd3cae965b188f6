//! Tests of the limits on log lines.

use super::*;

/// Guards against sums of organisations that are missing just when an organisation is refused, because
/// the lines of its refusals have used up the limit.
#[test]
fn lines_of_refused_requests_leave_room_for_the_sums_of_organisations() {
    struct Case {
        name: &'static str,
        /// The lines of requests before the sums.
        requests: u32,
        /// The lines with sums, and how many of them are written.
        sums: u32,
        written: u32,
    }
    let cases = [
        Case {
            name: "no requests",
            requests: 0,
            sums: 100,
            written: 100,
        },
        Case {
            name: "more requests than are written",
            requests: 5 * LINES_PER_SECOND,
            sums: 100,
            written: 100,
        },
        Case {
            name: "more sums than are written",
            requests: LINES_PER_SECOND,
            sums: SUMS_PER_SECOND + 100,
            written: SUMS_PER_SECOND,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut window = Window::new(start);
        let mut count = |lines: u32, kind| (0..lines).filter(|_| window.allows(kind)).count();
        let requests = count(case.requests, "request");
        let expected = case.requests.min(LINES_PER_SECOND) as usize;
        assert_eq!(requests, expected, "{}", case.name);
        let sums = count(case.sums, "funnel");
        assert_eq!(sums, case.written as usize, "{}", case.name);
        // The next second begins anew.
        assert!(!window.advance(start + WINDOW / 2));
        assert!(window.advance(start + WINDOW));
        assert!(window.allows("request") && window.allows("funnel"));
    }
}
