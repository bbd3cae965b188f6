//! Helpers that run the command as a process, as operators do.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use serde_json::Value;
use tokio::process::{Child, Command};
use uuid::Uuid;

/// The time limit of one command. It only stops a command that hangs: no command needs nearly as
/// long.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(60);

/// The result of a command that has ended.
#[derive(Debug)]
pub(crate) struct Ran {
    /// The exit code of the process.
    pub(crate) code: i32,
    /// The standard output.
    pub(crate) stdout: String,
    /// The standard error output.
    pub(crate) stderr: String,
}

impl Ran {
    /// Returns the standard output parsed as JSON, or null if the output is not JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_default()
    }
}

/// Runs the command to its end.
pub(crate) async fn bulrushctl(args: &[&str]) -> Ran {
    end(start(args)).await
}

/// Runs the command to its end in a directory and with extra environment variables.
pub(crate) async fn bulrushctl_in(dir: &Path, variables: &[(&str, String)], args: &[&str]) -> Ran {
    let mut command = command(args);
    command.current_dir(dir);
    command.envs(variables.iter().map(|(name, value)| (name, value)));
    end(command.spawn().expect("the command can be run")).await
}

/// Starts the command.
pub(crate) fn start(args: &[&str]) -> Child {
    command(args).spawn().expect("the command can be run")
}

/// Waits for the end of the command.
pub(crate) async fn end(child: Child) -> Ran {
    let output = tokio::time::timeout(COMMAND_TIMEOUT, child.wait_with_output())
        .await
        .expect("the command ends in time")
        .expect("the command can be waited for");
    Ran {
        code: output.status.code().expect("the command was not killed"),
        stdout: String::from_utf8(output.stdout).expect("the output is text"),
        stderr: String::from_utf8(output.stderr).expect("the errors are text"),
    }
}

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushctl"));
    command
        .args(args)
        .env_remove("BULRUSHCTL_LOG")
        .env_remove("BULRUSHCTL_ROUTER")
        .env("USER", "ann")
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .kill_on_drop(true);
    command
}

/// A temporary file, removed on drop.
pub(crate) struct Temporary(PathBuf);

impl Temporary {
    /// Returns the path of a file that does not exist yet.
    pub(crate) fn new() -> Self {
        Self(std::env::temp_dir().join(format!("bulrushctl-{}", Uuid::now_v7())))
    }

    /// Creates a file with this content.
    pub(crate) fn with(content: &str) -> Self {
        let file = Self::new();
        std::fs::write(&file.0, content).expect("the temporary directory can be written");
        file
    }

    pub(crate) fn path(&self) -> String {
        self.0.display().to_string()
    }

    /// Returns the content that a command has written to the file.
    pub(crate) fn text(&self) -> String {
        std::fs::read_to_string(&self.0).expect("the command has written the file")
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        // The file may not exist, if no command has written it.
        let _ = std::fs::remove_file(&self.0);
    }
}
