//! A process that stands still, so that what comes meanwhile is there all at once when it goes on.

use nix::sys::signal::Signal;

use super::{Process, until};

pub struct Pause<'a>(&'a Process);

impl Pause<'_> {
    pub fn new(process: &Process) -> Pause<'_> {
        process.signal(Signal::SIGSTOP);
        let file = format!("/proc/{}/stat", process.child.id());
        until("it stands still", || std::fs::read_to_string(&file).is_ok_and(|s| s.contains(") T ")));
        Pause(process)
    }

    /// It goes on.
    pub fn over(self) {
        self.0.signal(Signal::SIGCONT);
    }
}
