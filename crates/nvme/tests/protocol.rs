//! A host and a controller face to face, and hosts that do what they should not.

mod common;

use bytes::{Bytes, BytesMut};
use common::wire::*;
use common::*;
use nvme::*;

#[test]
fn reads_and_writes_of_every_size_arrive_byte_for_byte_with_and_without_digests() {
    for digests in all_digests() {
        let mut t = target();
        let (_admin, mut io) = pair(&mut t, digests);
        for blocks in [1u32, 2, 3, 9, 32] {
            let bytes: Bytes = (0..blocks * 4096).map(|n| (n % 251) as u8).collect();
            let mut sqe = Sqe::blocks(io::WRITE, 2, 5, blocks);
            sqe.set_token(77);
            io.submit(&mut t, sqe, bytes.clone(), 0);
            let command = io.command();
            assert_eq!((command.nsid, command.slba, command.blocks, command.token), (2, 5, blocks, 77));
            assert_eq!(command.data, bytes);
            io.complete(&mut t, command.cid, Completion::of(Status::SUCCESS));
            assert!(io.reply().status.is_success());

            io.submit(&mut t, Sqe::blocks(io::READ, 2, 5, blocks), Bytes::new(), blocks * 4096);
            let cid = io.command().cid;
            io.complete(&mut t, cid, Completion { data: bytes.clone(), ..Completion::of(Status::SUCCESS) });
            assert_eq!(io.reply().data, bytes);
        }
    }
}

#[test]
fn a_read_with_a_report_in_dword_0_still_ends_with_a_capsule() {
    let mut t = target();
    let (_admin, mut io) = pair(&mut t, Digests::default());
    io.submit(&mut t, Sqe::blocks(io::READ, 1, 0, 1), Bytes::new(), 4096);
    let cid = io.command().cid;
    let data = Bytes::from(vec![3; 4096]);
    io.complete(&mut t, cid, Completion { status: Status::SUCCESS, dw0: 7, dw1: 1, data: data.clone() });
    let reply = io.reply();
    assert_eq!((reply.dw0, reply.dw1, reply.data), (7, 1, data));
}

#[test]
fn a_range_past_the_end_another_namespace_and_a_transfer_over_mdts_get_their_statuses() {
    let mut t = target();
    let (_admin, mut io) = pair(&mut t, Digests::default());
    let cases = [
        (Sqe::blocks(io::READ, 1, 1024, 1), 4096, StatusCode::LbaOutOfRange),
        (Sqe::blocks(io::READ, 1, u64::MAX, 2), 8192, StatusCode::LbaOutOfRange),
        (Sqe::blocks(io::READ, 3, 0, 1), 4096, StatusCode::InvalidNamespace),
        (Sqe::blocks(io::READ, 0, 0, 1), 4096, StatusCode::InvalidNamespace),
        (Sqe::blocks(io::READ, 1, 0, 33), 33 * 4096, StatusCode::InvalidField),
        (Sqe::blocks(io::READ, 1, 0, 2), 4096, StatusCode::DataSglLengthInvalid),
        (Sqe::blocks(0x04, 1, 0, 1), 0, StatusCode::InvalidOpcode), // Write Uncorrectable.
        (Sqe::blocks(io::COMPARE, 1, 0, 1), 0, StatusCode::DataSglLengthInvalid),
        (Sqe::blocks(io::WRITE_ZEROES, 1, 1024, 1), 0, StatusCode::LbaOutOfRange),
        (Sqe::blocks(io::WRITE_ZEROES, 3, 0, 1), 0, StatusCode::InvalidNamespace),
    ];
    for (sqe, expect, code) in cases {
        let status = io.status(&mut t, sqe, expect);
        assert!(status.is(code), "{sqe:?}: {status}, not {code:?}");
        assert_eq!(status.retry, Retry::Never);
    }
    io.submit(&mut t, Sqe::new(io::FLUSH), Bytes::new(), 0);
    assert!(io.reply().status.is(StatusCode::InvalidNamespace));
    let mut flush = Sqe::new(io::FLUSH);
    flush.set_nsid(1);
    io.submit(&mut t, flush, Bytes::new(), 0);
    assert_eq!(io.command().opcode, io::FLUSH, "the connection goes on");
}

