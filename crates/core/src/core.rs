//! The core: open operations, attempts out, the module's timers, and the one final answer.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bytes::{Bytes, BytesMut};
use decisions::{
    Action, Answer as ModuleAnswer, Event, Group, Micros, NodeEntry, NodeId, NodeLook, NodeState, Outcome,
    Repeats, Request, RequestId, Scheduler, ShardId, VolumeId,
};

use crate::catalogue::{Catalogue, Part};
use crate::operation::{Answer, AttemptId, Opcode, Operation, Ticket};

/// What the caller has to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send an attempt, and report its end once.
    Send(Send),
    /// Nobody waits for this attempt any more: it timed out here, or was cancelled. Its end need not be reported.
    Forget(AttemptId, NodeId),
    /// The one final answer of an operation.
    Answer(Ticket, Answer),
    /// The module wants the node list.
    Subscribe,
    /// A line for the operators.
    Log(String),
}

/// An attempt to be sent.
#[derive(Clone, Debug)]
pub struct Send {
    /// Names the attempt.
    pub attempt: AttemptId,
    /// Where to.
    pub node: NodeId,
    /// What to do.
    pub opcode: Opcode,
    /// Namespace.
    pub nsid: u32,
    /// First block.
    pub slba: u64,
    /// Blocks; 0 for a flush.
    pub blocks: u32,
    /// Length of the blocks, in bytes.
    pub bytes: u32,
    /// Data of a write.
    pub data: Bytes,
    /// Token of the operation.
    pub token: u64,
    /// Nodes are to discard repeats of it by its token.
    pub keyed: bool,
}

/// How an attempt ended, as the link knows it.
#[derive(Clone, Debug)]
pub struct End {
    /// The true outcome: *never ran* only where that is certain.
    pub outcome: Outcome,
    /// Data of a read that was served.
    pub data: Bytes,
    /// Requests that the node holds, as it reports.
    pub load: Option<u32>,
}

impl End {
    /// An end without data or report.
    pub fn of(outcome: Outcome) -> Self {
        End { outcome, data: Bytes::new(), load: None }
    }
}

/// A line of the node list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// Its name, which a restart keeps.
    pub name: String,
    /// Zone.
    pub zone: u32,
    /// The shard it holds.
    pub shard: u32,
    /// Whether it takes work.
    pub state: NodeState,
    /// When it last started, on the clock of `now`; `None` if long ago.
    pub started: Option<Micros>,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Operations taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Aborted before anything of them went out.
    pub aborted: u64,
    /// Left by their client.
    pub withdrawn: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts after a request's first.
    pub further: u64,
    /// Ends that came after nobody waited.
    pub late: u64,
}

/// What the core has seen of a node.
#[derive(Clone, Debug)]
pub struct NodeView {
    /// Its name.
    pub name: String,
    /// Zone.
    pub zone: u32,
    /// Shard.
    pub shard: u32,
    /// As listed last.
    pub state: NodeState,
    /// Start, as listed.
    pub started: Option<Micros>,
    /// Attempts out.
    pub out: u32,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts served.
    pub served: u64,
    /// Attempts that ended in any other way.
    pub unserved: u64,
    /// Requests it held, as it reported last.
    pub load: Option<u32>,
    /// When it was last heard of.
    pub heard: Option<Micros>,
    /// Latency of the last answer, in microseconds.
    pub latency: Micros,
}

/// What the core has seen of a volume.
#[derive(Clone, Debug, Default)]
pub struct VolumeView {
    /// Operations open now.
    pub open: u64,
    /// Operations taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Units asked for.
    pub units: f64,
}

/// An open operation.
#[derive(Clone, Debug)]
pub struct OpenView {
    /// Its name.
    pub ticket: Ticket,
    /// Namespace.
    pub nsid: u32,
    /// What it does.
    pub opcode: Opcode,
    /// Index of its class.
    pub class: usize,
    /// When it was taken.
    pub taken: Micros,
    /// Attempts sent for it so far.
    pub attempts: u32,
    /// Nodes at which attempts are out.
    pub nodes: Vec<NodeId>,
}

