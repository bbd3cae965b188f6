//! Every kind of bad input.
