//! The settings of a router: one JSON file, validated completely before the router starts.
//!
//! An unknown key, a value of the wrong type or out of its range, and a file that cannot be read
//! are errors. The error names the file, the key and the allowed values. All defaults are defined
//! here; `docs/OPERATIONS.md` lists them for operators.

mod error;
mod section;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bulrushtrestle_core::cost::Cost;
use bulrushtrestle_core::{balance, version};
use bulrushtrestle_platform::duty;
use bulrushtrestle_wire::FleetKey;

pub(crate) use self::error::Error;
use self::section::Section;
pub(crate) use self::section::parse_fleet_key;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// The most concurrent connections of callers if nothing is known of the VM.
const CONNECTIONS_MAX: u64 = 4_096;
/// The largest number of connections that can be set.
const CONNECTIONS_LIMIT: u64 = 1_000_000;
/// The memory of a VM that is kept for the program and for control in a large fleet, in megabytes.
const CONTROL_MB: u64 = 36;
/// The part of a VM's memory that bodies may take, as its reciprocal.
const BODIES_DIVISOR: u64 = 8;
/// What a body costs while it is received and sent on, in halves of its size.
const BODY_COST_HALVES: u64 = 3;
/// The memory of a caller's connection with a request under way and the connection to its target,
/// without the body, in KiB.
const CONNECTION_KIB: u64 = 64;
/// The connections that a VM takes however small it is.
const CONNECTIONS_MIN: u64 = 16;
/// The memory for bodies unless the VM has less.
const BODY_MEMORY_MAX: u64 = 64 * MIB;
/// The bytes of a megabyte.
const MB: u64 = 1_000_000;

/// All settings of a router.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    /// The file from which the settings were read.
    pub(crate) file: PathBuf,
    /// The id of this router's VM.
    pub(crate) router: u32,
    /// The name of this router's data centre.
    pub(crate) data_centre: String,
    /// The number of threads that forward requests and answers. Default: 2.
    pub(crate) traffic_threads: usize,
    /// The time for which a planned stop continues to serve open requests. Default: 60 s.
    pub(crate) stop_timeout: Duration,
    /// The callers' listener.
    pub(crate) callers: Callers,
    /// The peers' listener.
    pub(crate) peers: Peers,
    /// The operators' listener.
    pub(crate) operators: Operators,
    /// The services that store the catalogue and list the VMs.
    pub(crate) platform: Platform,
    /// Timeouts and limits of connections to targets.
    pub(crate) targets: Targets,
    /// How a router compares targets when it selects one itself. Defaults: those of the core.
    pub(crate) balance: balance::Config,
}

/// The callers' listener and its limits.
#[derive(Debug, Clone)]
pub(crate) struct Callers {
    /// The address to listen on.
    pub(crate) listen: SocketAddr,
    /// The address at which callers reach this router. Default: the address of the listener.
    pub(crate) advertise: Option<SocketAddr>,
    /// The time for which callers may cache router addresses. `stop_timeout` must not be shorter.
    /// Default: 30 s.
    pub(crate) addresses_valid: Duration,
    /// The most concurrent connections. Default: what the VM's memory and descriptors allow, or
    /// 4096 if the settings state neither.
    pub(crate) connections_max: usize,
    /// The most concurrent connections from one address. Default: 2048.
    pub(crate) per_address_max: usize,
    /// The most concurrent requests, waiting and running. Default: 10000.
    pub(crate) requests_max: usize,
    /// The most requests that may wait for the control thread. Default: 1024.
    pub(crate) handover_max: usize,
    /// The largest head of a request, in bytes. Default: 16384.
    pub(crate) header_bytes_max: usize,
    /// The largest body of a request, in bytes. Default: 1 MiB.
    pub(crate) body_bytes_max: usize,
    /// The most memory for the bodies of all requests, in bytes. Default: 64 MiB.
    pub(crate) body_memory_max: usize,
    /// The time within which a request's head must arrive, and after which an idle connection is
    /// closed. Default: 10 s.
    pub(crate) header_timeout: Duration,
    /// The time within which a request's body must arrive. Default: 10 s.
    pub(crate) body_timeout: Duration,
    /// The time for which a caller may leave an answer unread. Default: 30 s.
    pub(crate) unread_timeout: Duration,
}

