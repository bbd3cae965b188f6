//! Duty: version.

pub mod message;
