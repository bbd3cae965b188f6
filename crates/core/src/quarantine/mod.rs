//! Duty: quarantine.

pub mod message;
