//! What the connections of one controller side have in common: subsystems, namespaces and associations.

use std::collections::{BTreeMap, BTreeSet};

use crate::command::{ConnectData, property};
use crate::identify::{DiscoveryEntry, VERSION};
use crate::status::{Status, StatusCode};
use crate::{DISCOVERY_NQN, Micros};

/// A namespace: a volume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Namespace {
    /// Identifier, from 1.
    pub nsid: u32,
    /// Size, in blocks.
    pub blocks: u64,
    /// Block size, a power of two from 512 to 65,536 bytes.
    pub block_size: u32,
    /// Globally unique identifier.
    pub guid: [u8; 16],
}

/// Settings of a controller side.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// NQN of the subsystem.
    pub subsystem: String,
    /// Serial number, to 20 characters.
    pub serial: String,
    /// Model, to 40 characters.
    pub model: String,
    /// Namespaces, by rising identifier.
    pub namespaces: Vec<Namespace>,
    /// Entries in each queue at most, 2 to 65,536.
    pub queue_entries: u32,
    /// I/O queues of an association at most.
    pub io_queues: u16,
    /// Associations at most; a further Connect is told that the controller is busy.
    pub associations: usize,
    /// Most bytes in one transfer as a power of two of 4,096; 0: no limit.
    pub mdts: u8,
    /// Most data bytes in a capsule of an I/O queue, a multiple of 16.
    pub in_capsule: u32,
    /// Most data bytes in one H2CData PDU, at least 4,096.
    pub max_h2c_data: u32,
    /// Command Retry Delay Times 1 to 3, in 100 ms.
    pub retry_delays: [u16; 3],
    /// Compare, Write Zeroes and Dataset Management are served (NVM 3.2.1, 3.2.8, 3.2.3); else they are no commands here.
    pub optional: bool,
    /// What the discovery subsystem lists; it exists only where there are entries.
    pub discovery: Vec<DiscoveryEntry>,
}

impl TargetOptions {
    /// The largest transfer, in bytes.
    pub fn max_transfer(&self) -> u32 {
        if self.mdts == 0 { 1 << 30 } else { 4096 << self.mdts.min(18) }
    }
}

/// A host's association with a controller (Base 3.1.2): the admin queue and its I/O queues.
#[derive(Debug)]
pub(crate) struct Association {
    pub(crate) discovery: bool,
    host_id: [u8; 16],
    host: String,
    pub(crate) cc: u32,
    pub(crate) csts: u32,
    /// Keep alive time-out, in milliseconds; 0: none.
    pub(crate) kato: u32,
    pub(crate) last_heard: Micros,
    pub(crate) queues: BTreeSet<u16>,
    pub(crate) queues_asked: bool,
    pub(crate) async_config: u32,
    /// Advanced Command Retry Enable: only then do completions carry a delay.
    pub(crate) delays_wanted: bool,
}

/// What a Connect command got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The controller.
    pub cntlid: u16,
    /// The queue.
    pub qid: u16,
}

/// The controller side's shared state.
#[derive(Debug)]
pub struct Target {
    pub(crate) options: TargetOptions,
    associations: BTreeMap<u16, Association>,
    next: u16,
}

fn parameter(offset: u16, in_data: bool) -> (Status, u32) {
    let status = Status::permanent(StatusCode::ConnectInvalidParameters);
    (status, u32::from(offset) | u32::from(in_data) << 16)
}

impl Target {
    /// A controller side without associations.
    pub fn new(options: TargetOptions) -> Self {
        Target { options, associations: BTreeMap::new(), next: 1 }
    }

    /// Its settings.
    pub fn options(&self) -> &TargetOptions {
        &self.options
    }

    /// The namespace with an identifier.
    pub fn namespace(&self, nsid: u32) -> Option<&Namespace> {
        self.options.namespaces.iter().find(|ns| ns.nsid == nsid)
    }

    /// Whether the association still stands; every connection of one that does not is to be closed.
    pub fn is_live(&self, cntlid: u16) -> bool {
        self.associations.contains_key(&cntlid)
    }

    /// NQN of the host of an association.
    pub fn host(&self, cntlid: u16) -> Option<&str> {
        self.associations.get(&cntlid).map(|a| a.host.as_str())
    }

    /// Associations that stand.
    pub fn associations(&self) -> usize {
        self.associations.len()
    }

    /// Ends an association: its admin queue is gone, or the caller wants it so.
    pub fn end(&mut self, cntlid: u16) {
        self.associations.remove(&cntlid);
    }

    /// Ends the associations whose host has been silent for its keep alive time-out (Base 3.9) and names them.
    pub fn expire(&mut self, now: Micros) -> Vec<u16> {
        let silent = |a: &Association| a.kato > 0 && now - a.last_heard > i64::from(a.kato) * 1000;
        let over: Vec<u16> = self.associations.iter().filter(|(_, a)| silent(a)).map(|(&c, _)| c).collect();
        over.iter().for_each(|c| self.end(*c));
        over
    }

