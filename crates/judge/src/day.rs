//! The records of a day, brought together.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use records::{ClassTerms, ClientLine, DayLine, Micros, NodeLine, Op, ReadError, Terms, Told, VolumeTerms};

/// Why a day could not be read.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// Its folder could not be read.
    #[error("cannot read {0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// Its terms are not terms.
    #[error("{0}: {1}")]
    Terms(PathBuf, serde_json::Error),
    /// Records.
    #[error(transparent)]
    Records(#[from] ReadError),
    /// The folder holds no client's records.
    #[error("{0} holds no clients-*.jsonl; is it the --out folder of a day?")]
    Empty(PathBuf),
}

/// A command, as its client saw it.
#[derive(Clone, Debug)]
pub struct Command {
    /// Its name.
    pub token: u64,
    /// Gateway.
    pub gateway: String,
    /// Connection, which keeps order.
    pub connection: u64,
    /// When it was sent.
    pub issued: Micros,
    /// What it does.
    pub op: Op,
    /// Volume.
    pub nsid: u32,
    /// First block.
    pub slba: u64,
    /// Blocks.
    pub blocks: u32,
    /// Every answer.
    pub answers: Vec<(Micros, Told)>,
    /// Tokens that a read found.
    pub found: Vec<u64>,
    /// Blocks that do not belong together.
    pub torn: u32,
    /// The connection ended first, by the client or not.
    pub lost: Option<(Micros, bool)>,
    /// An abort was asked for.
    pub abort: bool,
}

/// An attempt, as its node saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Index of the node's file.
    pub node: usize,
    /// Gateway.
    pub gateway: String,
    /// The command.
    pub token: u64,
    /// Number.
    pub n: u32,
    /// When it arrived.
    pub arrived: Micros,
    /// The earliest it may have been sent: a node that stands still reads late what came meanwhile, and a gateway that
    /// is stopped between its choice and the write sends late what it chose before.
    pub sent: Micros,
    /// What it does.
    pub op: Op,
    /// Volume.
    pub nsid: u32,
    /// First block.
    pub slba: u64,
    /// Blocks.
    pub blocks: u32,
    /// When it ran, and whether it took effect.
    pub ran: Option<(Micros, bool)>,
    /// It ran, and a cut of power took that back.
    pub undone: Option<Micros>,
    /// When it was answered, and whether with *full*.
    pub answered: Option<(Micros, bool)>,
}

/// A node's life from one start to the next.
#[derive(Clone, Debug)]
pub struct Life {
    /// Its name.
    pub name: String,
    /// Shard.
    pub shard: u32,
    /// Starts.
    pub starts: Vec<(Micros, bool)>,
    /// Units a second when warm.
    pub units_per_s: f64,
    /// When it fell over.
    pub falls: Vec<Micros>,
}

/// All records of a day.
#[derive(Clone, Debug)]
pub struct Day {
    /// Terms.
    pub terms: Terms,
    /// Commands by token.
    pub commands: BTreeMap<u64, Command>,
    /// Attempts by arrival.
    pub attempts: Vec<Attempt>,
    /// Nodes, by file.
    pub lives: Vec<Life>,
    /// The director's lines.
    pub lines: Vec<DayLine>,
    /// When each gateway's process stood still; to the end of time where it never went on.
    stalls: BTreeMap<String, Vec<(Micros, Micros)>>,
    /// When each gateway came up, in order.
    ups: BTreeMap<String, Vec<Micros>>,
}

