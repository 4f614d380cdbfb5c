//! How much of its machine a gateway uses.

use crate::machine::LIMITS;

/// How much of the machine each part may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to nodes.
    pub links: usize,
    /// Bytes of one answer of a node.
    pub answer: usize,
    /// Bytes of all answers of nodes that are not whole.
    pub answers: usize,
}

impl Sizes {
    /// Deals the descriptors that the machine grants.
    ///
    /// Danger: without a descriptor nothing can be accepted, opened or read, and the gateway stands still while it lives.
    /// Discovery, the listener, the runtime and logs come first, then nodes and clients by halves. Harm: a part may stand
    /// unused while the other is short.
    pub fn of(sockets: u64, memory_mb: u64) -> Self {
        let sockets = usize::try_from(sockets).unwrap_or(usize::MAX);
        let reserve = (sockets / 16).clamp(16, 64);
        let half = sockets.saturating_sub(reserve) / 2;
        // A connection costs some 24 KiB with its coroutine; half of the memory is left for what they carry.
        let bearable = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1024) / 2 / 24 / 2;
        let each = half.min(bearable).max(8);
        // The protocol's bodies hold 64 KiB; nodes were seen to answer with 344 KB. What is refused here has run for nothing.
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20);
        Sizes { clients: each, links: each, answer: (memory / 32).max(LIMITS.body), answers: memory / 4 }
    }
}
