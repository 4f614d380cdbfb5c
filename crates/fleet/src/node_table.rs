//! Merges all gateways' observations of nodes.
//!
//! The later of two starts wins and discards observations of the earlier. The remaining warm-up is the minimum reported for
//! that start: message delay only makes a reported remainder too large, and a returning copy must not prolong it. A report of
//! silence belongs to its witness, which numbers it; it expires unless renewed.

use std::collections::{BTreeMap, BTreeSet};

use peer::{Life, PeerName};
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::node_observation::{NodeFact, NodeSight};

/// Maximum bytes of a node's name.
const MAX_NODE_NAME_BYTES: usize = 256;
/// Periods until a witness's report expires, and the interval at which a witness renews its own.
const REPORT_TTL_PERIODS: Micros = 40;
const REPORT_RENEWAL_PERIODS: Micros = 10;

/// A witness's report about a node, as encoded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EncodedReport {
    #[serde(rename = "b")]
    by: PeerName,
    #[serde(rename = "i")]
    incarnation: u64,
    #[serde(rename = "k")]
    nonce: u64,
    #[serde(rename = "q")]
    number: u64,
    #[serde(rename = "y")]
    silent: bool,
    #[serde(rename = "a")]
    age: Micros,
}

/// A node as encoded; `reports` may be a subset.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EncodedNode {
    #[serde(rename = "n")]
    node: String,
    #[serde(rename = "s")]
    started: i64,
    #[serde(rename = "c", default)]
    cold_for: Micros,
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    reports: Vec<EncodedReport>,
}

impl EncodedNode {
    /// Removes all reports, leaving the start.
    pub(crate) fn clear_reports(&mut self) {
        self.reports.clear();
    }
}

/// A change to a node's entry, to be gossiped.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum NodeUpdate {
    Start(String),
    Report(String, PeerName),
}

#[derive(Clone, Debug)]
struct SilenceReport {
    /// The witness's life (incarnation, nonce) and its number for this report.
    rank: (u64, u64, u64),
    silent: bool,
    reported_at: Micros,
}

#[derive(Clone, Debug)]
struct Node {
    started: i64,
    cold_until: Micros,
    reports: BTreeMap<PeerName, SilenceReport>,
}

impl Node {
    fn is_idle(&self, now: Micros) -> bool {
        self.cold_until <= now && self.reports.values().all(|w| !w.silent)
    }
}

pub(crate) struct NodeTable {
    nodes: BTreeMap<String, Node>,
    max_nodes: usize,
    period: Micros,
    /// Sequence number of this gateway's own reports.
    number: u64,
}

impl NodeTable {
    pub(crate) fn new(max_nodes: usize, period: Micros) -> NodeTable {
        NodeTable { nodes: BTreeMap::new(), max_nodes, period, number: 0 }
    }

    /// Makes room for a node by dropping one that is neither cold nor silent.
    fn make_room(&mut self, now: Micros, node: &str) -> bool {
        if self.nodes.contains_key(node) || self.nodes.len() < self.max_nodes {
            return true;
        }
        let idle = self.nodes.iter().find(|(_, n)| n.is_idle(now)).map(|(name, _)| name.clone());
        idle.is_some_and(|name| self.nodes.remove(&name).is_some())
    }

    /// Merges a start and its remaining warm-up. Returns whether the start is later than the known one, or `None` if it is
    /// older or cannot be stored.
    fn merge_start(&mut self, now: Micros, name: &str, started: i64, cold_for: Micros) -> Option<bool> {
        if name.len() > MAX_NODE_NAME_BYTES || !self.make_room(now, name) {
            return None;
        }
        let cold_until = now.saturating_add(cold_for.max(0));
        let fresh = || Node { started, cold_until, reports: BTreeMap::new() };
        let node = match self.nodes.get_mut(name) {
            Some(node) if node.started > started => return None,
            Some(node) if node.started == started => {
                node.cold_until = node.cold_until.min(cold_until);
                return Some(false);
            }
            Some(node) => node,
            None => self.nodes.entry(name.to_owned()).or_insert_with(fresh),
        };
        *node = fresh();
        Some(true)
    }

    /// Applies this gateway's own observation and returns the changes.
    pub(crate) fn observe(
        &mut self,
        now: Micros,
        own: &PeerName,
        life: Life,
        observation: &NodeSight,
    ) -> Vec<NodeUpdate> {
        let Some(is_later_start) =
            self.merge_start(now, &observation.node, observation.started, observation.cold_for)
        else {
            return Vec::new();
        };
        let mut updates = Vec::new();
        if is_later_start {
            updates.push(NodeUpdate::Start(observation.node.clone()));
        }
        let silent = observation.silent_for > 0;
        let Some(node) = self.nodes.get_mut(&observation.node) else { return updates };
        let report = node.reports.get(own);
        if report.map_or(silent, |w| w.silent != silent) {
            self.number += 1;
            let rank = (life.incarnation.0, life.nonce.0, self.number);
            node.reports.insert(own.clone(), SilenceReport { rank, silent, reported_at: now });
            updates.push(NodeUpdate::Report(observation.node.clone(), own.clone()));
        }
        updates
    }