/// The peers' listener and its limits.
#[derive(Debug, Clone)]
pub(crate) struct Peers {
    /// The address to listen on.
    pub(crate) listen: SocketAddr,
    /// The key that every router of the fleet holds; `None` if the fleet stores it on the platform.
    pub(crate) key: Option<FleetKey>,
    /// The timeout for connecting and completing the handshake. Default: 2 s.
    pub(crate) connect_timeout: Duration,
    /// The timeout for one call. Default: 2 s.
    pub(crate) call_timeout: Duration,
    /// The interval between heartbeats on a connection. Default: 1 s.
    pub(crate) heartbeat: Duration,
    /// The most connections that have not completed the handshake. Default: 64.
    pub(crate) unproved_max: usize,
}

/// The operators' listener.
#[derive(Debug, Clone)]
pub(crate) struct Operators {
    /// The address to listen on.
    pub(crate) listen: SocketAddr,
    /// The SHA-256 sums of the accepted tokens.
    pub(crate) tokens: Vec<[u8; 32]>,
    /// Whether metrics can be read without a token. Default: no.
    pub(crate) metrics_open: bool,
}

/// The services that store the catalogue and list the VMs.
#[derive(Debug, Clone)]
pub(crate) enum Platform {
    /// A log, a VM list and a weight store.
    Services(Services),
    /// A hosting platform whose store holds all records.
    Hosting(Hosting),
}

/// Settings for a hosting platform. `bulrushtrestle-platform` translates its messages.
#[derive(Debug, Clone)]
pub(crate) struct Hosting {
    /// The address of the store.
    pub(crate) store: SocketAddr,
    /// The address at which the platform asks whether the router accepts requests.
    pub(crate) ready: SocketAddr,
    /// The address at which callers query the routers to use, if this router answers such queries.
    pub(crate) directory: Option<SocketAddr>,
    /// The region of each data centre.
    pub(crate) regions: BTreeMap<String, String>,
    /// The time for which callers may cache an answer of the directory. Default: 2 s.
    pub(crate) addresses_valid: Duration,
    /// The time after which a leaving target must get no new requests. Default: 2 s.
    pub(crate) leave_within: Duration,
    /// The processor capacity of this router's VM, in thousandths of a core. Default: 1000.
    pub(crate) capacity: u32,
    /// The retries that the fleet may make for a pool, in thousandths of the pool's requests.
    pub(crate) retry_millis: u32,
    /// Additional retries that the fleet may make in any window of the retry limit. Default: 0.
    pub(crate) retry_burst: u32,
    /// The time before its finishing time at which a version move must be final. Default: 1.5 s.
    pub(crate) move_margin: Duration,
    /// The largest share of traffic, in thousandths, that a new version gets before there is
    /// evidence that it works. Default: 80.
    pub(crate) move_share_max: u32,
    /// The most requests of a pool that a new version may get during its move. Default: a tenth and
    /// 50 more, as in the users' deployments.
    pub(crate) move_exposure: version::Exposure,
    /// The duties, if the platform has an endpoint for them.
    pub(crate) duty: Option<Duty>,
}

