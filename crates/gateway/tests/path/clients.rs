//! Clients that disconnect, stop reading, abort or send invalid input.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use bytes::Bytes;
use emulator::Fault;
use load::{Answer, Found, Host, HostOptions, Word, fill, look};
use nvme::{Digests, Sqe, StatusCode, admin, io as opcode};

use crate::bed::{NonReadingHost, TIMEOUT, TestBed, served};

#[test]
fn a_write_whose_client_disconnects_after_half_its_data_never_becomes_a_request() {
    let bed = TestBed::new();
    // 64 KiB exceed a capsule: the gateway asks for the data, and the client disconnects after sending half
    // of it.
    let host_leaving = NonReadingHost::new(&bed);
    let mut sqe = Sqe::blocks(opcode::WRITE, 1, 0, 16);
    sqe.set_sgl(nvme::Sgl::Transport { length: 16 * 4096 });
    let mut out = bytes::BytesMut::new();
    nvme::Pdu::CapsuleCmd { sqe: sqe.0, data: Bytes::new(), intact: true }
        .encode(Digests::default(), &mut out);
    (&host_leaving.stream).write_all(&out).unwrap();
    let mut r2t = [0; 24];
    (&host_leaving.stream).read_exact(&mut r2t).unwrap();
    assert_eq!(r2t[0], 9, "R2T");
    let ttag = u16::from_le_bytes([r2t[10], r2t[11]]);
    let data = Bytes::from(vec![7; 8 * 4096]);
    out.clear();
    nvme::Pdu::H2CData { cid: 0, ttag, offset: 0, last: false, data, intact: true }
        .encode(Digests::default(), &mut out);
    (&host_leaving.stream).write_all(&out).unwrap();
    drop(host_leaving);
    bed.wait_until("the client's connections are closed", |s| s.connections == 0);
    let host = bed.host(2);
    host.read(1, 1, 0, 1, 4096, 1).unwrap();
    assert_eq!(look(served(&bed.answer()), 1, 0, 4096), [Found::Empty], "none of the data was written");
    assert_eq!((bed.status().taken, bed.status().sent), (1, 1));
}

#[test]
fn a_truncated_capsule_never_becomes_a_request() {
    let bed = TestBed::new();
    let mut stream = TcpStream::connect(bed.gateway.address()).unwrap();
    let icreq = [&[0u8, 0, 128, 0, 128, 0, 0, 0][..], &[0; 120]].concat();
    stream.write_all(&icreq).unwrap();
    let mut icresp = [0; 128];
    stream.read_exact(&mut icresp).unwrap();
    assert_eq!(icresp[0], 1, "ICResp");
    stream.write_all(&[4, 0, 72, 0, 72, 0, 0, 0, 0x7f, 0x40]).unwrap(); // A capsule, cut within its entry.
    drop(stream);
    bed.wait_until("the client's connection is closed", |s| s.connections == 0);
    let host = bed.host(2);
    host.read(1, 1, 0, 1, 4096, 1).unwrap();
    served(&bed.answer());
    assert_eq!(bed.status().taken, 1);
}

#[test]
fn operations_of_a_disconnected_client_are_withdrawn_and_others_continue() {
    let bed = TestBed::new();
    let (leaving, staying) = (bed.host(1), bed.host(2));
    bed.nodes[0].fault(Fault::Stall(true));
    leaving.write(1, 1, 0, 1, fill(5, 1, 0, 1, 4096), 5).unwrap();
    bed.wait_until("the write is sent", |s| s.out > 0);
    leaving.close();
    bed.wait_until("the operation is withdrawn", |s| s.withdrawn == 1);
    staying.read(1, 1, 8, 1, 4096, 6).unwrap();
    let answers: Vec<Answer> = bed.answers(2);
    assert!(answers.iter().any(|a| a.user == 5 && a.word == Word::Lost));
    served(answers.iter().find(|a| a.user == 6).expect("the other host is served"));
    bed.nodes[0].fault(Fault::Stall(false));
}

#[test]
fn a_client_that_stops_reading_does_not_delay_others() {
    let bed = TestBed::new();
    let host = bed.host(1);
    for n in 0..16u64 {
        host.write(1, 1, n * 32, 32, fill(50 + n, 1, n * 32, 32, 4096), 50 + n).unwrap();
    }
    bed.answers(16);
    // This host sends reads and never reads the answers: 128 times 128 KiB.
    let non_reading = NonReadingHost::new(&bed);
    non_reading.flood(128);
    for n in 0..50 {
        let start = Instant::now();
        host.read(1, 1, 8 * n, 1, 4096, 500 + n).unwrap();
        let answer = bed.answer();
        assert!(matches!(answer.word, Word::Served(_) | Word::Refused(_)), "{:?}", answer.word);
        assert!(start.elapsed() < Duration::from_secs(2));
    }
    drop(non_reading);
    bed.wait_until("the client's connection is closed", |s| s.open == 0);
}

