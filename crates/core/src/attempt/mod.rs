//! Duty: attempt.