/// Settings of the tasks that one router at a time performs by calls to the platform's endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Duty {
    /// The address of the endpoint.
    pub(crate) endpoint: SocketAddr,
    /// The name by which the endpoint knows this router.
    pub(crate) node: String,
    /// Whether usage is to be reported.
    pub(crate) usage_report: bool,
    /// Whether the number of targets is to be ordered.
    pub(crate) autoscale: bool,
    /// The names of duties that this router does not know, and leaves alone.
    pub(crate) unknown: Vec<String>,
    /// The calls per second that the endpoint takes from all routers. Default: 50.
    pub(crate) calls_per_s: u32,
    /// Whether the endpoint checks the fencing number. It changes nothing here. Default: no.
    pub(crate) fencing_required: bool,
    /// The time within which the lease must not go to another router and back. Default: 3 s.
    pub(crate) lease: Duration,
    /// The length of a window of usage. Default: 5 s.
    pub(crate) usage_window: Duration,
    /// The time after a window's end by which its report must be sent. Default: 10 s.
    pub(crate) usage_late: Duration,
}

/// The addresses and limits of the platform's services.
#[derive(Debug, Clone)]
pub(crate) struct Services {
    /// The address of the log service.
    pub(crate) log: SocketAddr,
    /// The address of the VM list.
    pub(crate) vms: SocketAddr,
    /// The address of the weight store, if there is one.
    pub(crate) weights: Option<SocketAddr>,
    /// The bearer token for all three services.
    pub(crate) token: Option<String>,
    /// The time for which the log keeps records. Default: 7 days.
    pub(crate) log_retention: Duration,
    /// The timeout for an append. Default: 2 s.
    pub(crate) append_timeout: Duration,
    /// The time for which the log may wait for a record before it answers a read. Default: 500 ms.
    pub(crate) read_wait: Duration,
    /// The interval between reads of the VM list. Default: 1 s.
    pub(crate) vms_every: Duration,
}

/// Timeouts and limits of connections to targets.
#[derive(Debug, Clone)]
pub(crate) struct Targets {
    /// The timeout for making a connection. Default: 1 s.
    pub(crate) connect_timeout: Duration,
    /// The longest time from a request to the first token or the head of the answer. Default: 60 s.
    pub(crate) first_timeout: Duration,
    /// The longest time between two tokens of a stream, or two chunks of a plain answer. Default: 5
    /// s.
    pub(crate) gap_timeout: Duration,
    /// The most idle connections kept per target. Default: 8.
    pub(crate) idle_max: usize,
    /// The time for which an idle connection is kept. Default: 20 s.
    pub(crate) idle_timeout: Duration,
    /// The interval between reads of a target's report. Default: 1 s.
    pub(crate) report_every: Duration,
    /// The most bytes of a plain answer that are buffered until the answer is complete.
    /// Default: 256 KiB.
    pub(crate) hold_bytes_max: usize,
}

impl Settings {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or a setting cannot be used.
    pub(crate) fn load(path: &Path) -> Result<Self, Error> {
        let mut root = Section::load(path)?;
        let hosted = root.has("hosting");
        let settings = Self {
            file: path.to_owned(),
            router: router(&mut root)?,
            data_centre: root.required_text("data_centre", 1..=64)?,
            traffic_threads: root.int("traffic_threads", 1..=256, 2)?,
            stop_timeout: root.millis("stop_timeout_ms", 1_000..=3_600_000, 60_000)?,
            callers: {
                let vm = VmLimits::read(&mut root)?;
                Callers::read(&mut root.section("callers")?, vm)?
            },
            peers: Peers::read(&mut root.section("peers")?, hosted)?,
            operators: Operators::read(&mut root.section("operators")?)?,
            platform: Platform::read(&mut root)?,
            targets: Targets::read(&mut root.optional_section("targets")?)?,
            balance: balance(&mut root.optional_section("balance")?)?,
        };
        root.finish()?;
        // Callers may send requests here until their cached router addresses expire.
        root.at_least(
            ("stop_timeout_ms", settings.stop_timeout),
            (
                "callers.addresses_valid_ms",
                settings.callers.addresses_valid,
            ),
        )?;
        Ok(settings)
    }
}

/// The limits of the router's VM, if the settings state them.
#[derive(Debug, Clone, Copy)]
struct VmLimits {
    /// The memory in megabytes.
    memory_mb: Option<u64>,
    /// The descriptors that the process may have open.
    descriptors: Option<u64>,
}

