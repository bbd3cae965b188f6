//! Tests of the whole node.
