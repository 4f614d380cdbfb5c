//! PDUs of the TCP transport (TCP 3.6) and how they are written.

use bytes::Bytes;

use crate::{le16, le32, put};
use gather::PduSink;

/// Type of a PDU (TCP figure "PDU Type").
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
#[allow(missing_docs)]
pub enum PduKind {
    ICReq = 0x00,
    ICResp = 0x01,
    H2CTermReq = 0x02,
    C2HTermReq = 0x03,
    CapsuleCmd = 0x04,
    CapsuleResp = 0x05,
    H2CData = 0x06,
    C2HData = 0x07,
    R2T = 0x09,
}

impl PduKind {
    /// The type that a byte stands for.
    pub fn from_byte(b: u8) -> Option<Self> {
        use PduKind::*;
        [ICReq, ICResp, H2CTermReq, C2HTermReq, CapsuleCmd, CapsuleResp, H2CData, C2HData, R2T]
            .into_iter()
            .find(|k| *k as u8 == b)
    }

    /// Length of its header, which the HLEN field must state.
    pub fn header_len(self) -> usize {
        match self {
            PduKind::ICReq | PduKind::ICResp => 128,
            PduKind::CapsuleCmd => 72,
            _ => 24,
        }
    }

    /// Whether data may follow the header.
    pub fn carries_data(self) -> bool {
        use PduKind::*;
        matches!(self, H2CTermReq | C2HTermReq | CapsuleCmd | H2CData | C2HData)
    }

    /// Whether digests apply: neither the exchange that negotiates them nor a termination has any.
    pub fn has_digests(self) -> bool {
        use PduKind::*;
        !matches!(self, ICReq | ICResp | H2CTermReq | C2HTermReq)
    }
}

/// Digests in use on a connection (TCP 3.3).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digests {
    /// CRC32C over each PDU header.
    pub header: bool,
    /// CRC32C over each PDU's data.
    pub data: bool,
}

impl Digests {
    /// The DGST byte of ICReq and ICResp.
    pub fn to_byte(self) -> u8 {
        u8::from(self.header) | u8::from(self.data) << 1
    }

    /// Reads the DGST byte.
    pub fn from_byte(b: u8) -> Self {
        Digests { header: b & 1 != 0, data: b & 2 != 0 }
    }

    /// What both sides ask for.
    pub fn both(self, other: Digests) -> Digests {
        Digests { header: self.header && other.header, data: self.data && other.data }
    }
}

/// Why a connection is terminated: the Fatal Error Status of a TermReq with its information (TCP 3.6.2.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TermReason {
    /// A header field is not valid; the byte at which it starts.
    #[error("PDU header field at byte {0} is invalid")]
    InvalidHeaderField(u32),
    /// A PDU that is not expected now.
    #[error("PDU out of sequence")]
    SequenceError,
    /// The header digest does not match; the one received.
    #[error("header digest {0:08x} does not match")]
    HeaderDigest(u32),
    /// Data outside of what the command or R2T covers.
    #[error("data transfer out of range")]
    DataOutOfRange,
    /// More R2Ts, or more data, than agreed.
    #[error("transfer limit exceeded")]
    LimitExceeded,
    /// A parameter that is not supported; the byte at which it starts.
    #[error("parameter at byte {0} is not supported")]
    UnsupportedParameter(u32),
    /// A code of the other side that this text does not know.
    #[error("fatal error status {0:04x}h")]
    Other(u16),
}

impl TermReason {
    fn codes(self) -> (u16, u32) {
        match self {
            TermReason::InvalidHeaderField(at) => (1, at),
            TermReason::SequenceError => (2, 0),
            TermReason::HeaderDigest(got) => (3, got),
            TermReason::DataOutOfRange => (4, 0),
            TermReason::LimitExceeded => (5, 0),
            TermReason::UnsupportedParameter(at) => (6, at),
            TermReason::Other(fes) => (fes, 0),
        }
    }

    fn from_codes(fes: u16, fei: u32) -> Self {
        match fes {
            1 => TermReason::InvalidHeaderField(fei),
            2 => TermReason::SequenceError,
            3 => TermReason::HeaderDigest(fei),
            4 => TermReason::DataOutOfRange,
            5 => TermReason::LimitExceeded,
            6 => TermReason::UnsupportedParameter(fei),
            other => TermReason::Other(other),
        }
    }
}

