//! What the decision module remembers: plain records and two kinds of counter. Nothing is decided here.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::causes::Cause;
use crate::interface::*;
pub(crate) use crate::shards::*;
pub(crate) use crate::sums::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Wake {
    Request(RequestId),
    Key(KeyId),
    Shard(ShardId),
    List,
    Sweep,
}

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Fate {
    Out,
    MayHaveRun,
    NeverRan,
    /// Nothing of it was written to a node.
    Unreached,
    NotSent,
}

pub(crate) struct Attempt {
    pub(crate) zone: u32,
    pub(crate) shard: ShardId,
    pub(crate) sent: Micros,
    /// The start of its node's process, as far as it was known then.
    pub(crate) started: Option<Micros>,
    /// Its units are charged to its volume's limit; while it waits for a connection they are only kept back.
    pub(crate) charged: bool,
    pub(crate) waits: bool,
    pub(crate) fate: Fate,
}

impl Attempt {
    /// One that goes out to a node now.
    pub(crate) fn out_at(node: &Node, now: Micros, charged: bool) -> Self {
        let (zone, shard, started) = (node.zone, node.shard, node.started);
        Attempt { zone, shard, sent: now, started, charged, waits: false, fate: Fate::Out }
    }

    /// It may have run, or may yet.
    pub(crate) fn doubtful(&self) -> bool {
        matches!(self.fate, Fate::Out | Fate::MayHaveRun)
    }
}

pub(crate) struct Open {
    pub(crate) ask: Request,
    /// The end of the aim, counted from the client's first try.
    pub(crate) first: Micros,
    /// The end of its own aim, where that of the first try was over as it came.
    pub(crate) due: Micros,
    /// When the try before it ended, if the aim that it takes over was past by then.
    pub(crate) late: Option<Micros>,
    /// When it is given up if nothing of it has been sent.
    pub(crate) unsent: Micros,
    pub(crate) deadline: Micros,
    pub(crate) step: usize,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) place: Option<(ShardId, Place)>,
    pub(crate) finished: bool,
    pub(crate) streaming: bool,
}

/// A request that ended unserved, for its repeat.
#[derive(Clone, Copy)]
pub(crate) struct Unserved {
    /// The end of its aim, and when it ended.
    pub(crate) due: Micros,
    pub(crate) ended: Micros,
}

/// What a request and its client's repeats have in common; the client too, where it is known.
pub(crate) type Likeness = (Option<ClientId>, VolumeId, Option<KeyId>, usize, u64);

pub(crate) fn likeness(ask: &Request) -> Likeness {
    (ask.client, ask.volume, ask.key, ask.class, ask.units.to_bits())
}

impl Open {
    pub(crate) fn new(ask: Request, step: usize, first: Micros, due: Micros, deadline: Micros) -> Self {
        Open {
            ask,
            first,
            due,
            late: None,
            unsent: due,
            deadline,
            step,
            attempts: Vec::new(),
            place: None,
            finished: false,
            streaming: false,
        }
    }
    /// Nothing lasts beyond this any more.
    pub(crate) fn hasten(&mut self, deadline: Micros) {
        for at in [&mut self.unsent, &mut self.due, &mut self.deadline] {
            *at = deadline.min(*at);
        }
    }
    /// When it is looked at for want of an answer.
    pub(crate) fn ends(&self) -> [Micros; 3] {
        [self.unsent, self.due, self.deadline]
    }
    pub(crate) fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.fate == Fate::Out)
    }
    /// Nothing of it has been written to a node, nor may be.
    pub(crate) fn unwritten(&self) -> bool {
        self.attempts.iter().all(|a| matches!(a.fate, Fate::Unreached | Fate::NotSent))
    }
    /// The number of its last attempt.
    pub(crate) fn last_attempt(&self) -> u32 {
        self.attempts.len().saturating_sub(1) as u32
    }
    /// No attempt of it counts against its volume's limit.
    pub(crate) fn uncharged(&self) -> bool {
        self.attempts.iter().all(|a| !a.charged)
    }
    pub(crate) fn doubt(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.doubtful())
    }
}

/// What a host knows of its nodes in common.
#[derive(Clone, Copy)]
pub(crate) struct View {
    pub(crate) now: Micros,
    pub(crate) fresh: f64,
    pub(crate) target: [f64; 3],
    pub(crate) prior: f64,
    pub(crate) load: f64,
    pub(crate) delay: f64,
}

