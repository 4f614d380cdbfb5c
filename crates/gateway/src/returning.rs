//! A gateway that comes back after a loss: the recovery's rules, fed with what the engine sees, and carried out by it.
//!
//! Nothing here chooses a node, a time or an attempt. What is not open yet is refused with the recovery's advice; what
//! is, goes to the module. Off unless the site has a `[recovery]` table.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use decisions::NodeId;
use nvme::IoCommand;
use peer::{Kind, PeerName, Told, wire};
use recovery::{
    Act, Admission, AdmissionOptions, Closed, Digest, Entry, Fact, InHand, Phase, Place, Plant, Recovery,
    RecoveryOptions, Shown, Word,
};
use storage_core::{Catalogue, Micros};

use crate::company::Company;
use crate::gateway::GatewayError;
use crate::hand::WorkInHand;
use crate::message::Inbox;

/// A question for a peer's word, and the note of one's own.
pub(crate) const WORD: Kind = Kind(1);

/// Settings of a gateway that asks its peers when it comes back.
#[derive(Clone, Debug)]
pub struct ReturnOptions {
    /// Peers are waited for so long at most.
    pub ask_for: Duration,
    /// The longest that anything sent before a loss may still run at a node.
    pub rest: Duration,
    /// Writes are in a journal before they are sent, so that only keys that were in hand rest after a loss.
    pub journal: bool,
    /// Keep the mark beside the journal that a rig needs to cut the power.
    pub mark: bool,
}

/// What the engine has to do.
pub(crate) enum Order {
    /// Later orders than its own are in force.
    Adopt(Word),
    /// The list is to be stated again: every node counts as just started.
    HoldCold,
    /// A place is to be read back, and held against this write.
    ReadBack(InHand),
}

pub(crate) struct Returning {
    recovery: Recovery,
    admission: Admission,
    peers: Company,
    file: PathBuf,
    work: Option<WorkInHand>,
    born: Micros,
    /// Since when it takes requests.
    serves: Option<Micros>,
    /// A peer that has served for longer than nodes take to warm has seen their starts.
    witnessed: bool,
    cold: bool,
    ask_for: Micros,
    warm_after: Micros,
    most_advice: Micros,
    /// Nodes told as there, with the start told then.
    nodes: HashMap<NodeId, (String, u32, i64)>,
    acts: Vec<Act>,
}

impl Returning {
    /// Begins the next life, reads what the last one held, and starts to ask.
    pub(crate) fn start(
        options: &ReturnOptions,
        (peers, names, folder): (Company, Vec<PeerName>, &Path),
        catalogue: &Catalogue,
        seed: u64,
        now: Micros,
        inbox: Inbox,
    ) -> Result<Returning, GatewayError> {
        let s = &catalogue.settings;
        let file = folder.join("word");
        let before: Option<Word> = match filelog::read(&file)? {
            Some(bytes) => Some(wire::decode(&bytes).ok_or_else(|| GatewayError::Word(file.clone()))?),
            None => None,
        };
        let rest = options.rest.as_micros() as Micros;
        let work = if options.journal {
            Some(WorkInHand::open(&folder.join("hand"), seed ^ now as u64, options.mark, rest, inbox)?)
        } else {
            None
        };
        let (work, known) = work.map_or((None, false), |(work, known)| (Some(work), known));
        let fresh = Word {
            life: peers.life(),
            orders: 0,
            nodes: Vec::new(),
            held: Vec::new(),
            paused: false,
            serves: false,
            served_for: 0,
        };
        let rules = RecoveryOptions {
            peers: names,
            ask_for: options.ask_for.as_micros() as Micros,
            rest,
            ask_again: 200_000,
            read_tries: 5,
            plant: Plant::None,
        };
        let ask_for = rules.ask_for;
        let mut acts = Vec::new();
        // Without a journal that is believed any key may have been in hand: writes rest once.
        let hand = work.as_ref().filter(|_| known).map(WorkInHand::hand);
        let recovery = Recovery::new(rules, peers.life(), before.unwrap_or(fresh), hand, now, &mut acts);
        let admission = Admission::new(
            AdmissionOptions {
                cold_units: s.cold_units,
                cold_window: s.cold_window,
                cold_from: s.cold_start_fraction,
                warm_after: s.warm_after,
                gateways: s.hosts,
                most_advice: s.max_retry_after.max(1),
            },
            seed,
        );
        let (warm_after, most_advice) = (s.warm_after, s.max_retry_after.max(1));
        Ok(Returning {
            recovery,
            admission,
            peers,
            file,
            work,
            born: now,
            serves: None,
            witnessed: false,
            cold: false,
            ask_for,
            warm_after,
            most_advice,
            nodes: HashMap::new(),
            acts,
        })
    }

