//! All of a gateway's peers: whom to dial when, what is said, and what silence means.

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Micros;
use crate::life::{Life, Lives, Sighting};
use crate::session::{Open, Session, Stage};
use crate::wire::{Frame, Hello, Kind, PeerName, Reason, VERSIONS};

/// A connection, numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// A question that was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuestionId(pub u64);

/// Settings of a mesh. All times in microseconds.
#[derive(Clone, Debug)]
pub struct MeshOptions {
    /// This gateway's name.
    pub name: PeerName,
    /// Whom it talks to.
    pub peers: Vec<PeerName>,
    /// What tells this site from another; the same at all its gateways.
    pub site: u64,
    /// Something is said at least so often.
    pub beat: Micros,
    /// Nothing heard for this long is told as quiet.
    pub quiet: Micros,
    /// Nothing heard for this long ends the connection.
    pub drop: Micros,
    /// First words have to come within this.
    pub greeting: Micros,
    /// First and longest pause before a peer is dialled again.
    pub redial: (Micros, Micros),
    /// Questions that may be open at one peer; as many of its own may be open here.
    pub questions: usize,
    /// Bytes that a peer may leave untaken.
    pub unwritten: usize,
    /// Connections that have not said yet whose they are.
    pub greetings: usize,
}

impl MeshOptions {
    /// Settings for a name and its peers at a site.
    pub fn new(name: PeerName, peers: Vec<PeerName>, site: u64) -> Self {
        MeshOptions {
            name,
            peers,
            site,
            beat: 200_000,
            quiet: 1_000_000,
            drop: 5_000_000,
            greeting: 1_000_000,
            redial: (100_000, 3_000_000),
            questions: 64,
            unwritten: 1 << 20,
            greetings: 32,
        }
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A peer that was to be dialled is connected.
    Dialled {
        /// The peer.
        peer: PeerName,
        /// The connection, of a number not used before.
        conn: Conn,
    },
    /// A peer could not be connected.
    NotDialled {
        /// The peer.
        peer: PeerName,
    },
    /// Somebody has connected.
    Accepted {
        /// The connection, of a number not used before.
        conn: Conn,
    },
    /// Bytes came.
    Bytes {
        /// On this connection.
        conn: Conn,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Bytes were taken by the connection.
    Taken {
        /// The connection.
        conn: Conn,
        /// How many.
        bytes: usize,
    },
    /// A connection has ended.
    Ended {
        /// The connection.
        conn: Conn,
    },
    /// Time has passed.
    Tick,
}

/// Why a question has no answer. It says nothing of whether the peer lives, nor of whether it heard the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoAnswer {
    /// There was no connection; it was not sent.
    #[error("the peer is not connected")]
    NotUp,
    /// Too many questions were open at the peer already, or it is too long; it was not sent.
    #[error("too many questions are open at the peer, or it is too long")]
    TooMuch,
    /// Its deadline passed.
    #[error("no answer came in time")]
    Late,
    /// The connection ended first.
    #[error("the connection ended before an answer came")]
    Lost,
    /// The peer does not know such questions, or has too many open.
    #[error("the peer passed the question")]
    Passed,
}

/// What a mesh tells its user.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// A peer is there: both know who the other is.
    Up {
        /// The peer.
        peer: PeerName,
        /// Its life.
        life: Life,
    },
    /// A peer's connection has ended. Not that the peer has.
    Down {
        /// The peer.
        peer: PeerName,
        /// The life it was in.
        life: Life,
    },
    /// Nothing was heard of a connected peer for some time.
    Quiet {
        /// The peer.
        peer: PeerName,
        /// When it was last heard.
        since: Micros,
    },
    /// A quiet peer was heard again.
    Heard {
        /// The peer.
        peer: PeerName,
    },
    /// A peer began another life; the one before is over. Tell the disk.
    NewLife {
        /// The peer.
        peer: PeerName,
        /// The life that is over.
        before: Life,
        /// The one it is in.
        now: Life,
    },
    /// Somebody came with a life that is over, and was turned away.
    Stale {
        /// The name it gave.
        peer: PeerName,
        /// The life it claimed.
        claim: Life,
        /// The later one that was seen.
        seen: Life,
    },
    /// A later life of this gateway's own name was seen: nothing more may be done in this one. See [`Mesh::renew`].
    Superseded {
        /// Who has seen it.
        by: PeerName,
        /// The life to get above.
        seen: Life,
    },
    /// This gateway goes on in another life.
    Renewed {
        /// That life.
        life: Life,
    },
    /// A question came; it is to be answered with [`Mesh::answer`], or passed.
    Asked {
        /// Who asks.
        peer: PeerName,
        /// In which life.
        life: Life,
        /// To be given with the answer.
        conn: Conn,
        /// The question's number there.
        id: u64,
        /// What it is about.
        kind: Kind,
        /// Its body.
        body: Vec<u8>,
    },
    /// A question's one outcome.
    Answered {
        /// Who was asked.
        peer: PeerName,
        /// The question.
        question: QuestionId,
        /// The answer's body.
        outcome: Result<Vec<u8>, NoAnswer>,
    },
    /// A peer's note.
    Noted {
        /// Who says so.
        peer: PeerName,
        /// In which life.
        life: Life,
        /// What it is about.
        kind: Kind,
        /// Its body.
        body: Vec<u8>,
    },
    /// A peer speaks no version that is spoken here, or one of the two does not know the other.
    Refused {
        /// The peer, as far as it was named.
        peer: Option<PeerName>,
        /// For operators.
        why: &'static str,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Connect to a peer; ends with `Dialled` or `NotDialled`, within a time that the caller bounds.
    Dial(PeerName),
    /// Write bytes.
    Write(Conn, Vec<u8>),
    /// End a connection once what was written has gone out; no `Ended` is waited for.
    Close(Conn),
    /// For the user.
    Tell(Told),
}

#[derive(Debug)]
struct Peer {
    conn: Option<Conn>,
    dialling: bool,
    /// Not dialled before.
    next: Micros,
    /// Dials in a row that came to nothing.
    failed: u32,
    /// When it was last heard of, on any connection.
    heard: Option<Micros>,
}

/// What is known of a peer, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLook {
    /// Its name.
    pub name: PeerName,
    /// The latest life seen.
    pub life: Option<Life>,
    /// It is connected.
    pub up: bool,
    /// It is connected and has not been heard for some time.
    pub quiet: bool,
    /// When it was last heard.
    pub heard: Option<Micros>,
}

