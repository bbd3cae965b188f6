//! A small fleet of real daemons on loopback, with stand-ins for the platform and the targets.

#![expect(
    dead_code,
    unreachable_pub,
    reason = "each test program uses a part of the fixture"
)]

mod address;
pub mod client;
pub mod daemon;

use std::net::SocketAddr;
use std::time::Duration;

use bulrushtrestle_core::catalogue::entry::{Bounds, Organisation, Pool, Service, Target};
use bulrushtrestle_core::catalogue::entry::{DataCentre, DataCentreState, Entry, Limits};
use bulrushtrestle_core::catalogue::message::{Change, Edit};
use bulrushtrestle_core::record::Record;
use bulrushtrestle_standin::{Handle, engine, log, plain, vms};
use http::StatusCode;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

pub(crate) use self::address::free_address;
use self::client::{Answer, Client};
use self::daemon::Daemon;

/// The token of the fixture's only organisation.
pub const TOKEN: &str = "token-of-the-club";
/// The token for the operators' listener.
pub const OPERATOR_TOKEN: &str = "token-of-the-operators";
/// The key with which routers of a fleet authenticate to each other.
pub const FLEET_KEY: &str = "0707070707070707070707070707070707070707070707070707070707070707";
/// How long a test waits for a condition or an answer before it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A function that changes the settings of a router, given the router's id.
pub type Tune = Box<dyn Fn(u32, &mut Value) + Send>;

/// The configuration of a fleet.
pub struct Plan {
    pub routers: u32,
    pub engine: engine::Config,
    pub plain: plain::Config,
    pub limits: Limits,
    /// Changes the settings of each router before it starts.
    pub tune: Tune,
    /// The number of slots of each target.
    pub slots: u32,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            routers: 1,
            engine: engine::Config::default(),
            plain: plain::Config::default(),
            limits: Limits::default(),
            tune: Box::new(|_, _| {}),
            slots: 64,
        }
    }
}

/// A running fleet. Dropping it kills the daemons.
pub struct Fleet {
    pub log: Handle<log::Faults>,
    pub vms: Handle<vms::Faults>,
    pub engine: Handle<engine::Faults>,
    pub plain: Handle<plain::Faults>,
    pub routers: Vec<Daemon>,
    pub client: Client,
}

impl Fleet {
    /// Starts a fleet and waits until every router is ready and considers all the others live.
    pub async fn start(plan: Plan) -> Self {
        let log = log::spawn(log::Config::default())
            .await
            .expect("the log starts");
        let vms = vms::spawn(vms::Config::default())
            .await
            .expect("the VM list starts");
        let engine = engine::spawn(plan.engine).await.expect("the engine starts");
        let plain = plain::spawn(plan.plain).await.expect("the service starts");
        let client = Client::new();
        publish(
            &client,
            log.address(),
            entries(&engine, &plain, &plan.limits, plan.slots),
        )
        .await;
        let routers = (1..=plan.routers)
            .map(|id| {
                let mut settings = settings(id, log.address(), vms.address());
                (plan.tune)(id, &mut settings);
                Daemon::start(id, &settings)
            })
            .collect();
        let fleet = Self {
            log,
            vms,
            engine,
            plain,
            routers,
            client,
        };
        fleet.list_vms().await;
        fleet.wait_ready().await;
        fleet
    }

    /// Publishes every router in the VM list.
    pub async fn list_vms(&self) {
        let vms: Vec<Value> = self
            .routers
            .iter()
            .map(|router| {
                json!({
                    "id": router.id,
                    "role": "router",
                    "address": router.peers.to_string(),
                    "data_centre": "a",
                    "leaving": false,
                })
            })
            .collect();
        let body = json!({ "vms": vms }).to_string();
        let put = client::request("PUT", self.vms.address(), "/v1/vms", &[], body);
        assert!(self.client.send(put).await.status.is_success());
    }

