//! Most machines of a larger fleet are lost for good at the same moment.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::client::HOST;
use crate::fleet::Router;
use crate::http;
use crate::setup::{self, Record, ZONES, sleep_s};
use crate::store::Store;

const MACHINES: u8 = 30;
/// The machines that are left, four in each zone.
const LEFT: usize = 12;
/// `stable_ms` of the grown sites.
const STABLE: Duration = Duration::from_millis(4_000);
/// How much longer than `stable_ms` the directory may name a machine that is gone.
const NAMED: Duration = Duration::from_secs(3);
/// The answers that the rule allows.
const ANSWERS_MAX: usize = 3;
const ROUNDS: usize = 10;

pub fn run(folder: &Path, record: &Path, trouble: bool) -> u8 {
    let mut out = Record::begin();
    let (store, address) = Store::start();
    store.put("keyed.op", "config", Some(&setup::configuration()));
    let _servers = setup::start_servers(&store, "i", "v1");
    let Some(mut routers) = setup::start_routers(folder, 1, MACHINES, address) else {
        out.line("a router is not ready");
        out.write(record);
        return 2;
    };
    out.line(format!("{MACHINES} routers are ready"));
    sleep_s(12.0);
    let lost: Vec<Router> = routers.drain(LEFT..).collect();
    let lost_at: Vec<SocketAddr> = lost.iter().map(|it| it.callers).collect();
    if trouble {
        drop(lost);
        out.line(format!(
            "{} of them are killed at the same moment, and never come back",
            lost_at.len()
        ));
    }
    let running: Vec<String> = routers.iter().map(|it| it.callers.to_string()).collect();
    let killed = Instant::now();
    let bound = killed + STABLE + NAMED;
    std::thread::sleep(bound.saturating_duration_since(Instant::now()) + Duration::from_secs(1));
    let (mut answers, mut wrong) = (0, 0);
    for round in 0..ROUNDS {
        for router in &routers {
            for zone in ZONES {
                let Some(named) = resolve(router.directory, zone) else {
                    continue;
                };
                answers += 1;
                let gone: Vec<String> = lost_at
                    .iter()
                    .map(SocketAddr::to_string)
                    .filter(|it| trouble && named.contains(&format!("\"{it}\"")))
                    .collect();
                // The rule is about answers that name a running machine as well.
                let beside = running.iter().any(|it| named.contains(&format!("\"{it}\"")));
                if beside && !gone.is_empty() {
                    wrong += 1;
                    if round == 0 {
                        out.line(format!(
                            "{} answers for {zone}: {named}; gone: {}",
                            router.name,
                            gone.join(", ")
                        ));
                    }
                }
            }
        }
        sleep_s(1.0);
    }
    let code = match answers {
        0 => 2,
        _ => u8::from(wrong > ANSWERS_MAX),
    };
    out.line(format!("DRAIN: {wrong} of {answers} answers name a machine that is gone beside a running one, {ANSWERS_MAX} are allowed; exit code {code}"));
    out.write(record);
    code
}

/// Asks a directory which routers to use. Returns the body of the answer.
fn resolve(at: SocketAddr, zone: &str) -> Option<String> {
    let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut to = stream.try_clone().ok()?;
    let ask = format!(
        "GET /bulrushtrestle/resolve?name={HOST}&region=region&zone={zone} HTTP/1.1\r\nhost: directory\r\nconnection: close\r\n\r\n"
    );
    to.write_all(ask.as_bytes()).ok()?;
    let mut from = BufReader::new(stream);
    let answer = http::read_head(&mut from).ok()??;
    let mut body = String::new();
    from.read_to_string(&mut body).ok()?;
    (answer.status() == 200).then_some(body)
}
