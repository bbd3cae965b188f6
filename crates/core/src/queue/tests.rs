//! Tests of this duty.
