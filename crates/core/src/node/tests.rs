//! Tests of the complete node.
