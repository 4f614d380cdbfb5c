//! Processes of the program under test.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use lab::Ready;
use load::Word;
use rustix::process::{Pid, Signal, kill_process};

pub const EXE: &str = env!("CARGO_BIN_EXE_crowbay");
/// Nothing here takes that long; a test that waits longer has failed.
pub const LONG: Duration = Duration::from_secs(30);

/// A process that is killed when it is dropped.
pub struct Running {
    child: Child,
    pub line: String,
}

impl Running {
    pub fn start(args: &[&str], log: &Path) -> Running {
        Running::start_with(args, &[], log)
    }

    /// Starts a process with these variables in its environment.
    pub fn start_with(args: &[&str], environment: &[(&str, String)], log: &Path) -> Running {
        let log = std::fs::File::options().append(true).create(true).open(log).expect("a log");
        let mut command = Command::new(EXE);
        command.args(args).arg("--with-parent").stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log);
        command.envs(environment.iter().map(|(name, value)| (name, value)));
        let mut child = command.spawn().expect("it starts");
        let mut line = String::new();
        let out = child.stdout.take().expect("its output");
        BufReader::new(out).read_line(&mut line).expect("a line");
        assert!(!line.is_empty(), "{args:?} did not come up");
        Running { child, line }
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().try_into().expect("a number")).expect("a process");
        kill_process(pid, signal).expect("it is there");
    }

    /// Waits until it has ended.
    pub fn ended(&mut self) -> ExitStatus {
        ended(&mut self.child)
    }

    pub fn ready(&self) -> Ready {
        serde_json::from_str(&self.line).expect("it says where it listens")
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a process has ended.
pub fn ended(child: &mut Child) -> ExitStatus {
    let mut status = None;
    until("it ends", || {
        status = child.try_wait().expect("it can be asked");
        status.is_some()
    });
    status.expect("it has ended")
}

/// Waits as long as the advice says, as clients do. Danger: one that comes again at once is taken for the same request by the
/// module, late already, for as long as it does.
pub fn come_back(word: &Word) {
    if let Word::Refused(advice) = word {
        std::thread::sleep(Duration::from_micros((*advice).max(5000) as u64));
    }
}

/// Waits for something that processes bring about.
pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !done() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub fn text(path: &Path) -> &str {
    path.to_str().expect("a path in this alphabet")
}
