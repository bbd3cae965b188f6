//! The cases of the review.

#[path = "2/case.rs"]
mod joined;
#[path = "1/case.rs"]
mod rollout;
#[path = "5/case.rs"]
mod spoilt;
#[path = "3/case.rs"]
mod suspect;
#[path = "4/case.rs"]
mod tenant;

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
