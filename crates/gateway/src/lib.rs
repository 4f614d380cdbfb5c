//! The storage gateway on sockets.
//!
//! The front end accepts NVMe over TCP from clients, node connections carry attempts to nodes, and a single
//! engine coroutine between them owns the core. The front end knows nothing of nodes, a node connection
//! nothing of clients. No decision about a request is made here: outcomes are reported to the core as *never
//! sent*, *never ran* or *may have run*; in doubt as the last.
//!
//! A slow or dead peer never blocks the engine: answers are written immediately as far as the socket accepts
//! them, the rest is buffered up to a limit and written by a separate coroutine, and beyond that limit the
//! connection is closed.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod completion;
mod connection;
mod control_plane;
mod coordination;
mod drains;
mod engine;
mod front_end;
mod gateway;
mod journal_writer;
mod membership;
mod message;
mod node_connection;
mod opcode;
mod options;
mod peer_network;
mod recovery_driver;
mod registration;
mod retry_cap;
mod shadow_trial;
mod status;
mod write_journal;

pub use completion::{completion_of, retry_delay_index};
pub use coordination::CoordinationOptions;
pub use gateway::{Gateway, GatewayError};
pub use membership::{MembershipOptions, ViewLine};
pub use options::{GatewayOptions, NodeConnectionOptions, NodeLine, NodeLineState, RecoveryDriverOptions};
pub use peer_network::PeerNetworkOptions;
pub use status::{
    ControlAnswer, ControlPlaneStatus, ControlRequest, EndedStatus, FleetNodeStatus, FleetStatus,
    MemberStatus, NodeStatus, RegionStatus, RequestStatus, RetryCapStatus, ShadowStatus, Status,
    VolumeStatus,
};
