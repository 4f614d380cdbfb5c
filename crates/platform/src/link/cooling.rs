//! Connections that have just brought an answer.

use super::*;

/// So long after an answer nothing is sent on its connection.
///
/// Danger: a node may send an answer twice, the second some milliseconds later (the platform's page). What is asked on the connection
/// meanwhile would be served with the answer to another request. A second answer within this ends the connection and nothing else.
/// Harm: requests that follow each other at one node within that time wait for the rest of it, or for a connection of their own: with
/// 20 ms the median of answers rose by 2 to 7 ms on three days. Seen were second answers after 1.8 to 3.5 ms.
pub(super) const COOLING: Micros = 10_000;

impl Links {
    /// A connection has brought an answer.
    pub(super) fn cool(&mut self, now: Micros, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.phase, link.since) = (Phase::Cooling(None), now);
        self.cooling.entry(link.node).or_default().push_back(id);
        self.due.insert((now + COOLING, id));
    }

    /// A connection has cooled: who waits for it goes out on it, if it still leads to its node.
    pub(super) fn cooled(&mut self, now: Micros, id: LinkId) -> News {
        let Some(link) = self.links.get_mut(&id) else { return News::default() };
        let Phase::Cooling(waiting) = &mut link.phase else { return News::default() };
        let (waiting, node) = (waiting.take(), link.node);
        self.no_longer_cooling(node, id);
        if self.addresses.get(&node) != self.links.get(&id).map(|l| &l.address) {
            self.links.remove(&id);
            let again = waiting.map(|attempt| (attempt, node));
            if let Some((attempt, _)) = &again {
                self.by_attempt.remove(attempt);
            }
            return News { close: true, again, ..News::default() };
        }
        match (waiting, self.links.get_mut(&id)) {
            (Some(attempt), Some(link)) => {
                (link.phase, link.since) = (Phase::Busy(attempt), now);
                News { next: Some(attempt), ..News::default() }
            }
            _ => News { next: self.rest(now, id), ..News::default() },
        }
    }

    pub(super) fn no_longer_cooling(&mut self, node: NodeId, id: LinkId) {
        if let Some(cooling) = self.cooling.get_mut(&node) {
            cooling.retain(|&i| i != id);
            if cooling.is_empty() {
                self.cooling.remove(&node);
            }
        }
    }
}
