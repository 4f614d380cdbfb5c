//! Recovery after a crash or restart: feeds the recovery rules with what the engine observes, and passes on
//! their actions.
//!
//! Nothing here chooses a node, a time or an attempt. A command for a place that is not open yet is refused
//! with the recovery's advice; everything else goes to the decision module. Off unless the site has a
//! `[recovery]` table.

mod closed_places;

use std::collections::HashMap;
use std::path::{Path, PathBuf};

use decisions::NodeId;
use peer::{Kind, PeerName, Told, wire};
use recovery::{
    Act, Admission, AdmissionOptions, Digest, Fact, InHand, Phase, Plant, Recovery, RecoveryOptions, Shown,
    Word,
};
use storage_core::{Catalogue, Micros};

use crate::gateway::GatewayError;
use crate::message::Inbox;
use crate::options::RecoveryDriverOptions;
use crate::peer_network::PeerNetwork;
use crate::write_journal::WriteJournal;

/// File of the orders in force and the rest of the recovery state, in the gateway's state folder.
const ORDERS_FILE: &str = "word";
/// File of the write journal, in the gateway's state folder.
const JOURNAL_FILE: &str = "hand";
/// Pause before a place that could not be read back is read again.
const READ_BACK_RETRY_PAUSE: Micros = 200_000;
/// Failed reads of a place after which its key is released with its outcome unknown.
const READ_BACK_TRIES: u32 = 5;

/// Kind of questions for a peer's recovery state, and of notes that announce one's own.
pub(crate) const RECOVERY_STATE: Kind = Kind(1);

/// An action that the engine has to carry out.
pub(crate) enum EngineAction {
    /// Newer orders than this gateway's own are in force.
    AdoptOrders(Word),
    /// Restate the node list: every node counts as just started.
    TreatNodesAsCold,
    /// Read a place back, to compare it with this write.
    ReadBack(InHand),
}

/// The recovery rules of this gateway, with the state that they act on.
pub(crate) struct RecoveryDriver {
    recovery: Recovery,
    admission: Admission,
    peer_network: PeerNetwork,
    orders_file: PathBuf,
    journal: Option<WriteJournal>,
    started_at: Micros,
    /// When this gateway began to accept requests.
    serving_since: Option<Micros>,
    /// Whether a peer has served for longer than nodes take to warm up, so that it has seen their starts.
    starts_witnessed: bool,
    nodes_cold: bool,
    peer_timeout: Micros,
    warm_after: Micros,
    max_retry_delay: Micros,
    /// Nodes reported as up, with the start time reported.
    nodes: HashMap<NodeId, (String, u32, i64)>,
    acts: Vec<Act>,
}

impl RecoveryDriver {
    /// Begins the next life, reads the state kept by the previous one, and starts asking peers.
    pub(crate) fn start(
        options: &RecoveryDriverOptions,
        (peer_network, names, folder): (PeerNetwork, Vec<PeerName>, &Path),
        catalogue: &Catalogue,
        seed: u64,
        now: Micros,
        inbox: Inbox,
    ) -> Result<RecoveryDriver, GatewayError> {
        let settings = &catalogue.settings;
        let orders_file = folder.join(ORDERS_FILE);
        let previous: Option<Word> = match filelog::read(&orders_file)? {
            Some(bytes) => Some(
                wire::decode(&bytes).ok_or_else(|| GatewayError::InvalidOrdersFile(orders_file.clone()))?,
            ),
            None => None,
        };
        let max_execution_time = options.max_execution_time.as_micros() as Micros;
        let journal = if options.journal {
            Some(WriteJournal::open(
                &folder.join(JOURNAL_FILE),
                seed ^ now as u64,
                options.power_cut_mark,
                max_execution_time,
                inbox,
            )?)
        } else {
            None
        };
        let (journal, is_trusted) =
            journal.map_or((None, false), |(journal, is_trusted)| (Some(journal), is_trusted));
        let initial = Word {
            life: peer_network.life(),
            orders: 0,
            nodes: Vec::new(),
            held: Vec::new(),
            paused: false,
            serves: false,
            served_for: 0,
        };
        let rules = RecoveryOptions {
            peers: names,
            ask_for: options.peer_timeout.as_micros() as Micros,
            rest: max_execution_time,
            ask_again: READ_BACK_RETRY_PAUSE,
            read_tries: READ_BACK_TRIES,
            plant: Plant::None,
        };
        let peer_timeout = rules.ask_for;
        let mut acts = Vec::new();
        // Without a trusted journal any key may have had a write in progress, so all writes wait until
        // those can no longer run.
        let in_progress = journal.as_ref().filter(|_| is_trusted).map(WriteJournal::in_progress);
        let recovery = Recovery::new(
            rules,
            peer_network.life(),
            previous.unwrap_or(initial),
            in_progress,
            now,
            &mut acts,
        );
        let admission = Admission::new(
            AdmissionOptions {
                cold_units: settings.cold_units,
                cold_window: settings.cold_window,
                cold_from: settings.cold_start_fraction,
                warm_after: settings.warm_after,
                gateways: settings.hosts,
                most_advice: settings.max_retry_after.max(1),
            },
            seed,
        );
        let (warm_after, max_retry_delay) = (settings.warm_after, settings.max_retry_after.max(1));
        Ok(RecoveryDriver {
            recovery,
            admission,
            peer_network,
            orders_file,
            journal,
            started_at: now,
            serving_since: None,
            starts_witnessed: false,
            nodes_cold: false,
            peer_timeout,
            warm_after,
            max_retry_delay,
            nodes: HashMap::new(),
            acts,
        })
    }

