//! The gateway without I/O.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use bytes::Bytes;
use decisions::{Micros, NodeId, NodeState, Outcome, RequestId};
use dispatch::{AttemptId, Dispatcher, Step, Verdict};
use http1::{Incoming, Limits, Request};
use profile::Service;

use crate::ask::{Ask, Rejection, admit};
use crate::client::{Agenda, Client};
use crate::config::Config;
use crate::endpoint::{EndpointList, Zones};
use crate::link::{Links, News, Way};
use crate::outcome::load_of;
use crate::socket::{Output, SocketId};
use crate::watch::{Watch, WatchStep};

/// What a client or a node may send at most; the protocol's bodies hold 64 KiB.
const LIMITS: Limits = Limits { head: 16 << 10, body: 64 << 10, informational: 8 };
/// A body from this length on is written as it is; a shorter one is cheaper to copy than to write by itself.
const SHARED: usize = 16 << 10;
/// Bytes of further requests that are kept for a client whose request is open.
const AHEAD: usize = 16 << 10;
/// Connections are not kept while less than this part of the places is free.
const CROWDED: usize = 8;
/// A client that has not brought a whole request by then is let go; it is owed that within 3 s of connecting.
const PATIENCE: Micros = 2_000_000;
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
/// Interval of forgetting nodes that are gone.
const SWEEP: Micros = 1_000_000;
/// Part of the nodes' idle time for which a connection to one is kept: a request must not cross its closing.
const IDLE_PART: (Micros, Micros) = (3, 4);

/// How much of the machine each part may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to nodes.
    pub links: usize,
    /// Bytes of one answer of a node.
    pub answer: usize,
    /// Bytes of all answers of nodes that are not whole.
    pub answers: usize,
}

impl Sizes {
    /// Deals the descriptors that the machine grants.
    ///
    /// Danger: without a descriptor nothing can be accepted, opened or read, and the gateway stands still while it lives.
    /// Discovery, the listener, the runtime and logs come first, then nodes and clients by halves. Harm: a part may stand
    /// unused while the other is short.
    pub fn of(sockets: u64, memory_mb: u64) -> Self {
        let sockets = usize::try_from(sockets).unwrap_or(usize::MAX);
        let reserve = (sockets / 16).clamp(16, 64);
        let half = sockets.saturating_sub(reserve) / 2;
        // A connection costs some 24 KiB with its coroutine; half of the memory is left for what they carry.
        let bearable = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1024) / 2 / 24 / 2;
        let each = half.min(bearable).max(8);
        // The protocol's bodies hold 64 KiB; nodes were seen to answer with 344 KB. What is refused here has run for nothing.
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20);
        Sizes { clients: each, links: each, answer: (memory / 32).max(LIMITS.body), answers: memory / 4 }
    }
}

