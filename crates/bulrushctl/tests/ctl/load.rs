//! Tests of load experiments against a fake router, whose answers each test sets.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::command::{Ran, Temporary, bulrushctl, end, start};
use crate::fake::{self, Answer, Config};

fn experiment(seed: &str) -> Value {
    json!({
        "seeds": [seed],
        "seconds": 0.5,
        "drain_seconds": 1.0,
        "sample_ms": 50,
        "organisations": [{
            "name": "lyceum",
            "token": "secret",
            "streams": [{ "kind": "chat", "pool": "m", "per_second": 100.0, "echo": true }],
        }],
    })
}

async fn run(experiment: &Value, args: &[&str]) -> Ran {
    let file = Temporary::with(&experiment.to_string());
    let path = file.path();
    let mut all = vec!["--json", "load", path.as_str()];
    all.extend(args);
    bulrushctl(&all).await
}

#[tokio::test]
async fn every_request_that_was_due_is_accounted_for() {
    struct Case {
        name: &'static str,
        answer: Answer,
        /// The counter that counts all requests, as a JSON pointer into the organisation's report.
        ends: &'static str,
        tokens_each: u64,
        /// The exit code with `--strict`.
        strict: i32,
    }
    let cases = [
        Case {
            name: "complete answers",
            answer: Answer::Complete {
                tokens: 4,
                after: Duration::ZERO,
            },
            ends: "/finished",
            tokens_each: 4,
            strict: 0,
        },
        Case {
            name: "answers without their end mark",
            answer: Answer::Truncated { tokens: 2 },
            ends: "/failed/truncated",
            tokens_each: 2,
            strict: 1,
        },
        Case {
            name: "answers with a token missing",
            answer: Answer::Gap,
            ends: "/failed/out_of_order",
            tokens_each: 2,
            strict: 1,
        },
        Case {
            name: "answers with a token of another request",
            answer: Answer::Crossed { tokens: 3 },
            ends: "/failed/crossed",
            tokens_each: 3,
            strict: 1,
        },
        Case {
            name: "refusals",
            answer: Answer::Refused,
            ends: "/refused/0/count",
            tokens_each: 0,
            strict: 1,
        },
        Case {
            name: "no answers",
            answer: Answer::Hang,
            ends: "/failed/unfinished",
            tokens_each: 0,
            strict: 1,
        },
    ];
    for Case {
        name,
        answer,
        ends,
        tokens_each,
        strict,
    } in cases
    {
        let router = fake::spawn(Config {
            answer,
            ..Config::default()
        })
        .await;
        let ran = run(&experiment(&router.address.to_string()), &["--strict"]).await;
        assert_eq!(ran.code, strict, "{name}: {ran:?}");
        let report: Value = ran.stdout.lines().next().map_or(Value::Null, |line| {
            serde_json::from_str(line).expect("the report comes first")
        });
        let share = &report["organisations"][0];
        let sent = share["sent"]
            .as_u64()
            .expect("the report counts what was sent");
        // 50 on average; the arrivals are the same on every run.
        assert!((20..=80).contains(&sent), "{name}: {sent}");
        assert_eq!(
            share.pointer(ends).and_then(Value::as_u64),
            Some(sent),
            "{name}: {share}"
        );
        assert_eq!(share["tokens"], tokens_each * sent, "{name}: {share}");
    }
}

#[tokio::test]
async fn latencies_count_from_the_intended_start() {
    let after = Duration::from_millis(300);
    let answer = Answer::Complete { tokens: 1, after };
    let router = fake::spawn(Config {
        answer,
        ..Config::default()
    })
    .await;
    let ran = run(&experiment(&router.address.to_string()), &[]).await;
    let report = ran.json();
    let p50 = report["organisations"][0]["first_ms"]["p50"].as_f64();
    let p50 = p50.expect("the report holds latencies");
    // The upper bound only checks the unit.
    assert!((299.0..3_000.0).contains(&p50), "{p50}");
}

