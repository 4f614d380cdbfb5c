//! A host over TCP that connects in order and then sends what the generator draws.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use bytes::BytesMut;
use nvme::{Cqe, Decoder, Digests, Pdu, Side};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use super::generator::{Delivery, PduGenerator, QueueKind, Scope};
use crate::host::{HostError, HostOptions, bring_up};

/// How long a turn waits for answers, at most; the system's timer is coarser.
const READ_WAIT: Duration = Duration::from_micros(1);
/// How long a write may wait for a target that does not read.
const WRITE_WAIT: Duration = Duration::from_secs(2);
/// Most data bytes that the target may send in one PDU.
const MAX_PDU_DATA: usize = 1 << 20;

/// What an odd host did and saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OddHostCounts {
    /// Associations that came up.
    pub associations: u64,
    /// Associations that could not be had.
    pub refused_associations: u64,
    /// PDUs sent.
    pub sent: u64,
    /// Completions, by the code of their status.
    pub completions: BTreeMap<u16, u64>,
    /// R2Ts.
    pub data_requests: u64,
    /// Connections that the target terminated with a reason.
    pub terminated: u64,
    /// PDUs of the target that cannot be read.
    pub unreadable: u64,
}

impl OddHostCounts {
    /// Adds another host's counts.
    pub(super) fn add(&mut self, other: &OddHostCounts) {
        self.associations += other.associations;
        self.refused_associations += other.refused_associations;
        self.sent += other.sent;
        other.completions.iter().for_each(|(code, n)| *self.completions.entry(*code).or_default() += n);
        self.data_requests += other.data_requests;
        self.terminated += other.terminated;
        self.unreadable += other.unreadable;
    }
}

/// One queue of an odd host.
struct OddQueue {
    stream: TcpStream,
    digests: Digests,
    decoder: Decoder,
    generator: PduGenerator,
}

/// The connection of a queue has ended, or is to be ended.
struct QueueEnded;

/// A host that sends odd commands on its admin queue and one I/O queue.
pub(super) struct OddHost {
    options: HostOptions,
    scope: Scope,
    rng: StdRng,
    pub(super) counts: OddHostCounts,
}

impl OddHost {
    pub(super) fn new(options: HostOptions, scope: Scope, seed: u64) -> Self {
        OddHost { options, scope, rng: StdRng::seed_from_u64(seed), counts: OddHostCounts::default() }
    }

    /// Connects, and sends odd commands until one of the connections ends or `goes_on` says so.
    pub(super) fn play(&mut self, goes_on: impl Fn() -> bool) -> Result<(), HostError> {
        let bare: bool = self.rng.random();
        self.options.digests = Digests { header: !bare, data: !bare };
        let mut queues = match self.connect() {
            Ok(queues) => queues,
            Err(error) => {
                self.counts.refused_associations += 1;
                return Err(error);
            }
        };
        self.counts.associations += 1;
        while goes_on() {
            // Most of what is odd is on the I/O queue.
            let index = usize::from(self.rng.random_range(0..4) > 0);
            if self.turn(&mut queues[index]).is_err() {
                break;
            }
        }
        Ok(())
    }

    fn connect(&mut self) -> Result<[OddQueue; 2], HostError> {
        let (admin_stream, admin, cntlid, limits) = bring_up(&self.options, 0, 0, 8192)?;
        let in_capsule = limits.map_or(0, |limits| limits.in_capsule);
        let (io_stream, io, _, _) = bring_up(&self.options, 1, cntlid, in_capsule)?;
        let failed = |e| HostError::Io(self.options.address, e);
        let mut queue = |stream: TcpStream, digests, kind| {
            stream.set_read_timeout(Some(READ_WAIT)).map_err(failed)?;
            stream.set_write_timeout(Some(WRITE_WAIT)).map_err(failed)?;
            let mut decoder = Decoder::new(Side::Host, MAX_PDU_DATA);
            decoder.set_digests(digests);
            let generator = PduGenerator::new(self.rng.random(), kind, self.scope.clone());
            Ok(OddQueue { stream, digests, decoder, generator })
        };
        Ok([
            queue(admin_stream, admin.digests(), QueueKind::Admin)?,
            queue(io_stream, io.digests(), QueueKind::Io)?,
        ])
    }

    /// Sends some commands in one go and reads what has come.
    fn turn(&mut self, queue: &mut OddQueue) -> Result<(), QueueEnded> {
        let mut bytes = BytesMut::new();
        loop {
            let step = queue.generator.draw();
            let begin = bytes.len();
            step.pdu.encode(queue.digests, &mut bytes);
            self.counts.sent += 1;
            match step.delivery {
                Delivery::WithNext => {}
                Delivery::Alone => {
                    write(&queue.stream, &bytes)?;
                    break;
                }
                Delivery::InPieces(most) => {
                    let (first, rest) = bytes.split_at((begin + most).min(bytes.len()));
                    write(&queue.stream, first)?;
                    write(&queue.stream, rest)?;
                    break;
                }
                Delivery::CutOff(most) => {
                    let end = (begin + most).min(bytes.len());
                    write(&queue.stream, &bytes[..end])?;
                    return Err(QueueEnded);
                }
            }
        }
        self.read(queue)
    }

    /// Reads what the target has sent so far.
    fn read(&mut self, queue: &mut OddQueue) -> Result<(), QueueEnded> {
        let mut buffer = [0; 64 * 1024];
        match queue.stream.read(&mut buffer) {
            Ok(0) => return Err(QueueEnded),
            Ok(n) => queue.decoder.push(&buffer[..n]),
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) =>
            {
                return Ok(());
            }
            Err(_) => return Err(QueueEnded),
        }
        loop {
            match queue.decoder.poll() {
                Ok(None) => return Ok(()),
                Ok(Some(pdu)) => {
                    queue.generator.heard(&pdu);
                    self.count(&pdu);
                }
                Err(_) => {
                    self.counts.unreadable += 1;
                    return Err(QueueEnded);
                }
            }
        }
    }

    fn count(&mut self, pdu: &Pdu) {
        match pdu {
            Pdu::CapsuleResp { cqe } => {
                *self.counts.completions.entry(Cqe::from_bytes(cqe).status.code).or_default() += 1;
            }
            Pdu::C2HData { success: true, .. } => *self.counts.completions.entry(0).or_default() += 1,
            Pdu::R2T { .. } => self.counts.data_requests += 1,
            Pdu::TermReq { .. } => self.counts.terminated += 1,
            _ => {}
        }
    }
}

fn write(mut stream: &TcpStream, bytes: &[u8]) -> Result<(), QueueEnded> {
    stream.write_all(bytes).map_err(|_| QueueEnded)
}
