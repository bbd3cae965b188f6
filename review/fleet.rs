//! The daemons as processes, and the record of a case.

use std::fs::{self, File};
use std::io::{BufWriter, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client;

/// The processes that were started and have not ended.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());
/// The temporary folders to remove at the end.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Kills all processes that were started, and removes the temporary folders.
pub fn end_all() {
    let mut children = CHILDREN.lock().unwrap_or_else(|error| error.into_inner());
    for mut child in children.drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
    let mut folders = FOLDERS.lock().unwrap_or_else(|error| error.into_inner());
    for folder in folders.drain(..) {
        if std::env::var_os("KEEP").is_none() { let _ = fs::remove_dir_all(folder); }
    }
}

/// The file that holds what was sent, answered and run.
pub struct Record {
    started: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = writeln!(file, "{at:.3} {text}");
    }

    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = file.flush();
    }
}

/// One machine with its addresses, which stay the same at each start of its process.
pub struct Machine {
    pub ip: String,
    #[allow(dead_code)]
    pub zone: &'static str,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pid: Mutex<Option<u32>>,
}

const ZONES: [&str; 3] = ["gent-a", "gent-b", "gent-c"];

/// Returns a port of an address that is free now. It lies below the ports that outgoing connections
/// use, so that none of them takes it before the process starts.
fn free_port(ip: &str) -> std::io::Result<u16> {
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    loop {
        let port = NEXT.fetch_add(1, Ordering::SeqCst);
        match TcpListener::bind((ip, port)) {
            Ok(_) => return Ok(port),
            Err(error) if port > 30_000 => return Err(error),
            Err(_) => {}
        }
    }
}

impl Machine {
    /// Prepares `count` machines in three zones, with the settings that the template of the deploy
    /// file makes of the settings of the site.
    pub fn prepare(count: usize, store: SocketAddr) -> std::io::Result<Vec<Self>> {
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&folder)?;
        let mut folders = FOLDERS.lock().unwrap_or_else(|error| error.into_inner());
        folders.push(folder.clone());
        let template = fs::read_to_string("platform/settings.json")?;
        (0..count)
            .map(|index| {
                // A network of its own for each run.
                let net = std::process::id() % 65_000;
                let ip = format!("127.{}.{}.{}", net / 256 + 1, net % 256, index + 11);
                let zone = ZONES[index % ZONES.len()];
                let front = SocketAddr::new(ip.parse().unwrap(), free_port(&ip)?);
                let ready = SocketAddr::new(ip.parse().unwrap(), free_port(&ip)?);
                let directory = format!("{ip}:{}", free_port(&ip)?);
                let settings = folder.join(format!("{ip}.json"));
                let text = fill(&template, &ip, zone, store, front, ready, &directory, free_port(&ip)?, free_port(&ip)?);
                fs::write(&settings, text)?;
                let log = folder.join(format!("{ip}.log"));
                Ok(Self {
                    ip,
                    zone,
                    front,
                    ready,
                    settings,
                    log,
                    pid: Mutex::new(None),
                })
            })
            .collect()
    }

    /// Starts the process of the machine with the command of the deploy file.
    pub fn start(&self) -> std::io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/bulrushtrestled")
            .arg("--settings")
            .arg(&self.settings)
            .env("BULRUSHTRESTLE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.pid.lock().unwrap() = Some(child.id());
        CHILDREN.lock().unwrap().push(child);
        Ok(())
    }

    /// Kills the process of the machine with SIGKILL and waits for its end.
    pub fn kill(&self) {
        let Some(pid) = self.pid.lock().unwrap().take() else {
            return;
        };
        let mut children = CHILDREN.lock().unwrap();
        if let Some(at) = children.iter().position(|child| child.id() == pid) {
            let mut child = children.remove(at);
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal, such as `STOP`, `CONT` or `TERM`, to the process of the machine.
    #[allow(dead_code)]
    pub fn signal(&self, name: &str) {
        if let Some(pid) = *self.pid.lock().unwrap() {
            let _ = Command::new("kill").args(["-s", name, &pid.to_string()]).status();
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = client::get(self.ready, "/bulrushtrestle/readyz", Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Returns the lines that the process has logged with one of these words.
    #[allow(dead_code)]
    pub fn logged(&self, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        lines.map(str::to_owned).collect()
    }
}

/// Waits until all machines say that they are ready.
pub fn wait_ready(machines: &[Machine], most: Duration) -> Result<(), String> {
    let until = Instant::now() + most;
    while !machines.iter().all(Machine::is_ready) {
        if Instant::now() > until {
            return Err("the machines did not become ready".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Fills in the template of the deploy file with the bounds and limits of the small site.
#[allow(clippy::too_many_arguments)]
fn fill(
    template: &str,
    ip: &str,
    zone: &str,
    store: SocketAddr,
    front: SocketAddr,
    ready: SocketAddr,
    directory: &str,
    peers: u16,
    metrics: u16,
) -> String {
    let mut text = template.to_owned();
    let regions = ZONES.map(|zone| format!("\"{zone}\":\"be-flanders\"")).join(",");
    let values = [
        ("limits.memory_mb", "260"),
        ("limits.max_fds", "4100"),
        ("listen.directory", directory),
        ("limits.cpu_share", "0.25"),
        ("bounds.drain_ms", "2000"),
        ("bounds.retry_ratio", "0.2"),
        ("bounds.retry_slack", "54"),
        ("bounds.expose_share", "0.1"),
        ("bounds.expose_slack", "50"),
    ];
    for (name, value) in values {
        let (open, close) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        while let Some(at) = text.find(&open) {
            let Some(end) = text[at..].find(&close).map(|end| at + end) else {
                break;
            };
            let inner = text[at + open.len()..end].replace("{{.}}", value);
            text.replace_range(at..end + close.len(), &inner);
        }
        let (open, close) = (format!("{{{{^{name}}}}}"), format!("{{{{/{name}}}}}"));
        if let (Some(at), Some(end)) = (text.find(&open), text.find(&close)) {
            text.replace_range(at..end + close.len(), "");
        }
    }
    text.replace("{{ip}}:{{internal_ports.0}}", &format!("{ip}:{peers}"))
        .replace("{{ip}}:7401", &format!("{ip}:{metrics}"))
        .replace("{{ip}}", ip)
        .replace("{{zone}}", zone)
        .replace("{{listen.front}}", &front.to_string())
        .replace("{{listen.ready}}", &ready.to_string())
        .replace("{{platform.address}}", &store.to_string())
        .replace("{{zones|json}}", &format!("{{{regions}}}"))
}
