//! The state machine of a gateway that comes back.

use std::collections::{BTreeMap, BTreeSet};

use peer::{Life, PeerName};
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::hand::{Hand, InHand, Place};
use crate::word::Word;

/// How far a gateway has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// It asks its peers what they know. Nothing is open.
    Joining,
    /// Reads are open, and writes but those of keys that are not settled.
    Settling,
    /// All keys are settled; cold nodes still bear less than is asked.
    Admitting,
    /// All is open.
    Serving,
}

/// Settings of a recovery. All times in microseconds.
#[derive(Clone, Debug)]
pub struct RecoveryOptions {
    /// Its peers.
    pub peers: Vec<PeerName>,
    /// They are waited for so long at most.
    pub ask_for: Micros,
    /// The longest that anything sent before the cut may still run at a node that did not lose its power: the classes' longest
    /// patience, and the rest behind an attempt that may still run.
    pub rest: Micros,
    /// A block that could not be read back is asked for again after this.
    pub ask_again: Micros,
    /// After so many answers that are none, a key is released with its outcome unknown.
    pub read_tries: u32,
    /// A mistake, for tests that show what catches it.
    pub plant: Plant,
}

/// A planted mistake.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Plant {
    /// None.
    #[default]
    None,
    /// Keys are open at once, settled or not.
    SettleNothing,
    /// Peers are waited for without end.
    WaitForever,
    /// A node that is there counts as one that lost what it had in work.
    BelieveNodes,
}

/// What became of a write that was in hand when the power went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Its data is there.
    Ran,
    /// Other data is there, and nothing of it can run any more.
    NotThere,
    /// Nobody can say; nothing of it can run any more.
    Unknown,
}

/// What is learnt.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A peer is connected.
    PeerUp(PeerName),
    /// A peer's connection has ended. It says nothing of the peer.
    PeerDown(PeerName),
    /// A peer's word.
    Said(PeerName, Word),
    /// A node is there, with the start that it tells now.
    NodeUp {
        /// Its name.
        name: String,
        /// Its shard.
        shard: u32,
        /// Its start, compared for sameness only.
        started: i64,
    },
    /// A node is not there.
    NodeDown(String),
    /// A place was read back: whether it holds the data of the write with this number; none if it could not be read.
    ReadBack(u64, Option<bool>),
    /// All nodes met are warm.
    Warm,
    /// An operator releases a key unsettled.
    Release(u64),
    /// An operator waits for peers and cold nodes no longer.
    Hurry,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Ask a peer for its word.
    Ask(PeerName),
    /// Later orders than one's own are in force: take them as facts.
    Adopt(Word),
    /// Read a place at its shard, and hold it against the write.
    ReadBack(InHand),
    /// A key is settled: it is open, and its write's record is over.
    Settled(u64, Outcome),
    /// Another phase has begun.
    Entered(Phase),
}

/// Why something is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Closed {
    /// Peers are being asked.
    Joining {
        /// Until then at the latest.
        until: Micros,
    },
    /// A write of the key from before the cut is not settled.
    Unsettled {
        /// Its number.
        number: u64,
        /// It cannot run any more from then on; passed, its node is waited for.
        until: Micros,
    },
    /// The journal of work in hand is lost: any key may have been in hand.
    Blind {
        /// Until then.
        until: Micros,
    },
}

/// A key that is not settled, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Unsettled {
    /// Its number.
    pub number: u64,
    /// Where.
    pub place: Place,
    /// The node it went to.
    pub node: String,
    /// What it waits for.
    pub waits_for: String,
}

/// A recovery, for operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Shown {
    /// Its life.
    pub life: Life,
    /// How far it is.
    pub phase: Phase,
    /// Since when.
    pub since: Micros,
    /// Peers whose word is waited for.
    pub waits_for: Vec<String>,
    /// Orders in force, and who told of them.
    pub orders: u64,
    /// All is open by then at the latest if every node is there and answers; none: all is.
    pub full_by: Option<Micros>,
    /// Who told of those orders; none: its own disk.
    pub orders_of: Option<String>,
    /// The journal of work in hand was lost.
    pub blind: bool,
    /// Keys not settled.
    pub unsettled: Vec<Unsettled>,
    /// Keys settled, by outcome: ran, not there, unknown.
    pub settled: [u64; 3],
}

struct Key {
    work: InHand,
    /// A read of it is out.
    reading: bool,
    tries: u32,
    not_before: Micros,
}

/// A gateway's recovery.
pub struct Recovery {
    options: RecoveryOptions,
    born: Micros,
    now: Micros,
    phase: Phase,
    since: Micros,
    up: BTreeSet<PeerName>,
    asked: BTreeSet<PeerName>,
    said: BTreeSet<PeerName>,
    word: Word,
    orders_of: Option<PeerName>,
    blind: bool,
    keys: BTreeMap<u64, Key>,
    /// Nodes that are there, with shard and start.
    nodes: BTreeMap<String, (u32, i64)>,
    warm: bool,
    hurried: bool,
    settled: [u64; 3],
}

