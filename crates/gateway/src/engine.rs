//! The engine: the one coroutine that owns the core.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc as thread_mpsc;

use bytes::Bytes;
use decisions::{NodeId, NodeState};
use limits::Turns;
use may::sync::mpsc::Receiver;
use nvme::{Admission, Completion, IoCommand, Status as NvmeStatus, StatusCode};
use records::Clock;
use recovery::{InHand, NodeWord, Place, Word};
use storage_core::{
    Answer, Core, Effect, End, EndedView, ListedNode, Micros, Opcode, OpenView, Operation, Send, Ticket,
};

use crate::connection::{Connection, ConnectionId};
use crate::front::Front;
use crate::link::Link;
use crate::mapping::told;
use crate::message::{Inbox, Message};
use crate::options::{GatewayOptions, NodeLine, NodeLineState};
use crate::returning::{Order, Returning};
use crate::status::{
    ControlAnswer, ControlRequest, EndedStatus, NodeStatus, RequestStatus, Status, VolumeStatus,
};
use transport::Outlet;
use transport::Ticker;

/// Messages handled with one reading of the clock.
const MESSAGES: usize = 2048;
/// Commands taken with one reading of the clock, by turns of the hosts.
const COMMANDS: usize = 256;
/// What a host may use in a turn, in blocks of 4 KiB.
const QUANTUM: u64 = 32;
/// How often associations and links are held against their time-outs.
const HOUSEKEEPING: Micros = 50_000;

struct Client {
    connection: Arc<Connection>,
    admission: Option<Admission>,
    host: Arc<str>,
    tickets: HashMap<u16, Ticket>,
}

/// A command that was taken.
struct Taken {
    connection: ConnectionId,
    cid: u16,
    bytes: u64,
    /// What a Compare holds the data that was read against.
    expected: Option<Bytes>,
}

pub(crate) struct Engine {
    options: GatewayOptions,
    address: String,
    core: Core,
    front: Arc<Front>,
    inbox: Inbox,
    clients: HashMap<ConnectionId, Client>,
    tickets: HashMap<Ticket, Taken>,
    /// Commands that wait for their host's turn; none of them is taken yet.
    turns: Turns<Arc<str>, (ConnectionId, IoCommand)>,
    next_ticket: u64,
    links: HashMap<NodeId, Arc<Link>>,
    effects: Vec<Effect>,
    /// The operators' orders: their number, volumes held, everything paused.
    revision: u64,
    held: BTreeSet<u32>,
    paused: bool,
    /// Outlets with something to write at the end of the batch.
    dirty: Vec<Arc<Outlet>>,
    started: Micros,
    next_housekeeping: Micros,
    stop_by: Option<Micros>,
    returning: Option<Returning>,
    /// Reads of places whose writes from before are to be settled.
    settling: HashMap<Ticket, InHand>,
    /// Starts of nodes as listed.
    starts: HashMap<NodeId, Micros>,
    stopped: Vec<thread_mpsc::Sender<()>>,
}

impl Engine {
    pub(crate) fn new(
        options: GatewayOptions,
        address: String,
        front: Arc<Front>,
        inbox: Inbox,
        returning: Option<Returning>,
    ) -> Self {
        let core = Core::new(options.catalogue.clone(), options.seed);
        Engine {
            core,
            address,
            started: front.clock.now(),
            front,
            inbox,
            clients: HashMap::new(),
            tickets: HashMap::new(),
            turns: Turns::new(QUANTUM),
            next_ticket: 0,
            links: HashMap::new(),
            effects: Vec::new(),
            revision: 0,
            held: BTreeSet::new(),
            paused: options.await_orders,
            dirty: Vec::new(),
            next_housekeeping: 0,
            stop_by: None,
            returning,
            settling: HashMap::new(),
            starts: HashMap::new(),
            stopped: Vec::new(),
            options,
        }
    }