impl Day {
    /// Reads the folder of a day: `terms.json`, `day.jsonl`, `clients-*.jsonl`, `node-*.jsonl`.
    ///
    /// # Errors
    /// What could not be read, by file and line.
    pub fn read(dir: &Path) -> Result<Day, DayError> {
        let path = dir.join("terms.json");
        let text = std::fs::read(&path).map_err(|e| DayError::Io(path.clone(), e))?;
        let terms = serde_json::from_slice(&text).map_err(|e| DayError::Terms(path, e))?;
        let entries = std::fs::read_dir(dir).map_err(|e| DayError::Io(dir.to_owned(), e))?;
        let mut files: Vec<PathBuf> = entries.filter_map(|e| e.ok().map(|e| e.path())).collect();
        files.sort();
        let named = |prefix: &str| {
            let named = move |p: &&PathBuf| {
                let name = p.file_name().and_then(|n| n.to_str()).unwrap_or_default();
                name.starts_with(prefix) && name.ends_with(".jsonl")
            };
            files.iter().filter(named).cloned().collect::<Vec<_>>()
        };
        let (clients, nodes) = (named("clients-"), named("node-"));
        if clients.is_empty() {
            return Err(DayError::Empty(dir.to_owned()));
        }
        let mut client_lines = Vec::new();
        for path in clients {
            client_lines.extend(records::read::<ClientLine>(&path)?);
        }
        let node_lines = nodes.iter().map(|p| records::read(p)).collect::<Result<_, _>>()?;
        let day = dir.join("day.jsonl");
        let lines = if day.exists() { records::read(&day)? } else { Vec::new() };
        Ok(Day::of(terms, client_lines, node_lines, lines))
    }

    /// Brings records together.
    pub fn of(
        terms: Terms,
        client_lines: Vec<ClientLine>,
        node_lines: Vec<Vec<NodeLine>>,
        lines: Vec<DayLine>,
    ) -> Day {
        let stalls = stalls(&lines);
        let mut ups: BTreeMap<String, Vec<Micros>> = BTreeMap::new();
        for line in &lines {
            if let DayLine::Up { t, gateway } = line {
                ups.entry(gateway.clone()).or_default().push(*t);
            }
        }
        let (commands, attempts, lives) = (BTreeMap::new(), Vec::new(), Vec::new());
        let mut day = Day { terms, commands, attempts, lives, lines, stalls, ups };
        for line in client_lines {
            day.client_line(line);
        }
        for lines in node_lines {
            day.node_file(lines);
        }
        day.attempts.sort_by_key(|a| (a.arrived, a.token, a.n, a.slba));
        day.gateways_stood_still();
        day
    }

    /// Danger: a gateway that is stopped between a choice and its write sends late what it chose, and booked, before.
    fn gateways_stood_still(&mut self) {
        let slack = self.terms.clock_slack;
        for a in &mut self.attempts {
            let here = self.stalls.get(&a.gateway).into_iter().flatten();
            let just_over = here.filter(|s| (s.0..=s.1.saturating_add(slack)).contains(&a.arrived));
            a.sent = just_over.map(|s| s.0).fold(a.sent, Micros::min);
        }
    }

    /// The latest moment at which a gateway may have taken each command: its first arrival at a node, or its end.
    /// Danger: a gateway that stood still takes when it goes on what its clients sent meanwhile.
    pub fn taken_by(&self) -> BTreeMap<u64, Micros> {
        let mut latest: BTreeMap<u64, Micros> = BTreeMap::new();
        for a in &self.attempts {
            let at = latest.entry(a.token).or_insert(a.arrived);
            *at = a.arrived.min(*at);
        }
        for c in self.commands.values() {
            let ends = c.answers.first().map(|x| x.0).into_iter().chain(c.lost.map(|l| l.0));
            let at = latest.entry(c.token).or_insert(Micros::MAX);
            *at = ends.fold(*at, Micros::min).max(c.issued);
        }
        latest
    }

    fn client_line(&mut self, line: ClientLine) {
        match line {
            ClientLine::Issue { t, token, gateway, connection, op, nsid, slba, blocks } => {
                self.commands.insert(
                    token,
                    Command {
                        token,
                        gateway,
                        connection,
                        issued: t,
                        op,
                        nsid,
                        slba,
                        blocks,
                        answers: Vec::new(),
                        found: Vec::new(),
                        torn: 0,
                        lost: None,
                        abort: false,
                    },
                );
            }
            ClientLine::Answer { t, token, told, found, torn, .. } => {
                if let Some(command) = self.commands.get_mut(&token) {
                    command.answers.push((t, told));
                    (command.found, command.torn) = (found, torn);
                }
            }
            ClientLine::Lost { t, token, by_client } => {
                if let Some(command) = self.commands.get_mut(&token) {
                    command.lost.get_or_insert((t, by_client));
                }
            }
            ClientLine::Abort { token, .. } => {
                if let Some(command) = self.commands.get_mut(&token) {
                    command.abort = true;
                }
            }
        }
    }

