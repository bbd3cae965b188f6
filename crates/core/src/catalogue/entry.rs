//! What the catalogue holds: the entries that operators create and edit.

use serde::{Deserialize, Serialize};

use crate::request::Class;
use crate::time::Time;

/// An entry of the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Entry {
    /// An organisation that shares the capacity.
    Organisation(Organisation),
    /// A set of interchangeable targets: one model or one plain service.
    Pool(Pool),
    /// A back end.
    Target(Target),
    /// A data centre.
    DataCentre(DataCentre),
    /// A move of a pool from one version to another.
    Move(Move),
    /// A way from a host and path to pools.
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

/// An organisation that shares the capacity with the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The name, unique among organisations.
    pub name: String,
    /// Who answers for it.
    pub owner: String,
    /// How its requests are scheduled unless they say otherwise.
    #[serde(default)]
    pub class: Class,
    /// Its part of the capacity, relative to the weights of others. From 1 to 1000.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Its limits.
    #[serde(default)]
    pub limits: Limits,
    /// The SHA-256 sums of its bearer tokens, as 64 hexadecimal digits each.
    #[serde(default)]
    pub tokens_sha256: Vec<String>,
}

/// The limits of an organisation, at each router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests that may wait. From 1 to 10000.
    pub waiting: u32,
    /// Requests that may run at the same time. From 1 to 10000.
    pub running: u32,
    /// The longest wait in milliseconds before a request is given up. From 100 to 3600000.
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
    /// The name of the model or the plain service, unique among pools.
    pub name: String,
    /// What its targets are.
    pub service: Service,
    /// What its targets bear beyond their slots.
    #[serde(default, skip_serializing_if = "Bounds::is_default")]
    pub bounds: Bounds,
}

/// What each target of a pool bears beyond its slots, as far as it is known. Zero stands for unknown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bounds {
    /// Connections that a target accepts from the whole fleet. From 0 to 65535.
    pub connections: u32,
    /// Requests that the whole fleet may start in a second at a cold target. From 0 to 10000.
    pub cold_starts_per_s: u32,
    /// For how long a target stays cold after its start, in milliseconds. From 0 to 3600000.
    pub cold_ms: u32,
    /// Tokens that a target holds in memory.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream. From 0 to 4096.
    pub tokens_per_event: u32,
}

impl Bounds {
    fn is_default(&self) -> bool {
        *self == Self::default()
    }
}

/// What the targets of a pool are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Service {
    /// Model engines with streamed answers.
    Model,
    /// A plain service. Calls other than `GET`, `HEAD` and `OPTIONS` may not be repeated.
    Plain,
}

/// A back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The name, unique among targets.
    pub name: String,
    /// The number of its VM in the VM list.
    pub vm: u32,
    /// Where it listens, as an IP number and a port.
    pub address: String,
    /// The name of its data centre.
    pub data_centre: String,
    /// The name of the pool that it serves.
    pub pool: String,
    /// The version that it runs.
    pub version: String,
    /// The most requests that it can run at the same time when warm. From 1 to 4096.
    pub slots: u32,
    /// Whether it refuses orders that carry an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The name, unique among data centres.
    pub name: String,
    /// The name of its region.
    pub region: String,
    /// Whether its targets may be given new work.
    pub state: DataCentreState,
}

/// Whether the targets of a data centre may be given new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DataCentreState {
    /// It serves.
    In,
    /// Operators have taken it out; its targets get no new work.
    Out,
}

/// A move of a pool from one version to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// The name of the pool; at most one move per pool.
    pub pool: String,
    /// The version that serves now.
    pub from: String,
    /// The version that shall serve.
    pub to: String,
    /// When all traffic shall have moved, in microseconds since the Unix epoch.
    pub finish_at: Time,
}

/// A way from a host and the beginning of a path to pools, with the terms of its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name, unique among routes.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The beginning of the path, from slash to slash. The longest that fits is taken.
    pub path_prefix: String,
    /// The pools that share the requests, by weight.
    pub pools: Vec<PoolShare>,
    /// What may be repeated.
    pub repeat: RouteRepeat,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// The longest time in milliseconds until the final answer. From 1 to 3600000.
    pub timeout_ms: u32,
    /// The time in milliseconds within which an answer is on time. From 0 to 3600000.
    pub objective_ms: u32,
    /// How many targets may run one request. From 1 to 100.
    pub attempts_max: u32,
    /// Whether callers need no token.
    pub anonymous: bool,
}

/// A pool's part of a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolShare {
    /// The name of the pool.
    pub pool: String,
    /// Its part relative to the others of the route. From 0 to 1000000.
    pub weight: u32,
}

/// Whether the requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteRepeat {
    /// They may run any number of times; streams may be resumed.
    Allowed,
    /// They run once at most.
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

    /// Returns the name that identifies the entry among those of its kind.
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
    /// Every kind, in the order in which entries may refer to one another.
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
