//! Nodes that fail, refuse, drain or lose their connection, and the stop of the gateway.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use emulator::Fault;
use gateway::{ControlRequest, NodeLineState, Status};
use load::{Found, Host, Word, fill, look};
use nvme::{Sqe, io as opcode};

use crate::bed::{SITE, TIMEOUT, TestBed, served};

#[test]
fn a_write_in_flight_at_a_silent_node_fails_once_and_in_time() {
    let bed = TestBed::new();
    let host = bed.host(1);
    bed.nodes[0].fault(Fault::Silent(true));
    let start = Instant::now();
    host.write(1, 1, 0, 1, fill(5, 1, 0, 1, 4096), 5).unwrap();
    let answer = bed.answer();
    assert_eq!(answer.word, Word::Failed, "it may have run");
    let timeout = Duration::from_millis(bed.site.class[2].patience_ms.into());
    assert!(start.elapsed() < timeout + Duration::from_secs(2));
    bed.nodes[0].fault(Fault::Silent(false));
    bed.wait_until("no operation is open", |s| s.open == 0);
    assert_eq!(bed.answers.try_iter().count(), 0, "exactly one answer");
}

#[test]
fn a_reply_after_the_final_answer_is_discarded() {
    let bed = TestBed::new();
    let host = bed.host(1);
    bed.nodes[0].fault(Fault::Stall(true));
    host.read(1, 1, 0, 1, 4096, 5).unwrap();
    assert!(matches!(bed.answer().word, Word::Refused(_)));
    bed.nodes[0].fault(Fault::Stall(false));
    bed.wait_until("the late end is counted", |s| s.late_ends == 1);
    assert_eq!(bed.answers.try_iter().count(), 0);
}

#[test]
fn commands_in_flight_on_a_broken_connection_may_have_run() {
    let bed = TestBed::new();
    let host = bed.host(1);
    bed.nodes[1].fault(Fault::Stall(true));
    // Two blocks belong to the unsafe class, whose writes must not be sent again.
    host.write(1, 1, 8, 2, fill(5, 1, 8, 2, 4096), 5).unwrap();
    bed.wait_until("the attempt is in flight", |s| s.out == 1);
    bed.nodes[1].fault(Fault::Reset);
    assert_eq!(bed.answer().word, Word::Failed);
    bed.nodes[1].fault(Fault::Stall(false));
    assert_eq!(bed.status().sent, 1);
}

/// A proxy between the gateway and a node. When armed, it forwards half of the next capsule and breaks the
/// connection.
struct CuttingProxy {
    address: std::net::SocketAddr,
    armed: Arc<AtomicBool>,
}

impl CuttingProxy {
    /// Bytes forwarded of the truncated capsule: less than its header and entry.
    const FORWARDED_BYTES: usize = 40;

    fn start(node: std::net::SocketAddr) -> CuttingProxy {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let proxy =
            CuttingProxy { address: listener.local_addr().unwrap(), armed: Arc::new(AtomicBool::new(false)) };
        let armed = proxy.armed.clone();
        std::thread::spawn(move || {
            for gateway_side in listener.incoming().map_while(Result::ok) {
                let Ok(node_side) = TcpStream::connect(node) else { continue };
                let directions = [
                    (gateway_side.try_clone(), node_side.try_clone(), true),
                    (node_side.try_clone(), gateway_side.try_clone(), false),
                ];
                for (from, to, to_node) in directions {
                    let (from, to, armed) = (from.unwrap(), to.unwrap(), armed.clone());
                    std::thread::spawn(move || CuttingProxy::forward(from, to, &armed, to_node));
                }
            }
        });
        proxy
    }

