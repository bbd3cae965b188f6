//! Duty: membership.

pub mod message;
