//! Tests of the accounting of running time by stage.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bulrushtrestle_core::autoscale::ScaleStatus;

use super::{IntervalStats, Metrics, Stage};

const STEP: Duration = Duration::from_millis(20);

/// Returns the value of a field of a log line, or zero if the line lacks the field.
fn field(line: &str, name: &str) -> u128 {
    let value = line.split(' ').find_map(|field| field.strip_prefix(name));
    value.map_or(0, |value| value.parse().expect("a number"))
}

/// Guards against time that is counted twice, for a stage and for the enclosing stage, and against
/// time counted while a task waits.
#[tokio::test]
async fn time_counts_for_the_innermost_stage_and_not_while_a_task_waits() {
    let metrics = Arc::new(Metrics::new());
    let mut stats = IntervalStats::new(Arc::clone(&metrics));
    let began = Instant::now();
    let outer = metrics.busy.enter(Stage::Refuse);
    thread::sleep(STEP);
    let inner = metrics.busy.enter(Stage::Log);
    thread::sleep(STEP);
    drop(inner);
    thread::sleep(STEP);
    drop(outer);
    let took = began.elapsed().as_millis();
    let waits = async {
        tokio::time::sleep(10 * STEP).await;
        thread::sleep(STEP);
    };
    metrics.busy.run(Stage::Relay, waits).await;
    let line = stats.log_fields();
    let (refuse, log) = (field(&line, "refuse_ms="), field(&line, "log_ms="));
    let (relay, step) = (field(&line, "relay_ms="), STEP.as_millis());
    assert!(refuse >= 2 * step && log >= step && relay >= step, "{line}");
    // Each figure is rounded separately.
    assert!(refuse + log <= took + 2, "{line}, took {took}");
    assert!(relay < 10 * step, "{line}");
    assert!(!stats.log_fields().contains("refuse_ms="), "logged twice");
}

/// Guards against numbers of targets that stay in the metrics of a router which no longer knows them.
#[test]
fn numbers_of_targets_are_those_of_the_last_status() {
    let metrics = Metrics::new();
    assert!(!metrics.render().contains("bulrushtrestle_targets_"));
    metrics.scaled(&[ScaleStatus {
        pool: "m".to_owned(),
        data_centre: "a".to_owned(),
        desired: 6,
        present: 5,
    }]);
    let text = metrics.render();
    for line in [
        "bulrushtrestle_targets_desired{service=\"m\",zone=\"a\"} 6",
        "bulrushtrestle_targets_present{service=\"m\",zone=\"a\"} 5",
    ] {
        assert!(text.contains(line), "{text}");
    }
    metrics.scaled(&[]);
    assert!(!metrics.render().contains("bulrushtrestle_targets_"));
}