#[test]
fn a_second_connect_and_a_queue_past_the_count_are_refused_and_the_first_goes_on() {
    let mut t = target();
    let (admin, mut io) = pair(&mut t, Digests::default());
    let cntlid = admin.session.admission().unwrap().cntlid;
    for (qid, cntlid) in [(1, cntlid), (5, cntlid), (2, 0x777)] {
        let wire = Wire::new(&mut t, options(qid, cntlid, Digests::default()));
        assert!(matches!(wire.events.last(), Some(HostEvent::Fault(HostFault::Refused { .. }))), "{qid}");
    }
    let mut other = options(2, cntlid, Digests::default());
    other.host_id = [8; 16];
    let wire = Wire::new(&mut t, other);
    let Some(HostEvent::Fault(HostFault::Refused { status, .. })) = wire.events.last() else { panic!() };
    assert!(status.is(StatusCode::ConnectInvalidHost));
    io.submit(&mut t, Sqe::blocks(io::READ, 1, 0, 1), Bytes::new(), 4096);
    assert_eq!(io.command().blocks, 1);
}

#[test]
fn an_unknown_subsystem_is_refused_with_the_field_at_fault() {
    let mut t = target();
    let mut wrong = options(0, 0, Digests::default());
    wrong.subsystem = "nqn.2026-12.example:other".into();
    let wire = Wire::new(&mut t, wrong);
    let Some(HostEvent::Fault(HostFault::Refused { status, dw0, .. })) = wire.events.last() else { panic!() };
    assert!(status.is(StatusCode::ConnectInvalidParameters));
    assert_eq!(*dw0, 256 | 1 << 16, "SUBNQN, in the data");
}

fn terminated(pdus: &[Pdu]) -> TermReason {
    match pdus {
        [Pdu::TermReq { by_host: false, reason, .. }] => *reason,
        other => panic!("not terminated: {other:?}"),
    }
}

#[test]
fn commands_before_icreq_are_a_sequence_error() {
    let mut t = target();
    let got =
        Raw::new(&mut t).send(&mut t, Pdu::CapsuleCmd { sqe: [0; 64], data: Bytes::new(), intact: true });
    assert_eq!(terminated(&got), TermReason::SequenceError);
}

#[test]
fn an_icreq_of_another_version_names_the_parameter() {
    let mut t = target();
    let icreq = Pdu::ICReq { version: 3, hpda: 0, digests: Digests::default(), max_r2t: 0 };
    assert_eq!(terminated(&Raw::new(&mut t).send(&mut t, icreq)), TermReason::UnsupportedParameter(8));
}

#[test]
fn commands_before_connect_and_before_enable_are_sequence_errors_that_end_nothing() {
    let mut t = target();
    let mut raw = Raw::opened(&mut t);
    assert!(
        raw.command(&mut t, Sqe::new(admin::IDENTIFY), Bytes::new()).is(StatusCode::CommandSequenceError)
    );
    assert!(raw.connect(&mut t, 0, 32).is_success());
    assert!(
        raw.command(&mut t, Sqe::new(admin::KEEP_ALIVE), Bytes::new()).is(StatusCode::CommandSequenceError)
    );
    let enable = Sqe::property_set(property::CC, 1 | 6 << 16 | 4 << 20, false);
    assert!(raw.command(&mut t, enable, Bytes::new()).is_success());
    assert!(raw.command(&mut t, Sqe::new(admin::KEEP_ALIVE), Bytes::new()).is_success());
    assert!(raw.connect(&mut t, 0, 32).is(StatusCode::CommandSequenceError), "a second Connect");
}

#[test]
fn a_queue_larger_than_offered_and_a_queue_of_one_are_refused() {
    let mut t = target();
    for entries in [1, 130] {
        let status = Raw::opened(&mut t).connect(&mut t, 0, entries);
        assert!(status.is(StatusCode::ConnectInvalidParameters), "{entries}: {status}");
    }
}

