//! The wakes that are due, and the one timer for the next. Nothing is decided here.

use crate::interface::*;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Handles every wake that is due, those that are set meanwhile included.
    pub(crate) fn wake_due(&mut self) {
        while let Some(&(at, wake)) = self.mem.wakes.first()
            && at <= self.mem.now
        {
            self.mem.wakes.pop_first();
            self.on_wake(wake);
        }
    }

    /// Sets a timer for the next wake, unless an earlier one is set.
    pub(crate) fn arm_timer(&mut self) {
        if let Some(&(at, _)) = self.mem.wakes.first()
            && self.mem.armed.is_none_or(|armed| at < armed)
        {
            self.mem.armed = Some(at);
            self.mem.token += 1;
            let after = (at - self.mem.now).max(1);
            self.mem.actions.push(Action::SetTimer { after, token: self.mem.token });
        }
    }
}
