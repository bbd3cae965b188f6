//! Duty: catalogue.

pub mod entry;
pub mod message;
