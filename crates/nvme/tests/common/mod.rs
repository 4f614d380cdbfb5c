//! A controller side, and a connection to it that is spoken to by hand.
#![allow(dead_code)]

pub mod wire;

use bytes::{Bytes, BytesMut};
use nvme::*;

pub const SUBSYSTEM: &str = "nqn.2026-12.example:volumes";

/// A controller side with two namespaces of 1,024 blocks of 4 KiB.
pub fn target() -> Target {
    let namespace = |nsid| Namespace { nsid, blocks: 1024, block_size: 4096, guid: [nsid as u8; 16] };
    Target::new(TargetOptions {
        subsystem: SUBSYSTEM.into(),
        serial: "1".into(),
        model: "test".into(),
        namespaces: vec![namespace(1), namespace(2)],
        queue_entries: 129,
        io_queues: 4,
        associations: 8,
        mdts: 5,
        in_capsule: 8192,
        max_h2c_data: 16384,
        retry_delays: [1, 5, 20],
        optional: true,
        discovery: vec![DiscoveryEntry {
            subsystem: SUBSYSTEM.into(),
            address: "127.0.0.1".parse().unwrap(),
            port: 4420,
        }],
    })
}

/// Settings of a host that connects to [`target`].
pub fn options(qid: u16, cntlid: u16, digests: Digests) -> InitiatorOptions {
    InitiatorOptions {
        host: "nqn.2026-12.example:host".into(),
        host_id: [9; 16],
        subsystem: SUBSYSTEM.into(),
        qid,
        cntlid,
        entries: 129,
        kato: 5000,
        digests,
        in_capsule: 8192,
        max_data: 1 << 20,
    }
}

/// A controller spoken to by hand.
pub struct Raw {
    pub session: Session,
    out: BytesMut,
    pub outputs: Vec<Output>,
}

impl Raw {
    pub fn new(t: &mut Target) -> Self {
        let session = Session::new(t, Digests::default());
        Raw { session, out: BytesMut::new(), outputs: Vec::new() }
    }

    pub fn opened(t: &mut Target) -> Self {
        let mut raw = Raw::new(t);
        raw.send(t, Pdu::ICReq { version: 0, hpda: 0, digests: Digests::default(), max_r2t: 0 });
        raw
    }

    pub fn send(&mut self, t: &mut Target, pdu: Pdu) -> Vec<Pdu> {
        let mut bytes = BytesMut::new();
        pdu.encode(Digests::default(), &mut bytes);
        self.out.clear();
        self.session.receive(&bytes, 0, t, &mut self.out, &mut self.outputs);
        let mut decoder = Decoder::new(Side::Host, 1 << 20);
        decoder.push(&self.out);
        std::iter::from_fn(|| decoder.poll().unwrap()).collect()
    }

    pub fn command(&mut self, t: &mut Target, mut sqe: Sqe, data: Bytes) -> Status {
        if !data.is_empty() {
            sqe.set_sgl(Sgl::InCapsule { offset: 0, length: data.len() as u32 });
        }
        match &self.send(t, Pdu::CapsuleCmd { sqe: sqe.0, data, intact: true })[..] {
            [Pdu::CapsuleResp { cqe }] => Cqe::from_bytes(cqe).status,
            other => panic!("not one response: {other:?}"),
        }
    }

    pub fn connect(&mut self, t: &mut Target, qid: u16, entries: u16) -> Status {
        self.connect_to(t, 0xffff, qid, entries)
    }

    pub fn connect_to(&mut self, t: &mut Target, cntlid: u16, qid: u16, entries: u16) -> Status {
        let data = ConnectData {
            host_id: [1; 16],
            cntlid,
            subsystem: SUBSYSTEM.into(),
            host: "nqn.2026-12.example:h".into(),
        };
        self.command(t, Sqe::connect(qid, entries - 1, 0, false), data.to_bytes().into())
    }

    /// The admin queue of an enabled controller and one of its I/O queues.
    pub fn queues(t: &mut Target) -> (Raw, Raw) {
        let mut admin = Raw::opened(t);
        assert!(admin.connect(t, 0, 32).is_success());
        let enable = Sqe::property_set(property::CC, 1 | 6 << 16 | 4 << 20, false);
        assert!(admin.command(t, enable, Bytes::new()).is_success());
        let cntlid = admin.session.admission().expect("it is connected").cntlid;
        let mut io = Raw::opened(t);
        assert!(io.connect_to(t, cntlid, 1, 32).is_success());
        (admin, io)
    }
}
