//! Log lines of refusals at the door.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::traffic::hosted::door::{Door, LINES_PER_SECOND};

/// Guards against a router that is behind and writes a line for each request that it refuses.
#[tokio::test]
async fn few_refusals_of_a_second_have_a_line_of_their_own() {
    let door = Arc::new(Door::default());
    for second in 0..2 {
        let lines = (0..1_000).filter(|_| door.admits()).count();
        assert_eq!(lines, LINES_PER_SECOND as usize, "second {second}");
        sleep(Duration::from_millis(1_200)).await;
    }
}