    fn node_file(&mut self, lines: Vec<NodeLine>) {
        let node = self.lives.len();
        let mut life =
            Life { name: String::new(), shard: 0, starts: Vec::new(), units_per_s: 0.0, falls: Vec::new() };
        // By token, attempt and first block: what a node may run at one time is named apart by these.
        let mut open: BTreeMap<(u64, u32, u64), usize> = BTreeMap::new();
        // Writes on its disk, by their numbers there.
        let mut numbers: BTreeMap<u64, usize> = BTreeMap::new();
        // The last time that the node stood still, or was down with its connections open.
        let (mut still, mut since) = ((Micros::MIN, Micros::MIN), None);
        let slack = self.terms.clock_slack;
        for line in lines {
            match line {
                NodeLine::Start { t, node, shard, cold, units_per_s, kept } => {
                    // What was not durable when its power went has not happened.
                    let lost = numbers.split_off(&kept.map_or(u64::MAX, |k| k + 1));
                    for index in lost.into_values() {
                        let a: &mut Attempt = &mut self.attempts[index];
                        a.undone = a.ran.take().map(|_| t);
                    }
                    (life.name, life.shard, life.units_per_s) = (node, shard, units_per_s);
                    life.starts.push((t, cold));
                }
                NodeLine::Arrive { t, began, gateway, token, attempt, op, nsid, slba, blocks } => {
                    open.insert((token, attempt, slba), self.attempts.len());
                    // A command is sent with its capsule: its data follows when the node asks for it.
                    let came = began.unwrap_or(t);
                    self.attempts.push(Attempt {
                        node,
                        gateway,
                        token,
                        n: attempt,
                        arrived: t,
                        sent: if came <= still.1.saturating_add(slack) { still.0.min(came) } else { came },
                        op,
                        nsid,
                        slba,
                        blocks,
                        ran: None,
                        undone: None,
                        answered: None,
                    });
                }
                NodeLine::Run { t, token, attempt, slba, applied, number, .. } => {
                    if let Some(&index) = open.get(&(token, attempt, slba)) {
                        self.attempts[index].ran = Some((t, applied));
                        if number > 0 {
                            numbers.insert(number, index);
                        }
                    }
                }
                NodeLine::Answer { t, token, attempt, slba, full } => {
                    if let Some(&index) = open.get(&(token, attempt, slba)) {
                        self.attempts[index].answered = Some((t, full));
                    }
                }
                NodeLine::Fell { t } => life.falls.push(t),
                NodeLine::Fault { t, fault } if fault == "Stall(true)" => since = since.or(Some(t)),
                // Coming back from the dead ends a stall too.
                NodeLine::Fault { t, fault } if fault == "Stall(false)" || fault == "Revive" => {
                    if let Some(from) = since.take() {
                        still = (from, t);
                    }
                }
                NodeLine::Down { .. } | NodeLine::Fault { .. } => {}
            }
        }
        self.lives.push(life);
    }

    /// Class of a command.
    pub fn class(&self, op: Op, nsid: u32, blocks: u32) -> Option<&ClassTerms> {
        let size = self.volume(nsid).map_or(0, |v| u64::from(v.block_size));
        let bytes = u64::from(blocks) * size;
        self.terms.classes.iter().find(|c| c.op == op && c.max_bytes.is_none_or(|most| bytes <= most))
    }

    /// Terms of a volume.
    pub fn volume(&self, nsid: u32) -> Option<&VolumeTerms> {
        self.terms.volumes.iter().find(|v| v.nsid == nsid)
    }

    /// Whether each shard was held by one node at a time: else what one wrote the other does not have.
    pub fn one_node_a_shard(&self) -> bool {
        let shards: BTreeSet<u32> = self.lives.iter().map(|l| l.shard).collect();
        shards.len() == self.lives.len()
    }

    /// Units of blocks of a volume.
    pub fn units(&self, nsid: u32, blocks: u32) -> f64 {
        let size = self.volume(nsid).map_or(0, |v| u64::from(v.block_size));
        let units = (u64::from(blocks) * size).div_ceil(self.terms.unit_bytes.max(1)).max(1) as f64;
        units.min(self.terms.most_units)
    }

