//! Settings of a machine's feed.

use crate::Micros;

/// Settings of a machine's feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedOptions {
    /// Copies that are served at a time; more are told to come back.
    pub subscribers: usize,
    /// Bytes a second that go out to all of them.
    pub rate: u64,
    /// Bytes that may wait for one of them to take them; it gets nothing more until it has.
    pub unsent: usize,
    /// Who is told to come back does so no sooner than this, in microseconds.
    pub pause: Micros,
}

impl Default for FeedOptions {
    fn default() -> Self {
        FeedOptions { subscribers: 1500, rate: 24 << 20, unsent: 64 << 10, pause: 5_000_000 }
    }
}
