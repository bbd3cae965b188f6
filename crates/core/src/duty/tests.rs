//! Tests of the lease on duties.
