//! The cases of the review.

mod joined;
mod rollout;
mod spoilt;
mod suspect;
mod tenant;
mod traffic;

use crate::fleet::Record;
use std::sync::Arc;

/// Plays a case. Returns whether the rule held.
pub fn run(name: &str, trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    match name {
        "rollout" => rollout::run(trouble, record),
        "suspect" => suspect::run(trouble, record),
        "tenant" => tenant::run(trouble, record),
        "spoilt" => spoilt::run(trouble, record),
        "joined" => joined::run(trouble, record),
        _ => Err(format!("no case {name}")),
    }
}
