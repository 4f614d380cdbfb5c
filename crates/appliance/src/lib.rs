//! A whole site on one machine.
//!
//! [`run`] supervises gateways and, where the site says so, stand-in nodes; keeps the operators' intents in a
//! [`Journal`]; and serves consoles on a Unix socket with a versioned protocol ([`wire`]). What intents mean and when
//! processes are started is decided in `steering`; requests are decided in the gateways by the decision module alone.
//!
//! The processes outlive their supervisor: killed, it loses nothing that another still owes, and started again it adopts
//! what runs. Each process holds a lock on its identity, so that there is never a second of one name.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod hub;
mod journal;
mod outbox;
mod processes;
mod site;
mod view;
pub mod wire;

pub use client::{Client, ClientError};
pub use journal::{Journal, JournalError};
pub use processes::{Identity, IdentityError};
pub use site::{ApplianceError, Paths, run};
pub use view::{Event, GatewayView, NodeView, SiteView, VolumeView};
