//! Sockets for coroutines, as used by all client and node connections: an outgoing buffer that never blocks
//! its user, and the thread that keeps time. This crate knows no protocol and decides nothing.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod outlet;
mod send_buffer;
mod thread_times;
mod ticker;
mod wake;

pub use outlet::{Outlet, SharedDescriptor};
pub use thread_times::{ThreadTimes, Times};
pub use ticker::Ticker;
