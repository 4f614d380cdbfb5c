//! A host with a write out, at a controller that does what it should not.

use bytes::{Bytes, BytesMut};
use nvme::*;

const BYTES: u32 = 64 * 1024;
const NO_DIGESTS: Digests = Digests { header: false, data: false };

/// A host whose I/O queue has sent a write of 64 KiB, which does not go in its capsule; the write's identifier.
fn host_with_a_write() -> (Initiator, u16) {
    let options = InitiatorOptions {
        host: "nqn.2026-12.example:host".into(),
        host_id: [9; 16],
        subsystem: "nqn.2026-12.example:volumes".into(),
        qid: 1,
        cntlid: 1,
        entries: 129,
        kato: 0,
        digests: NO_DIGESTS,
        in_capsule: 8192,
        max_data: 1 << 20,
    };
    let (mut sent, mut bytes) = (BytesMut::new(), BytesMut::new());
    let mut host = Initiator::new(options, &mut sent);
    Pdu::ICResp { version: 0, cpda: 0, digests: NO_DIGESTS, max_h2c_data: 1 << 20 }
        .encode(NO_DIGESTS, &mut bytes);
    completion(0).encode(NO_DIGESTS, &mut bytes);
    host.receive(&bytes, &mut sent, &mut Vec::new());
    let (sqe, data) = (Sqe::blocks(io::WRITE, 1, 0, 16), Bytes::from(vec![5; BYTES as usize]));
    let cid = host.submit(Submission { sqe, data, expect: 0, user: 1 }, &mut sent).expect("it is ready");
    (host, cid)
}

fn completion(cid: u16) -> Pdu {
    let cqe = Cqe { dw0: 1, dw1: 0, sq_head: 1, cid, status: Status::SUCCESS };
    Pdu::CapsuleResp { cqe: cqe.to_bytes() }
}

/// What a host does with PDUs: the bytes that it sends, and what happens.
fn receive(host: &mut Initiator, pdus: &[Pdu]) -> (usize, Vec<HostEvent>) {
    let (mut bytes, mut sent, mut events) = (BytesMut::new(), BytesMut::new(), Vec::new());
    pdus.iter().for_each(|pdu| pdu.encode(NO_DIGESTS, &mut bytes));
    host.receive(&bytes, &mut sent, &mut events);
    (sent.len(), events)
}

fn request(cid: u16, offset: u32, length: u32) -> Pdu {
    Pdu::R2T { cid, ttag: 1, offset, length }
}

/// Guards against a controller that has the same data sent again and again by asking for it again.
#[test]
fn data_is_sent_once_however_often_it_is_asked_for() {
    for again in [(0, BYTES), (0, 512), (BYTES / 2 - 4, 8), (BYTES / 2 + 4, 8)] {
        let (mut host, cid) = host_with_a_write();
        let (sent, events) = receive(&mut host, &[request(cid, 0, BYTES / 2)]);
        assert!(sent > BYTES as usize / 2 && events.is_empty());
        let (sent, events) = receive(&mut host, &[request(cid, again.0, again.1)]);
        let fault = HostFault::Protocol(TermReason::DataOutOfRange);
        assert!(matches!(&events[..], [HostEvent::Fault(f)] if *f == fault), "{again:?}: {events:?}");
        assert!(sent < 256, "a termination, no data");
    }
}

/// Guards against a write that a controller calls done before it had the data: it would be told to the client.
#[test]
fn a_write_is_not_done_before_its_data_was_asked_for() {
    for asked in [0, BYTES / 2] {
        let (mut host, cid) = host_with_a_write();
        if asked > 0 {
            receive(&mut host, &[request(cid, 0, asked)]);
        }
        let (_, events) = receive(&mut host, &[completion(cid)]);
        let [HostEvent::Reply(reply)] = &events[..] else { panic!("{events:?}") };
        assert!(reply.status.is(StatusCode::TransientTransportError), "{}", reply.status);
    }
    let (mut host, cid) = host_with_a_write();
    let whole = [request(cid, 0, BYTES / 2), request(cid, BYTES / 2, BYTES / 2), completion(cid)];
    let (_, events) = receive(&mut host, &whole);
    assert!(matches!(&events[..], [HostEvent::Reply(reply)] if reply.status.is_success()), "{events:?}");
}