/// One PDU. Data is whole: the decoder waits for all of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pdu {
    /// Initialize Connection Request (TCP 3.6.2.2).
    ICReq {
        /// PDU format version; 0.
        version: u16,
        /// Host PDU data alignment, 0 for dwords.
        hpda: u8,
        /// Digests that the host asks for.
        digests: Digests,
        /// R2Ts outstanding for one command at most, 0's based.
        max_r2t: u32,
    },
    /// Initialize Connection Response.
    ICResp {
        /// PDU format version; 0.
        version: u16,
        /// Controller PDU data alignment, 0 for dwords.
        cpda: u8,
        /// Digests in use from now on.
        digests: Digests,
        /// Most bytes in one H2CData PDU.
        max_h2c_data: u32,
    },
    /// Terminate Connection Request, by either side.
    TermReq {
        /// Sent by the host.
        by_host: bool,
        /// Why.
        reason: TermReason,
        /// The header at fault, as far as it was received.
        header: Bytes,
    },
    /// A command, with in-capsule data where it has any.
    CapsuleCmd {
        /// Submission queue entry.
        sqe: [u8; 64],
        /// In-capsule data.
        data: Bytes,
        /// The data digest matched, or there was none to match.
        intact: bool,
    },
    /// A completion queue entry.
    CapsuleResp {
        /// Completion queue entry.
        cqe: [u8; 16],
    },
    /// Data from the host, as an R2T asked.
    H2CData {
        /// Command.
        cid: u16,
        /// Transfer tag of the R2T.
        ttag: u16,
        /// Offset within the command's data.
        offset: u32,
        /// The last PDU for this R2T.
        last: bool,
        /// Data.
        data: Bytes,
        /// The data digest matched, or there was none to match.
        intact: bool,
    },
    /// Data from the controller.
    C2HData {
        /// Command.
        cid: u16,
        /// Offset within the command's data.
        offset: u32,
        /// The last PDU for this command.
        last: bool,
        /// The command succeeded and no CapsuleResp follows.
        success: bool,
        /// Data.
        data: Bytes,
        /// The data digest matched, or there was none to match.
        intact: bool,
    },
    /// Ready to Transfer.
    R2T {
        /// Command.
        cid: u16,
        /// Transfer tag to be handed back.
        ttag: u16,
        /// Offset within the command's data.
        offset: u32,
        /// Bytes asked for.
        length: u32,
    },
}

const FLAG_HDGST: u8 = 1;
const FLAG_DDGST: u8 = 2;
const FLAG_LAST: u8 = 4;
const FLAG_SUCCESS: u8 = 8;

impl Pdu {
    /// Its type.
    pub fn kind(&self) -> PduKind {
        match self {
            Pdu::ICReq { .. } => PduKind::ICReq,
            Pdu::ICResp { .. } => PduKind::ICResp,
            Pdu::TermReq { by_host: true, .. } => PduKind::H2CTermReq,
            Pdu::TermReq { .. } => PduKind::C2HTermReq,
            Pdu::CapsuleCmd { .. } => PduKind::CapsuleCmd,
            Pdu::CapsuleResp { .. } => PduKind::CapsuleResp,
            Pdu::H2CData { .. } => PduKind::H2CData,
            Pdu::C2HData { .. } => PduKind::C2HData,
            Pdu::R2T { .. } => PduKind::R2T,
        }
    }

    fn data(&self) -> Option<&Bytes> {
        match self {
            Pdu::CapsuleCmd { data, .. } | Pdu::H2CData { data, .. } | Pdu::C2HData { data, .. } => {
                Some(data)
            }
            Pdu::TermReq { header, .. } => Some(header),
            _ => None,
        }
    }

    /// Appends the PDU's bytes, with the digests in use.
    pub fn encode(&self, digests: Digests, out: &mut impl PduSink) {
        let kind = self.kind();
        let none = Bytes::new();
        let (hlen, data) = (kind.header_len(), self.data().unwrap_or(&none));
        let (hdgst, ddgst) =
            (digests.header && kind.has_digests(), digests.data && kind.has_digests() && !data.is_empty());
        let header_end = hlen + if hdgst { 4 } else { 0 };
        let plen = header_end + data.len() + if ddgst { 4 } else { 0 };
        out.reserve(plen);
        let mut header = [0u8; 128];
        let b = &mut header[..hlen];
        b[0] = kind as u8;
        b[1] = if hdgst { FLAG_HDGST } else { 0 } | if ddgst { FLAG_DDGST } else { 0 };
        b[2] = hlen as u8;
        b[3] = if data.is_empty() || !kind.has_digests() { 0 } else { header_end as u8 };
        put(b, 4, &(plen as u32).to_le_bytes());
        self.write_fields(b);
        out.append_copy(b);
        if hdgst {
            out.append_copy(&crc32c::crc32c(b).to_le_bytes());
        }
        out.append_shared(data);
        if ddgst {
            out.append_copy(&crc32c::crc32c(data).to_le_bytes());
        }
    }

