//! Duty: placement.
