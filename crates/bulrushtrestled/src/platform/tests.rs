//! The clients against stand-in services: the result for each way in which a service fails.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushtrestle_core::input::{CacheEvent, OrderEvent};
use bulrushtrestle_core::key::{Fence, Fingerprint, Offset};
use bulrushtrestle_core::output::Order;
use bulrushtrestle_standin::fault::Outage;
use bulrushtrestle_standin::{engine, log, vms, weights};

use crate::platform::target::{CacheAnswer, cache_events};
use crate::platform::{AppendError, Http, HttpLog, HttpTarget, HttpVmList, HttpWeights};
use crate::platform::{Log, Target, VmList, Weights};

const TIMEOUT: Duration = Duration::from_millis(300);

#[tokio::test]
async fn an_append_fails_for_certain_only_if_nothing_can_have_been_appended() {
    let good = log::Faults::default;
    let out = |outage| log::Faults { outage, ..good() };
    let cases = [
        ("good", good(), Ok(())),
        (
            "refused",
            log::Faults {
                append_refused: true,
                ..good()
            },
            Err(AppendError::Failed),
        ),
        (
            "unavailable",
            out(Outage::Unavailable),
            Err(AppendError::Failed),
        ),
        ("hangs", out(Outage::Hang), Err(AppendError::Unknown)),
        ("closes", out(Outage::Close), Err(AppendError::Unknown)),
        (
            "answer lost",
            log::Faults {
                lost_answers: 1,
                ..good()
            },
            Err(AppendError::Unknown),
        ),
        (
            "append lost",
            log::Faults {
                lost_appends: 1,
                ..good()
            },
            Err(AppendError::Unknown),
        ),
        (
            "slow",
            log::Faults {
                slow_ms: 5_000,
                ..good()
            },
            Err(AppendError::Unknown),
        ),
    ];
    let service = log::spawn(log::Config::default())
        .await
        .expect("the log starts");
    let client = http_log(service.address());
    for (name, faults, expected) in cases {
        service.set_faults(faults);
        let outcome = client.append(&[b"{}".to_vec(), b"[]".to_vec()]).await;
        assert_eq!(outcome.map(drop), expected, "{name}");
        service.set_faults(good());
    }
    let nobody = http_log(SocketAddr::from(([127, 0, 0, 1], 1)));
    let outcome = nobody.append(&[b"{}".to_vec()]).await;
    assert_eq!(outcome, Err(AppendError::Failed), "nobody listens");
}

#[tokio::test]
async fn records_come_back_as_they_were_appended() {
    let service = log::spawn(log::Config::default())
        .await
        .expect("the log starts");
    let client = http_log(service.address());
    let records = [b"{\"a\":1}".to_vec(), "ä".as_bytes().to_vec()];
    let offsets = client.append(&records).await.expect("the log takes them");
    assert_eq!(offsets, [Offset(0), Offset(1)]);
    let batch = client.read(Offset(0)).await.expect("the log answers");
    assert_eq!(batch.tail, Offset(2));
    assert_eq!(batch.first, Offset(0));
    let read: Vec<_> = batch
        .records
        .into_iter()
        .map(|record| record.bytes)
        .collect();
    assert_eq!(read, records);
    service.set_faults(log::Faults {
        outage: Outage::Unavailable,
        ..log::Faults::default()
    });
    assert!(client.read(Offset(2)).await.is_err());
}

#[tokio::test]
async fn an_unavailable_vm_list_is_not_an_empty_list() {
    let list = vms::spawn(vms::Config::default())
        .await
        .expect("the list starts");
    let client = HttpVmList {
        http: Http::new(None),
        address: list.address(),
    };
    assert_eq!(client.list().await, Ok(Vec::new()));
    list.set_faults(vms::Faults {
        outage: Outage::Close,
        ..vms::Faults::default()
    });
    assert!(client.list().await.is_err());
}

