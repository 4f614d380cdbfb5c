//! The write of an attempt: the wait for it, and the question that is asked once more at its moment.
//!
//! Between the scheduler's decision and the first byte written, a connection may have to be established, a
//! record to become durable or a socket to take what was written before, and what was true at the decision may
//! no longer hold. The scheduler is therefore asked again when the attempt is about to be written, here and
//! nowhere else; the answer is a [`WritePermit`], which whatever writes to a node consumes.

use super::*;
use crate::write_permit::WritePermit;

impl<P> Dispatcher<P> {
    /// Marks an attempt as waiting for a connection, or for anything else that keeps it from being written.
    /// Nothing of it is written until [`Dispatcher::begin_write`]. An attempt that was permitted and of which
    /// nothing was written waits again.
    pub fn await_connection(&mut self, attempt: AttemptId) {
        let Some(in_flight) = self.in_flight.get_mut(&attempt) else { return };
        in_flight.has_begun = false;
        if !std::mem::replace(&mut in_flight.awaits_connection, true) {
            let AttemptId { request, index } = attempt;
            self.events.push_back(Event::ConnectionWait { request, attempt: index, waiting: true });
        }
    }

    /// Whether an attempt is in flight and has begun to be written, so that it may run.
    pub fn has_begun(&self, attempt: AttemptId) -> bool {
        self.in_flight.get(&attempt).is_some_and(|a| a.has_begun)
    }

    /// Whether an attempt that has not begun may still begin: its request is open, its deadline has not
    /// passed and the scheduler still considers the attempt valid.
    pub fn is_still_valid(&self, now: Micros, attempt: AttemptId) -> bool {
        let is_valid = |in_flight: &InFlight| {
            now < in_flight.due
                && self.scheduler.attempt_is_valid(now, attempt.request, attempt.index, in_flight.node)
        };
        self.requests.contains_key(&attempt.request) && self.in_flight.get(&attempt).is_some_and(is_valid)
    }

    /// Begins the write of an attempt. Returns `None` if the attempt is no longer
    /// [valid](Dispatcher::is_still_valid) or has begun before; in the first case its end must be reported as
    /// `NotSent`.
    pub fn begin_write(&mut self, now: Micros, attempt: AttemptId) -> Option<WritePermit> {
        self.advance(now);
        if !self.is_still_valid(self.now, attempt) {
            return None;
        }
        let in_flight = self.in_flight.get_mut(&attempt).filter(|a| !a.has_begun)?;
        in_flight.has_begun = true;
        let permit = WritePermit::new(attempt, in_flight.node, in_flight.due - self.now);
        if std::mem::take(&mut in_flight.awaits_connection) {
            let AttemptId { request, index } = attempt;
            self.events.push_back(Event::ConnectionWait { request, attempt: index, waiting: false });
        }
        Some(permit)
    }

    /// Begins the write of a copy of a read, which belongs to no request and is in no list of the dispatcher.
    /// Returns `None` if the node takes no requests, or no time is left.
    pub fn begin_copy(&self, copy: AttemptId, node: NodeId, time_left: Micros) -> Option<WritePermit> {
        let accepts = self.nodes.get(&node).is_some_and(|view| view.state == NodeState::On);
        (accepts && time_left > 0).then(|| WritePermit::new(copy, node, time_left))
    }

    /// Drops the attempts of a request that have not begun: nobody waits for them any more. They end as never
    /// sent, and the caller is told by [`Command::Abandon`].
    pub(super) fn drop_unbegun(&mut self, request: RequestId, attempts: u32) {
        for index in 0..attempts {
            let id = AttemptId { request, index };
            if self.in_flight.get(&id).is_some_and(|a| !a.has_begun) {
                self.abandon(id, Outcome::NotSent);
            }
        }
    }

    /// Takes an attempt out of those in flight, with this outcome if it has begun. One that has not begun was
    /// never sent.
    pub(super) fn abandon(&mut self, id: AttemptId, outcome_if_begun: Outcome) {
        let Some(in_flight) = self.in_flight.remove(&id) else { return };
        self.due.remove(&(in_flight.due, Due::AttemptDeadline(id)));
        let outcome = if in_flight.has_begun { outcome_if_begun } else { Outcome::NotSent };
        self.commands.push_back(Command::Abandon(id, in_flight.node, outcome));
        self.record_end(id, &in_flight, outcome, None);
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
