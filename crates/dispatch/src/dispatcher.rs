//! The dispatcher: requests open, attempts out, what is due, and the nodes by number.

mod rights;
mod waiting;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use decisions::{
    Action, Answer, Event, Micros, NodeEntry, NodeId, NodeLook, NodeState, Outcome, Request, RequestId,
    Scheduler, Settings, ShardId,
};

use crate::attempt::{AttemptId, Step, Verdict};
use crate::node::{ListedNode, NodeView};

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Taken back by their client.
    pub withdrawn: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts after a request's first.
    pub further: u64,
    /// Ends that came after nobody waited.
    pub late: u64,
}

/// A request that is owed an answer.
struct Held<P> {
    payload: P,
    deadline: Micros,
    /// Attempts sent.
    sent: u32,
}

struct Out {
    node: NodeId,
    sent: Micros,
    due: Micros,
    /// It waits for a connection: nothing of it is written.
    waits: bool,
}

/// Of two at one time the earlier comes first: the module must know how an attempt ended before it gives up its request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Deadline(AttemptId),
    Timer(u64),
}

/// The requests of one gateway.
///
/// Call [`Dispatcher::step`] until it is empty after every other call that changes anything.
pub struct Dispatcher<P> {
    scheduler: Scheduler,
    now: Micros,
    requests: HashMap<RequestId, Held<P>>,
    /// Attempts sent for requests that the module does not know to be withdrawn yet.
    withdrawn: HashMap<RequestId, u32>,
    out: HashMap<AttemptId, Out>,
    due: BTreeSet<(Micros, Due)>,
    next_request: u64,
    names: HashMap<String, NodeId>,
    nodes: BTreeMap<NodeId, NodeView>,
    next_node: u32,
    counts: Counts,
    events: VecDeque<Event>,
    actions: VecDeque<Action>,
    steps: VecDeque<Step<P>>,
}

