//! Division of the granted resources among the parts of a gateway.

use std::fmt;

use crate::machine::MESSAGE_LIMITS;

/// Memory that the decision module uses for one record of each kind, at most.
const RECORD_BYTES: usize = 512;

/// Resource limits of the parts of a gateway.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Maximum number of client connections.
    pub client_connections: usize,
    /// Maximum number of connections to nodes.
    pub node_connections: usize,
    /// Maximum size of one node response, in bytes.
    pub max_response_bytes: usize,
    /// Maximum size of all incomplete node responses together, in bytes.
    pub max_buffered_response_bytes: usize,
    /// Maximum size of all requests that are arriving or open together, in bytes, besides the first 4 KiB of
    /// each.
    pub max_buffered_request_bytes: usize,
    /// Bytes of answers that wait for clients which do not read, beyond which requests are refused.
    pub max_unsent_bytes: usize,
    /// Maximum number of volumes, and of unserved requests, that the decision module remembers.
    pub max_records: usize,
}

impl ResourceLimits {
    /// Divides the file descriptors and the memory that the platform grants.
    ///
    /// Without a free descriptor nothing can be accepted, opened or read, and the gateway stalls while it is
    /// alive. Discovery, the listener, the runtime and logs are reserved first, then nodes and clients get
    /// half each. The cost is that one half may be unused while the other is short.
    pub fn from_machine(descriptors: u64, memory_mb: u64) -> Self {
        let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
        let reserve = (descriptors / 16).clamp(16, 64);
        let half = descriptors.saturating_sub(reserve) / 2;
        // A connection takes some 24 KiB with its coroutine; half of the memory is left for the data.
        let limit_by_memory =
            usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1024) / 2 / 24 / 2;
        let each = half.min(limit_by_memory).max(8);
        // The protocol's bodies hold 64 KiB, but nodes were seen to respond with 344 KB. A response rejected
        // here was computed in vain.
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20);
        ResourceLimits {
            client_connections: each,
            node_connections: each,
            max_response_bytes: (memory / 32).max(MESSAGE_LIMITS.body),
            max_buffered_response_bytes: memory / 6,
            max_unsent_bytes: memory / 10,
            max_records: memory / RECORD_BYTES / 50,
            max_buffered_request_bytes: (memory / 10).max(2 * MESSAGE_LIMITS.body),
        }
    }
}

/// Keeps the field names of the start-up log line: `clients` and `links` are the limits of client and node
/// connections, `answer` is the maximum size of a response, `answers` that of all incomplete responses.
impl fmt::Debug for ResourceLimits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sizes")
            .field("clients", &self.client_connections)
            .field("links", &self.node_connections)
            .field("answer", &self.max_response_bytes)
            .field("answers", &self.max_buffered_response_bytes)
            .finish()
    }
}
