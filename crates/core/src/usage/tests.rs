//! Tests of the reports of usage.
