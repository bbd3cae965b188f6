//! Tests of the parts of an experiment that need no router.

use std::time::Duration;

use serde_json::{Value, json};

use super::experiment::Experiment;
use super::gap::{Gap, Point};
use super::schedule::arrivals;
use super::sse::{Event, Parser};

/// Returns a valid experiment in which the field at a JSON pointer is replaced.
fn with(pointer: &str, value: Value) -> Value {
    let mut experiment = json!({
        "seeds": ["127.0.0.1:8001"],
        "seconds": 10.0,
        "organisations": [{
            "name": "lyceum",
            "token": "secret",
            "streams": [
                { "kind": "chat", "pool": "m", "per_second": 20.0 },
                { "kind": "plain", "pool": "desk", "per_second": 5.0, "seconds": 2.0 },
            ],
        }],
    });
    let (parent, name) = pointer
        .rsplit_once('/')
        .expect("a pointer begins with a slash");
    let parent = experiment.pointer_mut(parent).expect("the parent exists");
    parent[name] = value;
    experiment
}

fn parse(value: Value) -> Experiment {
    serde_json::from_value(value).expect("the experiment has the right form")
}

#[test]
fn a_field_out_of_range_is_named_with_its_range() {
    struct Case {
        pointer: &'static str,
        value: Value,
        error: &'static str,
    }
    let cases = [
        Case {
            pointer: "/seeds",
            value: json!([]),
            error: "seeds: must name at least one router",
        },
        Case {
            pointer: "/seeds",
            value: json!(["127.0.0.1:1", "10.0.0.1:8001"]),
            error: "seeds: 10.0.0.1:8001 is not a loopback address, such as 127.0.0.1:8001",
        },
        Case {
            pointer: "/seconds",
            value: json!(601.0),
            error: "seconds: 601 is not in 0.1 to 600",
        },
        Case {
            pointer: "/requests_max",
            value: json!(200_001),
            error: "requests_max: 200001 is not in 1 to 200000",
        },
        Case {
            pointer: "/in_flight_max",
            value: json!(0),
            error: "in_flight_max: 0 is not in 1 to 10000",
        },
        Case {
            pointer: "/sample_ms",
            value: json!(49),
            error: "sample_ms: 49 is not in 50 to 10000",
        },
        Case {
            pointer: "/organisations",
            value: json!([]),
            error: "organisations: must name at least one",
        },
        Case {
            pointer: "/organisations/0/token",
            value: Value::Null,
            error: "organisations[0].token: must be given, or else token_file",
        },
        Case {
            pointer: "/organisations/0/token",
            value: json!("a\nb"),
            error: "organisations[0].token: must be visible ASCII characters",
        },
        Case {
            pointer: "/organisations/0/streams/0/pool",
            value: json!("a b"),
            error: "organisations[0].streams[0].pool: must be 1 to 100 bytes of lower-case letters, \
                    digits, '-', '_' and '.'",
        },
        Case {
            pointer: "/organisations/0/streams/1/path",
            value: json!("/a b"),
            error: "organisations[0].streams[1].path: must be a path such as /book?day=3",
        },
        Case {
            pointer: "/organisations/0/streams/0/deadline_ms",
            value: json!(0),
            error: "organisations[0].streams[0].deadline_ms: 0 is not in 1 to 86400000",
        },
        Case {
            pointer: "/organisations/0/weight",
            value: json!(1_001),
            error: "organisations[0].weight: 1001 is not in 1 to 1000",
        },
        Case {
            pointer: "/organisations/0/streams/1/per_second",
            value: json!(0.0),
            error: "organisations[0].streams[1].per_second: 0 is not in 0.001 to 10000",
        },
        Case {
            pointer: "/organisations/0/streams/1/path",
            value: json!("book"),
            error: "organisations[0].streams[1].path: must be a path such as /book?day=3",
        },
    ];
    for Case {
        pointer,
        value,
        error,
    } in cases
    {
        let outcome = parse(with(pointer, value)).check();
        assert_eq!(
            outcome.map_err(|err| err.to_string()),
            Err(error.to_owned()),
            "{pointer}"
        );
    }
    assert!(parse(with("/seconds", json!(600.0))).check().is_ok());
}

