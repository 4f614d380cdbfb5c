//! Submission and completion queue entries (Base 3.3.3) and the commands of the subset.

use crate::status::Status;
use crate::{le16, le32, le64, put};

/// Opcodes of the admin queue (Base 5).
pub mod admin {
    #![allow(missing_docs)]
    pub const GET_LOG_PAGE: u8 = 0x02;
    pub const IDENTIFY: u8 = 0x06;
    pub const ABORT: u8 = 0x08;
    pub const SET_FEATURES: u8 = 0x09;
    pub const GET_FEATURES: u8 = 0x0a;
    pub const ASYNC_EVENT_REQUEST: u8 = 0x0c;
    pub const KEEP_ALIVE: u8 = 0x18;
    /// All Fabrics commands, on either queue.
    pub const FABRICS: u8 = 0x7f;
}

/// Opcodes of the I/O queues (NVM 3).
pub mod io {
    #![allow(missing_docs)]
    pub const FLUSH: u8 = 0x00;
    pub const WRITE: u8 = 0x01;
    pub const READ: u8 = 0x02;
    pub const COMPARE: u8 = 0x05;
    pub const WRITE_ZEROES: u8 = 0x08;
    pub const DATASET_MANAGEMENT: u8 = 0x09;
}

/// Fabrics command types (Base 6).
pub mod fabrics {
    #![allow(missing_docs)]
    pub const PROPERTY_SET: u8 = 0x00;
    pub const CONNECT: u8 = 0x01;
    pub const PROPERTY_GET: u8 = 0x04;
    pub const DISCONNECT: u8 = 0x08;
}

/// Feature identifiers (Base 5.27).
pub mod feature {
    #![allow(missing_docs)]
    pub const NUMBER_OF_QUEUES: u8 = 0x07;
    pub const ASYNC_EVENT_CONFIGURATION: u8 = 0x0b;
    pub const KEEP_ALIVE_TIMER: u8 = 0x0f;
    pub const HOST_BEHAVIOR_SUPPORT: u8 = 0x16;
}

/// Offsets of the properties (Base 3.1.3).
pub mod property {
    #![allow(missing_docs)]
    pub const CAP: u32 = 0x00;
    pub const VS: u32 = 0x08;
    pub const CC: u32 = 0x14;
    pub const CSTS: u32 = 0x1c;
}

/// A submission queue entry.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Sqe(pub [u8; 64]);

impl std::fmt::Debug for Sqe {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Sqe(opcode {:02x}h, cid {}, nsid {})", self.opcode(), self.cid(), self.nsid())
    }
}

/// Where a command's data is (Base 4.3.2, TCP 3.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sgl {
    /// In the capsule, at an offset into the data.
    InCapsule {
        /// Offset, in bytes.
        offset: u64,
        /// Length, in bytes.
        length: u32,
    },
    /// Moved by H2CData or C2HData PDUs.
    Transport {
        /// Length, in bytes.
        length: u32,
    },
    /// Anything else; the descriptor's identifier byte.
    Unsupported(u8),
}

impl Sqe {
    /// A zeroed entry with an opcode; PSDT says SGL, as Fabrics asks (Base 3.3.3.1).
    pub fn new(opcode: u8) -> Self {
        let mut b = [0; 64];
        b[0] = opcode;
        b[1] = 0x40;
        Sqe(b)
    }

    /// A Fabrics command (Base 6).
    pub fn fabrics(fctype: u8) -> Self {
        let mut sqe = Sqe::new(admin::FABRICS);
        sqe.0[4] = fctype;
        sqe
    }

    /// Connect for a queue (Base 6.3). `sqsize` is 0's based, `kato` in milliseconds.
    pub fn connect(qid: u16, sqsize: u16, kato: u32, no_flow_control: bool) -> Self {
        let mut sqe = Sqe::fabrics(fabrics::CONNECT);
        put(&mut sqe.0, 42, &qid.to_le_bytes());
        put(&mut sqe.0, 44, &sqsize.to_le_bytes());
        sqe.0[46] = if no_flow_control { 4 } else { 0 };
        put(&mut sqe.0, 48, &kato.to_le_bytes());
        sqe
    }

    /// Property Set (Base 6.6).
    pub fn property_set(offset: u32, value: u64, eight_bytes: bool) -> Self {
        let mut sqe = Sqe::fabrics(fabrics::PROPERTY_SET);
        sqe.0[40] = u8::from(eight_bytes);
        put(&mut sqe.0, 44, &offset.to_le_bytes());
        put(&mut sqe.0, 48, &value.to_le_bytes());
        sqe
    }

    /// Property Get (Base 6.5).
    pub fn property_get(offset: u32, eight_bytes: bool) -> Self {
        let mut sqe = Sqe::fabrics(fabrics::PROPERTY_GET);
        sqe.0[40] = u8::from(eight_bytes);
        put(&mut sqe.0, 44, &offset.to_le_bytes());
        sqe
    }

    /// Read, Write or another command on a range of blocks (NVM 3.2.4, 3.2.6). `blocks` counts from 1.
    pub fn blocks(opcode: u8, nsid: u32, slba: u64, blocks: u32) -> Self {
        let mut sqe = Sqe::new(opcode);
        sqe.set_nsid(nsid);
        sqe.set_cdw(10, slba as u32);
        sqe.set_cdw(11, (slba >> 32) as u32);
        sqe.set_cdw(12, blocks.saturating_sub(1) & 0xffff);
        sqe
    }

