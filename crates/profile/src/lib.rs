//! The settings object that a host is told at its start, in the form of the simulator's first message.
//!
//! [`Profile`] is what serde reads; [`Profile::check`] tells whether a gateway can serve by it; [`Profile::settings`] is
//! what the decision module is given; [`Service`] is what a gateway on sockets needs beside it: names of classes and plans,
//! and the figures of connections. It decides nothing
//! and holds no figure of its own. It is not a site file: those are `settings`'.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod profile;
mod service;

pub use profile::{Profile, ProfileError, Unservable};
pub use service::{ClassName, Service};
