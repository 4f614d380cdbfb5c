//! The dispatcher: open requests, attempts in flight, due times, and nodes by number.

mod retry_tokens;
mod write;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use decisions::{
    Action, Answer, Event, Micros, NodeEntry, NodeId, NodeSnapshot, NodeState, Outcome, Request, RequestId,
    Scheduler, Settings, ShardId,
};

use crate::attempt::{AttemptId, Command, Verdict};
use crate::counts::RequestCounts;
use crate::node::{ListedNode, NodeView};

/// A request without a final answer yet.
struct OpenRequest<P> {
    payload: P,
    deadline: Micros,
    attempts_sent: u32,
}

/// An attempt that was sent and has not ended.
struct InFlight {
    node: NodeId,
    sent_at: Micros,
    due: Micros,
    /// The scheduler knows that the attempt waits; its volume's units are kept for it.
    awaits_connection: bool,
    /// Its write was permitted, so that it may run.
    has_begun: bool,
}

/// What is due at a point in time. Of two items due at the same time the variant declared first is handled
/// first: the scheduler must know how an attempt ended before it gives up the request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    AttemptDeadline(AttemptId),
    SchedulerTimer(u64),
}

/// The requests of one gateway.
///
/// After every other call that takes `&mut self`, call [`Dispatcher::next_command`] until it returns `None`.
pub struct Dispatcher<P> {
    scheduler: Scheduler,
    now: Micros,
    requests: HashMap<RequestId, OpenRequest<P>>,
    /// Attempts sent for each withdrawn request of whose withdrawal the scheduler has not been notified yet.
    withdrawn_attempts: HashMap<RequestId, u32>,
    in_flight: HashMap<AttemptId, InFlight>,
    due: BTreeSet<(Micros, Due)>,
    next_request: u64,
    node_ids: HashMap<String, NodeId>,
    nodes: BTreeMap<NodeId, NodeView>,
    next_node: u32,
    counts: RequestCounts,
    events: VecDeque<Event>,
    actions: VecDeque<Action>,
    commands: VecDeque<Command<P>>,
}