impl Recovery {
    /// Begins in a life that is on the disk, with what the disk told: its own word from before, and the work in hand; none if
    /// that journal is missing, damaged or of another life's disk.
    pub fn new(
        options: RecoveryOptions,
        life: Life,
        before: Word,
        hand: Option<&Hand>,
        now: Micros,
        acts: &mut Vec<Act>,
    ) -> Self {
        let key = |work: &InHand| {
            let key = Key { work: work.clone(), reading: false, tries: 0, not_before: now };
            (work.number, key)
        };
        let mut recovery = Recovery {
            born: now,
            now,
            phase: Phase::Joining,
            since: now,
            up: BTreeSet::new(),
            asked: BTreeSet::new(),
            said: BTreeSet::new(),
            word: Word { life, serves: false, ..before },
            orders_of: None,
            blind: hand.is_none(),
            keys: hand.into_iter().flat_map(Hand::open).map(key).collect(),
            nodes: BTreeMap::new(),
            warm: false,
            hurried: false,
            settled: [0; 3],
            options,
        };
        acts.push(Act::Entered(Phase::Joining));
        recovery.step(acts);
        recovery
    }

    /// Its own word, for whoever asks. It depends on its own disk and on what it was told, never on an answer that is still
    /// waited for: gateways that all ask one another all answer.
    pub fn word(&self) -> &Word {
        &self.word
    }

    /// How far it is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// When it wants to be told the time at the latest.
    pub fn next_due(&self) -> Micros {
        let mut due = Micros::MAX;
        if self.phase == Phase::Joining && self.options.plant != Plant::WaitForever {
            due = due.min(self.born + self.options.ask_for);
        }
        if self.phase <= Phase::Settling {
            if self.blind && self.now < self.rest_until() {
                due = due.min(self.rest_until());
            }
            for key in self.keys.values().filter(|k| !k.reading) {
                let at =
                    key.not_before.max(if self.is_over(&key.work) { self.now } else { self.rest_until() });
                if at > self.now {
                    due = due.min(at);
                }
            }
        }
        due
    }

    /// Takes what was learnt at a time, and appends what is to be done.
    pub fn learn(&mut self, now: Micros, fact: Fact, acts: &mut Vec<Act>) {
        self.now = now.max(self.now);
        match fact {
            Fact::PeerUp(peer) => {
                self.up.insert(peer);
            }
            Fact::PeerDown(peer) => {
                self.up.remove(&peer);
                // Its word may have been under way: it is asked again when it is back.
                self.asked.remove(&peer);
            }
            Fact::Said(peer, word) => self.on_word(peer, word, acts),
            Fact::NodeUp { name, shard, started } => {
                self.nodes.insert(name, (shard, started));
            }
            Fact::NodeDown(name) => {
                self.nodes.remove(&name);
            }
            Fact::ReadBack(number, same) => self.on_read_back(number, same, acts),
            Fact::Warm => self.warm = true,
            Fact::Hurry => (self.hurried, self.warm) = (true, true),
            Fact::Release(number) => self.settle(number, Outcome::Unknown, acts),
        }
        self.step(acts);
    }

    /// Takes the time.
    pub fn tick(&mut self, now: Micros, acts: &mut Vec<Act>) {
        self.now = now.max(self.now);
        self.step(acts);
    }

    /// Why a request on a place may not come in yet; none if it may.
    ///
    /// Danger: a new write of a key whose old write may still run would be overtaken by it: what was answered as served would be
    /// gone. Harm: writes of that key wait for its node, or for the rest to pass.
    pub fn closed(&self, place: &Place, write: bool) -> Option<Closed> {
        if self.phase == Phase::Joining {
            return Some(Closed::Joining { until: self.born + self.options.ask_for });
        }
        if !write || self.options.plant == Plant::SettleNothing {
            return None;
        }
        let until = self.rest_until();
        if self.blind && self.now < until {
            return Some(Closed::Blind { until });
        }
        let key = self.keys.values().find(|k| k.work.place.meets(place))?;
        Some(Closed::Unsettled { number: key.work.number, until })
    }

    /// For operators.
    pub fn show(&self) -> Shown {
        let unsettled = |key: &Key| Unsettled {
            number: key.work.number,
            place: key.work.place,
            node: key.work.node.clone(),
            waits_for: match (self.is_over(&key.work), key.reading) {
                _ if self.phase == Phase::Joining => "the peers' words".into(),
                (_, true) => "the block's answer".into(),
                (true, false) if self.holder(key.work.place.shard).is_none() => "a node of its shard".into(),
                (true, false) => "the next try to read it".into(),
                (false, false) => "the time in which it may still run".into(),
            },
        };
        let missing = self.options.peers.iter().filter(|p| !self.said.contains(*p));
        Shown {
            life: self.word.life,
            phase: self.phase,
            since: self.since,
            waits_for: if self.phase == Phase::Joining {
                missing.map(|p| p.0.clone()).collect()
            } else {
                Vec::new()
            },
            orders: self.word.orders,
            full_by: self.full_by(),
            orders_of: self.orders_of.as_ref().map(|p| p.0.clone()),
            blind: self.blind,
            unsettled: self.keys.values().map(unsettled).collect(),
            settled: self.settled,
        }
    }