/// An operation that ended unserved.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedView {
    /// When.
    pub at: Micros,
    /// Its name.
    pub ticket: Ticket,
    /// Namespace.
    pub nsid: u32,
    /// What it was to do.
    pub opcode: Opcode,
    /// Index of its class.
    pub class: usize,
    /// Refused with this advice; none: failed.
    pub refused: Option<Micros>,
    /// How old it was.
    pub age: Micros,
    /// Attempts sent for it.
    pub attempts: u32,
    /// How the last of them ended, as far as it did.
    pub last: Option<Outcome>,
}

impl EndedView {
    /// Why, as far as it shows from outside the module.
    pub fn reason(&self) -> &'static str {
        match (self.attempts, self.last) {
            (0, _) => "held until it would have been late, or its limit",
            (_, None) => "no answer in time",
            (_, Some(Outcome::Unreachable)) => "node unreachable",
            (_, Some(Outcome::Full)) => "node full",
            (_, Some(Outcome::Error)) => "node error",
            (_, Some(Outcome::Reset)) => "connection broke",
            (_, Some(Outcome::TimedOut)) => "no answer in time",
            (_, Some(_)) => "a part of it was not served",
        }
    }
}

/// Operations that ended unserved and are kept for people.
const ENDED_KEPT: usize = 200;

#[derive(Clone, Debug, PartialEq)]
enum PieceState {
    Open,
    Served(Bytes),
    Over,
}

struct Piece {
    request: RequestId,
    part: Part,
    state: PieceState,
    /// Attempts sent.
    sent: u32,
    /// Attempts that are out, were served, or may have run.
    doubt: u32,
}

struct Open {
    operation: Operation,
    /// The client gave the token: its repeat carries the same.
    named: bool,
    class: usize,
    block_size: u32,
    taken: Micros,
    pieces: Vec<Piece>,
    /// How the last attempt ended that did not serve.
    last: Option<Outcome>,
}

struct Out {
    node: NodeId,
    sent: Micros,
    due: Micros,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(u64),
    Deadline(AttemptId),
}

