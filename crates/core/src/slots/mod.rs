//! Duty: slots.

pub mod message;
