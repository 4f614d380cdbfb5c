//! What a gateway makes of a peer's note.

use peer::{Life, PeerName};

use crate::fleet::Fleet;
use crate::input::Output;
use crate::message::{Note, Sort};
use crate::record::{MOST_NUMBER, Record};

impl Fleet {
    pub(crate) fn heard(&mut self, from: PeerName, life: Life, body: &[u8], out: &mut Vec<Output>) {
        self.counts.notes_in += 1;
        self.counts.bytes_in += body.len() as u64;
        let note = match self.read(&from, life, body) {
            Ok(note) => note,
            Err(why) => return self.turn_away(&from, why, out),
        };
        self.accept(&from, &from, &Record::new(life), out);
        // A note of a life that is over was on its way for long: what it says may be merged, but nobody is there.
        let present = self.roll.record(&from).is_some_and(|r| r.life() == life);
        let (sort, number) = (note.sort(), note.number);
        if present {
            let answers = (sort == Some(Sort::Ack) && note.helped.is_none()).then_some(number);
            self.detector.heard(self.now, &from, answers);
        }
        let (digest, nodes_digest) = (note.digest, note.nodes_digest);
        for told in note.members {
            let name = told.name.clone();
            self.accept(&from, &name, &told.record(), out);
        }
        for told in note.nodes {
            let roll = &self.roll;
            let news = self.sights.merge(self.now, &self.options.name, told, |name| roll.knows(name));
            self.spread(news);
        }
        self.restand();
        match sort {
            Some(Sort::Ping) if self.may_answer() => {
                let ack = Note { number, helped: note.helped, ..Note::new(Sort::Ack) };
                self.send(&from, ack, out);
            }
            Some(Sort::Ack) => {
                if let Some((asker, number)) = note.helped
                    && self.roll.knows(&asker)
                    && self.may_answer()
                {
                    let reached = Note { number, about: Some(from.clone()), ..Note::new(Sort::Reached) };
                    self.send(&asker, reached, out);
                }
            }
            Some(Sort::Ask) => {
                if let Some(target) = note.about
                    && self.roll.knows(&target)
                    && target != self.options.name
                    && self.may_answer()
                {
                    let helped = Some((from.clone(), number));
                    self.send(&target, Note { number: self.now, helped, ..Note::new(Sort::Ping) }, out);
                }
            }
            Some(Sort::Reached) if present => {
                if let Some(target) = note.about {
                    self.detector.reached(self.now, &from, &target, number);
                }
            }
            Some(Sort::Compare) if digest != self.roll.digest() || nodes_digest != self.sights.digest() => {
                self.tell_all(&from, true, out);
            }
            Some(Sort::Page) if note.back => self.tell_all(&from, false, out),
            _ => {}
        }
        if matches!(sort, Some(Sort::Ping | Sort::Ack)) && present {
            let same = digest == self.roll.digest();
            self.compared(&from, same, out);
        }
    }

    fn read(&self, from: &PeerName, life: Life, body: &[u8]) -> Result<Note, &'static str> {
        if !self.roll.knows(from) || *from == self.options.name {
            return Err("the site file does not name it, or it bears this gateway's name");
        }
        if life.incarnation.0 > MOST_NUMBER {
            return Err("its own life is impossible: look at that gateway's disk");
        }
        if body.len() > self.options.most_body {
            return Err("its note is longer than a view may be: compare `most_body`");
        }
        let note = Note::read(body).ok_or("its note cannot be read: compare the versions")?;
        if note.site != self.options.site {
            return Err("its note is of another site");
        }
        if note.members.len() > self.roll.len() || note.nodes.len() > 2 * self.most_sights() {
            return Err("its view is larger than the site file: compare the site files");
        }
        Ok(note)
    }

    /// Nodes, and words of all members on each.
    fn most_sights(&self) -> usize {
        self.options.most_nodes.saturating_mul(self.roll.len() + 1)
    }

    /// Danger: a peer that floods has each of its notes answered, perhaps to others. Harm: in a period with more than the
    /// most, a true ping goes unanswered, and its sender asks others.
    fn may_answer(&mut self) -> bool {
        let may = self.answers > 0;
        self.answers = self.answers.saturating_sub(1);
        may
    }
}
