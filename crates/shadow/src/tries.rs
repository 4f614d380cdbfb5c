//! Shadow reads in flight: choice of the node, concurrency limits and rate limits.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::counts::Why;
use crate::digest::Digest;
use crate::options::ShadowOptions;
use crate::slice::{Place, Range};

/// Identifies a shadow read within one instance of the shadow; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TryId(pub u64);

/// Result of a shadow read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tried {
    /// The node answered with data.
    Data(Digest),
    /// The node answered with an error, or its connection broke.
    Failed,
    /// No answer arrived within the timeout.
    TimedOut,
    /// It was not sent: the node is unreachable, or the caller gave priority to other work.
    NotSent,
}

/// A client's read and its shadow read.
#[derive(Clone, Debug)]
pub(crate) struct Pair {
    pub(crate) place: Place,
    pub(crate) range: Range,
    pub(crate) node: String,
    pub(crate) candidate_node: String,
    pub(crate) began: Micros,
    pub(crate) read_ended: Micros,
    pub(crate) sent: Micros,
    pub(crate) digest: Digest,
}

/// Token bucket of the sends to one node. It starts empty, so that a gateway that restarts repeatedly sends no more than one
/// that keeps running.
struct Bucket {
    tokens: f64,
    refilled_at: Micros,
}

pub(crate) struct PendingReads {
    /// Tokens per microsecond, and the capacity of a bucket.
    rate: f64,
    burst: f64,
    most_out: usize,
    most_out_node: usize,
    timeout: Micros,
    nodes: BTreeMap<u32, Vec<String>>,
    buckets: BTreeMap<String, Bucket>,
    in_flight: BTreeMap<TryId, Pair>,
    last_id: u64,
}

impl PendingReads {
    /// Identifiers start after the random number `first`, so that the end of an earlier instance's shadow read matches none
    /// of this one's.
    pub(crate) fn new(options: &ShadowOptions, first: u64) -> PendingReads {
        let rate = options.node_rate / options.members.max(1) as f64;
        let rate = if rate.is_finite() { rate.max(0.0) } else { 0.0 };
        PendingReads {
            rate: rate / 1e6,
            burst: (rate * 0.1).max(1.0),
            most_out: options.most_out,
            most_out_node: options.most_out_node,
            timeout: options.patience.max(1),
            nodes: BTreeMap::new(),
            buckets: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            last_id: first,
        }
    }

    /// Sets the nodes that may get shadow reads, with their shards.
    pub(crate) fn set_nodes(&mut self, now: Micros, nodes: Vec<(u32, String)>) {
        let node_names: BTreeSet<&String> = nodes.iter().map(|(_, node)| node).collect();
        // A new bucket is empty: a node that repeatedly disappears and returns must not get a full one each time.
        self.buckets.retain(|node, _| node_names.contains(node));
        for node in node_names {
            if !self.buckets.contains_key(node) {
                self.buckets.insert(node.clone(), Bucket { tokens: 0.0, refilled_at: now });
            }
        }
        self.nodes.clear();
        for (shard, node) in nodes {
            self.nodes.entry(shard).or_default().push(node);
        }
    }

    /// Whether a shard has a node that may get shadow reads.
    pub(crate) fn has_node(&self, shard: u32) -> bool {
        self.nodes.get(&shard).is_some_and(|nodes| !nodes.is_empty())
    }

    /// Chooses a node of the shard other than `excluded`, from which the client read, and takes a token of its bucket.
    pub(crate) fn choose(&mut self, now: Micros, shard: u32, excluded: &str) -> Result<String, Why> {
        let nodes = self.nodes.get(&shard).filter(|nodes| !nodes.is_empty()).ok_or(Why::NoNode)?;
        if self.in_flight.len() >= self.most_out {
            return Err(Why::Out);
        }
        let mut why = Why::SamePlace;
        for offset in 0..nodes.len() {
            let node = &nodes[(offset + self.last_id as u32 as usize) % nodes.len()];
            if node == excluded {
                continue;
            }
            if self.in_flight.values().filter(|pair| pair.candidate_node == *node).count()
                >= self.most_out_node
            {
                why = Why::Out;
                continue;
            }
            let Some(bucket) = self.buckets.get_mut(node) else { continue };
            let elapsed = now.saturating_sub(bucket.refilled_at).max(0) as f64;
            bucket.tokens = (bucket.tokens + elapsed * self.rate).min(self.burst);
            bucket.refilled_at = bucket.refilled_at.max(now);
            if bucket.tokens >= 1.0 {
                bucket.tokens -= 1.0;
                return Ok(node.clone());
            }
            why = Why::Rate;
        }
        Err(why)
    }

    pub(crate) fn begin(&mut self, pair: Pair) -> TryId {
        self.last_id = self.last_id.wrapping_add(1);
        let id = TryId(self.last_id);
        self.in_flight.insert(id, pair);
        id
    }

    pub(crate) fn end(&mut self, id: TryId) -> Option<Pair> {
        self.in_flight.remove(&id)
    }

    /// When a shadow read is given up if the caller has not reported its end: after twice the timeout, as the caller itself
    /// waits for one.
    fn expires_at(&self, pair: &Pair) -> Micros {
        pair.sent.saturating_add(self.timeout.saturating_mul(2))
    }

    /// Removes and returns the shadow reads whose end was not reported in time.
    pub(crate) fn overdue(&mut self, now: Micros) -> Vec<Pair> {
        let late = self.in_flight.iter().filter(|(_, pair)| self.expires_at(pair) <= now).map(|(id, _)| *id);
        let late: Vec<TryId> = late.collect();
        late.iter().filter_map(|id| self.in_flight.remove(id)).collect()
    }

    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.in_flight.values().map(|pair| self.expires_at(pair)).min()
    }

    pub(crate) fn len(&self) -> usize {
        self.in_flight.len()
    }
}
