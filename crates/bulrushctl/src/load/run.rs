//! Runs an experiment.

use std::io::{IsTerminal, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bulrushtrestle_core::cost::Cost;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinSet;
use tokio::time::{self, MissedTickBehavior};

use super::caller::Caller;
use super::experiment::{Experiment, Kind, Stream};
use super::gap::{Gap, Point};
use super::report::{Report, Sample};
use super::schedule::{Arrival, arrivals};
use super::tally::{Call, Charge, Tally};
use super::{plot, report};
use crate::args::Load;
use crate::error::Error;
use crate::output::Output;

/// The number of prompt bytes that count as one token.
const BYTES_PER_TOKEN: u64 = 4;

/// Runs the experiment that a file describes, prints a table and writes the report and the plot.
///
/// # Errors
///
/// Fails if the file is not valid, if no router can be reached, or if a result cannot be written.
pub(crate) async fn run(args: &Load, out: &Output) -> Result<(), Error> {
    let experiment = Experiment::load(&args.file)?;
    let caller = Caller::new(&experiment);
    caller.check_reachable().await?;
    let interrupts = signal(SignalKind::interrupt())
        .map_err(|err| Error::failed(format!("cannot install the SIGINT handler: {err}")))?;
    let report = Run::new(experiment, caller, interrupts).run_to_end().await;
    out.result(&report, || report::text(&report));
    if let Some(file) = &args.report {
        let json = serde_json::to_vec_pretty(&report).expect("reports have string keys");
        std::fs::write(file, json).map_err(|err| cannot_write(file, &err.to_string()))?;
    }
    if let Some(file) = &args.plot {
        plot::write(&report, file).map_err(|err| cannot_write(file, &err))?;
    }
    if args.strict {
        check_strict(&report)?;
    }
    Ok(())
}

/// Checks the report as `--strict` requires.
///
/// # Errors
///
/// Fails if a request got neither a complete answer nor a refusal, or if an organisation got no
/// complete answer.
fn check_strict(report: &Report) -> Result<(), Error> {
    let organisations = &report.organisations;
    let failed: u64 = organisations
        .iter()
        .flat_map(|organisation| organisation.failed.values())
        .sum();
    if failed > 0 {
        let problem = format!("{failed} requests have neither a complete answer nor a refusal");
        return Err(Error::failed(problem));
    }
    match organisations
        .iter()
        .find(|organisation| organisation.sent > 0 && organisation.finished == 0)
    {
        Some(organisation) => Err(Error::failed(format!(
            "no request of {} was answered",
            organisation.name
        ))),
        None => Ok(()),
    }
}

fn cannot_write(file: &Path, problem: &str) -> Error {
    Error::failed(format!("{} cannot be written: {problem}", file.display()))
}

/// An experiment in progress.
struct Run {
    experiment: Arc<Experiment>,
    caller: Arc<Caller>,
    tally: Arc<Tally>,
    calls: JoinSet<()>,
    sent: u64,
    gap: Gap,
    samples: Vec<Sample>,
    start: Instant,
    /// SIGINT. The first signal stops new requests, the second stops the wait for requests in flight.
    interrupts: Signal,
    interrupted: bool,
}

impl Run {
    fn new(experiment: Experiment, caller: Caller, interrupts: Signal) -> Self {
        Self {
            tally: Arc::new(Tally::new(experiment.organisations.len())),
            experiment: Arc::new(experiment),
            caller: Arc::new(caller),
            calls: JoinSet::new(),
            sent: 0,
            gap: Gap::default(),
            samples: Vec::new(),
            start: Instant::now(),
            interrupts,
            interrupted: false,
        }
    }

    /// Sends every request at its intended time, waits for requests in flight and returns the report.
    async fn run_to_end(mut self) -> Report {
        let arrivals = arrivals(&self.experiment);
        self.start = Instant::now();
        let mut ticks = time::interval(Duration::from_millis(self.experiment.sample_ms));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let mut due = arrivals.iter().peekable();
        while let Some(&arrival) = due.peek() {
            tokio::select! {
                biased;
                _ = self.interrupts.recv() => {
                    self.interrupted = true;
                    break;
                }
                _ = ticks.tick() => self.sample(),
                () = time::sleep_until((self.start + arrival.at).into()) => {
                    self.send(*arrival);
                    due.next();
                }
                Some(_) = self.calls.join_next() => {}
            }
        }
        self.drain(&mut ticks).await;
        self.sample();
        if std::io::stderr().is_terminal() {
            eprintln!();
        }
        Report {
            interrupted: self.interrupted,
            samples: self.samples,
            fairness_gap: self.gap.max(),
            ..Report::new(&self.experiment, &self.tally.counts())
        }
    }

    fn send(&mut self, arrival: Arrival) {
        let Arrival {
            at,
            organisation,
            stream,
        } = arrival;
        // Removes finished calls here, because the loop does not reach `join_next` while arrivals are
        // overdue.
        while self.calls.try_join_next().is_some() {}
        if self.calls.len() as u64 >= self.experiment.in_flight_max {
            self.tally.count_not_sent(organisation);
            return;
        }
        let (experiment, caller) = (Arc::clone(&self.experiment), Arc::clone(&self.caller));
        let charge = charge(&experiment.organisations[organisation].streams[stream]);
        let intended = self.start + at;
        let call = Call::start(&self.tally, organisation, self.sent, charge, intended);
        self.sent += 1;
        self.calls.spawn(async move {
            let entry = &experiment.organisations[organisation];
            let stream = &entry.streams[stream];
            let outcome = caller.call(organisation, entry, stream, &call).await;
            call.end(&outcome);
        });
    }

    /// Waits for requests in flight, for up to the experiment's `drain_seconds`, then cancels the rest.
    async fn drain(&mut self, ticks: &mut time::Interval) {
        let until = Instant::now() + Duration::from_secs_f64(self.experiment.drain_seconds);
        while !self.calls.is_empty() {
            tokio::select! {
                biased;
                () = time::sleep_until(until.into()) => break,
                _ = self.interrupts.recv() => {
                    self.interrupted = true;
                    break;
                }
                _ = ticks.tick() => self.sample(),
                Some(_) = self.calls.join_next() => {}
            }
        }
        self.calls.shutdown().await;
    }

    fn sample(&mut self) {
        let now = Instant::now();
        let backlog = Duration::from_millis(self.experiment.backlog_ms);
        let points: Vec<Point> = self
            .tally
            .counts()
            .iter()
            .zip(&self.experiment.organisations)
            .map(|(counts, entry)| Point {
                service: report::tokens(counts.service) / entry.weight as f64,
                backlogged: counts.is_backlogged(now, backlog),
            })
            .collect();
        let gap = self.gap.sample(&points);
        let at = now - self.start;
        self.show_progress(at, gap);
        self.samples.push(Sample::new(at, &points, gap));
    }

    fn show_progress(&self, at: Duration, gap: f64) {
        if !std::io::stderr().is_terminal() {
            return;
        }
        let (seconds, in_flight) = (at.as_secs_f64(), self.calls.len());
        let total = self.experiment.seconds;
        let mut stderr = std::io::stderr();
        // An error while printing progress does not affect the experiment.
        let _ = write!(
            stderr,
            "\r{seconds:6.1} of {total:.1} s, {} sent, {in_flight} in flight, gap {gap:.0}  ",
            self.sent,
        );
        let _ = stderr.flush();
    }
}

/// Returns the charge for a request of a stream.
fn charge(stream: &Stream) -> Charge {
    match stream.kind {
        Kind::Chat => Charge {
            at_first: Cost::prompt((stream.prefix_bytes + stream.body_bytes) / BYTES_PER_TOKEN),
            at_end: Cost::ZERO,
        },
        Kind::Plain => Charge {
            at_first: Cost::ZERO,
            at_end: Cost::elapsed(Duration::from_millis(stream.call_ms)),
        },
    }
}
