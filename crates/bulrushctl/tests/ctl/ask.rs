//! Tests of the commands that query a router, and of `check`.

use serde_json::{Value, json};

use crate::command::{Temporary, bulrushctl};
use crate::fake::{self, Config};

/// The status of a version move.
#[derive(Clone, Copy)]
enum MoveStatus {
    Moving(u32),
    Finished,
    RolledBack,
}

/// Returns the status of a router with a version move of the pool `m`.
fn status_with_move(to: &str, status: MoveStatus) -> Value {
    let (share, finished, taken_back) = match status {
        MoveStatus::Moving(share) => (share, false, Value::Null),
        MoveStatus::Finished => (1_000, true, Value::Null),
        MoveStatus::RolledBack => (
            0,
            false,
            json!({ "at": 1, "by": 7, "fault": "slow", "route": {} }),
        ),
    };
    let fact = json!({ "fence": 3, "finished": finished, "taken_back": taken_back });
    let step = json!({ "pool": "m", "from": "v1", "to": to, "share": share, "fact": fact });
    json!({ "router": 1, "moves": [step] })
}

#[tokio::test]
async fn a_move_is_followed_to_its_end() {
    struct Case {
        name: &'static str,
        status: Vec<Value>,
        line: &'static str,
        code: i32,
        stdout: &'static [&'static str],
        stderr: &'static str,
    }
    let none = json!({ "router": 1, "moves": [] });
    let started = status_with_move("v2", MoveStatus::Moving(50));
    let cases = [
        Case {
            name: "finished",
            status: vec![
                started.clone(),
                started.clone(),
                status_with_move("v2", MoveStatus::Finished),
            ],
            line: "watch m",
            code: 0,
            stdout: &[
                "m: 5.0% of the traffic has moved from v1 to v2",
                "m: the move from v1 to v2 has finished",
            ],
            stderr: "",
        },
        Case {
            name: "rolled back",
            status: vec![
                started.clone(),
                status_with_move("v2", MoveStatus::RolledBack),
            ],
            line: "watch m",
            code: 1,
            stdout: &[
                "m: 5.0% of the traffic has moved from v1 to v2",
                "m: the move from v1 to v2 was rolled back by router 7: slow",
            ],
            stderr: "was rolled back",
        },
        Case {
            name: "not known to the router yet",
            status: vec![none.clone(), status_with_move("v2", MoveStatus::Finished)],
            line: "watch m",
            code: 0,
            stdout: &["m: the move from v1 to v2 has finished"],
            stderr: "",
        },
        Case {
            name: "after an earlier move",
            status: vec![
                status_with_move("v1", MoveStatus::Finished),
                status_with_move("v2", MoveStatus::Finished),
            ],
            line: "watch m --to v2",
            code: 0,
            stdout: &["m: the move from v1 to v2 has finished"],
            stderr: "",
        },
        Case {
            name: "removed",
            status: vec![started.clone(), none.clone()],
            line: "watch m",
            code: 1,
            stdout: &["m: 5.0% of the traffic has moved from v1 to v2"],
            stderr: "the move was removed",
        },
        Case {
            name: "another pool",
            status: vec![started.clone()],
            line: "--timeout 1s watch x",
            code: 2,
            stdout: &[],
            stderr: "pool: x has no version move",
        },
        Case {
            name: "a status without a list of moves",
            status: vec![json!({ "router": 1 })],
            line: "--timeout 1s watch m --to v2",
            code: 2,
            stdout: &[],
            stderr: "pool: m has no version move to v2",
        },
        Case {
            name: "still under way at the time limit",
            status: vec![started],
            line: "watch m --within 1s",
            code: 4,
            stdout: &["m: 5.0% of the traffic has moved from v1 to v2"],
            stderr: "still under way",
        },
    ];
    for Case {
        name,
        status,
        line,
        code,
        stdout,
        stderr,
    } in cases
    {
        let router = fake::spawn(Config {
            status,
            ..Config::default()
        })
        .await;
        let base = router.address.to_string();
        let token = Temporary::with("secret");
        let path = token.path();
        let mut args = vec!["--router", &base, "--router-token-file", &path];
        args.extend(line.split(' '));
        let ran = bulrushctl(&args).await;
        assert_eq!(ran.code, code, "{name}: {ran:?}");
        assert_eq!(
            ran.stdout.lines().collect::<Vec<_>>(),
            stdout,
            "{name}: {ran:?}"
        );
        assert!(ran.stderr.contains(stderr), "{name}: {ran:?}");
    }
}