#[test]
fn abort_cancels_a_held_command_but_not_a_sent_one() {
    let bed = TestBed::new();
    let host = bed.host(1);
    bed.nodes[0].fault(Fault::Stall(true));
    let sent = host.write(1, 1, 0, 1, fill(5, 1, 0, 1, 4096), 5).unwrap();
    bed.wait_until("the first write is in flight", |s| s.out == 1);
    let held = host.write(1, 1, 0, 1, fill(6, 1, 0, 1, 4096), 6).unwrap();
    bed.wait_until("the second write waits for the first", |s| s.open == 2);
    assert!(host.abort(1, held).unwrap());
    let answer = bed.answer();
    assert_eq!((answer.user, answer.word), (6, Word::Aborted));
    assert!(!host.abort(1, sent).unwrap());
    bed.nodes[0].fault(Fault::Stall(false));
    let answer = bed.answer();
    assert_eq!(answer.user, 5);
    served(&answer);
    assert_eq!(bed.status().sent, 1, "the aborted write was never sent");
}

#[test]
fn invalid_input_gets_the_specified_answer_and_other_connections_continue() {
    let bed = TestBed::new();
    let host = bed.host(1);
    let cases = [
        (Sqe::blocks(opcode::READ, 7, 0, 1), 4096, StatusCode::InvalidNamespace),
        (Sqe::blocks(opcode::READ, 1, 1 << 30, 1), 4096, StatusCode::LbaOutOfRange),
        (Sqe::blocks(opcode::READ, 1, 0, 64), 64 * 4096, StatusCode::InvalidField),
        (Sqe::blocks(0x0d, 1, 0, 1), 0, StatusCode::InvalidOpcode), // Reservation Register.
        (Sqe::blocks(opcode::WRITE_ZEROES, 1, 0, 64), 0, StatusCode::InvalidField),
        (Sqe::blocks(opcode::WRITE_ZEROES, 1, 65_535, 2), 0, StatusCode::LbaOutOfRange),
    ];
    for (sqe, expect, code) in cases {
        host.submit(1, sqe, Bytes::new(), expect, 5).unwrap();
        assert_eq!(bed.answer().word, Word::Invalid(code as u16), "{sqe:?}");
    }
    for garbage in [&[0xffu8; 64][..], &[0, 0, 128, 0, 4, 0, 0, 0], &[4, 0, 72, 0, 72, 0, 0, 0]] {
        let mut stream = TcpStream::connect(bed.gateway.address()).unwrap();
        stream.write_all(garbage).unwrap();
        if garbage.len() == 8 && garbage[0] == 4 {
            stream.write_all(&[0; 64]).unwrap();
        }
        let mut received = Vec::new();
        stream.read_to_end(&mut received).unwrap();
        assert_eq!(received[0], 3, "C2HTermReq");
    }
    host.read(1, 1, 0, 1, 4096, 6).unwrap();
    served(&bed.answer());
    assert_eq!(bed.status().taken, 1, "no invalid input became a request");
}

#[test]
fn a_host_is_disconnected_when_its_keep_alive_timeout_expires() {
    let bed = TestBed::new();
    let silent = Host::connect(HostOptions { keep_alive: 0, ..bed.options(1) }, &bed.sender).unwrap();
    let alive = Host::connect(HostOptions { keep_alive: 400, ..bed.options(2) }, &bed.sender).unwrap();
    let mut sqe = Sqe::new(admin::SET_FEATURES);
    sqe.set_cdw(10, 0x0f);
    sqe.set_cdw(11, 300);
    assert!(silent.admin(sqe, 0).unwrap().status.is_success(), "keep alive timeout of 300 ms");
    let end = Instant::now() + TIMEOUT;
    while silent.is_up() {
        assert!(Instant::now() < end, "the silent host is disconnected");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(alive.is_up());
}

/// Guards against data that a command does not take: it was sliced by the length of the command's blocks, which
/// ended the engine and left all commands of all hosts without an answer.
#[test]
fn a_read_with_data_in_its_capsule_is_turned_down_and_other_hosts_are_served() {
    let bed = TestBed::new();
    let host = bed.host(1);
    let sender = NonReadingHost::new(&bed);
    for opcode in [opcode::READ, opcode::FLUSH, opcode::WRITE_ZEROES] {
        let mut sqe = Sqe::blocks(opcode, 1, 7, 1);
        let length = if opcode == opcode::READ { 4096 } else { 0 };
        sqe.set_sgl(nvme::Sgl::Transport { length });
        let mut out = bytes::BytesMut::new();
        nvme::Pdu::CapsuleCmd { sqe: sqe.0, data: Bytes::from(vec![0; 512]), intact: true }
            .encode(Digests::default(), &mut out);
        (&sender.stream).write_all(&out).unwrap();
        let mut response = [0; 24];
        sender.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        (&sender.stream).read_exact(&mut response).expect("an answer");
        assert_eq!(response[0], 5, "CapsuleResp");
        let status = nvme::Cqe::from_bytes(response[8..].try_into().unwrap()).status;
        assert_eq!(status, nvme::Status::permanent(StatusCode::DataSglLengthInvalid), "opcode {opcode:#x}");
    }
    host.read(1, 1, 0, 1, 4096, 6).unwrap();
    served(&bed.answer());
    assert_eq!(bed.status().taken, 1, "none of the others became a request");
}