pub(crate) struct Volume {
    pub(crate) limit: Option<Store>,
    pub(crate) reserve: Store,
    /// Its use over all hosts as last metered, as a part of the plan's rate.
    pub(crate) used: f64,
    pub(crate) phase: f64,
    /// Units that it asked for here lately.
    pub(crate) asked: Fading,
    pub(crate) seen: Micros,
    /// Units of sends that wait for their connection.
    pub(crate) kept: f64,
}

impl Volume {
    /// An attempt waits for its connection, or begins at last: its units are charged from then on.
    pub(crate) fn waits(&mut self, now: Micros, attempt: &mut Attempt, units: f64, waits: bool) {
        if !attempt.charged || attempt.waits == waits {
            return;
        }
        attempt.waits = waits;
        let kept = if waits { units } else { -units };
        self.kept = (self.kept + kept).max(0.0);
        if let Some(store) = &mut self.limit {
            store.add(now, kept);
        }
    }

    /// An attempt ended: if it never began, its units are free again, and the next one is charged.
    pub(crate) fn give_back(&mut self, attempt: &mut Attempt, units: f64) {
        if attempt.charged && attempt.waits {
            self.kept = (self.kept - units).max(0.0);
        }
        attempt.charged &= !attempt.waits && attempt.fate != Fate::NotSent;
    }
}

/// An attempt out at a node.
#[derive(Clone, Copy)]
pub(crate) struct Flight {
    pub(crate) sent: Micros,
    pub(crate) aim: Micros,
    /// The part of one that each step counts it as: the bound when it was sent, if that was below one.
    pub(crate) part: [f64; 3],
    /// Attempts sent later that the node has served meanwhile.
    pub(crate) overtaken: u32,
}

pub(crate) struct Node {
    pub(crate) zone: u32,
    pub(crate) shard: ShardId,
    pub(crate) state: NodeState,
    pub(crate) started: Option<Micros>,
    pub(crate) out: BTreeMap<(RequestId, u32), Flight>,
    pub(crate) own: Mean,
    /// Attempts out at the last answer, that one included: the law's N, by step.
    pub(crate) count: Option<[f64; 3]>,
    /// Units sent within the last window of the rule on cold nodes.
    pub(crate) sends: VecDeque<(Micros, f64)>,
    /// First send since the node was last heard of.
    pub(crate) unheard: Option<Micros>,
    /// Until when, by step, the attempts so far use up a bound below one.
    pub(crate) paid: [Micros; 3],
    pub(crate) last_send: Micros,
    pub(crate) last_answer: Micros,
    /// Resets, failed connections and time-outs since it last answered.
    pub(crate) failures: u32,
    pub(crate) hold: Micros,
}

impl Node {
    pub(crate) fn new(entry: &NodeEntry, span: f64) -> Self {
        const NEVER: Micros = Micros::MIN / 4;
        Node {
            zone: entry.zone,
            shard: entry.shard,
            state: entry.state,
            started: entry.started,
            out: BTreeMap::new(),
            own: Mean::over(span),
            count: None,
            sends: VecDeque::new(),
            unheard: None,
            paid: [NEVER; 3],
            last_send: NEVER,
            last_answer: NEVER,
            failures: 0,
            hold: 0,
        }
    }

    /// Notes an attempt of so many units that goes out to it.
    pub(crate) fn begin(&mut self, attempt: (RequestId, u32), flight: Flight, units: f64) {
        self.out.insert(attempt, flight);
        self.sends.push_back((flight.sent, units));
        self.unheard.get_or_insert(flight.sent);
        self.last_send = flight.sent;
    }
}

/// What is left of what a shard was last said to bear beyond first attempts, and the advice without any left.
#[derive(Clone, Copy)]
pub(crate) struct Rights {
    pub(crate) left: u32,
    pub(crate) come_back: Micros,
}

/// The next number of the splitmix64 sequence.
pub(crate) fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

#[derive(Default)]
pub(crate) struct Turn {
    pub(crate) line: VecDeque<RequestId>,
    pub(crate) rest: Micros,
}

