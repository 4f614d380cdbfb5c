//! The settings object that a host receives when it starts, in the form of the simulator's first message.
//!
//! [`Profile`] is the deserialized object; [`Profile::check`] checks that a gateway can serve requests with it;
//! [`Profile::settings`] returns the settings of the decision module; [`Service`] holds those that the gateway
//! itself uses: names of classes and plans, and timeouts. The crate makes no decisions and holds no settings of
//! its own. Site files are read by the `settings` crate.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod profile;
mod service;

pub use profile::{Profile, ProfileError, Unservable};
pub use service::{ClassName, Service};
