//! Log lines of requests on a hosting platform.

use std::sync::Arc;
use std::time::Duration;

use bulrushtrestle_core::key::Fingerprint;
use bulrushtrestle_core::request::PromptPart;
use tokio::time::sleep;

use crate::traffic::hosted::drive::shared_parts;
use crate::traffic::hosted::refusal_log::{LINES_PER_SECOND, RefusalLog};

/// Guards against an overloaded router that writes a log line for each request that it refuses.
#[tokio::test]
async fn few_refusals_of_a_second_have_a_line_of_their_own() {
    let refusal_log = Arc::new(RefusalLog::default());
    for second in 0..2 {
        let lines = (0..1_000).filter(|_| refusal_log.allows_line()).count();
        assert_eq!(lines, LINES_PER_SECOND as usize, "second {second}");
        sleep(Duration::from_millis(1_200)).await;
    }
}

/// Guards against lines of failed attempts that do not tell a part of prompts that crashes targets from a bad target.
#[test]
fn a_failed_attempt_names_the_parts_that_other_requests_may_share() {
    struct Case {
        name: &'static str,
        parts: &'static [u64],
        field: &'static str,
    }
    let cases = [
        Case {
            name: "no prompt",
            parts: &[],
            field: "-",
        },
        Case {
            name: "only the request's own part",
            parts: &[0xa],
            field: "-",
        },
        Case {
            name: "shared parts",
            parts: &[0x5c1e_07a2, 0xb, 0xc],
            field: "5c1e07a2,b",
        },
        Case {
            name: "more parts than a line names",
            parts: &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11],
            field: "1,2,3,4,5,6,7,8",
        },
    ];
    for case in cases {
        let part = |&content| PromptPart {
            content: Fingerprint(content),
            tokens: 1,
        };
        let parts: Vec<PromptPart> = case.parts.iter().map(part).collect();
        assert_eq!(shared_parts(&parts), case.field, "{}", case.name);
    }
}
