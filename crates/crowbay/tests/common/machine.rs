//! Control machines as processes, and what they say of themselves.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use super::process::{EXE, ended, text, until};

/// A control machine that is killed when it is dropped.
pub struct Machine {
    child: Child,
    name: &'static str,
    said: Arc<Mutex<Option<Value>>>,
}

impl Machine {
    /// Starts one; its state is in this folder, its log beside it.
    pub fn start(name: &'static str, site: &Path, folder: &Path) -> Machine {
        Machine::start_with(name, &[], site, folder)
    }

    /// Starts one with these variables in its environment.
    pub fn start_with(
        name: &'static str,
        environment: &[(&str, String)],
        site: &Path,
        folder: &Path,
    ) -> Machine {
        let log = std::fs::File::options().append(true).create(true).open(folder.join(format!("{name}.log")));
        let state = folder.join(format!("{name}.state"));
        let mut command = Command::new(EXE);
        command.args(["control", "machine", "--name", name, "--config", text(site), "--state", text(&state)]);
        command.arg("--with-parent").stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log.expect("a log"));
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        let mut child = command.spawn().expect("it starts");
        let out = BufReader::new(child.stdout.take().expect("its output"));
        let said = Arc::new(Mutex::new(None));
        let keeps = said.clone();
        // It ends with its process.
        std::thread::spawn(move || {
            for line in out.lines().map_while(Result::ok) {
                let line: Value = serde_json::from_str(&line).expect("a line of JSON");
                *keeps.lock().unwrap_or_else(PoisonError::into_inner) = Some(line);
            }
        });
        Machine { child, name, said }
    }

    /// What it said last; null before its first word.
    pub fn said(&self) -> Value {
        self.said.lock().unwrap_or_else(PoisonError::into_inner).clone().unwrap_or_default()
    }

    /// Waits until it says so.
    pub fn until(&self, what: &str, done: impl Fn(&Value) -> bool) {
        until(&format!("{}: {what}", self.name), || done(&self.said()));
    }

    /// Waits until its writer takes changes.
    pub fn open(self) -> Machine {
        self.until("its writer is open", |said| said["open"] == true);
        self
    }

    /// Tells it to leave, and waits until it has; whether it did so in order.
    pub fn leaves(mut self) -> bool {
        let pid = Pid::from_raw(self.child.id().try_into().expect("a number")).expect("a process");
        kill_process(pid, Signal::TERM).expect("it is there");
        self.ended().success()
    }

    /// Waits until it has ended.
    pub fn ended(&mut self) -> ExitStatus {
        ended(&mut self.child)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
