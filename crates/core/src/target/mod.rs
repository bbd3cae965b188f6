//! Duty: target.

pub mod message;