impl VmLimits {
    fn read(root: &mut Section) -> Result<Self, Error> {
        let mut limit = |key, most| match root.has(key) {
            true => root.limit(key, 1..=most, most).map(Some),
            false => Ok(None),
        };
        Ok(Self {
            memory_mb: limit("memory_mb", 1 << 32)?,
            descriptors: limit("descriptors_max", 1 << 32)?,
        })
    }

    /// Returns the most connections of callers that the VM can hold. Each needs memory for its
    /// buffers, and a second descriptor for the connection to the target that serves it.
    fn connections_max(self) -> u64 {
        let by_memory = self.memory_mb.map(|mb| {
            let bodies = mb * BODY_COST_HALVES / (2 * BODIES_DIVISOR);
            let left = mb.saturating_sub(bodies).saturating_sub(CONTROL_MB);
            (left.saturating_mul(MB) / (CONNECTION_KIB * KIB)).max(CONNECTIONS_MIN)
        });
        let by_descriptors = self.descriptors.map(|max| max / 2);
        let least = by_memory.into_iter().chain(by_descriptors).min();
        least.map_or(CONNECTIONS_MAX, |most| most.clamp(1, CONNECTIONS_LIMIT))
    }

    /// Returns the memory for the bodies of all requests, in bytes.
    fn body_memory_max(self) -> u64 {
        let by_memory = self
            .memory_mb
            .map(|mb| mb.saturating_mul(MB) / BODIES_DIVISOR);
        by_memory.map_or(BODY_MEMORY_MAX, |bytes| bytes.clamp(MIB, BODY_MEMORY_MAX))
    }
}

impl Callers {
    fn read(s: &mut Section, vm: VmLimits) -> Result<Self, Error> {
        let callers = Self {
            listen: s.required_address("listen")?,
            advertise: s.address("advertise")?,
            addresses_valid: s.millis("addresses_valid_ms", 500..=600_000, 30_000)?,
            connections_max: s.int(
                "connections_max",
                1..=CONNECTIONS_LIMIT,
                vm.connections_max(),
            )?,
            per_address_max: s.int("connections_per_address_max", 1..=1_000_000, 2_048)?,
            requests_max: s.int("requests_max", 1..=1_000_000, 10_000)?,
            handover_max: s.int("handover_max", 1..=65_536, 1_024)?,
            header_bytes_max: s.int("header_bytes_max", 8 * KIB..=MIB, 16 * KIB)?,
            body_bytes_max: s.int("body_bytes_max", KIB..=64 * MIB, MIB)?,
            body_memory_max: s.int(
                "body_memory_bytes_max",
                MIB..=65_536 * MIB,
                vm.body_memory_max(),
            )?,
            header_timeout: s.millis("header_timeout_ms", 100..=600_000, 10_000)?,
            body_timeout: s.millis("body_timeout_ms", 100..=600_000, 10_000)?,
            unread_timeout: s.millis("unread_timeout_ms", 100..=3_600_000, 30_000)?,
        };
        s.finish()?;
        Ok(callers)
    }
}

impl Peers {
    fn read(s: &mut Section, hosted: bool) -> Result<Self, Error> {
        let peers = Self {
            listen: s.required_address("listen")?,
            key: s.fleet_key("fleet_key", "fleet_key_file", hosted)?,
            connect_timeout: s.millis("connect_timeout_ms", 100..=60_000, 2_000)?,
            call_timeout: s.millis("call_timeout_ms", 100..=60_000, 2_000)?,
            heartbeat: s.millis("heartbeat_ms", 100..=60_000, 1_000)?,
            unproved_max: s.int("strangers_max", 1..=4_096, 64)?,
        };
        s.finish()?;
        Ok(peers)
    }
}

impl Operators {
    fn read(s: &mut Section) -> Result<Self, Error> {
        let metrics_open = s.bool("metrics_open", false)?;
        let operators = Self {
            listen: s.required_address("listen")?,
            tokens: s.sha256_list("tokens_sha256", usize::from(!metrics_open)..=64)?,
            metrics_open,
        };
        s.finish()?;
        Ok(operators)
    }
}

