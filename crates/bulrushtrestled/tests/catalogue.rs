//! Operators' tools read the catalogue from a router.

mod support;

use bulrushtrestle_core::catalogue::message::Page;
use http::StatusCode;

use crate::support::client::request;
use crate::support::{Fleet, Plan};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pages_contain_every_entry_up_to_the_applied_offset() {
    let fleet = Fleet::start(Plan::default()).await;
    let router = &fleet.routers[0];
    let applied = fleet.status(router).await["applied"].as_u64();
    let answer = fleet.operator_get(router, "/catalogue").await;
    let page: Page = serde_json::from_slice(&answer.body).expect("the page is JSON");
    assert_eq!(Some(page.applied.0), applied);
    let created: Vec<u64> = page.entries.iter().map(|entry| entry.created.0).collect();
    let expected: Vec<u64> = (0..page.applied.0).collect();
    assert_eq!(
        created, expected,
        "every record of the fixture creates an entry"
    );
    let last = created.last().expect("there are entries");
    for (after, remaining) in [(0, created.len() - 1), (*last, 0)] {
        let path = format!("/catalogue?after={after}");
        let answer = fleet.operator_get(router, &path).await;
        let page: Page = serde_json::from_slice(&answer.body).expect("the page is JSON");
        assert_eq!(page.entries.len(), remaining, "after {after}");
    }
    let get = request("GET", router.operators, "/catalogue", &[], String::new());
    let answer = fleet.client.send(get).await;
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "without a token");
}
