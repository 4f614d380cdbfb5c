//! Sockets under coroutines, as every front and link of the program uses them: the way out that never makes its user wait,
//! and the thread that keeps the time. It knows no protocol and decides nothing.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod outlet;
mod spill;
mod thread_times;
mod ticker;
mod wake;

pub use outlet::{Held, Outlet};
pub use thread_times::{ThreadTimes, Times};
pub use ticker::Ticker;
