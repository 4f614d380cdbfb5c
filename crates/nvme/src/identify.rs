//! Data that a controller tells of itself: Identify (Base 5.17, NVM 4.1.5) and log pages (Base 5.16).

use crate::target::Namespace;
use crate::{le16, le32, le64, put};

/// Length of every Identify structure.
pub const CONTROLLER_DATA: usize = 4096;

/// What a host needs from Identify Controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ControllerLimits {
    /// Most bytes in one transfer; 0: no limit.
    pub max_transfer: u32,
    /// Most data bytes in a capsule of an I/O queue.
    pub in_capsule: u32,
    /// Command Retry Delay Times 1 to 3, in 100 ms.
    pub retry_delays: [u16; 3],
    /// Most commands outstanding on a queue; 0: the queue's size.
    pub max_commands: u16,
}

impl ControllerLimits {
    /// Reads Identify Controller; `None` if it is too short.
    pub fn from_identify(b: &[u8]) -> Option<Self> {
        if b.len() < CONTROLLER_DATA {
            return None;
        }
        Some(ControllerLimits {
            max_transfer: if b[77] == 0 { 0 } else { 4096u32.checked_shl(u32::from(b[77])).unwrap_or(0) },
            in_capsule: (le32(b, 1792).saturating_mul(16)).saturating_sub(64),
            retry_delays: [le16(b, 128), le16(b, 130), le16(b, 132)],
            max_commands: le16(b, 514),
        })
    }
}

fn text(b: &mut [u8], at: usize, len: usize, s: &str) {
    b[at..at + len].fill(b' ');
    put(b, at, &s.as_bytes()[..s.len().min(len)]);
}

/// What Identify Controller says.
pub(crate) struct ControllerIdentity<'a> {
    pub(crate) cntlid: u16,
    pub(crate) discovery: bool,
    pub(crate) subsystem: &'a str,
    pub(crate) serial: &'a str,
    pub(crate) model: &'a str,
    pub(crate) mdts: u8,
    pub(crate) retry_delays: [u16; 3],
    pub(crate) namespaces: u32,
    pub(crate) in_capsule: u32,
    pub(crate) max_commands: u16,
    pub(crate) optional: bool,
}

impl ControllerIdentity<'_> {
    pub(crate) fn to_bytes(&self) -> Vec<u8> {
        let mut b = vec![0; CONTROLLER_DATA];
        text(&mut b, 4, 20, self.serial);
        text(&mut b, 24, 40, self.model);
        text(&mut b, 64, 8, env!("CARGO_PKG_VERSION"));
        b[76] = 0b0000_0010; // CMIC: the subsystem may have several controllers.
        b[77] = self.mdts;
        put(&mut b, 78, &self.cntlid.to_le_bytes());
        put(&mut b, 80, &VERSION.to_le_bytes());
        put(&mut b, 92, &(1u32 << 8).to_le_bytes()); // OAES: namespace attribute notices.
        b[111] = if self.discovery { 2 } else { 1 };
        for (n, delay) in self.retry_delays.iter().enumerate() {
            put(&mut b, 128 + 2 * n, &delay.to_le_bytes());
        }
        b[258] = ABORTS - 1;
        b[259] = ASYNC_EVENTS - 1;
        b[261] = 0b100; // LPA: extended data for Get Log Page.
        b[262] = 0; // ELPE: one error log entry.
        put(&mut b, 320, &1u16.to_le_bytes()); // KAS: 100 ms.
        b[512] = 0x66;
        b[513] = 0x44;
        put(&mut b, 514, &self.max_commands.to_le_bytes());
        put(&mut b, 516, &self.namespaces.to_le_bytes());
        if self.optional && !self.discovery {
            put(&mut b, 520, &0b1101u16.to_le_bytes()); // ONCS: Compare, Dataset Management, Write Zeroes.
        }
        // VWC: a volatile write cache is present, so hosts flush; a Flush is of one namespace.
        b[525] = 0b101;
        put(&mut b, 536, &(1u32 | 1 << 20).to_le_bytes()); // SGLS: SGLs, offsets into the capsule.
        text(&mut b, 768, 256, "");
        b[768..1024].fill(0);
        put(&mut b, 768, &self.subsystem.as_bytes()[..self.subsystem.len().min(223)]);
        put(&mut b, 1792, &((64 + self.in_capsule) / 16).to_le_bytes());
        put(&mut b, 1796, &1u32.to_le_bytes());
        b[1803] = 1; // MSDBD: one descriptor.
        b
    }
}

