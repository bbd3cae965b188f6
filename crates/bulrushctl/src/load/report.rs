//! What an experiment found out.

use std::collections::BTreeMap;
use std::time::Duration;

use bulrushtrestle_core::cost::Cost;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::experiment::Experiment;
use super::gap::Point;
use super::tally::Counts;
use crate::output::table;

/// The result of an experiment. Service is counted in tokens, prompts and plain calls included.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    /// For how long requests arrived.
    pub(super) seconds: f64,
    /// Whether it was interrupted before all requests had arrived and ended.
    pub(super) interrupted: bool,
    /// The seed of the arrivals.
    pub(super) seed: u64,
    /// Since when a waiting request makes its organisation backlogged.
    pub(super) backlog_ms: u64,
    /// The widest gap in weighted service between two organisations while both were backlogged.
    pub(super) fairness_gap: f64,
    /// What each organisation got.
    pub(super) organisations: Vec<Share>,
    /// Service over time.
    pub(super) samples: Vec<Sample>,
}

/// What one organisation got.
#[derive(Debug, Serialize)]
pub(super) struct Share {
    pub(super) name: String,
    pub(super) weight: u64,
    pub(super) sent: u64,
    /// Requests that were due while too many were under way.
    pub(super) not_sent: u64,
    pub(super) finished: u64,
    pub(super) refused: Vec<Refused>,
    /// Requests without a whole answer and without a refusal, by what was seen.
    pub(super) failed: BTreeMap<String, u64>,
    pub(super) tokens: u64,
    pub(super) service: f64,
    /// From the intended start to the end of a whole answer.
    pub(super) latency_ms: Latency,
    /// From the intended start to the beginning of the answer.
    pub(super) first_ms: Latency,
    /// From one token to the next.
    pub(super) between_ms: Latency,
    /// From the intended start to the end of a refusal.
    pub(super) refusal_ms: Latency,
}

/// Refusals of one kind.
#[derive(Debug, Serialize)]
pub(super) struct Refused {
    pub(super) reason: String,
    pub(super) verdict: String,
    pub(super) retry_after: bool,
    pub(super) count: u64,
}

/// A summary of a histogram, in milliseconds.
#[derive(Debug, Serialize)]
pub(super) struct Latency {
    pub(super) count: u64,
    pub(super) p50: f64,
    pub(super) p90: f64,
    pub(super) p95: f64,
    pub(super) p99: f64,
    pub(super) max: f64,
}

/// All organisations at one time.
#[derive(Debug, Serialize)]
pub(super) struct Sample {
    /// Since the start.
    pub(super) at_ms: u64,
    /// Service so far divided by the weight, in the order of the organisations.
    pub(super) service: Vec<f64>,
    /// Whether each is backlogged.
    pub(super) backlogged: Vec<bool>,
    /// The widest gap of the stretches of backlog that go on.
    pub(super) gap: f64,
}

impl Sample {
    pub(super) fn new(at: Duration, points: &[Point], gap: f64) -> Self {
        Self {
            at_ms: u64::try_from(at.as_millis()).unwrap_or(u64::MAX),
            service: points.iter().map(|point| point.service).collect(),
            backlogged: points.iter().map(|point| point.backlogged).collect(),
            gap,
        }
    }
}

impl Report {
    /// Returns a report without samples.
    pub(super) fn new(experiment: &Experiment, counts: &[Counts]) -> Self {
        let organisations = experiment.organisations.iter().zip(counts);
        Self {
            seconds: experiment.seconds,
            interrupted: false,
            seed: experiment.seed,
            backlog_ms: experiment.backlog_ms,
            fairness_gap: 0.0,
            organisations: organisations
                .map(|(entry, counts)| Share::new(&entry.name, entry.weight, counts))
                .collect(),
            samples: Vec::new(),
        }
    }
}

impl Share {
    fn new(name: &str, weight: u64, counts: &Counts) -> Self {
        let refused = counts.refused.iter().map(|(refusal, &count)| Refused {
            reason: refusal.reason.clone(),
            verdict: refusal.verdict.clone(),
            retry_after: refusal.retry_after,
            count,
        });
        Self {
            name: name.to_owned(),
            weight,
            sent: counts.sent,
            not_sent: counts.not_sent,
            finished: counts.finished,
            refused: refused.collect(),
            failed: counts
                .failed
                .iter()
                .map(|(what, &count)| (what.name(), count))
                .collect(),
            tokens: counts.tokens,
            service: tokens(counts.service),
            latency_ms: Latency::new(&counts.latency),
            first_ms: Latency::new(&counts.first),
            between_ms: Latency::new(&counts.between),
            refusal_ms: Latency::new(&counts.refusal),
        }
    }
}

impl Latency {
    fn new(histogram: &Histogram<u64>) -> Self {
        let quantile = |q| millis(histogram.value_at_quantile(q));
        Self {
            count: histogram.len(),
            p50: quantile(0.50),
            p90: quantile(0.90),
            p95: quantile(0.95),
            p99: quantile(0.99),
            max: millis(histogram.max()),
        }
    }
}

/// Returns service in tokens.
pub(super) fn tokens(service: Cost) -> f64 {
    service.0 as f64 / Cost::TOKEN.0 as f64
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

/// Returns the report as tables for people.
pub(super) fn text(report: &Report) -> String {
    let mut rows = vec![
        [
            "ORGANISATION",
            "SENT",
            "DONE",
            "REFUSED",
            "FAILED",
            "SERVICE",
            "FIRST p50",
            "p95",
            "TOKEN p95",
            "WHOLE p95",
        ]
        .map(str::to_owned),
    ];
    rows.extend(report.organisations.iter().map(row));
    let mut text = table(&rows);
    if report.interrupted {
        text.push_str("\nInterrupted before the end.\n");
    }
    text.push_str("\nService in tokens, times in ms from the intended start.\n");
    text.push_str(&format!(
        "Widest gap in weighted service between two backlogged organisations: {:.0} tokens.\n",
        report.fairness_gap,
    ));
    for share in &report.organisations {
        text.push_str(&problems(share));
    }
    text
}

fn row(share: &Share) -> [String; 10] {
    let refused: u64 = share.refused.iter().map(|refused| refused.count).sum();
    let failed: u64 = share.failed.values().sum();
    let ms = |value: f64| format!("{value:.0}");
    [
        share.name.clone(),
        share.sent.to_string(),
        share.finished.to_string(),
        refused.to_string(),
        failed.to_string(),
        format!("{:.0}", share.service),
        ms(share.first_ms.p50),
        ms(share.first_ms.p95),
        ms(share.between_ms.p95),
        ms(share.latency_ms.p95),
    ]
}

fn problems(share: &Share) -> String {
    let mut text = String::new();
    let name = &share.name;
    for Refused {
        reason,
        verdict,
        count,
        ..
    } in &share.refused
    {
        text.push_str(&format!("{name}: {count} refused: {reason} ({verdict})\n"));
    }
    for (what, count) in &share.failed {
        text.push_str(&format!("{name}: {count} failed: {what}\n"));
    }
    if share.not_sent > 0 {
        let count = share.not_sent;
        text.push_str(&format!(
            "{name}: {count} not sent, too many were under way\n"
        ));
    }
    text
}
