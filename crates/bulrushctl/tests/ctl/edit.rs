//! Tests of catalogue edits: validation of the input, tokens, and the source of the catalogue.

use bulrushtrestle_standin::log::{self, Config, Faults};
use serde_json::{Value, json};
use uuid::Uuid;

use crate::command::{Temporary, bulrushctl};
use crate::fake;

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
        args.extend(line.split(' '));
        let ran = bulrushctl(&args).await;
        assert_eq!(ran.code, code, "{line}: {ran:?}");
        assert!(ran.stdout.contains(stdout), "{line}: {ran:?}");
        assert!(ran.stderr.contains(stderr), "{line}: {ran:?}");
    }
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

#[tokio::test]
async fn what_a_router_holds_saves_reading_the_log_from_its_beginning() {
    struct Case {
        name: &'static str,
        /// The offset up to which the router has applied the log; `None` if the router does not
        /// answer.
        applied: Option<u64>,
        /// The pools that `get` shows.
        pools: &'static [&'static str],
    }
    let cases = [
        // The router's catalogue lacks the last pool, so the pools that are shown reveal where the
        // command started to read the log.
        Case {
            name: "the router is current",
            applied: Some(4),
            pools: &["a", "b"],
        },
        Case {
            name: "the router lags",
            applied: Some(3),
            pools: &["a", "b", "d"],
        },
        Case {
            name: "the router does not answer",
            applied: None,
            pools: &["d"],
        },
        Case {
            name: "the router belongs to another fleet",
            applied: Some(99),
            pools: &["d"],
        },
    ];
    let stored = |offset: u64, name: &str, entry: bool| {
        let content = json!({ "kind": "pool", "name": name, "service": "model" });
        json!({
            "created": offset,
            "revision": offset,
            "edit": Uuid::now_v7(),
            "entry": if entry { content } else { Value::Null },
            "kind": "pool",
            "name": name,
        })
    };
    for Case {
        name,
        applied,
        pools,
    } in cases
    {
        let log = log::spawn(Config::default())
            .await
            .expect("loopback has free ports");
        let url = log.url();
        for pool in ["a", "b", "c", "d"] {
            let put = ["--log", &url, "pool", "put", pool, "--service", "model"];
            assert_eq!(bulrushctl(&put).await.code, 0, "{name}");
        }
        log.set_faults(Faults {
            keep_records: 1,
            ..Faults::default()
        });
        let held = vec![
            stored(0, "a", true),
            stored(1, "b", true),
            stored(2, "c", false),
        ];
        let router = fake::spawn(fake::Config {
            catalogue: applied.map(|applied| (held, applied)),
            ..fake::Config::default()
        })
        .await;
        let token = Temporary::with("secret");
        let (base, path) = (router.address.to_string(), token.path());
        let mut args = vec!["--json", "--log", &url, "--router", &base];
        args.extend(["--router-token-file", &path, "get", "pool"]);
        let ran = bulrushctl(&args).await;
        let shown = ran.json();
        let shown = shown.as_array().into_iter().flatten();
        let shown: Vec<&str> = shown.filter_map(|entry| entry["name"].as_str()).collect();
        assert_eq!(shown, pools, "{name}: {ran:?}");
    }
}
