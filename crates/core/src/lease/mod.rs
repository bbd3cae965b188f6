//! Duty: lease.

pub mod message;
