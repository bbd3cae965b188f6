//! Tests of the outcome of an edit in races, after lost answers and in outages.

use bulrushtrestle_core::catalogue::entry::{Bounds, Entry, Pool, Service};
use bulrushtrestle_core::catalogue::message::Edit;
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::record::Record;
use bulrushtrestle_standin::fault::Outage;
use bulrushtrestle_standin::log::{self, Config, Faults};
use uuid::Uuid;

use crate::command::bulrushctl;

/// Returns the record of another operator's edit of the pool `m`.
fn rival_record(replaces: Option<u64>, service: Service) -> String {
    let entry = Entry::Pool(Pool {
        name: "m".to_owned(),
        service,
        bounds: Bounds::default(),
        autoscale: None,
    });
    let mut edit = Edit::put(Uuid::now_v7(), replaces.map(Offset), entry);
    edit.author = "bob".to_owned();
    String::from_utf8(Record::Edit(edit).encode()).expect("records are JSON")
}

#[tokio::test]
async fn an_edit_is_decided_by_the_order_of_the_log() {
    struct Case {
        name: &'static str,
        faults: Faults,
        line: &'static str,
        timeout: &'static str,
        code: i32,
        outcome: &'static str,
        /// The service of the pool that `get pool` shows after the faults of the log have ended.
        service: Option<&'static str>,
    }
    let lost = |lost_answers| Faults {
        lost_answers,
        ..Faults::default()
    };
    let put = "pool put m --service model";
    let cases = [
        Case {
            name: "nothing goes wrong",
            faults: Faults::default(),
            line: put,
            timeout: "10s",
            code: 0,
            outcome: "applied",
            service: Some("model"),
        },
        Case {
            name: "the answer is lost after the append took effect",
            faults: lost(1),
            line: put,
            timeout: "10s",
            code: 0,
            outcome: "applied",
            service: Some("model"),
        },
        Case {
            name: "the append is lost before it takes effect, twice",
            faults: Faults {
                lost_appends: 2,
                ..Faults::default()
            },
            line: put,
            timeout: "10s",
            code: 0,
            outcome: "applied",
            service: Some("model"),
        },
        Case {
            name: "another operator was faster",
            faults: Faults {
                rivals: vec![rival_record(None, Service::Plain)],
                ..Faults::default()
            },
            line: put,
            timeout: "10s",
            code: 3,
            outcome: "conflict",
            service: Some("plain"),
        },
        Case {
            name: "another operator was faster, and the answer is lost",
            faults: Faults {
                rivals: vec![rival_record(None, Service::Plain)],
                lost_answers: 1,
                ..Faults::default()
            },
            line: put,
            timeout: "10s",
            code: 3,
            outcome: "conflict",
            service: Some("plain"),
        },
        Case {
            name: "another operator's edit is older than the entry",
            faults: Faults {
                rivals: vec![rival_record(Some(9), Service::Plain)],
                ..Faults::default()
            },
            line: put,
            timeout: "10s",
            code: 0,
            outcome: "applied",
            service: Some("model"),
        },
        Case {
            name: "earlier records age out between the read and the append",
            faults: Faults {
                rivals: vec!["not a record".to_owned(); 3],
                keep_records: 1,
                ..Faults::default()
            },
            line: put,
            timeout: "10s",
            code: 0,
            outcome: "applied",
            service: Some("model"),
        },
        Case {
            name: "appends are refused",
            faults: Faults {
                append_refused: true,
                ..Faults::default()
            },
            line: put,
            timeout: "1s",
            code: 4,
            outcome: "unavailable",
            service: None,
        },
        Case {
            name: "every append is lost",
            faults: Faults {
                lost_appends: 1_000,
                ..Faults::default()
            },
            line: put,
            timeout: "1s",
            code: 4,
            outcome: "unknown",
            service: None,
        },
        Case {
            name: "the log is unavailable",
            faults: Faults {
                outage: Outage::Unavailable,
                ..Faults::default()
            },
            line: put,
            timeout: "1s",
            code: 4,
            outcome: "unavailable",
            service: None,
        },
        Case {
            name: "the log does not answer",
            faults: Faults {
                outage: Outage::Hang,
                ..Faults::default()
            },
            line: put,
            timeout: "1s",
            code: 4,
            outcome: "unavailable",
            service: None,
        },
    ];
    for Case {
        name,
        faults,
        line,
        timeout,
        code,
        outcome,
        service,
    } in cases
    {
        let log = log::spawn(Config::default())
            .await
            .expect("loopback has free ports");
        log.set_faults(faults);
        let url = log.url();
        let mut args = vec!["--json", "--timeout", timeout, "--log", url.as_str()];
        args.extend(line.split(' '));
        let ran = bulrushctl(&args).await;
        assert_eq!(ran.code, code, "{name}: {ran:?}");
        assert_eq!(ran.json()["outcome"], outcome, "{name}: {ran:?}");
        log.set_faults(Faults::default());
        let shown = bulrushctl(&["--json", "--log", &url, "get", "pool"])
            .await
            .json();
        let shown = shown[0]["entry"]["service"].as_str();
        assert_eq!(shown, service, "{name}");
    }
}

#[tokio::test]
async fn a_lost_race_shows_the_entry_that_won() {
    let log = log::spawn(Config::default())
        .await
        .expect("loopback has free ports");
    let rivals = vec![rival_record(None, Service::Plain)];
    log.set_faults(Faults {
        rivals,
        ..Faults::default()
    });
    let ran = bulrushctl(&[
        "--log",
        &log.url(),
        "pool",
        "put",
        "m",
        "--service",
        "model",
    ])
    .await;
    assert_eq!(ran.code, 3, "{ran:?}");
    assert!(ran.stderr.contains("another edit of pool m won"), "{ran:?}");
    assert!(ran.stdout.contains("won by bob:"), "{ran:?}");
    assert!(ran.stdout.contains("plain service"), "{ran:?}");
}

#[tokio::test]
async fn an_edit_whose_answer_is_lost_is_on_the_log_once() {
    let log = log::spawn(Config::default())
        .await
        .expect("loopback has free ports");
    log.set_faults(Faults {
        lost_answers: 1,
        ..Faults::default()
    });
    let url = log.url();
    let ran = bulrushctl(&["--log", &url, "pool", "put", "m", "--service", "model"]).await;
    assert_eq!(
        (ran.code, ran.stdout.trim()),
        (0, "applied at @0"),
        "{ran:?}"
    );
    let ran = bulrushctl(&["--log", &url, "pool", "put", "m", "--service", "plain"]).await;
    assert_eq!(
        (ran.code, ran.stdout.trim()),
        (0, "applied at @1"),
        "{ran:?}"
    );
}
