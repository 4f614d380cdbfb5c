//! The I/O queue of a node connection: the only way by which commands get into its socket.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use may::net::TcpStream;
use nvme::{GatherList, HostEvent, Initiator, Sqe, Submission};
use storage_core::{AttemptId, Opcode, PermittedAttempt};
use transport::Outlet;

use super::MAX_UNSENT_BYTES;

/// An established I/O queue. Every command in it was permitted at the moment of its write: the bytes of a
/// command are made of a [`PermittedAttempt`] alone.
pub(super) struct CommandQueue {
    initiator: Initiator,
    outlet: Arc<Outlet>,
}

/// A command in a batch.
pub(super) struct BatchedCommand {
    pub(super) attempt: AttemptId,
    /// The number under which the attempt is in flight.
    pub(super) submission: u64,
    cid: u16,
}

/// Commands that are to be written together, at once.
pub(super) struct CommandBatch {
    outlet: Arc<Outlet>,
    bytes: GatherList,
    /// Offset of the end of each command.
    ends: Vec<usize>,
    commands: Vec<BatchedCommand>,
}

impl CommandQueue {
    /// The queue on a connection whose handshake is complete. `on_writable` is called when the socket accepts
    /// commands again after it had not accepted all of a batch.
    pub(super) fn new(
        initiator: Initiator,
        stream: &TcpStream,
        on_writable: impl Fn() + Send + Sync + 'static,
    ) -> io::Result<CommandQueue> {
        let outlet = Outlet::with_writable_listener(stream, MAX_UNSENT_BYTES, on_writable)?;
        Ok(CommandQueue { initiator, outlet: Arc::new(outlet) })
    }

    /// Whether a command may be written now, and does not wait behind others.
    pub(super) fn is_writable(&self) -> bool {
        self.outlet.has_room()
    }

    /// An empty batch.
    pub(super) fn start_batch(&self) -> CommandBatch {
        let outlet = self.outlet.clone();
        CommandBatch { outlet, bytes: GatherList::new(), ends: Vec::new(), commands: Vec::new() }
    }

    /// Adds an attempt to a batch. Returns false if the node's queue has no entry left for it.
    pub(super) fn add(
        &mut self,
        batch: &mut CommandBatch,
        permitted: PermittedAttempt,
        submission: u64,
    ) -> bool {
        let attempt = permitted.attempt().attempt;
        let Some(cid) = self.initiator.submit(submission_for(permitted, submission), &mut batch.bytes) else {
            return false;
        };
        batch.ends.push(batch.bytes.len());
        batch.commands.push(BatchedCommand { attempt, submission, cid });
        true
    }

    /// Takes back a command of which nothing was written.
    pub(super) fn take_back(&mut self, command: &BatchedCommand) {
        self.initiator.take_back(command.cid);
    }

    /// Handles received bytes, and writes the data that the node asks for.
    pub(super) fn receive(&mut self, bytes: &[u8], events: &mut Vec<HostEvent>) {
        let mut out = GatherList::new();
        self.initiator.receive(bytes, &mut out, events);
        self.outlet.push(out);
    }

    /// The handle that closes the connection.
    pub(super) fn closer(&self) -> impl FnOnce() + use<> {
        let outlet = self.outlet.clone();
        move || outlet.close()
    }

    pub(super) fn close(&self) {
        self.outlet.close();
    }
}

impl CommandBatch {
    /// Writes the batch as far as the socket accepts it; returns the commands of which it accepted nothing.
    pub(super) fn write(mut self) -> Vec<BatchedCommand> {
        let begun = if self.ends.is_empty() { 0 } else { self.outlet.write_batch(self.bytes, &self.ends) };
        self.commands.split_off(begun)
    }
}

/// The NVMe submission of an attempt, with `user` as the number under which its reply is found.
fn submission_for(permitted: PermittedAttempt, user: u64) -> Submission {
    let send = permitted.attempt();
    let (opcode, expect) = match send.opcode {
        Opcode::Read => (nvme::io::READ, send.bytes),
        Opcode::Write => (nvme::io::WRITE, 0),
        Opcode::Flush => (nvme::io::FLUSH, 0),
    };
    let mut sqe = Sqe::blocks(opcode, send.nsid, send.slba, send.blocks);
    sqe.set_token(send.token);
    sqe.set_cdw(14, u32::from(send.keyed));
    sqe.set_cdw(15, permitted.sent_before());
    Submission { sqe, data: Bytes::clone(&send.data), expect, user }
}
