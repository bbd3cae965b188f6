//! A printed table of benchmark figures, some of them checked against bounds.

#![allow(dead_code, reason = "each benchmark uses some kinds of bounds")]

use std::process::ExitCode;

/// A limit for a figure, from a stated objective.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Bound {
    AtMost(f64),
    AtLeast(f64),
}

/// The figures of one benchmark, each printed as soon as it is added.
#[derive(Debug, Default)]
pub(crate) struct Report {
    failed: u32,
}

impl Report {
    /// Starts a table and prints its header.
    pub(crate) fn new(title: &str) -> Self {
        println!("\n{title}");
        println!("{:<62} {:>12} {:<8} bound", "figure", "value", "unit");
        Self::default()
    }

    /// Prints a figure without a bound.
    pub(crate) fn figure(&mut self, name: &str, value: f64, unit: &str) {
        println!("{name:<62} {value:>12.2} {unit:<8} -");
    }

    /// Prints a figure and records whether it is within its bound; `source` names where the bound is stated.
    pub(crate) fn bounded(
        &mut self,
        name: &str,
        value: f64,
        unit: &str,
        bound: Bound,
        source: &str,
    ) {
        let (within, text) = match bound {
            Bound::AtMost(limit) => (value <= limit, format!("<= {limit}")),
            Bound::AtLeast(limit) => (value >= limit, format!(">= {limit}")),
        };
        let verdict = if within { "" } else { "  BROKEN" };
        println!("{name:<62} {value:>12.2} {unit:<8} {text} ({source}){verdict}");
        self.failed += u32::from(!within);
    }

    /// Ends the table and returns failure if any figure is outside its bound.
    pub(crate) fn finish(self) -> ExitCode {
        if self.failed == 0 {
            return ExitCode::SUCCESS;
        }
        println!("{} figures broke their bounds", self.failed);
        ExitCode::FAILURE
    }
}
