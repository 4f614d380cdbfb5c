//! What goes to peers and to the disk, and what comes from them.

use peer::wire::{decode, encode};
use peer::{Life, PeerName};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::Micros;
use crate::counts::{Came, Cell};
use crate::exchange::Output;
use crate::merge::Page;
use crate::message::{Ask, Kept, MOST_ASKS, MOST_CELLS, MOST_PAGES, Note, Said};
use crate::options::Plant;
use crate::shadow::Shadow;
use crate::slice::Range;
use crate::writes::Seen;

impl Shadow {
    fn note(&self) -> Note {
        Note {
            digest: self.digest,
            seat: self.seat,
            tick: self.writes.tick(),
            blind: self.writes.is_blind(),
            have: None,
            pages: Vec::new(),
            asks: Vec::new(),
            said: Vec::new(),
        }
    }

    fn turn_away(&mut self, from: PeerName, why: &'static str, out: &mut Vec<Output>) {
        if self.peers.is_news(&from, why) {
            out.push(Output::TurnedAway { from, why });
        }
    }

    /// Beats, questions that are asked again, counts to be kept.
    pub(crate) fn gossip(&mut self, now: Micros, out: &mut Vec<Output>) {
        for id in self.waiting.again(now) {
            self.ask(id, out);
        }
        if self.is_unkept() && now.saturating_sub(self.kept_at) >= self.options.keep {
            self.keep(now, out);
        }
        if now < self.beat_at {
            return;
        }
        self.beat_at = now.saturating_add(self.options.beat.max(1));
        let listed: Vec<PeerName> = self.peers.listed().cloned().collect();
        let told: Vec<&PeerName> = listed.choose_multiple(&mut self.rng, self.options.fanout).collect();
        let word = self.note();
        let have = Note { have: Some(self.books.reach()), ..word.clone() };
        let (word, have) = (encode(&word), encode(&have));
        for to in &listed {
            let body = if told.contains(&to) { have.clone() } else { word.clone() };
            out.push(Output::Send { to: to.clone(), body });
        }
    }

    /// Asks all peers whose words one difference waits for.
    pub(crate) fn ask(&mut self, id: u64, out: &mut Vec<Output>) {
        for (to, ask) in self.waiting.asks(id) {
            let note = Note { asks: vec![ask], ..self.note() };
            out.push(Output::Send { to, body: encode(&note) });
        }
    }

    pub(crate) fn heard(
        &mut self,
        now: Micros,
        from: PeerName,
        life: Life,
        body: &[u8],
        out: &mut Vec<Output>,
    ) {
        if from == self.options.name || !self.peers.is_listed(&from) {
            // A stranger's word settles nothing, and is not remembered.
            return;
        }
        if body.len() > self.options.most_body {
            return self.turn_away(from, "a note is longer than is taken", out);
        }
        let Some(note) = decode::<Note>(body) else {
            return self.turn_away(from, "a note cannot be read", out);
        };
        let tick = (!note.blind).then_some(note.tick);
        if !self.peers.heard(now, &from, life, note.seat, tick) {
            return;
        }
        for said in note.said.iter().take(MOST_ASKS) {
            let settled = self.waiting.said(&from, life, note.seat, said.id, said.seen);
            if let Some((difference, judged)) = settled {
                self.judged(now, difference, judged);
            }
        }
        let said: Vec<Said> = note.asks.iter().take(MOST_ASKS).map(|ask| self.say(ask)).collect();
        let mut pages = Vec::new();
        let is_ours = note.digest == self.digest || self.options.plant == Plant::DigestsAdded;
        if is_ours {
            for page in note.pages.iter().take(MOST_PAGES) {
                self.take(now, &from, page, out);
            }
            if let Some(have) = note.have.filter(|_| self.peers.may_answer(now, &from)) {
                let draw = self.rng.random();
                pages = self.books.pages(&have, MOST_PAGES, MOST_CELLS, draw);
            }
        } else if !note.pages.is_empty() || note.have.is_some() {
            self.turn_away(from.clone(), "it holds another candidate; its counts are not added", out);
        }
        if !said.is_empty() || !pages.is_empty() {
            let note = Note { said, pages, ..self.note() };
            out.push(Output::Send { to: from, body: encode(&note) });
        }
    }

    /// This gateway's word on blocks: whether it may have written them since it said a tick.
    fn say(&self, ask: &Ask) -> Said {
        let range = Range { nsid: ask.nsid, slba: ask.slba, blocks: ask.blocks };
        let is_mine = ask.of == self.seat || self.options.plant == Plant::OldWord;
        // What is not tried here is not followed here: a peer with another candidate may ask for it.
        let seen = if !is_mine || !self.places.covers(&range) {
            Seen::CannotSay
        } else {
            self.writes.since(&range, ask.since)
        };
        Said { id: ask.id, seen }
    }

    fn take(&mut self, now: Micros, from: &PeerName, page: &Page, out: &mut Vec<Output>) {
        if page.owner == self.owner && self.options.plant != Plant::NameOwns {
            // Nobody else counts under this life. What peers have of it is this gateway's own word come back.
            let own = self.books.books.get(&self.owner).map_or(0, |book| book.have);
            if page.cells.iter().any(|(_, count)| count.version > own) {
                self.turn_away(from.clone(), "it counts under this gateway's life", out);
            }
            return;
        }
        if !self.books.take(page, &self.places, self.options.most_owners) {
            return self.turn_away(from.clone(), "more lives than are held; one's counts are left out", out);
        }
        self.suspect(now, page);
    }

    /// What is suspect at a peer is so here, from now on.
    fn suspect(&mut self, now: Micros, page: &Page) {
        for (key, count) in &page.cells {
            if let (Some(Cell::Came(Came::First, nsid, extent)), 1..) =
                (Cell::of(*key, &self.places), count.value)
            {
                self.suspects.entry((nsid, extent)).or_insert(now);
            }
        }
    }

    pub(crate) fn is_unkept(&self) -> bool {
        self.books.books.get(&self.owner).is_some_and(|book| book.have > self.kept)
    }

    pub(crate) fn keep(&mut self, now: Micros, out: &mut Vec<Output>) {
        let own = self.books.books.iter().filter(|(owner, _)| owner.name == self.options.name);
        let pages = own.map(|(owner, book)| Page {
            owner: owner.clone(),
            from: 0,
            cells: book.cells.iter().map(|(key, count)| (*key, *count)).collect(),
            examples: book.examples.iter().map(|(at, example)| (*at, example.clone())).collect(),
        });
        out.push(Output::Keep(encode(&Kept { digest: self.digest, pages: pages.collect() })));
        self.kept_at = now;
        self.kept = self.books.books.get(&self.owner).map_or(0, |book| book.have);
    }

    pub(crate) fn restore(&mut self, now: Micros, kept: &[u8]) {
        let Some(kept) = decode::<Kept>(kept) else {
            self.refused = Some("what was kept cannot be read; peers may still have it");
            return;
        };
        if kept.digest != self.digest && self.options.plant != Plant::DigestsAdded {
            self.refused = Some("what was kept is another candidate's; it is not added");
            return;
        }
        for page in &kept.pages {
            self.books.take(page, &self.places, self.options.most_owners);
            self.suspect(now, page);
        }
    }
}
