//! The director of a day: starts its processes and clients, and carries out each change at its time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use gateway::NodeLine;
use load::{Client, Summary};
use records::{Clock, DayLine, Recorder};
use settings::{Site, TroubleKind};

use crate::LabError;
use crate::feed::{Feed, listed};
use crate::ground::{GatewayStart, Ground};
use crate::net::Net;
use crate::process::Process;
use crate::timeline::timeline;

pub(crate) struct RunningGateway {
    pub(crate) process: Option<Process>,
    pub(crate) feed: Feed,
}

pub(crate) struct Director<'a> {
    pub(crate) site: &'a Site,
    pub(crate) ground: Ground,
    pub(crate) clock: Clock,
    pub(crate) recorder: Arc<Recorder>,
    /// None while its power is off.
    pub(crate) nodes: BTreeMap<String, Option<Process>>,
    /// Nodes that keep their blocks on a disk: those whose power goes in the course of the day.
    pub(crate) disks: BTreeSet<String>,
    /// What the list says now, by node.
    pub(crate) list: BTreeMap<String, NodeLine>,
    pub(crate) gateways: BTreeMap<String, RunningGateway>,
    pub(crate) clients: Vec<(String, Arc<Client>)>,
    /// The links between all of them, where the day has a relay.
    pub(crate) net: Option<Net>,
    /// Gateways told to leave, until they have; one that is to start again waits for its former self.
    pub(crate) leaving: BTreeMap<String, JoinHandle<()>>,
    pub(crate) late_starts: Vec<String>,
    /// Processes that stand still, and the faults that they hear of when they go on.
    pub(crate) frozen: BTreeMap<String, Vec<emulator::Fault>>,
    /// Gateways that have left for good.
    pub(crate) departed: BTreeSet<String>,
    pub(crate) stuck: Vec<String>,
    pub(crate) tell: &'a mut dyn FnMut(&str),
}

