//! The cap on repeats, fed with what goes out and comes back here.
//!
//! It knows nothing of single requests but a key by which a repeat is known as one. What it allows is told to the module as one
//! fact for each shard; which request gets a right is the module's.

use std::collections::{BTreeMap, HashMap};

use decisions::Outcome;
use nvme::IoCommand;
use peer::{PeerName, Told};
use repeats::{
    Allowance, Allowances, Cap, CapOptions, Counts, Input, KIND, Output, ShardLook, ShardState,
    host_request_key, request_key,
};
use storage_core::{AttemptId, Micros, Send, Shortage, Wanted};

use crate::company::Company;

/// What the cap knows a command by.
#[derive(Clone, Copy)]
pub(crate) struct Asked {
    /// Its repeats have the same, at any gateway.
    pub(crate) key: u64,
    /// Where its first block lies.
    pub(crate) shard: u32,
    /// One like it ended unserved of late, here or at a peer.
    pub(crate) is_repeat: bool,
}

pub(crate) struct Rights {
    cap: Cap,
    company: Company,
    /// Shards of the attempts that are out.
    out: HashMap<AttemptId, u32>,
    /// What the module may send, and is to be told of it.
    allowances: Allowances,
    /// How many it was told may wait for a right, by shard.
    await_limits: BTreeMap<u32, u32>,
    /// Whether a node of a shard was seen cold, silent or refusing last.
    recovering: BTreeMap<u32, bool>,
    /// Shards of which a node refused since the last look.
    refused: BTreeMap<u32, bool>,
    peers: Vec<PeerName>,
    told: Vec<Output>,
}

impl Rights {
    /// Begins in the company's life; empty for a window.
    pub(crate) fn start(options: CapOptions, company: Company, now: Micros, seed: u64) -> Rights {
        let cap = Cap::new(options, company.life(), now, seed);
        let mut rights = Rights {
            cap,
            company,
            out: HashMap::new(),
            allowances: Allowances::default(),
            await_limits: BTreeMap::new(),
            recovering: BTreeMap::new(),
            refused: BTreeMap::new(),
            peers: Vec::new(),
            told: Vec::new(),
        };
        rights.take(now, Input::Tick);
        rights
    }

    pub(crate) fn next_due(&self) -> Micros {
        self.cap.next_due()
    }

    pub(crate) fn look(&self, now: Micros) -> (Vec<ShardLook>, Counts) {
        (self.cap.look(now), self.cap.counts())
    }

    /// Whether what the module was told holds no longer.
    pub(crate) fn is_behind(&self, now: Micros) -> bool {
        self.cap.is_behind(now)
    }

    /// The next that the module is to be told; what it sends upon that has to come here before this is called again.
    pub(crate) fn next_allowance(&mut self) -> Option<Allowance> {
        self.allowances.next_untold()
    }

    /// How many may wait for a right of a shard, if that is another number than the module was told.
    pub(crate) fn new_await_limit(&mut self, shard: u32) -> Option<u32> {
        let most = self.cap.may_wait(shard);
        (self.await_limits.insert(shard, most) != Some(most)).then_some(most)
    }

    /// A key by which a command and its repeats at any gateway are known: who asks, and for what.
    ///
    /// Danger: a block that many hosts read is refused to one of them, and the reads of all others count as repeats. Harm: a host that
    /// comes again under another name is not known.
    pub(crate) fn key(host: &str, command: &IoCommand) -> u64 {
        host_request_key(host, request_key(command.nsid, command.slba, command.opcode, command.blocks))
    }

    /// Whether a command like this ended unserved within the window, here or at a peer.
    pub(crate) fn is_repeat(&self, now: Micros, key: u64) -> bool {
        self.cap.is_repeat(now, key)
    }

    /// An attempt is on its way out.
    pub(crate) fn sent(&mut self, now: Micros, send: &Send) {
        self.out.insert(send.attempt, send.shard.0);
        if send.further {
            self.allowances.spend(send.shard.0);
        }
        self.take(now, Input::AttemptSent { shard: send.shard.0, is_retry: send.further });
    }

    /// Whether a copy may go to a shard in the shadow: only beside normal traffic, and with a right of its own.
    pub(crate) fn bears_copy(&self, shard: u32) -> bool {
        self.cap.state(shard) == ShardState::Normal && self.allowances.left(shard).is_some_and(|n| n > 0)
    }

