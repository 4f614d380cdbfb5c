//! Messages to and from peers, and the stored counters.

use peer::wire::{decode, encode};
use peer::{Life, PeerName};
use rand::Rng;
use rand::seq::IndexedRandom;

use crate::Micros;
use crate::counts::{Cell, Comparison};
use crate::exchange::Output;
use crate::merge::Page;
use crate::message::{MAX_CELLS, MAX_PAGES, MAX_QUERIES, Message, Query, QueryAnswer, StoredCounters};
use crate::options::Plant;
use crate::shadow::Shadow;
use crate::slice::Range;
use crate::writes::Seen;

impl Shadow {
    fn new_message(&self) -> Message {
        Message {
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

    fn reject(&mut self, from: PeerName, why: &'static str, out: &mut Vec<Output>) {
        if self.peers.is_first_report(&from, why) {
            out.push(Output::TurnedAway { from, why });
        }
    }

    /// Sends heartbeats, repeats unanswered queries, and stores the counters.
    pub(crate) fn gossip(&mut self, now: Micros, out: &mut Vec<Output>) {
        for id in self.waiting.due_queries(now) {
            self.send_queries(id, out);
        }
        if self.has_unstored() && now.saturating_sub(self.stored_at) >= self.options.keep {
            self.store(now, out);
        }
        if now < self.next_heartbeat_at {
            return;
        }
        self.next_heartbeat_at = now.saturating_add(self.options.beat.max(1));
        let listed: Vec<PeerName> = self.peers.listed().cloned().collect();
        let selected: Vec<&PeerName> = listed.choose_multiple(&mut self.rng, self.options.fanout).collect();
        let heartbeat = self.new_message();
        let with_positions = Message { have: Some(self.counters.positions()), ..heartbeat.clone() };
        let (heartbeat, with_positions) = (encode(&heartbeat), encode(&with_positions));
        for to in &listed {
            let body = if selected.contains(&to) { with_positions.clone() } else { heartbeat.clone() };
            out.push(Output::Send { to: to.clone(), body });
        }
    }

    /// Sends queries to all peers whose answers a difference waits for.
    pub(crate) fn send_queries(&mut self, id: u64, out: &mut Vec<Output>) {
        for (to, ask) in self.waiting.queries(id) {
            let note = Message { asks: vec![ask], ..self.new_message() };
            out.push(Output::Send { to, body: encode(&note) });
        }
    }

    pub(crate) fn on_message(
        &mut self,
        now: Micros,
        from: PeerName,
        life: Life,
        body: &[u8],
        out: &mut Vec<Output>,
    ) {
        if from == self.options.name || !self.peers.is_listed(&from) {
            // A message from an unlisted gateway is ignored, and nothing is stored for it.
            return;
        }
        if body.len() > self.options.most_body {
            return self.reject(from, "a note is longer than is taken", out);
        }
        let Some(note) = decode::<Message>(body) else {
            return self.reject(from, "a note cannot be read", out);
        };
        let tick = (!note.blind).then_some(note.tick);
        if !self.peers.on_tick(now, &from, life, note.seat, tick) {
            return;
        }
        for said in note.said.iter().take(MAX_QUERIES) {
            let settled = self.waiting.on_answer(&from, life, note.seat, said.id, said.seen);
            if let Some((difference, judgement)) = settled {
                self.count_difference(now, difference, judgement);
            }
        }
        let said: Vec<QueryAnswer> = note.asks.iter().take(MAX_QUERIES).map(|ask| self.answer(ask)).collect();
        let mut pages = Vec::new();
        let same_candidate = note.digest == self.digest || self.options.plant == Plant::DigestsAdded;
        if same_candidate {
            for page in note.pages.iter().take(MAX_PAGES) {
                self.merge_page(now, &from, page, out);
            }
            if let Some(have) = note.have.filter(|_| self.peers.may_send_pages(now, &from)) {
                let random = self.rng.random();
                pages = self.counters.pages(&have, MAX_PAGES, MAX_CELLS, random);
            }
        } else if !note.pages.is_empty() || note.have.is_some() {
            self.reject(from.clone(), "it holds another candidate; its counts are not added", out);
        }
        if !said.is_empty() || !pages.is_empty() {
            let note = Message { said, pages, ..self.new_message() };
            out.push(Output::Send { to: from, body: encode(&note) });
        }
    }

    /// Answers a query: whether this gateway may have written the blocks since the tick.
    fn answer(&self, ask: &Query) -> QueryAnswer {
        let range = Range { nsid: ask.nsid, slba: ask.slba, blocks: ask.blocks };
        let is_mine = ask.of == self.seat || self.options.plant == Plant::OldWord;
        // Writes outside of the slice are not tracked; a peer with another candidate may query them.
        let seen = if !is_mine || !self.slice_map.covers(&range) {
            Seen::CannotSay
        } else {
            self.writes.written_since(&range, ask.since)
        };
        QueryAnswer { id: ask.id, seen }
    }

    fn merge_page(&mut self, now: Micros, from: &PeerName, page: &Page, out: &mut Vec<Output>) {
        if page.owner == self.owner && self.options.plant != Plant::NameOwns {
            // Only this gateway counts under its current life; a peer's copy can hold only what this gateway sent.
            let own =
                self.counters.owners.get(&self.owner).map_or(0, |owner_counters| owner_counters.position);
            if page.cells.iter().any(|(_, count)| count.version > own) {
                self.reject(from.clone(), "it counts under this gateway's life", out);
            }
            return;
        }
        if !self.counters.merge_page(page, &self.slice_map, self.options.most_owners) {
            return self.reject(from.clone(), "more lives than are held; one's counts are left out", out);
        }
        self.mark_suspects(now, page);
    }

    /// Marks extents as suspect that are suspect at a peer.
    fn mark_suspects(&mut self, now: Micros, page: &Page) {
        for (key, count) in &page.cells {
            if let (Some(Cell::Compared(Comparison::First, nsid, extent)), 1..) =
                (Cell::of(*key, &self.slice_map), count.value)
            {
                self.suspects.entry((nsid, extent)).or_insert(now);
            }
        }
    }

    pub(crate) fn has_unstored(&self) -> bool {
        self.counters
            .owners
            .get(&self.owner)
            .is_some_and(|owner_counters| owner_counters.position > self.stored_position)
    }

    pub(crate) fn store(&mut self, now: Micros, out: &mut Vec<Output>) {
        let own = self.counters.owners.iter().filter(|(owner, _)| owner.name == self.options.name);
        let pages = own.map(|(owner, owner_counters)| Page {
            owner: owner.clone(),
            from: 0,
            cells: owner_counters.cells.iter().map(|(key, count)| (*key, *count)).collect(),
            examples: owner_counters.examples.iter().map(|(at, example)| (*at, example.clone())).collect(),
        });
        out.push(Output::Keep(encode(&StoredCounters { digest: self.digest, pages: pages.collect() })));
        self.stored_at = now;
        self.stored_position =
            self.counters.owners.get(&self.owner).map_or(0, |owner_counters| owner_counters.position);
    }

    pub(crate) fn restore(&mut self, now: Micros, kept: &[u8]) {
        let Some(kept) = decode::<StoredCounters>(kept) else {
            self.startup_rejection = Some("what was kept cannot be read; peers may still have it");
            return;
        };
        if kept.digest != self.digest && self.options.plant != Plant::DigestsAdded {
            self.startup_rejection = Some("what was kept is another candidate's; it is not added");
            return;
        }
        for page in &kept.pages {
            self.counters.merge_page(page, &self.slice_map, self.options.most_owners);
            self.mark_suspects(now, page);
        }
    }
}
