//! The node: one router's whole state, and the way of each event through the components.
//!
//! The node holds no clock, no socket and no thread. An embedding hands it what happened and carries
//! out what it asks for, in order; see [`Node::handle`].

mod attempt;
mod config;
mod currency;
mod local;
mod log;
mod once;
mod page;
mod peer;
mod pump;
mod quarantine;
mod request;
mod share;
mod slots;
mod state;
mod status;
mod stop;
mod store;
#[cfg(test)]
mod tests;
mod timer;
mod version;

pub use self::config::{CatalogueSource, Config, LogConfig};
pub use self::state::Node;
pub use self::status::{Status, TargetStatus};
