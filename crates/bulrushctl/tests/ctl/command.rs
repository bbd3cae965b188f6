//! Running the command as operators do.

use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use tokio::process::Command;

/// The longest time that one command may take; far more than any needs.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(60);

/// What a command left behind.
#[derive(Debug)]
pub(crate) struct Ran {
    /// The exit code.
    pub(crate) code: i32,
    /// What it printed.
    pub(crate) stdout: String,
    /// What it complained about.
    pub(crate) stderr: String,
}

impl Ran {
    /// Returns what it printed as JSON, or null.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_default()
    }
}

/// Runs the command to its end.
pub(crate) async fn bulrushctl(args: &[&str]) -> Ran {
    let output = Command::new(env!("CARGO_BIN_EXE_bulrushctl"))
        .args(args)
        .env_remove("BULRUSHCTL_LOG")
        .env_remove("BULRUSHCTL_ROUTER")
        .env("USER", "ann")
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output();
    let output = tokio::time::timeout(COMMAND_TIMEOUT, output)
        .await
        .expect("the command ends in time")
        .expect("the command can be run");
    Ran {
        code: output.status.code().expect("the command was not killed"),
        stdout: String::from_utf8(output.stdout).expect("the output is text"),
        stderr: String::from_utf8(output.stderr).expect("the complaints are text"),
    }
}
