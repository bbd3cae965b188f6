//! Reads the catalogue from the log, builds edits and publishes them.

mod build;
mod fold;
mod log;
mod publish;
#[cfg(test)]
mod tests;

pub(crate) use self::build::PendingChange;
pub(crate) use self::build::{data_centre, organisation, pool, removal, target, version_move};
pub(crate) use self::fold::Fold;
pub(crate) use self::log::Log;
pub(crate) use self::publish::publish;
