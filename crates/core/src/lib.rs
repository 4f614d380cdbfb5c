//! The gateway's core, without I/O: splits operations on volumes into requests of the `dispatch` package, and
//! turns the results into attempts to send and final answers. `dispatch` holds the requests, attempts and
//! timers.
//!
//! [`Core`] gives each operation exactly one final answer. It makes no decisions about requests: the
//! scheduler chooses nodes, send times and the number of attempts, and decides whether a request is refused
//! or failed. It knows no sockets and no protocols: a protocol front end submits an [`Operation`] and gets an
//! [`Answer`] under the same [`Ticket`]; connections to nodes carry out a [`Send`] and report how it
//! [ended](Core::ended).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answers;
mod catalogue;
mod core;
mod effect;
mod operation;
mod retry_demand;
mod views;

pub use crate::catalogue::{Catalogue, CatalogueError, ClassRule, Part, Volume};
pub use crate::core::Core;
pub use crate::effect::{Effect, End, Send};
pub use crate::operation::{Answer, Opcode, Operation, Ticket};
pub use crate::retry_demand::Wanted;
pub use crate::views::{EndedView, OpenView, Tally, VolumeView};
pub use decisions::{ClientId, Shortage};
pub use dispatch::{AttemptId, ListedNode, Micros, NodeLook, NodeState, NodeView, Outcome};
