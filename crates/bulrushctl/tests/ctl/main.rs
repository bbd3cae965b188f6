//! Tests of `bulrushctl` as a process.

mod ask;
mod command;
mod docs;
mod edit;
mod fake;
mod load;
mod race;
