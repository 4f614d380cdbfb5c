//! Commands of a node: taken, refused, carried out and answered.

use std::sync::{Arc, MutexGuard};

use bytes::{Bytes, BytesMut};
use nvme::{Completion, IoCommand, Status, StatusCode};
use records::{Clock, NodeLine, Op};

use super::{Pending, Shared, State, Writes};
use crate::Micros;
use crate::model::{Arrival, Job, JobId};

impl Shared {
    pub(super) fn command(
        &self,
        state: &mut State,
        id: u64,
        command: IoCommand,
        now: Micros,
        writes: &mut Writes,
    ) {
        let Some(connection) = state.connections.get(&id) else { return };
        let block_size = state.target.namespace(command.nsid).map_or(4096, |ns| ns.block_size);
        let bytes = command.blocks * block_size;
        if self.recorder.is_on() {
            self.recorder.write(&NodeLine::Arrive {
                t: now,
                began: (command.began != now).then_some(command.began),
                gateway: connection.gateway.clone(),
                token: command.token,
                attempt: command.attempt,
                op: op(&command),
                nsid: command.nsid,
                slba: command.slba,
                blocks: command.blocks,
            });
        }
        let cid = command.cid;
        if state.faults.full || state.faults.fail {
            let full = state.faults.full;
            let status = if full {
                Status::passing(StatusCode::VendorFull)
            } else {
                Status::passing(StatusCode::InternalError)
            };
            self.record_answer(&command, full);
            return answer(state, id, cid, Completion::of(status), writes);
        }
        let units = (u64::from(bytes).div_ceil(self.options.unit_bytes.max(1)).max(1) as f64)
            .min(self.options.most_units);
        state.next += 1;
        let job = Job { id: JobId(state.next), write: command.opcode == nvme::io::WRITE, bytes, units };
        // Work of less than a microsecond is no work: it ends here, without a change of threads.
        if state.model.held() == 0 && self.options.model.work(job.write, bytes) < 1.0 {
            return self.run(state, id, command, writes);
        }
        match state.model.arrive(now, job) {
            Arrival::Taken => {
                state.jobs.insert(job.id, Pending { connection: id, command });
                self.wake.notify_all();
            }
            Arrival::Full => {
                self.record_answer(&command, true);
                answer(state, id, cid, Completion::of(Status::passing(StatusCode::VendorFull)), writes);
            }
            Arrival::Fallen => {
                self.recorder.write(&NodeLine::Fell { t: now });
                self.down(state);
            }
        }
    }

    pub(super) fn record_answer(&self, command: &IoCommand, full: bool) {
        if self.recorder.is_on() {
            let (token, attempt, slba) = (command.token, command.attempt, command.slba);
            self.recorder.write(&NodeLine::Answer { t: self.clock.now(), token, attempt, slba, full });
        }
    }

    /// Carries a command out and answers it.
    pub(super) fn run(&self, state: &mut State, id: u64, command: IoCommand, writes: &mut Writes) {
        let now = self.clock.now();
        let block_size = state.target.namespace(command.nsid).map_or(4096, |ns| ns.block_size);
        let (nsid, slba) = (command.nsid, command.slba);
        let mut data = Bytes::new();
        let (mut applied, mut number) = (true, 0);
        match command.opcode {
            nvme::io::READ => data = state.store.read(nsid, slba, command.blocks, block_size),
            nvme::io::WRITE => {
                applied = !command.keyed
                    || command.token == 0
                    || state.store.first(now, self.options.memory, command.token, nsid, slba);
                if applied {
                    state.store.write(nsid, slba, block_size, &command.data);
                    let token = if command.keyed { command.token } else { 0 };
                    if let Some(disk) = &mut state.disk {
                        match disk.write(token, nsid, slba, block_size, &command.data) {
                            Ok(n) => number = n,
                            Err(error) => return self.disk_failed(state, &error),
                        }
                    }
                }
            }
            _ => {}
        }
        if self.recorder.is_on() {
            let (token, attempt) = (command.token, command.attempt);
            let op = op(&command);
            self.recorder.write(&NodeLine::Run { t: now, token, attempt, nsid, slba, op, applied, number });
        }
        if !state.faults.silent {
            self.record_answer(&command, false);
        }
        let dw0 = state.model.held() as u32 + 1;
        let completion = Completion { dw0, data, ..Completion::of(Status::SUCCESS) };
        answer(state, id, command.cid, completion, writes);
    }

    /// Writes what is to be written, damaged or cut as the faults say, with the state unlocked.
    pub(super) fn write(&self, mut state: MutexGuard<'_, State>, writes: Writes) {
        // Danger: an answer that goes out before its write is durable promises what a cut takes back; so does a read that
        // shows such a write. One sync covers all that was done since the last. Harm: the batch waits for the disk.
        let State { disk, store, target, .. } = &mut *state;
        if let Some(disk) = disk {
            let size = |nsid| target.namespace(nsid).map_or(4096, |ns| ns.block_size);
            if let Err(error) = disk.sync().and_then(|()| disk.tidy(store, size, draw(&self.clock))) {
                return self.disk_failed(&mut state, &error);
            }
        }
        let (silent, corrupt) = (state.faults.silent || state.faults.down, state.faults.corrupt);
        let half = state.faults.half && writes.iter().any(|w| w.1.len() > 24);
        state.faults.half &= !half;
        drop(state);
        if silent {
            return;
        }
        let mut half = half;
        for (outlet, mut bytes) in writes {
            if bytes.is_empty() {
                continue;
            }
            if corrupt && bytes.len() > 512 {
                let at = bytes.len() / 2;
                bytes[at] ^= 0x10;
            }
            if half && bytes.len() > 24 {
                half = false;
                outlet.write(&bytes[..bytes.len() / 2]);
                outlet.close();
                continue;
            }
            outlet.write(&bytes);
        }
    }
}

/// A number for a file that has to be made: no two of one node are the same.
pub(super) fn draw(clock: &Clock) -> u64 {
    (clock.now() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id())
}

pub(super) fn op(command: &IoCommand) -> Op {
    match command.opcode {
        nvme::io::READ => Op::Read,
        nvme::io::WRITE => Op::Write,
        _ => Op::Flush,
    }
}

pub(super) fn answer(state: &mut State, id: u64, cid: u16, completion: Completion, writes: &mut Writes) {
    let Some(connection) = state.connections.get_mut(&id) else { return };
    let mut out = BytesMut::new();
    connection.session.complete(cid, completion, &mut out);
    match writes.iter_mut().find(|w| Arc::ptr_eq(&w.0, &connection.outlet)) {
        Some(write) => write.1.unsplit(out),
        None => writes.push((connection.outlet.clone(), out)),
    }
}
