//! A table of figures, some of them against bounds.

#![allow(dead_code, reason = "each benchmark has another kind of bounds")]

use std::process::ExitCode;

/// A limit that comes from a stated target.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Bound {
    AtMost(f64),
    AtLeast(f64),
}

/// The figures of one benchmark, printed as they come.
#[derive(Debug, Default)]
pub(crate) struct Report {
    failed: u32,
}

impl Report {
    /// Begins a table.
    pub(crate) fn new(title: &str) -> Self {
        println!("\n{title}");
        println!("{:<62} {:>12} {:<8} bound", "figure", "value", "unit");
        Self::default()
    }

    /// Prints a figure without a bound.
    pub(crate) fn figure(&mut self, name: &str, value: f64, unit: &str) {
        println!("{name:<62} {value:>12.2} {unit:<8} -");
    }

    /// Prints a figure and notes whether it keeps its bound; `source` says where the bound is stated.
    pub(crate) fn bounded(
        &mut self,
        name: &str,
        value: f64,
        unit: &str,
        bound: Bound,
        source: &str,
    ) {
        let (kept, text) = match bound {
            Bound::AtMost(limit) => (value <= limit, format!("<= {limit}")),
            Bound::AtLeast(limit) => (value >= limit, format!(">= {limit}")),
        };
        let verdict = if kept { "" } else { "  BROKEN" };
        println!("{name:<62} {value:>12.2} {unit:<8} {text} ({source}){verdict}");
        self.failed += u32::from(!kept);
    }

    /// Ends the table; the verdict is the exit code.
    pub(crate) fn finish(self) -> ExitCode {
        if self.failed == 0 {
            return ExitCode::SUCCESS;
        }
        println!("{} figures broke their bounds", self.failed);
        ExitCode::FAILURE
    }
}
