//! One record: its bytes, and whether bytes are one.

/// Bytes of a file before its first record.
pub(crate) const PRELUDE: usize = 16;
/// What a file begins with.
pub(crate) const MAGIC: &[u8; 8] = b"CRBYLOG1";
/// Bytes of a record before its payload.
pub(crate) const HEAD: usize = 16;
/// The longest payload, in bytes.
pub const MOST: usize = 1 << 24;

fn checksum(file: u64, place: u64, durable: u64, payload: &[u8]) -> u32 {
    let mut sum = crc32c::crc32c(&file.to_le_bytes());
    for part in [&place.to_le_bytes()[..], &durable.to_le_bytes()[..], payload] {
        sum = crc32c::crc32c_append(sum, part);
    }
    sum
}

/// Appends a record that will lie at `place`, written when the file was durable up to `durable`.
pub(crate) fn encode(file: u64, place: u64, durable: u64, payload: &[u8], to: &mut Vec<u8>) {
    to.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    to.extend_from_slice(&checksum(file, place, durable, payload).to_le_bytes());
    to.extend_from_slice(&durable.to_le_bytes());
    to.extend_from_slice(payload);
}

/// A whole record at the start of some bytes.
pub(crate) struct Record<'a> {
    pub(crate) durable: u64,
    pub(crate) payload: &'a [u8],
}

fn word<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// The record at `place`, if `bytes`, which are the file's from there on, begin with a whole one.
pub(crate) fn decode(file: u64, place: u64, bytes: &[u8]) -> Option<Record<'_>> {
    let length = u32::from_le_bytes(word(bytes, 0)?) as usize;
    let sum = u32::from_le_bytes(word(bytes, 4)?);
    let durable = u64::from_le_bytes(word(bytes, 8)?);
    if length > MOST || durable > place {
        return None;
    }
    let payload = bytes.get(HEAD..HEAD + length)?;
    (checksum(file, place, durable, payload) == sum).then_some(Record { durable, payload })
}

/// Whether a whole record further on attests that the file was durable beyond `place`: the bytes there are then not the end
/// that a cut may leave but damage.
pub(crate) fn attested_beyond(file: u64, place: u64, bytes: &[u8]) -> bool {
    (1..bytes.len().saturating_sub(HEAD))
        .any(|n| decode(file, place + n as u64, &bytes[n..]).is_some_and(|record| record.durable > place))
}
