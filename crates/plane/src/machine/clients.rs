//! Those who connect to a machine: copies that are served, and those who ask for changes.

use peer::channel::{self, Channel, Word};
use peer::{Kind, PeerName};

use super::Machine;
use crate::entry::{Cursor, Region};
use crate::io::{Conn, Output};
use crate::message::{Message, Proposal, ProposalError, Proposed};
use crate::{KIND, Micros};

/// Connections beside those of the copies that are served.
const BESIDE: usize = 64;
/// Bytes that may wait for one who asks and takes no answer.
const UNTAKEN: usize = 1 << 20;
/// Of gateways' words for it, a writer begins another epoch no more often than this.
const ANEW: Micros = 60_000_000;
/// What was turned away that is remembered as told.
const TOLD: usize = 256;
/// Entries of one subscription, more than there are regions.
const REGIONS: usize = 1024;

/// A connection that came in.
#[derive(Debug)]
pub(super) struct Client {
    channel: Channel,
    name: Option<PeerName>,
    heard: Micros,
    pub(super) spoke: Micros,
    /// Bytes for it beside the feed's that it has not taken.
    untaken: usize,
}

impl Machine {
    pub(super) fn accept(&mut self, conn: Conn, out: &mut Vec<Output>) {
        // Danger: anybody may connect and say nothing. There are places for all who are served and a few beside.
        if self.clients.len() >= self.options.feed.subscribers + BESIDE {
            out.push(Output::Close(conn));
            return;
        }
        let channel = Channel::new(self.options.greeting.site);
        let client = Client { channel, name: None, heard: self.now, spoke: self.now, untaken: 0 };
        self.clients.insert(conn, client);
        self.counts.links += 1;
        self.say(conn, channel::hello(&self.options.greeting), out);
    }

    pub(super) fn forget(&mut self, conn: Conn) {
        self.clients.remove(&conn);
        self.feed.ended(conn);
    }