/// One gateway's core.
pub struct Core {
    catalogue: Catalogue,
    scheduler: Scheduler,
    now: Micros,
    open: HashMap<Ticket, Open>,
    requests: HashMap<RequestId, (Ticket, usize, Micros)>,
    out: HashMap<AttemptId, Out>,
    due: BTreeSet<(Micros, Due)>,
    next_request: u64,
    token_salt: u64,
    names: HashMap<String, NodeId>,
    nodes: Vec<NodeView>,
    volumes: BTreeMap<u32, VolumeView>,
    tally: Tally,
    ended: VecDeque<EndedView>,
    reasons: BTreeMap<&'static str, u64>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

impl Core {
    /// A core that has taken nothing yet. `seed` feeds the module's randomness and the tokens it gives.
    pub fn new(catalogue: Catalogue, seed: u64) -> Self {
        let scheduler = Scheduler::new(catalogue.settings.clone(), seed);
        let volumes = catalogue.volumes().map(|v| (v.nsid, VolumeView::default())).collect();
        Core {
            catalogue,
            scheduler,
            now: Micros::MIN,
            open: HashMap::new(),
            requests: HashMap::new(),
            out: HashMap::new(),
            due: BTreeSet::new(),
            next_request: 0,
            token_salt: seed,
            names: HashMap::new(),
            nodes: Vec::new(),
            volumes,
            tally: Tally::default(),
            ended: VecDeque::new(),
            reasons: BTreeMap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// The catalogue it works by.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Takes an operation whose range was checked. An unknown volume is refused without advice.
    pub fn submit(&mut self, now: Micros, operation: Operation, effects: &mut Vec<Effect>) {
        self.advance(now);
        let ticket = operation.ticket;
        let Some(volume) = self.catalogue.volume(operation.nsid) else {
            effects.push(Effect::Answer(ticket, Answer::Refused { come_back: 0 }));
            return;
        };
        let bytes = u64::from(operation.blocks) * u64::from(volume.block_size);
        let class = self.catalogue.class(operation.opcode, bytes);
        let patience = self.catalogue.rules[class].patience;
        let mut pieces = Vec::new();
        for part in volume.parts(operation.slba, operation.blocks) {
            let request = RequestId(self.next_request);
            self.next_request += 1;
            let units = self.catalogue.units(u64::from(part.blocks) * u64::from(volume.block_size));
            self.events.push_back(Event::Request(Request {
                id: request,
                class,
                plan: volume.plan,
                volume: VolumeId(u64::from(volume.nsid)),
                key: (part.blocks > 0).then(|| volume.key(part.slba)),
                shard: Some(part.shard),
                units,
                hosts: volume.hosts,
                patience,
                retry: false,
            }));
            self.requests.insert(request, (ticket, pieces.len(), self.now + patience));
            pieces.push(Piece { request, part, state: PieceState::Open, sent: 0, doubt: 0 });
            if let Some(view) = self.volumes.get_mut(&operation.nsid) {
                view.units += units;
            }
        }
        let block_size = volume.block_size;
        if let Some(view) = self.volumes.get_mut(&operation.nsid) {
            view.taken += 1;
            view.open += 1;
        }
        self.tally.taken += 1;
        let mut operation = operation;
        let named = operation.token != 0;
        if !named {
            operation.token = self.token_salt ^ (ticket.0 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        }
        let taken = self.now;
        self.open.insert(ticket, Open { operation, named, class, block_size, taken, pieces, last: None });
        self.settle_events(effects);
    }

    /// The client is gone: nothing more is owed, no further attempt goes out.
    pub fn withdraw(&mut self, now: Micros, ticket: Ticket, effects: &mut Vec<Effect>) {
        self.advance(now);
        if self.open.contains_key(&ticket) {
            self.tally.withdrawn += 1;
            self.drop_operation(ticket);
            self.settle_events(effects);
        }
    }

    /// Takes an operation back if nothing of it has gone out; whether that was so. It then gets no other answer.
    pub fn abort(&mut self, now: Micros, ticket: Ticket, effects: &mut Vec<Effect>) -> bool {
        self.advance(now);
        let Some(open) = self.open.get(&ticket) else { return false };
        if open.pieces.iter().any(|p| p.sent > 0) {
            return false;
        }
        self.tally.aborted += 1;
        self.drop_operation(ticket);
        self.settle_events(effects);
        true
    }

    fn drop_operation(&mut self, ticket: Ticket) {
        let Some(open) = self.open.remove(&ticket) else { return };
        if let Some(view) = self.volumes.get_mut(&open.operation.nsid) {
            view.open -= 1;
        }
        for piece in open.pieces.into_iter().filter(|p| p.state == PieceState::Open) {
            if self.requests.remove(&piece.request).is_some() {
                self.events.push_back(Event::Withdrawn(piece.request));
            }
        }
    }

    /// The host leaves: every open operation is answered now, refused where nothing of it went out or a repeat is
    /// harmless, else failed.
    pub fn end_all(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.advance(now);
        let mut tickets: Vec<Ticket> = self.open.keys().copied().collect();
        tickets.sort();
        for ticket in tickets {
            let Some(open) = self.open.get(&ticket) else { continue };
            let answer = if self.repeat_is_harmless(open) {
                Answer::Refused { come_back: self.catalogue.settings.most_advice }
            } else {
                Answer::Failed
            };
            self.count_unserved(ticket, &answer);
            self.drop_operation(ticket);
            effects.push(Effect::Answer(ticket, answer));
        }
        self.settle_events(effects);
    }

    /// An attempt ended. Ends that nobody waits for any more are counted and passed over.
    pub fn ended(&mut self, now: Micros, attempt: AttemptId, end: End, effects: &mut Vec<Effect>) {
        self.advance(now);
        let Some(out) = self.out.remove(&attempt) else {
            self.tally.late += 1;
            return;
        };
        self.due.remove(&(out.due, Due::Deadline(attempt)));
        self.attempt_over(attempt, out, end, effects);
        self.settle_events(effects);
    }

    fn attempt_over(&mut self, attempt: AttemptId, out: Out, end: End, effects: &mut Vec<Effect>) {
        let latency = self.now - out.sent;
        let view = &mut self.nodes[out.node.0 as usize];
        view.out -= 1;
        view.load = end.load.or(view.load);
        if end.outcome == Outcome::Served {
            view.served += 1;
            view.latency = latency;
        } else {
            view.unserved += 1;
        }
        if matches!(end.outcome, Outcome::Served | Outcome::Error | Outcome::Full) {
            view.heard = Some(self.now);
        }
        let served = end.outcome == Outcome::Served;
        let waiting = self.requests.get(&attempt.request).copied();
        if let (false, Some((ticket, index, _))) = (served, waiting)
            && let Some(open) = self.open.get_mut(&ticket)
        {
            open.last = Some(end.outcome);
            let never_ran = matches!(end.outcome, Outcome::Full | Outcome::Unreachable | Outcome::NotSent);
            open.pieces[index].doubt -= u32::from(never_ran);
        }
        self.events.push_back(Event::Answer(ModuleAnswer {
            request: attempt.request,
            attempt: attempt.n,
            node: out.node,
            outcome: end.outcome,
            settled: served || waiting.is_none(),
            latency,
            metered: None,
            elsewhere: 0.0,
        }));
        if let (true, Some((ticket, index, _))) = (served, waiting)
            && let Some(open) = self.open.get_mut(&ticket)
        {
            self.requests.remove(&attempt.request);
            open.pieces[index].state = PieceState::Served(end.data);
            self.answer_if_whole(ticket, effects);
        }
    }

    /// The node list: whole, or the lines that changed.
    pub fn nodes(
        &mut self,
        now: Micros,
        whole: bool,
        remembered: bool,
        listed: &[ListedNode],
        effects: &mut Vec<Effect>,
    ) {
        self.advance(now);
        let mut entries = Vec::with_capacity(listed.len());
        if whole {
            self.nodes.iter_mut().for_each(|n| n.state = NodeState::Gone);
        }
        for line in listed {
            let node = self.node_id(&line.name);
            let view = &mut self.nodes[node.0 as usize];
            (view.zone, view.shard, view.state) = (line.zone, line.shard, line.state);
            view.started = line.started;
            entries.push(NodeEntry {
                node,
                zone: line.zone,
                shard: ShardId(line.shard),
                state: line.state,
                started: line.started,
            });
        }
        self.events.push_back(Event::Nodes { whole, remembered, entries });
        self.settle_events(effects);
    }

    /// The node list could not be had.
    pub fn nodes_failed(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.advance(now);
        self.events.push_back(Event::NodesFailed);
        self.settle_events(effects);
    }

    /// The number of a node; a name that is new gets the next one.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        if let Some(&id) = self.names.get(name) {
            return id;
        }
        let id = NodeId(self.nodes.len() as u32);
        self.names.insert(name.to_owned(), id);
        self.nodes.push(NodeView {
            name: name.to_owned(),
            zone: 0,
            shard: 0,
            state: NodeState::Gone,
            started: None,
            out: 0,
            sent: 0,
            served: 0,
            unserved: 0,
            load: None,
            heard: None,
            latency: 0,
        });
        id
    }

    /// When [`Core::tick`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// Carries out what is due: the module's timers, and attempts whose time is up.
    pub fn tick(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        self.advance(now);
        while let Some(&(at, due)) = self.due.first()
            && at <= self.now
        {
            self.due.pop_first();
            match due {
                Due::Timer(token) => self.events.push_back(Event::Timer(token)),
                Due::Deadline(attempt) => {
                    if let Some(out) = self.out.remove(&attempt) {
                        effects.push(Effect::Forget(attempt, out.node));
                        self.attempt_over(attempt, out, End::of(Outcome::TimedOut), effects);
                    }
                }
            }
            self.settle_events(effects);
        }
    }

    /// What the module thinks of a node.
    pub fn look(&self, node: NodeId) -> Option<NodeLook> {
        self.scheduler.look(node)
    }

    /// The last operations that ended unserved, oldest first.
    pub fn ended_views(&self) -> impl Iterator<Item = &EndedView> {
        self.ended.iter()
    }

    /// How many ended unserved, by reason.
    pub fn reasons(&self) -> &BTreeMap<&'static str, u64> {
        &self.reasons
    }

