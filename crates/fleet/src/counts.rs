//! What a view has cost and how often it changed.

/// Counts since the start of this life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Notes sent.
    pub notes_out: u64,
    /// Bytes of their bodies.
    pub bytes_out: u64,
    /// Notes that came.
    pub notes_in: u64,
    /// Bytes of their bodies.
    pub bytes_in: u64,
    /// Snapshots published.
    pub changes: u64,
    /// Changes of a member's standing in this view.
    pub standings: u64,
    /// Suspicions of this gateway that it refuted.
    pub refutations: u64,
    /// Suspicions that this gateway raised.
    pub suspicions: u64,
    /// Notes and words in them that were turned away.
    pub turned_away: u64,
    /// Times that this gateway found that it had itself been stopped or starved.
    pub late: u64,
    /// Volumes of its own that did not fit into its holding.
    pub cut: u64,
}
