//! A host's association with a gateway, on sockets that do not block.

use std::collections::HashSet;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::SocketAddr;

use bytes::Bytes;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token as Ready};
use nvme::{
    ControllerLimits, Digests, GatherList, HostEvent, Initiator, InitiatorOptions, Reply, Sqe, Submission,
    admin,
};

use crate::behaviour::Token;
use crate::scenario::Micros;

/// Bytes read at a time.
const READ: usize = 128 * 1024;
/// Bytes that wait for a gateway which does not read; more is not offered to it.
const SPILL: usize = 8 << 20;

/// How an association is made.
#[derive(Clone, Debug)]
pub(crate) struct AssociationOptions {
    pub(crate) address: SocketAddr,
    pub(crate) subsystem: String,
    pub(crate) host: String,
    pub(crate) host_id: [u8; 16],
    pub(crate) queues: u16,
    pub(crate) depth: u32,
    pub(crate) keep_alive_ms: u32,
}

struct Queue {
    stream: TcpStream,
    initiator: Initiator,
    out: GatherList,
    connected: bool,
}

/// What an association tells of.
pub(crate) enum Heard {
    Reply(Reply),
    /// It is gone, with these tries out.
    Lost(Vec<Token>),
}

enum State {
    /// Not connected; to be tried again at a time.
    Down(Micros),
    Rising,
    Up,
}

/// An association: an admin queue and its I/O queues.
pub(crate) struct Association {
    options: AssociationOptions,
    /// The first of its readiness tokens; queue `n` has the `n`th after it.
    first: usize,
    state: State,
    queues: Vec<Queue>,
    limits: Option<ControllerLimits>,
    next_queue: usize,
    next_keep_alive: Micros,
    /// Tries out: lost when the connection ends.
    out: HashSet<Token>,
}

