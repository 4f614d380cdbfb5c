//! Division of the machine's resources among the parts of a gateway.

use crate::machine::MESSAGE_LIMITS;

/// Resource limits of the parts of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Maximum number of client connections.
    pub clients: usize,
    /// Maximum number of connections to nodes.
    pub links: usize,
    /// Maximum size of one node response, in bytes.
    pub answer: usize,
    /// Maximum size of all incomplete node responses together, in bytes.
    pub answers: usize,
}

impl Sizes {
    /// Divides the file descriptors and the memory that the machine grants.
    ///
    /// Without a free descriptor nothing can be accepted, opened or read, and the gateway stalls while it is
    /// alive. Discovery, the listener, the runtime and logs are reserved first, then nodes and clients get
    /// half each. The cost is that one half may be unused while the other is short.
    pub fn of(sockets: u64, memory_mb: u64) -> Self {
        let sockets = usize::try_from(sockets).unwrap_or(usize::MAX);
        let reserve = (sockets / 16).clamp(16, 64);
        let half = sockets.saturating_sub(reserve) / 2;
        // A connection takes some 24 KiB with its coroutine; half of the memory is left for the data.
        let limit_by_memory =
            usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1024) / 2 / 24 / 2;
        let each = half.min(limit_by_memory).max(8);
        // The protocol's bodies hold 64 KiB, but nodes were seen to respond with 344 KB. A response rejected
        // here was computed in vain.
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20);
        Sizes {
            clients: each,
            links: each,
            answer: (memory / 32).max(MESSAGE_LIMITS.body),
            answers: memory / 4,
        }
    }
}