    fn forward(mut from: TcpStream, mut to: TcpStream, armed: &AtomicBool, to_node: bool) {
        let mut buffer = [0; 65_536];
        while let Ok(n @ 1..) = from.read(&mut buffer) {
            let cut = to_node && buffer[0] == 4 && armed.swap(false, Ordering::SeqCst);
            if to.write_all(&buffer[..if cut { CuttingProxy::FORWARDED_BYTES } else { n }]).is_err() || cut {
                break;
            }
        }
        let _ = from.shutdown(std::net::Shutdown::Both); // The other direction may have closed it already.
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}

#[test]
fn a_partially_sent_capsule_on_a_broken_connection_may_have_run() {
    // A busy machine may be slow to reconnect: the latency target allows for that, within the nodes' memory
    // of 2.5 s.
    let bed =
        TestBed::with(&SITE.replace("aim_ms = 250\npatience_ms = 1500", "aim_ms = 2200\npatience_ms = 4000"));
    let proxy = CuttingProxy::start(bed.nodes[0].address());
    let lines = vec![bed.site.node_line(0, proxy.address, 0)];
    bed.gateway
        .ask(ControlRequest::Nodes { replace_all: false, lines })
        .expect("the gateway accepts the node list");
    let up = |s: &Status| s.nodes[0].link == "up" && s.nodes[0].address == proxy.address.to_string();
    bed.wait_until("the connection through the proxy is up", up);
    let host = bed.host(1);
    // Two blocks belong to the unsafe class: a write with an unknown outcome is not repeated.
    proxy.armed.store(true, Ordering::SeqCst);
    host.write(1, 1, 0, 2, fill(5, 1, 0, 2, 4096), 5).unwrap();
    assert_eq!(bed.answer().word, Word::Failed);
    assert_eq!((bed.status().nodes[0].sent, bed.nodes[0].written()), (1, 0));
    bed.wait_until("the connection is up again", up);
    // One block belongs to the keyed class: the write is sent again, and takes effect once.
    proxy.armed.store(true, Ordering::SeqCst);
    host.write(1, 1, 1, 1, fill(6, 1, 1, 1, 4096), 6).unwrap();
    served(&bed.answer());
    assert_eq!((bed.status().nodes[0].sent, bed.nodes[0].written()), (3, 1));
}

#[test]
fn a_node_that_never_completes_the_handshake_is_unreachable() {
    let bed = TestBed::new();
    let host = bed.host(1);
    bed.nodes[0].fault(Fault::Stall(true));
    bed.nodes[0].fault(Fault::Reset);
    bed.wait_until("the broken connection is noticed", |s| s.nodes[0].link != "up");
    host.write(1, 1, 0, 2, fill(5, 1, 0, 2, 4096), 5).unwrap();
    assert!(matches!(bed.answer().word, Word::Refused(_)), "the command never ran");
    bed.nodes[0].fault(Fault::Stall(false));
    bed.wait_until("the connection is up again", |s| s.nodes[0].link == "up");
}

#[test]
fn commands_received_before_a_node_died_do_not_run_after_its_restart() {
    let bed = TestBed::new();
    let host = bed.host(1);
    bed.nodes[0].fault(Fault::Stall(true));
    // Two blocks belong to the unsafe class, whose writes are not sent again.
    host.write(1, 1, 0, 2, fill(5, 1, 0, 2, 4096), 5).unwrap();
    bed.wait_until("the write is in flight", |s| s.out == 1);
    bed.nodes[0].fault(Fault::Die);
    bed.nodes[0].fault(Fault::Revive);
    assert_eq!(bed.answer().word, Word::Failed, "it may have run");
    bed.wait_until("the connection is up", |s| s.nodes[0].link == "up");
    // A node serves commands in order of arrival: an earlier command would have run before this one.
    host.read(1, 1, 0, 2, 4096, 6).unwrap();
    assert_eq!(look(served(&bed.answer()), 1, 0, 4096), [Found::Empty, Found::Empty]);
}

#[test]
fn a_node_that_refused_connections_or_died_is_served_again() {
    let bed = TestBed::new();
    let host = bed.host(1);
    for (down, up) in [(Fault::Refuse(true), Fault::Refuse(false)), (Fault::Die, Fault::Revive)] {
        bed.nodes[0].fault(down);
        bed.nodes[0].fault(Fault::Reset);
        bed.wait_until("the connection is down", |s| s.nodes[0].link != "up");
        host.read(1, 1, 0, 1, 4096, 5).unwrap();
        assert!(matches!(bed.answer().word, Word::Refused(_)));
        bed.nodes[0].fault(up);
        bed.wait_until("the connection is up", |s| s.nodes[0].link == "up");
        let end = Instant::now() + TIMEOUT;
        loop {
            host.read(1, 1, 0, 1, 4096, 6).unwrap();
            if matches!(bed.answer().word, Word::Served(_)) {
                break;
            }
            assert!(Instant::now() < end, "reads are served again");
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

#[test]
fn a_full_node_causes_a_refusal_and_an_error_no_second_run_of_an_unsafe_write() {
    let bed = TestBed::new();
    let host = bed.host(1);
    bed.nodes[0].fault(Fault::Full(true));
    host.write(1, 1, 0, 2, fill(5, 1, 0, 2, 4096), 5).unwrap();
    assert!(matches!(bed.answer().word, Word::Refused(_)), "the command never ran");
    bed.nodes[0].fault(Fault::Full(false));
    bed.nodes[1].fault(Fault::Fail(true));
    host.write(1, 1, 8, 2, fill(6, 1, 8, 2, 4096), 6).unwrap();
    assert_eq!(bed.answer().word, Word::Failed, "an error may have run");
    assert_eq!(bed.status().nodes[1].sent, 1);
}

#[test]
fn a_write_without_token_fails_if_it_ran_in_part_and_is_refused_if_nothing_ran() {
    let bed = TestBed::new();
    let host = bed.host(1);
    let write_without_token = |slba: u64, user: u64| {
        let sqe = Sqe::blocks(opcode::WRITE, 1, slba, 2);
        host.submit(1, sqe, fill(user, 1, slba, 2, 4096), 0, user).unwrap();
        bed.answer().word
    };
    bed.nodes[1].fault(Fault::Full(true));
    assert_eq!(write_without_token(7, 5), Word::Failed, "block 7 was written, block 8 was not");
    bed.nodes[0].fault(Fault::Full(true));
    assert!(matches!(write_without_token(23, 6), Word::Refused(_)), "neither block was written");
}

#[test]
fn a_drained_node_gets_no_requests_until_it_is_listed_as_on_again() {
    let bed = TestBed::new();
    let host = bed.host(1);
    bed.set_node_state(0, NodeLineState::Draining);
    let sent = bed.status().nodes[0].sent;
    host.read(1, 1, 0, 1, 4096, 5).unwrap();
    assert!(matches!(bed.answer().word, Word::Refused(advice) if advice > 0), "refused with advice");
    assert_eq!(bed.status().nodes[0].sent, sent);
    bed.set_node_state(0, NodeLineState::On);
    // Another block, because the module takes an immediate request for the same block for its client's retry
    // of one that ended late.
    host.read(1, 1, 1, 1, 4096, 6).unwrap();
    served(&bed.answer());
}

#[test]
fn a_gateway_stopped_under_load_accepts_nothing_new_and_answers_everything() {
    let bed = TestBed::new();
    let host = bed.host(1);
    for n in 0..100u64 {
        host.read(1, 1, n * 8, 1, 4096, n + 1).unwrap();
    }
    bed.wait_until("all commands are accepted", |s| s.taken == 100);
    assert!(bed.gateway.stop());
    let answers = bed.answers(100);
    assert!(answers.iter().all(|a| !matches!(a.word, Word::Lost | Word::Failed)), "{answers:?}");
    assert!(Host::connect(bed.options(3), &bed.sender).is_err(), "new connections are refused");
}