/// A gateway's talk with its peers.
#[derive(Debug)]
pub struct Mesh {
    options: MeshOptions,
    life: Life,
    lives: Lives,
    /// A later life of this name was seen: nothing is said until it is renewed.
    over: bool,
    peers: BTreeMap<PeerName, Peer>,
    sessions: BTreeMap<Conn, Session>,
    random: SmallRng,
    question: u64,
    now: Micros,
}

impl Mesh {
    /// A mesh in a life that is on the disk already, with the lives that were seen of its peers.
    pub fn new(options: MeshOptions, life: Life, lives: Lives, seed: u64) -> Self {
        let peer = || Peer { conn: None, dialling: false, next: Micros::MIN, failed: 0, heard: None };
        let peers = options.peers.iter().filter(|p| **p != options.name).map(|p| (p.clone(), peer()));
        Mesh {
            peers: peers.collect(),
            options,
            life,
            lives,
            over: false,
            sessions: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
            question: 0,
            now: Micros::MIN,
        }
    }

    /// The life it is in.
    pub fn life(&self) -> Life {
        self.life
    }

    /// The lives seen of its peers, to be kept on the disk.
    pub fn lives(&self) -> &Lives {
        &self.lives
    }

    /// Its peers, by name.
    pub fn look(&self) -> Vec<PeerLook> {
        let look = |(name, peer): (&PeerName, &Peer)| PeerLook {
            name: name.clone(),
            life: self.lives.of(name),
            up: peer.conn.is_some(),
            quiet: peer.conn.and_then(|c| self.sessions.get(&c)).is_some_and(|s| s.quiet),
            heard: peer.heard,
        };
        self.peers.iter().map(look).collect()
    }