    /// Runs until it was told to stop and owes nothing more. The ticker sends [`Message::Tick`] at the times set here.
    pub(crate) fn run(mut self, messages: &Receiver<Message>, ticker: &Ticker) {
        let clock: Clock = self.front.clock;
        let now = clock.now();
        let lines = std::mem::take(&mut self.options.nodes);
        self.list(now, true, true, &lines);
        // Orders from before are in force until later ones come.
        if let Some(word) = self.returning.as_ref().map(|r| r.word().clone()) {
            self.adopt(now, &word);
        }
        self.settle(now);
        let mut told = Micros::MIN;
        loop {
            let now = clock.now();
            self.core.tick(now, &mut self.effects);
            self.settle(now);
            if now >= self.next_housekeeping {
                self.housekeeping(now);
            }
            if self.returning.as_ref().is_some_and(|r| now >= r.next_due()) {
                self.return_with(now, |r, orders| r.tick(now, orders));
            }
            self.dirty.drain(..).for_each(|outlet| outlet.flush());
            if self.may_leave(now) {
                return self.leave();
            }
            let due = self.core.next_due().unwrap_or(Micros::MAX).min(self.next_housekeeping);
            let due = due.min(self.returning.as_ref().map_or(Micros::MAX, Returning::next_due));
            if due != told {
                ticker.due(due);
                told = due;
            }
            if self.turns.is_empty() {
                let Ok(first) = messages.recv() else { return };
                self.message(clock.now(), first);
            }
            let now = clock.now();
            for _ in 1..MESSAGES {
                let Ok(next) = messages.try_recv() else { break };
                self.message(now, next);
            }
            for _ in 0..COMMANDS {
                let Some((id, command)) = self.turns.pop() else { break };
                self.command(now, id, command);
                self.settle(now);
            }
            // Before the module's timers and the rest: what is decided goes out.
            self.dirty.drain(..).for_each(|outlet| outlet.flush());
        }
    }

    /// Answers a command of a connection, with the batch.
    fn answer(&mut self, id: ConnectionId, cid: u16, completion: Completion) {
        let Some(client) = self.clients.get(&id) else { return };
        if client.connection.complete(cid, completion, &self.front.target) {
            self.dirty.push(client.connection.outlet.clone());
        }
    }

    fn message(&mut self, now: Micros, message: Message) {
        match message {
            Message::Tick => {}
            Message::Kept { seqs, error } => self.kept(now, seqs, error),
            Message::Peer(told) => self.return_with(now, |r, orders| r.told(now, told, orders)),
            Message::Opened(connection) => {
                let (tickets, host) = (HashMap::new(), Arc::from(""));
                let client = Client { admission: None, tickets, host, connection: connection.clone() };
                self.clients.insert(connection.id, client);
            }
            Message::Bound(id, admission, host) => {
                if let Some(client) = self.clients.get_mut(&id) {
                    (client.admission, client.host) = (Some(admission), host);
                }
            }
            Message::Evict(id) => self.evict(id, "another connection comes in its place"),
            Message::Command(id, command) => {
                if let Some(client) = self.clients.get(&id) {
                    let cost = 1 + (command.data.len() as u64).max(u64::from(command.blocks) * 4096) / 4096;
                    self.turns.push(client.host.clone(), cost, (id, command));
                }
            }
            Message::Abort { connection, cid, sqid, victim } => {
                self.abort(now, connection, cid, sqid, victim);
            }
            Message::Closed(id) => self.closed(now, id),
            Message::AssociationEnded(cntlid) => self.association_ended(cntlid),
            Message::Ended(attempt, end) => {
                if let Some(work) = self.returning.as_mut().and_then(Returning::work) {
                    work.ended(now, attempt, end.outcome);
                }
                self.core.ended(now, attempt, end, &mut self.effects);
            }
            Message::Control(request, reply) => {
                let answer = self.control(now, request);
                let _ = reply.send(answer); // Its asker may have gone.
            }
            Message::Stop(reply) => {
                self.stop(now);
                self.stopped.push(reply);
            }
        }
        self.settle(now);
    }