    /// A copy in the shadow goes out.
    pub(crate) fn copied(&mut self, now: Micros, shard: u32) {
        self.allowances.take(shard);
        self.take(now, Input::AttemptSent { shard, is_retry: true });
    }

    /// An attempt has ended, or nobody waits for it any more. One that never went out has spent its right all the same: a
    /// right too many is spent, never one too few.
    pub(crate) fn ended(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        let Some(shard) = self.out.remove(&attempt) else { return };
        let (served, refused) = (outcome == Outcome::Served, outcome == Outcome::Full);
        if refused {
            self.refused.insert(shard, true);
        }
        self.take(now, Input::AttemptEnded { shard, served, refused });
    }

    /// An operation ended unserved, after something of it was sent or before.
    ///
    /// What was never sent is not repeated by coming again, so that it is not kept in mind. One that was a repeat already has been
    /// sent before, and comes once more: it is kept in mind as long as its shard recovers. Danger: were it always so, the reads of a
    /// block that many want would be taken for repeats for ever after one of them timed out, as each that is refused would renew the
    /// others'. Harm: a client that stays away for longer than the window comes back as a new one.
    pub(crate) fn unserved(&mut self, now: Micros, asked: Asked, was_sent: bool) {
        let recovers = matches!(self.cap.state(asked.shard), ShardState::Recovering | ShardState::Widening);
        if was_sent || asked.is_repeat && recovers {
            self.take(now, Input::RequestUnserved { key: asked.key });
        }
    }

    /// A part was turned away for want of rights.
    pub(crate) fn wanted(&mut self, now: Micros, wanted: Wanted) {
        let Wanted { shard, worth, left } = wanted;
        self.take(now, Input::RetryRejected { shard: shard.0, worth, remaining: left });
    }

    /// Other parts wait for a right of a shard than before.
    pub(crate) fn waits(&mut self, now: Micros, shortage: Shortage) {
        let Shortage { shard, waiting, worth } = shortage;
        self.take(now, Input::RetriesWaiting { shard: shard.0, waiting, worth });
    }

    /// Shards with a node that this gateway sees cold or silent.
    ///
    /// Danger: were others' sights of silence taken for one's own, one gateway that is cut off from a node would hold the fleet in
    /// recovering by many mouths. Peers' sights come by their own notes, each in its own name. Harm: a node's trouble is known
    /// here a note later.
    pub(crate) fn saw(&mut self, now: Micros, shards: BTreeMap<u32, bool>) {
        let refused = std::mem::take(&mut self.refused);
        for (shard, trouble) in shards {
            let on = trouble || refused.contains_key(&shard);
            if self.recovering.insert(shard, on) != Some(on) {
                self.take(now, Input::NodeTrouble { shard, present: on });
            }
        }
    }

    /// Who may be asked: those who are up.
    pub(crate) fn peers(&mut self, now: Micros, peers: Vec<PeerName>) {
        if peers != self.peers {
            self.peers.clone_from(&peers);
            self.take(now, Input::PeersChanged(peers));
        }
    }

    pub(crate) fn told(&mut self, now: Micros, told: Told) {
        match told {
            Told::Noted { peer, life, kind: KIND, body } => {
                self.take(now, Input::MessageReceived { from: peer, life, body })
            }
            Told::Renewed { life } => self.take(now, Input::LifeRenewed(life)),
            _ => {}
        }
    }

    pub(crate) fn tick(&mut self, now: Micros) {
        self.take(now, Input::Tick);
    }

    fn take(&mut self, now: Micros, input: Input) {
        self.cap.handle(now, input, &mut self.told);
        for output in self.told.drain(..) {
            match output {
                Output::Send { to, body } => self.company.note_to(&to, KIND, body),
                Output::Allow(allowance) => self.allowances.say(allowance),
                Output::StateChanged { shard, state, reason } => {
                    tracing::info!(shard, ?state, why = reason, "repeats")
                }
                Output::MessageRejected { from, reason } => {
                    tracing::warn!(%from, why = reason, "something that a member said of repeats was turned away");
                }
            }
        }
    }
}