    /// The orders of the previous life, in force until newer ones arrive.
    pub(crate) fn own_orders(&self) -> &Word {
        self.recovery.word()
    }

    pub(crate) fn progress(&self) -> Shown {
        let mut progress = self.recovery.show();
        // Cold nodes may warm up later than all keys are settled.
        let warm_at = self.admission.warm_at().unwrap_or(self.started_at + self.warm_after);
        if progress.phase < Phase::Serving && (self.nodes_cold || self.serving_since.is_none()) {
            progress.full_by = progress.full_by.map(|t| t.max(warm_at));
        }
        progress
    }

    pub(crate) fn next_due(&self) -> Micros {
        let warm_at = self.admission.warm_at().filter(|_| self.recovery.phase() == Phase::Admitting);
        self.recovery.next_due().min(warm_at.unwrap_or(Micros::MAX))
    }

    /// The effective start of a node: after a crash that no peer has witnessed, every node counts as cold
    /// from this gateway's start.
    ///
    /// Listed start times from before the crash were taken on clocks that cannot be trusted, and a cold node
    /// taken for a warm one is overloaded by all gateways at once. The cost is that warm nodes get less load
    /// for one warm-up time.
    pub(crate) fn effective_start(&self, listed: Option<Micros>) -> Option<Micros> {
        if self.nodes_cold {
            Some(listed.map_or(self.started_at, |t| t.max(self.started_at)))
        } else {
            listed
        }
    }

    /// Handles a peer event.
    pub(crate) fn on_peer_event(&mut self, now: Micros, event: Told, actions: &mut Vec<EngineAction>) {
        match event {
            Told::Up { peer, .. } => self.handle_fact(now, Fact::PeerUp(peer), actions),
            Told::Down { peer, .. } => self.handle_fact(now, Fact::PeerDown(peer), actions),
            Told::Asked { conn, id, kind, .. } => {
                let body = (kind == RECOVERY_STATE).then(|| wire::encode(&self.own_state(now)));
                self.peer_network.answer(conn, id, body);
            }
            Told::Answered { peer, outcome, .. } => match outcome.ok().and_then(|body| wire::decode(&body)) {
                Some(state) => self.on_peer_state(now, peer, state, actions),
                // The peer is asked again when it reconnects; nothing follows from its silence.
                None => self.handle_fact(now, Fact::PeerDown(peer), actions),
            },
            Told::Noted { peer, kind: RECOVERY_STATE, body, .. } => {
                if let Some(state) = wire::decode(&body) {
                    self.on_peer_state(now, peer, state, actions);
                }
            }
            Told::Renewed { life } => self.recovery.renewed(life),
            // Logged by the peer network already, or meant for another subsystem.
            Told::Quiet { .. }
            | Told::Heard { .. }
            | Told::NewLife { .. }
            | Told::Stale { .. }
            | Told::Refused { .. }
            | Told::Superseded { .. }
            | Told::Noted { .. } => {}
        }
    }

    fn own_state(&self, now: Micros) -> Word {
        let served_for = self.serving_since.map_or(0, |since| now - since);
        Word { served_for, ..self.recovery.word().clone() }
    }

    fn on_peer_state(&mut self, now: Micros, peer: PeerName, state: Word, actions: &mut Vec<EngineAction>) {
        self.starts_witnessed |= state.served_for >= self.warm_after;
        self.handle_fact(now, Fact::Said(peer, state), actions);
    }

