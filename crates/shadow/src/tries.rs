//! Tries that are out: which node, how many, how often.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::counts::Why;
use crate::digest::Digest;
use crate::options::ShadowOptions;
use crate::slice::{Place, Range};

/// Names a try within one instance of the shadow; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TryId(pub u64);

/// What a try came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tried {
    /// The node answered with data.
    Data(Digest),
    /// The node answered with an error, or its connection broke.
    Failed,
    /// Nothing came within the patience.
    TimedOut,
    /// It was not sent: no way to the node, or the caller had something better to do.
    NotSent,
}

/// A read and its try.
#[derive(Clone, Debug)]
pub(crate) struct Pair {
    pub(crate) place: Place,
    pub(crate) range: Range,
    pub(crate) node: String,
    pub(crate) to_node: String,
    pub(crate) began: Micros,
    pub(crate) read_ended: Micros,
    pub(crate) sent: Micros,
    pub(crate) digest: Digest,
}

/// Sends to one node. It starts empty, so that a gateway that is started again and again sends no more than one that stays.
struct Bucket {
    tokens: f64,
    at: Micros,
}

pub(crate) struct Tries {
    /// Tokens a microsecond, and how many are saved up.
    rate: f64,
    burst: f64,
    most_out: usize,
    most_out_node: usize,
    patience: Micros,
    nodes: BTreeMap<u32, Vec<String>>,
    buckets: BTreeMap<String, Bucket>,
    out: BTreeMap<TryId, Pair>,
    next: u64,
}

impl Tries {
    /// Numbers go on from a drawn one: the end of an earlier instance's try ends none of this one's.
    pub(crate) fn new(options: &ShadowOptions, first: u64) -> Tries {
        let rate = options.node_rate / options.members.max(1) as f64;
        let rate = if rate.is_finite() { rate.max(0.0) } else { 0.0 };
        Tries {
            rate: rate / 1e6,
            burst: (rate * 0.1).max(1.0),
            most_out: options.most_out,
            most_out_node: options.most_out_node,
            patience: options.patience.max(1),
            nodes: BTreeMap::new(),
            buckets: BTreeMap::new(),
            out: BTreeMap::new(),
            next: first,
        }
    }

    /// Nodes that may be tried, by shard.
    pub(crate) fn set_nodes(&mut self, now: Micros, nodes: Vec<(u32, String)>) {
        let named: BTreeSet<&String> = nodes.iter().map(|(_, node)| node).collect();
        // Danger: a node that comes and goes must not be given a full bucket each time. A new one is empty.
        self.buckets.retain(|node, _| named.contains(node));
        for node in named {
            if !self.buckets.contains_key(node) {
                self.buckets.insert(node.clone(), Bucket { tokens: 0.0, at: now });
            }
        }
        self.nodes.clear();
        for (shard, node) in nodes {
            self.nodes.entry(shard).or_default().push(node);
        }
    }

    /// Whether a shard has a node that may be tried.
    pub(crate) fn is_there(&self, shard: u32) -> bool {
        self.nodes.get(&shard).is_some_and(|nodes| !nodes.is_empty())
    }

    /// Takes a token of a node of this shard, other than the one that was read from.
    pub(crate) fn choose(&mut self, now: Micros, shard: u32, not: &str) -> Result<String, Why> {
        let nodes = self.nodes.get(&shard).filter(|nodes| !nodes.is_empty()).ok_or(Why::NoNode)?;
        if self.out.len() >= self.most_out {
            return Err(Why::Out);
        }
        let mut why = Why::SamePlace;
        for turn in 0..nodes.len() {
            let node = &nodes[(turn + self.next as u32 as usize) % nodes.len()];
            if node == not {
                continue;
            }
            if self.out.values().filter(|pair| pair.to_node == *node).count() >= self.most_out_node {
                why = Why::Out;
                continue;
            }
            let Some(bucket) = self.buckets.get_mut(node) else { continue };
            let passed = now.saturating_sub(bucket.at).max(0) as f64;
            bucket.tokens = (bucket.tokens + passed * self.rate).min(self.burst);
            bucket.at = bucket.at.max(now);
            if bucket.tokens >= 1.0 {
                bucket.tokens -= 1.0;
                return Ok(node.clone());
            }
            why = Why::Rate;
        }
        Err(why)
    }

    pub(crate) fn begin(&mut self, pair: Pair) -> TryId {
        self.next = self.next.wrapping_add(1);
        let id = TryId(self.next);
        self.out.insert(id, pair);
        id
    }

    pub(crate) fn end(&mut self, id: TryId) -> Option<Pair> {
        self.out.remove(&id)
    }

    /// When one is given up whose end was not told; the caller has the patience to tell it in.
    fn given_up(&self, pair: &Pair) -> Micros {
        pair.sent.saturating_add(self.patience.saturating_mul(2))
    }

    /// Those whose end was not told in time.
    pub(crate) fn overdue(&mut self, now: Micros) -> Vec<Pair> {
        let late = self.out.iter().filter(|(_, pair)| self.given_up(pair) <= now).map(|(id, _)| *id);
        let late: Vec<TryId> = late.collect();
        late.iter().filter_map(|id| self.out.remove(id)).collect()
    }

    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.out.values().map(|pair| self.given_up(pair)).min()
    }

    pub(crate) fn out(&self) -> usize {
        self.out.len()
    }
}