    pub(super) fn taken(&mut self, conn: Conn, bytes: usize) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.untaken = client.untaken.saturating_sub(bytes);
        }
        self.feed.taken(conn, bytes);
    }

    fn say(&mut self, conn: Conn, bytes: Vec<u8>, out: &mut Vec<Output>) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.spoke = self.now;
        client.untaken += bytes.len();
        self.counts.bytes_out += bytes.len() as u64;
        self.counts.notes_out += 1;
        self.feed.spoke(conn, bytes.len());
        let stuck = client.untaken > UNTAKEN;
        out.push(Output::Write(conn, bytes.into()));
        if stuck {
            out.push(Output::Close(conn));
            self.forget(conn);
        }
    }

    pub(super) fn hear(&mut self, conn: Conn, bytes: &[u8], out: &mut Vec<Output>) {
        self.counts.bytes_in += bytes.len() as u64;
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.heard = self.now;
        client.channel.receive(bytes);
        loop {
            let Some(client) = self.clients.get_mut(&conn) else { return };
            let word = match client.channel.poll() {
                Ok(Some(word)) => word,
                Ok(None) => return,
                Err(error) => return self.turn_away(conn, error.to_string(), out),
            };
            match word {
                Word::Hello(greeting) => client.name = Some(greeting.name),
                Word::Note { kind: KIND, body } => self.on_note(conn, &body, out),
                Word::Ask { id, kind, body } => self.on_ask(conn, id, kind, &body, out),
                Word::Bye(_) => {
                    out.push(Output::Close(conn));
                    self.forget(conn);
                    return;
                }
                _ => {}
            }
        }
    }

    fn on_note(&mut self, conn: Conn, body: &[u8], out: &mut Vec<Output>) {
        self.counts.notes_in += 1;
        let (wanted, doubted) = match Message::read(body) {
            Some(Message::Subscribe(wanted)) => (wanted, Vec::new()),
            Some(Message::Renew { wanted, doubted }) => (wanted, doubted),
            _ => return self.turn_away(conn, "a note that no copy sends".into(), out),
        };
        if wanted.len() > REGIONS {
            return self.turn_away(conn, "a subscription to more regions than there are".into(), out);
        }
        let from = self.clients.get(&conn).and_then(|client| client.name.clone());
        let machine = from.as_ref().is_some_and(|name| self.options.machines.iter().any(|m| m.name == *name));
        self.beyond(from, machine, &wanted, out);
        let known = wanted.into_iter().filter(|(region, _)| self.indexes.contains_key(region)).collect();
        if let Some(busy) = self.feed.subscribe(conn, known, machine) {
            let bytes = channel::note(KIND, busy.body()).unwrap_or_default();
            self.say(conn, bytes, out);
            out.push(Output::Close(conn));
            self.forget(conn);
        }
        self.feed.doubts(conn, &doubted);
    }

    /// What somebody holds of this writer's region that it does not know.
    ///
    /// Danger: a writer that stood still while another life of it wrote, or whose disk was put back, would give versions that
    /// others have seen with other content. They turn it away; it has to know. Any gateway's word only raises the number of its
    /// next epoch: one that is damaged must not be able to stop a region's changes. A machine's word ends its writing. Where the
    /// number is its own, it begins another epoch.
    fn beyond(
        &mut self,
        from: Option<PeerName>,
        machine: bool,
        wanted: &[(Region, Cursor)],
        out: &mut Vec<Output>,
    ) {
        let (region, own) = (self.region, self.copy.cursor(self.region));
        let Some(writer) = &mut self.writer else { return };
        let later = wanted.iter().filter(|(of, cursor)| *of == region && *cursor > own);
        let Some(seen) = later.map(|(_, cursor)| *cursor).max() else { return };
        if seen.epoch == own.epoch && (machine || self.now >= self.anew) {
            // A number that was given twice, after a disk was lost: what was written under it before is another line. Danger: a
            // gateway that is damaged could have one epoch begun after another. Harm: one that is not waits for its turn.
            writer.begin_anew();
            self.anew = self.now + ANEW;
        }
        let answers = writer.saw(seen.epoch, own.epoch, machine);
        self.answer(answers, out);
        let why = format!("it holds {seen} of this writer's region, which wrote no further than {own}");
        self.tell(from, why, out);
    }

    fn tell(&mut self, from: Option<PeerName>, why: String, out: &mut Vec<Output>) {
        self.counts.turned_away += 1;
        // Danger: somebody who comes again and again would fill the log.
        if self.told.len() < TOLD && self.told.insert(format!("{from:?} {why}")) {
            out.push(Output::TurnedAway { from, why });
        }
    }

    fn on_ask(&mut self, conn: Conn, id: u64, kind: Kind, body: &[u8], out: &mut Vec<Output>) {
        if kind != KIND {
            return self.say(conn, channel::pass(id), out);
        }
        let waits = self.waits_for();
        let (bounds, region) = (self.options.bounds, self.region);
        let answer = match (peer::wire::decode::<Proposal>(body), &mut self.writer) {
            (None, _) => Some(Err(ProposalError::Form)),
            (Some(_), None) => {
                let writes = |m: &&super::Place| m.region == region && m.writer;
                let writer = self.options.machines.iter().find(writes).map(|m| m.name.0.clone());
                Some(Err(ProposalError::NotWriter { region: region.0, writer: writer.unwrap_or_default() }))
            }
            (Some(proposal), Some(writer)) => writer.propose(conn, id, proposal, &self.copy, &bounds, &waits),
        };
        self.answer(answer.map(|answer| (conn, id, answer)).into_iter().collect(), out);
    }

    pub(super) fn answer(&mut self, answers: Vec<(Conn, u64, Proposed)>, out: &mut Vec<Output>) {
        for (conn, id, proposed) in answers {
            let bytes =
                channel::answer(id, peer::wire::encode(&proposed)).unwrap_or_else(|| channel::pass(id));
            self.say(conn, bytes, out);
        }
    }

    fn turn_away(&mut self, conn: Conn, why: String, out: &mut Vec<Output>) {
        let from = self.clients.get(&conn).and_then(|client| client.name.clone());
        self.tell(from, why, out);
        out.push(Output::Close(conn));
        self.forget(conn);
    }

    /// Signs of life to those who have heard nothing for a while; who says nothing himself is let go.
    pub(super) fn look_through(&mut self, out: &mut Vec<Output>) {
        if self.now < self.sweep {
            return;
        }
        self.sweep = self.now + self.options.beat / 2;
        let (now, beat, silence) = (self.now, self.options.beat, self.options.silence);
        let conns: Vec<Conn> = self.clients.keys().copied().collect();
        for conn in conns {
            let Some(client) = self.clients.get(&conn) else { continue };
            if now >= client.heard + silence {
                out.push(Output::Close(conn));
                self.forget(conn);
            } else if now >= client.spoke + beat && client.untaken == 0 && self.feed.unsent(conn) == 0 {
                self.say(conn, channel::beat(), out);
            }
        }
    }
}
