//! Duty: queue.
