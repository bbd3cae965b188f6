//! The entries of the catalogue, which operators create and edit.

use serde::{Deserialize, Serialize};

use crate::request::Class;
use crate::time::Time;

/// An entry of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Entry {
    /// An organisation that shares the capacity of the fleet.
    Organisation(Organisation),
    /// A set of interchangeable targets: one model or one plain service.
    Pool(Pool),
    /// A back end.
    Target(Target),
    /// A data centre.
    DataCentre(DataCentre),
    /// A move of a pool from one version to another.
    Move(Move),
    /// A mapping from a host and path to pools.
    Route(Route),
}

/// The kinds of entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// See [`Organisation`].
    Organisation,
    /// See [`Pool`].
    Pool,
    /// See [`Target`].
    Target,
    /// See [`DataCentre`].
    DataCentre,
    /// See [`Move`].
    Move,
    /// See [`Route`].
    Route,
}

/// An organisation that shares the capacity of the fleet with others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name, unique among organisations.
    pub name: String,
    /// The person or team responsible for the organisation.
    pub owner: String,
    /// The scheduling class of requests that do not specify one.
    #[serde(default)]
    pub class: Class,
    /// The organisation's share of the capacity, relative to the weights of others. From 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The limits of the organisation at each router.
    #[serde(default)]
    pub limits: Limits,
    /// The SHA-256 hashes of the organisation's bearer tokens, as 64 hexadecimal digits each.
    #[serde(default)]
    pub tokens_sha256: Vec<String>,
}

/// The limits of an organisation. They apply at each router separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The maximum number of waiting requests. From 1 to 10000.
    pub waiting: u32,
    /// The maximum number of concurrently running requests. From 1 to 10000.
    pub running: u32,
    /// The maximum wait in milliseconds, after which a request is refused. From 100 to 3600000.
    pub wait_ms: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            waiting: 200,
            running: 1_000,
            wait_ms: 60_000,
        }
    }
}

/// A set of interchangeable targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The name of the model or plain service, unique among pools.
    pub name: String,
    /// The kind of service that the pool's targets provide.
    pub service: Service,
    /// The limits of each target of the pool, in addition to its slots.
    #[serde(default, skip_serializing_if = "Bounds::is_default")]
    pub bounds: Bounds,
    /// How many targets the fleet may order. `None` if operators do not want the fleet to order any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub autoscale: Option<Autoscale>,
}

/// The limits on the number of a pool's targets that the fleet may order in each data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Autoscale {
    /// The smallest number of targets. From 0 to `max`.
    pub min: u32,
    /// The largest number of targets. From 1 to 10000.
    pub max: u32,
    /// How long a new target takes until it serves, in milliseconds. From 0 to 3600000.
    pub boot_ms: u32,
}

/// The limits of each target of a pool, in addition to its slots. Zero stands for an unknown limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// The maximum number of connections that a target accepts from the entire fleet. From 0 to
    /// 65535.
    pub connections: u32,
    /// The maximum number of requests per second that the entire fleet may start at a cold target.
    /// From 0 to 10000.
    pub cold_starts_per_s: u32,
    /// How long a target stays cold after its start, in milliseconds. From 0 to 3600000.
    pub cold_ms: u32,
    /// The number of tokens that a target can hold in memory.
    pub memory_tokens: u64,
    /// The number of tokens in one event of a stream. From 0 to 4096.
    pub tokens_per_event: u32,
}

impl Bounds {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// The kind of service that the targets of a pool provide.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// Model engines with streamed answers.
    Model,
    /// A plain service. Requests with methods other than `GET`, `HEAD` and `OPTIONS` may not be
    /// repeated.
    Plain,
}

