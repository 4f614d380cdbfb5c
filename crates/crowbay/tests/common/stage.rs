//! Gateways, nodes with disks and a relay between, as processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::mpsc::{self, Receiver, Sender};
use std::time::{Duration, Instant};

use emulator::NodeStatus;
use gateway::{ControlAnswer, ControlRequest, NodeLine, NodeLineState, Status};
use lab::NodeRequest;
use load::Answer;
use relay::{Link, Listening, Order, Plan, What};

use super::process::{LONG, Running, text};

pub const NODES: [&str; 2] = ["node0", "node1"];

/// The tests' site file with these gateways, each with peers, and these tables.
pub fn site(gateways: &[&str], tables: &str) -> String {
    let peer = |g: &&str| format!("[[gateway]]\nname = \"{g}\"\npeer = \"127.0.0.1:0\"\n\n");
    let gateways: String = gateways.iter().map(peer).collect();
    include_str!("../../../gateway/tests/site.toml")
        .replace("[[gateway]]\nname = \"gw1\"\n", &gateways)
        .replace("[log]", &format!("{tables}\n[log]"))
}

/// The same where clients wait for a second and nodes warm in this time.
pub fn hurried(site: String, warm_ms: u32) -> String {
    let second = |t: String, ms| t.replace(&format!("patience_ms = {ms}"), "patience_ms = 1000");
    let text = ["1500", "2000", "3000"].into_iter().fold(site, second);
    text.replace("warm_after_ms = 5000", &format!("warm_after_ms = {warm_ms}"))
}

/// The site: everything that is up, and the relay between.
pub struct Stage {
    names: &'static [&'static str],
    pub folder: tempfile::TempDir,
    pub links: BTreeMap<(String, String), SocketAddr>,
    _relay: Running,
    pub nodes: BTreeMap<&'static str, Running>,
    pub gateways: BTreeMap<&'static str, Running>,
    pub answers: Receiver<Answer>,
    pub sender: Sender<Answer>,
    pub token: u64,
    /// Variables in the environment of nodes and gateways that are started from now on.
    pub environment: Vec<(&'static str, String)>,
}

impl Stage {
    /// The relay alone: nothing else has power yet.
    pub fn dark(names: &'static [&'static str], site: &str) -> Stage {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("site.toml"), site).expect("a file");
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let link = |from: &str, to: &str| Link {
            from: from.into(),
            to: to.into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            target: nowhere,
        };
        let to_all = |from: &'static str| {
            let others = names.iter().copied().filter(move |g| *g != from).chain(NODES);
            others.map(move |to| link(from, to))
        };
        let plan = Plan {
            control: Some(folder.path().join("r")),
            records: Some(folder.path().join("relay.jsonl")),
            seed: 1,
            link: names.iter().copied().flat_map(to_all).collect(),
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
            names,
            folder,
            links,
            _relay: relay,
            nodes: BTreeMap::new(),
            gateways: BTreeMap::new(),
            answers,
            sender,
            token: 0,
            environment: Vec::new(),
        }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub fn order(&self, from: &str, to: &str, what: What) {
        let met: (usize, usize) =
            control::call(&self.path("r"), &Order::new(from, to, what), LONG).expect("it is carried out");
        assert!(met.0 > 0, "no link from {from} to {to}");
    }

    pub fn node(&mut self, name: &'static str, more: &[&str]) {
        let (site, disk, control) =
            (self.path("site.toml"), self.path(&format!("{name}.disk")), self.path(name));
        let records = self.path(&format!("node-{name}.jsonl"));
        let mut args = vec!["node", "--name", name, "--cold", "--config", text(&site), "--disk", text(&disk)];
        args.extend(["--control", text(&control), "--records", text(&records)]);
        args.extend(more);
        let running = Running::start_with(&args, &self.environment, &self.path("nodes.log"));
        self.order("*", name, What::Lead(running.ready().address));
        self.nodes.insert(name, running);
    }

    pub fn line(&self, gateway: &str, node: usize) -> NodeLine {
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

    pub fn started(&self, node: &str) -> i64 {
        let status: Option<NodeStatus> =
            control::call(&self.path(node), &NodeRequest::Status, LONG).expect("it answers");
        status.expect("a status").started
    }

    /// The power goes for a gateway alone.
    pub fn cut_gateway(&mut self, name: &'static str) {
        self.gateways.remove(name);
        emulator::cut_power(&self.path(&format!("{name}.state")).join("hand"), &[0x5a; 21]).expect("a mark");
    }

    pub fn gateway(&mut self, name: &'static str) {
        let (nodes, peers) = (self.path(&format!("{name}.nodes")), self.path(&format!("{name}.peers")));
        let lines: Vec<NodeLine> = (0..NODES.len()).map(|n| self.line(name, n)).collect();
        std::fs::write(&nodes, serde_json::to_vec(&lines).expect("a list")).expect("a file");
        let others = self.names.iter().copied().filter(|g| *g != name);
        let told: BTreeMap<&str, SocketAddr> =
            others.map(|g| (g, self.links[&(name.to_owned(), g.to_owned())])).collect();
        std::fs::write(&peers, serde_json::to_vec(&told).expect("addresses")).expect("a file");
        let (site, state, control) =
            (self.path("site.toml"), self.path(&format!("{name}.state")), self.path(name));
        let records = self.folder.path().to_owned();
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
            "--records",
            text(&records),
        ]);
        let running = Running::start_with(&args, &self.environment, &self.path("gateways.log"));
        if let Some(peer) = running.ready().peer {
            self.order("*", name, What::Lead(peer));
        }
        self.gateways.insert(name, running);
    }

    /// The power goes for everything at once: what was not durable is gone, and each disk's last record is torn.
    pub fn power_off(&mut self) {
        for name in self.names.iter().copied().filter(|g| self.gateways.contains_key(g)).collect::<Vec<_>>() {
            self.cut_gateway(name);
        }
        self.nodes.clear();
        for name in NODES {
            emulator::cut_power(&self.path(&format!("{name}.disk")), &[0x5a; 33]).expect("a mark");
        }
    }

    pub fn ask(&self, gateway: &str, request: &ControlRequest) -> Result<ControlAnswer, String> {
        control::call(&self.path(gateway), request, LONG).map_err(|e| e.to_string())
    }

    pub fn status(&self, gateway: &str) -> Status {
        match self.ask(gateway, &ControlRequest::Status).expect("it answers") {
            ControlAnswer::Status(status) => *status,
            other => panic!("{other:?}"),
        }
    }

    pub fn until(&self, gateway: &str, what: &str, done: impl Fn(&Status) -> bool) {
        let end = Instant::now() + LONG;
        while !done(&self.status(gateway)) {
            assert!(Instant::now() < end, "{gateway}, never: {what}: {:#?}", self.status(gateway));
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}
