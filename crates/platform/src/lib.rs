//! The gateway on its users' platform: HTTP/1.1 from clients and to storage nodes, discovery by a watch.
//!
//! The [`Machine`] is the whole gateway without I/O: it takes what came over sockets and the time, and says what is to be
//! written, opened and closed. Requests go through `dispatch` to the decision module, which alone says where, when, how
//! often, refused or failed; the machine reports to it what truly happened on the sockets. The [`Gateway`] carries the
//! machine out on coroutines. It is not the NVMe gateway, and shares with it what lies beneath both: `dispatch`,
//! `transport`, `task`.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod arrivals;
mod ask;
mod client;
mod closing;
mod config;
mod discovery;
mod door;
mod endpoint;
mod gateway;
mod link;
mod machine;
mod objects;
mod outcome;
mod port;
mod sizes;
mod socket;
mod standstill;
mod unanswered;
mod watch;

pub use ask::{Ask, Rejection, admit};
pub use config::{Config, ConfigError, MachineLimits};
pub use endpoint::{Endpoint, EndpointList, Zones};
pub use gateway::{Gateway, GatewayError, Orders};
pub use machine::Machine;
pub use objects::{NoObject, Objects};
pub use outcome::{load_of, outcome_of};
pub use sizes::Sizes;
pub use socket::{End, Output, SocketId};
