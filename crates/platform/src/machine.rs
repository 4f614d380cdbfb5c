//! The gateway without I/O: its tables, its time, and what reaches it. What follows is told in the modules below.

mod attempts;
mod clients;
mod lists;
mod summary;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;

use bytes::Bytes;
use decisions::{Micros, NodeId, NodeState, Outcome, RequestId};
use dispatch::{AttemptId, Command, Dispatcher, Verdict};
use http1::{Incoming, Limits, Request};
use profile::Service;

use crate::ask::{Ask, Rejection, admit};
use crate::client::{Agenda, Client, Leaving};
use crate::config::Config;
use crate::discovery::{self, Discovery};
use crate::endpoint::{EndpointList, Zones};
use crate::link::{Links, News, Way};
use crate::outcome::load_of;
use crate::sizes::Sizes;
use crate::socket::{End, Output, SocketId};
use crate::unanswered::{AttemptRecords, Cause, Unanswered, UnansweredLog};

/// What a client or a node may send at most; the protocol's bodies hold 64 KiB.
pub(crate) const LIMITS: Limits = Limits { head: 16 << 10, body: 64 << 10, informational: 8 };
/// A body from this length on is written as it is; a shorter one is cheaper to copy than to write by itself.
const SHARED: usize = 16 << 10;
/// Bytes of further requests that are kept for a client whose request is open.
const AHEAD: usize = 16 << 10;
/// Connections are not kept while less than this part of the places is free.
const CROWDED: usize = 8;
/// A client that has not brought a whole request by then is let go; it is owed that within 3 s of connecting.
const PATIENCE: Micros = 2_000_000;
/// One that comes while others wait for a place has waited itself, unseen, and is owed the same within what is left; this much at least.
const LEAST_PATIENCE: Micros = PATIENCE / 4;
/// Nobody waits to be accepted where leave to accept was not used for so long.
const UNUSED: Micros = 50_000;
/// A connection without an open request may be closed after this, by the platform's word.
const MAY_CLOSE: Micros = 2_000_000;
/// One that has been used is kept for this long where there is room.
const KEPT: Micros = 5_000_000;
/// How long, and how much, is read of a client whose connection is being closed, so that it can read the answer.
const LINGER: Micros = 500_000;
const LINGER_BYTES: usize = 256 << 10;
/// New connections come for 0.2 to 0.4 s after SIGTERM.
const LAST_CALL: Micros = 500_000;
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, counted as this where it is longer, and `KILLED`: the
/// platform's word.
const COUNTED: Micros = 3_000_000;
const KILLED: Micros = 700_000;
/// The process is gone so long before: it may be held up for 0.15 s on its way, and 0.05 s is the slack of the platform's clocks.
const GONE_BEFORE: Micros = 200_000;
/// An answer that goes out so long after its request's time is logged: something stood still.
const OVERDUE: Micros = 100_000;
/// Interval of forgetting nodes that are gone.
const SWEEP: Micros = 1_000_000;
/// Part of the nodes' idle time for which a connection to one is kept: a request must not cross its closing.
const IDLE_PART: (Micros, Micros) = (3, 4);

/// A request that was taken.
struct Pending {
    client: u64,
    ask: Ask,
    /// When its last byte was read, and when its time is over.
    read: Micros,
    until: Micros,
    attempts: AttemptRecords,
}

struct Address {
    at: SocketAddr,
    started: Option<Micros>,
}

/// One gateway.
///
/// After every call, [`Machine::drain`] brings what is to be done.
pub struct Machine {
    service: Service,
    cancel: bool,
    settings: decisions::Settings,
    sizes: Sizes,
    dispatcher: Dispatcher<Pending>,
    clients: HashMap<u64, Client>,
    agenda: Agenda,
    /// The connection accepted last: it gives way to nobody before another has come.
    newest: u64,
    /// Ids of the requests that are owed an answer.
    ids: HashSet<String>,
    links: Links,
    nodes: HashMap<NodeId, Address>,
    /// Those of them that are no longer listed, until they are forgotten.
    gone: BTreeSet<NodeId>,
    zones: Zones,
    discovery: Discovery,
    sweep: Micros,
    /// One more connection may be accepted, once there is room.
    accepts: bool,
    /// When leave to accept was given last, and since when places have been short for whoever waits to be accepted.
    admitted: Micros,
    queued: Option<Micros>,
    /// There was no descriptor for the last one.
    exhausted: bool,
    leaving: Option<Micros>,
    unlistened: bool,
    /// Its time is up: answers end their connections.
    ending: bool,
    shut: bool,
    rejected: u64,
    unanswered: UnansweredLog,
    outputs: Vec<Output>,
}