#[tokio::test]
async fn status_needs_the_operators_token() {
    struct Case {
        token: &'static str,
        code: i32,
        stdout: &'static str,
        stderr: &'static str,
    }
    let cases = [
        Case {
            token: "secret",
            code: 0,
            stdout: "live: 1, 2\n\
                     ready: true\n\
                     targets:\n  \
                       condition          limit  name\n  \
                       warm               8      t1\n  \
                       {\"warming\":\"new\"}  1      t10\n",
            stderr: "",
        },
        Case {
            token: "other",
            code: 2,
            stdout: "",
            stderr: "--router-token-file",
        },
    ];
    let targets = json!([
        { "name": "t1", "limit": 8, "condition": "warm" },
        { "name": "t10", "limit": 1, "condition": { "warming": "new" } },
    ]);
    let status = vec![json!({ "ready": true, "live": [1, 2], "targets": targets })];
    let router = fake::spawn(Config {
        status,
        ..Config::default()
    })
    .await;
    let base = router.address.to_string();
    for Case {
        token,
        code,
        stdout,
        stderr,
    } in cases
    {
        let file = Temporary::with(token);
        let path = file.path();
        let args = ["--router", &base, "--router-token-file", &path, "status"];
        let ran = bulrushctl(&args).await;
        assert_eq!(ran.code, code, "{token}: {ran:?}");
        assert_eq!(ran.stdout, stdout, "{token}: {ran:?}");
        assert!(ran.stderr.contains(stderr), "{token}: {ran:?}");
    }
    let ran = bulrushctl(&["--router", "127.0.0.1:1", "status"]).await;
    assert_eq!(ran.code, 4, "{ran:?}");
    let ran = bulrushctl(&["status"]).await;
    assert_eq!(ran.code, 2, "{ran:?}");
    assert!(ran.stderr.contains("--router: is needed"), "{ran:?}");
}

#[tokio::test]
async fn files_are_checked_with_the_validator_of_the_routers() {
    struct Case {
        name: &'static str,
        content: &'static str,
        code: i32,
        text: &'static str,
    }
    let cases = [
        Case {
            name: "an entry",
            content: r#"{"kind":"pool","name":"m","service":"model"}"#,
            code: 0,
            text: "valid, 1 entries",
        },
        Case {
            name: "a list with a wrong entry",
            content: r#"[{"kind":"pool","name":"m","service":"model"},
                         {"kind":"data_centre","name":"A","region":"r","state":"in"}]"#,
            code: 2,
            text: "entry 1: name: must be 1 to 100 bytes",
        },
        Case {
            name: "an unknown field",
            content: r#"{"kind":"pool","name":"m","service":"model","size":1}"#,
            code: 2,
            text: "unknown field `size`",
        },
        Case {
            name: "an experiment out of range",
            content: r#"{"seeds":["127.0.0.1:1"],"seconds":0,"organisations":[]}"#,
            code: 2,
            text: "seconds: 0 is not in 0.1 to 600",
        },
        Case {
            name: "settings of a router",
            content: r#"{"router":1,"callers":{}}"#,
            code: 2,
            text: "check them with bulrushtrestled --check",
        },
        Case {
            name: "no JSON",
            content: "{",
            code: 2,
            text: "EOF while parsing",
        },
    ];
    for Case {
        name,
        content,
        code,
        text,
    } in cases
    {
        let file = Temporary::with(content);
        let ran = bulrushctl(&["check", &file.path()]).await;
        assert_eq!(ran.code, code, "{name}: {ran:?}");
        assert!(
            (ran.stdout.clone() + &ran.stderr).contains(text),
            "{name}: {ran:?}"
        );
    }
}
