//! Submissions to a node and its replies.

use std::io::Read;

use decisions::Outcome;
use may::net::TcpStream;
use nvme::{GatherList, HostEvent, Reply, StatusCode};
use storage_core::AttemptEnd;
use task::WorkBudget;

use super::{NodeConnection, READ_BUFFER_BYTES, State};
use crate::message::Message;

/// Bytes read at a time from the admin queue.
const ADMIN_BUFFER_BYTES: usize = 1024;

impl NodeConnection {
    /// Reads the admin queue until its connection ends.
    pub(super) fn read_admin(&self, stream: &mut TcpStream) {
        let (mut buffer, mut events) = (vec![0; ADMIN_BUFFER_BYTES], Vec::new());
        let mut budget = WorkBudget::default();
        loop {
            let n = match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(n) => n,
            };
            {
                let mut state = self.state();
                let Some((initiator, outlet)) = &mut state.admin else { return };
                let mut out = GatherList::new();
                initiator.receive(&buffer[..n], &mut out, &mut events);
                outlet.push(out);
            }
            let units = events.len();
            if events.drain(..).any(|e| matches!(e, HostEvent::Fault(_))) {
                return;
            }
            budget.spend(units);
        }
    }

    /// Reads replies until the connection ends.
    pub(super) fn read(&self, stream: &mut TcpStream) {
        let mut buffer = vec![0; READ_BUFFER_BYTES].into_boxed_slice();
        let (mut events, mut budget) = (Vec::new(), WorkBudget::default());
        loop {
            let n = match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(n) => n,
            };
            let mut keep_open = true;
            let mut ended = Vec::new();
            {
                let mut state = self.state();
                let State { queue: Some(queue), in_flight, .. } = &mut *state else { return };
                queue.receive(&buffer[..n], &mut events);
                for event in events.drain(..) {
                    match event {
                        HostEvent::Reply(reply) => {
                            let flight = in_flight.remove(&reply.user);
                            ended.extend(flight.map(|f| (f.0, end_for_reply(reply))));
                        }
                        HostEvent::Fault(fault) => {
                            tracing::warn!(address = %self.address, %fault, "protocol error; closing the connection");
                            keep_open = false;
                        }
                        HostEvent::Ready { .. } => {}
                    }
                }
            }
            let units = n / WorkBudget::BYTES_PER_UNIT + ended.len();
            ended.into_iter().for_each(|(a, end)| self.inbox.send(Message::AttemptEnded(a, end)));
            if !keep_open {
                return;
            }
            budget.spend(units);
        }
    }
}

/// The end of an attempt as reported by a node's reply. Only the status *full* proves that a command never
/// ran.
fn end_for_reply(reply: Reply) -> AttemptEnd {
    let outcome = if reply.status.is_success() {
        Outcome::Served
    } else if reply.status.is(StatusCode::VendorFull) {
        Outcome::Full
    } else {
        Outcome::Error
    };
    let load = (outcome == Outcome::Served).then_some(reply.dw0);
    AttemptEnd { outcome, data: reply.data, load }
}
