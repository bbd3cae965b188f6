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

impl Entry {
    /// Returns the kind of the entry.
    pub const fn kind(&self) -> Kind {
        match self {
            Self::Organisation(_) => Kind::Organisation,
            Self::Pool(_) => Kind::Pool,
            Self::Target(_) => Kind::Target,
            Self::DataCentre(_) => Kind::DataCentre,
            Self::Move(_) => Kind::Move,
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
        }
    }
}

impl Kind {
    /// Every kind, in the order in which entries may refer to one another.
    pub const ALL: [Self; 5] = [
        Self::DataCentre,
        Self::Pool,
        Self::Target,
        Self::Organisation,
        Self::Move,
    ];

    /// Returns the stable name of the kind.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Organisation => "organisation",
            Self::Pool => "pool",
            Self::Target => "target",
            Self::DataCentre => "data_centre",
            Self::Move => "move",
        }
    }
}

const fn default_weight() -> u32 {
    1
}