    /// Waits until every router is ready and considers all the others live.
    pub async fn wait_ready(&self) {
        for router in &self.routers {
            eventually(
                "the router is ready and considers all others live",
                async || {
                    let status = self.status(router).await;
                    let live = status["live"].as_array().map_or(0, Vec::len);
                    status["ready"] == json!(true) && live == self.routers.len()
                },
            )
            .await;
        }
    }

    /// Returns the status of a router from its operators' listener, or null if the router
    /// does not answer.
    pub async fn status(&self, router: &Daemon) -> Value {
        let answer = self.operator_get(router, "/status").await;
        serde_json::from_slice(&answer.body).unwrap_or(Value::Null)
    }

    /// Returns the value of a metric. `name` includes the labels.
    pub async fn metric(&self, router: &Daemon, name: &str) -> f64 {
        let answer = self.operator_get(router, "/metrics").await;
        let text = answer.text();
        text.lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
            .unwrap_or_else(|| panic!("{name} is not among the metrics: {text}"))
    }

    /// Returns the number of refusals with this reason.
    pub async fn refusals(&self, router: &Daemon, reason: &str) -> f64 {
        let name = format!("bulrushtrestle_refused_total{{reason=\"{reason}\"}}");
        self.metric(router, &name).await
    }

    /// Returns the number of edge events of this kind.
    pub async fn edge_events(&self, router: &Daemon, event: &str) -> f64 {
        let name = format!("bulrushtrestle_edge_events_total{{event=\"{event}\"}}");
        self.metric(router, &name).await
    }

    /// Sends a GET to the operators' listener of a router, with the operators' token.
    pub async fn operator_get(&self, router: &Daemon, path: &str) -> Answer {
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", token.as_str())];
        let get = client::request("GET", router.operators, path, &headers, String::new());
        self.client.send(get).await
    }

    /// Sends a chat request with the organisation's token and returns the complete answer.
    pub async fn chat(&self, router: &Daemon, body: &Value, headers: &[(&str, &str)]) -> Answer {
        let post = as_organisation(
            "POST",
            router,
            "/v1/chat/completions",
            headers,
            body.to_string(),
        );
        self.client.send(post).await
    }

    /// Calls the plain service with the organisation's token and returns the complete answer.
    pub async fn call(
        &self,
        method: &str,
        router: &Daemon,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        let path = format!("/v1/services/booking{path}");
        let call = as_organisation(method, router, &path, headers, body.to_owned());
        self.client.send(call).await
    }

    /// Returns the plain service's counts of the calls that it executed.
    pub async fn runs(&self) -> plain::Runs {
        let get = client::request("GET", self.plain.address(), "/v1/runs", &[], String::new());
        let answer = self.client.send(get).await;
        serde_json::from_slice(&answer.body).expect("the service reports its runs")
    }
}

/// Builds a request with the organisation's token.
pub fn as_organisation(
    method: &str,
    router: &Daemon,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let token = format!("Bearer {TOKEN}");
    let mut all = vec![("authorization", token.as_str())];
    all.extend_from_slice(headers);
    client::request(method, router.callers, path, &all, body)
}

/// Builds a chat request with the organisation's token.
pub fn chat_request(
    router: &Daemon,
    body: &Value,
) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    as_organisation(
        "POST",
        router,
        "/v1/chat/completions",
        &[],
        body.to_string(),
    )
}

