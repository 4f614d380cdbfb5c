//! End-to-end tests on loopback: hosts, the gateway and emulated nodes, with a test for each failure on the
//! path.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use bytes::Bytes;
use emulator::{Fault, Node};
use gateway::{ControlAnswer, ControlRequest, Gateway, NodeLineState, Status};
use load::{Answer, Found, Host, HostOptions, Word, fill, look};
use nvme::{Digests, Sqe, StatusCode, admin, io as opcode};
use records::Recorder;
use settings::Site;

const SITE: &str = include_str!("site.toml");
const TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway with two emulated nodes that serve shard 0 and shard 1, in alternating extents of eight blocks.
struct TestBed {
    site: Site,
    nodes: Vec<Node>,
    gateway: Gateway,
    answers: Receiver<Answer>,
    sender: mpsc::Sender<Answer>,
}

impl TestBed {
    fn new() -> TestBed {
        TestBed::with(SITE)
    }

    fn with(text: &str) -> TestBed {
        let site = Site::parse(text).expect("the site file is valid");
        let nodes: Vec<Node> = (0..site.node.len())
            .map(|n| Node::start(site.node_options(n, false), Recorder::none()).expect("start a node"))
            .collect();
        let lines = nodes.iter().enumerate().map(|(n, node)| site.node_line(n, node.address(), 0)).collect();
        let gateway = Gateway::start(site.gateway_options(0, 7, lines, None).expect("the options are valid"))
            .expect("the gateway starts");
        let (sender, answers) = mpsc::channel();
        let bed = TestBed { site, nodes, gateway, answers, sender };
        bed.wait_until("all node connections are up", |s| s.nodes.iter().all(|n| n.link == "up"));
        bed
    }

    fn options(&self, number: u8) -> HostOptions {
        HostOptions {
            address: self.gateway.address(),
            subsystem: self.site.site.subsystem.clone(),
            name: format!("nqn.2026-12.example:host{number}"),
            id: [number; 16],
            queues: 2,
            depth: 128,
            digests: Digests { header: true, data: true },
            keep_alive: 0,
        }
    }

    fn host(&self, number: u8) -> Host {
        Host::connect(self.options(number), &self.sender).expect("connect")
    }

    fn answer(&self) -> Answer {
        self.answers.recv_timeout(TIMEOUT).expect("an answer")
    }

    fn answers(&self, count: usize) -> Vec<Answer> {
        (0..count).map(|_| self.answer()).collect()
    }

    fn status(&self) -> Status {
        match self.gateway.ask(ControlRequest::Status).expect("the gateway answers") {
            ControlAnswer::Status(status) => *status,
            other => panic!("{other:?}"),
        }
    }

