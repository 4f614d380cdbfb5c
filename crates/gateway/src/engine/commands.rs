//! Clients' commands: taken, turned away, aborted, answered.

use nvme::{Completion, IoCommand, Status as NvmeStatus, StatusCode};
use repeats::host_request_key;
use storage_core::{Answer, ClientId, Micros, Opcode, Operation, Ticket};

use super::{Client, Engine, Taken};
use crate::connection::ConnectionId;
use crate::mapping::told;

impl Engine {
    /// Answers a command of a connection, with the batch.
    pub(super) fn answer(&mut self, id: ConnectionId, cid: u16, completion: Completion) {
        let Some(client) = self.clients.get(&id) else { return };
        if client.connection.complete(cid, completion, &self.front.target) {
            self.dirty.push(client.connection.outlet.clone());
        }
    }

    pub(super) fn command(&mut self, now: Micros, id: ConnectionId, command: IoCommand) {
        if !self.clients.contains_key(&id) {
            return;
        }
        if let Some(come_back) =
            self.returning.as_mut().and_then(|r| r.closed(now, &self.options.catalogue, &command))
        {
            // It is not taken: what it asks for is not open yet.
            let refused = told(Answer::Refused { come_back }, &self.options.target.retry_delays);
            return self.answer(id, command.cid, refused);
        }
        let bytes = self.bytes_of(&command);
        let over = self.front.gate().take(id, bytes).err();
        if let Some(over) = over {
            tracing::debug!(%over, "a command is not taken");
        }
        if over.is_some() || self.stop_by.is_some() || self.paused || self.held.contains(&command.nsid) {
            // It is not taken: it never becomes a request, whether this gateway leaves, an operator holds the volume, or
            // the gateway holds as much of this host as it may.
            if over.is_none() {
                self.front.gate().done(id, bytes);
            }
            let come_back = self.options.catalogue.settings.most_advice;
            let refused = told(Answer::Refused { come_back }, &self.options.target.retry_delays);
            return self.answer(id, command.cid, refused);
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let Some(host) = self.clients.get(&id).map(|client| client.host.clone()) else { return };
        let asked = self.asked(now, &host, &command);
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.tickets.insert(command.cid, ticket);
        let (cid, compares) = (command.cid, command.opcode == nvme::io::COMPARE);
        let opcode = match command.opcode {
            nvme::io::READ | nvme::io::COMPARE => Opcode::Read,
            nvme::io::WRITE => Opcode::Write,
            _ => Opcode::Flush,
        };
        let IoCommand { nsid, slba, blocks, mut data, token, .. } = command;
        let expected = compares.then(|| std::mem::take(&mut data));
        self.tickets.insert(ticket, Taken { connection: id, cid, bytes, expected, asked });
        let retry = asked.is_some_and(|a| a.is_repeat);
        let client = (!host.is_empty()).then(|| ClientId(host_request_key(&host, 0)));
        let operation = Operation { ticket, opcode, nsid, slba, blocks, data, token, retry, client };
        self.core.submit(now, operation, &mut self.effects);
    }

    /// A held command ends with Abort Requested; one that has gone out keeps its own answer (Base 5.1).
    pub(super) fn abort(&mut self, now: Micros, id: ConnectionId, cid: u16, sqid: u16, victim: u16) {
        let cntlid = self.clients.get(&id).and_then(|c| c.admission).map(|a| a.cntlid);
        let wanted = |c: &Client| c.admission.is_some_and(|a| Some(a.cntlid) == cntlid && a.qid == sqid);
        let queue = self.clients.values().find(|c| wanted(c));
        let ticket = queue.and_then(|c| c.tickets.get(&victim)).copied();
        // One that waits for its host's turn was not even taken.
        if let Some((queue, host)) =
            queue.filter(|_| ticket.is_none()).map(|c| (c.connection.id, c.host.clone()))
            && self.turns.remove(&host, |(id, command)| (*id, command.cid) == (queue, victim)).is_some()
        {
            self.answer(queue, victim, Completion::of(NvmeStatus::passing(StatusCode::AbortRequested)));
            return self.answer(id, cid, Completion::of(NvmeStatus::SUCCESS));
        }
        let aborted = ticket.is_some_and(|t| self.core.abort(now, t, &mut self.effects));
        if let (true, Some(ticket)) = (aborted, ticket) {
            self.complete(ticket, Completion::of(NvmeStatus::passing(StatusCode::AbortRequested)));
        }
        self.answer(id, cid, Completion { dw0: u32::from(!aborted), ..Completion::of(NvmeStatus::SUCCESS) });
    }

    /// Bytes that a command holds here, as data of a write or of a read's answer.
    pub(super) fn bytes_of(&self, command: &IoCommand) -> u64 {
        let size = self.options.catalogue.volume(command.nsid).map_or(0, |v| u64::from(v.block_size));
        u64::from(command.blocks) * size
    }

    /// Closes a connection that never completed its way up.
    pub(super) fn evict(&mut self, id: ConnectionId, why: &str) {
        if let Some(client) = self.clients.get(&id) {
            tracing::info!(why, "a connection that never completed its way up is closed");
            client.connection.outlet.close();
        }
    }

    pub(super) fn closed(&mut self, now: Micros, id: ConnectionId) {
        let Some(client) = self.clients.remove(&id) else { return };
        let mut tickets: Vec<Ticket> = client.tickets.into_values().collect();
        tickets.sort();
        for ticket in tickets {
            let taken = self.tickets.remove(&ticket);
            let was_sent = self.core.withdraw(now, ticket, &mut self.effects);
            // Its client may come with it again, here or at another gateway.
            if let Some(asked) = taken.and_then(|t| t.asked) {
                self.unserved(now, asked, was_sent);
            }
        }
    }

    pub(super) fn association_ended(&mut self, cntlid: u16) {
        let of_it = |c: &&Client| c.admission.is_some_and(|a| a.cntlid == cntlid);
        self.clients.values().filter(of_it).for_each(|c| c.connection.outlet.finish());
    }

    pub(super) fn complete(&mut self, ticket: Ticket, completion: Completion) {
        let Some(Taken { connection: id, cid, bytes, .. }) = self.tickets.remove(&ticket) else { return };
        self.front.gate().done(id, bytes);
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.tickets.remove(&cid);
        self.answer(id, cid, completion);
    }
}