impl Machine {
    /// A gateway that has just started: it knows what its configuration remembers.
    pub fn new(now: Micros, config: &Config, sizes: Sizes) -> Self {
        let idle = config.service.idle.unwrap_or(Micros::MAX / 8) / IDLE_PART.1 * IDLE_PART.0;
        let rise = config.service.connect.unwrap_or(Micros::MAX / 8);
        let mut machine = Machine {
            service: config.service.clone(),
            cancel: config.settings.cancel,
            settings: config.settings.clone(),
            sizes,
            dispatcher: Dispatcher::new(config.settings.clone(), config.seed),
            clients: HashMap::new(),
            agenda: Agenda::default(),
            newest: 0,
            ids: HashSet::new(),
            links: Links::new(
                Limits { body: sizes.answer, ..LIMITS },
                idle,
                rise,
                sizes.links,
                sizes.answers,
            ),
            nodes: HashMap::new(),
            gone: BTreeSet::new(),
            zones: Zones::default(),
            discovery: Discovery::new(
                now,
                config.discovery,
                config.settings.drain_grace,
                &config.known,
                config.seed,
            ),
            sweep: now + SWEEP,
            accepts: true,
            admitted: now,
            queued: None,
            exhausted: false,
            leaving: None,
            unlistened: false,
            ending: false,
            shut: false,
            rejected: 0,
            unanswered: UnansweredLog::default(),
            outputs: Vec::new(),
        };
        machine.list(now, &config.known, true);
        machine.tick(now);
        machine
    }

