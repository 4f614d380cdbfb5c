//! Client commands: accepting, refusing, aborting and answering them.

use nvme::{Completion, IoCommand, Status as NvmeStatus, StatusCode};
use repeats::host_request_key;
use storage_core::{Answer, ClientId, Micros, Operation, OperationId};

use super::{AcceptedCommand, Client, Engine};
use crate::completion::completion_of;
use crate::connection::ConnectionId;
use crate::opcode::{action_of, status_of};

impl Engine {
    /// Queues the completion of a command on its connection; it goes out with the batch.
    pub(super) fn answer(&mut self, id: ConnectionId, cid: u16, completion: Completion) {
        let Some(client) = self.clients.get(&id) else { return };
        if client.connection.complete(cid, completion, &self.front_end.target) {
            self.dirty_outlets.push(client.connection.outlet.clone());
        }
    }

    /// Refuses a command with the advice to retry after this time.
    fn refuse(&mut self, id: ConnectionId, cid: u16, retry_after: Micros) {
        let refusal = completion_of(Answer::Refused { retry_after }, &self.options.target.retry_delays);
        self.answer(id, cid, refusal);
    }

    pub(super) fn submit_command(&mut self, now: Micros, id: ConnectionId, command: IoCommand) {
        if !self.clients.contains_key(&id) {
            return;
        }
        if let Some(retry_after) = self
            .recovery
            .as_mut()
            .and_then(|r| r.retry_delay_if_closed(now, &self.options.catalogue, &command))
        {
            // Recovery has not opened this place yet, so the command is not accepted.
            return self.refuse(id, command.cid, retry_after);
        }
        let bytes = self.command_bytes(&command);
        let exceeded = self.front_end.client_limits().acquire(id, bytes).err();
        if let Some(limit) = exceeded {
            tracing::debug!(over = %limit, "command refused by a gateway limit");
        }
        if exceeded.is_some()
            || self.stop_deadline.is_some()
            || self.paused
            || self.held_volumes.contains(&command.nsid)
        {
            // The command never becomes a request: the gateway is stopping, an operator holds the volume or
            // has paused everything, or this host has reached its limit of held commands.
            if exceeded.is_none() {
                self.front_end.client_limits().release(id, bytes);
            }
            let retry_after = self.options.catalogue.settings.max_retry_after;
            return self.refuse(id, command.cid, retry_after);
        }
        self.next_operation_id += 1;
        let operation_id = OperationId(self.next_operation_id);
        let Some(host) = self.clients.get(&id).map(|client| client.host.clone()) else { return };
        let identity = self.retry_identity(now, &host, &command);
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.operation_ids.insert(command.cid, operation_id);
        let (cid, nsid, token) = (command.cid, command.nsid, command.token);
        let (action, expected) = action_of(command);
        self.accepted
            .insert(operation_id, AcceptedCommand { connection: id, cid, bytes, expected, identity });
        let retry = identity.is_some_and(|identity| identity.is_retry);
        let client = (!host.is_empty()).then(|| ClientId(host_request_key(&host, 0)));
        let operation = Operation { id: operation_id, nsid, action, token, retry, client };
        if let Err(invalid) = self.core.submit(now, operation, &mut self.effects) {
            tracing::warn!(%invalid, "the front end passed on a command that is not valid");
            let status = NvmeStatus::permanent(status_of(&invalid));
            self.complete_command(operation_id, Completion::of(status));
        }
    }

    /// Aborts a command. One that was not sent yet ends with Abort Requested; one that has been sent keeps
    /// its own answer (Base 5.1).
    pub(super) fn abort(&mut self, now: Micros, id: ConnectionId, cid: u16, sqid: u16, victim: u16) {
        let cntlid = self.clients.get(&id).and_then(|c| c.admission).map(|a| a.cntlid);
        let is_target = |c: &Client| c.admission.is_some_and(|a| Some(a.cntlid) == cntlid && a.qid == sqid);
        let queue = self.clients.values().find(|c| is_target(c));
        let operation_id = queue.and_then(|c| c.operation_ids.get(&victim)).copied();
        // A command still waiting for its host's turn has not been submitted to the core.
        if let Some((queue, host)) =
            queue.filter(|_| operation_id.is_none()).map(|c| (c.connection.id, c.host.clone()))
            && self.host_queues.remove(&host, |(id, command)| (*id, command.cid) == (queue, victim)).is_some()
        {
            self.answer(queue, victim, Completion::of(NvmeStatus::passing(StatusCode::AbortRequested)));
            return self.answer(id, cid, Completion::of(NvmeStatus::SUCCESS));
        }
        let aborted = operation_id.is_some_and(|id| self.core.abort(now, id, &mut self.effects));
        if let (true, Some(operation_id)) = (aborted, operation_id) {
            self.complete_command(
                operation_id,
                Completion::of(NvmeStatus::passing(StatusCode::AbortRequested)),
            );
        }
        self.answer(id, cid, Completion { dw0: u32::from(!aborted), ..Completion::of(NvmeStatus::SUCCESS) });
    }

    /// Bytes that a command occupies in the gateway, as the data of a write or of a read's answer.
    pub(super) fn command_bytes(&self, command: &IoCommand) -> u64 {
        let size = self.options.catalogue.volume(command.nsid).map_or(0, |v| u64::from(v.block_size));
        u64::from(command.blocks) * size
    }

    /// Closes a connection that did not complete its handshake.
    pub(super) fn evict(&mut self, id: ConnectionId, why: &str) {
        if let Some(client) = self.clients.get(&id) {
            tracing::info!(why, "a connection that never completed its way up is closed");
            client.connection.outlet.close();
        }
    }

    pub(super) fn on_connection_closed(&mut self, now: Micros, id: ConnectionId) {
        let Some(client) = self.clients.remove(&id) else { return };
        let mut operation_ids: Vec<OperationId> = client.operation_ids.into_values().collect();
        operation_ids.sort();
        for operation_id in operation_ids {
            let accepted = self.accepted.remove(&operation_id);
            let was_sent = self.core.withdraw(now, operation_id, &mut self.effects);
            // The client may retry the command, here or at another gateway.
            if let Some(identity) = accepted.and_then(|t| t.identity) {
                self.report_unserved(now, identity, was_sent);
            }
        }
    }

    pub(super) fn end_association(&mut self, cntlid: u16) {
        let belongs = |c: &&Client| c.admission.is_some_and(|a| a.cntlid == cntlid);
        self.clients.values().filter(belongs).for_each(|c| c.connection.outlet.finish());
    }

    pub(super) fn complete_command(&mut self, operation_id: OperationId, completion: Completion) {
        let Some(AcceptedCommand { connection: id, cid, bytes, .. }) = self.accepted.remove(&operation_id)
        else {
            return;
        };
        self.front_end.client_limits().release(id, bytes);
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.operation_ids.remove(&cid);
        self.answer(id, cid, completion);
    }
}
