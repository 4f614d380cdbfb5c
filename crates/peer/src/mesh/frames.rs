//! Handling of frames received from peers.

use super::{Conn, Mesh, NoAnswer, Output, Told, answer_output};
use crate::life::{Life, Sighting};
use crate::session::Stage;
use crate::wire::{Frame, Hello, PeerName, Reason, VERSIONS};

impl Mesh {
    pub(super) fn receive(&mut self, conn: Conn, bytes: &[u8], out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        session.decoder.receive(bytes);
        loop {
            let Some(session) = self.sessions.get_mut(&conn) else { return };
            match session.decoder.poll() {
                Ok(Some(frame)) => self.on_frame(conn, frame, out),
                Ok(None) => return,
                Err(_) => {
                    // After a damaged frame the stream is out of sync, and later bytes would be misinterpreted.
                    self.close(conn, None, out);
                    return;
                }
            }
        }
    }

    pub(super) fn on_frame(&mut self, conn: Conn, frame: Frame, out: &mut Vec<Output>) {
        let max_questions = self.options.questions;
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        session.last_received = self.now;
        let peer = session.peer().map(|(name, life)| (name.clone(), life));
        if let Some((name, _)) = &peer {
            if session.reported_quiet {
                session.reported_quiet = false;
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
                // Without this limit, a peer that asks without end could exhaust memory while answers are slow.
                if session.unanswered.len() >= max_questions || !session.unanswered.insert(id) {
                    let bytes = session.encode_frame(self.now, &Frame::Pass { id });
                    out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
                    self.enforce_unwritten_limit(conn, out);
                } else {
                    out.push(Output::Tell(Told::Asked { peer, life, conn, id, kind, body }));
                }
            }
            (Frame::Answer { id, body }, Some((peer, _))) => {
                // An answer after its deadline no longer has a question.
                if session.pending_questions.remove(&id).is_some() {
                    out.push(answer_output(&peer, id, Ok(body)));
                }
            }
            (Frame::Pass { id }, Some((peer, _))) => {
                if session.pending_questions.remove(&id).is_some() {
                    out.push(answer_output(&peer, id, Err(NoAnswer::Passed)));
                }
            }
            (Frame::Note { kind, body }, Some((peer, life))) => {
                out.push(Output::Tell(Told::Noted { peer, life, kind, body }));
            }
            (Frame::Beat | Frame::Unknown, Some(_)) => {}
            // Protocol violation: a frame before the greeting, or a second greeting.
            (_, None) | (Frame::Hello(_), Some(_)) => self.close(conn, None, out),
        }
    }

    pub(super) fn on_hello(&mut self, conn: Conn, hello: Hello, out: &mut Vec<Output>) {
        let Some(session) = self.sessions.get(&conn) else { return };
        let dialled = session.dialled.clone();
        let name = hello.name.clone();
        let refused = |why| Output::Tell(Told::Refused { peer: Some(name.clone()), why });
        if hello.least > VERSIONS.1 || hello.most < VERSIONS.0 {
            out.push(refused("it supports no protocol version that is supported here"));
            return self.close(conn, Some(Reason::Version), out);
        }
        if hello.site != self.options.site || !self.peers.contains_key(&name) {
            out.push(refused("it belongs to another site or is not in the list of peers"));
            return self.close(conn, Some(Reason::Stranger), out);
        }
        // The address now belongs to another gateway than the one dialled.
        if dialled.as_ref().is_some_and(|expected| *expected != name) {
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
        // The peer would not reconnect if it still considered the former connection usable, so that one is closed.
        if let Some(before) = self.peers.get(&name).and_then(|p| p.conn) {
            self.close(before, None, out);
        }
        let greeting = self.hello(Some(&name));
        let Some(session) = self.sessions.get_mut(&conn) else { return };
        session.stage = Stage::Up { name: name.clone(), life: hello.life };
        if dialled.is_none() {
            let bytes = session.encode_frame(self.now, &greeting);
            out.extend(bytes.map(|bytes| Output::Write(conn, bytes)));
        }
        if let Some(peer) = self.peers.get_mut(&name) {
            (peer.conn, peer.failed_dials, peer.heard) = (Some(conn), 0, Some(self.now));
        }
        out.push(Output::Tell(Told::Up { peer: name, life: hello.life }));
    }

    pub(super) fn on_bye(
        &mut self,
        conn: Conn,
        reason: Reason,
        name: Option<PeerName>,
        out: &mut Vec<Output>,
    ) {
        match (reason, name) {
            (Reason::Stale(seen), Some(name)) if self.life.is_behind(seen) => {
                return self.superseded(name, seen, out);
            }
            (Reason::Version, peer) => {
                out.push(Output::Tell(Told::Refused {
                    peer,
                    why: "it supports no protocol version that is supported here",
                }));
            }
            (Reason::Stranger, peer) => {
                out.push(Output::Tell(Told::Refused { peer, why: "it does not know this gateway" }));
            }
            _ => {}
        }
        self.close(conn, None, out);
    }

    /// Stops this life, because a later one was seen. Anything sent from now on would be attributed to the later life, so
    /// nothing more is sent. The cost: a peer that reports a false life stops this one; peers of a site are trusted in this.
    pub(super) fn superseded(&mut self, by: PeerName, seen: Life, out: &mut Vec<Output>) {
        self.is_superseded = true;
        out.push(Output::Tell(Told::Superseded { by, seen }));
        for conn in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.close(conn, None, out);
        }
    }
}
