//! Tests of the stand-ins over HTTP: what they promise, and what each fault does.

mod client;
mod engine;
mod log;
mod plain;
mod platform;
mod server;
