//! Edits of the catalogue: input, races, lost answers, outages.

use bulrushtrestle_core::catalogue::entry::{Entry, Pool, Service};
use bulrushtrestle_core::catalogue::message::Edit;
use bulrushtrestle_core::key::Offset;
use bulrushtrestle_core::record::Record;
use bulrushtrestle_standin::fault::Outage;
use bulrushtrestle_standin::log::{self, Config, Faults};
use uuid::Uuid;

use crate::command::{Temporary, bulrushctl};

/// Splits a command line at its spaces.
fn words(line: &str) -> Vec<&str> {
    line.split_whitespace().collect()
}

/// Returns a record by which another operator edits the pool `m`.
fn rival(replaces: Option<u64>, service: Service) -> String {
    let entry = Entry::Pool(Pool {
        name: "m".to_owned(),
        service,
    });
    let mut edit = Edit::put(Uuid::now_v7(), replaces.map(Offset), entry);
    edit.author = "bob".to_owned();
    String::from_utf8(Record::Edit(edit).encode()).expect("records are JSON")
}

#[tokio::test]
async fn commands_edit_the_catalogue_one_after_another() {
    struct Case {
        line: &'static str,
        code: i32,
        stdout: &'static str,
        stderr: &'static str,
    }
    const fn case(
        line: &'static str,
        code: i32,
        stdout: &'static str,
        stderr: &'static str,
    ) -> Case {
        Case {
            line,
            code,
            stdout,
            stderr,
        }
    }
    let cases = [
        case("get", 0, "KIND", ""),
        case(
            "organisation put lyceum",
            2,
            "",
            "--owner: is needed to create the entry",
        ),
        case(
            "organisation put lyceum --owner ann --weight 0",
            2,
            "",
            "weight: 0 is not in 1 to 1000",
        ),
        case(
            "organisation put Lyceum --owner ann",
            2,
            "",
            "name: must be 1 to 100 bytes",
        ),
        case(
            "organisation put lyceum --owner ann --wait-ms 99",
            2,
            "",
            "limits.wait_ms: 99 is not in 100 to 3600000",
        ),
        case(
            "organisation put lyceum --owner ann --token-sha256 12",
            2,
            "",
            "tokens_sha256: must be 64 hexadecimal digits",
        ),
        case(
            "organisation put lyceum --owner ann --class batch",
            0,
            "applied at @0",
            "",
        ),
        case("organisation put lyceum --weight 3", 0, "applied at @1", ""),
        case("organisation put lyceum --weight 3", 0, "unchanged", ""),
        case("get organisation", 0, "owner ann, batch, weight 3", ""),
        case(
            "pool put m --service magic",
            2,
            "",
            "unknown variant `magic`",
        ),
        case("pool put m --service model", 0, "applied at @2", ""),
        case(
            "data-centre out a",
            2,
            "",
            "name: there is no data-centre a",
        ),
        case(
            "data-centre put a --region flanders",
            0,
            "applied at @3",
            "",
        ),
        case(
            "target put t1 --vm 4",
            2,
            "",
            "--address: is needed to create the entry",
        ),
        case(
            "target put t1 --vm 4 --address here:80 --data-centre a --pool m --version v1 --slots 8",
            2,
            "",
            "address: must be an IP number and a port",
        ),
        case(
            "target put t1 --vm 4 --address 127.0.0.1:80 --data-centre b --pool m --version v1 --slots 8",
            2,
            "",
            "--data-centre: there is no data-centre b",
        ),
        case(
            "target put t1 --vm 4 --address 127.0.0.1:80 --data-centre a --pool m --version v1 --slots 8",
            0,
            "applied at @4",
            "",
        ),
        case(
            "target put t1 --slots 4097",
            2,
            "",
            "slots: 4097 is not in 1 to 4096",
        ),
        case("target put t1 --slots 16", 0, "applied at @5", ""),
        case(
            "get target --name t1",
            0,
            "m v1 at 127.0.0.1:80, VM 4, data centre a, 16 slots",
            "",
        ),
        case("data-centre out a", 0, "applied at @6", ""),
        case("get data-centre", 0, "OUT of service", ""),
        case("data-centre put a --region flanders", 0, "unchanged", ""),
        case("data-centre in a", 0, "applied at @7", ""),
        case(
            "version move m --from v1 --to v1 --finish-in 1m",
            2,
            "",
            "to: must differ from `from`",
        ),
        case(
            "version move x --from v1 --to v2 --finish-in 1m",
            2,
            "",
            "pool: there is no pool x",
        ),
        case(
            "version move m --from v1 --to v2 --finish-in soon",
            2,
            "",
            "soon is not a time",
        ),
        case(
            "version move m --from v1 --to v2 --finish-in 10m",
            0,
            "applied at @8",
            "",
        ),
        case("version remove m", 0, "applied at @9", ""),
        case("version remove m", 2, "", "name: there is no version m"),
        case("target remove t1", 0, "applied at @10", ""),
        case("get target", 0, "KIND", ""),
        case(
            "get target --name t1",
            1,
            "",
            "there is no entry t1 of that kind",
        ),
        case("get nonsense", 2, "", "nonsense is not one of"),
        case("organisation", 2, "", "subcommand"),
        case(
            "--log ftp://127.0.0.1 get",
            2,
            "",
            "is not an address such as",
        ),
        case("--help", 0, "Exit codes", ""),
    ];
    let log = log::spawn(Config::default())
        .await
        .expect("loopback has free ports");
    let url = log.url();
    for Case {
        line,
        code,
        stdout,
        stderr,
    } in cases
    {
        let mut args = vec!["--log", url.as_str()];
        if line.starts_with("--") {
            args.clear();
        }
        args.extend(words(line));
        let ran = bulrushctl(&args).await;
        assert_eq!(ran.code, code, "{line}: {ran:?}");
        assert!(ran.stdout.contains(stdout), "{line}: {ran:?}");
        assert!(ran.stderr.contains(stderr), "{line}: {ran:?}");
    }
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
        /// What `get pool` shows afterwards; the log is made whole before.
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
                rivals: vec![rival(None, Service::Plain)],
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
                rivals: vec![rival(None, Service::Plain)],
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
                rivals: vec![rival(Some(9), Service::Plain)],
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
            name: "the log is out",
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
        args.extend(words(line));
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
    let rivals = vec![rival(None, Service::Plain)];
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

#[tokio::test]
async fn a_token_of_the_log_is_read_from_a_file() {
    struct Case {
        name: &'static str,
        content: &'static str,
        code: i32,
        stderr: &'static str,
    }
    let cases = [
        Case {
            name: "right",
            content: "secret\n",
            code: 0,
            stderr: "",
        },
        Case {
            name: "wrong",
            content: "other",
            code: 2,
            stderr: "--log-token-file",
        },
        Case {
            name: "empty",
            content: "\n",
            code: 2,
            stderr: "must hold one token",
        },
        Case {
            name: "two",
            content: "a b",
            code: 2,
            stderr: "must hold one token",
        },
    ];
    let cfg = Config {
        token: Some("secret".to_owned()),
        ..Config::default()
    };
    let log = log::spawn(cfg).await.expect("loopback has free ports");
    for Case {
        name,
        content,
        code,
        stderr,
    } in cases
    {
        let file = Temporary::with(content);
        let path = file.path();
        let ran = bulrushctl(&["--log", &log.url(), "--log-token-file", &path, "get"]).await;
        assert_eq!(ran.code, code, "{name}: {ran:?}");
        assert!(ran.stderr.contains(stderr), "{name}: {ran:?}");
    }
}