    /// Merges a node entry received from another gateway and returns the changes.
    pub(crate) fn merge(
        &mut self,
        now: Micros,
        own: &PeerName,
        encoded: EncodedNode,
        knows: impl Fn(&PeerName) -> bool,
    ) -> Vec<NodeUpdate> {
        let Some(is_later_start) = self.merge_start(now, &encoded.node, encoded.started, encoded.cold_for)
        else {
            return Vec::new();
        };
        let mut updates = Vec::new();
        if is_later_start {
            updates.push(NodeUpdate::Start(encoded.node.clone()));
        }
        let ttl = REPORT_TTL_PERIODS * self.period;
        let Some(node) = self.nodes.get_mut(&encoded.node) else { return updates };
        for report in encoded.reports {
            // Reports under this gateway's own name are only made here, never accepted from another.
            if report.by == *own || !knows(&report.by) || !(0..ttl).contains(&report.age) {
                continue;
            }
            let rank = (report.incarnation, report.nonce, report.number);
            let reported_at = now - report.age;
            match node.reports.get_mut(&report.by) {
                Some(known) if known.rank > rank => {}
                Some(known) if known.rank == rank => known.reported_at = known.reported_at.min(reported_at),
                _ => {
                    node.reports.insert(
                        report.by.clone(),
                        SilenceReport { rank, silent: report.silent, reported_at },
                    );
                    updates.push(NodeUpdate::Report(encoded.node.clone(), report.by));
                }
            }
        }
        updates
    }

    /// Expires old reports and renews this gateway's own; returns the renewed ones.
    pub(crate) fn renew_reports(&mut self, now: Micros, own: &PeerName, life: Life) -> Vec<NodeUpdate> {
        let (ttl, renewal) = (REPORT_TTL_PERIODS * self.period, REPORT_RENEWAL_PERIODS * self.period);
        let mut updates = Vec::new();
        for (name, node) in &mut self.nodes {
            node.reports.retain(|by, report| now - report.reported_at < ttl || by == own && report.silent);
            if let Some(report) = node.reports.get_mut(own)
                && report.silent
                && now - report.reported_at >= renewal
            {
                self.number += 1;
                report.rank = (life.incarnation.0, life.nonce.0, self.number);
                report.reported_at = now;
                updates.push(NodeUpdate::Report(name.clone(), own.clone()));
            }
        }
        updates
    }

    /// Encodes a node as of now, with this witness's report only, or with all reports.
    pub(crate) fn encode(&self, now: Micros, name: &str, by: Option<&PeerName>) -> Option<EncodedNode> {
        let node = self.nodes.get(name)?;
        let chosen = node.reports.iter().filter(|(witness, _)| by.is_none_or(|by| by == *witness));
        let reports = chosen.map(|(by, report)| EncodedReport {
            by: by.clone(),
            incarnation: report.rank.0,
            nonce: report.rank.1,
            number: report.rank.2,
            silent: report.silent,
            age: now - report.reported_at,
        });
        Some(EncodedNode {
            node: name.to_owned(),
            started: node.started,
            cold_for: (node.cold_until - now).max(0),
            reports: reports.collect(),
        })
    }

    /// Every start and every report as a separate update.
    pub(crate) fn all_updates(&self) -> Vec<NodeUpdate> {
        let reports = |(name, node): (&String, &Node)| -> Vec<NodeUpdate> {
            let start = std::iter::once(NodeUpdate::Start(name.clone()));
            start.chain(node.reports.keys().map(|by| NodeUpdate::Report(name.clone(), by.clone()))).collect()
        };
        self.nodes.iter().flat_map(reports).collect()
    }

    /// The public description of all nodes.
    pub(crate) fn facts(&self, now: Micros) -> Vec<NodeFact> {
        let fact = |(name, node): (&String, &Node)| NodeFact {
            node: name.clone(),
            started: node.started,
            cold_for: (node.cold_until - now).max(0),
            silent_for: node.reports.iter().filter(|(_, w)| w.silent).map(|(by, _)| by.clone()).collect(),
        };
        self.nodes.iter().map(fact).collect()
    }

    /// Digest of starts and silent reports, without ages and renewals.
    pub(crate) fn digest(&self) -> u64 {
        if self.nodes.is_empty() {
            return 0;
        }
        let mut hasher = blake3::Hasher::new();
        for (name, node) in &self.nodes {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
            hasher.update(&node.started.to_le_bytes());
            let silent: BTreeSet<_> =
                node.reports.iter().filter(|(_, w)| w.silent).map(|(by, _)| by).collect();
            hasher.update(&(silent.len() as u64).to_le_bytes());
            for by in silent {
                hasher.update(&(by.0.len() as u64).to_le_bytes());
                hasher.update(by.0.as_bytes());
            }
        }
        hasher.finalize().as_bytes().iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}
