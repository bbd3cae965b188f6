//! The node.
