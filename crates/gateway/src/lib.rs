//! The gateway on sockets.
//!
//! Fronts take NVMe over TCP from clients, links carry attempts to nodes, and one engine coroutine between them owns
//! the core. A front knows nothing of nodes, a link nothing of clients. No decision about a request is made here:
//! what happens is reported to the core as it was, *never sent*, *never ran* or *may have run*; in doubt the last.
//!
//! A slow or dead peer never blocks the engine: answers are written at once as far as the socket takes them, the rest
//! is kept up to a limit by a coroutine of its own, and beyond that the connection is closed.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod company;
mod connection;
mod drains;
mod engine;
mod entry;
mod following;
mod front;
mod gateway;
mod hand;
mod journal;
mod link;
mod mapping;
mod membership;
mod message;
mod options;
mod returning;
mod rights;
mod status;
mod together;
mod trial;

pub use company::CompanyOptions;
pub use gateway::{Gateway, GatewayError};
pub use mapping::{advice_index, told};
pub use membership::{MembershipOptions, ViewLine};
pub use options::{GatewayOptions, LinkOptions, NodeLine, NodeLineState};
pub use returning::ReturnOptions;
pub use status::{
    ControlAnswer, ControlRequest, ControlStatus, EndedStatus, FleetStatus, MemberStatus, NodeFactStatus,
    NodeStatus, RegionStatus, RepeatsStatus, RequestStatus, ShadowStatus, Status, VolumeStatus,
};
pub use together::TogetherOptions;
