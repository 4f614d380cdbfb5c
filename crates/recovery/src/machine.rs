//! The recovery state machine of a gateway.

use std::collections::{BTreeMap, BTreeSet};

use peer::{Life, PeerName};

use crate::Micros;
use crate::hand::{Hand, InHand, Place};
use crate::model::{Act, Closed, Fact, Outcome, Phase, Plant, RecoveryOptions, Shown, Unsettled};
use crate::word::Word;

/// An unsettled key: a write from before the power loss whose outcome is not known yet.
struct Key {
    write: InHand,
    /// Whether a read-back is in progress.
    reading: bool,
    failed_reads: u32,
    next_read_at: Micros,
}

/// The recovery state machine.
pub struct Recovery {
    options: RecoveryOptions,
    started_at: Micros,
    now: Micros,
    phase: Phase,
    since: Micros,
    connected: BTreeSet<PeerName>,
    queried: BTreeSet<PeerName>,
    answered: BTreeSet<PeerName>,
    status: Word,
    orders_source: Option<PeerName>,
    blind: bool,
    keys: BTreeMap<u64, Key>,
    /// Reachable nodes, with their shard and start.
    nodes: BTreeMap<String, (u32, i64)>,
    warm: bool,
    waits_skipped: bool,
    settled: [u64; 3],
}

impl Recovery {
    /// Begins a recovery in the life `life`, which is already stored, with the gateway's stored status `before` and its
    /// in-flight writes `hand`; `None` if that journal is missing, damaged or from the disk of another life.
    pub fn new(
        options: RecoveryOptions,
        life: Life,
        before: Word,
        hand: Option<&Hand>,
        now: Micros,
        acts: &mut Vec<Act>,
    ) -> Self {
        let key = |write: &InHand| {
            let key = Key { write: write.clone(), reading: false, failed_reads: 0, next_read_at: now };
            (write.number, key)
        };
        let mut recovery = Recovery {
            started_at: now,
            now,
            phase: Phase::Joining,
            since: now,
            connected: BTreeSet::new(),
            queried: BTreeSet::new(),
            answered: BTreeSet::new(),
            status: Word { life, serves: false, ..before },
            orders_source: None,
            blind: hand.is_none(),
            keys: hand.into_iter().flat_map(Hand::open).map(key).collect(),
            nodes: BTreeMap::new(),
            warm: false,
            waits_skipped: false,
            settled: [0; 3],
            options,
        };
        acts.push(Act::Entered(Phase::Joining));
        recovery.advance(acts);
        recovery
    }

    /// The gateway's own status, sent to any peer that queries it. It never depends on an answer still awaited, so gateways
    /// that all query one another do not deadlock.
    pub fn word(&self) -> &Word {
        &self.status
    }

    /// Current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Latest time of the next [`Recovery::tick`].
    pub fn next_due(&self) -> Micros {
        let mut due = Micros::MAX;
        if self.phase == Phase::Joining && self.options.plant != Plant::WaitForever {
            due = due.min(self.started_at + self.options.ask_for);
        }
        if self.phase <= Phase::Settling {
            if self.blind && self.now < self.quiet_until() {
                due = due.min(self.quiet_until());
            }
            for key in self.keys.values().filter(|k| !k.reading) {
                let at = key.next_read_at.max(if self.cannot_run(&key.write) {
                    self.now
                } else {
                    self.quiet_until()
                });
                if at > self.now {
                    due = due.min(at);
                }
            }
        }
        due
    }

    /// Processes an input at time `now`, and appends the resulting actions.
    pub fn learn(&mut self, now: Micros, fact: Fact, acts: &mut Vec<Act>) {
        self.now = now.max(self.now);
        match fact {
            Fact::PeerUp(peer) => {
                self.connected.insert(peer);
            }
            Fact::PeerDown(peer) => {
                self.connected.remove(&peer);
                // Its status may have been lost with the connection: it is queried again on reconnect.
                self.queried.remove(&peer);
            }
            Fact::Said(peer, word) => self.on_status(peer, word, acts),
            Fact::NodeUp { name, shard, started } => {
                self.nodes.insert(name, (shard, started));
            }
            Fact::NodeDown(name) => {
                self.nodes.remove(&name);
            }
            Fact::ReadBack(number, matches) => self.on_read_back(number, matches, acts),
            Fact::Warm => self.warm = true,
            Fact::Hurry => (self.waits_skipped, self.warm) = (true, true),
            Fact::Release(number) => self.settle(number, Outcome::Unknown, acts),
        }
        self.advance(acts);
    }

    /// Advances the clock to `now`, and appends the resulting actions.
    pub fn tick(&mut self, now: Micros, acts: &mut Vec<Act>) {
        self.now = now.max(self.now);
        self.advance(acts);
    }

    /// Why a request on a range of blocks is refused; `None` if it is accepted.
    ///
    /// If a new write of a key were accepted while an old one may still run, the old one could overwrite it after it was
    /// acknowledged. The cost: writes of that key wait for its node, or until the old write can no longer run.
    pub fn closed(&self, place: &Place, write: bool) -> Option<Closed> {
        if self.phase == Phase::Joining {
            return Some(Closed::Joining { until: self.started_at + self.options.ask_for });
        }
        if !write || self.options.plant == Plant::SettleNothing {
            return None;
        }
        let until = self.quiet_until();
        if self.blind && self.now < until {
            return Some(Closed::Blind { until });
        }
        let key = self.keys.values().find(|k| k.write.place.meets(place))?;
        Some(Closed::Unsettled { number: key.write.number, until })
    }

