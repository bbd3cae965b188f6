//! A daemon that runs as a child process.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::WAIT_TIMEOUT;

/// A running daemon. Dropping it kills it.
#[derive(Debug)]
pub struct Daemon {
    pub id: u32,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl Daemon {
    /// Starts a daemon with these settings.
    pub fn start(id: u32, settings: &Value) -> Self {
        let path =
            std::env::temp_dir().join(format!("bulrushtrestled-{}.json", uuid::Uuid::now_v7()));
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let address = |section: &str| {
            settings[section]["listen"]
                .as_str()
                .and_then(|text| text.parse().ok())
                .expect("every listener has an address")
        };
        Self {
            id,
            callers: address("callers"),
            peers: address("peers"),
            operators: address("operators"),
            child: spawn(&path),
            settings: path,
        }
    }

    /// Starts the daemon again after it has exited, with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings);
    }

    /// Kills the daemon without warning (SIGKILL) and waits for it to exit.
    pub fn kill(&mut self) {
        self.child.kill().expect("the daemon is running");
        self.child.wait().expect("the daemon exits");
    }

    /// Sends the signal with this name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status()
            .expect("the command runs");
        assert!(status.success());
    }

    /// Returns whether the daemon is still running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the status of the daemon can be read")
            .is_none()
    }

    /// Waits until the daemon has exited; panics after twice `WAIT_TIMEOUT`.
    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + 2 * WAIT_TIMEOUT;
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the status of the daemon can be read")
            {
                return status;
            }
            assert!(Instant::now() < deadline, "the daemon does not exit");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The daemon may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn spawn(settings: &PathBuf) -> Child {
    Command::new(env!("CARGO_BIN_EXE_bulrushtrestled"))
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .spawn()
        .expect("the daemon starts")
}