    fn command(&mut self, now: Micros, id: ConnectionId, command: IoCommand) {
        if !self.clients.contains_key(&id) {
            return;
        }
        if let Some(come_back) =
            self.returning.as_mut().and_then(|r| r.closed(now, &self.options.catalogue, &command))
        {
            // It is not taken: what it asks for is not open yet.
            let refused = told(Answer::Refused { come_back }, &self.options.target.retry_delays);
            return self.answer(id, command.cid, refused);
        }
        let bytes = self.bytes_of(&command);
        let over = self.front.gate().take(id, bytes).err();
        if let Some(over) = over {
            tracing::debug!(%over, "a command is not taken");
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        if over.is_some() || self.stop_by.is_some() || self.paused || self.held.contains(&command.nsid) {
            // It is not taken: it never becomes a request, whether this gateway leaves, an operator holds the volume, or
            // the gateway holds as much of this host as it may.
            if over.is_none() {
                self.front.gate().done(id, bytes);
            }
            let come_back = self.options.catalogue.settings.most_advice;
            let refused = told(Answer::Refused { come_back }, &self.options.target.retry_delays);
            return self.answer(id, command.cid, refused);
        }
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        client.tickets.insert(command.cid, ticket);
        let (cid, compares) = (command.cid, command.opcode == nvme::io::COMPARE);
        let opcode = match command.opcode {
            nvme::io::READ | nvme::io::COMPARE => Opcode::Read,
            nvme::io::WRITE => Opcode::Write,
            _ => Opcode::Flush,
        };
        let IoCommand { nsid, slba, blocks, mut data, token, .. } = command;
        let expected = compares.then(|| std::mem::take(&mut data));
        self.tickets.insert(ticket, Taken { connection: id, cid, bytes, expected });
        let operation = Operation { ticket, opcode, nsid, slba, blocks, data, token, retry: false };
        self.core.submit(now, operation, &mut self.effects);
    }

    /// A held command ends with Abort Requested; one that has gone out keeps its own answer (Base 5.1).
    fn abort(&mut self, now: Micros, id: ConnectionId, cid: u16, sqid: u16, victim: u16) {
        let cntlid = self.clients.get(&id).and_then(|c| c.admission).map(|a| a.cntlid);
        let wanted = |c: &Client| c.admission.is_some_and(|a| Some(a.cntlid) == cntlid && a.qid == sqid);
        let queue = self.clients.values().find(|c| wanted(c));
        let ticket = queue.and_then(|c| c.tickets.get(&victim)).copied();
        // One that waits for its host's turn was not even taken.
        if let Some((queue, host)) =
            queue.filter(|_| ticket.is_none()).map(|c| (c.connection.id, c.host.clone()))
            && self.turns.remove(&host, |(id, command)| (*id, command.cid) == (queue, victim)).is_some()
        {
            self.answer(queue, victim, Completion::of(NvmeStatus::passing(StatusCode::AbortRequested)));
            return self.answer(id, cid, Completion::of(NvmeStatus::SUCCESS));
        }
        let aborted = ticket.is_some_and(|t| self.core.abort(now, t, &mut self.effects));
        if let (true, Some(ticket)) = (aborted, ticket) {
            self.complete(ticket, Completion::of(NvmeStatus::passing(StatusCode::AbortRequested)));
        }
        self.answer(id, cid, Completion { dw0: u32::from(!aborted), ..Completion::of(NvmeStatus::SUCCESS) });
    }

    /// Bytes that a command holds here, as data of a write or of a read's answer.
    fn bytes_of(&self, command: &IoCommand) -> u64 {
        let size = self.options.catalogue.volume(command.nsid).map_or(0, |v| u64::from(v.block_size));
        u64::from(command.blocks) * size
    }

    /// Closes a connection that never completed its way up.
    fn evict(&mut self, id: ConnectionId, why: &str) {
        if let Some(client) = self.clients.get(&id) {
            tracing::info!(why, "a connection that never completed its way up is closed");
            client.connection.outlet.close();
        }
    }

    fn closed(&mut self, now: Micros, id: ConnectionId) {
        let Some(client) = self.clients.remove(&id) else { return };
        let mut tickets: Vec<Ticket> = client.tickets.into_values().collect();
        tickets.sort();
        for ticket in tickets {
            self.tickets.remove(&ticket);
            self.core.withdraw(now, ticket, &mut self.effects);
        }
    }

    fn association_ended(&mut self, cntlid: u16) {
        let of_it = |c: &&Client| c.admission.is_some_and(|a| a.cntlid == cntlid);
        self.clients.values().filter(of_it).for_each(|c| c.connection.outlet.finish());
    }

    fn housekeeping(&mut self, now: Micros) {
        self.next_housekeeping = now + HOUSEKEEPING;
        let overdue = self.front.gate().overdue(now);
        overdue.into_iter().for_each(|id| self.evict(id, "it took longer than limits.way_up_ms"));
        let expired = self.front.target().expire(now);
        for cntlid in expired {
            tracing::info!(cntlid, "a host was silent for its keep alive time-out");
            self.association_ended(cntlid);
        }
        for node in self.core.forget_gone() {
            if let Some(link) = self.links.remove(&node) {
                link.end();
            }
        }
        if self.returning.is_some() {
            let views = self.core.node_views();
            let up = |(id, link): (&NodeId, &Arc<Link>)| {
                let view = views.get(id).filter(|_| link.phase() == "up")?;
                Some((*id, (view.name.clone(), view.shard, self.starts.get(id).copied().unwrap_or(0))))
            };
            let up = self.links.iter().filter_map(up).collect();
            self.return_with(now, |r, orders| {
                r.nodes(now, up, orders);
                if let Some(work) = r.work() {
                    work.tidy(now);
                }
            });
        }
        let views = self.core.node_views();
        self.links.retain(|id, link| {
            link.watch();
            let over = views.get(id).is_none_or(|view| view.state == NodeState::Gone && view.out == 0);
            if over {
                link.end();
            }
            !over
        });
    }

    /// Carries out the core's effects until none is left.
    fn settle(&mut self, now: Micros) {
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                match effect {
                    Effect::Send(send) => self.send(now, send),
                    Effect::Forget(attempt, node) => {
                        if let Some(work) = self.returning.as_mut().and_then(Returning::work) {
                            work.forgotten(now, attempt);
                        }
                        if let Some(link) = self.links.get(&node) {
                            link.forget(attempt);
                        }
                    }
                    Effect::Answer(ticket, answer) if self.settling.contains_key(&ticket) => {
                        if let Some(work) = self.settling.remove(&ticket) {
                            let data =
                                if let Answer::Served(data) = &answer { Some(&data[..]) } else { None };
                            self.return_with(now, |r, orders| r.read_back(now, &work, data, orders));
                        }
                    }
                    Effect::Answer(ticket, answer) => {
                        let expected = self.tickets.get(&ticket).and_then(|t| t.expected.as_ref());
                        let completion = match (&answer, expected) {
                            (Answer::Served(data), Some(expected)) => compared(data, expected),
                            _ => told(answer, &self.options.target.retry_delays),
                        };
                        self.complete(ticket, completion);
                    }
                    Effect::Subscribe => {}
                    Effect::Log(line) => tracing::info!("{line}"),
                }
            }
        }
    }

    fn send(&mut self, now: Micros, send: Send) {
        if send.opcode == Opcode::Write
            && let Some(work) = self.returning.as_mut().and_then(Returning::work)
        {
            // Danger: a write that is sent before its record is durable may run after a loss that nobody knows it from. Harm: each
            // group of writes waits for the disk.
            let view = self.core.node_views().get(&send.node);
            let (name, shard) = view.map_or((String::new(), 0), |v| (v.name.clone(), v.shard));
            let started = self.starts.get(&send.node).copied().unwrap_or(0);
            return work.sent(send, shard, &name, started);
        }
        self.send_now(now, send);
    }

    /// Sends what is durable now; what could not be made so was never sent.
    fn kept(&mut self, now: Micros, seqs: Vec<u64>, error: Option<String>) {
        if let Some(error) = &error {
            tracing::error!(
                error,
                writes = seqs.len(),
                "the journal of work in hand cannot be written: writes are turned away"
            );
        }
        for seq in seqs {
            let Some(work) = self.returning.as_mut().and_then(Returning::work) else { return };
            let Some(send) = work.kept(seq) else { continue };
            if error.is_none() {
                self.send_now(now, send);
            } else {
                work.ended(now, send.attempt, decisions::Outcome::NotSent);
                self.core.ended(now, send.attempt, End::of(decisions::Outcome::NotSent), &mut self.effects);
            }
        }
    }

    fn send_now(&mut self, now: Micros, send: Send) {
        let attempt = send.attempt;
        let end = match self.links.get(&send.node) {
            Some(link) => link.send(send, &mut self.dirty),
            None => Some(End::of(decisions::Outcome::Unreachable)),
        };
        if let Some(end) = end {
            if let Some(work) = self.returning.as_mut().and_then(Returning::work) {
                work.ended(now, attempt, end.outcome);
            }
            self.core.ended(now, attempt, end, &mut self.effects);
        }
    }

    fn complete(&mut self, ticket: Ticket, completion: Completion) {
        let Some(Taken { connection: id, cid, bytes, .. }) = self.tickets.remove(&ticket) else { return };
        self.front.gate().done(id, bytes);
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.tickets.remove(&cid);
        self.answer(id, cid, completion);
    }

    fn list(&mut self, now: Micros, whole: bool, remembered: bool, lines: &[NodeLine]) {
        let mut listed = Vec::with_capacity(lines.len());
        for line in lines {
            let node = self.core.node_id(&line.name);
            let state = NodeState::from(line.state);
            self.starts.insert(node, line.started);
            if state != NodeState::Gone {
                self.link_to(node, line);
            }
            listed.push(ListedNode {
                name: line.name.clone(),
                zone: line.zone,
                shard: line.shard,
                state,
                started: {
                    let listed = (line.started > 0).then_some(line.started);
                    self.returning.as_ref().map_or(listed, |r| r.started(listed))
                },
            });
        }
        self.core.nodes(now, whole, remembered, &listed, &mut self.effects);
    }

    fn return_with(&mut self, now: Micros, what: impl FnOnce(&mut Returning, &mut Vec<Order>)) {
        let Some(returning) = &mut self.returning else { return };
        let mut orders = Vec::new();
        what(returning, &mut orders);
        for order in orders {
            match order {
                Order::Adopt(word) => self.adopt(now, &word),
                Order::HoldCold => self.restate(now, |_| None),
                Order::ReadBack(work) => {
                    self.next_ticket += 1;
                    let ticket = Ticket(self.next_ticket);
                    let Place { nsid, slba, blocks, .. } = work.place;
                    self.settling.insert(ticket, work);
                    let read = Operation {
                        ticket,
                        opcode: Opcode::Read,
                        nsid,
                        slba,
                        blocks,
                        data: Bytes::new(),
                        token: 0,
                        retry: false,
                    };
                    self.core.submit(now, read, &mut self.effects);
                }
            }
        }
        self.settle(now);
    }

    /// Takes orders that came by a peer, or from this gateway's own disk, as facts: what drains, what is held.
    fn adopt(&mut self, now: Micros, word: &Word) {
        let volume = |name: &String| {
            let mut volumes = self.options.catalogue.volumes();
            volumes.find(|v| &v.name == name).map(|v| v.nsid)
        };
        (self.revision, self.paused) = (word.orders, self.options.await_orders || word.paused);
        self.held = word.held.iter().filter_map(volume).collect();
        let drained: HashMap<&str, bool> = word.nodes.iter().map(|n| (n.name.as_str(), n.drained)).collect();
        self.restate(now, |name| drained.get(name).copied());
    }

    /// States the list again, with nodes drained or not as told; of the others nothing changes but what holds for all starts.
    fn restate(&mut self, now: Micros, drained: impl Fn(&str) -> Option<bool>) {
        let listed: Vec<ListedNode> = self
            .core
            .node_views()
            .values()
            .filter(|n| n.state != NodeState::Gone)
            .map(|n| ListedNode {
                name: n.name.clone(),
                zone: n.zone,
                shard: n.shard,
                state: match drained(&n.name) {
                    Some(true) => NodeState::Draining,
                    Some(false) => NodeState::On,
                    None => n.state,
                },
                started: self.returning.as_ref().map_or(n.started, |r| r.started(n.started)),
            })
            .collect();
        self.core.nodes(now, false, false, &listed, &mut self.effects);
    }

    fn link_to(&mut self, node: NodeId, line: &NodeLine) {
        if let Some(link) = self.links.get(&node) {
            if link.address == line.address {
                return;
            }
            link.end();
        }
        let host = format!("nqn.2026-12.crowbay:gateway:{}", self.options.name);
        let mut host_id = [0; 16];
        host_id[..8].copy_from_slice(&self.options.seed.to_le_bytes());
        host_id[8] = 1;
        let inbox = self.inbox.clone();
        match Link::start(line.address, self.options.link.clone(), host, host_id, inbox) {
            Ok(link) => {
                self.links.insert(node, link);
            }
            Err(error) => tracing::error!(node = line.name, %error, "no coroutine for a link"),
        }
    }

    fn control(&mut self, now: Micros, request: ControlRequest) -> Result<ControlAnswer, String> {
        match request {
            ControlRequest::Status => Ok(ControlAnswer::Status(Box::new(self.status(now)))),
            ControlRequest::Requests { most } => {
                let views = self.core.open_views();
                Ok(ControlAnswer::Requests(
                    views.into_iter().take(most).map(|v| self.request(now, v)).collect(),
                ))
            }
            ControlRequest::Nodes { whole, lines } => {
                self.list(now, whole, false, &lines);
                self.settle(now);
                Ok(ControlAnswer::Done(now))
            }
            ControlRequest::Orders { revision, lines, held, paused } => {
                if let Some(returning) = &mut self.returning {
                    let node = |l: &NodeLine| NodeWord {
                        name: l.name.clone(),
                        shard: l.shard,
                        drained: l.state == NodeLineState::Draining,
                    };
                    let word = Word {
                        orders: revision,
                        nodes: lines.iter().map(node).collect(),
                        held: held.clone(),
                        paused,
                        ..returning.word().clone()
                    };
                    returning.ordered(word)?;
                }
                let volume = |name: &String| {
                    let mut volumes = self.options.catalogue.volumes();
                    volumes.find(|v| &v.name == name).map(|v| v.nsid)
                };
                (self.revision, self.paused) = (revision, paused);
                self.held = held.iter().filter_map(volume).collect();
                self.list(now, true, false, &lines);
                self.settle(now);
                Ok(ControlAnswer::Done(now))
            }
            ControlRequest::Recovery { hurry, release } => {
                let Some(returning) = &self.returning else {
                    return Err("this gateway has no [recovery]: it is open at once".into());
                };
                let shown = returning.show();
                if let Some(number) = release
                    && !shown.unsettled.iter().any(|k| k.number == number)
                {
                    return Err(format!("no write from before has the number {number}, or it is settled"));
                }
                tracing::warn!(hurry, ?release, phase = ?shown.phase, "an operator forces the recovery");
                self.return_with(now, |r, orders| {
                    if hurry {
                        r.hurry(now, orders);
                    }
                    if let Some(number) = release {
                        r.release(now, number, orders);
                    }
                });
                Ok(ControlAnswer::Done(now))
            }
            ControlRequest::Ended => {
                let ended = self.core.ended_views().map(|e| self.ended(e)).collect();
                Ok(ControlAnswer::Ended(ended))
            }
            ControlRequest::Stop => {
                self.stop(now);
                Ok(ControlAnswer::Done(now))
            }
        }
    }

    fn request(&self, now: Micros, view: OpenView) -> RequestStatus {
        let volume = self.options.catalogue.volume(view.nsid).map_or(String::new(), |v| v.name.clone());
        let nodes = self.core.node_views();
        RequestStatus {
            id: view.ticket.0,
            volume,
            op: view.opcode.word().to_owned(),
            class: self.options.catalogue.rules[view.class].name.clone(),
            age: now - view.taken,
            attempts: view.attempts,
            nodes: view.nodes.iter().filter_map(|n| nodes.get(n)).map(|n| n.name.clone()).collect(),
        }
    }

    fn ended(&self, e: &EndedView) -> EndedStatus {
        EndedStatus {
            at: e.at,
            id: e.ticket.0,
            volume: self.options.catalogue.volume(e.nsid).map_or(String::new(), |v| v.name.clone()),
            op: e.opcode.word().to_owned(),
            class: self.options.catalogue.rules[e.class].name.clone(),
            refused: e.refused,
            age: e.age,
            attempts: e.attempts,
            reason: e.reason().to_owned(),
        }
    }

    fn status(&self, now: Micros) -> Status {
        let tally = self.core.tally();
        let nodes = self.core.node_views().iter().map(|(id, n)| {
            let link = self.links.get(id);
            let look = self.core.look(*id);
            NodeStatus {
                bound: look.map_or(0.0, |l| l.bound),
                l: look.map_or(0.0, |l| l.load),
                waiting: look.map_or(0, |l| l.waiting),
                silent: look.is_some_and(|l| l.silent),
                cold: look.is_some_and(|l| l.cold),
                name: n.name.clone(),
                address: link.map_or(String::new(), |l| l.address.to_string()),
                zone: n.zone,
                shard: n.shard,
                state: n.state.into(),
                started: n.started.unwrap_or(0),
                link: link.map_or("none", |l| l.phase()).to_owned(),
                out: n.out,
                sent: n.sent,
                served: n.served,
                unserved: n.unserved,
                load: n.load,
                heard: n.heard.unwrap_or(0),
                latency: n.latency,
            }
        });
        let views = self.core.volume_views();
        let volumes = self.options.catalogue.volumes().map(|v| {
            let seen = views.get(&v.nsid).cloned().unwrap_or_default();
            VolumeStatus {
                name: v.name.clone(),
                nsid: v.nsid,
                open: seen.open,
                taken: seen.taken,
                served: seen.served,
                refused: seen.refused,
                failed: seen.failed,
                units: seen.units,
            }
        });
        let gate = self.front.gate();
        let ((kept, rising), (held_commands, held_bytes)) = (gate.connections(), gate.held());
        let (hosts, away) = (gate.hosts(), gate.turned_away().iter());
        let turned_away = away.map(|(over, n)| (over.to_string(), *n)).collect();
        drop(gate);
        Status {
            name: self.options.name.clone(),
            pid: std::process::id(),
            revision: self.revision,
            held: self
                .held
                .iter()
                .filter_map(|n| self.options.catalogue.volume(*n))
                .map(|v| v.name.clone())
                .collect(),
            paused: self.paused,
            address: self.address.clone(),
            started: self.started,
            now,
            stopping: self.stop_by.is_some(),
            connections: kept,
            rising,
            hosts,
            held_commands,
            held_bytes,
            waiting_turn: self.turns.len(),
            turned_away,
            open: self.core.open_operations(),
            out: self.core.attempts_out(),
            taken: tally.taken,
            served: tally.served,
            refused: tally.refused,
            failed: tally.failed,
            aborted: tally.aborted,
            withdrawn: tally.withdrawn,
            sent: tally.sent,
            further: tally.further,
            late: tally.late,
            reasons: self.core.reasons().iter().map(|(k, n)| ((*k).to_owned(), *n)).collect(),
            recovery: self.returning.as_ref().map(Returning::show),
            nodes: nodes.collect(),
            volumes: volumes.collect(),
        }
    }

    fn stop(&mut self, now: Micros) {
        if self.stop_by.is_none() {
            tracing::info!(open = self.core.open_operations(), "stopping: nothing new is taken");
            self.stop_by = Some(now + self.options.stop_within.as_micros() as Micros);
            self.front.closing.store(true, Ordering::Relaxed);
        }
    }

    /// Everything taken is answered, or the time to leave has come: what is still open then is answered by what is
    /// known of it.
    fn may_leave(&mut self, now: Micros) -> bool {
        let Some(by) = self.stop_by else { return false };
        if self.core.open_operations() > 0 && now >= by {
            tracing::warn!(open = self.core.open_operations(), "time to leave: the rest is answered now");
            self.core.end_all(now, &mut self.effects);
            self.settle(now);
        }
        self.core.open_operations() == 0 && self.turns.is_empty()
    }

    fn leave(mut self) {
        self.dirty.drain(..).for_each(|outlet| outlet.flush());
        self.clients.values().for_each(|c| c.connection.outlet.finish());
        self.links.values().for_each(|l| l.end());
        tracing::info!("every request taken is answered");
        for stopped in self.stopped.drain(..) {
            let _ = stopped.send(()); // Its asker may have gone.
        }
    }
}

/// The end of a Compare (NVM 3.2.1): the blocks that were read against the data that came with it.
fn compared(data: &Bytes, expected: &Bytes) -> Completion {
    let status = if data == expected {
        NvmeStatus::SUCCESS
    } else {
        NvmeStatus::permanent(StatusCode::CompareFailure)
    };
    Completion::of(status)
}