impl<P> Dispatcher<P> {
    /// Creates a dispatcher without requests. `seed` initializes the scheduler's random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Dispatcher {
            scheduler: Scheduler::new(settings, seed),
            now: Micros::MIN,
            requests: HashMap::new(),
            withdrawn_attempts: HashMap::new(),
            in_flight: HashMap::new(),
            due: BTreeSet::new(),
            next_request: 0,
            node_ids: HashMap::new(),
            nodes: BTreeMap::new(),
            next_node: 0,
            counts: RequestCounts::default(),
            events: VecDeque::new(),
            actions: VecDeque::new(),
            commands: VecDeque::new(),
        }
    }

    /// Sets how many volumes and unserved requests the scheduler remembers at most.
    pub fn limit_records(&mut self, max: usize) {
        self.scheduler.limit_records(max);
    }

    /// Accepts a request, which gets exactly one final answer, and assigns its id; the id in `request` is
    /// ignored.
    pub fn submit(&mut self, now: Micros, mut request: Request, payload: P) -> RequestId {
        self.advance(now);
        let id = RequestId(self.next_request);
        self.next_request += 1;
        request.id = id;
        self.requests
            .insert(id, OpenRequest { payload, deadline: self.now + request.timeout, attempts_sent: 0 });
        self.counts.accepted += 1;
        self.events.push_back(Event::Request(request));
        id
    }

    /// Returns the payload of an open request.
    pub fn payload(&self, request: RequestId) -> Option<&P> {
        self.requests.get(&request).map(|open| &open.payload)
    }

    /// Returns the payload of an open request for modification.
    pub fn payload_mut(&mut self, request: RequestId) -> Option<&mut P> {
        self.requests.get_mut(&request).map(|open| &mut open.payload)
    }

    /// Whether an attempt is in flight.
    pub fn is_in_flight(&self, attempt: AttemptId) -> bool {
        self.in_flight.contains_key(&attempt)
    }

    /// Withdraws a request: it gets no answer and no more attempts. Attempts that have begun stay in flight until
    /// they end.
    pub fn withdraw(&mut self, now: Micros, request: RequestId) -> Option<P> {
        self.advance(now);
        let open = self.requests.remove(&request)?;
        self.counts.withdrawn += 1;
        self.withdrawn_attempts.insert(request, open.attempts_sent);
        self.events.push_back(Event::Withdrawn(request));
        self.drop_unbegun(request, open.attempts_sent);
        Some(open.payload)
    }

    /// Reports the end of an attempt. Returns the payload if this serves the request, which is then its final
    /// answer. The end of an attempt that is no longer in flight is counted as late and otherwise ignored.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        load: Option<u32>,
    ) -> Option<P> {
        self.advance(now);
        let Some(in_flight) = self.in_flight.remove(&attempt) else {
            self.counts.late += 1;
            return None;
        };
        self.due.remove(&(in_flight.due, Due::AttemptDeadline(attempt)));
        self.record_end(attempt, &in_flight, outcome, load)
    }

    /// Records the end of an attempt that was taken out of `in_flight` and notifies the scheduler. Returns
    /// the payload if the request is served.
    fn record_end(
        &mut self,
        attempt: AttemptId,
        in_flight: &InFlight,
        outcome: Outcome,
        load: Option<u32>,
    ) -> Option<P> {
        let latency = self.now - in_flight.sent_at;
        let served = outcome == Outcome::Served;
        if let Some(view) = self.nodes.get_mut(&in_flight.node) {
            view.in_flight -= 1;
            view.load = load.or(view.load);
            if served {
                view.served += 1;
                view.latency = latency;
            } else {
                view.unserved += 1;
            }
            if matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Full) {
                view.last_heard = Some(self.now);
            }
        }
        let settled = served || !self.requests.contains_key(&attempt.request);
        self.events.push_back(answer_event(attempt, in_flight.node, outcome, settled, latency));
        let open = if served { self.requests.remove(&attempt.request) } else { None };
        self.counts.served += u64::from(open.is_some());
        let open = open?;
        self.drop_unbegun(attempt.request, open.attempts_sent);
        Some(open.payload)
    }

    /// Applies the node list: the complete list, or only the entries that changed.
    pub fn update_nodes(&mut self, now: Micros, complete: bool, from_cache: bool, listed: &[ListedNode]) {
        self.advance(now);
        let mut entries = Vec::with_capacity(listed.len());
        if complete {
            self.nodes.values_mut().for_each(|view| view.state = NodeState::Gone);
        }
        for entry in listed {
            let node = self.node_id(&entry.name);
            if let Some(view) = self.nodes.get_mut(&node) {
                (view.zone, view.shard, view.state) = (entry.zone, entry.shard, entry.state);
                view.started = entry.started;
            }
            entries.push(NodeEntry {
                node,
                zone: entry.zone,
                shard: ShardId(entry.shard),
                state: entry.state,
                started: entry.started,
            });
        }
        self.events.push_back(Event::Nodes { complete, from_cache, entries });
    }

    /// Notifies the scheduler that fetching the node list failed.
    pub fn node_list_failed(&mut self, now: Micros) {
        self.advance(now);
        self.events.push_back(Event::NodeListFailed);
    }

    /// Returns the number of a node. An unknown name is assigned the next number.
    pub fn node_id(&mut self, name: &str) -> NodeId {
        if let Some(&id) = self.node_ids.get(name) {
            return id;
        }
        let id = NodeId(self.next_node);
        self.next_node += 1;
        self.node_ids.insert(name.to_owned(), id);
        self.nodes.insert(id, NodeView::new(name));
        id
    }

    /// Removes the nodes that are gone, have no attempt in flight and are no longer known to the scheduler;
    /// returns them. Without this the tables would grow without bound where nodes are replaced by nodes with
    /// new names. The removal costs nothing: a node that comes back is treated as new.
    pub fn remove_gone_nodes(&mut self) -> Vec<NodeId> {
        let scheduler = &self.scheduler;
        let is_removable = |id: &NodeId, view: &NodeView| {
            view.state == NodeState::Gone && view.in_flight == 0 && scheduler.node_snapshot(*id).is_none()
        };
        let gone: Vec<NodeId> =
            self.nodes.iter().filter(|(id, view)| is_removable(id, view)).map(|(id, _)| *id).collect();
        for id in &gone {
            if let Some(view) = self.nodes.remove(id) {
                self.node_ids.remove(&view.name);
            }
        }
        gone
    }

    /// Returns the time at which [`Dispatcher::tick`] must be called next.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|item| item.0)
    }

    /// Handles the next due item: a timer of the scheduler, or an attempt whose deadline has passed. Returns
    /// whether there was one.
    pub fn tick(&mut self, now: Micros) -> bool {
        self.advance(now);
        let Some(&(at, due)) = self.due.first() else { return false };
        if at > self.now {
            return false;
        }
        self.due.pop_first();
        match due {
            Due::SchedulerTimer(token) => self.events.push_back(Event::Timer(token)),
            Due::AttemptDeadline(attempt) => self.abandon(attempt, Outcome::TimedOut),
        }
        true
    }

    /// Returns the next command for the caller to carry out, or `None` once nothing is left. The scheduler is
    /// given one event at a time.
    pub fn next_command(&mut self) -> Option<Command<P>> {
        loop {
            if let Some(command) = self.commands.pop_front() {
                return Some(command);
            }
            if let Some(action) = self.actions.pop_front() {
                self.apply(action);
                continue;
            }
            let event = self.events.pop_front()?;
            if let Event::Withdrawn(request) = event {
                self.withdrawn_attempts.remove(&request);
            }
            let mut actions = Vec::new();
            self.scheduler.handle(self.now, event, &mut actions);
            self.actions.extend(actions);
        }
    }

    fn apply(&mut self, action: Action) {
        match action {
            Action::Send { request, node, timeout } => self.send(request, node, timeout),
            Action::Refuse { request, retry_after } => {
                self.finish(request, Verdict::Refused { retry_after });
            }
            Action::Fail { request } => self.finish(request, Verdict::Failed),
            Action::Cancel { request, attempt } => {
                self.abandon(AttemptId { request, index: attempt }, Outcome::Cancelled);
            }
            Action::SetTimer { after, token } => {
                self.due.insert((self.now + after, Due::SchedulerTimer(token)));
            }
            Action::Subscribe => self.commands.push_back(Command::Subscribe),
            Action::Log(line) => self.commands.push_back(Command::Log(line)),
        }
    }

    fn send(&mut self, request: RequestId, node: NodeId, timeout: Micros) {
        let Some(open) = self.requests.get_mut(&request) else {
            // The request was withdrawn in the meantime and the attempt is not sent. The scheduler must be
            // notified, or it would count the attempt as in flight forever.
            if let Some(attempts) = self.withdrawn_attempts.get_mut(&request) {
                let attempt = AttemptId { request, index: *attempts };
                *attempts += 1;
                self.events.push_back(answer_event(attempt, node, Outcome::NotSent, true, 0));
            }
            return;
        };
        let attempt = AttemptId { request, index: open.attempts_sent };
        open.attempts_sent += 1;
        self.counts.sent += 1;
        self.counts.retries += u64::from(attempt.index > 0);
        let due = if timeout > 0 { open.deadline.min(self.now + timeout) } else { open.deadline };
        self.in_flight.insert(
            attempt,
            InFlight { node, sent_at: self.now, due, awaits_connection: false, has_begun: false },
        );
        self.due.insert((due, Due::AttemptDeadline(attempt)));
        if let Some(view) = self.nodes.get_mut(&node) {
            view.in_flight += 1;
            view.sent += 1;
        }
        self.commands.push_back(Command::Send { attempt, node, due });
    }

    fn finish(&mut self, request: RequestId, verdict: Verdict) {
        let Some(open) = self.requests.remove(&request) else { return };
        match verdict {
            Verdict::Refused { .. } => self.counts.refused += 1,
            Verdict::Failed => self.counts.failed += 1,
        }
        self.drop_unbegun(request, open.attempts_sent);
        self.commands.push_back(Command::EndUnserved(request, open.payload, verdict));
    }

    /// Returns the scheduler's view of a node.
    pub fn node_snapshot(&self, node: NodeId) -> Option<NodeSnapshot> {
        self.scheduler.node_snapshot(node)
    }

    /// Returns the number of open requests: those without a final answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the attempts in flight and their nodes, including those of finished requests.
    pub fn attempts_in_flight(&self) -> impl Iterator<Item = (AttemptId, NodeId)> {
        self.in_flight.iter().map(|(id, in_flight)| (*id, in_flight.node))
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// Returns the known nodes by number.
    pub fn node_views(&self) -> &BTreeMap<NodeId, NodeView> {
        &self.nodes
    }

    /// Advances the clock, which never goes back.
    fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }
}

fn answer_event(attempt: AttemptId, node: NodeId, outcome: Outcome, settled: bool, latency: Micros) -> Event {
    Event::Answer(Answer {
        request: attempt.request,
        attempt: attempt.index,
        node,
        outcome,
        settled,
        latency,
        metered_use: None,
        units_elsewhere: 0.0,
    })
}
