//! Speed: how long work takes at each target, relative to the usual time in its pool.
//!
//! # Invariant
//!
//! What is not known of a target, or was seen too long ago, counts as usual. A target counts as
//! faster or slower only while recent answers show it, and a figure that the target states counts no
//! further than its answers bear it out.
//!
//! # How it works
//!
//! The unit is *work*: the time that the same work takes, in hundredths of the usual time. A target
//! of half the usual speed has work 200.
//!
//! Targets may state their work at the moment with each answer. The figure changes many times a
//! second, so it wears off within [`STATED_WEARS_OFF`] to the work that the target has for most of
//! the time. That level follows a lower figure quickly and a higher one slowly, because a machine is
//! slowed for short times by its neighbours and never sped up.
//!
//! A router also compares the time that a prompt took to be read with the usual time in the pool
//! ([`Speeds::on_read`]), as a slow mean that single answers move little. The usual time itself
//! follows the median of all answers. The means bound what targets state; for targets that state
//! nothing they are shown to operators only, since times of answers vary also among equal targets
//! ([`Basis`]).
//!
//! In a large fleet a router sees few answers of each target. Routers report stated figures that
//! differ by a tenth from what they knew to each other with their loads ([`message::SpeedRow`]).
//! See `docs/design/0041-speed-and-pauses.md`.

pub mod message;
mod rate;
mod state;
#[cfg(test)]
mod tests;

use crate::prelude::*;

pub use self::rate::ReadRate;
pub use self::state::{Basis, Reading, Speeds};

/// The work of a target of usual speed.
pub const WORK_USUAL: u32 = 100;

/// The range of work that decisions use. A target that states that it is ten times as fast as usual is
/// more likely to be wrong than fast.
const WORK_RANGE: core::ops::RangeInclusive<u32> = 50..=1_000;

/// The time in which a stated figure wears off.
pub const STATED_WEARS_OFF: Duration = Duration::from_millis(500);