    fn full_by(&self) -> Option<Micros> {
        let joined = self.born + self.options.ask_for;
        let settled = if self.blind || !self.keys.is_empty() { self.rest_until() } else { self.since };
        match self.phase {
            Phase::Joining => Some(joined.max(settled)),
            Phase::Settling => Some(settled),
            Phase::Admitting => Some(self.since),
            Phase::Serving => None,
        }
    }

    /// Nothing sent before the cut can run any more from then on, wherever it lies.
    fn rest_until(&self) -> Micros {
        self.born + self.options.rest
    }

    fn holder(&self, shard: u32) -> Option<(&String, i64)> {
        let mut here = self.nodes.iter().filter(|(_, (s, _))| *s == shard);
        here.next().map(|(name, (_, started))| (name, *started))
    }

    /// Whether nothing of a write can run any more: the rest has passed, or the process that had it is gone, as another start
    /// under its name or another node in its place shows. A node that is only silent shows nothing.
    fn is_over(&self, work: &InHand) -> bool {
        if self.now >= self.rest_until() || self.options.plant == Plant::BelieveNodes {
            return true;
        }
        match self.nodes.get(&work.node) {
            // 0 stands for a start that nobody knows: it shows nothing.
            Some((_, started)) => *started != 0 && work.started != 0 && *started != work.started,
            None => false,
        }
    }

    /// Orders of a later version are taken whenever they come, as two halves that came up apart may meet at any time.
    fn on_word(&mut self, peer: PeerName, word: Word, acts: &mut Vec<Act>) {
        self.said.insert(peer.clone());
        if word.replaces(&self.word) {
            self.word = Word { life: self.word.life, serves: self.word.serves, ..word };
            self.orders_of = Some(peer);
            acts.push(Act::Adopt(self.word.clone()));
        }
    }

    /// It goes on in another life.
    pub fn renewed(&mut self, life: Life) {
        self.word.life = life;
    }

    /// The operators' own orders, which came here first.
    pub fn ordered(&mut self, word: Word) {
        if word.replaces(&self.word) {
            self.word = Word { life: self.word.life, serves: self.word.serves, ..word };
            self.orders_of = None;
        }
    }

    fn on_read_back(&mut self, number: u64, same: Option<bool>, acts: &mut Vec<Act>) {
        let Some(key) = self.keys.get_mut(&number).filter(|k| k.reading) else { return };
        key.reading = false;
        match same {
            Some(same) => {
                let outcome = if same { Outcome::Ran } else { Outcome::NotThere };
                self.settle(number, outcome, acts);
            }
            None => {
                key.tries += 1;
                key.not_before = self.now + self.options.ask_again;
                if key.tries >= self.options.read_tries {
                    self.settle(number, Outcome::Unknown, acts);
                }
            }
        }
    }

    fn settle(&mut self, number: u64, outcome: Outcome, acts: &mut Vec<Act>) {
        if self.keys.remove(&number).is_some() {
            self.settled[outcome as usize] += 1;
            acts.push(Act::Settled(number, outcome));
        }
    }

    fn enter(&mut self, phase: Phase, acts: &mut Vec<Act>) {
        (self.phase, self.since) = (phase, self.now);
        self.word.serves = phase > Phase::Joining;
        acts.push(Act::Entered(phase));
    }

    fn step(&mut self, acts: &mut Vec<Act>) {
        for peer in self.up.iter().filter(|p| !self.said.contains(*p)) {
            if self.asked.insert(peer.clone()) {
                acts.push(Act::Ask(peer.clone()));
            }
        }
        if self.phase == Phase::Joining {
            // Danger: a peer that never comes back would keep this gateway closed for good, and all of them would wait for one
            // another. Its word is waited for so long and no longer. Harm: orders that only it holds come when it does.
            let all = self.options.peers.iter().all(|p| self.said.contains(p));
            let waited =
                self.now >= self.born + self.options.ask_for && self.options.plant != Plant::WaitForever;
            if all || waited || self.hurried {
                self.enter(Phase::Settling, acts);
            }
        }
        if self.phase == Phase::Settling {
            let ready: Vec<u64> = self
                .keys
                .values()
                .filter(|k| !k.reading && self.now >= k.not_before && self.is_over(&k.work))
                .filter(|k| self.holder(k.work.place.shard).is_some())
                .map(|k| k.work.number)
                .collect();
            for number in ready {
                if let Some(key) = self.keys.get_mut(&number) {
                    key.reading = true;
                    acts.push(Act::ReadBack(key.work.clone()));
                }
            }
            if self.keys.is_empty() && !(self.blind && self.now < self.rest_until()) {
                self.enter(Phase::Admitting, acts);
            }
        }
        if self.phase == Phase::Admitting && self.warm {
            self.enter(Phase::Serving, acts);
        }
    }
}