#[tokio::test]
async fn requests_under_way_and_time_are_bounded() {
    let router = fake::spawn(Config {
        answer: Answer::Hang,
        ..Config::default()
    })
    .await;
    let mut experiment = experiment(&router.address.to_string());
    experiment["in_flight_max"] = json!(5);
    experiment["drain_seconds"] = json!(0.2);
    let start = Instant::now();
    let ran = run(&experiment, &[]).await;
    assert!(
        start.elapsed() < Duration::from_secs(30),
        "{:?}",
        start.elapsed()
    );
    let report = ran.json();
    let share = &report["organisations"][0];
    assert_eq!(share["sent"], 5, "{share}");
    assert!(share["not_sent"].as_u64() > Some(10), "{share}");
}

#[tokio::test]
async fn addresses_are_asked_for_and_followed() {
    struct Case {
        name: &'static str,
        /// The addresses that the seed returns. `OTHER` is replaced by the address of another router.
        returned: &'static [&'static str],
        code: i32,
        stderr: &'static str,
        finished: bool,
    }
    const OTHER: &str = "other";
    let cases = [
        Case {
            name: "another router",
            returned: &[OTHER],
            code: 0,
            stderr: "",
            finished: true,
        },
        Case {
            name: "the first does not answer",
            returned: &["127.0.0.1:1", OTHER],
            code: 0,
            stderr: "",
            finished: true,
        },
        Case {
            name: "another machine and a router",
            returned: &["192.0.2.1:80", OTHER],
            code: 0,
            stderr: "",
            finished: true,
        },
        Case {
            name: "another machine only",
            returned: &["192.0.2.1:80"],
            code: 2,
            stderr: "names no loopback address",
            finished: false,
        },
    ];
    for Case {
        name,
        returned,
        code,
        stderr,
        finished,
    } in cases
    {
        let other = fake::spawn(Config::default()).await;
        let returned = returned.iter().map(|&address| match address {
            OTHER => other.address.to_string(),
            address => address.to_owned(),
        });
        let seed = fake::spawn(Config {
            answer: Answer::Refused,
            addresses: returned.collect(),
            ..Config::default()
        })
        .await;
        let ran = run(&experiment(&seed.address.to_string()), &[]).await;
        assert_eq!(ran.code, code, "{name}: {ran:?}");
        assert!(ran.stderr.contains(stderr), "{name}: {ran:?}");
        let report = ran.json();
        let share = &report["organisations"][0];
        assert_eq!(
            share["finished"] == share["sent"] && finished,
            finished,
            "{name}: {share}"
        );
    }
}

#[tokio::test]
async fn wrong_experiments_are_refused_before_anything_is_sent() {
    struct Case {
        name: &'static str,
        field: &'static str,
        value: Value,
        code: i32,
        stderr: &'static str,
    }
    let cases = [
        Case {
            name: "another machine",
            field: "seeds",
            value: json!(["192.0.2.1:8001"]),
            code: 2,
            stderr: "seeds: 192.0.2.1:8001 is not a loopback address",
        },
        Case {
            name: "too long",
            field: "seconds",
            value: json!(3_600.0),
            code: 2,
            stderr: "seconds: 3600 is not in 0.1 to 600",
        },
        Case {
            name: "an unknown field",
            field: "speed",
            value: json!(1),
            code: 2,
            stderr: "unknown field `speed`",
        },
        Case {
            name: "no router there",
            field: "seeds",
            value: json!(["127.0.0.1:1"]),
            code: 4,
            stderr: "the router cannot be reached",
        },
    ];
    for Case {
        name,
        field,
        value,
        code,
        stderr,
    } in cases
    {
        let mut experiment = experiment("127.0.0.1:1");
        experiment[field] = value;
        let ran = run(&experiment, &[]).await;
        assert_eq!(ran.code, code, "{name}: {ran:?}");
        assert!(ran.stderr.contains(stderr), "{name}: {ran:?}");
    }
}

