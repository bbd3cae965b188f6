//! What the cases share: a small deployment with one plain service, and the record of a play.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{Load, Seen};
use crate::fleet::{Machine, Router};
use crate::server::{Entry, Server};
use crate::store::Store;

/// The figures of a `front` machine of the smaller site.
pub const MACHINE: Machine = Machine {
    memory_mb: 260,
    cpu_share: 0.25,
    max_fds: 4_100,
    retry_burst: 54,
};
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// The path of the requests, which may be repeated.
pub const PATH: &str = "/stock/x";
/// The path of the requests that may not be repeated.
pub const PATH_ONCE: &str = "/reserve/x";
/// The bounds of the smaller site.
pub const STABLE: Duration = Duration::from_millis(3_000);
pub const EVACUATE: Duration = Duration::from_millis(5_000);

/// The first desired state: a route that may be repeated and one that may not, to one plain service.
pub fn configuration() -> String {
    r#"{"version":7,"routes":[{"name":"r-stock","host":"host.example","path_prefix":"/stock/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":1000,"priority":1,"service":"booking","max_attempts":2,"anonymous":false,"sticky":false,"resumable":false},{"name":"r-reserve","host":"host.example","path_prefix":"/reserve/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":1000,"priority":1,"service":"booking","max_attempts":2,"anonymous":false,"sticky":false,"resumable":false}],"services":[{"name":"booking","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false,"cold_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["key-1"],"priority":1}]}"#.to_owned()
}

/// Starts the servers of a version, one in each zone.
pub fn start_servers(store: &Arc<Store>, prefix: &str, version: &'static str) -> Vec<Arc<Server>> {
    let start = |zone: &&'static str| {
        Server::start(store, entry(&format!("{prefix}-{zone}"), zone, version), 0)
    };
    ZONES.iter().map(start).collect()
}

pub fn entry(id: &str, zone: &'static str, version: &'static str) -> Entry {
    Entry {
        id: id.to_owned(),
        service: "booking",
        zone,
        version,
        slots: 16,
    }
}

/// Starts `count` routers, one zone after the other. `None` if one is not ready in time.
pub fn start_routers(
    folder: &Path,
    first: u8,
    count: u8,
    store: SocketAddr,
) -> Option<Vec<Router>> {
    let new = |n: u8| {
        Router::new(
            folder,
            n,
            ZONES[usize::from(n) % ZONES.len()],
            &ZONES,
            store,
            MACHINE,
        )
    };
    let mut routers: Vec<Router> = (first..first + count).map(new).collect();
    routers.iter_mut().for_each(Router::start);
    let ready = routers
        .iter()
        .all(|it| it.wait_ready(Duration::from_secs(20)));
    ready.then_some(routers)
}

/// What was sent, answered and run in a play.
#[derive(Debug)]
pub struct Record {
    began: Instant,
    text: String,
}

impl Record {
    pub fn begin() -> Self {
        Self {
            began: Instant::now(),
            text: String::new(),
        }
    }

    /// Adds a line with the time since the beginning.
    pub fn line(&mut self, line: impl AsRef<str>) {
        let line = format!(
            "{:8.3} s  {}\n",
            self.began.elapsed().as_secs_f64(),
            line.as_ref()
        );
        print!("{line}");
        self.text.push_str(&line);
    }

    /// Returns the time of an event since the beginning, in seconds.
    pub fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.began).as_secs_f64()
    }

    /// Adds what was sent, answered and run, request by request, to the file only.
    pub fn list(&mut self, loads: &[Load], servers: &[Arc<Server>]) {
        for load in loads {
            let to = load.target();
            for Seen {
                attempt,
                sent,
                status,
                complete,
            } in load.seen()
            {
                let at = self.at(sent);
                let end = if complete { "" } else { " incomplete" };
                self.text.push_str(&format!(
                    "sent {at:.3} {to} {attempt} answered {status}{end}\n"
                ));
            }
        }
        for server in servers {
            for run in server.runs() {
                let (at, id) = (self.at(run.at), &server.entry.id);
                let end = if run.failed { " failed" } else { "" };
                self.text
                    .push_str(&format!("ran {at:.3} {id} {}{end}\n", run.attempt));
            }
        }
    }

    pub fn write(&self, path: &Path) {
        if let Err(error) = fs::write(path, &self.text) {
            eprintln!("the record cannot be written: {error}");
        }
    }
}

pub fn sleep_s(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}
