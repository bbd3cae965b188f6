//! The log service.

use std::time::{Duration, Instant};

use bulrushtrestle_standin::fault::Outage;
use bulrushtrestle_standin::log::{self, Config, Faults};
use http::Method;
use serde_json::{Value, json};

use crate::client::{Client, WATCH};

async fn offsets(client: &Client) -> Vec<u64> {
    let page = client.get("/v1/records").await.json();
    let records = page["records"].as_array().expect("a page holds records");
    records
        .iter()
        .filter_map(|record| record["offset"].as_u64())
        .collect()
}

#[tokio::test]
async fn appends_take_effect_or_not_as_the_fault_says() {
    struct Case {
        name: &'static str,
        faults: Faults,
        /// The status of the append of two records, if it is answered at all.
        status: Option<u16>,
        /// The offsets on the log once the faults are gone.
        offsets: &'static [u64],
    }
    let cases = [
        Case {
            name: "nothing goes wrong",
            faults: Faults::default(),
            status: Some(200),
            offsets: &[0, 1],
        },
        Case {
            name: "refused",
            faults: Faults {
                append_refused: true,
                ..Faults::default()
            },
            status: Some(503),
            offsets: &[],
        },
        Case {
            name: "out",
            faults: Faults {
                outage: Outage::Unavailable,
                ..Faults::default()
            },
            status: Some(503),
            offsets: &[],
        },
        Case {
            name: "the answer is lost",
            faults: Faults {
                lost_answers: 1,
                ..Faults::default()
            },
            status: None,
            offsets: &[0, 1],
        },
        Case {
            name: "the append is lost",
            faults: Faults {
                lost_appends: 1,
                ..Faults::default()
            },
            status: None,
            offsets: &[],
        },
        Case {
            name: "the connection is closed",
            faults: Faults {
                outage: Outage::Close,
                ..Faults::default()
            },
            status: None,
            offsets: &[],
        },
        Case {
            name: "another writer is faster",
            faults: Faults {
                rivals: vec!["r".to_owned()],
                ..Faults::default()
            },
            status: Some(200),
            offsets: &[0, 1, 2],
        },
        Case {
            name: "little is kept",
            faults: Faults {
                keep_records: 1,
                ..Faults::default()
            },
            status: Some(200),
            offsets: &[1],
        },
    ];
    for Case {
        name,
        faults,
        status,
        offsets: expected,
    } in cases
    {
        let log = log::spawn(Config::default())
            .await
            .expect("loopback has free ports");
        let client = Client::new(log.address());
        log.set_faults(faults);
        let body = json!({ "records": ["a", "b"] });
        let answer = client.send(Method::POST, "/v1/append", &[], body).await;
        assert_eq!(answer.map(|answer| answer.status), status, "{name}");
        log.set_faults(Faults::default());
        assert_eq!(offsets(&client).await, expected, "{name}");
    }
}

#[tokio::test]
async fn a_fault_that_counts_down_ends() {
    let faults = Faults {
        lost_answers: 1,
        ..Faults::default()
    };
    let cfg = Config {
        faults,
        ..Config::default()
    };
    let log = log::spawn(cfg).await.expect("loopback has free ports");
    let client = Client::new(log.address());
    let body = json!({ "records": ["a"] });
    assert!(
        client
            .send(Method::POST, "/v1/append", &[], &body)
            .await
            .is_none()
    );
    let answer = client.post("/v1/append", &body).await;
    assert_eq!(answer.json(), json!({ "offsets": [1] }));
    assert_eq!(log.faults(), Faults::default());
}

#[tokio::test]
async fn reads_give_pages_and_wait() {
    struct Case {
        query: &'static str,
        offsets: &'static [u64],
        first: u64,
    }
    let cases = [
        Case {
            query: "from=0",
            offsets: &[2, 3, 4],
            first: 2,
        },
        Case {
            query: "from=3",
            offsets: &[3, 4],
            first: 2,
        },
        Case {
            query: "from=0&max=2",
            offsets: &[2, 3],
            first: 2,
        },
        Case {
            query: "from=5&wait_ms=50",
            offsets: &[],
            first: 2,
        },
        Case {
            query: "from=99",
            offsets: &[],
            first: 2,
        },
    ];
    let faults = Faults {
        keep_records: 3,
        ..Faults::default()
    };
    let cfg = Config {
        faults,
        ..Config::default()
    };
    let log = log::spawn(cfg).await.expect("loopback has free ports");
    let client = Client::new(log.address());
    client
        .post(
            "/v1/append",
            json!({ "records": ["a", "b", "c", "d", "e"] }),
        )
        .await;
    for Case {
        query,
        offsets,
        first,
    } in cases
    {
        let page = client.get(&format!("/v1/records?{query}")).await.json();
        let records = page["records"].as_array().expect("a page holds records");
        let seen: Vec<_> = records
            .iter()
            .filter_map(|record| record["offset"].as_u64())
            .collect();
        assert_eq!(seen, offsets, "{query}");
        assert_eq!(
            (&page["first"], &page["tail"]),
            (&json!(first), &json!(5)),
            "{query}"
        );
    }
    let late = client.clone();
    let reader = tokio::spawn(async move { late.get("/v1/records?from=5&wait_ms=20000").await });
    tokio::time::sleep(WATCH).await;
    assert!(!reader.is_finished(), "a read at the tail waits");
    client.post("/v1/append", json!({ "records": ["f"] })).await;
    let page = reader.await.expect("the read does not panic").json();
    assert_eq!(page["records"][0]["body"], "f");
}

#[tokio::test]
async fn records_age_out_and_appends_are_limited() {
    let cfg = Config {
        retention: Some(Duration::from_millis(200)),
        appends_per_second: 2,
        ..Config::default()
    };
    let log = log::spawn(cfg).await.expect("loopback has free ports");
    let client = Client::new(log.address());
    let start = Instant::now();
    let mut refused = 0;
    // More appends than can be taken in, however many seconds the loop lasts.
    while refused == 0 {
        for _ in 0..10 {
            let answer = client.post("/v1/append", json!({ "records": ["a"] })).await;
            refused += u32::from(answer.status == 429);
        }
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "nothing is refused"
        );
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    let page = client.get("/v1/records").await.json();
    assert_eq!(page["records"], Value::Array(Vec::new()));
    assert_eq!(page["first"], page["tail"]);
}

#[tokio::test]
async fn an_outage_without_answers_leaves_the_caller_waiting() {
    let log = log::spawn(Config::default())
        .await
        .expect("loopback has free ports");
    log.set_faults(Faults {
        outage: Outage::Hang,
        ..Faults::default()
    });
    let client = Client::new(log.address());
    let read = tokio::time::timeout(WATCH, client.get("/v1/records")).await;
    assert!(read.is_err(), "{read:?}");
}
