//! The demonstration: a gateway, stand-in nodes and clients in one process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use emulator::Node;
use gateway::{ControlAnswer, ControlRequest, Gateway, NodeLine, NodeLineState, Status};
use judge::{Day, Report, judge};
use load::{Client, Summary};
use records::{Clock, Recorder};
use serde::{Deserialize, Serialize};
use settings::{LoadError, Site};

use crate::LabError;
use crate::feed::listed;
use crate::timeline::{Change, timeline};

/// The site of the demonstration, which is part of the program.
///
/// # Errors
/// None in a program that passed its tests.
pub fn demo_site() -> Result<Site, LabError> {
    let built_in = |problems| LoadError::Problems("the built-in demo".into(), problems);
    Ok(Site::parse(include_str!("demo.toml")).map_err(built_in)?)
}

/// What `demo --hold` prints when it is ready.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemoReady {
    /// Where the gateway listens.
    pub address: SocketAddr,
    /// NQN of its subsystem.
    pub nqn: String,
    /// Names of the volumes, by namespace identifier.
    pub volumes: Vec<DemoVolume>,
    /// Control socket of the gateway.
    pub control: PathBuf,
}

/// A volume of the demonstration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemoVolume {
    /// Its name.
    pub name: String,
    /// Namespace identifier.
    pub nsid: u32,
    /// Size.
    pub blocks: u64,
    /// Bytes of a block.
    pub block_size: u32,
}

/// A running demonstration.
pub struct Demo {
    site: Site,
    nodes: Vec<Node>,
    lines: Vec<NodeLine>,
    gateway: Gateway,
    dir: PathBuf,
    recorder: Recorder,
    clock: Clock,
}

impl Demo {
    /// Starts nodes and gateway; records and the control socket go into `dir`.
    ///
    /// # Errors
    /// What could not be started or made.
    pub fn start(site: Site, dir: &Path) -> Result<Demo, LabError> {
        let failed = |e| LabError::Io(dir.to_owned(), e);
        std::fs::create_dir_all(dir).map_err(failed)?;
        let terms = serde_json::to_vec_pretty(&site.terms()).unwrap_or_default();
        std::fs::write(dir.join("terms.json"), terms).map_err(failed)?;
        let clock = Clock::new();
        let (mut nodes, mut lines) = (Vec::new(), Vec::new());
        for index in 0..site.node.len() {
            let options = site.node_options(index, false);
            let path = dir.join(format!("node-{}.jsonl", options.name));
            let recorder = Recorder::append(&path).map_err(|e| LabError::Io(path, e))?;
            let node = Node::start(options, recorder)?;
            lines.push(site.node_line(index, node.address(), 0));
            nodes.push(node);
        }
        let control = dir.join("gateway.sock");
        let options = site.gateway_options(0, clock.now() as u64, lines.clone(), Some(control))?;
        let gateway = Gateway::start(options)?;
        let recorder = Recorder::append(&dir.join("day.jsonl")).map_err(failed)?;
        let now = clock.now();
        lines.iter().for_each(|l| recorder.write(&listed(now, &site.gateway[0].name, l)));
        Ok(Demo { site, nodes, lines, gateway, dir: dir.to_owned(), recorder, clock })
    }

    /// How to reach it.
    pub fn ready(&self) -> DemoReady {
        let volume = |v: &settings::Volume| DemoVolume {
            name: v.name.clone(),
            nsid: v.nsid,
            blocks: v.blocks,
            block_size: v.block_size,
        };
        DemoReady {
            address: self.gateway.address(),
            nqn: self.site.site.subsystem.clone(),
            volumes: self.site.volume.iter().map(volume).collect(),
            control: self.dir.join("gateway.sock"),
        }
    }

    /// The gateway's state.
    ///
    /// # Errors
    /// It has stopped.
    pub fn status(&self) -> Result<Status, LabError> {
        match self.gateway.ask(ControlRequest::Status)? {
            ControlAnswer::Status(status) => Ok(*status),
            _ => Err(gateway::GatewayError::Stopped.into()),
        }
    }

    /// Plays the site's day with its clients and troubles, telling how it goes; then stops and judges it.
    ///
    /// # Errors
    /// Records that cannot be made or read.
    pub fn play(mut self, tell: &mut dyn FnMut(&str)) -> Result<(Report, Summary, Status), LabError> {
        let gateways = vec![(self.site.gateway[0].name.clone(), self.gateway.address())];
        let mut threads = Vec::new();
        let mut clients: Vec<Arc<Client>> = Vec::new();
        for (index, client) in self.site.client.iter().enumerate() {
            let path = self.dir.join(format!("clients-{}.jsonl", client.name));
            let recorder = Recorder::append(&path).map_err(|e| LabError::Io(path, e))?;
            let client = Arc::new(Client::new(self.site.client_options(index, &gateways), recorder));
            clients.push(client.clone());
            threads.push(std::thread::spawn(move || client.run()));
        }
        let (start, mut next) = (Instant::now(), Duration::from_secs(1));
        let mut changes = timeline(&self.site).into_iter().peekable();
        while threads.iter().any(|t| !t.is_finished()) {
            let at = start.elapsed();
            while let Some((_, change)) = changes.next_if(|c| c.0 <= at) {
                tell(&format!("        {}", change.words()));
                self.change(&change)?;
            }
            if at >= next {
                next += Duration::from_secs(1);
                tell(&self.line(at)?);
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let mut summary = Summary::default();
        for one in threads.into_iter().filter_map(|t| t.join().ok()) {
            summary.add(&one);
        }
        let status = self.status()?;
        self.gateway.stop();
        let report = judge(&Day::read(&self.dir)?);
        Ok((report, summary, status))
    }

    /// Stops the gateway, having answered all. Returns whether it did so in time.
    pub fn stop(&self) -> bool {
        self.gateway.stop()
    }

    fn line(&self, at: Duration) -> Result<String, LabError> {
        let s = self.status()?;
        let node = |n: &gateway::NodeStatus| {
            let mark = match (n.state, n.link.as_str()) {
                (NodeLineState::Draining, _) => "drain",
                (NodeLineState::Gone, _) => "gone",
                (_, "up") => "up",
                _ => "down",
            };
            format!("{}:{mark}/{}", n.name.trim_start_matches("node"), n.out)
        };
        let nodes: Vec<String> = s.nodes.iter().map(node).collect();
        Ok(format!(
            "{:3} s  served {:5}  refused {:4}  failed {:3}  open {:3}   nodes {}",
            at.as_secs(),
            s.served,
            s.refused,
            s.failed,
            s.open,
            nodes.join(" ")
        ))
    }

    fn change(&mut self, change: &Change) -> Result<(), LabError> {
        match change {
            Change::Fault(name, fault) => {
                let index = self.site.node.iter().position(|n| &n.name == name);
                if let Some(node) = index.and_then(|i| self.nodes.get(i)) {
                    node.fault(*fault);
                }
            }
            Change::List(name, state) => {
                let Some(index) = self.site.node.iter().position(|n| &n.name == name) else { return Ok(()) };
                let line = &mut self.lines[index];
                (line.state, line.started) = (*state, self.nodes[index].status().started);
                let request = ControlRequest::Nodes { replace_all: false, lines: vec![line.clone()] };
                if let ControlAnswer::Done(t) = self.gateway.ask(request)? {
                    self.recorder.write(&listed(t, &self.site.gateway[0].name, line));
                }
            }
            _ => tracing::warn!("the demonstration plays no troubles of gateways or clients"),
        }
        Ok(())
    }

    /// The clock of its records.
    pub fn clock(&self) -> Clock {
        self.clock
    }
}
