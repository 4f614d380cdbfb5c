//! The records of a day, brought together.

use std::collections::{BTreeMap, BTreeSet};

use records::{ClassTerms, DayLine, Micros, Op, Terms, Told, ViewLine, VolumeTerms};

use crate::pauses::Pauses;

/// A command, as its client saw it.
#[derive(Clone, Debug)]
pub struct Command {
    /// Its name.
    pub token: u64,
    /// Name of its client.
    pub client: String,
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
    /// Gateways' views, each gateway's in the order in which it held them.
    pub views: Vec<ViewLine>,
    /// When processes stood still and links kept what was sent.
    pub(crate) pauses: Pauses,
    /// When each gateway came up, in order.
    pub(crate) ups: BTreeMap<String, Vec<Micros>>,
    /// The last line of each client.
    pub(crate) client_ends: BTreeMap<String, Micros>,
}

impl Day {
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
        self.pauses.stalls(gateway).iter().map(|s| (to.min(s.1) - from.max(s.0)).max(0)).sum()
    }

    /// The earliest moment at which its gateway may have given an answer that a client read at one.
    pub(crate) fn given(&self, c: &Command, read: Micros) -> Micros {
        self.pauses.earliest(&c.gateway, &c.client, read, self.terms.clock_slack).max(c.issued)
    }

    /// The latest moment at which its gateway may have read a command, or that its client is gone.
    pub(crate) fn reached(&self, c: &Command, sent: Micros) -> Micros {
        self.pauses.latest(&c.client, &c.gateway, sent)
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
