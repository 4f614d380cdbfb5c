//! Gateways, nodes with disks and a relay as processes; the power goes, for all or some, and comes back in drawn or bad orders.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::{Duration, Instant};

use emulator::NodeStatus;
use gateway::{ControlAnswer, ControlRequest, NodeLine, NodeLineState, Status};
use lab::{NodeRequest, Ready};
use load::{Answer, Found, Host, HostOptions, Word, fill, look};
use nvme::Digests;
use peer::{Lives, wire};
use records::NodeLine as NodeRecord;
use recovery::Phase;
use relay::{Link, Listening, Order, Plan, Side, What};

const EXE: &str = env!("CARGO_BIN_EXE_crowbay");
/// Nothing here takes that long; a test that waits longer has failed.
const LONG: Duration = Duration::from_secs(30);
const GATEWAYS: [&str; 3] = ["g1", "g2", "g3"];
const NODES: [&str; 2] = ["node0", "node1"];
/// Peers are waited for so long.
const ASK_FOR: Duration = Duration::from_millis(600);

fn site() -> String {
    let text = include_str!("../../gateway/tests/site.toml");
    let gateways: String =
        GATEWAYS.iter().map(|g| format!("[[gateway]]\nname = \"{g}\"\npeer = \"127.0.0.1:0\"\n\n")).collect();
    let text = text.replace("[[gateway]]\nname = \"gw1\"\n", &gateways);
    let text = ["1500", "2000", "3000"]
        .iter()
        .fold(text, |t, ms| t.replace(&format!("patience_ms = {ms}"), "patience_ms = 1000"));
    text.replace("warm_after_ms = 5000", "warm_after_ms = 1500")
        .replace("[log]", &format!("[recovery]\nask_for_ms = {}\n\n[log]", ASK_FOR.as_millis()))
}

/// A process that is killed when it is dropped.
struct Running {
    child: Child,
    line: String,
}

impl Running {
    fn start(args: &[&str], log: &Path) -> Running {
        let log = std::fs::File::options().append(true).create(true).open(log).expect("a log");
        let mut command = Command::new(EXE);
        command.args(args).arg("--with-parent").stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn().expect("it starts");
        let mut line = String::new();
        let out = child.stdout.take().expect("its output");
        BufReader::new(out).read_line(&mut line).expect("a line");
        assert!(!line.is_empty(), "{args:?} did not come up");
        Running { child, line }
    }

    fn ready(&self) -> Ready {
        serde_json::from_str(&self.line).expect("it says where it listens")
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The site: everything that is up, and the relay between.
struct Stage {
    folder: tempfile::TempDir,
    links: BTreeMap<(String, String), SocketAddr>,
    _relay: Running,
    nodes: BTreeMap<&'static str, Running>,
    gateways: BTreeMap<&'static str, Running>,
    answers: Receiver<Answer>,
    sender: Sender<Answer>,
    token: u64,
}

impl Stage {
    /// The relay alone: nothing else has power yet.
    fn dark() -> Stage {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("site.toml"), site()).expect("a file");
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let link = |from: &str, to: &str| Link {
            from: from.into(),
            to: to.into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            target: nowhere,
        };
        let to_all = |from: &'static str| {
            let others = GATEWAYS.into_iter().filter(move |g| *g != from).chain(NODES);
            others.map(move |to| link(from, to))
        };
        let plan = Plan {
            control: Some(folder.path().join("r")),
            records: Some(folder.path().join("relay.jsonl")),
            seed: 1,
            link: GATEWAYS.into_iter().flat_map(to_all).collect(),
            order: Vec::new(),
        };
        let file = folder.path().join("relay.toml");
        std::fs::write(&file, toml::to_string(&plan).expect("a plan")).expect("a file");
        let relay =
            Running::start(&["relay", file.to_str().expect("a path")], &folder.path().join("relay.log"));
        let listening: Vec<Listening> = serde_json::from_str(&relay.line).expect("it says where it listens");
        let links = listening.into_iter().map(|l| ((l.from, l.to), l.address)).collect();
        let (sender, answers) = mpsc::channel();
        Stage {
            folder,
            links,
            _relay: relay,
            nodes: BTreeMap::new(),
            gateways: BTreeMap::new(),
            answers,
            sender,
            token: 0,
        }
    }