    fn wait_until(&self, what: &str, mut done: impl FnMut(&Status) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !done(&self.status()) {
            assert!(Instant::now() < end, "{what}: {:#?}", self.status());
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    fn set_node_state(&self, node: usize, state: NodeLineState) {
        let mut line =
            self.site.node_line(node, self.nodes[node].address(), self.nodes[node].status().started);
        line.state = state;
        let lines = vec![line];
        self.gateway
            .ask(ControlRequest::Nodes { whole: false, lines })
            .expect("the gateway accepts the node list");
    }
}

fn served(answer: &Answer) -> &Bytes {
    match &answer.word {
        Word::Served(data) => data,
        other => panic!("command {:x} was answered with {other:?}", answer.user),
    }
}

#[test]
fn written_data_is_read_back_across_queues_extents_and_sizes() {
    let bed = TestBed::new();
    let host = bed.host(1);
    for (n, blocks) in [1u32, 2, 7, 16, 32].into_iter().enumerate() {
        let (token, slba) = (100 + n as u64, 5 + 100 * n as u64);
        host.write(1, 1, slba, blocks, fill(token, 1, slba, blocks, 4096), token).unwrap();
        served(&bed.answer());
        host.read(2, 1, slba, blocks, 4096, 200 + n as u64).unwrap();
        let answer = bed.answer();
        assert_eq!(look(served(&answer), 1, slba, 4096), vec![Found::Written(token); blocks as usize]);
    }
    host.flush(1, 1, 9).unwrap();
    served(&bed.answer());
    assert!(bed.nodes.iter().all(|n| n.written() > 0), "both shards have data");
}

#[test]
fn all_128_commands_in_flight_on_one_queue_are_answered() {
    let bed = TestBed::new();
    let host = bed.host(1);
    // Stall the nodes so that no command completes before all are in flight.
    bed.nodes.iter().for_each(|n| n.fault(Fault::Stall(true)));
    for n in 0..128u64 {
        host.read(1, 1, n * 8, 1, 4096, n + 1).unwrap();
    }
    assert!(host.read(1, 1, 0, 1, 4096, 999).is_err(), "the queue is full");
    bed.nodes.iter().for_each(|n| n.fault(Fault::Stall(false)));
    let mut users: Vec<u64> = bed.answers(128).iter().map(|a| a.user).collect();
    users.sort_unstable();
    assert_eq!(users, (1..=128).collect::<Vec<_>>());
}

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
    bed.wait_until("the late end is counted", |s| s.late == 1);
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
        .ask(ControlRequest::Nodes { whole: false, lines })
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
fn corrupt_data_and_truncated_replies_are_never_served() {
    let bed = TestBed::new();
    let host = bed.host(1);
    host.write(1, 1, 0, 1, fill(5, 1, 0, 1, 4096), 5).unwrap();
    served(&bed.answer());
    for (on, off) in [(Fault::Corrupt(true), Some(Fault::Corrupt(false))), (Fault::Half, None)] {
        bed.nodes[0].fault(on);
        host.read(1, 1, 0, 1, 4096, 6).unwrap();
        // The first attempt's data is rejected; a retry may be served if the fault is over.
        if let Word::Served(data) = bed.answer().word {
            assert_eq!(look(&data, 1, 0, 4096), [Found::Written(5)]);
        }
        if let Some(off) = off {
            bed.nodes[0].fault(off);
        }
    }
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

/// A host that speaks the protocol by hand and never reads.
struct NonReadingHost {
    _admin: Host,
    stream: TcpStream,
}

impl NonReadingHost {
    fn new(bed: &TestBed) -> NonReadingHost {
        let (sender, _) = mpsc::channel();
        let admin = Host::connect(HostOptions { queues: 0, ..bed.options(9) }, &sender).unwrap();
        let mut out = bytes::BytesMut::new();
        let options = nvme::InitiatorOptions {
            host: "nqn.2026-12.example:host9".into(),
            host_id: [9; 16],
            subsystem: bed.site.site.subsystem.clone(),
            qid: 1,
            cntlid: admin.cntlid(),
            entries: 129,
            kato: 0,
            digests: Digests::default(),
            in_capsule: 8192,
            max_data: 1 << 20,
        };
        let mut initiator = nvme::Initiator::new(options, &mut out);
        let mut stream = TcpStream::connect(bed.gateway.address()).unwrap();
        let (mut buffer, mut events) = ([0; 4096], Vec::new());
        while !initiator.is_ready() {
            stream.write_all(&out).unwrap();
            out.clear();
            let n = stream.read(&mut buffer).unwrap();
            initiator.receive(&buffer[..n], &mut out, &mut events);
        }
        NonReadingHost { _admin: admin, stream }
    }

    fn flood(&self, count: u16) {
        for cid in 0..count {
            let mut sqe = Sqe::blocks(opcode::READ, 1, u64::from(cid % 16) * 32, 32);
            sqe.set_cid(cid);
            sqe.set_sgl(nvme::Sgl::Transport { length: 32 * 4096 });
            let mut out = bytes::BytesMut::new();
            nvme::Pdu::CapsuleCmd { sqe: sqe.0, data: Bytes::new(), intact: true }
                .encode(Digests::default(), &mut out);
            (&self.stream).write_all(&out).unwrap();
        }
    }
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

#[test]
fn digests_are_used_only_where_both_sides_request_them() {
    let bed = TestBed::new();
    for (n, digests) in [(1, Digests::default()), (2, Digests { header: true, data: false })] {
        let host = Host::connect(HostOptions { digests, ..bed.options(n) }, &bed.sender).unwrap();
        host.write(1, 1, 0, 32, fill(n.into(), 1, 0, 32, 4096), n.into()).unwrap();
        served(&bed.answer());
        host.read(1, 1, 0, 32, 4096, 9).unwrap();
        assert_eq!(look(served(&bed.answer()), 1, 0, 4096), vec![Found::Written(n.into()); 32]);
    }
}

#[test]
fn a_connection_that_never_completes_its_handshake_is_closed() {
    let bed = TestBed::with(&SITE.replace("[log]", "[limits]\nway_up_ms = 300\n\n[log]"));
    let host = bed.host(1);
    let mut silent = TcpStream::connect(bed.gateway.address()).unwrap();
    silent.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut received = Vec::new();
    silent.read_to_end(&mut received).expect("the connection is closed, not left open");
    assert!(received.is_empty());
    bed.wait_until("only the host's connections are left", |s| {
        (s.connections, s.rising, s.hosts) == (3, 0, 1)
    });
    host.read(1, 1, 0, 1, 4096, 1).unwrap();
    served(&bed.answer());
}

#[test]
fn handshakes_per_address_are_limited_and_the_oldest_is_evicted_when_full() {
    let limits = "[limits]\nconnections = 6\nrising_from_address = 3\n\n[log]";
    let bed = TestBed::with(&SITE.replace("[log]", limits));
    let host = bed.host(1);
    let connect = || TcpStream::connect(bed.gateway.address()).unwrap();
    let closed = |mut s: &TcpStream| {
        s.set_read_timeout(Some(TIMEOUT)).unwrap();
        s.read(&mut [0; 8]).expect("read the end of the connection") == 0
    };
    let oldest = connect();
    bed.wait_until("the handshake is in progress", |s| s.rising == 1);
    let (_second, _third) = (connect(), connect());
    bed.wait_until("three handshakes are in progress", |s| (s.connections, s.rising) == (6, 3));
    assert!(closed(&connect()), "a fourth handshake from one address is refused");
    assert_eq!(bed.status().turned_away["limits.rising_from_address is reached"], 1);
    // A connection from another address: all connections are taken, so the oldest one in its handshake is
    // evicted.
    let mut another = connect_from([127, 0, 0, 2], bed.gateway.address());
    assert!(closed(&oldest));
    assert!(!bed.status().turned_away.contains_key("limits.connections is reached"));
    another.write_all(&[0; 1]).unwrap();
    host.read(1, 1, 0, 1, 4096, 1).unwrap();
    served(&bed.answer());
}

/// Connects from a given address of the loopback range.
fn connect_from(from: [u8; 4], to: std::net::SocketAddr) -> TcpStream {
    use nix::sys::socket::{AddressFamily, SockFlag, SockType, SockaddrIn, bind, connect, socket};
    use std::os::fd::AsRawFd;
    let fd = socket(AddressFamily::Inet, SockType::Stream, SockFlag::empty(), None).unwrap();
    bind(fd.as_raw_fd(), &SockaddrIn::new(from[0], from[1], from[2], from[3], 0)).unwrap();
    let std::net::SocketAddr::V4(to) = to else { panic!("IPv4") };
    connect(fd.as_raw_fd(), &SockaddrIn::from(to)).unwrap();
    TcpStream::from(fd)
}

#[test]
fn commands_over_the_limit_of_a_host_are_refused_at_once() {
    // A busy machine may be slow to ask: with a long latency target, no held command falls due before the
    // status is read.
    let site = SITE.replace("aim_ms = 300\npatience_ms = 1000", "aim_ms = 30000\npatience_ms = 90000");
    let bed = TestBed::with(&site.replace("[log]", "[limits]\nhost_commands = 10\n\n[log]"));
    let (heavy, light) = (bed.host(1), bed.host(2));
    bed.nodes[0].fault(Fault::Stall(true));
    for n in 0..30u64 {
        heavy.read(1 + (n % 2) as u16, 1, n % 8, 1, 4096, n + 1).unwrap();
    }
    // Twenty of them exceed the limit and are refused with advice before any of the ten held ones is
    // answered.
    let refused = bed.answers(20);
    assert!(refused.iter().all(|a| matches!(a.word, Word::Refused(advice) if advice > 0)), "{refused:?}");
    assert_eq!((bed.status().held_commands, bed.status().taken), (10, 10));
    // Another host is not affected.
    light.read(1, 1, 8, 1, 4096, 100).unwrap();
    let answer = bed.answer();
    assert_eq!(answer.user, 100);
    served(&answer);
    bed.nodes[0].fault(Fault::Stall(false));
    bed.answers(10);
    bed.wait_until("no command is held", |s| (s.held_commands, s.held_bytes) == (0, 0));
}

#[test]
fn commands_of_a_closed_connection_are_released() {
    let bed = TestBed::new();
    let host = bed.host(1);
    bed.nodes[0].fault(Fault::Stall(true));
    (0..20u64).for_each(|n| {
        host.write(1, 1, n % 8, 1, fill(n + 1, 1, n % 8, 1, 4096), n + 1).unwrap();
    });
    bed.wait_until("all commands are held", |s| (s.held_commands, s.held_bytes) == (20, 20 * 4096));
    host.close();
    bed.wait_until("no command is held any more", |s| {
        (s.held_commands, s.held_bytes, s.hosts, s.waiting_turn) == (0, 0, 0, 0)
    });
    bed.nodes[0].fault(Fault::Stall(false));
}

#[test]
fn compare_write_zeroes_and_dataset_management_work_across_extents() {
    let bed = TestBed::new();
    let host = bed.host(1);
    let data = fill(5, 1, 6, 4, 4096);
    host.write(1, 1, 6, 4, data.clone(), 5).unwrap();
    served(&bed.answer());
    let compare = |data: Bytes| {
        host.submit(1, Sqe::blocks(opcode::COMPARE, 1, 6, 4), data, 0, 6).unwrap();
        bed.answer().word
    };
    assert_eq!(compare(data.clone()), Word::Served(Bytes::new()), "no data is returned");
    let mut other = data.to_vec();
    other[3 * 4096 + 77] ^= 1;
    assert_eq!(compare(other.into()), Word::Invalid(StatusCode::CompareFailure as u16));
    // Dataset Management is a hint that is validated; the blocks keep their data.
    let range = |slba: u64, blocks: u32| -> Bytes {
        [&[0; 4][..], &blocks.to_le_bytes(), &slba.to_le_bytes()].concat().into()
    };
    let mut sqe = Sqe::new(opcode::DATASET_MANAGEMENT);
    sqe.set_nsid(1);
    sqe.set_cdw(11, 1 << 2);
    for (data, word) in [
        (range(6, 4), Word::Served(Bytes::new())),
        (range(65_535, 2), Word::Invalid(StatusCode::LbaOutOfRange as u16)),
        (range(u64::MAX, 1), Word::Invalid(StatusCode::LbaOutOfRange as u16)),
        (range(6, 4).slice(..8), Word::Invalid(StatusCode::DataSglLengthInvalid as u16)),
    ] {
        host.submit(1, sqe, data, 0, 7).unwrap();
        assert_eq!(bed.answer().word, word);
    }
    assert_eq!(compare(data), Word::Served(Bytes::new()));
    host.submit(1, Sqe::blocks(opcode::WRITE_ZEROES, 1, 7, 2), Bytes::new(), 0, 8).unwrap();
    served(&bed.answer());
    host.read(1, 1, 6, 4, 4096, 9).unwrap();
    let found = look(served(&bed.answer()), 1, 6, 4096);
    assert_eq!(found, [Found::Written(5), Found::Empty, Found::Empty, Found::Written(5)]);
}

#[test]
fn an_emulated_node_serves_only_reads_writes_and_flushes() {
    let bed = TestBed::new();
    let options = HostOptions { address: bed.nodes[0].address(), ..bed.options(5) };
    let host = Host::connect(options, &bed.sender).expect("connect");
    for code in [opcode::COMPARE, opcode::WRITE_ZEROES, opcode::DATASET_MANAGEMENT] {
        let data = if code == opcode::WRITE_ZEROES { Bytes::new() } else { Bytes::from(vec![0; 4096]) };
        host.submit(1, Sqe::blocks(code, 1, 0, 1), data, 0, 1).unwrap();
        assert_eq!(bed.answer().word, Word::Invalid(StatusCode::InvalidOpcode as u16));
    }
}