#[tokio::test]
async fn an_order_is_done_only_if_it_is_in_effect() {
    struct Case {
        name: &'static str,
        checks_fence: bool,
        orders: &'static [(u64, OrderEvent)],
    }
    let cases = [
        Case {
            name: "a target that checks",
            checks_fence: true,
            orders: &[
                (7, OrderEvent::Done),
                (7, OrderEvent::Done),
                (6, OrderEvent::Fenced),
            ],
        },
        Case {
            name: "a target that does not check",
            checks_fence: false,
            orders: &[
                (7, OrderEvent::Done),
                (7, OrderEvent::Done),
                (6, OrderEvent::Fenced),
            ],
        },
    ];
    for case in cases {
        let cfg = engine::Config {
            checks_fence: case.checks_fence,
            ..engine::Config::default()
        };
        let service = engine::spawn(cfg).await.expect("the engine starts");
        let target = http_target(service.address());
        for &(fence, expected) in case.orders {
            let outcome = target
                .order(&load("v2"), Fence(fence), case.checks_fence)
                .await;
            assert_eq!(outcome, expected, "{}: {fence}", case.name);
        }
        service.set_faults(engine::Faults {
            lost_order_answers: 1,
            ..engine::Faults::default()
        });
        let outcome = target.order(&load("v3"), Fence(8), case.checks_fence).await;
        assert_eq!(outcome, OrderEvent::Unknown, "{}", case.name);
    }
}

#[tokio::test]
async fn reports_and_weight_availability_are_read() {
    let service = engine::spawn(engine::Config::default())
        .await
        .expect("the engine starts");
    let report = http_target(service.address())
        .report()
        .await
        .expect("a report");
    assert_eq!((report.running, report.waiting), (0, 0));
    let nobody = http_target(SocketAddr::from(([127, 0, 0, 1], 1)));
    assert!(nobody.report().await.is_err());

    let cfg = weights::Config {
        reads_per_minute: 1,
        ..weights::Config::default()
    };
    let store = weights::spawn(cfg).await.expect("the store starts");
    let client = HttpWeights {
        http: Http::new(None),
        address: Some(store.address()),
    };
    assert!(client.is_available("m", "v1").await);
    assert!(
        !client.is_available("m", "v1").await,
        "the store is over its rate"
    );
}

#[test]
fn missing_numbers_of_cache_events_are_gaps() {
    let stored = |n| CacheEvent::Stored(Fingerprint(n));
    let evicted = |n| CacheEvent::Evicted(Fingerprint(n));
    let cases = [
        ("nothing", 3, r#"{"next":3,"events":[]}"#, vec![]),
        (
            "in order",
            3,
            r#"{"next":5,"events":[{"seq":3,"stored":"0a"},{"seq":4,"evicted":"0b"}]}"#,
            vec![stored(10), evicted(11)],
        ),
        (
            "lost before",
            2,
            r#"{"next":4,"events":[{"seq":3,"stored":"0a"}]}"#,
            vec![CacheEvent::Gap, stored(10)],
        ),
        (
            "lost between",
            3,
            r#"{"next":6,"events":[{"seq":3,"stored":"0a"},{"seq":5,"stored":"0b"}]}"#,
            vec![stored(10), CacheEvent::Gap, stored(11)],
        ),
        (
            "lost after",
            3,
            r#"{"next":9,"events":[{"seq":3,"stored":"0a"}]}"#,
            vec![stored(10), CacheEvent::Gap],
        ),
        (
            "lost all",
            3,
            r#"{"next":9,"events":[]}"#,
            vec![CacheEvent::Gap],
        ),
        (
            "numbers restart",
            8,
            r#"{"next":1,"events":[{"seq":0,"stored":"0a"}]}"#,
            vec![CacheEvent::Gap, stored(10)],
        ),
        (
            "no digits",
            3,
            r#"{"next":4,"events":[{"seq":3,"stored":"x"}]}"#,
            vec![CacheEvent::Gap],
        ),
    ];
    for (name, from, answer, expected) in cases {
        let answer: CacheAnswer = serde_json::from_str(answer).expect("the answer is well formed");
        assert_eq!(cache_events(from, &answer), expected, "{name}");
    }
}

fn http_log(address: SocketAddr) -> HttpLog {
    HttpLog {
        http: Http::new(None),
        address,
        append_timeout: TIMEOUT,
        read_wait: TIMEOUT,
    }
}

fn http_target(address: SocketAddr) -> HttpTarget {
    HttpTarget {
        http: Http::new(None),
        address,
    }
}

fn load(version: &str) -> Order {
    Order::Load {
        models: vec!["m".to_owned()],
        version: version.to_owned(),
    }
}