    /// The orders from before, which are in force until later ones come.
    pub(crate) fn word(&self) -> &Word {
        self.recovery.word()
    }

    pub(crate) fn show(&self) -> Shown {
        let mut shown = self.recovery.show();
        // What is cold is warm later than all keys are settled, or not.
        let warm = self.admission.warm_at().unwrap_or(self.born + self.warm_after);
        if shown.phase < Phase::Serving && (self.cold || self.serves.is_none()) {
            shown.full_by = shown.full_by.map(|t| t.max(warm));
        }
        shown
    }

    pub(crate) fn next_due(&self) -> Micros {
        let warm = self.admission.warm_at().filter(|_| self.recovery.phase() == Phase::Admitting);
        self.recovery.next_due().min(warm.unwrap_or(Micros::MAX))
    }

    /// The start that a node counts with: after a loss that nobody has witnessed, each is cold from then on.
    ///
    /// Danger: what the list says of starts from before was on clocks that are not believed; a node that is taken for warm and is
    /// cold is pushed over by all gateways at once. Harm: warm nodes are spared for the time of a warming.
    pub(crate) fn started(&self, listed: Option<Micros>) -> Option<Micros> {
        if self.cold { Some(listed.map_or(self.born, |t| t.max(self.born))) } else { listed }
    }

    /// What a peer said or did.
    pub(crate) fn told(&mut self, now: Micros, told: Told, orders: &mut Vec<Order>) {
        match told {
            Told::Up { peer, .. } => self.learn(now, Fact::PeerUp(peer), orders),
            Told::Down { peer, .. } => self.learn(now, Fact::PeerDown(peer), orders),
            Told::Asked { conn, id, kind, .. } => {
                let body = (kind == WORD).then(|| wire::encode(&self.own_word(now)));
                self.peers.answer(conn, id, body);
            }
            Told::Answered { peer, outcome, .. } => match outcome.ok().and_then(|body| wire::decode(&body)) {
                Some(word) => self.said(now, peer, word, orders),
                // It is asked again when it is back; nothing follows from its silence.
                None => self.learn(now, Fact::PeerDown(peer), orders),
            },
            Told::Noted { peer, kind: WORD, body, .. } => {
                if let Some(word) = wire::decode(&body) {
                    self.said(now, peer, word, orders);
                }
            }
            Told::Renewed { life } => self.recovery.renewed(life),
            // The company has them written down, or they are another's.
            Told::Quiet { .. }
            | Told::Heard { .. }
            | Told::NewLife { .. }
            | Told::Stale { .. }
            | Told::Refused { .. }
            | Told::Superseded { .. }
            | Told::Noted { .. } => {}
        }
    }

    fn own_word(&self, now: Micros) -> Word {
        let served_for = self.serves.map_or(0, |since| now - since);
        Word { served_for, ..self.recovery.word().clone() }
    }

    fn said(&mut self, now: Micros, peer: PeerName, word: Word, orders: &mut Vec<Order>) {
        self.witnessed |= word.served_for >= self.warm_after;
        self.learn(now, Fact::Said(peer, word), orders);
    }

    /// The operators' orders came here; an error if later ones are in force.
    pub(crate) fn ordered(&mut self, word: Word) -> Result<(), String> {
        let own = self.recovery.word();
        if word.orders < own.orders {
            let (old, new) = (word.orders, own.orders);
            return Err(format!(
                "orders {old} are older than {new}, which are in force here; state them anew"
            ));
        }
        let later = word.replaces(own);
        self.recovery.ordered(word);
        if later {
            self.keep()?;
            self.peers.note(WORD, wire::encode(self.recovery.word()));
        }
        Ok(())
    }

    fn keep(&self) -> Result<(), String> {
        filelog::replace(&self.file, &wire::encode(self.recovery.word())).map_err(|e| e.to_string())
    }

    /// Which nodes are there, as their links tell.
    pub(crate) fn nodes(
        &mut self,
        now: Micros,
        up: HashMap<NodeId, (String, u32, i64)>,
        orders: &mut Vec<Order>,
    ) {
        if up == self.nodes {
            return;
        }
        let before = std::mem::replace(&mut self.nodes, up);
        for (id, (name, shard, _)) in &before {
            if self.nodes.get(id) != before.get(id) {
                self.learn(now, Fact::NodeDown(name.clone()), orders);
                self.admission.lost(*shard);
            }
        }
        for (id, (name, shard, started)) in self.nodes.clone() {
            self.admission.met(now, shard);
            if before.get(&id) != self.nodes.get(&id) {
                self.learn(now, Fact::NodeUp { name, shard, started }, orders);
            }
        }
    }

