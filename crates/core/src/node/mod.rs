//! The node: the complete state of one router, and the path of each event through the components.
//!
//! The node holds no clock, no socket and no thread. An embedding passes in what happened and
//! carries out the returned effects in order; see [`Node::handle`].

mod attempt;
mod config;
mod dispatch;
mod duty;
mod feed;
mod freshness;
mod funnel;
mod limit;
mod load_exchange;
mod local_dispatch;
mod log;
mod lost;
mod once;
mod pace;
mod page;
mod peer;
mod poison;
mod quarantine;
mod request;
mod share;
mod slots;
mod state;
mod status;
mod stop;
mod store;
mod target_notice;
#[cfg(test)]
mod tests;
mod timer;
mod usage;
mod version;

pub use self::config::{CatalogueSource, Config, LogConfig};
pub use self::lost::LOST_AFTER;
pub use self::state::Node;
pub use self::status::{Status, TargetStatus};
