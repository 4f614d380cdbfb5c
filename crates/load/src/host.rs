//! A host on plain threads: one association with one admin queue and some I/O queues.

mod queue;

use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use nvme::{
    ControllerLimits, Digests, HostFault, Reply, Retry, Sqe, StatusCode, Submission, admin, io as opcode,
};

pub(crate) use queue::bring_up;
use queue::{Heard, Queue, WAY_UP, read, submit};

/// Settings of a host.
#[derive(Clone, Debug)]
pub struct HostOptions {
    /// Gateway.
    pub address: SocketAddr,
    /// NQN of the subsystem.
    pub subsystem: String,
    /// NQN of the host.
    pub name: String,
    /// Host identifier.
    pub id: [u8; 16],
    /// I/O queues.
    pub queues: u16,
    /// Commands out on each at most.
    pub depth: u32,
    /// Digests asked for.
    pub digests: Digests,
    /// Keep alive time-out in milliseconds; 0: none.
    pub keep_alive: u32,
}

/// Why a host cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The connection.
    #[error("connection to {0}: {1}")]
    Io(SocketAddr, io::Error),
    /// The protocol.
    #[error("host of {0}: {1}")]
    Fault(SocketAddr, HostFault),
    /// It was closed on the way up, or took too long.
    #[error("{0} did not let the host up in time")]
    NotUp(SocketAddr),
    /// The queue is full, not there, or its connection is gone.
    #[error("queue {0} takes no command now")]
    NoRoom(u16),
    /// No answer came in time.
    #[error("no answer within {0:?}")]
    Late(Duration),
}

/// What a client is told, as types that cannot be mixed up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// Carried out, with the data of a read.
    Served(Bytes),
    /// Turned away: safe to repeat after this many microseconds; 0: no advice.
    Refused(i64),
    /// Effect unknown.
    Failed,
    /// Taken back by Abort before anything of it went out.
    Aborted,
    /// Turned down for its form; the status code.
    Invalid(u16),
    /// The connection ended first: effect unknown.
    Lost,
}

/// The end of a command.
#[derive(Clone, Debug)]
pub struct Answer {
    /// As submitted.
    pub user: u64,
    /// When it came.
    pub at: Instant,
    /// What it says.
    pub word: Word,
}

/// Reads a reply, by the table in docs/nvme.md. `delays` are the controller's Command Retry Delay Times.
pub fn word(reply: Reply, delays: &[u16; 3]) -> Word {
    let status = reply.status;
    if status.is_success() {
        return Word::Served(reply.data);
    }
    if status.is(StatusCode::CommandInterrupted) {
        let by_index = match status.retry {
            Retry::Delay(n) if n > 0 => i64::from(delays[usize::from(n) - 1]) * 100_000,
            _ => 0,
        };
        // Crowbay states the advice itself in dword 0, in milliseconds.
        return Word::Refused(if reply.dw0 > 0 { i64::from(reply.dw0) * 1000 } else { by_index });
    }
    if status.is(StatusCode::AbortRequested) {
        return Word::Aborted;
    }
    if status.is(StatusCode::TransientTransportError) || status.is(StatusCode::InternalError) {
        return Word::Failed;
    }
    Word::Invalid(status.code)
}

/// A host's association with a gateway or node. Dropped, it closes its connections.
pub struct Host {
    options: HostOptions,
    limits: ControllerLimits,
    cntlid: u16,
    admin: Arc<Queue>,
    queues: Vec<Arc<Queue>>,
    admin_answers: Mutex<Receiver<Reply>>,
}

impl Host {
    /// Connects: admin queue, then the I/O queues. Ends of commands on these go to `answers`.
    ///
    /// # Errors
    /// The connection, a refused step, or a controller that keeps the host waiting.
    pub fn connect(options: HostOptions, answers: &Sender<Answer>) -> Result<Host, HostError> {
        let (stream, initiator, cntlid, limits) = bring_up(&options, 0, 0, 8192)?;
        let limits = limits.ok_or(HostError::NotUp(options.address))?;
        let (admin_sender, admin_answers) = mpsc::channel();
        let admin = Arc::new(Queue { stream, state: Mutex::new((initiator, true)) });
        let take = move |heard| {
            if let Heard::Reply(reply) = heard {
                let _ = admin_sender.send(reply); // Nobody may be waiting for it.
            }
        };
        read(admin.clone(), options.address, take)?;
        let mut queues = Vec::new();
        for qid in 1..=options.queues {
            let (stream, initiator, _, _) = bring_up(&options, qid, cntlid, limits.in_capsule)?;
            let queue = Arc::new(Queue { stream, state: Mutex::new((initiator, true)) });
            let (answers, delays) = (answers.clone(), limits.retry_delays);
            let take = move |heard| {
                let (user, word) = match heard {
                    Heard::Reply(reply) => (reply.user, word(reply, &delays)),
                    Heard::Lost(user) => (user, Word::Lost),
                };
                // Nobody may be listening any more.
                let _ = answers.send(Answer { user, at: Instant::now(), word });
            };
            read(queue.clone(), options.address, take)?;
            queues.push(queue);
        }
        let host = Host { options, limits, cntlid, admin, queues, admin_answers: Mutex::new(admin_answers) };
        host.keep_alive()?;
        Ok(host)
    }