    /// Operations that are owed an answer.
    pub fn open_operations(&self) -> usize {
        self.open.len()
    }

    /// Attempts out, those of finished operations included.
    pub fn attempts_out(&self) -> usize {
        self.out.len()
    }

    /// Counts since the start.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// The nodes seen, by number.
    pub fn node_views(&self) -> &[NodeView] {
        &self.nodes
    }

    /// The volumes, by namespace identifier.
    pub fn volume_views(&self) -> &BTreeMap<u32, VolumeView> {
        &self.volumes
    }

    /// The open operations, oldest first.
    pub fn open_views(&self) -> Vec<OpenView> {
        let mut nodes: HashMap<RequestId, Vec<NodeId>> = HashMap::new();
        for (attempt, out) in &self.out {
            nodes.entry(attempt.request).or_default().push(out.node);
        }
        let view = |(&ticket, open): (&Ticket, &Open)| OpenView {
            ticket,
            nsid: open.operation.nsid,
            opcode: open.operation.opcode,
            class: open.class,
            taken: open.taken,
            attempts: open.pieces.iter().map(|p| p.sent).sum(),
            nodes: open.pieces.iter().filter_map(|p| nodes.get(&p.request)).flatten().copied().collect(),
        };
        let mut views: Vec<OpenView> = self.open.iter().map(view).collect();
        views.sort_by_key(|v| (v.taken, v.ticket));
        views
    }

    fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Hands the module its events one by one and carries out its actions, until nothing is left of either.
    fn settle_events(&mut self, effects: &mut Vec<Effect>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.scheduler.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(action, effects);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action, effects: &mut Vec<Effect>) {
        match action {
            Action::Send { request, node, patience } => self.send(request, node, patience, effects),
            Action::Refuse { request, come_back } => self.end(request, Some(come_back), effects),
            Action::Fail { request } => self.end(request, None, effects),
            Action::Cancel { request, attempt } => {
                let id = AttemptId { request, n: attempt };
                if let Some(out) = self.out.remove(&id) {
                    self.due.remove(&(out.due, Due::Deadline(id)));
                    effects.push(Effect::Forget(id, out.node));
                    self.attempt_over(id, out, End::of(Outcome::Cancelled), effects);
                }
            }
            Action::SetTimer { after, token } => {
                self.due.insert((self.now + after, Due::Timer(token)));
            }
            Action::Subscribe => effects.push(Effect::Subscribe),
            Action::Log(line) => effects.push(Effect::Log(line)),
        }
    }

    fn send(&mut self, request: RequestId, node: NodeId, patience: Micros, effects: &mut Vec<Effect>) {
        let Some(&(ticket, index, deadline)) = self.requests.get(&request) else { return };
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let piece = &mut open.pieces[index];
        let attempt = AttemptId { request, n: piece.sent };
        piece.sent += 1;
        piece.doubt += 1;
        self.tally.sent += 1;
        self.tally.further += u64::from(attempt.n > 0);
        let due = if patience > 0 { deadline.min(self.now + patience) } else { deadline };
        self.out.insert(attempt, Out { node, sent: self.now, due });
        self.due.insert((due, Due::Deadline(attempt)));
        let view = &mut self.nodes[node.0 as usize];
        view.out += 1;
        view.sent += 1;
        let (part, operation) = (piece.part, &open.operation);
        let bytes = part.blocks * open.block_size;
        let data = if operation.data.is_empty() {
            Bytes::new()
        } else {
            let from = (part.slba - operation.slba) as usize * open.block_size as usize;
            operation.data.slice(from..from + bytes as usize)
        };
        effects.push(Effect::Send(Send {
            attempt,
            node,
            opcode: operation.opcode,
            nsid: operation.nsid,
            slba: part.slba,
            blocks: part.blocks,
            bytes,
            data,
            token: operation.token,
            keyed: matches!(self.catalogue.settings.classes[open.class].repeats, Repeats::Keyed { .. }),
        }));
    }

