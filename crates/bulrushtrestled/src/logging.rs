//! Structured log lines on the standard output. A line is written for each decision about a request,
//! each change of the process's state, each dependency that becomes unavailable or available again,
//! and the start and stop of the process.
//!
//! A line has the time, the level, the kind of event, and `key=value` pairs. Logging never blocks a
//! request: lines go through a bounded queue to a separate thread, which writes them in batches a few
//! times per second. On a weak VM, waking the thread for each line would cost more than the line
//! itself. The number of lines per second is limited too. Lines beyond the limits are dropped and
//! counted, and the next second begins with a line that holds the count. The sums of organisations
//! have a limit of their own, because they are needed most when many requests are refused, each with
//! a line.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, UNIX_EPOCH};

#[cfg(test)]
mod tests;

use bulrushtrestle_core::output::{Notice, NoticeKind};
use logforth::record::Record;
use logforth::{Append, Diagnostic};

/// The most lines that are queued to be written. At a fifth of a KiB each they take no more than 1 MiB.
const QUEUE_LINES: usize = 4_096;

/// The most lines per second. A router at the design size answers fewer requests per second.
const LINES_PER_SECOND: u32 = 1_000;

/// The most lines with the sums of organisations per second. A router has one for each organisation
/// and pool with requests.
const SUMS_PER_SECOND: u32 = 250;

/// The time over which lines are counted for [`LINES_PER_SECOND`] and [`SUMS_PER_SECOND`].
const WINDOW: Duration = Duration::from_secs(1);

/// The time for which lines are collected before they are written together. If the process is killed,
/// at most the lines of this time are lost.
const WRITE_PAUSE: Duration = Duration::from_millis(50);

/// The longest time for which the process waits at its end for the last lines to be written, a few
/// times [`WRITE_PAUSE`]. The wait is limited because nothing may be reading the
/// standard output.
const FINISH_MAX: Duration = Duration::from_millis(250);

/// Starts the log. Must be called once, before anything is logged.
pub(crate) fn start() -> std::io::Result<Writer> {
    let (lines, waiting) = sync_channel(QUEUE_LINES);
    let (ended, has_ended) = sync_channel(0);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            let _ended = ended;
            write_lines(&waiting);
        })?;
    let writer = Writer {
        lines: lines.clone(),
        has_ended,
    };
    let append = QueueAppender {
        lines,
        window: Mutex::new(Window::new(Instant::now())),
        dropped: AtomicU64::new(0),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .apply();
    log::set_max_level(log::LevelFilter::Info);
    Ok(writer)
}

/// A handle of the thread that writes lines.
#[derive(Debug)]
pub(crate) struct Writer {
    lines: SyncSender<Line>,
    /// Disconnects when the thread ends.
    has_ended: Receiver<()>,
}

impl Writer {
    /// Writes the queued lines and ends the thread. Later lines are not written.
    pub(crate) fn finish(self) {
        if self.lines.try_send(Line::End).is_ok() {
            // The thread never sends. The call returns when the thread drops its end.
            let _ = self.has_ended.recv_timeout(FINISH_MAX);
        }
    }
}

/// A message to the thread that writes lines.
#[derive(Debug)]
enum Line {
    /// A line to be written.
    Text(String),
    /// No more lines follow.
    End,
}

/// Logs changes of state.
#[derive(Debug)]
pub(crate) struct EventLog;

impl EventLog {
    /// Returns an event log.
    pub(crate) const fn new() -> Self {
        Self
    }

    /// Logs a change of state that the node reported.
    pub(crate) fn notice(&self, notice: &Notice) {
        self.line(kind_name(notice.kind), &notice.subject);
    }

    /// Logs a change of state of the process itself.
    pub(crate) fn line(&self, kind: &str, subject: &str) {
        log::info!(target: kind, "{subject}");
    }
}

/// Queues lines for the thread that writes them, within the limits of queue and rate.
#[derive(Debug)]
struct QueueAppender {
    lines: SyncSender<Line>,
    window: Mutex<Window>,
    /// The number of lines dropped since the last line that reported the count.
    dropped: AtomicU64,
}

/// The number of lines in the present second.
#[derive(Debug)]
struct Window {
    since: Instant,
    /// The lines with sums of organisations.
    sums: u32,
    /// All other lines.
    others: u32,
}

impl Window {
    const fn new(since: Instant) -> Self {
        Self {
            since,
            sums: 0,
            others: 0,
        }
    }

    /// Begins a new second if the present one is over, and returns whether it did.
    fn advance(&mut self, now: Instant) -> bool {
        let is_over = now.duration_since(self.since) >= WINDOW;
        if is_over {
            *self = Self::new(now);
        }
        is_over
    }

    /// Counts a line of a kind, and returns whether it may be written.
    fn allows(&mut self, kind: &str) -> bool {
        let (count, most) = match kind == kind_name(NoticeKind::Funnel) {
            true => (&mut self.sums, SUMS_PER_SECOND),
            false => (&mut self.others, LINES_PER_SECOND),
        };
        *count += 1;
        *count <= most
    }
}

impl Append for QueueAppender {
    fn append(
        &self,
        record: &Record<'_>,
        _diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        if !self.allows_line(record.target())
            || self.lines.try_send(Line::Text(format(record))).is_err()
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

impl QueueAppender {
    /// Returns whether another line may be written in the present second. Counts the line. At the start
    /// of a second, queues a line with the number of dropped lines.
    fn allows_line(&self, kind: &str) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.advance(Instant::now()) {
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let line = format!("{} WARN log: left_out={dropped}\n", unix_millis());
                // If the queue is still full, the count is kept for the next second.
                if self.lines.try_send(Line::Text(line)).is_err() {
                    self.dropped.fetch_add(dropped, Ordering::Relaxed);
                }
            }
        }
        window.allows(kind)
    }
}

/// Writes queued lines in batches until the last line or an error of the standard output.
fn write_lines(waiting: &Receiver<Line>) {
    let mut out = std::io::stdout().lock();
    while let Ok(Line::Text(mut text)) = waiting.recv() {
        thread::sleep(WRITE_PAUSE);
        let ends = loop {
            match waiting.try_recv() {
                Ok(Line::Text(next)) => text.push_str(&next),
                Err(TryRecvError::Empty) => break false,
                Ok(Line::End) | Err(TryRecvError::Disconnected) => break true,
            }
        };
        // The thread ends without a report: there is no other output for an error.
        if out.write_all(text.as_bytes()).is_err() || out.flush().is_err() || ends {
            return;
        }
    }
}

/// Returns a record as a line of text.
fn format(record: &Record<'_>) -> String {
    format!(
        "{} {} {}: {}\n",
        unix_millis(),
        record.level().name(),
        record.target(),
        record.payload(),
    )
}

/// Returns the system time in milliseconds since the Unix epoch, or zero if the clock is before the
/// epoch.
fn unix_millis() -> u128 {
    std::time::SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

/// Returns the kind of a notice as written in log lines.
const fn kind_name(kind: NoticeKind) -> &'static str {
    match kind {
        NoticeKind::Readiness => "readiness",
        NoticeKind::Log => "log",
        NoticeKind::Peer => "peer",
        NoticeKind::Catalogue => "catalogue",
        NoticeKind::Target => "target",
        NoticeKind::Version => "version",
        NoticeKind::Lease => "lease",
        NoticeKind::Usage => "usage",
        NoticeKind::Scale => "scale",
        NoticeKind::Funnel => "funnel",
        NoticeKind::Quarantine => "quarantine",
        NoticeKind::Stop => "stop",
    }
}