#[tokio::test]
async fn report_and_plot_are_written() {
    let router = fake::spawn(Config::default()).await;
    let mut experiment = experiment(&router.address.to_string());
    let plain =
        json!({ "kind": "plain", "pool": "desk", "per_second": 50.0, "once": true, "echo": true });
    let other = json!({ "name": "guild", "token": "secret", "weight": 2, "streams": [plain] });
    experiment["organisations"]
        .as_array_mut()
        .expect("it is a list")
        .push(other);
    let (report, plot) = (Temporary::new(), Temporary::new());
    let args = ["--report", &report.path(), "--plot", &plot.path()];
    let ran = run(&experiment, &args).await;
    assert_eq!(ran.code, 0, "{ran:?}");
    let report: Value = serde_json::from_str(&report.text()).expect("the report is JSON");
    assert_eq!(report, ran.json());
    let samples = report["samples"]
        .as_array()
        .expect("the report holds samples");
    let last = samples.last().expect("there is a sample at the end");
    for (n, weight) in [(0, 1.0), (1, 2.0)] {
        let entry = &report["organisations"][n];
        assert_eq!(entry["finished"], entry["sent"], "{entry}");
        let service = entry["service"].as_f64().expect("service is a number");
        assert!(service > 0.0, "{entry}");
        assert_eq!(
            last["service"][n].as_f64(),
            Some(service / weight),
            "{entry}"
        );
    }
    let plot = plot.text();
    assert!(plot.starts_with("<svg") && plot.trim_end().ends_with("</svg>"));
    for name in ["lyceum", "guild"] {
        assert!(plot.contains(name), "{name} is not in the plot");
    }
}

#[tokio::test]
async fn an_interrupted_experiment_still_reports() {
    let answer = Answer::Complete {
        tokens: 1,
        after: Duration::ZERO,
    };
    let router = fake::spawn(Config {
        answer,
        ..Config::default()
    })
    .await;
    let mut experiment = experiment(&router.address.to_string());
    experiment["seconds"] = json!(600.0);
    let file = Temporary::with(&experiment.to_string());
    let child = start(&["--json", "load", &file.path()]);
    router.requests_reach(1).await;
    let pid = child.id().expect("the command is running").to_string();
    let kill = std::process::Command::new("kill")
        .args(["-s", "INT", &pid])
        .status();
    assert!(kill.expect("the command runs").success());
    let ran = end(child).await;
    assert_eq!(ran.code, 0, "{ran:?}");
    let report = ran.json();
    assert_eq!(report["interrupted"], true);
    let share = &report["organisations"][0];
    assert!(share["finished"].as_u64() > Some(0), "{share}");
    assert_eq!(share["finished"], share["sent"], "{share}");
}

#[tokio::test]
async fn request_properties_are_sent_as_headers() {
    struct Case {
        field: &'static str,
        value: Value,
        header: &'static str,
        expected: &'static str,
    }
    let cases = [
        Case {
            field: "class",
            value: json!("batch"),
            header: "x-class",
            expected: "batch",
        },
        Case {
            field: "deadline_ms",
            value: json!(2_500),
            header: "x-deadline-ms",
            expected: "2500",
        },
        Case {
            field: "hint_tokens",
            value: json!(40),
            header: "x-cost-hint",
            expected: "40",
        },
    ];
    for Case {
        field,
        value,
        header,
        expected,
    } in cases
    {
        for expected in [None, Some(expected)] {
            let router = fake::spawn(Config::default()).await;
            let mut experiment = experiment(&router.address.to_string());
            if expected.is_some() {
                experiment["organisations"][0]["streams"][0][field] = value.clone();
            }
            let ran = run(&experiment, &["--strict"]).await;
            assert_eq!(ran.code, 0, "{field}: {ran:?}");
            assert_eq!(router.header(header).as_deref(), expected, "{field}");
        }
    }
}