    /// State of the recovery, as shown to operators.
    pub fn show(&self) -> Shown {
        let unsettled = |key: &Key| Unsettled {
            number: key.write.number,
            place: key.write.place,
            node: key.write.node.clone(),
            waits_for: match (self.cannot_run(&key.write), key.reading) {
                _ if self.phase == Phase::Joining => "the peers' words".into(),
                (_, true) => "the block's answer".into(),
                (true, false) if self.node_of_shard(key.write.place.shard).is_none() => {
                    "a node of its shard".into()
                }
                (true, false) => "the next try to read it".into(),
                (false, false) => "the time in which it may still run".into(),
            },
        };
        let missing = self.options.peers.iter().filter(|p| !self.answered.contains(*p));
        Shown {
            life: self.status.life,
            phase: self.phase,
            since: self.since,
            waits_for: if self.phase == Phase::Joining {
                missing.map(|p| p.0.clone()).collect()
            } else {
                Vec::new()
            },
            orders: self.status.orders,
            full_by: self.fully_open_by(),
            orders_of: self.orders_source.as_ref().map(|p| p.0.clone()),
            blind: self.blind,
            unsettled: self.keys.values().map(unsettled).collect(),
            settled: self.settled,
        }
    }

    fn fully_open_by(&self) -> Option<Micros> {
        let joining_ends = self.started_at + self.options.ask_for;
        let settling_ends = if self.blind || !self.keys.is_empty() { self.quiet_until() } else { self.since };
        match self.phase {
            Phase::Joining => Some(joining_ends.max(settling_ends)),
            Phase::Settling => Some(settling_ends),
            Phase::Admitting => Some(self.since),
            Phase::Serving => None,
        }
    }

    /// When no write sent before the power loss can run any more, at any node.
    fn quiet_until(&self) -> Micros {
        self.started_at + self.options.rest
    }

    fn node_of_shard(&self, shard: u32) -> Option<(&String, i64)> {
        let mut nodes = self.nodes.iter().filter(|(_, (s, _))| *s == shard);
        nodes.next().map(|(name, (_, started))| (name, *started))
    }

    /// Whether a write can no longer run: the quiet period has passed, or the node has restarted since the write was sent, as
    /// its reported start shows. An unreachable node proves nothing.
    fn cannot_run(&self, write: &InHand) -> bool {
        if self.now >= self.quiet_until() || self.options.plant == Plant::BelieveNodes {
            return true;
        }
        match self.nodes.get(&write.node) {
            // 0 is an unknown start, which proves nothing.
            Some((_, started)) => *started != 0 && write.started != 0 && *started != write.started,
            None => false,
        }
    }

    /// Adopts orders of a higher revision in any phase, as a network partition between gateways may heal at any time.
    fn on_status(&mut self, peer: PeerName, word: Word, acts: &mut Vec<Act>) {
        self.answered.insert(peer.clone());
        if word.replaces(&self.status) {
            self.status = Word { life: self.status.life, serves: self.status.serves, ..word };
            self.orders_source = Some(peer);
            acts.push(Act::Adopt(self.status.clone()));
        }
    }

    /// Continues in another life.
    pub fn renewed(&mut self, life: Life) {
        self.status.life = life;
    }

    /// Adopts orders that operators gave to this gateway directly.
    pub fn ordered(&mut self, word: Word) {
        if word.replaces(&self.status) {
            self.status = Word { life: self.status.life, serves: self.status.serves, ..word };
            self.orders_source = None;
        }
    }

    fn on_read_back(&mut self, number: u64, matches: Option<bool>, acts: &mut Vec<Act>) {
        let Some(key) = self.keys.get_mut(&number).filter(|k| k.reading) else { return };
        key.reading = false;
        match matches {
            Some(matches) => {
                let outcome = if matches { Outcome::Ran } else { Outcome::NotThere };
                self.settle(number, outcome, acts);
            }
            None => {
                key.failed_reads += 1;
                key.next_read_at = self.now + self.options.ask_again;
                if key.failed_reads >= self.options.read_tries {
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
        self.status.serves = phase > Phase::Joining;
        acts.push(Act::Entered(phase));
    }

    fn advance(&mut self, acts: &mut Vec<Act>) {
        for peer in self.connected.iter().filter(|p| !self.answered.contains(*p)) {
            if self.queried.insert(peer.clone()) {
                acts.push(Act::Ask(peer.clone()));
            }
        }
        if self.phase == Phase::Joining {
            // The wait is bounded: a peer that never returns would keep this gateway closed forever, and all gateways would
            // wait for one another. The cost: orders that only that peer holds are adopted when it returns.
            let all_answered = self.options.peers.iter().all(|p| self.answered.contains(p));
            let timed_out = self.now >= self.started_at + self.options.ask_for
                && self.options.plant != Plant::WaitForever;
            if all_answered || timed_out || self.waits_skipped {
                self.enter(Phase::Settling, acts);
            }
        }
        if self.phase == Phase::Settling {
            let ready: Vec<u64> = self
                .keys
                .values()
                .filter(|k| !k.reading && self.now >= k.next_read_at && self.cannot_run(&k.write))
                .filter(|k| self.node_of_shard(k.write.place.shard).is_some())
                .map(|k| k.write.number)
                .collect();
            for number in ready {
                if let Some(key) = self.keys.get_mut(&number) {
                    key.reading = true;
                    acts.push(Act::ReadBack(key.write.clone()));
                }
            }
            if self.keys.is_empty() && !(self.blind && self.now < self.quiet_until()) {
                self.enter(Phase::Admitting, acts);
            }
        }
        if self.phase == Phase::Admitting && self.warm {
            self.enter(Phase::Serving, acts);
        }
    }
}
