//! Counters of membership traffic and changes.

/// Counters since the start of this life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages sent.
    pub notes_out: u64,
    /// Bytes of sent message bodies.
    pub bytes_out: u64,
    /// Messages received.
    pub notes_in: u64,
    /// Bytes of received message bodies.
    pub bytes_in: u64,
    /// Snapshots published.
    pub changes: u64,
    /// Changes of a member's standing in this view.
    pub standings: u64,
    /// Suspicions of this gateway that it refuted.
    pub refutations: u64,
    /// Suspicions that this gateway raised.
    pub suspicions: u64,
    /// Rejected messages and records.
    pub turned_away: u64,
    /// Times that this gateway detected that its own process had been stopped or starved.
    pub late: u64,
    /// Own volumes that did not fit into the holding.
    pub cut: u64,
}
