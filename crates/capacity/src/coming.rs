//! The size that the users are heading for.

/// Gateways.
pub const GATEWAYS: usize = 3_600;
/// Storage nodes.
pub const NODES: usize = 21_000;
/// Nodes that hold the same shard.
pub const SHARD_NODES: usize = 3;
/// Requests a second at one gateway.
pub const REQUESTS: u32 = 917;
/// Bytes a second that a gateway may send to others for control.
pub const CONTROL_BYTES: f64 = 10e3;

/// Gateways beside so many nodes, in the proportion that is coming: a node has the same load at every size.
pub fn gateways_beside(nodes: usize) -> usize {
    (nodes * GATEWAYS / NODES).max(1)
}
