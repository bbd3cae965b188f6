//! Routers as processes, with the command and the settings of the deploy file.

use std::fs;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::http;

/// What the machines of a deployment have.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    pub memory_mb: u64,
    pub cpu_share: f64,
    pub max_fds: u64,
    pub retry_burst: u32,
}

/// A router on a loopback address of its own.
#[derive(Debug)]
pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// Holds the id of the process while it runs, so that the script can end it in any case.
    pid: PathBuf,
    child: Option<Child>,
}

/// Returns a port of an address that nobody listens at. The ports lie below those that the system gives
/// to outgoing connections.
fn free_port(ip: Ipv4Addr) -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    if NEXT.load(Ordering::Relaxed) == 0 {
        // Scripts that run at the same time begin far from each other.
        NEXT.store(
            10_000 + (std::process::id() * 1_009 % 20_000) as u16,
            Ordering::Relaxed,
        );
    }
    loop {
        let port = NEXT.fetch_add(1, Ordering::Relaxed);
        if TcpListener::bind(SocketAddrV4::new(ip, port)).is_ok() {
            return port;
        }
    }
}

impl Router {
    /// Writes the settings of a router, by the template of the deploy file.
    pub fn new(
        folder: &Path,
        number: u8,
        zone: &str,
        zones: &[&str],
        store: SocketAddr,
        machine: Machine,
    ) -> Self {
        let ip = Ipv4Addr::new(127, 1, 0, number);
        let ports: Vec<u16> = (0..5).map(|_| free_port(ip)).collect();
        let regions: Vec<String> = zones
            .iter()
            .map(|zone| format!(r#""{zone}":"region""#))
            .collect();
        let settings = format!(
            r#"{{
  "router_ip": "{ip}", "data_centre": "{zone}", "traffic_threads": 1, "stop_timeout_ms": 7000,
  "memory_mb": {memory}, "descriptors_max": {fds},
  "callers": {{ "listen": "{ip}:{p0}", "addresses_valid_ms": 3000, "header_timeout_ms": 20000, "body_bytes_max": 8388608 }},
  "peers": {{ "listen": "{ip}:{p1}", "connect_timeout_ms": 1000, "call_timeout_ms": 1000 }},
  "operators": {{ "listen": "{ip}:{p2}", "metrics_open": true, "tokens_sha256": [] }},
  "targets": {{ "connect_timeout_ms": 500 }},
  "hosting": {{
    "store": "{store}", "ready": "{ip}:{p3}", "directory": "{ip}:{p4}", "cpu_share": {cpu},
    "leave_within_ms": 2000, "retry_ratio": 0.2, "retry_burst": {burst},
    "move_exposure_share": 0.1, "move_exposure_slack": 50,
    "regions": {{{regions}}}, "addresses_valid_ms": 1000
  }}
}}
"#,
            p0 = ports[0],
            p1 = ports[1],
            p2 = ports[2],
            p3 = ports[3],
            p4 = ports[4],
            memory = machine.memory_mb,
            fds = machine.max_fds,
            cpu = machine.cpu_share,
            burst = machine.retry_burst,
            regions = regions.join(","),
        );
        let path = folder.join(format!("router-{number}.json"));
        fs::write(&path, settings).expect("settings in the temporary folder");
        let at = |port: u16| SocketAddr::V4(SocketAddrV4::new(ip, port));
        Self {
            name: format!("router-{number}"),
            callers: at(ports[0]),
            directory: at(ports[4]),
            ready: at(ports[3]),
            settings: path,
            log: folder.join(format!("router-{number}.log")),
            pid: folder.join(format!("router-{number}.pid")),
            child: None,
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("a log in the temporary folder");
        let child = Command::new("target/release/bulrushtrestled")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle of the log"))
            .stderr(log)
            .spawn();
        let child = child.expect("the router's program starts");
        fs::write(&self.pid, child.id().to_string()).expect("a file in the temporary folder");
        self.child = Some(child);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
            drop(fs::remove_file(&self.pid));
        }
    }

    /// Asks the router whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let ask = || -> Option<u16> {
            let stream =
                TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            let mut to = stream.try_clone().ok()?;
            let ask = "GET /bulrushtrestle/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
            to.write_all(ask.as_bytes()).ok()?;
            Some(http::read_head(&mut BufReader::new(stream)).ok()??.status())
        };
        ask() == Some(200)
    }

    /// Waits until the router is ready.
    pub fn wait_ready(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
