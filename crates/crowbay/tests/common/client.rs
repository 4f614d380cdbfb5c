//! Clients of a stage, and what its disks say.

use std::time::Instant;

use load::{Found, Host, HostOptions, Word, fill, look};
use nvme::Digests;
use peer::{Lives, wire};
use records::NodeLine as NodeRecord;

use super::process::{LONG, come_back, until};
use super::stage::Stage;

impl Stage {
    /// Sends a write and waits until it is in hand, without an answer.
    pub fn write_in_hand(&mut self, gateway: &'static str, host: &Host, block: u64) -> u64 {
        let (token, before) = (self.next_token(), self.journal(gateway));
        host.write(1, 1, block, 1, fill(token, 1, block, 1, 4096), token).expect("it is sent");
        until("the write is in the journal", || self.journal(gateway) > before);
        token
    }

    /// Waits until a write has run at a node.
    pub fn until_run(&self, node: &str, token: u64) {
        let records = self.path(&format!("node-{node}.jsonl"));
        until("the write runs", || {
            let lines: Vec<NodeRecord> = records::read(&records).expect("its records");
            lines.iter().any(|l| matches!(l, NodeRecord::Answer { token: t, .. } if *t == token))
        });
    }

    /// The answer to one command; those of connections that were left are passed over.
    pub fn answer(&self, token: u64) -> Word {
        loop {
            let answer = self.answers.recv_timeout(LONG).expect("an answer");
            if answer.user == token {
                return answer.word;
            }
        }
    }

    pub fn host(&self, gateway: &'static str) -> Host {
        self.host_named(gateway, "nqn.2026-12.example:host1")
    }

    pub fn host_named(&self, gateway: &'static str, name: &str) -> Host {
        let options = HostOptions {
            address: self.gateways[gateway].ready().address,
            subsystem: "nqn.2026-12.example.crowbay:path".into(),
            name: name.into(),
            id: [1; 16],
            queues: 1,
            depth: 32,
            digests: Digests { header: true, data: true },
            keep_alive: 0,
        };
        Host::connect(options, &self.sender).expect("it connects")
    }

    pub fn next_token(&mut self) -> u64 {
        self.token += 1;
        self.token
    }

    pub fn write(&mut self, host: &Host, block: u64) -> (u64, Word) {
        let token = self.next_token();
        host.write(1, 1, block, 1, fill(token, 1, block, 1, 4096), token).expect("it is sent");
        (token, self.answer(token))
    }

    pub fn read(&mut self, host: &Host, block: u64) -> Result<Found, Word> {
        let token = self.next_token();
        host.read(1, 1, block, 1, 4096, token).expect("it is sent");
        match self.answer(token) {
            Word::Served(data) => Ok(look(&data, 1, block, 4096).into_iter().next().expect("a block")),
            other => Err(other),
        }
    }

    /// Asks until it is served, as a client does.
    pub fn read_served(&mut self, host: &Host, block: u64) -> Found {
        let end = Instant::now() + LONG;
        loop {
            match self.read(host, block) {
                Ok(found) => return found,
                Err(word) => {
                    assert!(Instant::now() < end, "block {block} is never served: {word:?}");
                    come_back(&word);
                }
            }
        }
    }

    pub fn write_served(&mut self, host: &Host, block: u64) -> u64 {
        let end = Instant::now() + LONG;
        loop {
            let (token, word) = self.write(host, block);
            if matches!(word, Word::Served(_)) {
                return token;
            }
            assert!(Instant::now() < end, "block {block} is never written: {word:?}");
            come_back(&word);
        }
    }

    /// The latest life of a gateway that another has seen, as its disk says.
    pub fn seen(&self, by: &str, of: &str) -> u64 {
        let file = filelog::read(&self.path(&format!("{by}.state")).join("lives")).expect("it is whole");
        let lives: Lives = file.and_then(|bytes| wire::decode(&bytes)).unwrap_or_default();
        lives.of(&of.into()).map_or(0, |life| life.incarnation.0)
    }

    /// How far the journal of a gateway is durable.
    pub fn journal(&self, gateway: &str) -> u64 {
        let mark =
            std::fs::read(self.path(&format!("{gateway}.state")).join("hand.durable")).expect("a mark");
        mark.try_into().map(u64::from_le_bytes).expect("a place")
    }
}
