//! Reading from clients within the memory for requests.

use super::*;
use crate::input_budget::{FREE_BYTES, Room};

/// Bytes read at a time at least, so that a request does not come byte by byte.
const MIN_READ_BYTES: usize = 1 << 10;

impl Machine {
    /// Lets a client's connection be read on, or lets it wait unread until there is room for its request.
    pub(super) fn resume_reading(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.is_reading || client.awaits_turn {
            return;
        }
        let needed = Room { arriving: client.arriving_room(), ..client.room };
        if !client.discards_input() && !self.input_budget.try_change(&mut client.room, needed) {
            // It may have waited for less: the head of its next request, and now for that request's body.
            Self::end_wait_for_room(&mut self.input_budget, client, id);
            client.needed_room = Some(needed.arriving);
            return self.input_budget.wait(needed.arriving, id);
        }
        Self::end_wait_for_room(&mut self.input_budget, client, id);
        client.decoder.reserve_body();
        client.is_reading = true;
        let buffered = client.decoder.buffered_bytes();
        let bytes = if client.discards_input() || buffered >= FREE_BYTES || needed.arriving > FREE_BYTES {
            READ_BYTES
        } else {
            (FREE_BYTES - buffered).max(MIN_READ_BYTES)
        };
        self.outputs.push(Output::ResumeReading(SocketId::Client(id), bytes));
    }

    /// Sets how many bytes of answers wait for clients which do not read. While they are more than their part
    /// of the memory, requests are refused.
    pub fn set_unsent_bytes(&mut self, bytes: usize) {
        self.unsent_bytes = bytes;
    }

    /// Lets connections that wait for room be read on, as far as there is room.
    pub(super) fn resume_waiting_readers(&mut self) {
        while let Some((_, id)) = self.input_budget.first_waiting() {
            self.resume_reading(id);
            if self.input_budget.first_waiting().is_some_and(|(_, first)| first == id) {
                return;
            }
        }
    }

    /// Counts what a client's connection holds after its input was handled.
    pub(super) fn settle_room(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let arriving = client.decoder.buffered_bytes();
        // Room for a body stays until the body is whole.
        let kept = if client.decoder.body_size().is_some() { client.room.arriving } else { 0 };
        let room = Room { arriving: arriving.max(kept), ..client.room };
        self.input_budget.change(&mut client.room, room);
    }

    /// Counts a request that was admitted, and is open until [`Machine::release_open_room`].
    pub(super) fn take_open_room(&mut self, id: u64, bytes: usize) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let room = Room { open: bytes, arriving: client.decoder.buffered_bytes() };
        self.input_budget.change(&mut client.room, room);
    }

    /// Frees the room of a client's open request.
    pub(super) fn release_open_room(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        let room = Room { open: 0, ..client.room };
        self.input_budget.change(&mut client.room, room);
    }

    /// Frees all room of a client that is gone.
    pub(super) fn release_all_room(&mut self, client: &mut ClientConnection, id: u64) {
        self.input_budget.change(&mut client.room, Room::default());
        Self::end_wait_for_room(&mut self.input_budget, client, id);
    }

    fn end_wait_for_room(budget: &mut InputBudget, client: &mut ClientConnection, id: u64) {
        if let Some(needed) = client.needed_room.take() {
            budget.end_wait(needed, id);
        }
    }
}
