//! Connections of a gateway with all its peers: dialling, questions, heartbeats and timeouts.

mod frames;
mod interface;

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Micros;
use crate::life::{Life, Lives};
use crate::session::{PendingQuestion, Session, Stage};
use crate::wire::{Frame, Hello, Kind, PeerName, Reason, VERSIONS};

pub use interface::{Conn, Input, MeshOptions, NoAnswer, Output, PeerLook, QuestionId, Told};

#[derive(Debug)]
struct Peer {
    conn: Option<Conn>,
    dialling: bool,
    /// Earliest time of the next dial.
    next_dial_at: Micros,
    /// Consecutive failed dials.
    failed_dials: u32,
    /// When anything was last received from it, on any connection.
    heard: Option<Micros>,
}

/// The protocol state of a gateway and all its peers.
#[derive(Debug)]
pub struct Mesh {
    options: MeshOptions,
    life: Life,
    lives: Lives,
    /// A later life of this name was seen: nothing is sent until it is renewed.
    is_superseded: bool,
    peers: BTreeMap<PeerName, Peer>,
    sessions: BTreeMap<Conn, Session>,
    random: SmallRng,
    last_question: u64,
    now: Micros,
}

impl Mesh {
    /// Creates a mesh in a life that is already stored, with the stored lives of its peers.
    pub fn new(options: MeshOptions, life: Life, lives: Lives, seed: u64) -> Self {
        let peer =
            || Peer { conn: None, dialling: false, next_dial_at: Micros::MIN, failed_dials: 0, heard: None };
        let peers = options.peers.iter().filter(|p| **p != options.name).map(|p| (p.clone(), peer()));
        Mesh {
            peers: peers.collect(),
            options,
            life,
            lives,
            is_superseded: false,
            sessions: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
            last_question: 0,
            now: Micros::MIN,
        }
    }

    /// The current life.
    pub fn life(&self) -> Life {
        self.life
    }

    /// The lives seen of its peers, to be stored on disk.
    pub fn lives(&self) -> &Lives {
        &self.lives
    }

    /// The state of all peers, sorted by name.
    pub fn look(&self) -> Vec<PeerLook> {
        let look = |(name, peer): (&PeerName, &Peer)| PeerLook {
            name: name.clone(),
            life: self.lives.of(name),
            up: peer.conn.is_some(),
            quiet: peer.conn.and_then(|c| self.sessions.get(&c)).is_some_and(|s| s.reported_quiet),
            heard: peer.heard,
        };
        self.peers.iter().map(look).collect()
    }

    /// Continues in another life, which is already stored, and replaces all connections.
    pub fn renew(&mut self, now: Micros, life: Life, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        for conn in self.sessions.keys().copied().collect::<Vec<_>>() {
            out.push(Output::Close(conn));
            self.forget_connection(conn, out);
        }
        (self.life, self.is_superseded) = (life, false);
        out.push(Output::Tell(Told::Renewed { life }));
        for peer in self.peers.values_mut() {
            (peer.next_dial_at, peer.failed_dials) = (now, 0);
        }
        self.tick(out);
    }

    /// Latest time for the next [`Input::Tick`].
    pub fn next_due(&self) -> Micros {
        let o = &self.options;
        let sessions = self.sessions.values().map(|s| match s.stage {
            Stage::Greeting => s.opened_at + o.greeting,
            Stage::Up { .. } => {
                let silence =
                    if s.reported_quiet { s.last_received + o.drop } else { s.last_received + o.quiet };
                let asked = s.pending_questions.values().map(|q| q.deadline).min().unwrap_or(Micros::MAX);
                silence.min(s.last_sent + o.beat).min(asked)
            }
        });
        let dials =
            self.peers.iter().filter(|(name, peer)| self.may_dial(name, peer)).map(|(_, p)| p.next_dial_at);
        sessions.chain(dials).min().unwrap_or(Micros::MAX)
    }

