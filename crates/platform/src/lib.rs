//! The gateway that runs on the platform: HTTP/1.1 from clients and to storage nodes, node discovery by a
//! watch.
//!
//! The [`Machine`] is the whole gateway as a state machine without I/O: it takes bytes, connection events and
//! the time, and returns the socket operations to perform. Requests go through `dispatch` to the decision
//! module (`decisions`), which alone decides where, when and how often a request is attempted and whether it
//! is refused or failed; the machine reports to it what actually happened on the sockets. The [`Gateway`]
//! performs the machine's operations on coroutines. It is a separate program from the NVMe gateway and shares
//! with it the layers below both: `dispatch`, `transport` and `task`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acceptor;
mod admission;
mod arrivals;
mod client;
mod closing;
mod config;
mod connection;
mod departed_ids;
mod discovery;
mod endpoint;
mod engine;
mod gateway;
mod input_budget;
mod json_stream;
mod machine;
mod node_connections;
mod node_request;
mod outcome;
mod resource_limits;
mod socket;
mod stall;
mod unanswered;
mod watch;

pub use admission::{AdmittedRequest, Rejection, admit};
pub use config::{Config, ConfigError, MachineLimits};
pub use endpoint::{Endpoint, EndpointList, Zones};
pub use gateway::{Command, Gateway, GatewayError};
pub use json_stream::{ObjectSplitter, SplitError};
pub use machine::Machine;
pub use node_request::NodeRequest;
pub use outcome::{attempt_outcome, reported_load};
pub use resource_limits::ResourceLimits;
pub use socket::{ConnectionEnd, NonNodeSocket, Output, SocketId};