/// NVMe 1.4 in the VS property and Identify.
pub(crate) const VERSION: u32 = 0x0001_0400;
/// Aborts that are carried out at a time.
pub(crate) const ABORTS: u8 = 4;
/// Asynchronous Event Requests held.
pub(crate) const ASYNC_EVENTS: u8 = 4;

/// Identify Namespace (NVM 4.1.5.1).
pub(crate) fn namespace_data(ns: &Namespace) -> Vec<u8> {
    let mut b = vec![0; CONTROLLER_DATA];
    for at in [0, 8, 16] {
        put(&mut b, at, &ns.blocks.to_le_bytes());
    }
    b[30] = 1; // NMIC: may be attached to several controllers.
    put(&mut b, 104, &ns.guid);
    b[130] = ns.block_size.trailing_zeros() as u8;
    b
}

/// Size in blocks and block size from Identify Namespace; `None` if it is too short or not a size.
pub fn namespace_size(b: &[u8]) -> Option<(u64, u32)> {
    (b.len() >= CONTROLLER_DATA && (9..=16).contains(&b[130])).then(|| (le64(b, 0), 1 << b[130]))
}

/// Namespace Identification Descriptor list (Base 5.17.2.3): the NGUID.
pub(crate) fn namespace_descriptors(ns: &Namespace) -> Vec<u8> {
    let mut b = vec![0; CONTROLLER_DATA];
    b[0] = 2;
    b[1] = 16;
    put(&mut b, 4, &ns.guid);
    b
}

/// Active Namespace ID list (Base 5.17.2.2): those above `after`.
pub(crate) fn active_list(namespaces: &[Namespace], after: u32) -> Vec<u8> {
    let mut b = vec![0; CONTROLLER_DATA];
    for (n, ns) in namespaces.iter().filter(|ns| ns.nsid > after).take(1024).enumerate() {
        put(&mut b, n * 4, &ns.nsid.to_le_bytes());
    }
    b
}

/// One line of the discovery log page (Base 5.16.1.23): a subsystem on TCP over IPv4 or IPv6.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiscoveryEntry {
    /// NQN of the subsystem.
    pub subsystem: String,
    /// Address.
    pub address: std::net::IpAddr,
    /// Port.
    pub port: u16,
}

impl DiscoveryEntry {
    fn write(&self, b: &mut [u8], index: u16) {
        b[0] = 3;
        b[1] = if self.address.is_ipv4() { 1 } else { 2 };
        b[2] = 2;
        put(b, 4, &index.to_le_bytes());
        put(b, 6, &0xffffu16.to_le_bytes());
        put(b, 8, &32u16.to_le_bytes());
        text(b, 32, 32, &self.port.to_string());
        put(b, 256, &self.subsystem.as_bytes()[..self.subsystem.len().min(223)]);
        text(b, 512, 256, &self.address.to_string());
    }
}

/// The discovery log page.
pub(crate) fn discovery_log(entries: &[DiscoveryEntry]) -> Vec<u8> {
    let mut b = vec![0; 1024 * (1 + entries.len())];
    put(&mut b, 0, &1u64.to_le_bytes());
    put(&mut b, 8, &(entries.len() as u64).to_le_bytes());
    for (n, entry) in entries.iter().enumerate() {
        entry.write(&mut b[1024 * (n + 1)..1024 * (n + 2)], n as u16);
    }
    b
}

/// SMART / Health Information (Base 5.16.1.3): nothing is critical.
pub(crate) fn health_log() -> Vec<u8> {
    let mut b = vec![0; 512];
    put(&mut b, 1, &300u16.to_le_bytes());
    b[3] = 100;
    b[4] = 10;
    b
}