    /// Applies operators' orders given to this gateway; an error if newer ones are in force.
    pub(crate) fn set_orders(&mut self, state: Word) -> Result<(), String> {
        let own = self.recovery.word();
        if state.orders < own.orders {
            let (old, new) = (state.orders, own.orders);
            return Err(format!(
                "orders {old} are older than {new}, which are in force here; issue them again"
            ));
        }
        let is_newer = state.replaces(own);
        self.recovery.ordered(state);
        if is_newer {
            self.store_orders()?;
            self.peer_network.note(RECOVERY_STATE, wire::encode(self.recovery.word()));
        }
        Ok(())
    }

    fn store_orders(&self) -> Result<(), String> {
        filelog::replace(&self.orders_file, &wire::encode(self.recovery.word())).map_err(|e| e.to_string())
    }

    /// Reports which nodes are up, according to their connections.
    pub(crate) fn set_nodes_up(
        &mut self,
        now: Micros,
        up: HashMap<NodeId, (String, u32, i64)>,
        actions: &mut Vec<EngineAction>,
    ) {
        if up == self.nodes {
            return;
        }
        let before = std::mem::replace(&mut self.nodes, up);
        for (id, (name, shard, _)) in &before {
            if self.nodes.get(id) != before.get(id) {
                self.handle_fact(now, Fact::NodeDown(name.clone()), actions);
                self.admission.lost(*shard);
            }
        }
        for (id, (name, shard, started)) in self.nodes.clone() {
            self.admission.met(now, shard);
            if before.get(&id) != self.nodes.get(&id) {
                self.handle_fact(now, Fact::NodeUp { name, shard, started }, actions);
            }
        }
    }

    /// An operator ends the wait for peers and cold nodes.
    pub(crate) fn stop_waiting(&mut self, now: Micros, actions: &mut Vec<EngineAction>) {
        self.handle_fact(now, Fact::Hurry, actions);
    }

    /// An operator releases a key without settling it.
    pub(crate) fn release_key(&mut self, now: Micros, number: u64, actions: &mut Vec<EngineAction>) {
        self.handle_fact(now, Fact::Release(number), actions);
    }

    /// The write journal, if one is kept.
    pub(crate) fn journal(&mut self) -> Option<&mut WriteJournal> {
        self.journal.as_mut()
    }

    /// Reports that a place was read back: whether it holds the write's data, or `None` if it could not be
    /// read.
    pub(crate) fn on_read_back(
        &mut self,
        now: Micros,
        write: &InHand,
        data: Option<&[u8]>,
        actions: &mut Vec<EngineAction>,
    ) {
        let is_same = data.map(|data| Digest::of(data) == write.digest);
        self.handle_fact(now, Fact::ReadBack(write.number, is_same), actions);
    }

    fn handle_fact(&mut self, now: Micros, fact: Fact, actions: &mut Vec<EngineAction>) {
        self.recovery.learn(now, fact, &mut self.acts);
        self.apply_acts(now, actions);
    }

    /// Advances the recovery to the current time.
    pub(crate) fn tick(&mut self, now: Micros, actions: &mut Vec<EngineAction>) {
        self.recovery.tick(now, &mut self.acts);
        if self.recovery.phase() == Phase::Admitting
            && (!self.nodes_cold || self.admission.warm_at().is_some_and(|t| now >= t))
        {
            self.recovery.learn(now, Fact::Warm, &mut self.acts);
        }
        self.apply_acts(now, actions);
    }

    fn apply_acts(&mut self, now: Micros, actions: &mut Vec<EngineAction>) {
        while !self.acts.is_empty() {
            for act in std::mem::take(&mut self.acts) {
                match act {
                    Act::Ask(peer) => {
                        self.peer_network.ask(&peer, RECOVERY_STATE, Vec::new(), self.peer_timeout)
                    }
                    Act::Adopt(state) => {
                        tracing::info!(
                            orders = state.orders,
                            "a peer has newer orders, which are now in force"
                        );
                        if let Err(error) = self.store_orders() {
                            tracing::error!(
                                error,
                                "cannot store the orders; they are in force until this process ends"
                            );
                        }
                        actions.push(EngineAction::AdoptOrders(state));
                    }
                    Act::Entered(phase) => {
                        tracing::info!(?phase, "recovery");
                        if phase == Phase::Settling {
                            self.serving_since = Some(now);
                            self.nodes_cold = !self.starts_witnessed;
                            if self.nodes_cold {
                                actions.push(EngineAction::TreatNodesAsCold);
                            }
                        }
                    }
                    Act::ReadBack(write) => actions.push(EngineAction::ReadBack(write)),
                    Act::Settled(number, outcome) => {
                        tracing::info!(number, ?outcome, "a write from before the restart is settled");
                        if let Some(journal) = &mut self.journal {
                            journal.key_settled(number);
                        }
                    }
                }
            }
        }
    }
}