/// Asserts that an answer is a refusal of a request that did not run, with all headers and
/// fields of the
/// problem document.
pub fn assert_refused(answer: &Answer, status: u16, reason: &str, name: &str) {
    assert_eq!(answer.status.as_u16(), status, "{name}: {}", answer.text());
    let header = |name| {
        answer
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    assert_eq!(
        header("content-type"),
        Some("application/problem+json"),
        "{name}"
    );
    let problem = answer.json();
    assert_eq!(problem["reason"], reason, "{name}");
    assert_eq!(problem["verdict"], "not_run", "{name}");
    assert_eq!(problem["status"], status, "{name}");
    assert!(
        problem["type"].as_str().is_some_and(|t| t.contains(reason)),
        "{name}"
    );
    assert!(problem["title"].is_string(), "{name}");
    let seconds = header("retry-after").and_then(|text| text.parse::<u64>().ok());
    let expected = problem["retry_after_ms"]
        .as_u64()
        .map(|ms| ms.div_ceil(1_000));
    assert_eq!(seconds, expected, "{name}");
}

/// Returns the body of a chat request whose answer has `tokens` tokens.
pub fn chat_body(tokens: u32, stream: bool) -> Value {
    json!({
        "model": "m",
        "stream": stream,
        "messages": [{ "role": "user", "content": format!("Draft a loan. [tokens={tokens}]") }],
    })
}

/// Waits until `holds` returns true; panics with `what` after `WAIT_TIMEOUT`.
pub async fn eventually(what: &str, holds: impl AsyncFn() -> bool) {
    let waiting = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .unwrap_or_else(|_| panic!("condition not met within {WAIT_TIMEOUT:?}: {what}"));
}

/// Appends an edit for each entry to the log.
pub async fn publish(client: &Client, log: SocketAddr, entries: Vec<Entry>) {
    let records: Vec<String> = entries.into_iter().map(record).collect();
    let body = json!({ "records": records }).to_string();
    let headers = [("content-type", "application/json")];
    let post = client::request("POST", log, "/v1/append", &headers, body);
    assert_eq!(client.send(post).await.status, StatusCode::OK);
}

fn record(entry: Entry) -> String {
    let edit = Edit {
        id: uuid::Uuid::now_v7(),
        replaces: None,
        change: Change::Put { entry },
        author: "test".to_owned(),
    };
    String::from_utf8(Record::Edit(edit).encode()).expect("records are text")
}

fn entries(
    engine: &Handle<engine::Faults>,
    plain: &Handle<plain::Faults>,
    limits: &Limits,
    slots: u32,
) -> Vec<Entry> {
    vec![
        Entry::DataCentre(DataCentre {
            name: "a".to_owned(),
            region: "r".to_owned(),
            state: DataCentreState::In,
        }),
        pool("m", Service::Model),
        pool("booking", Service::Plain),
        target("engine", "m", engine.address(), slots),
        target("desk", "booking", plain.address(), slots),
        Entry::Organisation(Organisation {
            name: "club".to_owned(),
            owner: "the club's board".to_owned(),
            class: Default::default(),
            weight: 1,
            limits: *limits,
            tokens_sha256: vec![hex(&Sha256::digest(TOKEN))],
        }),
    ]
}

/// Returns the catalogue entries of an additional plain service with one target.
pub fn service(name: &str, address: SocketAddr, slots: u32) -> Vec<Entry> {
    vec![
        pool(name, Service::Plain),
        target(&format!("{name}-1"), name, address, slots),
    ]
}

fn pool(name: &str, service: Service) -> Entry {
    Entry::Pool(Pool {
        name: name.to_owned(),
        service,
        bounds: Bounds::default(),
        autoscale: None,
    })
}

fn target(name: &str, pool: &str, address: SocketAddr, slots: u32) -> Entry {
    Entry::Target(Target {
        name: name.to_owned(),
        vm: 100,
        address: address.to_string(),
        data_centre: "a".to_owned(),
        pool: pool.to_owned(),
        version: "v1".to_owned(),
        slots,
        checks_fence: true,
    })
}

/// Returns the settings of router `id`.
pub fn settings(id: u32, log: SocketAddr, vms: SocketAddr) -> Value {
    json!({
        "router": id,
        "data_centre": "a",
        "stop_timeout_ms": 20_000,
        "callers": { "listen": free_address().to_string(), "addresses_valid_ms": 1_000 },
        "peers": { "listen": free_address().to_string(), "fleet_key": FLEET_KEY },
        "operators": {
            "listen": free_address().to_string(),
            "tokens_sha256": [hex(&Sha256::digest(OPERATOR_TOKEN))],
        },
        "platform": { "log": log.to_string(), "vms": vms.to_string(), "vms_every_ms": 100 },
        "targets": { "gap_timeout_ms": 1_000, "first_timeout_ms": 3_000 },
    })
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