    /// What is to be done, in order.
    pub fn drain(&mut self) -> std::vec::Drain<'_, Output> {
        self.outputs.drain(..)
    }

    /// When [`Machine::tick`] is due next.
    pub fn next_due(&self) -> Micros {
        let watch = Some(self.discovery.due());
        let leave = self.leaving.filter(|_| !self.unlistened).map(|at| at + LAST_CALL);
        let leave = leave.or(self.ends().filter(|_| !self.ending));
        let leave = leave.or(self.last_moment().filter(|_| !self.clients.is_empty()));
        [self.dispatcher.next_due(), self.links.next_due(), self.agenda.next(), watch, leave]
            .into_iter()
            .flatten()
            .fold(self.sweep, Micros::min)
    }

    /// It was told to leave, nothing more comes in, and it owes nothing any more.
    pub fn is_over(&self) -> bool {
        self.shut && self.clients.is_empty()
    }

    /// Requests that are owed an answer.
    pub fn open(&self) -> usize {
        self.dispatcher.open_requests()
    }

    /// Entries of all tables: what a gateway that serves nobody keeps, beside lines that wait for the log.
    pub fn held(&self) -> usize {
        let nodes = self.dispatcher.node_views().len() + self.nodes.len();
        let requests =
            self.dispatcher.open_requests() + self.dispatcher.attempts_in_flight().count() + self.ids.len();
        self.clients.len() + self.agenda.len() + nodes + requests + self.links.held() + self.discovery.len()
    }

    /// Lines on the requests that ended without a final answer since the last call, for the log.
    pub fn take_unanswered(&mut self) -> Vec<String> {
        self.unanswered.take_lines()
    }

    /// A client's connection was accepted.
    pub fn accepted(&mut self, now: Micros, id: u64) {
        self.newest = id;
        if now - self.admitted > UNUSED {
            self.queued = None;
        }
        let waited = self.queued.map_or(0, |since| now - since);
        let patience = (PATIENCE - waited).max(LEAST_PATIENCE);
        let mut client = Client::new(now, LIMITS, patience);
        self.agenda.set(&mut client, id, now + patience / 2);
        self.clients.insert(id, client);
        self.accepts = true;
        self.make_room(now);
    }

    /// A connection could not be accepted: it is tried again when one has ended, or by and by.
    ///
    /// Danger: without a descriptor leave that is given again at once fails again at once, and the gateway does nothing else. Harm:
    /// the next client waits for up to [`SWEEP`].
    pub fn not_accepted(&mut self) {
        (self.accepts, self.exhausted) = (true, true);
    }

    /// What had come is accepted, and the listener is closed. Danger: whoever ends before that loses connections which the
    /// system has accepted. Harm: none.
    pub fn shut(&mut self) {
        self.shut = true;
    }

    /// A connection came up.
    pub fn up(&mut self, now: Micros, socket: SocketId) {
        match socket {
            SocketId::Client(_) => {}
            SocketId::Node(id) => {
                let news = self.links.up(now, id);
                self.news(now, id, news, true);
            }
            SocketId::Discovery(id) => {
                if let Some(ask) = self.discovery.up(now, id) {
                    self.outputs.push(Output::Write(socket, ask));
                }
            }
        }
    }

    /// A connection that stood idle was of no use when an attempt was to be written on it; nothing was. Danger: a node may
    /// close a connection, or send more than belongs to an answer, right behind it, and what is written then is lost with it and
    /// may have run. The attempt takes another connection: it was never out. Harm: none.
    pub fn stale(&mut self, now: Micros, socket: SocketId) {
        let SocketId::Node(id) = socket else { return };
        if let Some((attempt, node)) = self.links.stale(id) {
            self.send(now, attempt, node);
            self.settle(now);
        }
    }

    /// Bytes came on a connection, at `at`; more is read after [`Output::Resume`].
    pub fn received(&mut self, now: Micros, socket: SocketId, at: Micros, bytes: &[u8]) {
        match socket {
            SocketId::Client(id) => return self.client_received(now, id, at, bytes),
            SocketId::Node(id) => {
                let news = self.links.received(now, id, bytes);
                self.news(now, id, news, false);
            }
            SocketId::Discovery(id) => {
                let steps = self.discovery.received(now, id, bytes);
                self.follow(now, steps);
            }
        }
        self.outputs.push(Output::Resume(socket));
    }

    /// A connection ended, or never came.
    pub fn ended(&mut self, now: Micros, socket: SocketId, end: End) {
        self.exhausted = false;
        match socket {
            SocketId::Client(id) => self.client_gone(now, id, end),
            SocketId::Node(id) => {
                let news = self.links.ended(id, end);
                self.news(now, id, news, false);
            }
            SocketId::Discovery(id) => {
                let step = self.discovery.ended(now, id);
                self.follow(now, step.into_iter().collect());
            }
        }
    }

    /// Carries out what is due.
    pub fn tick(&mut self, now: Micros) {
        if !self.ending && self.ends().is_some_and(|at| now >= at) {
            self.ending = true;
            let idle: Vec<u64> =
                self.clients.iter().filter(|(_, c)| c.is_idle()).map(|(id, _)| *id).collect();
            idle.into_iter().for_each(|id| self.let_go(now, id));
        }
        if self.last_moment().is_some_and(|at| now >= at) {
            let stay: Vec<u64> = self.clients.keys().copied().collect();
            stay.into_iter().for_each(|id| self.drop_client(now, id));
        }
        while self.dispatcher.tick(now) {
            self.settle(now);
        }
        while let Some((id, news)) = self.links.tick(now) {
            self.news(now, id, news, false);
        }
        while let Some(id) = self.agenda.pop(now) {
            self.look_at(now, id);
        }
        let steps = self.discovery.tick(now);
        self.follow(now, steps);
        if now >= self.sweep {
            self.sweep = now + SWEEP;
            self.exhausted = false;
            for node in self.dispatcher.forget_gone() {
                self.nodes.remove(&node);
                self.gone.remove(&node);
                let idle = self.links.forget(node);
                self.close_links(idle);
            }
        }
        if let Some(since) = self.leaving
            && !self.unlistened
            && now >= since + LAST_CALL
        {
            self.unlistened = true;
            self.outputs.push(Output::Unlisten);
        }
        self.make_room(now);
    }

    /// Another configuration is in force: its discovery speaks from now on, as does the old one while it still does.
    pub fn reconfigured(&mut self, now: Micros, discovery: SocketAddr) {
        let steps = self.discovery.moved(now, discovery);
        self.follow(now, steps);
        self.tick(now);
    }

    /// When it ends, if it was told to leave: nothing it takes lasts longer, and what is closed then has time to linger.
    fn ends(&self) -> Option<Micros> {
        let longest = if self.service.longest > 0 { self.service.longest.min(COUNTED) } else { COUNTED };
        self.leaving.map(|at| at + longest + KILLED - LINGER)
    }

    /// When the last connections are closed, if it was told to leave.
    ///
    /// Danger: a client that does not close its connection, or does not read, would hold the process up to SIGKILL, which ends whatever
    /// is under way. Harm: a last answer that takes its client longer to read than `LINGER` less `GONE_BEFORE` is cut off.
    fn last_moment(&self) -> Option<Micros> {
        self.ends().map(|at| at + LINGER - GONE_BEFORE)
    }

    /// It is to leave: connections are taken for a little longer, all that was taken is answered.
    ///
    /// Danger: clients whose connections close lose this gateway until it is started again, and in a fleet that is restarted
    /// by tenths nobody else has their requests. Those who stay are served until the earliest end that the platform states,
    /// with the patience that is left till then. Harm: a request that comes last has less time than its client gives.
    ///
    /// What was taken before and may last longer than that is answered by then too: SIGKILL waits for nobody.
    pub fn leave(&mut self, now: Micros) {
        if self.leaving.is_none() {
            self.leaving = Some(now);
            if let Some(ends) = self.ends() {
                self.dispatcher.cap_deadlines(now, ends);
                self.settle(now);
            }
        }
    }
}
