//! A file of records for what must outlive a loss of power: a gateway's own lives and work in hand, a node's blocks.
//!
//! A record counts once [`Log::sync`] has returned after it was appended; [`Log::hand_over`] is for those that need to outlive
//! the process only. What a cut leaves behind the last sync may be missing, half there, or full of holes; opening cuts that
//! off. Damage inside what was durable is told apart from that and refused by its place, because what follows it would be
//! replayed onto the wrong state. A small file is replaced as a whole by [`replace`].
//!
//! What it is not: a data base. It has no index, no readers beside its one writer and no opinion of what a record means.
//!
//! ## The form of a file
//!
//! Sixteen bytes: `CRBYLOG1` and a number drawn for this file. Then records, little endian: length of the payload (4 bytes),
//! CRC32C (4), how far the file was durable when the record was written (8), payload. The checksum also covers the file's
//! number and the record's place, so that blocks left over from an older file never count.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod log;
mod record;
mod replaced;

pub use log::{Log, LogError, Opened};
pub use record::MOST;
pub use replaced::{ReplaceError, read, replace};