impl Platform {
    fn read(root: &mut Section) -> Result<Self, Error> {
        match root.has("hosting") {
            true => Ok(Self::Hosting(Hosting::read(&mut root.section("hosting")?)?)),
            false => Ok(Self::Services(Services::read(
                &mut root.section("platform")?,
            )?)),
        }
    }
}

impl Hosting {
    fn read(s: &mut Section) -> Result<Self, Error> {
        let hosting = Self {
            store: s.required_address("store")?,
            ready: s.required_address("ready")?,
            directory: s.address("directory")?,
            regions: s.string_map("regions")?,
            addresses_valid: s.millis("addresses_valid_ms", 100..=600_000, 2_000)?,
            leave_within: s.millis_limit("leave_within_ms", 100..=3_600_000, 2_000)?,
            capacity: match s.has("cpu_share") {
                true => s.thousandths("cpu_share", 0.001..=1_024.0)?,
                false => 1_000,
            },
            retry_millis: s.thousandths("retry_ratio", 0.0..=1_000.0)?,
            retry_burst: s.limit("retry_burst", 0..=u64::from(u32::MAX), 0)?,
            move_margin: s.millis("move_margin_ms", 0..=600_000, 1_500)?,
            move_share_max: s.int("move_share_max_millis", 1..=1_000, 80)?,
            move_exposure: version::Exposure {
                share: match s.has("move_exposure_share") {
                    true => s.thousandths("move_exposure_share", 0.0..=1.0)?,
                    false => 100,
                },
                slack: s.limit("move_exposure_slack", 0..=u64::from(u32::MAX), 50)?,
            },
            duty: Duty::read(s)?,
        };
        s.finish()?;
        Ok(hosting)
    }
}

impl Duty {
    /// Reads the settings of the duties. Without an endpoint and a list of duties there are none, and
    /// the bounds do not matter.
    fn read(s: &mut Section) -> Result<Option<Self>, Error> {
        const BOUNDS: [&str; 4] = [
            "duty_fencing_required",
            "duty_lease_ms",
            "usage_window_s",
            "usage_late_s",
        ];
        let keys = ["duty_endpoint", "duty_node", "duties", "duty_calls_per_s"];
        if !keys.iter().any(|key| s.has(key)) {
            for key in BOUNDS {
                s.skip(key);
            }
            return Ok(None);
        }
        let names = s.string_list("duties")?;
        let mut unknown = Vec::new();
        let mut known = Vec::new();
        for name in names {
            match duty::Duty::by_name(&name) {
                Some(duty) => known.push(duty),
                None => unknown.push(name),
            }
        }
        let seconds = |s: &mut Section, key, default| match s.has(key) {
            true => Ok(Duration::from_millis(
                s.thousandths(key, 1.0..=3_600.0)?.into(),
            )),
            false => Ok(Duration::from_secs(default)),
        };
        let duty = Self {
            endpoint: s.required_address("duty_endpoint")?,
            node: s.required_text("duty_node", 1..=255)?,
            usage_report: known.contains(&duty::Duty::UsageReport),
            autoscale: known.contains(&duty::Duty::Autoscale),
            unknown,
            calls_per_s: s.limit("duty_calls_per_s", 1..=1_000_000, 50)?,
            fencing_required: s.bool("duty_fencing_required", false)?,
            lease: s.millis_limit("duty_lease_ms", 500..=30_000, 3_000)?,
            usage_window: seconds(s, "usage_window_s", 5)?,
            usage_late: seconds(s, "usage_late_s", 10)?,
        };
        Ok(Some(duty))
    }

    /// Returns the timeout of a call: a quarter of the lease, so that most of a term remains for calls.
    pub(crate) fn call_timeout(&self) -> Duration {
        self.lease / 4
    }
}

