//! The results of an experiment.

use std::collections::BTreeMap;
use std::time::Duration;

use bulrushtrestle_core::cost::Cost;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::experiment::Experiment;
use super::gap::Point;
use super::tally::Counts;
use crate::output::table;

/// The results of an experiment. Service is measured in tokens and includes prompts and plain calls.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    /// How long requests arrived, in seconds, as the experiment specifies.
    pub(super) seconds: f64,
    /// Whether the experiment was interrupted before all requests had arrived and ended.
    pub(super) interrupted: bool,
    /// The random seed of the arrivals.
    pub(super) seed: u64,
    /// The wait of a request, in milliseconds, from which on its organisation counts as backlogged.
    pub(super) backlog_ms: u64,
    /// The widest gap in weighted service between two organisations while both were backlogged, in
    /// tokens.
    pub(super) fairness_gap: f64,
    /// The results of each organisation.
    pub(super) organisations: Vec<OrganisationReport>,
    /// The service of all organisations over time.
    pub(super) samples: Vec<Sample>,
}

/// The results of one organisation.
#[derive(Debug, Serialize)]
pub(super) struct OrganisationReport {
    pub(super) name: String,
    pub(super) weight: u64,
    pub(super) sent: u64,
    /// Requests that were not sent because too many requests were in flight.
    pub(super) not_sent: u64,
    pub(super) finished: u64,
    pub(super) refused: Vec<Refused>,
    /// Requests that got neither a complete answer nor a refusal, by the name of the failure.
    pub(super) failed: BTreeMap<String, u64>,
    pub(super) tokens: u64,
    pub(super) service: f64,
    /// The time from the intended start to the end of a complete answer.
    pub(super) latency_ms: Latency,
    /// The time from the intended start to the beginning of the answer.
    pub(super) first_ms: Latency,
    /// The time from one token to the next.
    pub(super) between_ms: Latency,
    /// The time from the intended start to the end of a refusal.
    pub(super) refusal_ms: Latency,
}

/// The number of refusals with the same reason, verdict and presence of `Retry-After`.
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

/// The service and backlog of all organisations at one time.
#[derive(Debug, Serialize)]
pub(super) struct Sample {
    /// The time since the start, in milliseconds.
    pub(super) at_ms: u64,
    /// The service so far divided by the weight, in the order of the organisations.
    pub(super) service: Vec<f64>,
    /// Whether each organisation is backlogged, in the same order.
    pub(super) backlogged: Vec<bool>,
    /// The widest gap between two organisations over their current common backlog, in tokens.
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
                .map(|(entry, counts)| OrganisationReport::new(&entry.name, entry.weight, counts))
                .collect(),
            samples: Vec::new(),
        }
    }
}

impl OrganisationReport {
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
                .map(|(failure, &count)| (failure.name(), count))
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

/// Converts service to tokens.
pub(super) fn tokens(service: Cost) -> f64 {
    service.0 as f64 / Cost::TOKEN.0 as f64
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

/// Formats the report as text for people.
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
    for organisation in &report.organisations {
        text.push_str(&problems(organisation));
    }
    text
}

fn row(organisation: &OrganisationReport) -> [String; 10] {
    let refused: u64 = organisation
        .refused
        .iter()
        .map(|refused| refused.count)
        .sum();
    let failed: u64 = organisation.failed.values().sum();
    let ms = |value: f64| format!("{value:.0}");
    [
        organisation.name.clone(),
        organisation.sent.to_string(),
        organisation.finished.to_string(),
        refused.to_string(),
        failed.to_string(),
        format!("{:.0}", organisation.service),
        ms(organisation.first_ms.p50),
        ms(organisation.first_ms.p95),
        ms(organisation.between_ms.p95),
        ms(organisation.latency_ms.p95),
    ]
}

fn problems(organisation: &OrganisationReport) -> String {
    let mut text = String::new();
    let name = &organisation.name;
    for Refused {
        reason,
        verdict,
        count,
        ..
    } in &organisation.refused
    {
        text.push_str(&format!("{name}: {count} refused: {reason} ({verdict})\n"));
    }
    for (failure, count) in &organisation.failed {
        text.push_str(&format!("{name}: {count} failed: {failure}\n"));
    }
    if organisation.not_sent > 0 {
        let count = organisation.not_sent;
        text.push_str(&format!(
            "{name}: {count} not sent, too many requests were in flight\n"
        ));
    }
    text
}
