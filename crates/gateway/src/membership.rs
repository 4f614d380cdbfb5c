//! The membership view of the fleet: fed with what this gateway observes and hears from peers, and published.
//!
//! The view tells which gateways exist and decides nothing: no choice of a node, a time or an answer depends
//! on it. It is never on the path of a request: it is driven by its own deadlines, by peer messages, and at
//! housekeeping.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{self, Sender};
use std::thread;

use arc_swap::ArcSwap;
use fleet::{Fleet, FleetOptions, Holding, Input, KIND, Life, NodeSight, Output, Standing, View};
use peer::Told;
use records::Recorder;
use serde::{Deserialize, Serialize};
use storage_core::Micros;

use crate::peer_network::PeerNetwork;

/// The latest snapshot of the view; reading it never blocks.
pub(crate) type ViewSnapshot = Arc<ArcSwap<View>>;

/// Settings of the membership view.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// Settings of the view itself.
    pub fleet: FleetOptions,
    /// Folder of view-NAME.jsonl, the log of view changes; no log without it.
    pub records: Option<PathBuf>,
}

/// A line of view-NAME.jsonl: the view that a gateway held from this time on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewLine {
    /// Time of the change, in microseconds since the Unix epoch.
    pub t: Micros,
    /// The gateway that held the view.
    pub gateway: String,
    /// The life that the gateway was in.
    pub life: String,
    /// Number of the view; increases by one with each change within a life.
    pub number: u64,
    /// Digest of the view; equal at gateways that hold the same view.
    pub digest: u64,
    /// Name, life (`None` while joining) and standing of each member.
    pub members: Vec<(String, Option<String>, String)>,
}

/// The name of a standing, as shown to operators.
pub(crate) fn standing_name(standing: Standing) -> &'static str {
    match standing {
        Standing::Joining => "joining",
        Standing::Up => "up",
        Standing::Suspected => "suspected",
        Standing::Unreachable => "unreachable",
        Standing::Leaving => "leaving",
        Standing::Left => "left",
    }
}

/// A life in full, so that two lives that differ only in their nonce have different names.
pub(crate) fn life_name(life: Life) -> String {
    format!("{}/{:016x}", life.incarnation.0, life.nonce.0)
}

/// The membership protocol of this gateway, its published view and the log of its changes.
pub(crate) struct Membership {
    fleet: Fleet,
    peer_network: PeerNetwork,
    life: Life,
    snapshot: ViewSnapshot,
    records: Option<Sender<ViewLine>>,
    /// The start, coldness and silence of each node as last reported.
    reported_nodes: HashMap<String, (i64, bool, bool)>,
    outputs: Vec<Output>,
}

impl Membership {
    /// Starts in the peer network's life.
    pub(crate) fn start(
        options: MembershipOptions,
        peer_network: PeerNetwork,
        now: Micros,
        seed: u64,
    ) -> std::io::Result<Membership> {
        let life = peer_network.life();
        let records = options
            .records
            .as_deref()
            .map(|folder| start_view_writer(folder, &options.fleet.name.0))
            .transpose()?;
        // The nonce keeps gateways started with the same seed from probing and gossiping in step.
        let fleet = Fleet::new(options.fleet, life, now, seed ^ life.nonce.0);
        let snapshot = Arc::new(ArcSwap::new(fleet.view()));
        let membership = Membership {
            fleet,
            peer_network,
            life,
            snapshot,
            records,
            reported_nodes: HashMap::new(),
            outputs: Vec::new(),
        };
        membership.record(&membership.fleet.view());
        Ok(membership)
    }

    /// The snapshot to which views are published.
    pub(crate) fn snapshot(&self) -> ViewSnapshot {
        self.snapshot.clone()
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.fleet.view()
    }

    pub(crate) fn counts(&self) -> fleet::Counts {
        self.fleet.counts()
    }

    pub(crate) fn life(&self) -> Life {
        self.life
    }

    pub(crate) fn next_due(&self) -> Micros {
        self.fleet.next_due()
    }

