//! What a gateway says to its peers.

use peer::PeerName;
use rand::seq::SliceRandom;

use crate::fleet::Fleet;
use crate::input::Output;
use crate::member::Standing;
use crate::message::{Filling, Note, Sort};
use crate::news::Item;
use crate::record::Told;
use crate::sights::Sighted;

impl Fleet {
    /// Sends a note with as much news as it bears.
    pub(crate) fn send(&mut self, to: &PeerName, note: Note, out: &mut Vec<Output>) {
        let mut filling = self.filling(note);
        // Whoever is doubted hears it first from everybody that speaks to it, so that it can refute.
        if let Some(record) = self.roll.record(to)
            && (!record.witnesses().is_empty() || record.has_left())
        {
            filling.member(Told::of(to, record));
        }
        for item in self.news.fresh() {
            match self.put(&mut filling, &item) {
                Some(true) => self.news.sent(&item, false),
                Some(false) => break,
                None => self.news.sent(&item, true),
            }
        }
        self.push(to, &filling, out);
    }

    /// Puts an item into a note, if it fits; none if it is no more.
    fn put(&self, filling: &mut Filling, item: &Item) -> Option<bool> {
        Some(match item {
            Item::Member(name) => filling.member(Told::of(name, self.roll.record(name)?)),
            Item::Node(Sighted::Start(node)) => {
                let mut told = self.sights.told(self.now, node, None)?;
                told.drop_words();
                filling.node(told)
            }
            Item::Node(Sighted::Word(node, by)) => {
                filling.node(self.sights.told(self.now, node, Some(by))?)
            }
        })
    }

    fn filling(&self, note: Note) -> Filling {
        let note = Note {
            site: self.options.site,
            digest: self.roll.digest(),
            nodes_digest: self.sights.digest(),
            ..note
        };
        Filling::new(note, self.options.most_body)
    }

    fn push(&mut self, to: &PeerName, filling: &Filling, out: &mut Vec<Output>) {
        let body = filling.body();
        self.counts.notes_out += 1;
        self.counts.bytes_out += body.len() as u64;
        out.push(Output::Send { to: to.clone(), body });
    }

    /// Passes news on to drawn peers.
    pub(crate) fn gossip(&mut self, out: &mut Vec<Output>) {
        if self.news.is_empty() {
            return;
        }
        let mut offered =
            self.others(|s| matches!(s, Standing::Up | Standing::Suspected | Standing::Leaving));
        offered.shuffle(&mut self.rng);
        for to in offered.into_iter().take(self.options.fanout) {
            self.send(&to, Note::new(Sort::Gossip), out);
        }
    }

    /// Sends the whole view in as many notes as it takes; with `back`, the first asks for the receiver's.
    pub(crate) fn tell_all(&mut self, to: &PeerName, back: bool, out: &mut Vec<Output>) {
        if self.views == 0 {
            return;
        }
        self.views -= 1;
        let members = self.roll.records().map(|(name, _)| Item::Member(name.clone()));
        let items: Vec<Item> = members.chain(self.sights.all().into_iter().map(Item::Node)).collect();
        let mut filling = self.filling(Note { back, ..Note::new(Sort::Page) });
        for item in items {
            if self.put(&mut filling, &item) == Some(false) {
                self.push(to, &filling, out);
                filling = self.filling(Note::new(Sort::Page));
                // Each fits into an empty note, as the least bound is larger than the largest record.
                self.put(&mut filling, &item);
            }
        }
        self.push(to, &filling, out);
    }
}