/// A request that was taken.
struct Pending {
    client: u64,
    ask: Ask,
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
    zones: Zones,
    revision: u64,
    /// The watch in force, and the one before it until the new one has told something.
    watches: Vec<(u64, Watch)>,
    next_watch: u64,
    seed: u64,
    sweep: Micros,
    /// One more connection may be accepted, once there is room.
    accepts: bool,
    leaving: Option<Micros>,
    unlistened: bool,
    /// Its time is up: answers end their connections.
    ending: bool,
    shut: bool,
    rejected: u64,
    malformed: u64,
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
            zones: Zones::default(),
            revision: 0,
            watches: vec![(0, Watch::new(now, config.discovery, config.seed))],
            next_watch: 1,
            seed: config.seed,
            sweep: now + SWEEP,
            accepts: true,
            leaving: None,
            unlistened: false,
            ending: false,
            shut: false,
            rejected: 0,
            malformed: 0,
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
        let watch = self.watches.iter().map(|(_, w)| w.due()).min();
        let leave = self.leaving.filter(|_| !self.unlistened).map(|at| at + LAST_CALL);
        let leave = leave.or(self.ends().filter(|_| !self.ending));
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
        self.dispatcher.open()
    }

    /// Entries of all tables: what a gateway that serves nobody keeps.
    pub fn held(&self) -> usize {
        let nodes = self.dispatcher.node_views().len() + self.nodes.len();
        let requests = self.dispatcher.open() + self.dispatcher.out().count() + self.ids.len();
        self.clients.len() + self.agenda.len() + nodes + requests + self.links.held() + self.watches.len()
    }

    /// A line on what it holds and counted, for the log.
    pub fn summary(&self) -> String {
        let c = self.dispatcher.counts();
        format!(
            "clients={} links={} nodes={} open={} taken={} served={} refused={} failed={} withdrawn={} sent={} \
             further={} late={} rejected={} malformed={}",
            self.clients.len(),
            self.links.len(),
            self.nodes.len(),
            self.dispatcher.open(),
            c.taken,
            c.served,
            c.refused,
            c.failed,
            c.withdrawn,
            c.sent,
            c.further,
            c.late,
            self.rejected,
            self.malformed
        )
    }

    /// A client's connection was accepted.
    pub fn accepted(&mut self, now: Micros, id: u64) {
        self.newest = id;
        let mut client = Client::new(now, LIMITS, now + PATIENCE);
        self.agenda.set(&mut client, id, now + PATIENCE);
        self.clients.insert(id, client);
        self.accepts = true;
        self.make_room(now);
    }

    /// A connection could not be accepted: it is tried again by and by.
    pub fn not_accepted(&mut self) {
        self.accepts = true;
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
                if let Some(bytes) = self.links.up(now, id) {
                    self.outputs.push(Output::Write(socket, bytes));
                }
            }
            SocketId::Discovery(id) => {
                let revision = self.revision;
                if let Some((_, watch)) = self.watches.iter_mut().find(|(i, _)| *i == id) {
                    let ask = watch.up(now, revision);
                    self.outputs.push(Output::Write(socket, ask));
                }
            }
        }
    }

    /// A connection that stood idle was of no use when `bytes` were to be written on it; none of them was. Danger: a node may
    /// close a connection, or send more than belongs to an answer, right behind it, and what is written then is lost with it and
    /// may have run. The attempt takes another connection: it was never out. Harm: none.
    pub fn stale(&mut self, now: Micros, socket: SocketId, bytes: Bytes) {
        let SocketId::Node(id) = socket else { return };
        if let Some((attempt, node)) = self.links.stale(id) {
            self.send_on(now, attempt, node, bytes);
            self.settle(now);
        }
    }

    /// Bytes came on a connection, at `at`; more is read after [`Output::Resume`].
    pub fn received(&mut self, now: Micros, socket: SocketId, at: Micros, bytes: &[u8]) {
        match socket {
            SocketId::Client(id) => return self.client_received(now, id, at, bytes),
            SocketId::Node(id) => {
                let news = self.links.received(now, id, bytes);
                self.news(now, id, news);
            }
            SocketId::Discovery(id) => {
                let watch = self.watches.iter_mut().find(|(i, _)| *i == id);
                let steps = watch.map(|(_, w)| w.received(now, bytes)).unwrap_or_default();
                for step in steps {
                    self.watch_step(now, id, step);
                }
            }
        }
        self.outputs.push(Output::Resume(socket));
    }

    /// A connection ended, or never came. `cut`: something handed over was not written.
    pub fn ended(&mut self, now: Micros, socket: SocketId, cut: bool) {
        match socket {
            SocketId::Client(id) => self.client_gone(now, id),
            SocketId::Node(id) => {
                let news = self.links.ended(id, cut);
                self.news(now, id, news);
            }
            SocketId::Discovery(id) => {
                if let Some((_, watch)) = self.watches.iter_mut().find(|(i, _)| *i == id) {
                    watch.ended(now);
                    self.dispatcher.nodes_failed(now);
                    self.settle(now);
                }
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
        while self.dispatcher.tick(now) {
            self.settle(now);
        }
        while let Some((id, news)) = self.links.tick(now) {
            self.outputs.push(Output::Close(SocketId::Node(id)));
            self.news(now, id, news);
        }
        while let Some(id) = self.agenda.pop(now) {
            self.look_at(now, id);
        }
        for at in 0..self.watches.len() {
            let (id, watch) = &mut self.watches[at];
            let id = *id;
            if let Some(step) = watch.tick(now) {
                self.watch_step(now, id, step);
            }
        }
        if now >= self.sweep {
            self.sweep = now + SWEEP;
            for node in self.dispatcher.forget_gone() {
                self.nodes.remove(&node);
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
        // Of the watches before, the one that has told something last stays until the new one has.
        while self.watches.len() > 1 {
            let (id, _) = self.watches.remove(0);
            self.outputs.push(Output::Close(SocketId::Discovery(id)));
        }
        self.watches.push((self.next_watch, Watch::new(now, discovery, self.seed ^ self.next_watch)));
        self.next_watch += 1;
        self.tick(now);
    }

    /// When it ends, if it was told to leave: nothing it takes lasts longer, and what is closed then has time to linger.
    fn ends(&self) -> Option<Micros> {
        let longest = if self.service.longest > 0 { self.service.longest.min(COUNTED) } else { COUNTED };
        self.leaving.map(|at| at + longest + KILLED - LINGER)
    }

    /// It is to leave: connections are taken for a little longer, all that was taken is answered.
    ///
    /// Danger: clients whose connections close lose this gateway until it is started again, and in a fleet that is restarted
    /// by tenths nobody else has their requests. Those who stay are served until the earliest end that the platform states,
    /// with the patience that is left till then. Harm: a request that comes last has less time than its client gives.
    pub fn leave(&mut self, now: Micros) {
        if self.leaving.is_none() {
            self.leaving = Some(now);
        }
    }

    fn watch_step(&mut self, now: Micros, id: u64, step: WatchStep) {
        match step {
            WatchStep::Connect(address) => {
                self.outputs.push(Output::Connect(SocketId::Discovery(id), address));
            }
            WatchStep::Close => self.outputs.push(Output::Close(SocketId::Discovery(id))),
            WatchStep::List(list) => {
                if list.malformed > 0 {
                    tracing::warn!(entries = list.malformed, "discovery listed entries that cannot be read");
                    self.malformed += list.malformed as u64;
                }
                self.list(now, &list, false);
                // Those before this one are of no further use.
                while self.watches.first().is_some_and(|(first, _)| *first < id) {
                    let (old, _) = self.watches.remove(0);
                    self.outputs.push(Output::Close(SocketId::Discovery(old)));
                }
            }
        }
    }

    fn list(&mut self, now: Micros, list: &EndpointList, remembered: bool) {
        self.revision = list.revision;
        let listed = list.listed(&mut self.zones);
        self.dispatcher.nodes(now, list.whole, remembered, &listed);
        let mut idle = Vec::new();
        for entry in &list.members {
            let node = self.dispatcher.node_id(&entry.id);
            let address = Address { at: entry.address, started: entry.started };
            let before = self.nodes.insert(node, address);
            let anew = before.is_some_and(|b| b.started != entry.started || b.at != entry.address);
            idle.extend(self.links.moved(node, entry.address, anew));
        }
        for (&node, view) in self.dispatcher.node_views() {
            if view.state == NodeState::Gone {
                idle.extend(self.links.gone(node));
            }
        }
        self.close_links(idle);
        self.settle(now);
    }

    fn close_links(&mut self, links: Vec<u64>) {
        self.outputs.extend(links.into_iter().map(|id| Output::Close(SocketId::Node(id))));
    }

    /// What came of a connection to a node.
    fn news(&mut self, now: Micros, id: u64, news: News) {
        if news.close {
            self.outputs.push(Output::Close(SocketId::Node(id)));
        }
        if let Some(next) = news.next {
            self.outputs.push(Output::Reuse(SocketId::Node(id), next));
        }
        let Some((attempt, outcome, answer)) = news.ended else { return };
        self.attempt_ended(now, attempt, outcome, answer.as_ref());
        self.settle(now);
    }

    fn attempt_ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        answer: Option<&http1::Answer>,
    ) {
        let load = answer.and_then(load_of);
        if let Some(pending) = self.dispatcher.ended(now, attempt, outcome, load) {
            let body = answer.map(|a| a.body.clone()).unwrap_or_default();
            self.answer(now, pending.client, &pending.ask.id, 200, &[], body);
        }
    }

    /// Carries out what the module wants until it wants nothing more.
    fn settle(&mut self, now: Micros) {
        while let Some(step) = self.dispatcher.step() {
            match step {
                Step::Send { attempt, node, due } => self.send(now, attempt, node, due),
                Step::Forget(attempt, ..) => {
                    if let Some(id) = self.links.forget_attempt(attempt) {
                        self.outputs.push(Output::Close(SocketId::Node(id)));
                    }
                }
                Step::Over(_, pending, verdict) => self.over(now, &pending, verdict),
                // The watch brings the list without being asked.
                Step::Subscribe => {}
                Step::Log(line) => tracing::info!("{line}"),
            }
        }
    }

    fn send(&mut self, now: Micros, attempt: AttemptId, node: NodeId, due: Micros) {
        let Some(pending) = self.dispatcher.payload(attempt.request) else { return };
        let host = self.nodes.get(&node).map_or_else(String::new, |a| a.at.to_string());
        let bytes = pending.ask.forward(&host, due - now);
        self.send_on(now, attempt, node, bytes);
    }

    fn send_on(&mut self, now: Micros, attempt: AttemptId, node: NodeId, bytes: Bytes) {
        match self.links.send(now, attempt, node, bytes) {
            Way::Reuse(id, bytes) => self.outputs.push(Output::Reuse(SocketId::Node(id), bytes)),
            Way::Open(id, address, gives_way) => {
                self.close_links(gives_way.into_iter().collect());
                self.outputs.push(Output::Connect(SocketId::Node(id), address));
            }
            Way::None(outcome) => {
                self.attempt_ended(now, attempt, outcome, None);
            }
        }
    }

    /// The module has given up: its answer goes at once.
    fn over(&mut self, now: Micros, pending: &Pending, verdict: Verdict) {
        let (client, id) = (pending.client, pending.ask.id.as_str());
        match verdict {
            Verdict::Refused { come_back } if come_back > 0 => {
                let after = format!("{}.{:06}", come_back / 1_000_000, come_back % 1_000_000);
                self.answer(
                    now,
                    client,
                    id,
                    503,
                    &[("Retry-After", &after)],
                    Bytes::from_static(b"refused\n"),
                );
            }
            Verdict::Refused { .. } => {
                self.answer(now, client, id, 503, &[], Bytes::from_static(b"refused\n"))
            }
            Verdict::Failed => self.answer(now, client, id, 502, &[], Bytes::from_static(b"failed\n")),
        }
    }

    /// The one final answer of a request that was taken.
    fn answer(
        &mut self,
        now: Micros,
        id: u64,
        request: &str,
        status: u16,
        fields: &[(&str, &str)],
        body: Bytes,
    ) {
        self.ids.remove(request);
        let Some(client) = self.clients.get_mut(&id) else { return };
        let keep = client.open.take().is_some_and(|(_, keep)| keep);
        client.served = true;
        self.write(now, id, status, fields, body, keep);
        self.pump(now, id, now);
    }

    /// Few places are left. Danger: clients that ask once and keep their connection hold places, theirs and ours, on which
    /// nothing is asked, and the next requests find none. While it is so, answers end their connections. Harm: clients open
    /// more connections than they need.
    fn is_crowded(&self) -> bool {
        self.clients.len() >= self.sizes.clients - self.sizes.clients / CROWDED
    }

    fn write(&mut self, now: Micros, id: u64, status: u16, fields: &[(&str, &str)], body: Bytes, keep: bool) {
        let keep = keep && !self.ending && !self.is_crowded();
        let Some(client) = self.clients.get_mut(&id) else { return };
        let socket = SocketId::Client(id);
        if body.len() < SHARED {
            self.outputs.push(Output::Write(socket, http1::answer(status, fields, &body, keep)));
        } else {
            self.outputs.push(Output::Write(socket, http1::answer_head(status, fields, body.len(), keep)));
            self.outputs.push(Output::Write(socket, body));
        }
        client.since = now;
        if keep {
            let kept = if client.served { KEPT } else { PATIENCE };
            self.agenda.set(client, id, now + kept);
            self.make_room(now);
        } else {
            client.leaving = Some(LINGER_BYTES);
            self.agenda.set(client, id, now + LINGER);
            self.outputs.push(Output::Finish(socket));
        }
    }

    fn client_received(&mut self, now: Micros, id: u64, at: Micros, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if let Some(left) = &mut client.leaving {
            if *left < bytes.len() {
                return self.drop_client(id);
            }
            *left -= bytes.len();
            return self.outputs.push(Output::Resume(SocketId::Client(id)));
        }
        if client.is_idle() {
            // A request begins to come.
            client.since = at;
            self.agenda.set(client, id, at + PATIENCE);
        }
        client.decoder.receive(bytes);
        self.pump(now, id, at);
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.open.is_some() && client.decoder.held() > AHEAD {
            client.held_up = true;
        } else {
            self.outputs.push(Output::Resume(SocketId::Client(id)));
        }
    }

    /// Handles the requests that a client has sent, one at a time.
    fn pump(&mut self, now: Micros, id: u64, at: Micros) {
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            if client.open.is_some() || client.leaving.is_some() {
                break;
            }
            match client.decoder.poll() {
                Ok(None) => break,
                Ok(Some(Incoming::Waits)) => {
                    let go_on = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
                    self.outputs.push(Output::Write(SocketId::Client(id), go_on));
                }
                Ok(Some(Incoming::Whole(request))) => self.request(now, id, at, request),
                Err(fault) => {
                    self.rejected += 1;
                    tracing::debug!(%fault, "a client's bytes cannot be read");
                    self.write(now, id, fault.status(), &[], fault.to_string().into(), false);
                }
            }
        }
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.held_up && client.open.is_none() {
            client.held_up = false;
            self.outputs.push(Output::Resume(SocketId::Client(id)));
        }
    }

    fn request(&mut self, now: Micros, id: u64, at: Micros, request: Request) {
        let keep = request.keep;
        if request.method == "GET" && request.target == "/ready" {
            return self.write(now, id, 200, &[], Bytes::from_static(b"ready\n"), keep);
        }
        let admitted = admit(request, &self.service, &self.settings, now - at);
        let admitted = admitted
            .and_then(|ask| if self.ids.contains(&ask.id) { Err(Rejection::IdOpen) } else { Ok(ask) });
        let ask = match admitted {
            Ok(ask) => ask,
            Err(rejection) => {
                self.rejected += 1;
                let status = rejection.status();
                return self.write(now, id, status, &[], rejection.to_string().into(), keep);
            }
        };
        self.ids.insert(ask.id.clone());
        let mut taken = ask.request.clone();
        if let Some(ends) = self.ends() {
            taken.patience = taken.patience.min(ends - now).max(0);
        }
        let request = self.dispatcher.take(now, taken, Pending { client: id, ask });
        if let Some(client) = self.clients.get_mut(&id) {
            client.open = Some((request, keep));
            self.agenda.remove(client, id);
        }
        self.settle(now);
    }

    /// A client's connection is due to be looked at: it brought no request in time, or was idle for long enough.
    fn look_at(&mut self, now: Micros, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.open.is_some() {
            return;
        }
        if client.leaving.is_some() {
            return self.drop_client(id);
        }
        if client.is_idle() {
            return self.let_go(now, id);
        }
        // Danger: connections that say nothing, or half a request, hold a descriptor each for ever. Harm: a client that
        // takes longer than that to send one request must send it again.
        self.rejected += 1;
        self.write(now, id, 408, &[], Bytes::from_static(b"no whole request came in time\n"), false);
    }

    /// Closes a connection on which nothing is owed.
    fn let_go(&mut self, now: Micros, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.leaving = Some(LINGER_BYTES);
        self.agenda.set(client, id, now + LINGER);
        self.outputs.push(Output::Finish(SocketId::Client(id)));
    }

    /// The client has closed its connection, or it broke: what it asked is taken back.
    fn client_gone(&mut self, now: Micros, id: u64) {
        let Some(client) = self.clients.remove(&id) else { return };
        self.agenda.remove(&client, id);
        if let Some((request, _)) = client.open {
            self.withdraw(now, request);
        }
        self.outputs.push(Output::Close(SocketId::Client(id)));
        self.make_room(now);
    }

    fn withdraw(&mut self, now: Micros, request: RequestId) {
        let Some(pending) = self.dispatcher.withdraw(now, request) else { return };
        self.ids.remove(&pending.ask.id);
        // Nobody waits for its attempts: what has not gone out never does, and a node may stop what it has not begun.
        if self.cancel {
            let out: Vec<AttemptId> =
                self.dispatcher.out().map(|(a, _)| a).filter(|a| a.request == request).collect();
            for attempt in out {
                if let Some(link) = self.links.forget_attempt(attempt) {
                    self.outputs.push(Output::Close(SocketId::Node(link)));
                }
                self.dispatcher.ended(now, attempt, Outcome::Cancelled, None);
            }
        }
        self.settle(now);
    }

    fn drop_client(&mut self, id: u64) {
        if let Some(client) = self.clients.remove(&id) {
            self.agenda.remove(&client, id);
        }
        self.outputs.push(Output::Close(SocketId::Client(id)));
        if self.accepts && self.clients.len() < self.sizes.clients {
            self.accepts = false;
            self.outputs.push(Output::Accept);
        }
    }

    /// Accepts one more connection if there is room, or if one can give way: the one that has been idle longest, if that is long
    /// enough, else the oldest that has never brought a request that was taken. Danger: connections that are opened by the
    /// hundred and say nothing, or ask only whether we are ready, keep the others out; but one that has just come may have its first request on the way, which would be lost.
    /// Harm: a client that takes its time before its first word may lose its connection.
    fn make_room(&mut self, now: Micros) {
        if !self.accepts {
            return;
        }
        if self.clients.len() >= self.sizes.clients {
            let may_close = |c: &Client| now - c.since >= MAY_CLOSE;
            let gives_way = |c: &Client| c.leaving.is_some() || c.is_idle() && (!c.served || may_close(c));
            let candidates = self.clients.iter().filter(|(id, c)| **id != self.newest && gives_way(c));
            // Those that have their last answer come first.
            let rank = |c: &Client| (c.leaving.is_none(), !may_close(c), c.since);
            let Some(id) = candidates.min_by_key(|(id, c)| (rank(c), **id)).map(|(id, _)| *id) else {
                return;
            };
            return self.drop_client(id);
        }
        self.accepts = false;
        self.outputs.push(Output::Accept);
    }
}
