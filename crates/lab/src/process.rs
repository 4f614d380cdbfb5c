//! A process of a day.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use emulator::{Fault, NodeStatus};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use records::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::LabError;

/// A process has this long to come up.
const WAY_UP: Duration = Duration::from_secs(10);

/// The line that a gateway or node prints once it listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ready {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where a gateway's peers connect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
}

/// A request to a stand-in node's control socket.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRequest {
    /// Switch a fault.
    Fault(Fault),
    /// Tell the state.
    Status,
}

/// A child process, and what it said once it was up. Dropped, it is killed: none outlives the day.
pub(crate) struct Process<T = Ready> {
    pub(crate) said: T,
    pub(crate) control: PathBuf,
    child: Child,
}

impl<T: DeserializeOwned> Process<T> {
    /// Starts one and waits for the line that says that it listens.
    pub(crate) fn start(
        name: &str,
        mut command: Command,
        control: PathBuf,
        log: &Path,
    ) -> Result<Process<T>, LabError> {
        let not_up = |why: String| LabError::NotUp(name.to_owned(), why);
        let errors = std::fs::File::options().append(true).create(true).open(log);
        let errors = errors.map_err(|e| LabError::Io(log.to_owned(), e))?;
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(errors);
        let mut child = command.spawn().map_err(|e| not_up(e.to_string()))?;
        let stdout = child.stdout.take().ok_or_else(|| not_up("no standard output".into()))?;
        let (sender, line) = mpsc::channel();
        std::thread::spawn(move || {
            let mut line = String::new();
            // An end without a line is told as an empty one.
            let _ = BufReader::new(stdout).read_line(&mut line);
            let _ = sender.send(line);
        });
        let line = line.recv_timeout(WAY_UP).unwrap_or_default();
        match serde_json::from_str(&line) {
            Ok(said) => Ok(Process { said, control, child }),
            Err(_) => {
                let _ = child.kill();
                let _ = child.wait();
                Err(not_up(format!("it said '{}'; its log is {}", line.trim(), log.display())))
            }
        }
    }
}

impl<T> Process<T> {
    fn signal(&self, signal: Signal) {
        // A process that has ended already needs no signal.
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    pub(crate) fn stall(&self, on: bool) {
        self.signal(if on { Signal::SIGSTOP } else { Signal::SIGCONT });
    }

    /// Kills it outright.
    pub(crate) fn kill(&mut self) {
        self.strike();
        let _ = self.child.wait();
    }

    /// Kills it and does not wait: several that are struck go at once.
    pub(crate) fn strike(&mut self) {
        let _ = self.child.kill();
    }

    /// Asks it to leave; whether it did within the time, by itself and without an error.
    pub(crate) fn leave(&mut self, within: Duration) -> bool {
        self.signal(Signal::SIGTERM);
        let end = Instant::now() + within;
        while Instant::now() < end {
            match self.child.try_wait() {
                Ok(Some(status)) => return status.success(),
                Ok(None) => std::thread::sleep(Duration::from_millis(10)),
                Err(_) => break,
            }
        }
        self.kill();
        false
    }
}

impl<T> Drop for Process<T> {
    fn drop(&mut self) {
        self.stall(false);
        self.kill();
    }
}

/// Switches a fault of a node process.
pub(crate) fn fault(control: &Path, fault: Fault) -> Result<Option<NodeStatus>, control::CallError> {
    control::call(control, &NodeRequest::Fault(fault), Duration::from_secs(5))
}

/// The start of a node process, as it says itself; 0: long ago.
pub(crate) fn started(control: &Path) -> Micros {
    let status: Result<Option<NodeStatus>, _> =
        control::call(control, &NodeRequest::Status, Duration::from_secs(5));
    status.ok().flatten().map_or(0, |s| s.started)
}
