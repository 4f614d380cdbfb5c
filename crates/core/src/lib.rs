//! The gateway's core, without I/O: splits operations on volumes into requests of the `dispatch` package, and
//! turns the results into attempts to send and final answers. `dispatch` holds the requests, attempts and
//! timers.
//!
//! [`Core`] gives each operation exactly one final answer. It makes no decisions about requests: the
//! scheduler chooses nodes, send times and the number of attempts, and decides whether a request is refused
//! or failed. It knows no sockets and no protocols: a protocol front end submits an [`Operation`] and gets an
//! [`Answer`] under the same [`OperationId`]; connections to nodes ask for each [`OutgoingAttempt`] once more
//! when they can [write](Core::begin_write) it, and report how it [ended](Core::attempt_ended).

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answers;
mod catalogue;
mod core;
mod effect;
mod operation;
mod retry_demand;
mod views;
mod write;

pub use crate::catalogue::{Catalogue, CatalogueError, ClassRule, Part, Volume};
pub use crate::core::Core;
pub use crate::effect::{AttemptEnd, Effect, OutgoingAttempt, PermittedAttempt};
pub use crate::operation::{Action, Answer, InvalidOperation, Opcode, Operation, OperationId};
pub use crate::retry_demand::RetryDemand;
pub use crate::views::{OpenOperationView, OperationCounts, UnservedView, VolumeView};
pub use decisions::{ClientId, TokenShortage};
pub use dispatch::{AttemptId, ListedNode, Micros, NodeSnapshot, NodeState, NodeView, Outcome};