    /// Whether the controller of an association is enabled and ready for commands.
    pub(crate) fn is_ready(&self, cntlid: u16) -> bool {
        self.associations.get(&cntlid).is_some_and(|a| a.csts & 1 != 0)
    }

    pub(crate) fn association(&mut self, cntlid: u16) -> Option<&mut Association> {
        self.associations.get_mut(&cntlid)
    }

    /// Carries out Connect (Base 6.3); an error is the status with dword 0, which names the field at fault.
    pub(crate) fn connect(
        &mut self,
        qid: u16,
        sqsize: u16,
        kato: u32,
        data: &ConnectData,
        now: Micros,
    ) -> Result<Admission, (Status, u32)> {
        let discovery = data.subsystem == DISCOVERY_NQN;
        let known = if discovery {
            !self.options.discovery.is_empty()
        } else {
            data.subsystem == self.options.subsystem
        };
        if !known {
            return Err(parameter(256, true));
        }
        if sqsize == 0 || u32::from(sqsize) >= self.options.queue_entries {
            return Err(parameter(44, false));
        }
        if data.host.is_empty() {
            return Err((Status::permanent(StatusCode::ConnectInvalidHost), 0));
        }
        if qid == 0 { self.connect_admin(kato, data, discovery, now) } else { self.connect_io(qid, data) }
    }

    fn connect_admin(
        &mut self,
        kato: u32,
        data: &ConnectData,
        discovery: bool,
        now: Micros,
    ) -> Result<Admission, (Status, u32)> {
        if data.cntlid != 0xffff {
            return Err(parameter(16, true));
        }
        if self.associations.len() >= self.options.associations {
            return Err((Status::passing(StatusCode::ConnectControllerBusy), 0));
        }
        // FFF0h and above are reserved (Base 3.1.2); with so few associations a free number is near.
        while self.next == 0 || self.next >= 0xfff0 || self.associations.contains_key(&self.next) {
            self.next = if self.next >= 0xfff0 { 1 } else { self.next + 1 };
        }
        let cntlid = self.next;
        self.next += 1;
        let association = Association {
            discovery,
            host_id: data.host_id,
            host: data.host.clone(),
            cc: 0,
            csts: 0,
            kato,
            last_heard: now,
            queues: BTreeSet::new(),
            queues_asked: false,
            async_config: 0,
            delays_wanted: false,
        };
        self.associations.insert(cntlid, association);
        Ok(Admission { cntlid, qid: 0 })
    }

    fn connect_io(&mut self, qid: u16, data: &ConnectData) -> Result<Admission, (Status, u32)> {
        let most = self.options.io_queues;
        let Some(a) = self.associations.get_mut(&data.cntlid) else { return Err(parameter(16, true)) };
        if a.host_id != data.host_id || a.host != data.host {
            return Err((Status::permanent(StatusCode::ConnectInvalidHost), 0));
        }
        if a.discovery || qid > most {
            return Err(parameter(42, false));
        }
        if a.csts & 1 == 0 {
            return Err((Status::permanent(StatusCode::CommandSequenceError), 0));
        }
        // A second Connect for a queue that stands (Base 6.3): a sequence error.
        if !a.queues.insert(qid) {
            return Err((Status::permanent(StatusCode::CommandSequenceError), 0));
        }
        Ok(Admission { cntlid: data.cntlid, qid })
    }

    /// Property Get (Base 3.1.3).
    pub(crate) fn property(&mut self, cntlid: u16, offset: u32, eight: bool) -> Option<u64> {
        let mqes = u64::from(self.options.queue_entries.clamp(2, 0x1_0000) - 1);
        let a = self.association(cntlid)?;
        match (offset, eight) {
            // CAP: MQES, CQR, TO of 10 s, NVM command set, pages of 4 KiB only.
            (property::CAP, true) => Some(mqes | 1 << 16 | 20 << 24 | 1 << 37),
            (property::VS, false) => Some(u64::from(VERSION)),
            (property::CC, false) => Some(u64::from(a.cc)),
            (property::CSTS, false) => Some(u64::from(a.csts)),
            _ => None,
        }
    }

    /// Property Set: CC alone may be written. Enable makes the controller ready; shutdown completes at once.
    pub(crate) fn set_property(&mut self, cntlid: u16, offset: u32, eight: bool, value: u64) -> bool {
        let Some(a) = self.association(cntlid) else { return false };
        if offset != property::CC || eight {
            return false;
        }
        let cc = value as u32;
        let (enable, shutdown) = (cc & 1 != 0, cc >> 14 & 3 != 0);
        // With enable: NVM command set, 4 KiB pages, entries of 64 and 16 bytes (Base 3.1.3.5).
        let fits = cc >> 4 & 7 == 0 && cc >> 7 & 0xf == 0 && (cc >> 16 & 0xf, cc >> 20 & 0xf) == (6, 4);
        if enable && !shutdown && !(fits || a.discovery) {
            return false;
        }
        a.cc = cc;
        a.csts = if shutdown { a.csts & 1 | 2 << 2 } else { u32::from(enable) };
        true
    }
}