/// All that a scheduler has in mind.
#[derive(Default)]
pub(crate) struct Memory {
    pub(crate) born: Option<Micros>,
    pub(crate) now: Micros,
    pub(crate) noise: u64,
    pub(crate) requests: BTreeMap<RequestId, Open>,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) shards: BTreeMap<ShardId, Shard>,
    /// How this host's requests spread over the shards.
    pub(crate) spread: Spread,
    pub(crate) volumes: BTreeMap<VolumeId, Volume>,
    pub(crate) turns: BTreeMap<KeyId, Turn>,
    /// Requests that ended unserved of late.
    pub(crate) unserved: BTreeMap<Likeness, Unserved>,
    /// When requests were taken, and when further attempts went out.
    pub(crate) taken: VecDeque<Micros>,
    pub(crate) further: VecDeque<Micros>,
    /// Of the shards named so far; never forgotten, as one not in it is unlimited.
    pub(crate) rights: BTreeMap<ShardId, Rights>,
    /// Requests that may wait for a right, by shard.
    pub(crate) await_limits: BTreeMap<ShardId, u32>,
    /// Requests that ended unserved since the start, by class and cause.
    pub(crate) causes: BTreeMap<(usize, Cause), u64>,
    pub(crate) wakes: BTreeSet<(Micros, Wake)>,
    pub(crate) armed: Option<Micros>,
    pub(crate) token: u64,
    pub(crate) dirty: BTreeSet<ShardId>,
    /// Shards at which other requests wait for a right than were last told of.
    pub(crate) short: BTreeSet<ShardId>,
    pub(crate) actions: Vec<Action>,
    /// Shards gone through and lines of the list put in place, since the start.
    pub(crate) pumped: u64,
    pub(crate) relisted: u64,
}

impl Memory {
    /// The rights for want of which a request waits.
    pub(crate) fn awaited(&self, open: &Open) -> Option<Rights> {
        let (shard_id, place) = open.place?;
        let awaits = self.shards.get(&shard_id)?.awaiting.contains_key(&place.turn());
        self.rights.get(&shard_id).copied().filter(|_| awaits)
    }
    /// A request gets its place in a queue.
    pub(crate) fn put(&mut self, shard_id: ShardId, place: Place) {
        let (Some(open), Some(shard)) = (self.requests.get_mut(&place.id), self.shards.get_mut(&shard_id))
        else {
            return;
        };
        open.place = Some((shard_id, place));
        shard.insert(place, open.ask.key, open.needs_right());
    }
    /// A request that is in no queue waits for a right.
    pub(crate) fn await_right(&mut self, shard_id: ShardId, place: Place) {
        let (Some(open), Some(shard)) = (self.requests.get_mut(&place.id), self.shards.get_mut(&shard_id))
        else {
            return;
        };
        open.place = Some((shard_id, place));
        shard.awaiting.insert(place.turn(), place);
        self.short.insert(shard_id);
    }
    /// The one that waits for a right with the first turn.
    pub(crate) fn first_awaiting(&self, shard_id: ShardId) -> Option<Place> {
        self.shards.get(&shard_id)?.awaiting.values().next().copied()
    }
    /// Of those that wait for a right the one with the last turn, if more wait than may.
    pub(crate) fn too_many_awaiting(&self, shard_id: ShardId) -> Option<RequestId> {
        let awaiting = &self.shards.get(&shard_id)?.awaiting;
        let most = self.await_limits.get(&shard_id).map_or(0, |most| *most as usize);
        awaiting.values().next_back().map(|place| place.id).filter(|_| awaiting.len() > most)
    }
    /// Danger: a send that waits for its connection is charged to its volume's limit early and comes late,
    /// when the store has filled again. Its units are kept back, and charged as it begins. Harm: none.
    pub(crate) fn waits(&mut self, id: RequestId, attempt: u32, waits: bool) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let volume = self.volumes.get_mut(&open.ask.volume);
        if let (Some(volume), Some(attempt)) = (volume, open.attempts.get_mut(attempt as usize)) {
            volume.waits(self.now, attempt, open.ask.units, waits);
        }
    }
    /// Takes a node's line of the list: its shard names it, at its place in order, if it is on.
    pub(crate) fn relist(&mut self, e: &NodeEntry, span: f64) {
        self.relisted += 1;
        let Some(node) = self.nodes.get_mut(&e.node) else { return };
        if let Some(shard) = self.shards.get_mut(&node.shard) {
            shard.nodes.retain(|id| *id != e.node);
        }
        (node.zone, node.shard, node.state) = (e.zone, e.shard, e.state);
        if e.state == NodeState::On {
            let shard = self.shards.entry(e.shard).or_insert_with(|| Shard::new(span));
            let at = shard.nodes.partition_point(|id| *id < e.node);
            shard.nodes.insert(at, e.node);
        }
    }
}