    /// Requests that a command becomes: one for each run of extents on one shard; a flush, one for each shard.
    pub fn requests(&self, c: &Command) -> usize {
        let Some(v) = self.volume(c.nsid).filter(|v| v.extent_blocks > 0 && !v.shards.is_empty()) else {
            return 1;
        };
        if c.blocks == 0 {
            return v.shards.iter().collect::<BTreeSet<_>>().len();
        }
        let shard = |extent: u64| v.shards[(extent % v.shards.len() as u64) as usize];
        let last = (c.slba + u64::from(c.blocks) - 1) / v.extent_blocks;
        let extents: Vec<u32> = (c.slba / v.extent_blocks..=last).map(shard).collect();
        1 + extents.windows(2).filter(|w| w[0] != w[1]).count()
    }

    /// Whether a gateway was killed or leaving within a span, or not up: what it held then is its client's loss.
    pub fn was_down(&self, gateway: &str, from: Micros, to: Micros) -> bool {
        let slack = self.terms.clock_slack;
        self.lines.iter().any(|line| match line {
            DayLine::Down { t, gateway: g, .. } => g == gateway && (from - slack..=to + slack).contains(t),
            _ => false,
        })
    }

    /// How long a gateway's process stood still within a span: it could answer nobody then.
    pub fn stalled(&self, gateway: &str, from: Micros, to: Micros) -> Micros {
        let here = self.stalls.get(gateway).into_iter().flatten();
        here.map(|s| (to.min(s.1) - from.max(s.0)).max(0)).sum()
    }

    /// Whether a gateway had been told to leave at a time, and had not come up again.
    pub fn was_leaving(&self, gateway: &str, at: Micros) -> bool {
        let mut leaving = false;
        for line in &self.lines {
            match line {
                DayLine::Down { t, gateway: g, .. } if g == gateway && *t <= at => leaving = true,
                DayLine::Up { t, gateway: g } if g == gateway && *t <= at => leaving = false,
                _ => {}
            }
        }
        leaving
    }

    /// Which life of a gateway a moment falls into: how often it had come up by then.
    pub fn life(&self, gateway: &str, at: Micros) -> usize {
        self.ups.get(gateway).map_or(0, |ups| ups.partition_point(|&t| t <= at))
    }

    /// When a gateway could hear what happened at a time: at once, or when it went on.
    pub fn heard(&self, gateway: &str, t: Micros) -> Micros {
        let mut here = self.stalls.get(gateway).into_iter().flatten();
        here.find(|s| (s.0..s.1).contains(&t)).map_or(t, |s| s.1)
    }

    /// Whether a gateway was told of a node's start before a time. One without a list of its own counts as told.
    pub fn told_of_start(&self, gateway: &str, node: &str, start: Micros, before: Micros) -> bool {
        let mut listed = false;
        for line in &self.lines {
            if let DayLine::Listed { t, gateway: g, node: n, started, .. } = line
                && (g.as_str(), n.as_str()) == (gateway, node)
            {
                listed = true;
                if *t <= before && (started - start).abs() <= self.terms.clock_slack {
                    return true;
                }
            }
        }
        !listed
    }
}

fn stalls(lines: &[DayLine]) -> BTreeMap<String, Vec<(Micros, Micros)>> {
    let mut stalls: BTreeMap<String, Vec<(Micros, Micros)>> = BTreeMap::new();
    for line in lines {
        match line {
            DayLine::Stall { t, gateway, on: true } => {
                let here = stalls.entry(gateway.clone()).or_default();
                if here.last().is_none_or(|s| s.1 < Micros::MAX) {
                    here.push((*t, Micros::MAX));
                }
            }
            // A killed one does not go on; another process takes its name.
            DayLine::Stall { t, gateway, on: false } | DayLine::Down { t, gateway, killed: true } => {
                if let Some(last) = stalls.get_mut(gateway).and_then(|s| s.last_mut()) {
                    last.1 = last.1.min(*t);
                }
            }
            _ => {}
        }
    }
    stalls
}
