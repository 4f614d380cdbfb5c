//! The memory that clients' requests may fill, and the order in which requests get their part of it.

use std::collections::BTreeSet;

/// Bytes of a request that need no room of the budget: whole requests of most clients.
pub(crate) const FREE_BYTES: usize = 4 << 10;

/// Gives each request room for all of it, or lets its connection wait unread until there is room.
///
/// Bodies that are not sent to their end would otherwise fill the memory, and a gateway that runs out of it is
/// killed with all its requests. Requests within [`FREE_BYTES`] never wait, then those that need the least go
/// first. The cost is that a large request may wait, and is refused if it waits for long.
#[derive(Debug)]
pub(crate) struct InputBudget {
    limit: usize,
    used: usize,
    /// Clients that wait, by the room that they need.
    waiting: BTreeSet<(usize, u64)>,
}

/// The room that a client's requests have, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Room {
    /// Of the open request.
    pub(crate) open: usize,
    /// Of what arrives.
    pub(crate) arriving: usize,
}

impl Room {
    /// The part that counts in the budget.
    fn charge(self) -> usize {
        [self.open, self.arriving].into_iter().filter(|bytes| *bytes > FREE_BYTES).sum()
    }
}

impl InputBudget {
    pub(crate) fn new(limit: usize) -> Self {
        InputBudget { limit, used: 0, waiting: BTreeSet::new() }
    }

    /// Changes a client's room if there is enough. Less room is always granted.
    pub(crate) fn try_change(&mut self, room: &mut Room, to: Room) -> bool {
        let used = self.used - room.charge() + to.charge();
        if used > self.limit && to.charge() > room.charge() {
            return false;
        }
        (self.used, *room) = (used, to);
        true
    }

    /// Takes bytes that are there already, whether or not there is room.
    pub(crate) fn change(&mut self, room: &mut Room, to: Room) {
        self.used = self.used - room.charge() + to.charge();
        *room = to;
    }

    /// Lets a client wait for room.
    pub(crate) fn wait(&mut self, needed: usize, client: u64) {
        self.waiting.insert((needed, client));
    }

    /// Ends a client's wait.
    pub(crate) fn end_wait(&mut self, needed: usize, client: u64) {
        self.waiting.remove(&(needed, client));
    }

    /// The client whose turn it is.
    pub(crate) fn first_waiting(&self) -> Option<(usize, u64)> {
        self.waiting.first().copied()
    }

    /// Whether somebody waits.
    pub(crate) fn is_short(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Number of entries; tests use it to find leaks.
    pub(crate) fn entries(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn arriving(bytes: usize) -> Room {
        Room { open: 0, arriving: bytes }
    }

    #[test]
    fn small_requests_need_no_room_and_large_ones_share_it() {
        let mut budget = InputBudget::new(100_000);
        let (mut first, mut second, mut small) = (Room::default(), Room::default(), Room::default());
        assert!(budget.try_change(&mut first, arriving(65_000)));
        assert!(!budget.try_change(&mut second, arriving(65_000)));
        assert_eq!(second, Room::default());
        assert!(budget.try_change(&mut small, arriving(FREE_BYTES)));
        assert!(budget.try_change(&mut first, arriving(0)));
        assert!(budget.try_change(&mut second, arriving(65_000)));
    }

    #[test]
    fn a_request_keeps_its_room_while_it_is_open() {
        let mut budget = InputBudget::new(100_000);
        let (mut first, mut second) = (Room::default(), Room::default());
        assert!(budget.try_change(&mut first, arriving(65_000)));
        assert!(budget.try_change(&mut first, Room { open: 65_000, arriving: 0 }));
        assert!(!budget.try_change(&mut second, arriving(65_000)));
        // What was read already is counted, even beyond the limit, and holds up others.
        budget.change(&mut second, arriving(65_000));
        assert!(!budget.try_change(&mut first, Room { open: 65_000, arriving: 5000 }));
    }

    #[test]
    fn those_that_need_the_least_go_first() {
        let mut budget = InputBudget::new(0);
        budget.wait(65_000, 1);
        budget.wait(9000, 2);
        assert_eq!(budget.first_waiting(), Some((9000, 2)));
        budget.end_wait(9000, 2);
        assert_eq!(budget.first_waiting(), Some((65_000, 1)));
        assert!(budget.is_short());
    }
}