#[test]
fn data_that_was_not_asked_for_and_data_out_of_range_terminate() {
    let mut t = target();
    let mut raw = Raw::opened(&mut t);
    raw.connect(&mut t, 0, 32);
    let data = |cid, ttag, offset| {
        let data = Bytes::from_static(&[0; 64]);
        Pdu::H2CData { cid, ttag, offset, last: true, data, intact: true }
    };
    assert_eq!(terminated(&raw.send(&mut t, data(9, 0, 0))), TermReason::InvalidHeaderField(8));

    let mut raw = Raw::opened(&mut t);
    raw.connect(&mut t, 0, 32);
    let enable = Sqe::property_set(property::CC, 1 | 6 << 16 | 4 << 20, false);
    raw.command(&mut t, enable, Bytes::new());
    let mut sqe = Sqe::new(admin::SET_FEATURES);
    sqe.set_cdw(10, u32::from(feature::HOST_BEHAVIOR_SUPPORT));
    sqe.set_cid(4);
    sqe.set_sgl(Sgl::Transport { length: 512 });
    let got = raw.send(&mut t, Pdu::CapsuleCmd { sqe: sqe.0, data: Bytes::new(), intact: true });
    let [Pdu::R2T { cid: 4, ttag, offset: 0, length: 512 }] = got[..] else { panic!("{got:?}") };
    assert_eq!(terminated(&raw.send(&mut t, data(4, ttag, 64))), TermReason::DataOutOfRange);
    assert!(matches!(raw.outputs.last(), Some(Output::Close(Some(TermReason::DataOutOfRange)))));
    assert_eq!(t.associations(), 0, "an association ends with its admin queue");
}

#[test]
fn damaged_data_fails_its_command_alone() {
    let mut t = target();
    let digests = Digests { header: true, data: true };
    let (_admin, mut io) = pair(&mut t, digests);
    let mut out = BytesMut::new();
    let data = Bytes::from(vec![5; 4096]);
    let sqe = Sqe::blocks(io::WRITE, 1, 0, 1);
    io.host.submit(Submission { sqe, data, expect: 0, user: 1 }, &mut out).unwrap();
    let len = out.len();
    out[len - 100] ^= 1;
    io.carry(&mut t, out);
    assert!(io.reply().status.is(StatusCode::TransientTransportError));
    assert!(!io.outputs.iter().any(|o| matches!(o, Output::Command(_))), "it never becomes a request");
    io.submit(&mut t, Sqe::blocks(io::READ, 1, 0, 1), Bytes::new(), 4096);
    assert_eq!(io.command().opcode, io::READ);
}

#[test]
fn a_header_damaged_on_the_way_terminates_with_the_digest() {
    let mut t = target();
    let (_admin, mut io) = pair(&mut t, Digests { header: true, data: false });
    let mut out = BytesMut::new();
    let sqe = Sqe::blocks(io::READ, 1, 0, 1);
    io.host.submit(Submission { sqe, data: Bytes::new(), expect: 4096, user: 1 }, &mut out).unwrap();
    out[20] ^= 4;
    io.carry(&mut t, out);
    assert!(matches!(
        io.events.last(),
        Some(HostEvent::Fault(HostFault::Terminated(TermReason::HeaderDigest(_))))
    ));
}

#[test]
fn a_host_silent_for_its_keep_alive_time_loses_its_association() {
    let mut t = target();
    let (mut admin, _io) = pair(&mut t, Digests::default());
    let cntlid = admin.session.admission().unwrap().cntlid;
    assert!(t.expire(5_000_000).is_empty());
    admin.now = 4_000_000;
    admin.submit(&mut t, Sqe::new(admin::KEEP_ALIVE), Bytes::new(), 0);
    assert!(t.expire(9_000_000).is_empty());
    assert_eq!(t.expire(9_000_001), [cntlid]);
    assert!(!t.is_live(cntlid));
}

#[test]
fn retry_delays_go_only_to_hosts_that_asked_for_them() {
    let mut t = target();
    let (admin, io) = pair(&mut t, Digests::default());
    let status = Status::after(StatusCode::CommandInterrupted, 2);
    assert_eq!(io.session.allowed(status, &mut t), status);
    assert_eq!(admin.session.allowed(status, &mut t), status);
    let mut raw = Raw::opened(&mut t);
    raw.connect(&mut t, 0, 32);
    assert_eq!(raw.session.allowed(status, &mut t).retry, Retry::Any);
}

#[test]
fn discovery_lists_the_subsystem_and_takes_no_io_queue() {
    let mut t = target();
    let mut o = options(0, 0, Digests::default());
    o.subsystem = DISCOVERY_NQN.into();
    let mut wire = Wire::new(&mut t, o);
    assert!(wire.host.is_ready(), "{:?}", wire.events);
    let mut sqe = Sqe::new(admin::GET_LOG_PAGE);
    sqe.set_cdw(10, 0x70 | (512 - 1) << 16);
    wire.submit(&mut t, sqe, Bytes::new(), 2048);
    let page = wire.reply().data;
    assert_eq!(page[8], 1);
    assert_eq!(&page[1024 + 256..1024 + 256 + SUBSYSTEM.len()], SUBSYSTEM.as_bytes());
    assert_eq!(&page[1024 + 32..1024 + 37], b"4420 ");
}

