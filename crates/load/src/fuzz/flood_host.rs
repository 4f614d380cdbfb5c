//! A host that connects in order and then writes commands at full speed, without waiting for their answers.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use nvme::{Pdu, Sqe, admin};
use serde::Serialize;

use crate::host::{HostError, HostOptions, bring_up};

/// Commands written at once.
const BATCH: u16 = 64;
/// A vendor specific I/O opcode, which no target of this kind knows.
const UNKNOWN_OPCODE: u8 = 0xc0;
/// How long a blocked read or write lasts until the end of the run is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What flooding hosts did.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct FloodCounts {
    /// Associations that came up.
    pub associations: u64,
    /// Commands written.
    pub commands: u64,
}

impl FloodCounts {
    /// Adds another host's counts.
    pub(super) fn add(&mut self, other: FloodCounts) {
        self.associations += other.associations;
        self.commands += other.commands;
    }
}

/// Connects, and floods the admin queue or an I/O queue until the connection ends or `goes_on` says so.
pub(super) fn flood(
    options: &HostOptions,
    admin_queue: bool,
    counts: &mut FloodCounts,
    goes_on: impl Fn() -> bool + Sync,
) -> Result<(), HostError> {
    let (admin_stream, _, cntlid, limits) = bring_up(options, 0, 0, 8192)?;
    let in_capsule = limits.map_or(0, |limits| limits.in_capsule);
    let (io_stream, _, _, _) = bring_up(options, 1, cntlid, in_capsule)?;
    counts.associations += 1;
    let (flooded, opcode) =
        if admin_queue { (&admin_stream, admin::KEEP_ALIVE) } else { (&io_stream, UNKNOWN_OPCODE) };
    let failed = |e| HostError::Io(options.address, e);
    flooded.set_read_timeout(Some(POLL_INTERVAL)).map_err(failed)?;
    flooded.set_write_timeout(Some(POLL_INTERVAL)).map_err(failed)?;
    let batch = batch(opcode, options);
    thread::scope(|scope| {
        scope.spawn(|| discard_answers(flooded, &goes_on));
        while goes_on() && write(flooded, &batch, &goes_on) {
            counts.commands += u64::from(BATCH);
        }
        // Ends the reader; the target may have closed the connection before.
        let _ = flooded.shutdown(Shutdown::Both);
    });
    Ok(())
}

fn batch(opcode: u8, options: &HostOptions) -> BytesMut {
    let mut bytes = BytesMut::new();
    for cid in 0..BATCH {
        let mut sqe = Sqe::new(opcode);
        sqe.set_cid(cid);
        let capsule = Pdu::CapsuleCmd { sqe: sqe.0, data: Bytes::new(), intact: true };
        capsule.encode(options.digests, &mut bytes);
    }
    bytes
}

fn write(mut stream: &TcpStream, mut bytes: &[u8], goes_on: &impl Fn() -> bool) -> bool {
    while !bytes.is_empty() {
        match stream.write(bytes) {
            Ok(0) => return false,
            Ok(n) => bytes = &bytes[n..],
            Err(e) if is_timeout(&e) && goes_on() => {}
            Err(_) => return false,
        }
    }
    true
}

fn discard_answers(mut stream: &TcpStream, goes_on: &impl Fn() -> bool) {
    let mut buffer = [0; 64 << 10];
    while goes_on() {
        match stream.read(&mut buffer) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if is_timeout(&e) => {}
            Err(_) => return,
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), WouldBlock | TimedOut | Interrupted)
}
