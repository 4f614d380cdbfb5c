//! One who asks a region's writer for changes and remembers what was answered.

use std::collections::{BTreeMap, BTreeSet};

use peer::PeerName;
use peer::channel::{self, Channel, Greeting, Word};
use plane::{Change, Conn, Input, KIND, Micros, Output, Proposal, Proposed};

/// Until it dials again.
const PAUSE: Micros = 400_000;
/// A sign of life after so long.
const BEAT: Micros = 2_000_000;
/// A writer that says nothing for so long is dialled anew.
const SILENCE: Micros = 5_000_000;

/// What was answered to a proposal.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) changes: Vec<Change>,
    pub(crate) proposed: Proposed,
}

/// A client of one writer.
#[derive(Debug)]
pub(crate) struct Proposer {
    greeting: Greeting,
    writer: PeerName,
    link: Option<(Conn, Channel)>,
    dialling: bool,
    next: Micros,
    spoke: Micros,
    heard: Micros,
    last: u64,
    open: BTreeMap<u64, Vec<Change>>,
    done: BTreeSet<u64>,
    /// Answers that were not looked at yet.
    pub(crate) answers: Vec<Answer>,
    /// What must not be.
    pub(crate) wrong: Option<String>,
}

impl Proposer {
    pub(crate) fn new(greeting: Greeting, writer: PeerName, now: Micros) -> Self {
        Proposer {
            greeting,
            writer,
            link: None,
            dialling: false,
            next: now,
            spoke: now,
            heard: now,
            last: 0,
            open: BTreeMap::new(),
            done: BTreeSet::new(),
            answers: Vec::new(),
            wrong: None,
        }
    }

    /// Whether it can ask now.
    pub(crate) fn is_linked(&self) -> bool {
        self.link.as_ref().is_some_and(|(_, channel)| channel.is_greeted())
    }

    /// Whether nothing it asked for is unanswered.
    pub(crate) fn is_done(&self) -> bool {
        self.open.is_empty()
    }

    /// When it wants to be told the time.
    pub(crate) fn next_due(&self) -> Micros {
        match (&self.link, self.dialling) {
            (Some(_), _) => (self.spoke + BEAT).min(self.heard + SILENCE),
            (None, true) => Micros::MAX,
            (None, false) => self.next,
        }
    }

    /// Asks for changes.
    pub(crate) fn propose(&mut self, now: Micros, changes: Vec<Change>, out: &mut Vec<Output>) {
        let Some((conn, _)) = self.link.as_ref().filter(|_| self.is_linked()) else { return };
        self.last += 1;
        let body = peer::wire::encode(&Proposal { changes: changes.clone() });
        let bytes = channel::ask(self.last, KIND, body).expect("a proposal of the drill fits a frame");
        self.open.insert(self.last, changes);
        self.spoke = now;
        out.push(Output::Write(*conn, bytes.into()));
    }

    pub(crate) fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let owned = self.link.as_ref().map(|(conn, _)| *conn);
        match input {
            Input::Dialled { conn, .. } => {
                self.dialling = false;
                self.link = Some((conn, Channel::new(self.greeting.site)));
                (self.spoke, self.heard) = (now, now);
                out.push(Output::Write(conn, channel::hello(&self.greeting).into()));
            }
            Input::NotDialled { .. } => {
                self.dialling = false;
                self.next = now + PAUSE;
            }
            Input::Bytes { conn, bytes } if owned == Some(conn) => {
                self.heard = now;
                self.hear(&bytes);
            }
            Input::Ended { conn } if owned == Some(conn) => self.lost(now),
            _ => {}
        }
        if let Some((conn, _)) = self.link.as_ref().filter(|_| now >= self.heard + SILENCE) {
            out.push(Output::Close(*conn));
            self.lost(now);
        }
        if self.link.is_none() && !self.dialling && now >= self.next {
            self.dialling = true;
            out.push(Output::Dial(self.writer.clone()));
        }
        if let Some((conn, _)) = self.link.as_ref().filter(|_| now >= self.spoke + BEAT) {
            self.spoke = now;
            out.push(Output::Write(*conn, channel::beat().into()));
        }
    }

    /// What was asked over a lost link is not known to be taken or not.
    fn lost(&mut self, now: Micros) {
        self.link = None;
        self.open.clear();
        self.next = now + PAUSE;
    }

    fn hear(&mut self, bytes: &[u8]) {
        let Some((_, channel)) = &mut self.link else { return };
        channel.receive(bytes);
        loop {
            let word = match channel.poll() {
                Ok(Some(word)) => word,
                Ok(None) => return,
                Err(error) => {
                    self.wrong = Some(format!("{} hears from {}: {error}", self.greeting.name, self.writer));
                    return;
                }
            };
            let Word::Answer { id, body } = word else { continue };
            let proposed: Option<Proposed> = peer::wire::decode(&body);
            match (self.open.remove(&id), proposed) {
                (Some(changes), Some(proposed)) => {
                    self.done.insert(id);
                    self.answers.push(Answer { changes, proposed });
                }
                (None, _) if self.done.contains(&id) => {
                    self.wrong = Some(format!("proposal {id} of {} was answered twice", self.greeting.name));
                }
                (asked, _) => {
                    let known = asked.is_some();
                    self.wrong = Some(format!("an answer to {id} that cannot be read (asked: {known})"));
                }
            }
        }
    }
}
