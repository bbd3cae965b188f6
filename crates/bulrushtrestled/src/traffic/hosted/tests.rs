//! Log lines of early refusals.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

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
