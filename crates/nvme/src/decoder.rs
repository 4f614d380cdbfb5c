//! Cuts a byte stream into PDUs (TCP 3.6) and checks what any PDU must keep.

use bytes::{Buf, Bytes, BytesMut};

use crate::le32;
use crate::pdu::{Digests, Pdu, PduKind, TermReason, digest_flags};

/// Which side of the connection reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The host: it gets what a controller sends.
    Host,
    /// The controller: it gets what a host sends.
    Controller,
}

impl Side {
    fn accepts(self, kind: PduKind) -> bool {
        use PduKind::*;
        match self {
            Side::Host => matches!(kind, ICResp | C2HTermReq | CapsuleResp | C2HData | R2T),
            Side::Controller => matches!(kind, ICReq | H2CTermReq | CapsuleCmd | H2CData),
        }
    }
}

/// An incremental decoder: bytes in any portions, PDUs out.
///
/// What it holds is bounded by `max_data`: a PDU that states more is refused at its header, before any of its
/// data is awaited.
#[derive(Debug)]
pub struct Decoder {
    side: Side,
    digests: Digests,
    max_data: usize,
    buffer: BytesMut,
    /// Set once the stream is broken: after a fault nothing more is read.
    fault: Option<TermReason>,
}

impl Decoder {
    /// A decoder for a fresh connection; `max_data` is the most data bytes accepted in one PDU.
    pub fn new(side: Side, max_data: usize) -> Self {
        Decoder { side, digests: Digests::default(), max_data, buffer: BytesMut::new(), fault: None }
    }

    /// Sets the digests that the PDUs from now on carry.
    pub fn set_digests(&mut self, digests: Digests) {
        self.digests = digests;
    }

    /// Takes bytes off the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.fault.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Bytes held for a PDU that is not whole yet.
    pub fn held(&self) -> usize {
        self.buffer.len()
    }

    /// The header at fault, as far as received, for the TermReq's data.
    pub fn faulty_header(&self) -> Bytes {
        let len = self.buffer.len().min(128);
        Bytes::copy_from_slice(&self.buffer[..len])
    }

    /// The next whole PDU, `None` if more bytes are needed.
    ///
    /// # Errors
    /// The reason for which the connection is to be terminated; it stays at that.
    pub fn poll(&mut self) -> Result<Option<Pdu>, TermReason> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        self.read().inspect_err(|fault| self.fault = Some(*fault))
    }

    fn read(&mut self) -> Result<Option<Pdu>, TermReason> {
        if self.buffer.len() < 8 {
            return Ok(None);
        }
        let (kind, hlen, pdo, plen) = self.common_header()?;
        let expects = if kind.has_digests() { self.digests } else { Digests::default() };
        let header_end = hlen + if expects.header { 4 } else { 0 };
        // A capsule or data PDU has data where its length passes the header; its data digest goes with it.
        let with_data = plen > header_end;
        let ddgst = if expects.data && with_data { 4 } else { 0 };
        if plen < header_end || (with_data && !kind.carries_data()) {
            return Err(TermReason::InvalidHeaderField(4));
        }
        let flags = digest_flags(self.buffer[1]);
        if flags.header != expects.header || flags.data != (ddgst > 0) {
            return Err(TermReason::InvalidHeaderField(1));
        }
        let data_at = if with_data && kind.has_digests() { pdo } else { header_end };
        if with_data && (data_at < header_end || data_at % 4 != 0 || data_at + ddgst >= plen) {
            return Err(TermReason::InvalidHeaderField(3));
        }
        if with_data && plen - data_at - ddgst > self.max_data {
            return Err(TermReason::InvalidHeaderField(4));
        }
        if self.buffer.len() < plen {
            self.buffer.reserve(plen - self.buffer.len());
            return Ok(None);
        }
        if expects.header {
            let got = le32(&self.buffer, hlen);
            if got != crc32c::crc32c(&self.buffer[..hlen]) {
                return Err(TermReason::HeaderDigest(got));
            }
        }
        self.take(kind, hlen, if with_data { data_at } else { plen }, plen, ddgst)
    }

    /// Type, header length, data offset and length, as far as they are checked without the rest.
    fn common_header(&self) -> Result<(PduKind, usize, usize, usize), TermReason> {
        let b = &self.buffer;
        let kind = PduKind::from_byte(b[0])
            .filter(|&k| self.side.accepts(k))
            .ok_or(TermReason::InvalidHeaderField(0))?;
        if usize::from(b[2]) != kind.header_len() {
            return Err(TermReason::InvalidHeaderField(2));
        }
        let plen = le32(b, 4);
        if plen as usize > self.max_data.saturating_add(256 + 8) {
            return Err(TermReason::InvalidHeaderField(4));
        }
        Ok((kind, kind.header_len(), usize::from(b[3]), plen as usize))
    }

    fn take(
        &mut self,
        kind: PduKind,
        hlen: usize,
        data_at: usize,
        plen: usize,
        ddgst: usize,
    ) -> Result<Option<Pdu>, TermReason> {
        // The header is checked on a copy so that a fault leaves it in the buffer for the TermReq.
        let mut header = [0u8; 128];
        header[..hlen].copy_from_slice(&self.buffer[..hlen]);
        let stated = matches!(kind, PduKind::H2CData | PduKind::C2HData);
        if stated && le32(&header, 16) as usize != plen - data_at - ddgst {
            return Err(TermReason::InvalidHeaderField(16));
        }
        let mut pdu = self.buffer.split_to(plen);
        pdu.advance(data_at);
        let data = pdu.split_to(plen - data_at - ddgst).freeze();
        let intact = ddgst == 0 || crc32c::crc32c(&data) == le32(&pdu, 0);
        Pdu::decode(kind, &header[..hlen], data, intact).map(Some)
    }
}
