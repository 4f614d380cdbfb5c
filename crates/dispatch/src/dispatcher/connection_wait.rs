//! Attempts that wait for a connection, and the check at the moment of the write.
//!
//! Between the scheduler's decision and the first byte written, a connection may have to be established, and
//! what was true at the decision may no longer hold. The scheduler is therefore asked again when the attempt
//! is about to be written, here and nowhere else.

use super::*;

impl<P> Dispatcher<P> {
    /// Marks an attempt as waiting for a connection. Nothing of it is written until
    /// [`Dispatcher::begin_write`]; if its deadline passes first, its outcome is `NotSent`.
    pub fn await_connection(&mut self, attempt: AttemptId) {
        if let Some(in_flight) = self.in_flight.get_mut(&attempt).filter(|a| !a.awaits_connection) {
            in_flight.awaits_connection = true;
            let AttemptId { request, index } = attempt;
            self.events.push_back(Event::ConnectionWait { request, attempt: index, waiting: true });
        }
    }

    /// Whether an attempt waits for a connection.
    pub fn awaits_connection(&self, attempt: AttemptId) -> bool {
        self.in_flight.get(&attempt).is_some_and(|a| a.awaits_connection)
    }

    /// Whether an attempt that has not begun may still begin: its request is open, its deadline has not
    /// passed and the scheduler still considers the attempt valid.
    pub fn is_still_valid(&self, now: Micros, attempt: AttemptId) -> bool {
        let is_valid = |in_flight: &InFlight| {
            now < in_flight.due && self.scheduler.stands(now, attempt.request, attempt.index, in_flight.node)
        };
        self.requests.contains_key(&attempt.request) && self.in_flight.get(&attempt).is_some_and(is_valid)
    }

    /// Starts writing an attempt: returns its node and its deadline. Returns `None` if the attempt is no
    /// longer [valid](Dispatcher::is_still_valid); nothing of it may then be written, and its end must be
    /// reported as `NotSent`.
    pub fn begin_write(&mut self, now: Micros, attempt: AttemptId) -> Option<(NodeId, Micros)> {
        self.advance(now);
        if !self.is_still_valid(self.now, attempt) {
            return None;
        }
        let in_flight = self.in_flight.get_mut(&attempt)?;
        if std::mem::take(&mut in_flight.awaits_connection) {
            let AttemptId { request, index } = attempt;
            self.events.push_back(Event::ConnectionWait { request, attempt: index, waiting: false });
        }
        Some((in_flight.node, in_flight.due))
    }

    /// Moves the deadlines of all open requests and attempts that are later than `by` forward to `by`.
    pub fn cap_deadlines(&mut self, now: Micros, by: Micros) {
        self.advance(now);
        let mut late: Vec<RequestId> =
            self.requests.iter().filter(|(_, r)| r.deadline > by).map(|(id, _)| *id).collect();
        late.sort_unstable();
        for request in late {
            if let Some(open) = self.requests.get_mut(&request) {
                open.deadline = by;
            }
            let timeout = (by - self.now).max(0);
            self.events.push_back(Event::DeadlineShortened { request, timeout });
        }
        for (&attempt, in_flight) in self.in_flight.iter_mut().filter(|(_, a)| a.due > by) {
            self.due.remove(&(in_flight.due, Due::AttemptDeadline(attempt)));
            in_flight.due = by;
            self.due.insert((by, Due::AttemptDeadline(attempt)));
        }
    }
}
