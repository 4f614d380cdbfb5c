//! Connections that are up or came free, and the attempts that wait for them.

use super::*;

impl Links {
    /// A connection is up: the attempt that waits for it may begin. Where its node has moved meanwhile it leads nowhere.
    pub(crate) fn up(&mut self, now: Micros, id: LinkId) -> News {
        let Some(link) = self.links.get_mut(&id) else { return News::default() };
        let Phase::Rising(waiting) = &mut link.phase else { return News::default() };
        let waiting = waiting.take();
        self.due.remove(&(link.since + self.rise, id));
        let node = link.node;
        if self.addresses.get(&node) != Some(&link.address) {
            self.remove(id);
            let again = waiting.map(|attempt| (attempt, node));
            if let Some((attempt, _)) = again {
                self.by_attempt.remove(&attempt);
            }
            return News { close: true, again, ..News::default() };
        }
        let next = match waiting {
            Some(attempt) => {
                (link.phase, link.since) = (Phase::Busy(attempt), now);
                self.no_longer_awaited(node, id);
                Some(attempt)
            }
            None => self.rest(now, id),
        };
        News { next, ..News::default() }
    }

    /// The attempt that was to begin on a connection no longer stands; nothing was written. The attempt that may begin on it in
    /// its place.
    pub(crate) fn unbegun(&mut self, now: Micros, id: LinkId) -> Option<AttemptId> {
        if let Some(Phase::Busy(attempt)) = self.links.get(&id).map(|l| &l.phase) {
            self.by_attempt.remove(attempt);
        }
        self.rest(now, id)
    }

    /// The attempts that wait for a connection.
    pub(crate) fn waiting(&self) -> Vec<AttemptId> {
        let waits = |id: &LinkId| {
            self.links.get(id).is_some_and(|l| matches!(l.phase, Phase::Rising(_) | Phase::Cooling(_)))
        };
        let mut waiting: Vec<AttemptId> =
            self.by_attempt.iter().filter(|(_, id)| waits(id)).map(|(attempt, _)| *attempt).collect();
        waiting.sort_unstable();
        waiting
    }

    /// The connection on which an attempt is out.
    pub(crate) fn of_attempt(&self, attempt: AttemptId) -> Option<LinkId> {
        self.by_attempt.get(&attempt).copied()
    }

    /// A connection came free. The attempt that waited longest for one to the same node goes out on it, and the connection
    /// that was asked for serves a later one: opening one costs the node work, and the attempt time.
    pub(super) fn rest(&mut self, now: Micros, id: LinkId) -> Option<AttemptId> {
        let (node, address) = self.links.get(&id).map(|l| (l.node, l.address))?;
        let awaited = self.awaited.get(&node).into_iter().flatten().copied();
        let taken = awaited.filter(|i| self.links.get(i).is_some_and(|l| l.address == address)).min();
        let waiting = taken.and_then(|i| match self.links.get_mut(&i).map(|l| &mut l.phase) {
            Some(Phase::Rising(waiting)) => waiting.take(),
            _ => None,
        });
        if let Some(taken) = taken {
            self.no_longer_awaited(node, taken);
        }
        let link = self.links.get_mut(&id)?;
        link.since = now;
        if let Some(attempt) = waiting {
            link.phase = Phase::Busy(attempt);
            self.by_attempt.insert(attempt, id);
            return Some(attempt);
        }
        link.phase = Phase::Idle;
        self.idles.entry(node).or_default().push(id);
        self.due.insert((now + self.idle, id));
        None
    }

    pub(super) fn no_longer_awaited(&mut self, node: NodeId, id: LinkId) {
        if let Some(awaited) = self.awaited.get_mut(&node) {
            awaited.retain(|&i| i != id);
            if awaited.is_empty() {
                self.awaited.remove(&node);
            }
        }
    }
}
