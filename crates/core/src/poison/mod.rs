//! Poison: parts of prompts that crash the targets that begin to answer on them.
//!
//! # Invariant
//!
//! A barred part is not sent to a target by any router that knows of the bar, except in one trial
//! at a time after the bar has run out. A part is barred only after a run of crashes, each of a
//! target that had yet to answer a request with the part, during which no target answered such a
//! request, and only if the run is longer than chance explains. An answer that begins and goes on
//! clears all parts of its prompt, at every router.
//!
//! # How it works
//!
//! When the connections to a target break, each router knows only its own requests there. It
//! suspects the parts of those whose answers had not begun, unless several targets break at once,
//! which has another cause. Routers exchange what they suspect and when an answer last cleared it
//! ([`message::Row`]). These facts only merge, so they may be lost, repeated or late. A router that
//! sent one of the requests compares the run of crashes of a part with the fraction of its own
//! requests that break at present ([`Outcomes`]), so that failing targets demand longer runs. A
//! crash that a barred part explains counts against no other part.
//!
//! See `docs/design/0036-poisonous-parts.md`.

mod config;
mod evidence;
pub mod message;
mod outcomes;
mod sound;
mod state;
#[cfg(test)]
mod tests;

pub use self::config::Config;
pub use self::evidence::{Bar, Crash, Evidence};
pub use self::outcomes::Outcomes;
pub use self::sound::SoundParts;
pub use self::state::{BarredPart, Change, Poison, shared_parts};