    /// Opcode.
    pub fn opcode(&self) -> u8 {
        self.0[0]
    }
    /// Whether it is part of a fused operation (Base 3.3.3.1).
    pub fn is_fused(&self) -> bool {
        self.0[1] & 3 != 0
    }
    /// Whether metadata is described by an SGL segment of its own (Base 3.3.3.1, PSDT).
    pub fn has_metadata(&self) -> bool {
        self.0[1] & 0x80 != 0
    }
    /// Command identifier.
    pub fn cid(&self) -> u16 {
        le16(&self.0, 2)
    }
    /// Sets the command identifier.
    pub fn set_cid(&mut self, cid: u16) {
        put(&mut self.0, 2, &cid.to_le_bytes());
    }
    /// Fabrics command type.
    pub fn fctype(&self) -> u8 {
        self.0[4]
    }
    /// Namespace identifier.
    pub fn nsid(&self) -> u32 {
        le32(&self.0, 4)
    }
    /// Sets the namespace identifier.
    pub fn set_nsid(&mut self, nsid: u32) {
        put(&mut self.0, 4, &nsid.to_le_bytes());
    }
    /// Command dword 2 to 15.
    pub fn cdw(&self, n: usize) -> u32 {
        le32(&self.0, n * 4)
    }
    /// Sets command dword 2 to 15.
    pub fn set_cdw(&mut self, n: usize, value: u32) {
        put(&mut self.0, n * 4, &value.to_le_bytes());
    }
    /// Starting LBA of a command on blocks.
    pub fn slba(&self) -> u64 {
        le64(&self.0, 40)
    }
    /// Number of blocks, counted from 1.
    pub fn block_count(&self) -> u32 {
        (self.cdw(12) & 0xffff) + 1
    }
    /// The token of a keyed write, in CDW2 and CDW3: ours (docs/nvme.md). 0: none.
    pub fn token(&self) -> u64 {
        le64(&self.0, 8)
    }
    /// Sets the token.
    pub fn set_token(&mut self, token: u64) {
        put(&mut self.0, 8, &token.to_le_bytes());
    }
    /// Whether repeats of the write are to be discarded by its token, CDW14 bit 0: ours, on the node's leg.
    pub fn keyed(&self) -> bool {
        self.cdw(14) & 1 != 0
    }
    /// The attempt's number, in CDW15: ours, on the node's leg.
    pub fn attempt(&self) -> u32 {
        self.cdw(15)
    }

    /// The data descriptor. A command without data has a zeroed one.
    pub fn sgl(&self) -> Sgl {
        let (address, length, id) = (le64(&self.0, 24), le32(&self.0, 32), self.0[39]);
        match id {
            0x01 => Sgl::InCapsule { offset: address, length },
            0x5a => Sgl::Transport { length },
            0x00 if length == 0 => Sgl::Transport { length: 0 },
            other => Sgl::Unsupported(other),
        }
    }

    /// Sets the data descriptor.
    pub fn set_sgl(&mut self, sgl: Sgl) {
        let (address, length, id) = match sgl {
            Sgl::InCapsule { offset, length } => (offset, length, 0x01),
            Sgl::Transport { length } => (0, length, 0x5a),
            Sgl::Unsupported(id) => (0, 0, id),
        };
        put(&mut self.0, 24, &address.to_le_bytes());
        put(&mut self.0, 32, &length.to_le_bytes());
        self.0[39] = id;
    }
}

/// A completion queue entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cqe {
    /// Dword 0.
    pub dw0: u32,
    /// Dword 1.
    pub dw1: u32,
    /// Submission queue head.
    pub sq_head: u16,
    /// Command identifier.
    pub cid: u16,
    /// Status.
    pub status: Status,
}

impl Cqe {
    /// Its bytes.
    pub fn to_bytes(self) -> [u8; 16] {
        let mut b = [0; 16];
        put(&mut b, 0, &self.dw0.to_le_bytes());
        put(&mut b, 4, &self.dw1.to_le_bytes());
        put(&mut b, 8, &self.sq_head.to_le_bytes());
        put(&mut b, 12, &self.cid.to_le_bytes());
        put(&mut b, 14, &self.status.to_field().to_le_bytes());
        b
    }

    /// Reads its bytes.
    pub fn from_bytes(b: &[u8; 16]) -> Self {
        Cqe {
            dw0: le32(b, 0),
            dw1: le32(b, 4),
            sq_head: le16(b, 8),
            cid: le16(b, 12),
            status: Status::from_field(le16(b, 14)),
        }
    }
}

/// Data of a Connect command (Base 6.3, 1,024 bytes).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConnectData {
    /// Host identifier.
    pub host_id: [u8; 16],
    /// Controller asked for; FFFFh: any, on the admin queue.
    pub cntlid: u16,
    /// NQN of the subsystem.
    pub subsystem: String,
    /// NQN of the host.
    pub host: String,
}

impl ConnectData {
    /// Its bytes; NQNs are cut at 223.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut b = vec![0; 1024];
        put(&mut b, 0, &self.host_id);
        put(&mut b, 16, &self.cntlid.to_le_bytes());
        put(&mut b, 256, &self.subsystem.as_bytes()[..self.subsystem.len().min(223)]);
        put(&mut b, 512, &self.host.as_bytes()[..self.host.len().min(223)]);
        b
    }

    /// Reads its bytes; `None` if there are not 1,024 or an NQN is not text.
    pub fn from_bytes(b: &[u8]) -> Option<Self> {
        if b.len() != 1024 {
            return None;
        }
        let text = |at: usize| {
            let field = &b[at..at + 256];
            let end = field.iter().position(|&c| c == 0)?;
            std::str::from_utf8(&field[..end]).ok().map(str::to_owned)
        };
        let mut host_id = [0; 16];
        host_id.copy_from_slice(&b[..16]);
        Some(ConnectData { host_id, cntlid: le16(b, 16), subsystem: text(256)?, host: text(512)? })
    }
}