impl<P> Dispatcher<P> {
    /// One that has taken nothing yet. `seed` feeds the module's randomness.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Dispatcher {
            scheduler: Scheduler::new(settings, seed),
            now: Micros::MIN,
            requests: HashMap::new(),
            withdrawn: HashMap::new(),
            out: HashMap::new(),
            due: BTreeSet::new(),
            next_request: 0,
            names: HashMap::new(),
            nodes: BTreeMap::new(),
            next_node: 0,
            counts: Counts::default(),
            events: VecDeque::new(),
            actions: VecDeque::new(),
            steps: VecDeque::new(),
        }
    }

    /// Takes a request; it is owed one final answer. The id in `ask` is given here.
    pub fn take(&mut self, now: Micros, mut ask: Request, payload: P) -> RequestId {
        self.advance(now);
        let id = RequestId(self.next_request);
        self.next_request += 1;
        ask.id = id;
        self.requests.insert(id, Held { payload, deadline: self.now + ask.timeout, sent: 0 });
        self.counts.taken += 1;
        self.events.push_back(Event::Request(ask));
        id
    }

    /// The payload of a request that is owed an answer.
    pub fn payload(&self, request: RequestId) -> Option<&P> {
        self.requests.get(&request).map(|h| &h.payload)
    }

    /// The same, to be changed.
    pub fn payload_mut(&mut self, request: RequestId) -> Option<&mut P> {
        self.requests.get_mut(&request).map(|h| &mut h.payload)
    }

    /// Whether an attempt is out.
    pub fn is_out(&self, attempt: AttemptId) -> bool {
        self.out.contains_key(&attempt)
    }

    /// Nothing more is owed: no further attempt goes out. What is out stays out until it ends.
    pub fn withdraw(&mut self, now: Micros, request: RequestId) -> Option<P> {
        self.advance(now);
        let held = self.requests.remove(&request)?;
        self.counts.withdrawn += 1;
        self.withdrawn.insert(request, held.sent);
        self.events.push_back(Event::Withdrawn(request));
        Some(held.payload)
    }

    /// An attempt ended. `Some` if that was its request's one final answer: it is served. Ends that nobody waits for any
    /// more are counted and passed over.
    pub fn ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        load: Option<u32>,
    ) -> Option<P> {
        self.advance(now);
        let Some(out) = self.out.remove(&attempt) else {
            self.counts.late += 1;
            return None;
        };
        self.due.remove(&(out.due, Due::Deadline(attempt)));
        self.over(attempt, &out, outcome, load)
    }

    fn over(&mut self, attempt: AttemptId, out: &Out, outcome: Outcome, load: Option<u32>) -> Option<P> {
        let latency = self.now - out.sent;
        let served = outcome == Outcome::Served;
        if let Some(view) = self.nodes.get_mut(&out.node) {
            view.out -= 1;
            view.load = load.or(view.load);
            if served {
                view.served += 1;
                view.latency = latency;
            } else {
                view.unserved += 1;
            }
            if matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Full) {
                view.heard = Some(self.now);
            }
        }
        let settled = served || !self.requests.contains_key(&attempt.request);
        self.events.push_back(answer(attempt, out.node, outcome, settled, latency));
        let held = if served { self.requests.remove(&attempt.request) } else { None };
        self.counts.served += u64::from(held.is_some());
        held.map(|h| h.payload)
    }

    /// The node list: whole, or the lines that changed.
    pub fn nodes(&mut self, now: Micros, whole: bool, remembered: bool, listed: &[ListedNode]) {
        self.advance(now);
        let mut entries = Vec::with_capacity(listed.len());
        if whole {
            self.nodes.values_mut().for_each(|n| n.state = NodeState::Gone);
        }
        for line in listed {
            let node = self.node_id(&line.name);
            if let Some(view) = self.nodes.get_mut(&node) {
                (view.zone, view.shard, view.state) = (line.zone, line.shard, line.state);
                view.started = line.started;
            }
            entries.push(NodeEntry {
                node,
                zone: line.zone,
                shard: ShardId(line.shard),
                state: line.state,
                started: line.started,
            });
        }
        self.events.push_back(Event::Nodes { complete: whole, from_cache: remembered, entries });
    }

    /// The node list could not be had.
    pub fn nodes_failed(&mut self, now: Micros) {
        self.advance(now);
        self.events.push_back(Event::NodeListFailed);
    }

    /// The number of a node; a name that is new gets the next one.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        if let Some(&id) = self.names.get(name) {
            return id;
        }
        let id = NodeId(self.next_node);
        self.next_node += 1;
        self.names.insert(name.to_owned(), id);
        self.nodes.insert(id, NodeView::new(name));
        id
    }

    /// Forgets the nodes that are gone, have nothing out, and that the module has forgotten; which they are. Danger: where
    /// every node is replaced by one with a new name, the tables grow for ever. Harm: none; one that comes back is new.
    pub fn forget_gone(&mut self) -> Vec<NodeId> {
        let scheduler = &self.scheduler;
        let over = |id: &NodeId, n: &NodeView| {
            n.state == NodeState::Gone && n.out == 0 && scheduler.look(*id).is_none()
        };
        let gone: Vec<NodeId> = self.nodes.iter().filter(|(id, n)| over(id, n)).map(|(id, _)| *id).collect();
        for id in &gone {
            if let Some(view) = self.nodes.remove(id) {
                self.names.remove(&view.name);
            }
        }
        gone
    }

    /// When [`Dispatcher::tick`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// Handles the next thing that is due: a timer of the module's, or an attempt whose time is up. Whether there was one.
    pub fn tick(&mut self, now: Micros) -> bool {
        self.advance(now);
        let Some(&(at, due)) = self.due.first() else { return false };
        if at > self.now {
            return false;
        }
        self.due.pop_first();
        match due {
            Due::Timer(token) => self.events.push_back(Event::Timer(token)),
            Due::Deadline(attempt) => {
                if let Some(out) = self.out.remove(&attempt) {
                    let outcome = if out.waits { Outcome::NotSent } else { Outcome::TimedOut };
                    self.steps.push_back(Step::Forget(attempt, out.node, outcome));
                    self.over(attempt, &out, outcome, None);
                }
            }
        }
        true
    }

    /// The next thing to carry out, until nothing is left. The module gets its events one by one.
    pub fn step(&mut self) -> Option<Step<P>> {
        loop {
            if let Some(step) = self.steps.pop_front() {
                return Some(step);
            }
            if let Some(action) = self.actions.pop_front() {
                self.act(action);
                continue;
            }
            let event = self.events.pop_front()?;
            if let Event::Withdrawn(request) = event {
                self.withdrawn.remove(&request);
            }
            let mut actions = Vec::new();
            self.scheduler.handle(self.now, event, &mut actions);
            self.actions.extend(actions);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, node, timeout: patience } => self.send(request, node, patience),
            Action::Refuse { request, retry_after: come_back } => {
                self.finish(request, Verdict::Refused { come_back });
            }
            Action::Fail { request } => self.finish(request, Verdict::Failed),
            Action::Cancel { request, attempt } => {
                let id = AttemptId { request, n: attempt };
                if let Some(out) = self.out.remove(&id) {
                    self.due.remove(&(out.due, Due::Deadline(id)));
                    let outcome = if out.waits { Outcome::NotSent } else { Outcome::Cancelled };
                    self.steps.push_back(Step::Forget(id, out.node, outcome));
                    self.over(id, &out, outcome, None);
                }
            }
            Action::SetTimer { after, token } => {
                self.due.insert((self.now + after, Due::Timer(token)));
            }
            Action::Subscribe => self.steps.push_back(Step::Subscribe),
            Action::Log(line) => self.steps.push_back(Step::Log(line)),
        }
    }

    fn send(&mut self, request: RequestId, node: NodeId, patience: Micros) {
        let Some(held) = self.requests.get_mut(&request) else {
            // It was withdrawn meanwhile: this never goes out, and the module must learn so, or it would count the attempt
            // as out for ever.
            if let Some(n) = self.withdrawn.get_mut(&request) {
                let attempt = AttemptId { request, n: *n };
                *n += 1;
                self.events.push_back(answer(attempt, node, Outcome::NotSent, true, 0));
            }
            return;
        };
        let attempt = AttemptId { request, n: held.sent };
        held.sent += 1;
        self.counts.sent += 1;
        self.counts.further += u64::from(attempt.n > 0);
        let due = if patience > 0 { held.deadline.min(self.now + patience) } else { held.deadline };
        self.out.insert(attempt, Out { node, sent: self.now, due, waits: false });
        self.due.insert((due, Due::Deadline(attempt)));
        if let Some(view) = self.nodes.get_mut(&node) {
            view.out += 1;
            view.sent += 1;
        }
        self.steps.push_back(Step::Send { attempt, node, due });
    }

    fn finish(&mut self, request: RequestId, verdict: Verdict) {
        let Some(held) = self.requests.remove(&request) else { return };
        match verdict {
            Verdict::Refused { .. } => self.counts.refused += 1,
            Verdict::Failed => self.counts.failed += 1,
        }
        self.steps.push_back(Step::Over(request, held.payload, verdict));
    }

    /// What the module thinks of a node.
    pub fn look(&self, node: NodeId) -> Option<NodeLook> {
        self.scheduler.look(node)
    }

    /// Requests that are owed an answer.
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// The attempts out and their nodes, those of finished requests included.
    pub fn out(&self) -> impl Iterator<Item = (AttemptId, NodeId)> {
        self.out.iter().map(|(id, out)| (*id, out.node))
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The nodes known, by number.
    pub fn node_views(&self) -> &BTreeMap<NodeId, NodeView> {
        &self.nodes
    }

    fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }
}

fn answer(attempt: AttemptId, node: NodeId, outcome: Outcome, settled: bool, latency: Micros) -> Event {
    Event::Answer(Answer {
        request: attempt.request,
        attempt: attempt.n,
        node,
        outcome,
        settled,
        latency,
        metered_use: None,
        units_elsewhere: 0.0,
    })
}
