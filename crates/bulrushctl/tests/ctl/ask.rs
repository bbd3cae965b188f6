//! Commands that ask a router, and checks of files.

use serde_json::{Value, json};
use uuid::Uuid;

use crate::command::{Ran, bulrushctl};
use crate::fake::{self, Config};

/// Writes a file, runs the command with its path at the end, and removes it.
async fn with_file(content: &str, args: &[&str]) -> Ran {
    let file = std::env::temp_dir().join(format!("bulrushctl-{}", Uuid::now_v7()));
    std::fs::write(&file, content).expect("the temporary directory can be written");
    let path = file.display().to_string();
    let mut all = args.to_vec();
    all.push(&path);
    let ran = bulrushctl(&all).await;
    std::fs::remove_file(&file).expect("the file was just written");
    ran
}

fn step(state: &str, share_permille: u32) -> Value {
    let step = json!({
        "pool": "m",
        "from": "v1",
        "to": "v2",
        "state": state,
        "share_permille": share_permille,
    });
    json!({ "router": 1, "moves": [step] })
}

#[tokio::test]
async fn a_move_is_followed_to_its_end() {
    struct Case {
        name: &'static str,
        status: Vec<Value>,
        pool: &'static str,
        code: i32,
        stdout: &'static [&'static str],
        stderr: &'static str,
    }
    let cases = [
        Case {
            name: "finished",
            status: vec![
                step("moving", 50),
                step("moving", 50),
                step("finished", 1_000),
            ],
            pool: "m",
            code: 0,
            stdout: &[
                "m: 5.0% of the traffic has moved from v1 to v2",
                "m: the move from v1 to v2 has finished",
            ],
            stderr: "",
        },
        Case {
            name: "taken back",
            status: vec![step("moving", 50), step("taken_back", 0)],
            pool: "m",
            code: 1,
            stdout: &[
                "m: 5.0% of the traffic has moved from v1 to v2",
                "m: the move from v1 to v2 was taken back",
            ],
            stderr: "was taken back",
        },
        Case {
            name: "another pool",
            status: vec![step("moving", 50)],
            pool: "x",
            code: 2,
            stdout: &[],
            stderr: "pool: x has no version move",
        },
        Case {
            name: "a router that knows no moves",
            status: vec![json!({ "router": 1 })],
            pool: "m",
            code: 2,
            stdout: &[],
            stderr: "pool: m has no version move",
        },
        Case {
            name: "under way for too long",
            status: vec![step("moving", 50)],
            pool: "m",
            code: 4,
            stdout: &["m: 5.0% of the traffic has moved from v1 to v2"],
            stderr: "still under way",
        },
    ];
    for Case {
        name,
        status,
        pool,
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
        let token = std::env::temp_dir().join(format!("bulrushctl-{}", Uuid::now_v7()));
        std::fs::write(&token, "secret").expect("the temporary directory can be written");
        let path = token.display().to_string();
        let mut args = vec![
            "--router",
            &base,
            "--router-token-file",
            &path,
            "watch",
            pool,
        ];
        args.extend(["--within", "3s"]);
        let ran = bulrushctl(&args).await;
        std::fs::remove_file(&token).expect("the file was just written");
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
            stdout: "live: 1, 2\nready: true\n",
            stderr: "",
        },
        Case {
            token: "other",
            code: 2,
            stdout: "",
            stderr: "--router-token-file",
        },
    ];
    let status = vec![json!({ "ready": true, "live": [1, 2] })];
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
        let file = std::env::temp_dir().join(format!("bulrushctl-{}", Uuid::now_v7()));
        std::fs::write(&file, token).expect("the temporary directory can be written");
        let path = file.display().to_string();
        let args = ["--router", &base, "--router-token-file", &path, "status"];
        let ran = bulrushctl(&args).await;
        std::fs::remove_file(&file).expect("the file was just written");
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
        let ran = with_file(content, &["check"]).await;
        assert_eq!(ran.code, code, "{name}: {ran:?}");
        assert!(
            (ran.stdout.clone() + &ran.stderr).contains(text),
            "{name}: {ran:?}"
        );
    }
}