/// A back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The name, unique among targets.
    pub name: String,
    /// The number of the target's VM in the VM list.
    pub vm: u32,
    /// The address on which the target listens, as an IP address and a port.
    pub address: String,
    /// The name of the target's data centre.
    pub data_centre: String,
    /// The name of the target's pool.
    pub pool: String,
    /// The version that the target runs.
    pub version: String,
    /// The maximum number of requests that the target can run concurrently when warm. From 1 to
    /// 4096.
    pub slots: u32,
    /// Whether the target refuses orders with an outdated fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The name, unique among data centres.
    pub name: String,
    /// The name of the data centre's region.
    pub region: String,
    /// Whether targets of the data centre receive new requests.
    pub state: DataCentreState,
}

/// Whether the targets of a data centre receive new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DataCentreState {
    /// The data centre is in service.
    In,
    /// Operators have taken the data centre out of service. Its targets receive no new requests.
    Out,
}

/// A move of a pool from one version to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// The name of the pool. There is at most one move per pool.
    pub pool: String,
    /// The version that traffic leaves.
    pub from: String,
    /// The version to which traffic moves.
    pub to: String,
    /// The time by which all traffic is to be moved, in microseconds since the Unix epoch.
    pub finish_at: Time,
}

/// A mapping from a host and a path prefix to pools, with the settings of its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name, unique among routes.
    pub name: String,
    /// The host that requests address.
    pub host: String,
    /// The path prefix, which begins and ends with a slash. The longest matching prefix wins.
    pub path_prefix: String,
    /// The pools among which requests are divided by weight.
    pub pools: Vec<PoolShare>,
    /// Whether requests may be repeated.
    pub repeat: RouteRepeat,
    /// Whether answers are event streams.
    pub streams: bool,
    /// The maximum time until the final answer, in milliseconds. From 1 to 3600000.
    pub timeout_ms: u32,
    /// The latency objective: the time within which an answer is on time, in milliseconds. From 0
    /// to 3600000.
    pub objective_ms: u32,
    /// The longest pause between two events of a stream that is on time, in milliseconds. From 0 to
    /// 3600000; 0 states no such objective.
    // Routers of an earlier version reject the field, so it is written only where it is stated.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub gap_aim_ms: u32,
    /// The maximum number of targets that may run one request. From 1 to 100.
    pub attempts_max: u32,
    /// Whether callers may send requests without a token.
    pub anonymous: bool,
}

/// Returns whether a number states nothing.
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// The share of one pool in a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolShare {
    /// The name of the pool.
    pub pool: String,
    /// The weight relative to the other pools of the route. From 0 to 1000000.
    pub weight: u32,
}

/// Whether the requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteRepeat {
    /// Requests may run any number of times, and streams may be resumed.
    Allowed,
    /// Each request runs at most once.
    Once,
}

impl Entry {
    /// Returns the kind of the entry.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Organisation(_) => Kind::Organisation,
            Self::Pool(_) => Kind::Pool,
            Self::Target(_) => Kind::Target,
            Self::DataCentre(_) => Kind::DataCentre,
            Self::Move(_) => Kind::Move,
            Self::Route(_) => Kind::Route,
        }
    }

    /// Returns the name that identifies the entry among entries of its kind.
    pub fn name(&self) -> &str {
        match self {
            Self::Organisation(entry) => &entry.name,
            Self::Pool(entry) => &entry.name,
            Self::Target(entry) => &entry.name,
            Self::DataCentre(entry) => &entry.name,
            Self::Move(entry) => &entry.pool,
            Self::Route(entry) => &entry.name,
        }
    }
}

impl Kind {
    /// Every kind. Entries refer only to entries of kinds that come earlier.
    pub const ALL: [Self; 6] = [
        Self::DataCentre,
        Self::Pool,
        Self::Target,
        Self::Organisation,
        Self::Move,
        Self::Route,
    ];

    /// Returns the stable name of the kind.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Pool => "pool",
            Self::Target => "target",
            Self::DataCentre => "data_centre",
            Self::Move => "move",
            Self::Route => "route",
        }
    }
}

const fn default_weight() -> u32 {
    1
}
