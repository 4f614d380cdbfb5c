//! A queue of a host: its connection, its handshake, and the thread that reads it.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::BytesMut;
use nvme::{ControllerLimits, HostEvent, Initiator, InitiatorOptions, Reply, Submission};

use super::{HostError, HostOptions};

/// How long a connection and its way up may take.
pub(super) const WAY_UP: Duration = Duration::from_secs(5);

pub(super) struct Queue {
    pub(super) stream: TcpStream,
    pub(super) state: Mutex<(Initiator, bool)>,
}

impl Queue {
    pub(super) fn state(&self) -> MutexGuard<'_, (Initiator, bool)> {
        self.state.lock().unwrap_or_else(|p| p.into_inner())
    }
}

/// Writes under the queue's lock, so that commands go out in the order in which they were given.
pub(super) fn submit(queue: &Queue, submission: Submission) -> Result<u16, Option<io::Error>> {
    let mut state = queue.state();
    if !state.1 {
        return Err(None);
    }
    let mut out = BytesMut::new();
    let cid = state.0.submit(submission, &mut out).ok_or(None)?;
    (&queue.stream).write_all(&out)?;
    Ok(cid)
}

/// Connects a queue and completes its handshake: its stream, its state, its controller and what that says of itself.
pub(crate) fn bring_up(
    options: &HostOptions,
    qid: u16,
    cntlid: u16,
    in_capsule: u32,
) -> Result<(TcpStream, Initiator, u16, Option<ControllerLimits>), HostError> {
    let failed = |e| HostError::Io(options.address, e);
    let mut stream = TcpStream::connect_timeout(&options.address, WAY_UP).map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    stream.set_read_timeout(Some(WAY_UP)).map_err(failed)?;
    let mut out = BytesMut::new();
    let initiator_options = InitiatorOptions {
        host: options.name.clone(),
        host_id: options.id,
        subsystem: options.subsystem.clone(),
        qid,
        cntlid,
        entries: if qid == 0 { 16 } else { options.depth + 1 },
        kato: options.keep_alive,
        digests: options.digests,
        in_capsule,
        max_data: 1 << 20,
    };
    let mut initiator = Initiator::new(initiator_options, &mut out);
    let (mut buffer, mut events) = (vec![0; 8192], Vec::new());
    loop {
        stream.write_all(&out).map_err(failed)?;
        out.clear();
        let n = stream.read(&mut buffer).map_err(failed)?;
        if n == 0 {
            return Err(HostError::NotUp(options.address));
        }
        initiator.receive(&buffer[..n], &mut out, &mut events);
        match events.pop() {
            None | Some(HostEvent::Reply(_)) => {}
            Some(HostEvent::Fault(fault)) => return Err(HostError::Fault(options.address, fault)),
            Some(HostEvent::Ready { cntlid, limits }) => {
                stream.set_read_timeout(None).map_err(failed)?;
                return Ok((stream, initiator, cntlid, limits));
            }
        }
    }
}

/// What a queue's reader hears.
pub(super) enum Heard {
    Reply(Reply),
    /// The connection is gone with the command out.
    Lost(u64),
}

/// Reads a queue on a thread of its own, until its connection ends.
pub(super) fn read(
    queue: Arc<Queue>,
    address: SocketAddr,
    mut take: impl FnMut(Heard) + Send + 'static,
) -> Result<(), HostError> {
    let mut stream = queue.stream.try_clone().map_err(|e| HostError::Io(address, e))?;
    let run = move || {
        let (mut buffer, mut events) = (vec![0; 128 * 1024], Vec::new());
        let mut over = false;
        while !over {
            let n = match stream.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(n) => n,
            };
            let mut out = BytesMut::new();
            {
                let mut state = queue.state();
                state.0.receive(&buffer[..n], &mut out, &mut events);
                // Data asked for is written under the lock too: it must not stand inside another command.
                over = !out.is_empty() && stream.write_all(&out).is_err();
            }
            for event in events.drain(..) {
                match event {
                    HostEvent::Reply(reply) => take(Heard::Reply(reply)),
                    HostEvent::Fault(_) => over = true,
                    HostEvent::Ready { .. } => {}
                }
            }
        }
        let lost = {
            let mut state = queue.state();
            state.1 = false;
            state.0.abandon()
        };
        let _ = queue.stream.shutdown(Shutdown::Both);
        lost.into_iter().for_each(|user| take(Heard::Lost(user)));
    };
    std::thread::Builder::new().name("host-read".into()).spawn(run).map_err(|e| HostError::Io(address, e))?;
    Ok(())
}