    /// Handles a peer event. Returns whether the view changed.
    pub(crate) fn on_peer_event(&mut self, now: Micros, event: Told) -> bool {
        match event {
            Told::Up { peer, life } => self.handle(now, Input::Linked(peer, life)),
            Told::Down { peer, .. } => self.handle(now, Input::Unlinked(peer)),
            Told::Noted { peer, life, kind: KIND, body } => {
                self.handle(now, Input::Heard { from: peer, life, body })
            }
            Told::Renewed { life } => {
                self.life = life;
                self.handle(now, Input::Renewed(life))
            }
            _ => false,
        }
    }

    pub(crate) fn tick(&mut self, now: Micros) -> bool {
        self.handle(now, Input::Tick)
    }

    /// Announces what this gateway serves and tries. Returns whether the view changed.
    pub(crate) fn announce(&mut self, now: Micros, holding: Holding) -> bool {
        self.handle(now, Input::Hold(holding))
    }

    /// Reports the observed state of all nodes. A node is only reported when its start, coldness or silence
    /// changed, because the rest follows from the passing of time. Returns whether the view changed.
    pub(crate) fn report_nodes(&mut self, now: Micros, observations: Vec<NodeSight>) -> bool {
        let mut changed = false;
        self.reported_nodes.retain(|name, _| observations.iter().any(|s| s.node == *name));
        for observation in observations {
            let state = (observation.started, observation.cold_for > 0, observation.silent_for > 0);
            if self.reported_nodes.get(&observation.node) != Some(&state) {
                self.reported_nodes.insert(observation.node.clone(), state);
                changed |= self.handle(now, Input::Saw(observation));
            }
        }
        changed
    }

    /// This gateway is about to leave the fleet deliberately.
    pub(crate) fn announce_leaving(&mut self, now: Micros) -> bool {
        self.handle(now, Input::Leave)
    }

    /// This gateway has left deliberately: no accepted request is open.
    pub(crate) fn announce_left(&mut self, now: Micros) -> bool {
        let own = self.fleet.view().own.clone();
        self.handle(now, Input::Left(own, self.life))
    }

    fn handle(&mut self, now: Micros, input: Input) -> bool {
        self.fleet.handle(now, input, &mut self.outputs);
        let mut changed = false;
        for output in std::mem::take(&mut self.outputs) {
            match output {
                Output::Send { to, body } => self.peer_network.note_to(&to, KIND, body),
                Output::Changed(view) => {
                    changed = true;
                    self.publish(view);
                }
                Output::TurnedAway { from, why } => {
                    tracing::warn!(%from, why, "rejected a peer's message about the fleet");
                }
            }
        }
        changed
    }

    fn publish(&self, view: Arc<View>) {
        let before = self.snapshot.load();
        for member in &view.members {
            let previous = before.member(&member.name).map(|m| (m.standing, m.life));
            if previous != Some((member.standing, member.life)) {
                let life = member.life.map_or_else(String::new, |life| life.to_string());
                let standing = standing_name(member.standing);
                tracing::info!(member = %member.name, life, standing, "the view changed");
            }
        }
        self.record(&view);
        self.snapshot.store(view);
    }

    fn record(&self, view: &View) {
        let Some(records) = &self.records else { return };
        let members = view.members.iter().map(|m| {
            let life = m.life.map(life_name);
            (m.name.0.clone(), life, standing_name(m.standing).to_owned())
        });
        let line = ViewLine {
            t: view.at,
            gateway: view.own.0.clone(),
            life: life_name(self.life),
            number: view.number,
            digest: view.digest,
            members: members.collect(),
        };
        // The thread ends only with the process.
        let _ = records.send(line);
    }
}

/// Starts a thread that writes the lines, so that the engine does not wait for the disk.
fn start_view_writer(folder: &Path, name: &str) -> std::io::Result<Sender<ViewLine>> {
    let recorder = Recorder::append(&folder.join(format!("view-{name}.jsonl")))?;
    let (lines, inbox) = mpsc::channel::<ViewLine>();
    thread::Builder::new().name("view".into()).spawn(move || {
        inbox.iter().for_each(|line| recorder.write(&line));
    })?;
    Ok(lines)
}
