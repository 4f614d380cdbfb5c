//! The test bed: a gateway with two emulated nodes, and hosts to connect to it.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use bytes::Bytes;
use emulator::Node;
use gateway::{ControlAnswer, ControlRequest, Gateway, NodeLineState, Status};
use load::{Answer, Host, HostOptions, Word};
use nvme::{Digests, Sqe, io as opcode};
use records::Recorder;
use settings::Site;

use crate::late_writes::node_records;

pub const SITE: &str = include_str!("../site.toml");
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway with two emulated nodes that serve shard 0 and shard 1, in alternating extents of eight blocks.
pub struct TestBed {
    pub site: Site,
    pub nodes: Vec<Node>,
    pub gateway: Gateway,
    pub answers: Receiver<Answer>,
    pub sender: mpsc::Sender<Answer>,
}

impl TestBed {
    pub fn new() -> TestBed {
        TestBed::with(SITE)
    }

    pub fn with(text: &str) -> TestBed {
        TestBed::with_folders(text, None, None)
    }

    /// A test bed whose nodes keep records in one folder, and whose gateway has the peer network of the site
    /// with its state in another.
    pub fn with_folders(text: &str, records: Option<&Path>, state: Option<&Path>) -> TestBed {
        let site = Site::parse(text).expect("the site file is valid");
        let recorder = |n| {
            records.map_or_else(Recorder::none, |folder| {
                Recorder::append(&node_records(folder, n)).expect("the records can be written")
            })
        };
        let nodes: Vec<Node> = (0..site.node.len())
            .map(|n| Node::start(site.node_options(n, false), recorder(n)).expect("start a node"))
            .collect();
        let lines = nodes.iter().enumerate().map(|(n, node)| site.node_line(n, node.address(), 0)).collect();
        let mut options = site.gateway_options(0, 7, lines, None).expect("the options are valid");
        options.peer_network =
            state.and_then(|state| site.company_options(0, state.to_owned(), &BTreeMap::new()));
        let gateway = Gateway::start(options).expect("the gateway starts");
        let (sender, answers) = mpsc::channel();
        let bed = TestBed { site, nodes, gateway, answers, sender };
        bed.wait_until("all node connections are up", |s| s.nodes.iter().all(|n| n.link == "up"));
        bed
    }

    pub fn options(&self, number: u8) -> HostOptions {
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

    pub fn host(&self, number: u8) -> Host {
        Host::connect(self.options(number), &self.sender).expect("connect")
    }

    pub fn answer(&self) -> Answer {
        self.answers.recv_timeout(TIMEOUT).expect("an answer")
    }

    pub fn answers(&self, count: usize) -> Vec<Answer> {
        (0..count).map(|_| self.answer()).collect()
    }

    pub fn status(&self) -> Status {
        match self.gateway.ask(ControlRequest::Status).expect("the gateway answers") {
            ControlAnswer::Status(status) => *status,
            other => panic!("{other:?}"),
        }
    }

    pub fn wait_until(&self, what: &str, mut done: impl FnMut(&Status) -> bool) {
        let end = Instant::now() + TIMEOUT;
        while !done(&self.status()) {
            assert!(Instant::now() < end, "{what}: {:#?}", self.status());
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn set_node_state(&self, node: usize, state: NodeLineState) {
        let mut line =
            self.site.node_line(node, self.nodes[node].address(), self.nodes[node].status().started);
        line.state = state;
        let lines = vec![line];
        self.gateway
            .ask(ControlRequest::Nodes { replace_all: false, lines })
            .expect("the gateway accepts the node list");
    }
}

pub fn served(answer: &Answer) -> &Bytes {
    match &answer.word {
        Word::Served(data) => data,
        other => panic!("command {:x} was answered with {other:?}", answer.user),
    }
}

/// A host that speaks the protocol by hand and never reads.
pub struct NonReadingHost {
    _admin: Host,
    pub stream: TcpStream,
}

impl NonReadingHost {
    pub fn new(bed: &TestBed) -> NonReadingHost {
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

    pub fn flood(&self, count: u16) {
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
