//! Duty: once.

pub mod message;
