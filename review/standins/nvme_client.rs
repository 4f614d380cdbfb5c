//! A minimal NVMe/TCP host: one admin queue and one I/O queue, no digests.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A submission queue entry of 64 bytes.
#[derive(Clone)]
pub struct Sqe(pub [u8; 64]);

impl Sqe {
    pub fn new(opcode: u8, cid: u16, nsid: u32) -> Sqe {
        let mut sqe = Sqe([0; 64]);
        (sqe.0[0], sqe.0[1]) = (opcode, 0x40);
        sqe.put(2, &cid.to_le_bytes());
        sqe.put(4, &nsid.to_le_bytes());
        sqe
    }

    pub fn put(&mut self, at: usize, bytes: &[u8]) {
        self.0[at..at + bytes.len()].copy_from_slice(bytes);
    }

    /// The data comes in the capsule, right behind the entry.
    pub fn in_capsule(mut self, length: u32) -> Sqe {
        self.put(32, &length.to_le_bytes());
        self.0[39] = 0x01;
        self
    }

    /// The data goes by the transport's data transfer.
    pub fn transport(mut self, length: u32) -> Sqe {
        self.put(32, &length.to_le_bytes());
        self.0[39] = 0x5a;
        self
    }

    /// First block and number of blocks.
    pub fn blocks(mut self, slba: u64, blocks: u16) -> Sqe {
        self.put(40, &slba.to_le_bytes());
        self.put(48, &(blocks - 1).to_le_bytes());
        self
    }
}

pub struct Queue(TcpStream);

/// An answer: the bytes of data that came, and the status of the completion (0: success).
pub struct Completion {
    pub data: usize,
    pub status: u16,
    pub dword0: u32,
}

impl Queue {
    fn open(address: &str) -> Result<Queue> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let mut icreq = [0; 128];
        (icreq[2], icreq[4]) = (128, 128);
        let mut queue = Queue(stream);
        queue.0.write_all(&icreq)?;
        queue.pdu()?;
        Ok(queue)
    }

    /// Sends a command with data in its capsule.
    pub fn send(&mut self, sqe: &Sqe, data: &[u8]) -> Result<()> {
        let length = 72 + data.len() as u32;
        let mut pdu = vec![4, 0, 72, if data.is_empty() { 0 } else { 72 }];
        pdu.extend_from_slice(&length.to_le_bytes());
        pdu.extend_from_slice(&sqe.0);
        pdu.extend_from_slice(data);
        self.0.write_all(&pdu)
    }

    fn pdu(&mut self) -> Result<Vec<u8>> {
        let mut pdu = vec![0; 8];
        self.0.read_exact(&mut pdu)?;
        let length = u32::from_le_bytes([pdu[4], pdu[5], pdu[6], pdu[7]]) as usize;
        if !(8..=1 << 21).contains(&length) {
            return Err(ErrorKind::InvalidData.into());
        }
        pdu.resize(length, 0);
        self.0.read_exact(&mut pdu[8..])?;
        Ok(pdu)
    }

    /// Reads the answer of the one command that is out.
    pub fn answer(&mut self) -> Result<Completion> {
        let mut data = 0;
        loop {
            let pdu = self.pdu()?;
            match pdu[0] {
                5 => {
                    let dword0 = u32::from_le_bytes([pdu[8], pdu[9], pdu[10], pdu[11]]);
                    return Ok(Completion {
                        data,
                        status: u16::from_le_bytes([pdu[22], pdu[23]]) >> 1,
                        dword0,
                    });
                }
                7 => data += pdu.len() - usize::from(pdu[3]).max(24),
                3 => {
                    return Err(Error::new(
                        ErrorKind::ConnectionAborted,
                        "the controller terminated the connection",
                    ));
                }
                _ => {}
            }
        }
    }

    fn connect(&mut self, qid: u16, cntlid: u16, subsystem: &str) -> Result<u16> {
        let mut sqe = Sqe::new(0x7f, 1, 1).in_capsule(1024);
        sqe.put(42, &qid.to_le_bytes());
        sqe.put(44, &31u16.to_le_bytes());
        let mut data = vec![0; 1024];
        data[..16].copy_from_slice(b"review-host-0001");
        data[16..18].copy_from_slice(&cntlid.to_le_bytes());
        data[256..256 + subsystem.len()].copy_from_slice(subsystem.as_bytes());
        let host = b"nqn.2026-12.example.review:host";
        data[512..512 + host.len()].copy_from_slice(host);
        self.send(&sqe, &data)?;
        let done = self.answer()?;
        if done.status != 0 {
            return Err(Error::other(format!("connect: status {:#x}", done.status)));
        }
        Ok(done.dword0 as u16)
    }
}

/// An association with a controller: its admin queue and one I/O queue.
pub struct Host {
    _admin: Queue,
    pub io: Queue,
}

impl Host {
    pub fn connect(address: &str, subsystem: &str) -> Result<Host> {
        let mut admin = Queue::open(address)?;
        let cntlid = admin.connect(0, 0xffff, subsystem)?;
        // Property Set of the controller configuration: enabled, entries of 64 and 16 bytes.
        let mut enable = Sqe::new(0x7f, 2, 0);
        enable.put(44, &0x14u32.to_le_bytes());
        enable.put(48, &0x0046_0001u64.to_le_bytes());
        admin.send(&enable, &[])?;
        if admin.answer()?.status != 0 {
            return Err(Error::other("the controller cannot be enabled"));
        }
        let mut io = Queue::open(address)?;
        io.connect(1, cntlid, subsystem)?;
        Ok(Host { _admin: admin, io })
    }
}
