//! Duty: route.
