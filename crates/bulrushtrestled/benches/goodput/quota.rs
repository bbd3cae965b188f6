//! A processor that runs at full speed until its share of each period is used up, and then not at all.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// The time between two looks at what was used.
const LOOK_EVERY: Duration = Duration::from_micros(500);

/// Holds a process to its share for as long as this lives.
#[derive(Debug)]
pub(crate) struct Quota {
    used: Arc<AtomicU64>,
    ended: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Quota {
    /// Holds a child of this process to a share of one core in each period.
    pub(crate) fn start(process: u32, share: f64, period: Duration) -> Self {
        let used = Arc::new(AtomicU64::new(0));
        let ended = Arc::new(AtomicBool::new(false));
        let held = Held {
            used: Used::new(process),
            signals: Signals::new(process),
            period,
            share: period.mul_f64(share),
        };
        let thread = {
            let (used, ended) = (Arc::clone(&used), Arc::clone(&ended));
            thread::spawn(move || held.run(&used, &ended))
        };
        Self {
            used,
            ended,
            thread: Some(thread),
        }
    }

    /// Returns the processor time that the process has used since its start.
    pub(crate) fn used(&self) -> Duration {
        Duration::from_nanos(self.used.load(Ordering::Relaxed))
    }
}

impl Drop for Quota {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            // A thread that has panicked has said so.
            drop(thread.join());
        }
    }
}

struct Held {
    used: Used,
    signals: Signals,
    period: Duration,
    /// The processor time of one period.
    share: Duration,
}

impl Held {
    fn run(mut self, total: &AtomicU64, ended: &AtomicBool) {
        let mut allowed = self.used.read();
        let mut period_ends = Instant::now();
        while !ended.load(Ordering::Relaxed) {
            let used = self.used.read();
            total.store(nanos(used), Ordering::Relaxed);
            if Instant::now() >= period_ends {
                period_ends += self.period;
                // What was left is lost; what was used beyond is taken off.
                allowed = allowed.min(used) + self.share;
                self.used.find_threads();
            }
            self.signals.set_stopped(used >= allowed);
            thread::sleep(LOOK_EVERY);
        }
        self.signals.set_stopped(false);
    }
}

/// The processor time of all threads of a process.
struct Used {
    process: u32,
    /// The figures of each thread, those that have ended included.
    threads: BTreeMap<String, (File, Duration)>,
}

impl Used {
    fn new(process: u32) -> Self {
        let mut used = Self {
            process,
            threads: BTreeMap::new(),
        };
        used.find_threads();
        used
    }

    fn find_threads(&mut self) {
        let path = format!("/proc/{}/task", self.process);
        // The process may have ended.
        for task in fs::read_dir(path).into_iter().flatten().flatten() {
            let name = task.file_name().to_string_lossy().into_owned();
            if let Ok(file) = File::open(task.path().join("schedstat")) {
                self.threads.entry(name).or_insert((file, Duration::ZERO));
            }
        }
    }

    fn read(&mut self) -> Duration {
        let mut buf = [0; 64];
        for (file, used) in self.threads.values_mut() {
            // A thread that has ended keeps its last figure.
            let Ok(length) = file.read_at(&mut buf, 0) else {
                continue;
            };
            let text = str::from_utf8(&buf[..length]).unwrap_or_default();
            let nanos = text.split(' ').next().and_then(|text| text.parse().ok());
            *used = nanos.map_or(*used, Duration::from_nanos);
        }
        self.threads.values().map(|(_, used)| *used).sum()
    }
}

/// Stops and continues a process. A shell sends the signals, as starting a program for each takes too long.
struct Signals {
    process: u32,
    shell: Child,
    is_stopped: bool,
}

impl Signals {
    fn new(process: u32) -> Self {
        let shell = Command::new("sh")
            .stdin(Stdio::piped())
            .spawn()
            .expect("a shell starts");
        Self {
            process,
            shell,
            is_stopped: false,
        }
    }

    fn set_stopped(&mut self, stopped: bool) {
        if self.is_stopped == stopped {
            return;
        }
        self.is_stopped = stopped;
        let name = if stopped { "STOP" } else { "CONT" };
        let shell = self.shell.stdin.as_mut().expect("it is a pipe");
        writeln!(shell, "kill -s {name} {}", self.process).expect("the shell reads");
    }
}

impl Drop for Signals {
    fn drop(&mut self) {
        // Without input it ends.
        drop(self.shell.stdin.take());
        drop(self.shell.wait());
    }
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}
