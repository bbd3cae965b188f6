//! Duty: share.

pub mod message;