impl Association {
    pub(crate) fn new(options: AssociationOptions, first: usize) -> Self {
        Association {
            options,
            first,
            state: State::Down(0),
            queues: Vec::new(),
            limits: None,
            next_queue: 0,
            next_keep_alive: 0,
            out: HashSet::new(),
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        matches!(self.state, State::Up)
    }

    pub(crate) fn is_down(&self) -> bool {
        matches!(self.state, State::Down(_))
    }

    /// The Command Retry Delays that its controller states.
    pub(crate) fn retry_delays(&self) -> [u16; 3] {
        self.limits.map_or([0; 3], |l| l.retry_delays)
    }

    /// When it wants to be looked after.
    pub(crate) fn next_due(&self) -> Micros {
        match self.state {
            State::Down(at) => at,
            State::Rising => Micros::MAX,
            State::Up => self.next_keep_alive,
        }
    }

    /// Connects when it is time, and keeps the association alive. Whether it began to connect.
    pub(crate) fn tick(&mut self, now: Micros, registry: &Registry) -> bool {
        match self.state {
            State::Down(at) if at <= now => {
                self.limits = None;
                self.state = State::Rising;
                if self.open(0, 0, registry).is_err() {
                    self.state = State::Down(now + 100_000);
                }
                true
            }
            State::Up if self.next_keep_alive <= now => {
                self.next_keep_alive = now + Micros::from(self.options.keep_alive_ms) * 500;
                if let Some(queue) = self.queues.first_mut() {
                    let sqe = Sqe::new(admin::KEEP_ALIVE);
                    queue
                        .initiator
                        .submit(Submission { sqe, data: Bytes::new(), expect: 0, user: 0 }, &mut queue.out);
                    let _ = queue.flush(); // A broken one shows at its next reading.
                }
                false
            }
            _ => false,
        }
    }

    fn open(&mut self, qid: u16, cntlid: u16, registry: &Registry) -> io::Result<()> {
        let mut stream = TcpStream::connect(self.options.address)?;
        let ready = Ready(self.first + usize::from(qid));
        registry.register(&mut stream, ready, Interest::READABLE | Interest::WRITABLE)?;
        let mut out = GatherList::new();
        let o = &self.options;
        let options = InitiatorOptions {
            host: o.host.clone(),
            host_id: o.host_id,
            subsystem: o.subsystem.clone(),
            qid,
            cntlid,
            entries: if qid == 0 { 8 } else { o.depth + 1 },
            kato: o.keep_alive_ms,
            digests: Digests::default(),
            in_capsule: self.limits.map_or(8192, |l| l.in_capsule),
            max_data: 1 << 20,
        };
        let initiator = Initiator::new(options, &mut out);
        self.queues.push(Queue { stream, initiator, out, connected: false });
        Ok(())
    }

    /// Sends a command on the next queue with room; whether there was one. It goes out with [`Association::flush`].
    pub(crate) fn submit(&mut self, token: Token, sqe: Sqe, data: &Bytes, expect: u32) -> bool {
        if !self.is_up() {
            return false;
        }
        let count = self.queues.len() - 1;
        for n in 0..count {
            let index = 1 + (self.next_queue + n) % count;
            let queue = &mut self.queues[index];
            if queue.room() > 0 {
                self.next_queue = (self.next_queue + n + 1) % count;
                let submission = Submission { sqe, data: data.clone(), expect, user: token.0 };
                if queue.initiator.submit(submission, &mut queue.out).is_some() {
                    self.out.insert(token);
                    return true;
                }
            }
        }
        false
    }

    /// Writes what waits, as far as the sockets take it.
    pub(crate) fn flush(&mut self) {
        for queue in &mut self.queues {
            // A broken one shows at its next reading.
            let _ = queue.flush();
        }
    }

    /// A socket is ready; what came of it.
    pub(crate) fn ready(
        &mut self,
        now: Micros,
        ready: usize,
        reconnect: Micros,
        registry: &Registry,
        buffer: &mut [u8],
        heard: &mut Vec<Heard>,
    ) {
        let index = ready - self.first;
        let Some(queue) = self.queues.get_mut(index) else { return };
        let mut events = Vec::new();
        let goes_on = queue.serve(buffer, &mut events);
        let mut over = goes_on.is_err();
        let mut steps = Vec::new();
        for event in events {
            match event {
                HostEvent::Reply(reply) if index > 0 => {
                    self.out.remove(&Token(reply.user));
                    heard.push(Heard::Reply(reply));
                }
                HostEvent::Reply(_) => {}
                HostEvent::Ready { cntlid, limits } => steps.push((cntlid, limits)),
                HostEvent::Fault(fault) => {
                    tracing::debug!(address = %self.options.address, %fault, "a connection is broken");
                    over = true;
                }
            }
        }
        for (cntlid, limits) in steps {
            over |= self.risen(now, index, cntlid, limits, registry).is_err();
        }
        if over {
            heard.push(Heard::Lost(self.close(now + reconnect)));
        }
    }

    /// A queue takes commands: the admin queue opens the others, the last of these makes the association whole.
    fn risen(
        &mut self,
        now: Micros,
        index: usize,
        cntlid: u16,
        limits: Option<ControllerLimits>,
        registry: &Registry,
    ) -> io::Result<()> {
        if index == 0 {
            self.limits = limits;
            for qid in 1..=self.options.queues {
                self.open(qid, cntlid, registry)?;
            }
        }
        let all = self.queues.len() == usize::from(self.options.queues) + 1;
        if all && self.queues.iter().all(|q| q.initiator.is_ready()) {
            self.state = State::Up;
            self.next_keep_alive = now + Micros::from(self.options.keep_alive_ms.max(1)) * 500;
            if self.options.keep_alive_ms == 0 {
                self.next_keep_alive = Micros::MAX;
            }
        }
        Ok(())
    }

    /// Closes all its connections; the tries that were out. It is tried again at the time.
    pub(crate) fn close(&mut self, again: Micros) -> Vec<Token> {
        self.queues.clear();
        self.state = State::Down(again);
        let mut out: Vec<Token> = self.out.drain().collect();
        out.sort_unstable();
        out
    }
}

impl Queue {
    fn room(&self) -> usize {
        if self.out.len() > SPILL { 0 } else { self.initiator.room() }
    }

    fn flush(&mut self) -> io::Result<()> {
        while self.connected && !self.out.is_empty() {
            let mut slices = [IoSlice::new(&[]); 64];
            let count = self.out.slices(&mut slices);
            match self.stream.write_vectored(&slices[..count]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.out.advance(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Reads all there is, and writes what follows from it.
    fn serve(&mut self, buffer: &mut [u8], events: &mut Vec<HostEvent>) -> io::Result<()> {
        if !self.connected {
            if let Some(error) = self.stream.take_error()? {
                return Err(error);
            }
            // Not yet: another event comes.
            if self.stream.peer_addr().is_err() {
                return Ok(());
            }
            self.connected = true;
            self.stream.set_nodelay(true)?;
        }
        self.flush()?;
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => self.initiator.receive(&buffer[..n], &mut self.out, events),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.flush()
    }
}

/// A buffer for [`Association::ready`].
pub(crate) fn buffer() -> Vec<u8> {
    vec![0; READ]
}
