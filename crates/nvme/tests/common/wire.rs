//! A host and a controller face to face.
#![allow(dead_code)]

use bytes::{Bytes, BytesMut};
use nvme::*;

use super::options;

/// A host's connection to a session, without a wire between them.
pub struct Wire {
    pub host: Initiator,
    pub session: Session,
    pub events: Vec<HostEvent>,
    pub outputs: Vec<Output>,
    pub now: Micros,
}

impl Wire {
    pub fn new(target: &mut Target, options: InitiatorOptions) -> Self {
        let mut to_controller = BytesMut::new();
        let offered = Digests { header: true, data: true };
        let host = Initiator::new(options, &mut to_controller);
        let session = Session::new(target, offered);
        let mut wire = Wire { host, session, events: Vec::new(), outputs: Vec::new(), now: 0 };
        wire.carry(target, to_controller);
        wire
    }

    /// Carries bytes to and fro until both are quiet.
    pub fn carry(&mut self, target: &mut Target, mut to_controller: BytesMut) {
        while !to_controller.is_empty() {
            let mut to_host = BytesMut::new();
            self.session.receive(&to_controller, self.now, target, &mut to_host, &mut self.outputs);
            to_controller.clear();
            self.host.receive(&to_host, &mut to_controller, &mut self.events);
        }
    }

    pub fn submit(&mut self, target: &mut Target, sqe: Sqe, data: Bytes, expect: u32) {
        let mut out = BytesMut::new();
        let submission = Submission { sqe, data, expect, user: u64::from(sqe.opcode()) };
        self.host.submit(submission, &mut out).expect("there is room");
        self.carry(target, out);
    }

    pub fn complete(&mut self, target: &mut Target, cid: u16, completion: Completion) {
        let mut to_host = BytesMut::new();
        assert!(self.session.complete(cid, completion, &mut to_host));
        let mut back = BytesMut::new();
        self.host.receive(&to_host, &mut back, &mut self.events);
        self.carry(target, back);
    }

    pub fn command(&mut self) -> IoCommand {
        match self.outputs.pop() {
            Some(Output::Command(command)) => command,
            other => panic!("no command: {other:?}"),
        }
    }

    pub fn reply(&mut self) -> Reply {
        match self.events.pop() {
            Some(HostEvent::Reply(reply)) => reply,
            other => panic!("no reply: {other:?}"),
        }
    }

    pub fn status(&mut self, target: &mut Target, sqe: Sqe, expect: u32) -> Status {
        self.submit(target, sqe, Bytes::new(), expect);
        self.reply().status
    }
}

pub fn pair(target: &mut Target, digests: Digests) -> (Wire, Wire) {
    let admin = Wire::new(target, options(0, 0, digests));
    let Some(HostEvent::Ready { cntlid, limits: Some(limits) }) = admin.events.last().cloned() else {
        panic!("the admin queue is not up: {:?}", admin.events)
    };
    assert_eq!(limits.retry_delays, [1, 5, 20]);
    assert_eq!(limits.max_transfer, 128 * 1024);
    assert_eq!(limits.in_capsule, 8192);
    let io = Wire::new(target, options(1, cntlid, digests));
    assert!(matches!(io.events.last(), Some(HostEvent::Ready { .. })), "{:?}", io.events);
    (admin, io)
}

pub fn all_digests() -> [Digests; 4] {
    [(false, false), (true, false), (false, true), (true, true)]
        .map(|(header, data)| Digests { header, data })
}