/// Reads the settings by which targets are compared.
fn balance(s: &mut Section) -> Result<balance::Config, Error> {
    let default = balance::Config::default();
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let balance = balance::Config {
        read_per_ms: s.int("read_per_ms", 1..=1_000_000, default.read_per_ms.into())?,
        max_unread: s.millis("ahead_ms", 1..=60_000, millis(default.max_unread))?,
        pause_percent: s.int("pause_percent", 1..=1_000, default.pause_percent.into())?,
        reread_weight: s.int("reread_weight", 0..=100, default.reread_weight.into())?,
        reread_min: s.int(
            "reread_tokens_min",
            0..=1_000_000,
            default.reread_min.into(),
        )?,
        holder_wait_percent: s.int("hold_percent", 0..=100, default.holder_wait_percent.into())?,
        running_tokens: s.int("running_tokens", 0..=100_000, default.running_tokens.into())?,
        far_byte_centitokens: s.int(
            "far_byte_centitokens",
            0..=10_000,
            default.far_byte_centitokens.into(),
        )?,
        prefix_ttl: s.millis("keep_ms", 0..=3_600_000, millis(default.prefix_ttl))?,
        max_wait_percent: s.int(
            "patience_percent",
            0..=1_000,
            default.max_wait_percent.into(),
        )?,
        report_every: s.millis("report_every_ms", 10..=60_000, millis(default.report_every))?,
        stale_after: s.millis("stale_after_ms", 100..=60_000, millis(default.stale_after))?,
        lead: Cost(s.int("lead", 0..=u64::MAX, default.lead.0)?),
        fairness_window: s.millis(
            "fair_over_ms",
            500..=600_000,
            millis(default.fairness_window),
        )?,
        light_percent: s.int("quiet_percent", 0..=100, default.light_percent.into())?,
        short_percent: s.int("short_percent", 0..=100, default.short_percent.into())?,
        claim_ttl: s.millis("floor_for_ms", 10..=60_000, millis(default.claim_ttl))?,
    };
    s.finish()?;
    Ok(balance)
}

/// Reads the id of the router's VM. An IPv4 address is converted to the equal 32-bit number.
fn router(root: &mut Section) -> Result<u32, Error> {
    match root.ipv4("router_ip")? {
        Some(ip) => Ok(u32::from(ip)),
        None => root.required_int("router", 1..=u64::from(u32::MAX)),
    }
}

impl Services {
    fn read(s: &mut Section) -> Result<Self, Error> {
        let platform = Self {
            log: s.required_address("log")?,
            vms: s.required_address("vms")?,
            weights: s.address("weights")?,
            token: s.secret("token", "token_file", 1..=4_096)?,
            log_retention: s.millis("log_retention_ms", 60_000..=31_536_000_000, 604_800_000)?,
            append_timeout: s.millis("append_timeout_ms", 100..=60_000, 2_000)?,
            read_wait: s.millis("read_wait_ms", 10..=10_000, 500)?,
            vms_every: s.millis("vms_every_ms", 100..=60_000, 1_000)?,
        };
        s.finish()?;
        Ok(platform)
    }
}

impl Targets {
    fn read(s: &mut Section) -> Result<Self, Error> {
        let targets = Self {
            connect_timeout: s.millis("connect_timeout_ms", 50..=60_000, 1_000)?,
            first_timeout: s.millis("first_timeout_ms", 100..=3_600_000, 60_000)?,
            gap_timeout: s.millis("gap_timeout_ms", 100..=600_000, 5_000)?,
            idle_max: s.int("idle_connections_max", 0..=1_024, 8)?,
            idle_timeout: s.millis("idle_timeout_ms", 100..=3_600_000, 20_000)?,
            report_every: s.millis("report_every_ms", 100..=60_000, 1_000)?,
            hold_bytes_max: s.int("hold_bytes_max", 0..=16 * MIB, 256 * KIB)?,
        };
        s.finish()?;
        Ok(targets)
    }
}
