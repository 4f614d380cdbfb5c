//! Performs the machine's operations on sockets.

use bytes::Bytes;
use gather::{GatherList, PduSink};

use super::*;
use crate::node_request::NodeRequest;
use crate::socket::Output;

impl Engine {
    /// Queues bytes for writing on a connection.
    fn queue_output<'a>(&mut self, socket: SocketId, parts: impl IntoIterator<Item = &'a Bytes>) {
        let Some(connection) = self.connections.get(&socket) else { return };
        let mut list = GatherList::new();
        parts.into_iter().for_each(|part| list.append_shared(part));
        connection.outlet.push(list);
        if connection.outlet.is_starved() {
            self.starved.insert(socket);
        }
        self.unsent.note(socket, &connection.outlet);
    }

    /// Writes the request of an attempt on its connection to a node.
    fn write_attempt(&mut self, now: Micros, request: &NodeRequest) {
        let socket = request.socket();
        let has_no_input =
            || self.connections.get(&socket).is_some_and(|connection| connection.has_no_input());
        if request.is_only_if_idle() && !has_no_input() {
            self.close(socket);
            return self.machine.idle_write_rejected(now, socket);
        }
        self.queue_output(socket, request.parts());
    }

    /// Retries output where there was no descriptor for a writer.
    pub(super) fn flush_starved(&mut self) {
        let connections = &self.connections;
        self.starved.retain(|socket| {
            let Some(connection) = connections.get(socket) else { return false };
            connection.outlet.flush();
            connection.outlet.is_starved()
        });
    }

    /// Performs the machine's operations until there are none left.
    pub(super) fn perform_outputs(&mut self, now: Micros) {
        loop {
            let outputs: Vec<Output> = self.machine.drain_outputs().collect();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.perform(now, output);
            }
        }
    }

    fn perform(&mut self, now: Micros, output: Output) {
        match output {
            Output::Connect(socket, address) => {
                self.next_serial += 1;
                let connection = Connection::connect(socket, self.next_serial, address);
                self.register_connection(now, socket, connection, true);
            }
            Output::Write(socket, bytes) => self.queue_output(socket.into(), [&bytes]),
            Output::WriteAttempt(request) => self.write_attempt(now, &request),
            Output::ShutdownWrite(socket) => {
                if let Some(connection) = self.connections.get(&socket) {
                    connection.outlet.finish_writing();
                }
            }
            Output::ShutdownWriteIfNoInput(socket) => {
                let without_input = self.connections.get(&socket).filter(|c| c.has_no_input());
                if let Some(connection) = without_input {
                    connection.outlet.finish_writing();
                }
                let done = without_input.is_some();
                self.machine.shutdown_write_result(now, socket, done);
            }
            Output::CloseIfIdle(socket) => {
                let done = self.connections.get(&socket).is_none_or(|c| c.is_idle());
                if done {
                    self.close(socket);
                }
                self.machine.close_result(now, socket, done);
            }
            Output::CloseIfUnsent(socket) => {
                if let Some(connection) =
                    self.connections.get(&socket).filter(|c| c.outlet.is_pending()).cloned()
                {
                    self.close(socket);
                    // Reported as unsent only if the write certainly didn't complete; otherwise the rest may
                    // have gone out in this moment.
                    let end =
                        if connection.outlet.was_cut() { ConnectionEnd::Cut } else { ConnectionEnd::Broken };
                    self.machine.connection_ended(now, socket, end);
                }
            }
            Output::Close(socket) => self.close(socket),
            Output::ResumeReading(socket, bytes) => {
                if let Some(connection) = self.connections.get(&socket) {
                    connection.resume(bytes);
                }
            }
            Output::Accept => {
                if self.unreleased.may_accept() {
                    self.acceptor.issue_permit();
                }
            }
            Output::StopListening => self.acceptor.close(),
        }
    }
}
