//! The good host beside the odd ones: it writes blocks, reads them back, and must be served throughout.

use std::sync::mpsc::{self, Receiver};
use std::time::{Duration, Instant};

use nvme::{Digests, Sqe, admin, namespace_size};
use serde::Serialize;

use crate::block::{Found, fill, look};
use crate::host::{Answer, Host, HostError, HostOptions, Word};

/// Blocks that it writes and reads, from the first on.
const BLOCKS: u64 = 64;
/// Within this every command is answered, whatever the odd hosts do.
const ANSWER_LIMIT: Duration = Duration::from_secs(5);
/// Within this every command is served, if need be after some refusals.
const SERVED_LIMIT: Duration = Duration::from_secs(10);
/// How long it waits after a refusal without advice.
const PAUSE: Duration = Duration::from_millis(5);

/// What the good host saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WitnessCounts {
    /// Commands that were served.
    pub served: u64,
    /// Refusals, after each of which the command was sent again.
    pub refused: u64,
    /// The longest time until a command was served, in microseconds.
    pub longest_us: u64,
}

/// What the good host must not see.
#[derive(Debug, thiserror::Error)]
pub enum Violation {
    /// It cannot connect, or lost its connection.
    #[error("the good host: {0}")]
    Host(#[from] HostError),
    /// A command got an answer that it must not get.
    #[error("the good host: block {block} was answered with {word:?}")]
    Answer {
        /// The block.
        block: u64,
        /// The answer.
        word: Word,
    },
    /// A command got no answer.
    #[error("the good host: no answer for block {block} within {ANSWER_LIMIT:?}")]
    NoAnswer {
        /// The block.
        block: u64,
    },
    /// A command was refused again and again.
    #[error("the good host: block {block} was not served within {SERVED_LIMIT:?}")]
    NeverServed {
        /// The block.
        block: u64,
    },
    /// It read something else than it wrote.
    #[error("the good host: block {block} has {found:?} in place of what was written by {token}")]
    WrongData {
        /// The block.
        block: u64,
        /// The write whose data is expected.
        token: u64,
        /// What was read.
        found: Option<Found>,
    },
    /// The namespace is not there, or not of a size that can be used.
    #[error("namespace {0} is not there, or too small for the good host")]
    Namespace(u32),
}

/// The good host.
pub(super) struct Witness {
    host: Host,
    answers: Receiver<Answer>,
    nsid: u32,
    block_size: u32,
    size: u64,
    next_token: u64,
    pub(super) counts: WitnessCounts,
}

impl Witness {
    /// Connects. `nsid`: the namespace that only this host writes to.
    pub(super) fn connect(options: HostOptions, nsid: u32) -> Result<Witness, Violation> {
        let (sender, answers) = mpsc::channel();
        let options = HostOptions { digests: Digests { header: true, data: true }, ..options };
        let host = Host::connect(options, &sender)?;
        let mut identify = Sqe::new(admin::IDENTIFY);
        identify.set_nsid(nsid);
        let reply = host.admin(identify, 4096)?;
        let size = namespace_size(&reply.data).filter(|(blocks, _)| *blocks >= BLOCKS);
        let (size, block_size) = size.ok_or(Violation::Namespace(nsid))?;
        let counts = WitnessCounts::default();
        Ok(Witness { host, answers, nsid, block_size, size, next_token: 1, counts })
    }

    /// Size in blocks and block size of its namespace.
    pub(super) fn size(&self) -> (u64, u32) {
        (self.size, self.block_size)
    }

    /// Writes a block, reads it back, and compares.
    pub(super) fn round(&mut self) -> Result<(), Violation> {
        let block = self.next_token % BLOCKS;
        let (token, _) = self.until_served(block, |host, nsid, size, token| {
            host.write(1, nsid, block, 1, fill(token, nsid, block, 1, size), token)
        })?;
        let (_, data) =
            self.until_served(block, |host, nsid, size, token| host.read(1, nsid, block, 1, size, token))?;
        let found = look(&data, self.nsid, block, self.block_size).first().copied();
        if found != Some(Found::Written(token)) {
            return Err(Violation::WrongData { block, token, found });
        }
        Ok(())
    }

    /// Sends a command until it is served; the token with which it was, and its data.
    fn until_served(
        &mut self,
        block: u64,
        send: impl Fn(&Host, u32, u32, u64) -> Result<u16, HostError>,
    ) -> Result<(u64, bytes::Bytes), Violation> {
        let start = Instant::now();
        let token = self.next_token;
        self.next_token += 1;
        loop {
            send(&self.host, self.nsid, self.block_size, token)?;
            let word = match self.answers.recv_timeout(ANSWER_LIMIT) {
                Ok(answer) => answer.word,
                Err(_) => return Err(Violation::NoAnswer { block }),
            };
            match word {
                Word::Served(data) => {
                    self.counts.served += 1;
                    let took = start.elapsed().as_micros() as u64;
                    self.counts.longest_us = self.counts.longest_us.max(took);
                    return Ok((token, data));
                }
                Word::Refused(advice) if start.elapsed() < SERVED_LIMIT => {
                    self.counts.refused += 1;
                    std::thread::sleep(Duration::from_micros(advice.max(0) as u64).max(PAUSE));
                }
                Word::Refused(_) => return Err(Violation::NeverServed { block }),
                word => return Err(Violation::Answer { block, word }),
            }
        }
    }
}