    /// All of it, up and serving.
    fn lit() -> Stage {
        let mut stage = Stage::dark();
        NODES.into_iter().for_each(|n| stage.node(n, &[]));
        GATEWAYS.into_iter().for_each(|g| stage.gateway(g));
        GATEWAYS.into_iter().for_each(|g| stage.until(g, "it serves", |s| phase(s) == Some(Phase::Serving)));
        stage
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn order(&self, from: &str, to: &str, what: What) {
        let met: (usize, usize) =
            control::call(&self.path("r"), &Order::new(from, to, what), LONG).expect("it is carried out");
        assert!(met.0 > 0, "no link from {from} to {to}");
    }

    fn node(&mut self, name: &'static str, more: &[&str]) {
        let (site, disk, control) =
            (self.path("site.toml"), self.path(&format!("{name}.disk")), self.path(name));
        let records = self.path(&format!("node-{name}.jsonl"));
        let mut args = vec!["node", "--name", name, "--cold", "--config", text(&site), "--disk", text(&disk)];
        args.extend(["--control", text(&control), "--records", text(&records)]);
        args.extend(more);
        let running = Running::start(&args, &self.path("nodes.log"));
        self.order("*", name, What::Lead(running.ready().address));
        self.nodes.insert(name, running);
    }

    fn line(&self, gateway: &str, node: usize) -> NodeLine {
        NodeLine {
            name: NODES[node].into(),
            address: self.links[&(gateway.to_owned(), NODES[node].to_owned())],
            zone: 0,
            shard: node as u32,
            state: NodeLineState::On,
            // As a supervisor would tell it: the node's own word, or none while it is not there.
            started: self.nodes.get(NODES[node]).map_or(0, |_| self.started(NODES[node])),
        }
    }

    fn started(&self, node: &str) -> i64 {
        let status: Option<NodeStatus> =
            control::call(&self.path(node), &NodeRequest::Status, LONG).expect("it answers");
        status.expect("a status").started
    }

    /// The power goes for a gateway alone.
    fn cut_gateway(&mut self, name: &'static str) {
        self.gateways.remove(name);
        emulator::cut_power(&self.path(&format!("{name}.state")).join("hand"), &[0x5a; 21]).expect("a mark");
    }

    /// How far the journal of a gateway is durable.
    fn journal(&self, gateway: &str) -> u64 {
        let mark =
            std::fs::read(self.path(&format!("{gateway}.state")).join("hand.durable")).expect("a mark");
        mark.try_into().map(u64::from_le_bytes).expect("a place")
    }

    /// Sends a write and waits until it is in hand, without an answer.
    fn write_in_hand(&mut self, gateway: &'static str, host: &Host, block: u64) -> u64 {
        let (token, before) = (self.next_token(), self.journal(gateway));
        host.write(1, 1, block, 1, fill(token, 1, block, 1, 4096), token).expect("it is sent");
        until("the write is in the journal", || self.journal(gateway) > before);
        token
    }

    /// Waits until a write has run at a node.
    fn until_run(&self, node: &str, token: u64) {
        let records = self.path(&format!("node-{node}.jsonl"));
        until("the write runs", || {
            let lines: Vec<NodeRecord> = records::read(&records).expect("its records");
            lines.iter().any(|l| matches!(l, NodeRecord::Answer { token: t, .. } if *t == token))
        });
    }

    /// The answer to one command; those of connections that were left are passed over.
    fn answer(&self, token: u64) -> Word {
        loop {
            let answer = self.answers.recv_timeout(LONG).expect("an answer");
            if answer.user == token {
                return answer.word;
            }
        }
    }

    fn gateway(&mut self, name: &'static str) {
        let (nodes, peers) = (self.path(&format!("{name}.nodes")), self.path(&format!("{name}.peers")));
        let lines: Vec<NodeLine> = (0..NODES.len()).map(|n| self.line(name, n)).collect();
        std::fs::write(&nodes, serde_json::to_vec(&lines).expect("a list")).expect("a file");
        let others = GATEWAYS.into_iter().filter(|g| *g != name);
        let told: BTreeMap<&str, SocketAddr> =
            others.map(|g| (g, self.links[&(name.to_owned(), g.to_owned())])).collect();
        std::fs::write(&peers, serde_json::to_vec(&told).expect("addresses")).expect("a file");
        let (site, state, control) =
            (self.path("site.toml"), self.path(&format!("{name}.state")), self.path(name));
        let mut args = vec!["gateway", "--name", name, "--config", text(&site), "--state", text(&state)];
        args.extend([
            "--nodes",
            text(&nodes),
            "--peers",
            text(&peers),
            "--control",
            text(&control),
            "--seed",
            "7",
            "--mark",
        ]);
        let running = Running::start(&args, &self.path("gateways.log"));
        self.order("*", name, What::Lead(running.ready().peer.expect("it has peers")));
        self.gateways.insert(name, running);
    }

    /// The power goes for everything at once: what was not durable is gone, and each disk's last record is torn.
    fn power_off(&mut self) {
        for name in GATEWAYS.into_iter().filter(|g| self.gateways.contains_key(g)).collect::<Vec<_>>() {
            self.cut_gateway(name);
        }
        self.nodes.clear();
        for name in NODES {
            emulator::cut_power(&self.path(&format!("{name}.disk")), &[0x5a; 33]).expect("a mark");
        }
    }

    fn ask(&self, gateway: &str, request: &ControlRequest) -> Result<ControlAnswer, String> {
        control::call(&self.path(gateway), request, LONG).map_err(|e| e.to_string())
    }

    fn status(&self, gateway: &str) -> Status {
        match self.ask(gateway, &ControlRequest::Status).expect("it answers") {
            ControlAnswer::Status(status) => *status,
            other => panic!("{other:?}"),
        }
    }

    fn until(&self, gateway: &str, what: &str, done: impl Fn(&Status) -> bool) {
        let end = Instant::now() + LONG;
        while !done(&self.status(gateway)) {
            assert!(Instant::now() < end, "{gateway}, never: {what}: {:#?}", self.status(gateway));
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// The latest life of a gateway that another has seen, as its disk says.
    fn seen(&self, by: &str, of: &str) -> u64 {
        let file = filelog::read(&self.path(&format!("{by}.state")).join("lives")).expect("it is whole");
        let lives: Lives = file.and_then(|bytes| wire::decode(&bytes)).unwrap_or_default();
        lives.of(&of.into()).map_or(0, |life| life.incarnation.0)
    }

    fn host(&self, gateway: &'static str) -> Host {
        let options = HostOptions {
            address: self.gateways[gateway].ready().address,
            subsystem: "nqn.2026-12.example.crowbay:path".into(),
            name: "nqn.2026-12.example:host1".into(),
            id: [1; 16],
            queues: 1,
            depth: 32,
            digests: Digests { header: true, data: true },
            keep_alive: 0,
        };
        Host::connect(options, &self.sender).expect("it connects")
    }

    fn next_token(&mut self) -> u64 {
        self.token += 1;
        self.token
    }

    fn write(&mut self, host: &Host, block: u64) -> (u64, Word) {
        let token = self.next_token();
        host.write(1, 1, block, 1, fill(token, 1, block, 1, 4096), token).expect("it is sent");
        (token, self.answer(token))
    }

    fn read(&mut self, host: &Host, block: u64) -> Result<Found, Word> {
        let token = self.next_token();
        host.read(1, 1, block, 1, 4096, token).expect("it is sent");
        match self.answer(token) {
            Word::Served(data) => Ok(look(&data, 1, block, 4096).into_iter().next().expect("a block")),
            other => Err(other),
        }
    }

    /// Asks until it is served, as a client does.
    fn read_served(&mut self, host: &Host, block: u64) -> Found {
        let end = Instant::now() + LONG;
        loop {
            match self.read(host, block) {
                Ok(found) => return found,
                Err(word) => {
                    assert!(Instant::now() < end, "block {block} is never served: {word:?}");
                    come_back(&word);
                }
            }
        }
    }

    fn write_served(&mut self, host: &Host, block: u64) -> u64 {
        let end = Instant::now() + LONG;
        loop {
            let (token, word) = self.write(host, block);
            if matches!(word, Word::Served(_)) {
                return token;
            }
            assert!(Instant::now() < end, "block {block} is never written: {word:?}");
            come_back(&word);
        }
    }
}

/// Waits as long as the advice says, as clients do. Danger: one that comes again at once is taken for the same request by the
/// module, late already, for as long as it does.
fn come_back(word: &Word) {
    if let Word::Refused(advice) = word {
        std::thread::sleep(Duration::from_micros((*advice).max(5000) as u64));
    }
}

/// Waits for something that processes bring about.
fn until(what: &str, done: impl Fn() -> bool) {
    let end = Instant::now() + LONG;
    while !done() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn text(path: &Path) -> &str {
    path.to_str().expect("a path in this alphabet")
}

fn phase(status: &Status) -> Option<Phase> {
    status.recovery.as_ref().map(|r| r.phase)
}

fn incarnation(status: &Status) -> u64 {
    status.recovery.as_ref().map_or(0, |r| r.life.incarnation.0)
}

#[test]
fn all_lose_their_power_and_what_was_answered_is_there_when_gateways_come_first() {
    let mut stage = Stage::lit();
    let host = stage.host("g1");
    // Blocks 0 to 7 lie on shard 0, 8 to 15 on shard 1.
    let written: Vec<(u64, u64)> = (0..16).map(|b| (b, stage.write_served(&host, b))).collect();
    drop(host);
    stage.power_off();
    GATEWAYS.into_iter().for_each(|g| stage.gateway(g));
    GATEWAYS.into_iter().for_each(|g| stage.until(g, "it joins", |s| phase(s) > Some(Phase::Joining)));
    for gateway in GATEWAYS {
        assert_eq!(incarnation(&stage.status(gateway)), 2);
    }
    let host = stage.host("g2");
    assert!(matches!(stage.read(&host, 0), Err(Word::Refused(_))), "no node is there");
    // One shard's node comes, the other's later: what is there is served.
    stage.node("node1", &[]);
    for (block, token) in &written[8..] {
        assert_eq!(stage.read_served(&host, *block), Found::Written(*token));
    }
    assert!(matches!(stage.read(&host, 0), Err(Word::Refused(_))), "the first shard's node is not there");
    stage.node("node0", &[]);
    for (block, token) in &written[..8] {
        assert_eq!(stage.read_served(&host, *block), Found::Written(*token));
    }
    let token = stage.write_served(&host, 3);
    assert_eq!(stage.read_served(&host, 3), Found::Written(token));
    GATEWAYS.into_iter().for_each(|g| stage.until(g, "it serves", |s| phase(s) == Some(Phase::Serving)));
}

#[test]
fn power_goes_again_in_the_middle_of_coming_back_twice() {
    let mut stage = Stage::lit();
    let host = stage.host("g3");
    let token = stage.write_served(&host, 5);
    drop(host);
    stage.power_off();
    // Cut while they ask each other; then while cold nodes are spared, and for half of the fleet only.
    GATEWAYS.into_iter().for_each(|g| stage.gateway(g));
    stage.power_off();
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    GATEWAYS.into_iter().for_each(|g| stage.gateway(g));
    stage.until("g1", "it lets in", |s| phase(s) >= Some(Phase::Settling));
    stage.gateways.remove("g1");
    stage.nodes.remove("node0");
    emulator::cut_power(&stage.path("node0.disk"), b"torn").expect("a mark");
    stage.node("node0", &["--forget-tokens"]);
    stage.gateway("g1");
    assert_eq!(incarnation(&stage.status("g1")), 4);
    GATEWAYS.into_iter().for_each(|g| stage.until(g, "it serves", |s| phase(s) == Some(Phase::Serving)));
    for gateway in GATEWAYS {
        let host = stage.host(gateway);
        assert_eq!(stage.read_served(&host, 5), Found::Written(token), "{gateway}");
    }
}

#[test]
fn a_gateway_whose_peers_never_return_serves_within_the_stated_time() {
    let mut stage = Stage::lit();
    let host = stage.host("g1");
    let token = stage.write_served(&host, 1);
    drop(host);
    stage.power_off();
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    let begun = Instant::now();
    stage.gateway("g2");
    let host = stage.host("g2");
    assert_eq!(stage.read_served(&host, 1), Found::Written(token));
    assert!(begun.elapsed() >= ASK_FOR, "it has waited for its peers");
    stage.write_served(&host, 1);
    stage.until("g2", "it serves", |s| phase(s) == Some(Phase::Serving));
}

#[test]
fn two_who_hear_each_other_one_way_only_serve_and_meet_once_it_is_over() {
    let mut stage = Stage::dark();
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    // g1 dials; what it says never arrives, what g2 says would.
    stage.order("g1", "g2", What::Hold(Side::Forth));
    stage.gateway("g1");
    stage.gateway("g2");
    for gateway in ["g1", "g2"] {
        stage.until(gateway, "it lets in", |s| phase(s) > Some(Phase::Joining));
        let host = stage.host(gateway);
        stage.write_served(&host, 2);
    }
    // Orders that come to one meanwhile reach the other when the cut is over.
    let lines = vec![stage.line("g2", 0), NodeLine { state: NodeLineState::Draining, ..stage.line("g2", 1) }];
    let orders = ControlRequest::Orders { revision: 5, lines, held: vec!["ledger".into()], paused: false };
    stage.ask("g2", &orders).expect("they are in force");
    assert_eq!(stage.status("g1").revision, 0);
    stage.order("*", "*", What::Clear);
    stage.until("g1", "it has the orders", |s| s.revision == 5 && s.held == ["ledger"]);
    let state = |s: &Status| s.nodes.iter().find(|n| n.name == "node1").map(|n| n.state);
    assert_eq!(state(&stage.status("g1")), Some(NodeLineState::Draining));
}

#[test]
fn orders_from_before_the_cut_reach_one_that_was_away_and_older_ones_are_turned_down() {
    let mut stage = Stage::lit();
    stage.gateways.remove("g3");
    let lines = |stage: &Stage, g: &str| {
        vec![stage.line(g, 0), NodeLine { state: NodeLineState::Draining, ..stage.line(g, 1) }]
    };
    let orders =
        |lines, revision| ControlRequest::Orders { revision, lines, held: Vec::new(), paused: false };
    stage.ask("g1", &orders(lines(&stage, "g1"), 7)).expect("they are in force");
    stage.until("g2", "it has the orders", |s| s.revision == 7);
    // The power goes just after; only one that knows of them and one that was away come back.
    stage.power_off();
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    stage.gateway("g3");
    stage.gateway("g2");
    stage.until("g3", "it has the orders", |s| s.revision == 7);
    for gateway in ["g2", "g3"] {
        let status = stage.status(gateway);
        let drained = status.nodes.iter().find(|n| n.name == "node1").map(|n| n.state);
        assert_eq!(drained, Some(NodeLineState::Draining), "{gateway}");
    }
    let told = stage.ask("g3", &orders(lines(&stage, "g3"), 6)).expect_err("they are older");
    assert!(told.contains("older"), "{told}");
}

#[test]
fn last_months_disk_and_an_empty_one_begin_a_life_above_all_that_were_seen() {
    let mut stage = Stage::lit();
    let life = stage.path("g2.state").join("life");
    let last_month = std::fs::read(&life).expect("its life");
    for n in 2..=4 {
        stage.gateways.remove("g2");
        stage.gateway("g2");
        stage.until("g2", "it lives anew", |s| incarnation(s) == n);
        until("a peer has seen it", || stage.seen("g1", "g2") == n);
    }
    stage.gateways.remove("g2");
    std::fs::write(&life, last_month).expect("put back");
    stage.gateway("g2");
    stage.until("g2", "it is above what was seen", |s| incarnation(s) == 5);
    until("a peer has seen it", || stage.seen("g1", "g2") == 5);
    stage.gateways.remove("g2");
    std::fs::remove_dir_all(stage.path("g2.state")).expect("emptied");
    stage.gateway("g2");
    stage.until("g2", "it is above what was seen", |s| incarnation(s) == 6);
    // A damaged one is named, and nothing starts on it.
    stage.gateways.remove("g2");
    let mut bytes = std::fs::read(&life).expect("its life");
    bytes[6] ^= 1;
    std::fs::write(&life, bytes).expect("damaged");
    let out = Command::new(EXE)
        .args(["gateway", "--name", "g2", "--config", text(&stage.path("site.toml"))])
        .args(["--state", text(&stage.path("g2.state"))])
        .output()
        .expect("it runs");
    let said = String::from_utf8_lossy(&out.stderr).into_owned();
    assert!(!out.status.success() && said.contains("life is damaged"), "{said}");
}

/// Power goes with two writes in hand at g1, one that ran and one that never arrived; their keys, and no others, rest.
#[test]
fn writes_in_hand_when_the_power_goes_are_settled_by_what_is_there() {
    let mut stage = Stage::lit();
    let host = stage.host("g1");
    let before = stage.write_served(&host, 1);
    stage.order("g1", "node0", What::Hold(Side::Back));
    stage.order("g1", "node1", What::Hold(Side::Forth));
    let ran = stage.write_in_hand("g1", &host, 0);
    let lost = stage.write_in_hand("g1", &host, 8);
    stage.until_run("node0", ran);
    drop(host);
    stage.power_off();
    stage.order("*", "*", What::Clear);
    // Its node is not there: the key stays closed, in whatever time; reads of other shards and other keys do not wait for it.
    stage.node("node1", &[]);
    stage.gateway("g1");
    stage.until("g1", "the other shard's key is settled", |s| {
        s.recovery.as_ref().is_some_and(|r| r.settled == [0, 1, 0] && r.unsettled.len() == 1)
    });
    let host = stage.host("g1");
    assert_eq!(stage.read_served(&host, 8), Found::Empty, "{lost:x} never arrived");
    stage.node("node0", &[]);
    stage.until("g1", "both are settled", |s| {
        s.recovery.as_ref().is_some_and(|r| r.settled == [1, 1, 0] && r.unsettled.is_empty())
    });
    assert_eq!(stage.read_served(&host, 0), Found::Written(ran));
    assert_eq!(stage.read_served(&host, 1), Found::Written(before));
    let token = stage.write_served(&host, 0);
    assert_eq!(stage.read_served(&host, 0), Found::Written(token));
    // What is settled is not settled again in the next life; the last write may be, as that it is over need not be durable yet.
    drop(host);
    stage.cut_gateway("g1");
    stage.gateway("g1");
    stage.until("g1", "it lets in", |s| phase(s) > Some(Phase::Settling));
    let settled = stage.status("g1").recovery.map(|r| r.settled).expect("it has come back");
    assert!(settled[0] <= 1 && settled[1..] == [0, 0], "{settled:?}");
}

#[test]
fn a_node_that_kept_its_power_may_still_run_what_it_has_so_the_key_rests() {
    let mut stage = Stage::lit();
    let host = stage.host("g1");
    stage.order("g1", "node0", What::Hold(Side::Back));
    let token = stage.write_in_hand("g1", &host, 2);
    stage.until_run("node0", token);
    drop(host);
    stage.cut_gateway("g1");
    stage.order("*", "*", What::Clear);
    let begun = Instant::now();
    stage.gateway("g1");
    stage.until("g1", "it is settled", |s| s.recovery.as_ref().is_some_and(|r| r.settled == [1, 0, 0]));
    // The longest patience and the rest behind it, as the file states them.
    assert!(begun.elapsed() >= Duration::from_millis(1200));
    let host = stage.host("g1");
    assert_eq!(stage.read_served(&host, 2), Found::Written(token));
}

#[test]
fn a_damaged_journal_is_moved_aside_and_all_writes_rest_once() {
    let mut stage = Stage::lit();
    let host = stage.host("g1");
    for block in 0..8 {
        stage.write_served(&host, block);
    }
    drop(host);
    stage.gateways.remove("g1");
    let journal = stage.path("g1.state").join("hand");
    let mut bytes = std::fs::read(&journal).expect("its journal");
    bytes[40] ^= 1;
    std::fs::write(&journal, bytes).expect("damaged");
    stage.gateway("g1");
    assert!(stage.path("g1.state").join("hand.damaged").exists());
    assert_eq!(stage.status("g1").recovery.map(|r| r.blind), Some(true));
    let host = stage.host("g1");
    assert!(matches!(stage.read_served(&host, 1), Found::Written(_)));
    stage.write_served(&host, 1);
    stage.until("g1", "it serves", |s| phase(s) == Some(Phase::Serving));
}

#[test]
fn operators_see_what_is_waited_for_and_force_it_only_when_they_confirm_what_it_costs() {
    let mut stage = Stage::lit();
    let host = stage.host("g1");
    stage.order("g1", "node0", What::Hold(Side::Back));
    stage.write_in_hand("g1", &host, 4);
    drop(host);
    stage.power_off();
    // Its node never returns.
    stage.node("node1", &[]);
    stage.gateway("g1");
    let control = stage.path("g1");
    let run = |args: &[&str]| {
        let out = Command::new(EXE).arg("recovery").args(args).args(["--control", text(&control)]).output();
        let out = out.expect("it runs");
        let said = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
        (out.status.code(), said)
    };
    let (code, said) = run(&["hurry"]);
    assert!(code == Some(2) && said.contains("cold nodes may be pushed over"), "{said}");
    let (code, said) = run(&["hurry", "--confirm"]);
    assert_eq!(code, Some(0), "{said}");
    stage.until("g1", "it waits for its peers no longer", |s| phase(s) == Some(Phase::Settling));
    let (_, said) = run(&["status"]);
    assert!(said.contains("settling") && said.contains("blocks 4+1, at node0: waits for"), "{said}");
    let (_, said) = run(&["explain", "1", "4"]);
    assert!(said.contains("reads   open") && said.contains("writes  closed: write"), "{said}");
    let (_, said) = run(&["explain", "1", "8"]);
    assert!(said.contains("writes  open"), "{said}");
    let number = stage.status("g1").recovery.map(|r| r.unsettled[0].number.to_string()).expect("a key");
    let (code, said) = run(&["release", &number]);
    assert!(code == Some(2) && said.contains("may still run"), "{said}");
    let (code, said) = run(&["release", &number, "--confirm"]);
    assert_eq!(code, Some(0), "{said}");
    stage.until("g1", "it serves", |s| phase(s) == Some(Phase::Serving));
    let (code, said) = run(&["release", &number, "--confirm"]);
    assert!(code == Some(1) && said.contains("no write from before"), "{said}");
    let (_, said) = run(&["status"]);
    assert!(said.contains("0 ran, 0 not there, 1 unknown, 0 open") && said.contains("all is open"), "{said}");
}
