//! What all gateways have seen of the nodes, merged.
//!
//! Of two starts the later one wins, and voids what was seen of the earlier. What is left of a node's warming is the least
//! that anybody says of that start: ages only lengthen on their way, and a copy that comes back must not prolong it. A
//! silence is its witness's own word, numbered by it; it runs out when it is not renewed.

use std::collections::{BTreeMap, BTreeSet};

use peer::{Life, PeerName};
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::sight::{NodeFact, NodeSight};

/// Bytes of a node's name at most.
const MOST_NAME: usize = 256;
/// Periods that a witness's word holds unless it is renewed, and after which it renews its own.
const TERM: Micros = 40;
const RENEW: Micros = 10;

/// A witness's word about a node, as it is written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Silence {
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

/// A node as it is written; `words` may be some of all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct NodeTold {
    #[serde(rename = "n")]
    node: String,
    #[serde(rename = "s")]
    started: i64,
    #[serde(rename = "c", default)]
    cold_for: Micros,
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    words: Vec<Silence>,
}

impl NodeTold {
    /// Leaves only the start.
    pub(crate) fn drop_words(&mut self) {
        self.words.clear();
    }
}

/// Something new of a node, to be passed on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Sighted {
    Start(String),
    Word(String, PeerName),
}

#[derive(Clone, Debug)]
struct Word {
    /// The witness's life and its number for this word.
    rank: (u64, u64, u64),
    silent: bool,
    said: Micros,
}

#[derive(Clone, Debug)]
struct Node {
    started: i64,
    cold_until: Micros,
    words: BTreeMap<PeerName, Word>,
}

impl Node {
    fn is_idle(&self, now: Micros) -> bool {
        self.cold_until <= now && self.words.values().all(|w| !w.silent)
    }
}

pub(crate) struct Sights {
    nodes: BTreeMap<String, Node>,
    most: usize,
    period: Micros,
    /// Numbers this gateway's own words.
    number: u64,
}

impl Sights {
    pub(crate) fn new(most: usize, period: Micros) -> Sights {
        Sights { nodes: BTreeMap::new(), most, period, number: 0 }
    }

    /// Makes room for a node by dropping one that is neither cold nor silent.
    fn has_room(&mut self, now: Micros, node: &str) -> bool {
        if self.nodes.contains_key(node) || self.nodes.len() < self.most {
            return true;
        }
        let idle = self.nodes.iter().find(|(_, n)| n.is_idle(now)).map(|(name, _)| name.clone());
        idle.is_some_and(|name| self.nodes.remove(&name).is_some())
    }

