//! Duty: address.

pub mod message;