    /// What the controller says of itself.
    pub fn limits(&self) -> &ControllerLimits {
        &self.limits
    }

    /// The controller.
    pub fn cntlid(&self) -> u16 {
        self.cntlid
    }

    /// Sends a command on an I/O queue, from 1. `expect` is the bytes that a read brings.
    ///
    /// # Errors
    /// The queue has no room, or its connection is gone.
    pub fn submit(&self, qid: u16, sqe: Sqe, data: Bytes, expect: u32, user: u64) -> Result<u16, HostError> {
        let queue = usize::from(qid).checked_sub(1).and_then(|n| self.queues.get(n));
        let queue = queue.ok_or(HostError::NoRoom(qid))?;
        submit(queue, Submission { sqe, data, expect, user }).map_err(|e| match e {
            Some(e) => HostError::Io(self.options.address, e),
            None => HostError::NoRoom(qid),
        })
    }

    /// A read of blocks.
    pub fn read(
        &self,
        qid: u16,
        nsid: u32,
        slba: u64,
        blocks: u32,
        size: u32,
        token: u64,
    ) -> Result<u16, HostError> {
        let mut sqe = Sqe::blocks(opcode::READ, nsid, slba, blocks);
        sqe.set_token(token);
        self.submit(qid, sqe, Bytes::new(), blocks * size, token)
    }

    /// A write of blocks.
    pub fn write(
        &self,
        qid: u16,
        nsid: u32,
        slba: u64,
        blocks: u32,
        data: Bytes,
        token: u64,
    ) -> Result<u16, HostError> {
        let mut sqe = Sqe::blocks(opcode::WRITE, nsid, slba, blocks);
        sqe.set_token(token);
        self.submit(qid, sqe, data, 0, token)
    }

    /// A flush of a volume.
    pub fn flush(&self, qid: u16, nsid: u32, token: u64) -> Result<u16, HostError> {
        let mut sqe = Sqe::new(opcode::FLUSH);
        sqe.set_nsid(nsid);
        sqe.set_token(token);
        self.submit(qid, sqe, Bytes::new(), 0, token)
    }

    /// A command on the admin queue, and its reply.
    ///
    /// # Errors
    /// No reply in time, or the connection is gone.
    pub fn admin(&self, sqe: Sqe, expect: u32) -> Result<Reply, HostError> {
        let answers = self.admin_answers.lock().unwrap_or_else(|p| p.into_inner());
        submit(&self.admin, Submission { sqe, data: Bytes::new(), expect, user: 1 }).map_err(
            |e| match e {
                Some(e) => HostError::Io(self.options.address, e),
                None => HostError::NoRoom(0),
            },
        )?;
        loop {
            let reply = answers.recv_timeout(WAY_UP).map_err(|_| HostError::Late(WAY_UP))?;
            if reply.user == 1 {
                return Ok(reply);
            }
        }
    }

    /// Asks for a command to be aborted; whether it was.
    pub fn abort(&self, qid: u16, cid: u16) -> Result<bool, HostError> {
        let mut sqe = Sqe::new(admin::ABORT);
        sqe.set_cdw(10, u32::from(qid) | u32::from(cid) << 16);
        let reply = self.admin(sqe, 0)?;
        Ok(reply.status.is_success() && reply.dw0 & 1 == 0)
    }

    /// Commands that a queue may still take now.
    pub fn room(&self, qid: u16) -> usize {
        let queue = usize::from(qid).checked_sub(1).and_then(|n| self.queues.get(n));
        queue.map_or(0, |q| q.state().0.room())
    }

    /// Commands out on all I/O queues.
    pub fn outstanding(&self) -> usize {
        self.queues.iter().map(|q| q.state().0.outstanding()).sum()
    }

    /// Whether all its connections stand.
    pub fn is_up(&self) -> bool {
        self.admin.state().1 && self.queues.iter().all(|q| q.state().1)
    }

    /// Closes all connections now.
    pub fn close(&self) {
        for queue in self.queues.iter().chain([&self.admin]) {
            let _ = queue.stream.shutdown(Shutdown::Both);
        }
    }

    /// The raw stream of an I/O queue, for tests that break it by hand.
    pub fn stream(&self, qid: u16) -> Option<&TcpStream> {
        usize::from(qid).checked_sub(1).and_then(|n| self.queues.get(n)).map(|q| &q.stream)
    }

    fn keep_alive(&self) -> Result<(), HostError> {
        if self.options.keep_alive == 0 {
            return Ok(());
        }
        let (queue, every) = (Arc::downgrade(&self.admin), u64::from(self.options.keep_alive / 2).max(1));
        let failed = |e| HostError::Io(self.options.address, e);
        std::thread::Builder::new()
            .name("host-keep-alive".into())
            .spawn(move || {
                loop {
                    std::thread::sleep(Duration::from_millis(every));
                    let Some(queue) = queue.upgrade() else { return };
                    let sqe = Sqe::new(admin::KEEP_ALIVE);
                    if submit(&queue, Submission { sqe, data: Bytes::new(), expect: 0, user: 0 }).is_err() {
                        return;
                    }
                }
            })
            .map_err(failed)?;
        Ok(())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.close();
    }
}