    fn write_fields(&self, b: &mut [u8]) {
        match self {
            Pdu::ICReq { version, hpda, digests, max_r2t } => {
                put(b, 8, &version.to_le_bytes());
                b[10] = *hpda;
                b[11] = digests.to_byte();
                put(b, 12, &max_r2t.to_le_bytes());
            }
            Pdu::ICResp { version, cpda, digests, max_h2c_data } => {
                put(b, 8, &version.to_le_bytes());
                b[10] = *cpda;
                b[11] = digests.to_byte();
                put(b, 12, &max_h2c_data.to_le_bytes());
            }
            Pdu::TermReq { reason, .. } => {
                let (fes, fei) = reason.codes();
                put(b, 8, &fes.to_le_bytes());
                put(b, 10, &fei.to_le_bytes());
            }
            Pdu::CapsuleCmd { sqe, .. } => put(b, 8, sqe),
            Pdu::CapsuleResp { cqe } => put(b, 8, cqe),
            Pdu::H2CData { cid, ttag, offset, last, data, .. } => {
                b[1] |= if *last { FLAG_LAST } else { 0 };
                put(b, 8, &cid.to_le_bytes());
                put(b, 10, &ttag.to_le_bytes());
                put(b, 12, &offset.to_le_bytes());
                put(b, 16, &(data.len() as u32).to_le_bytes());
            }
            Pdu::C2HData { cid, offset, last, success, data, .. } => {
                b[1] |= if *last { FLAG_LAST } else { 0 } | if *success { FLAG_SUCCESS } else { 0 };
                put(b, 8, &cid.to_le_bytes());
                put(b, 12, &offset.to_le_bytes());
                put(b, 16, &(data.len() as u32).to_le_bytes());
            }
            Pdu::R2T { cid, ttag, offset, length } => {
                put(b, 8, &cid.to_le_bytes());
                put(b, 10, &ttag.to_le_bytes());
                put(b, 12, &offset.to_le_bytes());
                put(b, 16, &length.to_le_bytes());
            }
        }
    }

    /// Reads a PDU from its checked header and its data.
    pub(crate) fn decode(kind: PduKind, b: &[u8], data: Bytes, intact: bool) -> Result<Pdu, TermReason> {
        Ok(match kind {
            PduKind::ICReq => Pdu::ICReq {
                version: le16(b, 8),
                hpda: b[10],
                digests: Digests::from_byte(b[11]),
                max_r2t: le32(b, 12),
            },
            PduKind::ICResp => Pdu::ICResp {
                version: le16(b, 8),
                cpda: b[10],
                digests: Digests::from_byte(b[11]),
                max_h2c_data: le32(b, 12),
            },
            PduKind::H2CTermReq | PduKind::C2HTermReq => Pdu::TermReq {
                by_host: kind == PduKind::H2CTermReq,
                reason: TermReason::from_codes(le16(b, 8), le32(b, 10)),
                header: data,
            },
            PduKind::CapsuleCmd => {
                let mut sqe = [0; 64];
                sqe.copy_from_slice(&b[8..72]);
                Pdu::CapsuleCmd { sqe, data, intact }
            }
            PduKind::CapsuleResp => {
                let mut cqe = [0; 16];
                cqe.copy_from_slice(&b[8..24]);
                Pdu::CapsuleResp { cqe }
            }
            PduKind::H2CData => Pdu::H2CData {
                cid: le16(b, 8),
                ttag: le16(b, 10),
                offset: le32(b, 12),
                last: b[1] & FLAG_LAST != 0,
                data,
                intact,
            },
            PduKind::C2HData => {
                let (last, success) = (b[1] & FLAG_LAST != 0, b[1] & FLAG_SUCCESS != 0);
                if success && !last {
                    return Err(TermReason::InvalidHeaderField(1));
                }
                Pdu::C2HData { cid: le16(b, 8), offset: le32(b, 12), last, success, data, intact }
            }
            PduKind::R2T => {
                Pdu::R2T { cid: le16(b, 8), ttag: le16(b, 10), offset: le32(b, 12), length: le32(b, 16) }
            }
        })
    }
}

/// The flag bits that say which digests a PDU has.
pub(crate) fn digest_flags(flags: u8) -> Digests {
    Digests { header: flags & FLAG_HDGST != 0, data: flags & FLAG_DDGST != 0 }
}
