//! What peers say, frame by frame.

use super::{Conn, Mesh, NoAnswer, Output, Told, answered};
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
                    // Danger: a damaged frame leaves the stream out of step; what follows would be read as something else.
                    self.close(conn, None, out);
                    return;
                }
            }
        }
    }

    pub(super) fn on_frame(&mut self, conn: Conn, frame: Frame, out: &mut Vec<Output>) {
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

    pub(super) fn on_hello(&mut self, conn: Conn, hello: Hello, out: &mut Vec<Output>) {
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
    pub(super) fn superseded(&mut self, by: PeerName, seen: Life, out: &mut Vec<Output>) {
        self.over = true;
        out.push(Output::Tell(Told::Superseded { by, seen }));
        for conn in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.close(conn, None, out);
        }
    }
}
