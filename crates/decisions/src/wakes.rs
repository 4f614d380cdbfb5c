//! Runs the internal wakes that are due and keeps one host timer armed for the next.

use crate::interface::*;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Handles every wake that is due, including those added while it runs.
    pub(crate) fn run_due_wakes(&mut self) {
        while let Some(&(at, wake)) = self.state.wakes.first()
            && at <= self.state.now
        {
            self.state.wakes.pop_first();
            self.on_wake(wake);
        }
    }

    /// Sets a timer for the next wake, unless an earlier timer is armed.
    pub(crate) fn arm_timer(&mut self) {
        if let Some(&(at, _)) = self.state.wakes.first()
            && self.state.timer_at.is_none_or(|armed| at < armed)
        {
            self.state.timer_at = Some(at);
            self.state.timer_token += 1;
            let after = (at - self.state.now).max(1);
            self.state.actions.push(Action::SetTimer { after, token: self.state.timer_token });
        }
    }
}