    /// Operators wait for peers and cold nodes no longer.
    pub(crate) fn hurry(&mut self, now: Micros, orders: &mut Vec<Order>) {
        self.learn(now, Fact::Hurry, orders);
    }

    /// Operators release a key unsettled.
    pub(crate) fn release(&mut self, now: Micros, number: u64, orders: &mut Vec<Order>) {
        self.learn(now, Fact::Release(number), orders);
    }

    /// The writes in hand, if their journal is kept.
    pub(crate) fn work(&mut self) -> Option<&mut WorkInHand> {
        self.work.as_mut()
    }

    /// A place was read back: whether it holds the write's data; none if it could not be read.
    pub(crate) fn read_back(
        &mut self,
        now: Micros,
        work: &InHand,
        data: Option<&[u8]>,
        orders: &mut Vec<Order>,
    ) {
        let same = data.map(|data| Digest::of(data) == work.digest);
        self.learn(now, Fact::ReadBack(work.number, same), orders);
    }

    fn learn(&mut self, now: Micros, fact: Fact, orders: &mut Vec<Order>) {
        self.recovery.learn(now, fact, &mut self.acts);
        self.carry_out(now, orders);
    }

    /// Takes the time.
    pub(crate) fn tick(&mut self, now: Micros, orders: &mut Vec<Order>) {
        self.recovery.tick(now, &mut self.acts);
        if self.recovery.phase() == Phase::Admitting
            && (!self.cold || self.admission.warm_at().is_some_and(|t| now >= t))
        {
            self.recovery.learn(now, Fact::Warm, &mut self.acts);
        }
        self.carry_out(now, orders);
    }

    fn carry_out(&mut self, now: Micros, orders: &mut Vec<Order>) {
        while !self.acts.is_empty() {
            for act in std::mem::take(&mut self.acts) {
                match act {
                    Act::Ask(peer) => self.peers.ask(&peer, WORD, Vec::new(), self.ask_for),
                    Act::Adopt(word) => {
                        tracing::info!(orders = word.orders, "later orders are in force, as a peer tells");
                        if let Err(error) = self.keep() {
                            tracing::error!(
                                error,
                                "they could not be kept; they are in force until this process ends"
                            );
                        }
                        orders.push(Order::Adopt(word));
                    }
                    Act::Entered(phase) => {
                        tracing::info!(?phase, "recovery");
                        if phase == Phase::Settling {
                            self.serves = Some(now);
                            self.cold = !self.witnessed;
                            if self.cold {
                                orders.push(Order::HoldCold);
                            }
                        }
                    }
                    Act::ReadBack(work) => orders.push(Order::ReadBack(work)),
                    Act::Settled(number, outcome) => {
                        tracing::info!(number, ?outcome, "a write from before is settled");
                        if let Some(work) = &mut self.work {
                            work.settled(number);
                        }
                    }
                }
            }
        }
    }

    /// When a command that is not open yet should come again; none if it is open.
    pub(crate) fn closed(
        &mut self,
        now: Micros,
        catalogue: &Catalogue,
        command: &IoCommand,
    ) -> Option<Micros> {
        if self.recovery.phase() == Phase::Serving {
            return None;
        }
        let volume = catalogue.volume(command.nsid)?;
        let write = matches!(command.opcode, nvme::io::WRITE);
        let opcode = match command.opcode {
            nvme::io::READ | nvme::io::COMPARE => storage_core::Opcode::Read,
            nvme::io::WRITE => storage_core::Opcode::Write,
            _ => storage_core::Opcode::Flush,
        };
        let size = u64::from(volume.block_size);
        let class = catalogue.class(opcode, u64::from(command.blocks) * size);
        let s = &catalogue.settings;
        let worth =
            s.classes.get(class).map_or(1.0, |c| c.worth) * s.plans.get(volume.plan).map_or(1.0, |p| p.price);
        for part in volume.parts(command.slba, command.blocks) {
            let (nsid, shard) = (command.nsid, part.shard.0);
            let place = Place { nsid, slba: part.slba, blocks: part.blocks, shard };
            if let Some(why) = self.recovery.closed(&place, write) {
                let (Closed::Joining { until } | Closed::Unsettled { until, .. } | Closed::Blind { until }) =
                    why;
                return Some((until - now).clamp(1, self.most_advice));
            }
            if self.cold {
                let units = catalogue.units(u64::from(part.blocks) * size);
                if let Entry::Later { come_back } = self.admission.entry(now, shard, worth, units) {
                    return Some(come_back);
                }
            }
        }
        None
    }
}