impl<'a> Director<'a> {
    pub(crate) fn new(
        site: &'a Site,
        ground: Ground,
        tell: &'a mut dyn FnMut(&str),
    ) -> Result<Director<'a>, LabError> {
        let day_file = ground.out.join("day.jsonl");
        let recorder = Recorder::append(&day_file).map_err(|e| LabError::Io(day_file, e))?;
        let powers = site.trouble.iter().filter(|t| t.what == TroubleKind::Power);
        let disks = powers.flat_map(|t| t.of.iter().cloned()).collect();
        Ok(Director {
            site,
            ground,
            clock: Clock::new(),
            recorder: Arc::new(recorder),
            nodes: BTreeMap::new(),
            disks,
            list: BTreeMap::new(),
            gateways: BTreeMap::new(),
            clients: Vec::new(),
            net: None,
            leaving: BTreeMap::new(),
            late_starts: Vec::new(),
            frozen: BTreeMap::new(),
            departed: BTreeSet::new(),
            stuck: Vec::new(),
            tell,
        })
    }

    /// Starts all that is there from the start.
    pub(crate) fn start(&mut self) -> Result<(), LabError> {
        if self.site.day.as_ref().is_some_and(|d| d.relay) {
            self.net = Some(Net::start(self.site, &self.ground)?);
        }
        for (index, node) in self.site.node.iter().enumerate() {
            let address = self.start_node(&node.name, false)?;
            self.list.insert(node.name.clone(), self.site.node_line(index, address, 0));
        }
        let joins = self.site.joins();
        for gateway in self.site.gateway.iter().filter(|g| !joins.contains(g.name.as_str())) {
            self.start_gateway(&gateway.name)?;
        }
        (self.tell)(&format!("{} nodes and {} gateways are up", self.nodes.len(), self.gateways.len()));
        Ok(())
    }

    /// Starts a node; links lead to it from then on.
    pub(crate) fn start_node(&mut self, name: &str, cold: bool) -> Result<SocketAddr, LabError> {
        let process = self.ground.node(name, self.disks.contains(name), cold)?;
        let address = process.said.address;
        if let Some(net) = &self.net {
            net.lead(name, |_| address)?;
        }
        self.nodes.insert(name.to_owned(), Some(process));
        Ok(address)
    }

    /// The list as one gateway is told it: nodes are where its links to them begin.
    pub(crate) fn line_for(&self, gateway: &str, line: &NodeLine) -> NodeLine {
        let by_link = self.net.as_ref().and_then(|net| net.address(gateway, &line.name));
        NodeLine { address: by_link.unwrap_or(line.address), ..line.clone() }
    }

    /// Starts a gateway; where its clients find it.
    pub(crate) fn start_gateway(&mut self, name: &str) -> Result<SocketAddr, LabError> {
        let lines: Vec<NodeLine> = self.list.values().map(|l| self.line_for(name, l)).collect();
        let now = self.clock.now();
        let seed = (now as u64) ^ self.site.day.as_ref().map_or(0, |d| d.seed);
        let is_gateway = |n: &str| self.site.gateway_index(n).is_some();
        let peers = self.net.as_ref().map(|net| {
            net.all_from(name).filter(|(to, _)| is_gateway(to)).map(|(to, a)| (to.clone(), a)).collect()
        });
        let process = self.ground.gateway(&GatewayStart { name, seed, list: &lines, peers })?;
        let (address, peer) = (process.said.address, process.said.peer);
        if let Some(net) = &self.net {
            net.lead(name, |from| peer.filter(|_| is_gateway(from)).unwrap_or(address))?;
        }
        let t = self.clock.now();
        self.recorder.write(&DayLine::Up { t, gateway: name.to_owned() });
        lines.iter().for_each(|line| self.recorder.write(&listed(t, name, line)));
        let feed = Feed::new(name.to_owned(), process.control.clone(), self.recorder.clone());
        self.gateways.insert(name.to_owned(), RunningGateway { process: Some(process), feed });
        Ok(address)
    }

    /// Where a client finds each gateway; those that are not up yet are nowhere, or behind their link.
    fn addresses_for(&self, client: &str) -> Vec<(String, SocketAddr)> {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let up = |name: &str| self.gateways.get(name).and_then(|g| g.process.as_ref());
        let by_link = |name: &str| self.net.as_ref().and_then(|net| net.address(client, name));
        let at = |name: &str| by_link(name).or(up(name).map(|p| p.said.address)).unwrap_or(nowhere);
        self.site.gateway.iter().map(|g| (g.name.clone(), at(&g.name))).collect()
    }

    /// Lets the clients offer their load while the day's changes are carried out.
    pub(crate) fn play(&mut self) -> Result<Summary, LabError> {
        let mut threads = Vec::new();
        for (index, client) in self.site.client.iter().enumerate() {
            let path = self.ground.out.join(format!("clients-{}.jsonl", client.name));
            let recorder = Recorder::append(&path).map_err(|e| LabError::Io(path, e))?;
            let options = self.site.client_options(index, &self.addresses_for(&client.name));
            let client = Arc::new(Client::new(options, recorder));
            self.clients.push((self.site.client[index].name.clone(), client.clone()));
            threads.push(std::thread::spawn(move || client.run()));
        }
        self.changes()?;
        let mut summary = Summary::default();
        for thread in threads {
            if let Ok(one) = thread.join() {
                summary.add(&one);
            }
        }
        Ok(summary)
    }

    /// Carries out the changes at their times, and tells how the day goes once a second.
    fn changes(&mut self) -> Result<(), LabError> {
        let start = Instant::now();
        let length = Duration::from_secs_f64(self.site.day.as_ref().map_or(0.0, |d| d.seconds));
        let mut changes = timeline(self.site).into_iter().peekable();
        let mut next_tell = Duration::from_secs(1);
        loop {
            let at = start.elapsed();
            while let Some((_, change)) = changes.next_if(|c| c.0 <= at) {
                self.change(&change)?;
            }
            self.start_late()?;
            if at >= next_tell {
                next_tell += Duration::from_secs(1);
                self.tell_progress(at);
            }
            if at >= length && changes.peek().is_none() {
                return Ok(());
            }
            let next = changes.peek().map_or(next_tell, |c| c.0.min(next_tell));
            std::thread::sleep(next.saturating_sub(start.elapsed()).min(Duration::from_millis(100)));
        }
    }

    /// Starts the gateways that are due and whose former selves are gone: there are never two of one name.
    fn start_late(&mut self) -> Result<(), LabError> {
        for name in std::mem::take(&mut self.late_starts) {
            if self.leaving.get(&name).is_some_and(|l| !l.is_finished()) {
                self.late_starts.push(name);
                continue;
            }
            if self.gateways.get(&name).is_some_and(|g| g.process.is_some()) {
                continue;
            }
            let address = self.start_gateway(&name)?;
            if self.net.is_none() {
                self.clients.iter().for_each(|(_, c)| c.moved(&name, address));
            }
        }
        Ok(())
    }

    fn tell_progress(&mut self, at: Duration) {
        let mut sum = Summary::default();
        self.clients.iter().for_each(|(_, c)| sum.add(&c.so_far()));
        let told: Vec<String> = sum.told.iter().map(|(k, n)| format!("{k:?} {n}").to_lowercase()).collect();
        let line =
            format!("{:4} s  issued {}, {}, lost {}", at.as_secs(), sum.issued, told.join(", "), sum.lost);
        (self.tell)(&line);
    }

    /// The clients are done: the gateways leave by themselves, having nothing to answer.
    pub(crate) fn end(&mut self) {
        for (name, gateway) in &mut self.gateways {
            let Some(mut process) = gateway.process.take() else { continue };
            self.recorder.write(&DayLine::Down { t: self.clock.now(), gateway: name.clone(), killed: false });
            if !process.leave(Duration::from_secs(5)) {
                self.stuck.push(name.clone());
            }
        }
    }

    /// Gateways that did not leave by themselves.
    pub(crate) fn stuck(&mut self) -> Vec<String> {
        std::mem::take(&mut self.stuck)
    }
}
