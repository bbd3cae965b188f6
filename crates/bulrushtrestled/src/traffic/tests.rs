//! Parsing of requests and streams.