#[test]
fn arrivals_are_bounded_and_depend_on_the_seed_alone() {
    struct Case {
        name: &'static str,
        pointer: &'static str,
        value: Value,
        count: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        // 20 a second for 10 s and 5 a second for 2 s: 210 on average, four standard deviations.
        Case {
            name: "the given seed",
            pointer: "/seed",
            value: json!(1),
            count: 152..=268,
        },
        Case {
            name: "another seed",
            pointer: "/seed",
            value: json!(2),
            count: 152..=268,
        },
        Case {
            name: "bounded",
            pointer: "/requests_max",
            value: json!(7),
            count: 7..=7,
        },
    ];
    let mut schedules = Vec::new();
    for Case {
        name,
        pointer,
        value,
        count,
    } in cases
    {
        let experiment = parse(with(pointer, value));
        let all = arrivals(&experiment);
        assert!(count.contains(&all.len()), "{name}: {}", all.len());
        assert_eq!(all, arrivals(&experiment), "{name}");
        assert!(all.is_sorted(), "{name}");
        for arrival in &all {
            let end = Duration::from_secs(if arrival.stream == 0 { 10 } else { 2 });
            assert!(arrival.at < end, "{name}: {arrival:?}");
        }
        schedules.push(all);
    }
    assert_ne!(schedules[0], schedules[1], "the seed makes no difference");
    assert_eq!(
        schedules[0][..7],
        schedules[2][..],
        "the bound changes the arrivals before it"
    );
}

#[test]
fn the_gap_counts_only_while_both_are_backlogged() {
    struct Case {
        name: &'static str,
        /// The service and backlog of two organisations at each sample.
        samples: &'static [[(f64, bool); 2]],
        max: f64,
    }
    let cases = [
        Case {
            name: "equal service",
            samples: &[[(0.0, true), (0.0, true)], [(50.0, true), (50.0, true)]],
            max: 0.0,
        },
        Case {
            name: "one starves while both wait",
            samples: &[[(0.0, true), (0.0, true)], [(90.0, true), (10.0, true)]],
            max: 80.0,
        },
        Case {
            name: "what was served before both waited does not count",
            samples: &[
                [(0.0, true), (0.0, false)],
                [(500.0, true), (0.0, true)],
                [(510.0, true), (15.0, true)],
            ],
            max: 5.0,
        },
        Case {
            name: "a swing from one side to the other counts in full",
            samples: &[
                [(0.0, true), (0.0, true)],
                [(30.0, true), (0.0, true)],
                [(30.0, true), (70.0, true)],
            ],
            max: 70.0,
        },
        Case {
            name: "a pause begins a new stretch",
            samples: &[
                [(0.0, true), (0.0, true)],
                [(30.0, true), (0.0, true)],
                [(40.0, false), (0.0, true)],
                [(40.0, true), (0.0, true)],
                [(60.0, true), (0.0, true)],
            ],
            max: 30.0,
        },
    ];
    for Case { name, samples, max } in cases {
        let mut gap = Gap::default();
        for sample in samples {
            gap.sample(&sample.map(|(service, backlogged)| Point {
                service,
                backlogged,
            }));
        }
        assert!((gap.max() - max).abs() < 1e-9, "{name}: {}", gap.max());
    }
}

#[test]
fn events_are_read_however_the_bytes_are_cut() {
    struct Case {
        name: &'static str,
        text: &'static str,
        events: Vec<Event>,
    }
    let token = |number, data: &str| Event::Token {
        number,
        data: data.to_owned(),
    };
    let cases = [
        Case {
            name: "tokens and the end mark",
            text: "id: 1\ndata: {}\n\nid: 2\ndata: {}\n\ndata: [DONE]\n\n",
            events: vec![token(Some(1), "{}"), token(Some(2), "{}"), Event::End],
        },
        Case {
            name: "carriage returns, comments, no space",
            text: ": hello\r\n\r\ndata:{}\r\n\r\n",
            events: vec![token(None, "{}")],
        },
        Case {
            name: "a problem in the middle",
            text: "event: error\ndata: {}\n\n",
            events: vec![Event::Problem],
        },
        Case {
            name: "cut off within an event",
            text: "id: 1\ndata: {}\n",
            events: Vec::new(),
        },
    ];
    for Case { name, text, events } in cases {
        for size in 1..=text.len() {
            let mut parser = Parser::default();
            let mut parsed = Vec::new();
            for bytes in text.as_bytes().chunks(size) {
                parser.push(bytes, |event| parsed.push(event));
            }
            assert_eq!(parsed, events, "{name}, cut into {size} bytes");
        }
    }
}