    /// Takes a start and its coldness; whether it is a later start than was known.
    fn start(&mut self, now: Micros, name: &str, started: i64, cold_for: Micros) -> Option<bool> {
        if name.len() > MOST_NAME || !self.has_room(now, name) {
            return None;
        }
        let cold_until = now.saturating_add(cold_for.max(0));
        let fresh = || Node { started, cold_until, words: BTreeMap::new() };
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

    /// Takes this gateway's own sight; what is new.
    pub(crate) fn saw(&mut self, now: Micros, own: &PeerName, life: Life, sight: &NodeSight) -> Vec<Sighted> {
        let Some(later) = self.start(now, &sight.node, sight.started, sight.cold_for) else {
            return Vec::new();
        };
        let mut news = Vec::new();
        if later {
            news.push(Sighted::Start(sight.node.clone()));
        }
        let silent = sight.silent_for > 0;
        let Some(node) = self.nodes.get_mut(&sight.node) else { return news };
        let word = node.words.get(own);
        if word.map_or(silent, |w| w.silent != silent) {
            self.number += 1;
            let rank = (life.incarnation.0, life.nonce.0, self.number);
            node.words.insert(own.clone(), Word { rank, silent, said: now });
            news.push(Sighted::Word(sight.node.clone(), own.clone()));
        }
        news
    }

    /// Takes what another told; what is new.
    pub(crate) fn merge(
        &mut self,
        now: Micros,
        own: &PeerName,
        told: NodeTold,
        knows: impl Fn(&PeerName) -> bool,
    ) -> Vec<Sighted> {
        let Some(later) = self.start(now, &told.node, told.started, told.cold_for) else {
            return Vec::new();
        };
        let mut news = Vec::new();
        if later {
            news.push(Sighted::Start(told.node.clone()));
        }
        let term = TERM * self.period;
        let Some(node) = self.nodes.get_mut(&told.node) else { return news };
        for word in told.words {
            // A word under this gateway's name is its own to renew, never taken from another.
            if word.by == *own || !knows(&word.by) || !(0..term).contains(&word.age) {
                continue;
            }
            let rank = (word.incarnation, word.nonce, word.number);
            let said = now - word.age;
            match node.words.get_mut(&word.by) {
                Some(known) if known.rank > rank => {}
                Some(known) if known.rank == rank => known.said = known.said.min(said),
                _ => {
                    node.words.insert(word.by.clone(), Word { rank, silent: word.silent, said });
                    news.push(Sighted::Word(told.node.clone(), word.by));
                }
            }
        }
        news
    }

    /// Lets words run out and renews this gateway's own; what is new.
    pub(crate) fn renew(&mut self, now: Micros, own: &PeerName, life: Life) -> Vec<Sighted> {
        let (term, renew) = (TERM * self.period, RENEW * self.period);
        let mut news = Vec::new();
        for (name, node) in &mut self.nodes {
            node.words.retain(|by, word| now - word.said < term || by == own && word.silent);
            if let Some(word) = node.words.get_mut(own)
                && word.silent
                && now - word.said >= renew
            {
                self.number += 1;
                word.rank = (life.incarnation.0, life.nonce.0, self.number);
                word.said = now;
                news.push(Sighted::Word(name.clone(), own.clone()));
            }
        }
        news
    }

    /// A node as it is told now, with the words of these witnesses, or all.
    pub(crate) fn told(&self, now: Micros, name: &str, by: Option<&PeerName>) -> Option<NodeTold> {
        let node = self.nodes.get(name)?;
        let chosen = node.words.iter().filter(|(witness, _)| by.is_none_or(|by| by == *witness));
        let words = chosen.map(|(by, word)| Silence {
            by: by.clone(),
            incarnation: word.rank.0,
            nonce: word.rank.1,
            number: word.rank.2,
            silent: word.silent,
            age: now - word.said,
        });
        Some(NodeTold {
            node: name.to_owned(),
            started: node.started,
            cold_for: (node.cold_until - now).max(0),
            words: words.collect(),
        })
    }

    /// All that can be told, each start and each word by itself.
    pub(crate) fn all(&self) -> Vec<Sighted> {
        let words = |(name, node): (&String, &Node)| -> Vec<Sighted> {
            let start = std::iter::once(Sighted::Start(name.clone()));
            start.chain(node.words.keys().map(|by| Sighted::Word(name.clone(), by.clone()))).collect()
        };
        self.nodes.iter().flat_map(words).collect()
    }

    /// Nodes as users see them.
    pub(crate) fn facts(&self, now: Micros) -> Vec<NodeFact> {
        let fact = |(name, node): (&String, &Node)| NodeFact {
            node: name.clone(),
            started: node.started,
            cold_for: (node.cold_until - now).max(0),
            silent_for: node.words.iter().filter(|(_, w)| w.silent).map(|(by, _)| by.clone()).collect(),
        };
        self.nodes.iter().map(fact).collect()
    }

    /// A digest of starts and words, without their ages and renewals.
    pub(crate) fn digest(&self) -> u64 {
        if self.nodes.is_empty() {
            return 0;
        }
        let mut hasher = blake3::Hasher::new();
        for (name, node) in &self.nodes {
            hasher.update(&(name.len() as u64).to_le_bytes());
            hasher.update(name.as_bytes());
            hasher.update(&node.started.to_le_bytes());
            let silent: BTreeSet<_> = node.words.iter().filter(|(_, w)| w.silent).map(|(by, _)| by).collect();
            hasher.update(&(silent.len() as u64).to_le_bytes());
            for by in silent {
                hasher.update(&(by.0.len() as u64).to_le_bytes());
                hasher.update(by.0.as_bytes());
            }
        }
        hasher.finalize().as_bytes().iter().take(8).fold(0, |sum, byte| sum << 8 | u64::from(*byte))
    }
}
