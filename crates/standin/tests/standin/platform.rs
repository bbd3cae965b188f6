//! The VM list and the weight store.

use std::time::Duration;

use bulrushtrestle_standin::fault::Outage;
use bulrushtrestle_standin::{vms, weights};
use http::Method;
use serde_json::{Value, json};

use crate::client::Client;

fn vm(id: u32, role: &str) -> Value {
    json!({
        "id": id,
        "role": role,
        "address": "127.0.0.1:1",
        "data_centre": "a",
        "leaving": false,
    })
}

#[tokio::test]
async fn the_list_shows_what_was_put_with_its_lag() {
    let vms = vms::spawn(vms::Config::default())
        .await
        .expect("loopback has free ports");
    let client = Client::new(vms.address());
    let list = json!({ "vms": [vm(1, "router"), vm(2, "target")] });
    let put = client.send(Method::PUT, "/v1/vms", &[], &list).await;
    assert_eq!(put.map(|answer| answer.status), Some(204));
    assert_eq!(client.get("/v1/vms").await.json(), list);
    vms.set_faults(vms::Faults {
        lag_ms: 3_600_000,
        ..vms::Faults::default()
    });
    assert_eq!(client.get("/v1/vms").await.json(), json!({ "vms": [] }));
    vms.set_faults(vms::Faults {
        lag_ms: 200,
        ..vms::Faults::default()
    });
    client.until("/v1/vms", |shown| *shown == list).await;
    vms.set_faults(vms::Faults {
        outage: Outage::Unavailable,
        ..vms::Faults::default()
    });
    assert_eq!(client.get("/v1/vms").await.status, 503);
}

#[tokio::test]
async fn the_weight_store_limits_reads() {
    let cfg = weights::Config {
        reads_per_minute: 2,
        ..weights::Config::default()
    };
    let store = weights::spawn(cfg).await.expect("loopback has free ports");
    let client = Client::new(store.address());
    for _ in 0..2 {
        let answer = client.get("/v1/weights/m/v1").await;
        assert_eq!(
            (answer.status, answer.json()),
            (200, json!({ "model": "m", "version": "v1" }))
        );
    }
    let answer = client.get("/v1/weights/m/v1").await;
    assert_eq!(answer.status, 429);
    let wait = answer
        .header("retry-after")
        .and_then(|wait| wait.parse().ok());
    let wait = Duration::from_secs(wait.expect("a refusal says when to come back"));
    assert!(
        wait > Duration::ZERO && wait <= Duration::from_secs(60),
        "{wait:?}"
    );
}
