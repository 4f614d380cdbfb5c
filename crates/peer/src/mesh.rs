//! All of a gateway's peers: whom to dial when, what is said, and what silence means.

mod interface;
mod words;

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Micros;
use crate::life::{Life, Lives};
use crate::session::{Open, Session, Stage};
use crate::wire::{Frame, Hello, Kind, PeerName, Reason, VERSIONS};

pub use interface::{Conn, Input, MeshOptions, NoAnswer, Output, PeerLook, QuestionId, Told};

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
