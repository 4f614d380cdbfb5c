//! A process that stands still, so that what comes meanwhile is there all at once when it goes on.

use std::process::Child;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::{Process, until};

pub struct Pause<'a>(&'a Child);

impl Pause<'_> {
    pub fn new(process: &Process) -> Pause<'_> {
        Pause::of(&process.child)
    }

    /// The same for a process without a stage.
    pub fn of(child: &Child) -> Pause<'_> {
        signal(child, Signal::SIGSTOP);
        let file = format!("/proc/{}/stat", child.id());
        until("it stands still", || std::fs::read_to_string(&file).is_ok_and(|s| s.contains(") T ")));
        Pause(child)
    }

    /// It goes on.
    pub fn over(self) {
        signal(self.0, Signal::SIGCONT);
    }
}

fn signal(child: &Child, signal: Signal) {
    kill(Pid::from_raw(child.id() as i32), signal).expect("a signal");
}
