//! Counters of requests and attempts.

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests accepted.
    pub accepted: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests withdrawn by their client.
    pub withdrawn: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts sent after a request's first: retries and hedges.
    pub retries: u64,
    /// Attempt ends reported after the dispatcher had stopped waiting for them.
    pub late: u64,
}