    /// The module ended a request unserved: the whole operation ends with it. Danger: a write of several parts of
    /// which one went through must not be called refused; it is only where repeating all of it is harmless.
    fn end(&mut self, request: RequestId, refused: Option<Micros>, effects: &mut Vec<Effect>) {
        let Some((ticket, index, _)) = self.requests.remove(&request) else { return };
        let Some(open) = self.open.get_mut(&ticket) else { return };
        open.pieces[index].state = PieceState::Over;
        let Some(open) = self.open.get(&ticket) else { return };
        let answer = match refused {
            Some(come_back) if self.repeat_is_harmless(open) => Answer::Refused { come_back },
            _ => Answer::Failed,
        };
        self.count_unserved(ticket, &answer);
        self.drop_operation(ticket);
        effects.push(Effect::Answer(ticket, answer));
    }

    /// Whether the client may repeat the whole operation without a second effect: nothing of it can have run, or nodes
    /// discard the repeat. Danger: a client that sets no token repeats under another one, which no node can recognise;
    /// once any part of its write may have run it is not told that a repeat is safe, whatever the class's group. Also
    /// covers hosts of other makers, which know of no tokens. Harm: more failures for them, fewer refusals.
    fn repeat_is_harmless(&self, open: &Open) -> bool {
        let repeats = self.catalogue.settings.classes[open.class].repeats;
        let known = open.named && matches!(repeats, Repeats::Keyed { group: Group::All, .. });
        let untouched = open.pieces.iter().all(|p| p.doubt == 0);
        untouched || known || open.operation.opcode != Opcode::Write || repeats == Repeats::Safe
    }

    fn count_unserved(&mut self, ticket: Ticket, answer: &Answer) {
        let Some(open) = self.open.get(&ticket) else { return };
        let failed = u64::from(*answer == Answer::Failed);
        let ended = EndedView {
            at: self.now,
            ticket,
            nsid: open.operation.nsid,
            opcode: open.operation.opcode,
            class: open.class,
            refused: match answer {
                Answer::Refused { come_back } => Some(*come_back),
                _ => None,
            },
            age: self.now - open.taken,
            attempts: open.pieces.iter().map(|p| p.sent).sum(),
            last: open.last,
        };
        if let Some(view) = self.volumes.get_mut(&ended.nsid) {
            view.failed += failed;
            view.refused += 1 - failed;
        }
        self.tally.failed += failed;
        self.tally.refused += 1 - failed;
        *self.reasons.entry(ended.reason()).or_default() += 1;
        self.ended.push_back(ended);
        if self.ended.len() > ENDED_KEPT {
            self.ended.pop_front();
        }
    }

    /// Answers an operation of which all parts are served.
    fn answer_if_whole(&mut self, ticket: Ticket, effects: &mut Vec<Effect>) {
        let Some(open) = self.open.get(&ticket) else { return };
        if open.pieces.iter().any(|p| !matches!(p.state, PieceState::Served(_))) {
            return;
        }
        let Some(open) = self.open.remove(&ticket) else { return };
        let mut parts = open.pieces.into_iter().filter_map(|p| match p.state {
            PieceState::Served(data) => Some(data),
            _ => None,
        });
        let first = parts.next().unwrap_or_default();
        let data = match parts.next() {
            None => first,
            Some(second) => {
                let mut whole = BytesMut::from(&first[..]);
                std::iter::once(second).chain(parts).for_each(|p| whole.extend_from_slice(&p));
                whole.freeze()
            }
        };
        if let Some(view) = self.volumes.get_mut(&open.operation.nsid) {
            view.served += 1;
            view.open -= 1;
        }
        self.tally.served += 1;
        effects.push(Effect::Answer(ticket, Answer::Served(data)));
    }
}
