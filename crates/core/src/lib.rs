//! The gateway's core without I/O: operations on volumes become events of the decision module, its actions
//! become sends to nodes and final answers. Requests, attempts and timers are `dispatch`'s; operations on volumes are made of them
//! here.
//!
//! [`Core`] owns each request's one final answer. It decides nothing about requests: which node, when, how often,
//! refused or failed is the module's. It knows no socket and no protocol: fronts hand in an [`Operation`] and get an
//! [`Answer`] under the same [`Ticket`]; links carry out a [`Send`] and report how it [`Core::ended`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answers;
mod catalogue;
mod core;
mod effect;
mod operation;
mod views;
mod wanted;

pub use crate::catalogue::{Catalogue, CatalogueError, ClassRule, Part, Volume};
pub use crate::core::Core;
pub use crate::effect::{Effect, End, Send};
pub use crate::operation::{Answer, Opcode, Operation, Ticket};
pub use crate::views::{EndedView, OpenView, Tally, VolumeView};
pub use crate::wanted::Wanted;
pub use decisions::{ClientId, Shortage};
pub use dispatch::{AttemptId, ListedNode, Micros, NodeLook, NodeState, NodeView, Outcome};
