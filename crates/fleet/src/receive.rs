//! Processing of messages from peers.

use peer::{Life, PeerName};

use crate::fleet::Fleet;
use crate::input::Output;
use crate::message::{Message, MessageKind};
use crate::record::{MOST_NUMBER, Record};

impl Fleet {
    pub(crate) fn receive(&mut self, from: PeerName, life: Life, body: &[u8], out: &mut Vec<Output>) {
        self.counts.notes_in += 1;
        self.counts.bytes_in += body.len() as u64;
        let message = match self.read(&from, life, body) {
            Ok(message) => message,
            Err(why) => return self.reject(&from, why, out),
        };
        self.accept(&from, &from, &Record::new(life), out);
        // A message of a former life was delayed: its records may be merged, but it does not show that the sender is running.
        let present = self.member_table.record(&from).is_some_and(|r| r.life() == life);
        let (kind, number) = (message.kind(), message.number);
        if present {
            let answers = (kind == Some(MessageKind::Ack) && message.requester.is_none()).then_some(number);
            self.detector.heard(self.now, &from, answers);
        }
        let (digest, node_digest) = (message.digest, message.node_digest);
        for encoded in message.members {
            let name = encoded.name.clone();
            self.accept(&from, &name, &encoded.record(), out);
        }
        for encoded in message.nodes {
            let member_table = &self.member_table;
            let updates =
                self.node_table.merge(self.now, &self.options.name, encoded, |name| member_table.knows(name));
            self.queue_node_updates(updates);
        }
        self.refresh_standings();
        match kind {
            Some(MessageKind::Ping) if self.may_answer() => {
                let ack = Message { number, requester: message.requester, ..Message::new(MessageKind::Ack) };
                self.send(&from, ack, out);
            }
            Some(MessageKind::Ack) => {
                if let Some((asker, number)) = message.requester
                    && self.member_table.knows(&asker)
                    && self.may_answer()
                {
                    let reached = Message {
                        number,
                        subject: Some(from.clone()),
                        ..Message::new(MessageKind::IndirectAck)
                    };
                    self.send(&asker, reached, out);
                }
            }
            Some(MessageKind::PingRequest) => {
                if let Some(target) = message.subject
                    && self.member_table.knows(&target)
                    && target != self.options.name
                    && self.may_answer()
                {
                    let requester = Some((from.clone(), number));
                    self.send(
                        &target,
                        Message { number: self.now, requester, ..Message::new(MessageKind::Ping) },
                        out,
                    );
                }
            }
            Some(MessageKind::IndirectAck) if present => {
                if let Some(target) = message.subject {
                    self.detector.reached(self.now, &from, &target, number);
                }
            }
            Some(MessageKind::Compare)
                if digest != self.member_table.digest() || node_digest != self.node_table.digest() =>
            {
                self.send_full_view(&from, true, out);
            }
            Some(MessageKind::Page) if message.wants_reply => self.send_full_view(&from, false, out),
            _ => {}
        }
        if matches!(kind, Some(MessageKind::Ping | MessageKind::Ack)) && present {
            let same = digest == self.member_table.digest();
            self.handle_digest_comparison(&from, same, out);
        }
    }

    fn read(&self, from: &PeerName, life: Life, body: &[u8]) -> Result<Message, &'static str> {
        if !self.member_table.knows(from) || *from == self.options.name {
            return Err("the site file does not name it, or it uses this gateway's name");
        }
        if life.incarnation.0 > MOST_NUMBER {
            return Err("its own life is impossible: look at that gateway's disk");
        }
        if body.len() > self.options.most_body {
            return Err("its message is longer than allowed: compare `most_body`");
        }
        let message = Message::read(body).ok_or("its message cannot be decoded: compare the versions")?;
        if message.site != self.options.site {
            return Err("its message is of another site");
        }
        if message.members.len() > self.member_table.len()
            || message.nodes.len() > 2 * self.max_node_entries()
        {
            return Err("its view is larger than the site file: compare the site files");
        }
        Ok(message)
    }

    /// Maximum entries: each node's start and one report of each member.
    fn max_node_entries(&self) -> usize {
        self.options.most_nodes.saturating_mul(self.member_table.len() + 1)
    }

    /// Takes one answer from this period's limit. Otherwise a flooding peer would have each of its messages answered, perhaps
    /// to others. The cost: above the limit a legitimate ping stays unanswered, and its sender probes through others.
    fn may_answer(&mut self) -> bool {
        let may = self.answers_left > 0;
        self.answers_left = self.answers_left.saturating_sub(1);
        may
    }
}