#[test]
fn identify_lists_the_volumes() {
    let mut t = target();
    let (mut admin, _io) = pair(&mut t, Digests::default());
    let identify = |cns, nsid| {
        let mut sqe = Sqe::new(admin::IDENTIFY);
        sqe.set_cdw(10, cns);
        sqe.set_nsid(nsid);
        sqe
    };
    admin.submit(&mut t, identify(2, 0), Bytes::new(), 4096);
    assert_eq!(&admin.reply().data[..12], [1, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0, 0]);
    admin.submit(&mut t, identify(0, 2), Bytes::new(), 4096);
    assert_eq!(namespace_size(&admin.reply().data), Some((1024, 4096)));
    admin.submit(&mut t, identify(3, 1), Bytes::new(), 4096);
    assert_eq!(admin.reply().data[4..20], [1; 16]);
    assert!(admin.status(&mut t, identify(0, 9), 4096).is(StatusCode::InvalidNamespace));
    assert!(admin.status(&mut t, identify(0x55, 0), 4096).is(StatusCode::InvalidField));
}

#[test]
fn an_abort_is_handed_on_and_answered_once() {
    let mut t = target();
    let (mut admin, mut io) = pair(&mut t, Digests::default());
    io.submit(&mut t, Sqe::blocks(io::READ, 1, 0, 1), Bytes::new(), 4096);
    let victim = io.command().cid;
    let mut sqe = Sqe::new(admin::ABORT);
    sqe.set_cdw(10, 1 | u32::from(victim) << 16);
    admin.submit(&mut t, sqe, Bytes::new(), 0);
    let Some(Output::Abort { cid, sqid: 1, target }) = admin.outputs.pop() else { panic!() };
    assert_eq!(target, victim);
    admin.complete(&mut t, cid, Completion { dw0: 1, ..Completion::of(Status::SUCCESS) });
    assert_eq!(admin.reply().dw0, 1);
    assert!(!admin.session.complete(cid, Completion::of(Status::SUCCESS), &mut BytesMut::new()));
}

#[test]
fn the_fifth_event_request_is_over_the_limit_and_a_change_answers_the_first() {
    let mut t = target();
    let (mut admin, _io) = pair(&mut t, Digests::default());
    let mut sqe = Sqe::new(admin::SET_FEATURES);
    sqe.set_cdw(10, u32::from(feature::ASYNC_EVENT_CONFIGURATION));
    sqe.set_cdw(11, 1 << 8);
    assert!(admin.status(&mut t, sqe, 0).is_success());
    for _ in 0..4 {
        admin.submit(&mut t, Sqe::new(admin::ASYNC_EVENT_REQUEST), Bytes::new(), 0);
    }
    assert!(
        admin.status(&mut t, Sqe::new(admin::ASYNC_EVENT_REQUEST), 0).is(StatusCode::AsyncEventLimitExceeded)
    );
    let mut out = BytesMut::new();
    assert!(admin.session.namespace_changed(&mut t, &mut out));
    admin.host.receive(&out, &mut BytesMut::new(), &mut admin.events);
    assert_eq!(admin.reply().dw0, 0x04_0002);
}

/// Guards against entries of a queue that are lost with each command of which nothing was sent.
#[test]
fn a_command_that_is_taken_back_leaves_its_entry_to_the_next_and_gets_no_reply() {
    let mut t = target();
    let (_admin, mut io) = pair(&mut t, Digests::default());
    let entries = io.host.room();
    let submission = |user| Submission {
        sqe: Sqe::blocks(io::WRITE, 1, 0, 1),
        data: Bytes::from(vec![7; 4096]),
        expect: 0,
        user,
    };
    for user in 0..2 * entries as u64 {
        let cid = io.host.submit(submission(user), &mut BytesMut::new()).expect("there is room");
        io.host.take_back(cid);
        io.host.take_back(cid);
    }
    assert_eq!((io.host.room(), io.host.outstanding()), (entries, 0));
    io.submit(&mut t, Sqe::blocks(io::FLUSH, 1, 0, 0), Bytes::new(), 0);
    let cid = io.command().cid;
    io.complete(&mut t, cid, Completion::of(Status::SUCCESS));
    assert_eq!(io.reply().user, u64::from(io::FLUSH), "only what was sent is answered");
    assert!(io.host.abandon().is_empty());
}
