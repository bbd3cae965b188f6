//! Tests of `bulrushctl` as a process.

mod ask;
mod command;
mod edit;
mod fake;
mod load;
