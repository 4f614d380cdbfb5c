//! The engine: the one coroutine that owns the core.

mod attempts;
mod commands;
mod company;
mod control;
mod fleet;
mod following;
mod look;
mod orders;
mod shadow;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc as thread_mpsc;

use bytes::Bytes;
use decisions::{NodeId, NodeState};
use limits::Turns;
use may::sync::mpsc::Receiver;
use nvme::{Admission, IoCommand};
use records::Clock;
use recovery::InHand;
use storage_core::{Core, Effect, Micros, Ticket};

use crate::company::Company;
use crate::connection::{Connection, ConnectionId};
use crate::following::Following;
use crate::front::Front;
use crate::link::Link;
use crate::message::{Inbox, Message};
use crate::options::GatewayOptions;
use crate::returning::Returning;
use crate::rights::Asked;
use crate::together::Together;
use crate::trial::Trial;
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
    /// For the cap on repeats, where there is one.
    asked: Option<Asked>,
}

/// What a gateway has by its site's tables.
#[derive(Default)]
pub(crate) struct Parts {
    pub(crate) company: Option<Company>,
    pub(crate) returning: Option<Returning>,
    pub(crate) together: Option<Together>,
    pub(crate) following: Option<Following>,
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
    company: Option<Company>,
    returning: Option<Returning>,
    together: Option<Together>,
    /// Reads of places whose writes from before are to be settled.
    settling: HashMap<Ticket, InHand>,
    /// Starts of nodes as listed.
    starts: HashMap<NodeId, Micros>,
    /// States of nodes as listed and ordered, whatever the control plane drains.
    ordered: HashMap<NodeId, NodeState>,
    /// Nodes that the control plane drains, by name.
    drains: BTreeSet<String>,
    following: Option<Following>,
    stopped: Vec<thread_mpsc::Sender<()>>,
}

impl Engine {
    pub(crate) fn new(
        options: GatewayOptions,
        address: String,
        front: Arc<Front>,
        inbox: Inbox,
        parts: Parts,
    ) -> Self {
        let Parts { company, returning, together, following } = parts;
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
            company,
            returning,
            together,
            settling: HashMap::new(),
            starts: HashMap::new(),
            ordered: HashMap::new(),
            drains: BTreeSet::new(),
            following,
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
        self.agree(now, true);
        let mut told = Micros::MIN;
        loop {
            let now = clock.now();
            self.refresh_rights(now);
            self.core.tick(now, &mut self.effects);
            self.settle(now);
            if now >= self.next_housekeeping {
                self.housekeeping(now);
            }
            if self.returning.as_ref().is_some_and(|r| now >= r.next_due()) {
                self.return_with(now, |r, orders| r.tick(now, orders));
            }
            self.together(now);
            self.dirty.drain(..).for_each(|outlet| outlet.flush());
            if self.may_leave(now) {
                return self.leave();
            }
            let due = self.core.next_due().unwrap_or(Micros::MAX).min(self.next_housekeeping);
            let due = due.min(self.returning.as_ref().map_or(Micros::MAX, Returning::next_due));
            let due = due.min(self.together.as_ref().map_or(Micros::MAX, |t| t.next_due(now)));
            if due != told {
                ticker.due(due);
                told = due;
            }
            if self.turns.is_empty() {
                let Ok(first) = messages.recv() else { return };
                let now = clock.now();
                self.refresh_rights(now);
                self.message(now, first);
            }
            let now = clock.now();
            self.refresh_rights(now);
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
            self.shade(now);
        }
    }

    fn message(&mut self, now: Micros, message: Message) {
        match message {
            Message::Tick => {}
            Message::Kept { seqs, error } => self.kept(now, seqs, error),
            Message::Peer(told) => self.heard(now, told),
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
            Message::Ended(attempt, end) if Trial::is_copy(attempt) => self.copied(now, attempt, &end),
            Message::Ended(attempt, end) => self.over(now, attempt, end),
            Message::Drains(nodes) => self.drained(now, nodes),
            Message::Candidate(candidate) => self.try_instead(now, candidate.map(|c| *c)),
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
            self.ordered.remove(&node);
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
        self.sights(now);
        let views = self.core.node_views();
        self.links.retain(|id, link| {
            link.watch();
            let over = views.get(id).is_none_or(|view| view.state == NodeState::Gone && view.in_flight == 0);
            if over {
                link.end();
            }
            !over
        });
    }

    fn stop(&mut self, now: Micros) {
        if self.stop_by.is_none() {
            tracing::info!(open = self.core.open_operations(), "stopping: nothing new is taken");
            self.stop_by = Some(now + self.options.stop_within.as_micros() as Micros);
            self.front.closing.store(true, Ordering::Relaxed);
            if let Some(together) = &mut self.together {
                together.leave(now);
            }
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
        let says = now < by && self.together.as_ref().is_some_and(|t| t.is_saying(now));
        self.core.open_operations() == 0 && self.turns.is_empty() && !says
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