    /// Processes an input at `now` and appends the resulting outputs.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        match input {
            Input::Dialled { peer, conn } => {
                if let Some(p) = self.peers.get_mut(&peer) {
                    p.dialling = false;
                }
                self.open_session(conn, Some(peer), out);
            }
            Input::NotDialled { peer } => {
                if let Some(p) = self.peers.get_mut(&peer) {
                    p.dialling = false;
                }
                self.back_off(&peer);
            }
            Input::Accepted { conn } => {
                // Any host may connect and stay silent, so unfinished greetings are limited; a peer above the limit redials.
                let waiting = self.sessions.values().filter(|s| s.stage == Stage::Greeting).count();
                if waiting >= self.options.greetings || self.is_superseded {
                    out.push(Output::Close(conn));
                } else {
                    self.open_session(conn, None, out);
                }
            }
            Input::Bytes { conn, bytes } => self.receive(conn, &bytes, out),
            Input::Taken { conn, bytes } => {
                if let Some(session) = self.sessions.get_mut(&conn) {
                    session.unwritten = session.unwritten.saturating_sub(bytes);
                }
            }
            Input::Ended { conn } => self.forget_connection(conn, out),
            Input::Tick => {}
        }
        self.tick(out);
    }

    /// Asks a peer. Exactly one `Answered` with the question's number follows, by the deadline at the latest.
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
        self.last_question += 1;
        let (id, max_questions) = (self.last_question, self.options.questions);
        let conn = self.peers.get(peer).and_then(|p| p.conn);
        let sent = match conn.and_then(|c| self.sessions.get_mut(&c)) {
            None => Err(NoAnswer::NotUp),
            Some(session) if session.pending_questions.len() >= max_questions => Err(NoAnswer::TooMuch),
            Some(session) => session.encode_frame(self.now, &Frame::Ask { id, kind, body }).map_or(
                Err(NoAnswer::TooMuch),
                |bytes| {
                    session.pending_questions.insert(id, PendingQuestion { deadline });
                    Ok(bytes)
                },
            ),
        };
        match (sent, conn) {
            (Ok(bytes), Some(conn)) => {
                out.push(Output::Write(conn, bytes));
                self.enforce_unwritten_limit(conn, out);
            }
            (Err(why), _) => out.push(answer_output(peer, id, Err(why))),
            (Ok(_), None) => {}
        }
        QuestionId(id)
    }

    /// Answers a question; `None` declines it. An answer on a closed connection is dropped, as its question was.
    pub fn answer(&mut self, now: Micros, conn: Conn, id: u64, body: Option<Vec<u8>>, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        let Some(session) = self.sessions.get_mut(&conn).filter(|s| s.unanswered.contains(&id)) else {
            return;
        };
        session.unanswered.remove(&id);
        let frame = body.map_or(Frame::Pass { id }, |body| Frame::Answer { id, body });
        let bytes = session
            .encode_frame(self.now, &frame)
            .or_else(|| session.encode_frame(self.now, &Frame::Pass { id }));
        out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
        self.enforce_unwritten_limit(conn, out);
    }

    /// Sends a one-way message to a peer if it is connected. Users resend missed state at the peer's next `Up`.
    pub fn note(&mut self, now: Micros, peer: &PeerName, kind: Kind, body: Vec<u8>, out: &mut Vec<Output>) {
        self.now = now.max(self.now);
        let Some(conn) = self.peers.get(peer).and_then(|p| p.conn) else { return };
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        let bytes = session.encode_frame(self.now, &Frame::Note { kind, body });
        out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
        self.enforce_unwritten_limit(conn, out);
    }

    /// Whether this side has to dial the peer: its own name sorts first, and there is no connection.
    fn may_dial(&self, name: &PeerName, peer: &Peer) -> bool {
        !self.is_superseded
            && self.options.name < *name
            && peer.conn.is_none()
            && !peer.dialling
            && !self.is_greeting(name)
    }

    fn is_greeting(&self, name: &PeerName) -> bool {
        self.sessions.values().any(|s| s.stage == Stage::Greeting && s.dialled.as_ref() == Some(name))
    }

    /// Schedules a redial with exponential backoff and jitter: each delay is drawn between half and all of a doubling
    /// pause. Otherwise all gateways would dial at once after a power failure, and again in step when one returns. The
    /// cost: a recovered peer is connected up to one pause later.
    fn back_off(&mut self, name: &PeerName) {
        let (first, longest) = self.options.redial;
        if let Some(peer) = self.peers.get_mut(name) {
            let pause = (first << peer.failed_dials.min(16)).min(longest).max(2);
            peer.failed_dials = peer.failed_dials.saturating_add(1);
            peer.next_dial_at = self.now + self.random.random_range(pause / 2..=pause);
        }
    }

    fn open_session(&mut self, conn: Conn, dialled: Option<PeerName>, out: &mut Vec<Output>) {
        let mut session = Session::new(dialled.clone(), self.now);
        if let Some(peer) = &dialled {
            let bytes = session.encode_frame(self.now, &self.hello(Some(peer)));
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
            let bytes = session.encode_frame(self.now, &Frame::Bye(reason));
            out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
        }
        out.push(Output::Close(conn));
        self.forget_connection(conn, out);
    }

    /// Removes a connection: fails its open questions and schedules a redial.
    fn forget_connection(&mut self, conn: Conn, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.remove(&conn) else { return };
        let up = session.peer().map(|(name, life)| (name.clone(), life));
        if let Some((name, life)) = &up {
            for id in session.pending_questions.into_keys() {
                out.push(answer_output(name, id, Err(NoAnswer::Lost)));
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

    /// Closes the connection of a peer that reads too slowly, otherwise its unsent messages would accumulate here. The peer
    /// learns what it missed when it reconnects.
    fn enforce_unwritten_limit(&mut self, conn: Conn, out: &mut Vec<Output>) {
        if self.sessions.get(&conn).is_some_and(|s| s.unwritten > self.options.unwritten) {
            self.close(conn, None, out);
        }
    }

    fn tick(&mut self, out: &mut Vec<Output>) {
        let (now, o) = (self.now, self.options.clone());
        for conn in self.sessions.keys().copied().collect::<Vec<_>>() {
            let Some(session) = self.sessions.get_mut(&conn) else { continue };
            let Some((name, _)) = session.peer().map(|(name, life)| (name.clone(), life)) else {
                if now >= session.opened_at + o.greeting {
                    self.close(conn, None, out);
                }
                continue;
            };
            let expired: Vec<u64> = session
                .pending_questions
                .iter()
                .filter(|(_, q)| now >= q.deadline)
                .map(|(id, _)| *id)
                .collect();
            for id in expired {
                session.pending_questions.remove(&id);
                out.push(answer_output(&name, id, Err(NoAnswer::Late)));
            }
            if now >= session.last_received + o.drop {
                self.close(conn, None, out);
                continue;
            }
            if now >= session.last_received + o.quiet && !session.reported_quiet {
                session.reported_quiet = true;
                out.push(Output::Tell(Told::Quiet { peer: name, since: session.last_received }));
            }
            if now >= session.last_sent + o.beat {
                let bytes = session.encode_frame(now, &Frame::Beat);
                out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
                self.enforce_unwritten_limit(conn, out);
            }
        }
        let due: Vec<PeerName> = self
            .peers
            .iter()
            .filter(|(name, peer)| now >= peer.next_dial_at && self.may_dial(name, peer))
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

fn answer_output(peer: &PeerName, id: u64, outcome: Result<Vec<u8>, NoAnswer>) -> Output {
    Output::Tell(Told::Answered { peer: peer.clone(), question: QuestionId(id), outcome })
}