    /// Goes on in another life, which is on the disk already; all connections are made anew.
    pub fn renew(&mut self, now: Micros, life: Life, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        for conn in self.sessions.keys().copied().collect::<Vec<_>>() {
            out.push(Output::Close(conn));
            self.end(conn, out);
        }
        (self.life, self.over) = (life, false);
        out.push(Output::Tell(Told::Renewed { life }));
        for peer in self.peers.values_mut() {
            (peer.next, peer.failed) = (now, 0);
        }
        self.tick(out);
    }

    /// When it wants to be told the time at the latest.
    pub fn next_due(&self) -> Micros {
        let o = &self.options;
        let sessions = self.sessions.values().map(|s| match s.stage {
            Stage::Greeting => s.since + o.greeting,
            Stage::Up { .. } => {
                let silence = if s.quiet { s.heard + o.drop } else { s.heard + o.quiet };
                let asked = s.asked.values().map(|q| q.deadline).min().unwrap_or(Micros::MAX);
                silence.min(s.spoke + o.beat).min(asked)
            }
        });
        let dials = self.peers.iter().filter(|(name, peer)| self.dials(name, peer)).map(|(_, p)| p.next);
        sessions.chain(dials).min().unwrap_or(Micros::MAX)
    }

    /// Takes what happened at a time and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        match input {
            Input::Dialled { peer, conn } => {
                if let Some(p) = self.peers.get_mut(&peer) {
                    p.dialling = false;
                }
                self.greet(conn, Some(peer), out);
            }
            Input::NotDialled { peer } => {
                if let Some(p) = self.peers.get_mut(&peer) {
                    p.dialling = false;
                }
                self.back_off(&peer);
            }
            Input::Accepted { conn } => {
                // Danger: anybody may connect and say nothing. Few are waited for; a peer that finds no place dials again.
                let waiting = self.sessions.values().filter(|s| s.stage == Stage::Greeting).count();
                if waiting >= self.options.greetings || self.over {
                    out.push(Output::Close(conn));
                } else {
                    self.greet(conn, None, out);
                }
            }
            Input::Bytes { conn, bytes } => self.receive(conn, &bytes, out),
            Input::Taken { conn, bytes } => {
                if let Some(session) = self.sessions.get_mut(&conn) {
                    session.unwritten = session.unwritten.saturating_sub(bytes);
                }
            }
            Input::Ended { conn } => self.end(conn, out),
            Input::Tick => {}
        }
        self.tick(out);
    }

    /// Asks a peer. There will be exactly one `Answered` with the question's number, at its deadline at the latest.
    pub fn ask(
        &mut self,
        now: Micros,
        peer: &PeerName,
        kind: Kind,
        body: Vec<u8>,
        deadline: Micros,
        out: &mut Vec<Output>,
    ) -> QuestionId {
        self.now = now.max(self.now);
        self.question += 1;
        let (id, most) = (self.question, self.options.questions);
        let conn = self.peers.get(peer).and_then(|p| p.conn);
        let sent = match conn.and_then(|c| self.sessions.get_mut(&c)) {
            None => Err(NoAnswer::NotUp),
            Some(session) if session.asked.len() >= most => Err(NoAnswer::TooMuch),
            Some(session) => session.say(self.now, &Frame::Ask { id, kind, body }).map_or(
                Err(NoAnswer::TooMuch),
                |bytes| {
                    session.asked.insert(id, Open { deadline });
                    Ok(bytes)
                },
            ),
        };
        match (sent, conn) {
            (Ok(bytes), Some(conn)) => {
                out.push(Output::Write(conn, bytes));
                self.limit(conn, out);
            }
            (Err(why), _) => out.push(answered(peer, id, Err(why))),
            (Ok(_), None) => {}
        }
        QuestionId(id)
    }

    /// Answers a question; `None` passes it. An answer to a connection that has ended is dropped, as its question was.
    pub fn answer(&mut self, now: Micros, conn: Conn, id: u64, body: Option<Vec<u8>>, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        let Some(session) = self.sessions.get_mut(&conn).filter(|s| s.owed.contains(&id)) else { return };
        session.owed.remove(&id);
        let frame = body.map_or(Frame::Pass { id }, |body| Frame::Answer { id, body });
        let bytes = session.say(self.now, &frame).or_else(|| session.say(self.now, &Frame::Pass { id }));
        out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
        self.limit(conn, out);
    }

    /// Tells a peer something, if it is connected. What it has missed it learns with the next `Up`, by its teller.
    pub fn note(&mut self, now: Micros, peer: &PeerName, kind: Kind, body: Vec<u8>, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        let Some(conn) = self.peers.get(peer).and_then(|p| p.conn) else { return };
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        let bytes = session.say(self.now, &Frame::Note { kind, body });
        out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
        self.limit(conn, out);
    }

    /// This side dials the peer now or later: its own name comes first, and there is no connection.
    fn dials(&self, name: &PeerName, peer: &Peer) -> bool {
        !self.over && self.options.name < *name && peer.conn.is_none() && !peer.dialling && !self.greets(name)
    }

    fn greets(&self, name: &PeerName) -> bool {
        self.sessions.values().any(|s| s.stage == Stage::Greeting && s.dialled.as_ref() == Some(name))
    }

    /// Danger: all gateways dial at once when power comes back, and again in step when one returns. Pauses double, and
    /// each is drawn between half of it and all. Harm: a peer that is back is met a pause later.
    fn back_off(&mut self, name: &PeerName) {
        let (first, most) = self.options.redial;
        if let Some(peer) = self.peers.get_mut(name) {
            let pause = (first << peer.failed.min(16)).min(most).max(2);
            peer.failed = peer.failed.saturating_add(1);
            peer.next = self.now + self.random.random_range(pause / 2..=pause);
        }
    }

    fn greet(&mut self, conn: Conn, dialled: Option<PeerName>, out: &mut Vec<Output>) {
        let mut session = Session::new(dialled.clone(), self.now);
        if let Some(peer) = &dialled {
            let bytes = session.say(self.now, &self.hello(Some(peer)));
            out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
        }
        self.sessions.insert(conn, session);
    }

    fn hello(&self, to: Option<&PeerName>) -> Frame {
        Frame::Hello(Hello {
            least: VERSIONS.0,
            most: VERSIONS.1,
            site: self.options.site,
            name: self.options.name.clone(),
            life: self.life,
            seen: to.and_then(|peer| self.lives.of(peer)),
        })
    }

    fn receive(&mut self, conn: Conn, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        session.decoder.receive(bytes);
        loop {
            let Some(session) = self.sessions.get_mut(&conn) else { return };
            match session.decoder.poll() {
                Ok(Some(frame)) => self.on_frame(conn, frame, out),
                Ok(None) => return,
                Err(_) => {
                    // Danger: a damaged frame leaves the stream out of step; what follows would be read as something else.
                    self.close(conn, None, out);
                    return;
                }
            }
        }
    }

    fn on_frame(&mut self, conn: Conn, frame: Frame, out: &mut Vec<Output>) {
        let most = self.options.questions;
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        session.heard = self.now;
        let peer = session.peer().map(|(name, life)| (name.clone(), life));
        if let Some((name, _)) = &peer {
            if session.quiet {
                session.quiet = false;
                out.push(Output::Tell(Told::Heard { peer: name.clone() }));
            }
            if let Some(p) = self.peers.get_mut(name) {
                p.heard = Some(self.now);
            }
        }
        match (frame, peer) {
            (Frame::Hello(hello), None) => self.on_hello(conn, hello, out),
            (Frame::Bye(reason), peer) => {
                let name = peer.map(|(name, _)| name).or_else(|| session.dialled.clone());
                self.on_bye(conn, reason, name, out);
            }
            (Frame::Ask { id, kind, body }, Some((peer, life))) => {
                // Danger: a peer that asks without end would fill the memory of one that answers slowly.
                if session.owed.len() >= most || !session.owed.insert(id) {
                    let bytes = session.say(self.now, &Frame::Pass { id });
                    out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
                    self.limit(conn, out);
                } else {
                    out.push(Output::Tell(Told::Asked { peer, life, conn, id, kind, body }));
                }
            }
            (Frame::Answer { id, body }, Some((peer, _))) => {
                // One that comes after its deadline finds no question any more.
                if session.asked.remove(&id).is_some() {
                    out.push(answered(&peer, id, Ok(body)));
                }
            }
            (Frame::Pass { id }, Some((peer, _))) => {
                if session.asked.remove(&id).is_some() {
                    out.push(answered(&peer, id, Err(NoAnswer::Passed)));
                }
            }
            (Frame::Note { kind, body }, Some((peer, life))) => {
                out.push(Output::Tell(Told::Noted { peer, life, kind, body }));
            }
            (Frame::Beat | Frame::Unknown, Some(_)) => {}
            // Anything before the first words, or these twice: not a peer that keeps to the protocol.
            (_, None) | (Frame::Hello(_), Some(_)) => self.close(conn, None, out),
        }
    }

    fn on_hello(&mut self, conn: Conn, hello: Hello, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get(&conn) else { return };
        let dialled = session.dialled.clone();
        let name = hello.name.clone();
        let refused = |why| Output::Tell(Told::Refused { peer: Some(name.clone()), why });
        if hello.least > VERSIONS.1 || hello.most < VERSIONS.0 {
            out.push(refused("it speaks no version that is spoken here"));
            return self.close(conn, Some(Reason::Version), out);
        }
        if hello.site != self.options.site || !self.peers.contains_key(&name) {
            out.push(refused("it belongs to another site or is not in the list of peers"));
            return self.close(conn, Some(Reason::Stranger), out);
        }
        // An address that was given to another gateway since: not the one that was meant.
        if dialled.as_ref().is_some_and(|meant| *meant != name) {
            out.push(refused("another peer answers at the address of the one that was dialled"));
            return self.close(conn, Some(Reason::Else), out);
        }
        if let Some(seen) = hello.seen.filter(|seen| self.life.is_behind(*seen)) {
            return self.superseded(name, seen, out);
        }
        match self.lives.see(&name, hello.life) {
            Sighting::Stale(seen) => {
                out.push(Output::Tell(Told::Stale { peer: name, claim: hello.life, seen }));
                return self.close(conn, Some(Reason::Stale(seen)), out);
            }
            Sighting::Later(before) => {
                out.push(Output::Tell(Told::NewLife { peer: name.clone(), before, now: hello.life }));
            }
            Sighting::Known => {}
        }
        // The peer would not dial again if it took its connection for good: the one before is over.
        if let Some(before) = self.peers.get(&name).and_then(|p| p.conn) {
            self.close(before, None, out);
        }
        let greeting = self.hello(Some(&name));
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        session.stage = Stage::Up { name: name.clone(), life: hello.life };
        if dialled.is_none() {
            let bytes = session.say(self.now, &greeting);
            out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
        }
        if let Some(peer) = self.peers.get_mut(&name) {
            (peer.conn, peer.failed, peer.heard) = (Some(conn), 0, Some(self.now));
        }
        out.push(Output::Tell(Told::Up { peer: name, life: hello.life }));
    }

    fn on_bye(&mut self, conn: Conn, reason: Reason, name: Option<PeerName>, out: &mut Vec<Output>) {
        match (reason, name) {
            (Reason::Stale(seen), Some(name)) if self.life.is_behind(seen) => {
                return self.superseded(name, seen, out);
            }
            (Reason::Version, peer) => {
                out.push(Output::Tell(Told::Refused {
                    peer,
                    why: "it speaks no version that is spoken here",
                }));
            }
            (Reason::Stranger, peer) => {
                out.push(Output::Tell(Told::Refused { peer, why: "it does not know this gateway" }));
            }
            _ => {}
        }
        self.close(conn, None, out);
    }

    /// Danger: this life is over and does not know it. Whatever it says from here on would be taken for the later one's, so it
    /// says nothing more to anybody. Harm: a peer that lies stops it; peers are of one site and are believed in this.
    fn superseded(&mut self, by: PeerName, seen: Life, out: &mut Vec<Output>) {
        self.over = true;
        out.push(Output::Tell(Told::Superseded { by, seen }));
        for conn in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.close(conn, None, out);
        }
    }

    fn close(&mut self, conn: Conn, reason: Option<Reason>, out: &mut Vec<Output>) {
        if let Some(session) = self.sessions.get_mut(&conn)
            && let Some(reason) = reason
        {
            let bytes = session.say(self.now, &Frame::Bye(reason));
            out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
        }
        out.push(Output::Close(conn));
        self.end(conn, out);
    }

    /// Forgets a connection: what was asked on it is answered for, and its peer is dialled again later.
    fn end(&mut self, conn: Conn, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.remove(&conn) else { return };
        let up = session.peer().map(|(name, life)| (name.clone(), life));
        if let Some((name, life)) = &up {
            for id in session.asked.into_keys() {
                out.push(answered(name, id, Err(NoAnswer::Lost)));
            }
            if let Some(peer) = self.peers.get_mut(name).filter(|p| p.conn == Some(conn)) {
                peer.conn = None;
                out.push(Output::Tell(Told::Down { peer: name.clone(), life: *life }));
            }
        }
        if let Some(name) = up.map(|(name, _)| name).or(session.dialled) {
            self.back_off(&name);
        }
    }

    /// Danger: a peer that reads nothing would have its words pile up here. Its connection is ended; it learns what it missed
    /// when it comes back.
    fn limit(&mut self, conn: Conn, out: &mut Vec<Output>) {
        if self.sessions.get(&conn).is_some_and(|s| s.unwritten > self.options.unwritten) {
            self.close(conn, None, out);
        }
    }

    fn tick(&mut self, out: &mut Vec<Output>) {
        let (now, o) = (self.now, self.options.clone());
        for conn in self.sessions.keys().copied().collect::<Vec<_>>() {
            let Some(session) = self.sessions.get_mut(&conn) else { continue };
            let Some((name, _)) = session.peer().map(|(name, life)| (name.clone(), life)) else {
                if now >= session.since + o.greeting {
                    self.close(conn, None, out);
                }
                continue;
            };
            let late: Vec<u64> =
                session.asked.iter().filter(|(_, q)| now >= q.deadline).map(|(id, _)| *id).collect();
            for id in late {
                session.asked.remove(&id);
                out.push(answered(&name, id, Err(NoAnswer::Late)));
            }
            if now >= session.heard + o.drop {
                self.close(conn, None, out);
                continue;
            }
            if now >= session.heard + o.quiet && !session.quiet {
                session.quiet = true;
                out.push(Output::Tell(Told::Quiet { peer: name, since: session.heard }));
            }
            if now >= session.spoke + o.beat {
                let bytes = session.say(now, &Frame::Beat);
                out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
                self.limit(conn, out);
            }
        }
        let due: Vec<PeerName> = self
            .peers
            .iter()
            .filter(|(name, peer)| now >= peer.next && self.dials(name, peer))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            if let Some(peer) = self.peers.get_mut(&name) {
                peer.dialling = true;
            }
            out.push(Output::Dial(name));
        }
    }
}

fn answered(peer: &PeerName, id: u64, outcome: Result<Vec<u8>, NoAnswer>) -> Output {
    Output::Tell(Told::Answered { peer: peer.clone(), question: QuestionId(id), outcome })
}
