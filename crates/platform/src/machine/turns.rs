//! Turns: clients whose connections always have input share the gateway evenly.
//!
//! In a turn, a bounded number of requests of each client is handled. What a client has sent beyond that waits,
//! and its connection is not read on until it is handled, so that a client which sends at full speed is slowed
//! down by its own requests. A turn begins with each [`Machine::tick`].

use super::*;

/// Requests of a client that are handled in a turn.
const REQUESTS_PER_TURN: u32 = 4;
/// Clients with waiting input that get their turn in one tick; others come next.
const CLIENTS_PER_TICK: usize = 32;

impl Machine {
    /// Whether input waits for the next turn: [`Machine::tick`] is then due at once, whatever
    /// [`Machine::next_due`] says, as soon as others have had the processor.
    pub fn has_waiting_input(&self) -> bool {
        !self.awaiting_turn.is_empty()
    }

    /// Whether some connections are not being read, so that only the socket tells that their clients have left.
    pub fn has_unread_clients(&self) -> bool {
        self.has_waiting_input() || self.input_budget.is_short()
    }

    /// Counts a request of a client that is to be handled now. Returns false if the client has to wait for its
    /// next turn.
    pub(super) fn may_handle_request(&mut self, id: u64) -> bool {
        let Some(client) = self.clients.get_mut(&id) else { return false };
        if !client.awaits_turn && client.handled.count(self.turn, REQUESTS_PER_TURN) {
            return true;
        }
        if !std::mem::replace(&mut client.awaits_turn, true) {
            self.awaiting_turn.push_back(id);
        }
        false
    }

    /// Begins a turn, and handles input that waits for it.
    pub(super) fn begin_turn(&mut self, now: Micros) {
        self.turn += 1;
        let count = self.awaiting_turn.len().min(CLIENTS_PER_TICK);
        let clients: Vec<u64> = self.awaiting_turn.drain(..count).collect();
        for id in clients {
            let Some(client) = self.clients.get_mut(&id) else { continue };
            client.awaits_turn = false;
            self.handle_buffered_requests(now, id);
            self.settle_room(id);
            self.resume_reading(id);
        }
    }
}
