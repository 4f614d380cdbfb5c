//! The fleet's view, fed with what this gateway hears and sees, and published.
//!
//! It says who is there and chooses nothing: no node, time or answer of a request hangs on it. Nothing of it runs on the path of
//! a request: it is fed by its own times, by peers' words, and at housekeeping.

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

use crate::company::Company;

/// The latest snapshot of the view; reading it asks nobody.
pub(crate) type Snapshot = Arc<ArcSwap<View>>;

/// Settings of a gateway that holds a view of its fleet.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// The view's own.
    pub fleet: FleetOptions,
    /// Folder of the file that tells each change of the view, view-NAME.jsonl; none without it.
    pub records: Option<PathBuf>,
}

/// A line of view-NAME.jsonl: what one gateway held from then on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewLine {
    /// When, in microseconds since the Unix epoch.
    pub t: Micros,
    /// Whose view.
    pub gateway: String,
    /// In which life of it.
    pub life: String,
    /// Rises by one with each change in that life.
    pub number: u64,
    /// Equal at gateways that hold the same.
    pub digest: u64,
    /// Names, lives (none while joining) and standings.
    pub members: Vec<(String, Option<String>, String)>,
}

/// The word for a standing.
pub(crate) fn word(standing: Standing) -> &'static str {
    match standing {
        Standing::Joining => "joining",
        Standing::Up => "up",
        Standing::Suspected => "suspected",
        Standing::Unreachable => "unreachable",
        Standing::Leaving => "leaving",
        Standing::Left => "left",
    }
}

/// A life in full: two that differ in their nonce alone are told apart.
pub(crate) fn name_of(life: Life) -> String {
    format!("{}/{:016x}", life.incarnation.0, life.nonce.0)
}

pub(crate) struct Membership {
    fleet: Fleet,
    company: Company,
    life: Life,
    snapshot: Snapshot,
    records: Option<Sender<ViewLine>>,
    /// What was said of nodes last: start, cold, silent.
    seen: HashMap<String, (i64, bool, bool)>,
    out: Vec<Output>,
}

impl Membership {
    /// Begins in the company's life.
    pub(crate) fn start(
        options: MembershipOptions,
        company: Company,
        now: Micros,
        seed: u64,
    ) -> std::io::Result<Membership> {
        let life = company.life();
        let records =
            options.records.as_deref().map(|folder| keep(folder, &options.fleet.name.0)).transpose()?;
        // Danger: gateways started with one seed would probe and gossip in step.
        let fleet = Fleet::new(options.fleet, life, now, seed ^ life.nonce.0);
        let snapshot = Arc::new(ArcSwap::new(fleet.view()));
        let membership =
            Membership { fleet, company, life, snapshot, records, seen: HashMap::new(), out: Vec::new() };
        membership.record(&membership.fleet.view());
        Ok(membership)
    }

    /// Where its snapshots are published.
    pub(crate) fn snapshot(&self) -> Snapshot {
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

    /// What a peer said or did; whether the view is another now.
    pub(crate) fn told(&mut self, now: Micros, told: Told) -> bool {
        match told {
            Told::Up { peer, life } => self.take(now, Input::Linked(peer, life)),
            Told::Down { peer, .. } => self.take(now, Input::Unlinked(peer)),
            Told::Noted { peer, life, kind: KIND, body } => {
                self.take(now, Input::Heard { from: peer, life, body })
            }
            Told::Renewed { life } => {
                self.life = life;
                self.take(now, Input::Renewed(life))
            }
            _ => false,
        }
    }

    pub(crate) fn tick(&mut self, now: Micros) -> bool {
        self.take(now, Input::Tick)
    }

    /// What this gateway holds now.
    pub(crate) fn hold(&mut self, now: Micros, holding: Holding) -> bool {
        self.take(now, Input::Hold(holding))
    }

    /// What is seen of all nodes now; of each it is said when it is another than before, as the rest is a matter of time.
    pub(crate) fn saw(&mut self, now: Micros, sights: Vec<NodeSight>) -> bool {
        let mut changed = false;
        self.seen.retain(|name, _| sights.iter().any(|s| s.node == *name));
        for sight in sights {
            let told = (sight.started, sight.cold_for > 0, sight.silent_for > 0);
            if self.seen.get(&sight.node) != Some(&told) {
                self.seen.insert(sight.node.clone(), told);
                changed |= self.take(now, Input::Saw(sight));
            }
        }
        changed
    }

    /// This gateway is about to leave by its own will.
    pub(crate) fn leave(&mut self, now: Micros) -> bool {
        self.take(now, Input::Leave)
    }

    /// This gateway has left by its own will: nothing it took is open.
    pub(crate) fn has_left(&mut self, now: Micros) -> bool {
        let own = self.fleet.view().own.clone();
        self.take(now, Input::Left(own, self.life))
    }

    fn take(&mut self, now: Micros, input: Input) -> bool {
        self.fleet.handle(now, input, &mut self.out);
        let mut changed = false;
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Send { to, body } => self.company.note_to(&to, KIND, body),
                Output::Changed(view) => {
                    changed = true;
                    self.publish(view);
                }
                Output::TurnedAway { from, why } => {
                    tracing::warn!(%from, why, "something that a member said of the fleet was turned away");
                }
            }
        }
        changed
    }

    fn publish(&self, view: Arc<View>) {
        let before = self.snapshot.load();
        for member in &view.members {
            let was = before.member(&member.name).map(|m| (m.standing, m.life));
            if was != Some((member.standing, member.life)) {
                let life = member.life.map_or_else(String::new, |life| life.to_string());
                tracing::info!(member = %member.name, life, standing = word(member.standing), "the view changed");
            }
        }
        self.record(&view);
        self.snapshot.store(view);
    }

    fn record(&self, view: &View) {
        let Some(records) = &self.records else { return };
        let members = view.members.iter().map(|m| {
            let life = m.life.map(name_of);
            (m.name.0.clone(), life, word(m.standing).to_owned())
        });
        let line = ViewLine {
            t: view.at,
            gateway: view.own.0.clone(),
            life: name_of(self.life),
            number: view.number,
            digest: view.digest,
            members: members.collect(),
        };
        // The thread ends with the process only.
        let _ = records.send(line);
    }
}

/// A thread that writes the lines down, so that the engine waits for no disk.
fn keep(folder: &Path, name: &str) -> std::io::Result<Sender<ViewLine>> {
    let recorder = Recorder::append(&folder.join(format!("view-{name}.jsonl")))?;
    let (lines, inbox) = mpsc::channel::<ViewLine>();
    thread::Builder::new().name("view".into()).spawn(move || {
        inbox.iter().for_each(|line| recorder.write(&line));
    })?;
    Ok(lines)
}
