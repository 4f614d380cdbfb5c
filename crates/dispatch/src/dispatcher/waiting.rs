//! Attempts that wait for a connection, and the moment in which one begins.
//!
//! Between the module's decision and the first byte a connection may have to come up. What was true at the decision need not
//! be true then: the module is asked again at the moment of the write, here and nowhere else.

use super::*;

impl<P> Dispatcher<P> {
    /// An attempt waits for a connection: until [`Dispatcher::begin`] nothing of it is written, and if its time is up before
    /// that it was never sent.
    pub fn waits(&mut self, attempt: AttemptId) {
        if let Some(out) = self.out.get_mut(&attempt).filter(|o| !o.waits) {
            out.waits = true;
            let AttemptId { request, n } = attempt;
            self.events.push_back(Event::ConnectionWait { request, attempt: n, waiting: true });
        }
    }

    /// Whether an attempt waits for a connection.
    pub fn is_waiting(&self, attempt: AttemptId) -> bool {
        self.out.get(&attempt).is_some_and(|o| o.waits)
    }

    /// Whether an attempt that has not begun may still begin: somebody waits for its answer, and the module says that it
    /// stands.
    pub fn stands(&self, now: Micros, attempt: AttemptId) -> bool {
        let stands = |o: &Out| now < o.due && self.scheduler.stands(now, attempt.request, attempt.n, o.node);
        self.requests.contains_key(&attempt.request) && self.out.get(&attempt).is_some_and(stands)
    }

    /// An attempt can be written now: where to, and when nobody waits for it any more. None if it no longer
    /// [stands](Dispatcher::stands): nothing of it is to be written, and its end is to be reported as never sent.
    pub fn begin(&mut self, now: Micros, attempt: AttemptId) -> Option<(NodeId, Micros)> {
        self.advance(now);
        if !self.stands(self.now, attempt) {
            return None;
        }
        let out = self.out.get_mut(&attempt)?;
        if std::mem::take(&mut out.waits) {
            let AttemptId { request, n } = attempt;
            self.events.push_back(Event::ConnectionWait { request, attempt: n, waiting: false });
        }
        Some((out.node, out.due))
    }

    /// No request lasts beyond `by` any more: what is open has its answer by then.
    pub fn hasten(&mut self, now: Micros, by: Micros) {
        self.advance(now);
        let mut late: Vec<RequestId> =
            self.requests.iter().filter(|(_, h)| h.deadline > by).map(|(id, _)| *id).collect();
        late.sort_unstable();
        for request in late {
            if let Some(held) = self.requests.get_mut(&request) {
                held.deadline = by;
            }
            let patience = (by - self.now).max(0);
            self.events.push_back(Event::DeadlineShortened { request, timeout: patience });
        }
        for (&attempt, out) in self.out.iter_mut().filter(|(_, o)| o.due > by) {
            self.due.remove(&(out.due, Due::Deadline(attempt)));
            out.due = by;
            self.due.insert((by, Due::Deadline(attempt)));
        }
    }
}
