//! Graceful shutdown: its deadlines and its start.

use super::*;

impl Machine {
    /// Returns the time by which all requests are answered if a shutdown was requested: [`SHUTDOWN_LINGER`]
    /// before the earliest SIGKILL, so that the last responses can still be read.
    pub(super) fn answer_deadline(&self) -> Option<Micros> {
        let longest = if self.gateway_settings.longest_deadline > 0 {
            self.gateway_settings.longest_deadline.min(MAX_SHUTDOWN_DEADLINE)
        } else {
            MAX_SHUTDOWN_DEADLINE
        };
        self.shutdown_since.map(|at| at + longest + KILL_DELAY - SHUTDOWN_LINGER)
    }

    /// Returns when the last connections are closed during shutdown.
    ///
    /// A client that neither closes its connection nor reads would otherwise keep the process running until
    /// SIGKILL, which ends whatever is in progress. The cost is that a last response which its client takes
    /// longer to read than `SHUTDOWN_LINGER` less `EXIT_MARGIN` is cut off.
    pub(super) fn exit_deadline(&self) -> Option<Micros> {
        self.answer_deadline().map(|at| at + SHUTDOWN_LINGER - EXIT_MARGIN)
    }

    /// Starts a graceful shutdown: connections are accepted for a little longer, and all admitted requests
    /// are answered.
    ///
    /// Clients whose connections close can't use this gateway until it is started again, and when a fleet is
    /// restarted a tenth at a time no other gateway takes their requests. Clients that stay connected are
    /// therefore served until the earliest exit that the platform allows, within the time that is left until
    /// then. A request that arrives late in the shutdown has less time than its client gives.
    ///
    /// Requests admitted earlier whose deadlines lie beyond that exit are answered by then too, because
    /// SIGKILL doesn't wait.
    pub fn shut_down(&mut self, now: Micros) {
        if self.shutdown_since.is_none() {
            self.shutdown_since = Some(now);
            if let Some(deadline) = self.answer_deadline() {
                self.dispatcher.cap_deadlines(now, deadline);
                self.run_dispatcher_commands(now);
            }
        }
    }
}
