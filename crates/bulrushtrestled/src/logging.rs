//! Structured lines on the standard output: one for each decision about a request, each change of what the process
//! believes, each dependency that is lost or back, and the start and stop of the process.
//!
//! A line has the time, the level, what it is about, and `key=value` pairs. Writing never blocks a request: lines go
//! through a bounded queue to a thread of their own, which writes them a few times a second: woken for each line it would cost
//! a weak VM more than the line. The number of lines in a second is bounded too; what is left out is counted, and the next
//! second begins with a line that says how many there were.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TryRecvError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, UNIX_EPOCH};

use bulrushtrestle_core::output::{Notice, NoticeKind};
use logforth::record::Record;
use logforth::{Append, Diagnostic};

/// Lines that wait to be written. At a fifth of a KiB each they take no more than 1 MiB.
const QUEUE_LINES: usize = 4_096;
/// Lines in a second. A router at the size to design for answers fewer requests in a second than that.
const LINES_PER_SECOND: u32 = 1_000;
const SECOND: Duration = Duration::from_secs(1);
/// For how long a line may wait for others to be written with it. The lines of such a time at the most are lost when the
/// process is killed.
const WRITE_PAUSE: Duration = Duration::from_millis(50);
/// The longest that the end of the process waits for its last lines, some times [`WRITE_PAUSE`]. Nobody may read them.
const FINISH_MAX: Duration = Duration::from_millis(250);

/// Starts to write lines. It has to be called once, before anything is logged.
pub(crate) fn start() -> std::io::Result<Writer> {
    let (lines, waiting) = sync_channel(QUEUE_LINES);
    let (ended, has_ended) = sync_channel(0);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            let _ended = ended;
            write_all(&waiting);
        })?;
    let writer = Writer {
        lines: lines.clone(),
        has_ended,
    };
    let append = Bounded {
        lines,
        window: Mutex::new(Window {
            since: Instant::now(),
            count: 0,
        }),
        left_out: AtomicU64::new(0),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .apply();
    log::set_max_level(log::LevelFilter::Info);
    Ok(writer)
}

/// The thread that writes lines.
#[derive(Debug)]
pub(crate) struct Writer {
    lines: SyncSender<Line>,
    /// Shows the end of the thread.
    has_ended: Receiver<()>,
}

impl Writer {
    /// Writes what waits. Nothing is written after that.
    pub(crate) fn finish(self) {
        if self.lines.try_send(Line::End).is_ok() {
            // The thread sends nothing and drops its end.
            let _ = self.has_ended.recv_timeout(FINISH_MAX);
        }
    }
}

/// What the thread that writes is given.
#[derive(Debug)]
enum Line {
    Text(String),
    /// There are no more.
    End,
}

/// Writes changes of state that the node saw.
#[derive(Debug)]
pub(crate) struct EventLog;

impl EventLog {
    /// Opens the journal.
    pub(crate) const fn new() -> Self {
        Self
    }

    /// Writes a change of state that the node saw.
    pub(crate) fn notice(&self, notice: &Notice) {
        self.line(name(notice.kind), &notice.subject);
    }

    /// Writes a change of state of the process itself.
    pub(crate) fn line(&self, kind: &str, subject: &str) {
        log::info!(target: kind, "{subject}");
    }
}

/// Hands lines to the thread that writes them, as far as there is room.
#[derive(Debug)]
struct Bounded {
    lines: SyncSender<Line>,
    window: Mutex<Window>,
    /// Lines that were left out since the last line that said so.
    left_out: AtomicU64,
}

/// How many lines there were in this second.
#[derive(Debug)]
struct Window {
    since: Instant,
    count: u32,
}

impl Append for Bounded {
    fn append(
        &self,
        record: &Record<'_>,
        _diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        if !self.admits() || self.lines.try_send(Line::Text(format(record))).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

impl Bounded {
    /// Says whether there may be another line in this second.
    fn admits(&self) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.since.elapsed() >= SECOND {
            window.since = Instant::now();
            window.count = 0;
            let left_out = self.left_out.swap(0, Ordering::Relaxed);
            if left_out > 0 {
                let line = format!("{} WARN log: left_out={left_out}\n", millis());
                // A queue that is full has no room for this line either.
                if self.lines.try_send(Line::Text(line)).is_err() {
                    self.left_out.fetch_add(left_out, Ordering::Relaxed);
                }
            }
        }
        window.count += 1;
        window.count <= LINES_PER_SECOND
    }
}

/// Writes lines for as long as the process lives, all that wait at once.
fn write_all(waiting: &Receiver<Line>) {
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
        // There is nowhere to report that the standard output is closed.
        if out.write_all(text.as_bytes()).is_err() || out.flush().is_err() || ends {
            return;
        }
    }
}

fn format(record: &Record<'_>) -> String {
    format!(
        "{} {} {}: {}\n",
        millis(),
        record.level().name(),
        record.target(),
        record.payload(),
    )
}

/// Returns the time of day in milliseconds since the Unix epoch. A clock before the epoch reads zero.
fn millis() -> u128 {
    std::time::SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}

const fn name(kind: NoticeKind) -> &'static str {
    match kind {
        NoticeKind::Readiness => "readiness",
        NoticeKind::Log => "log",
        NoticeKind::Peer => "peer",
        NoticeKind::Catalogue => "catalogue",
        NoticeKind::Target => "target",
        NoticeKind::Version => "version",
        NoticeKind::Lease => "lease",
        NoticeKind::Quarantine => "quarantine",
        NoticeKind::Stop => "stop",
    }
}
