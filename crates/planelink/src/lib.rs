//! The thin shell of `plane`: its sockets, its disks, and what is written down of it for those who check.
//!
//! - [`run_machine`]: a control machine. What its writer says is durable before it is said.
//! - [`run_hollow`]: many gateways' links, copies and stores in one process, without their data path: for scale tests.
//! - [`Follower`]: a gateway's link, copy and store, on a thread of its own.
//! - [`Proposer`]: asks a region's writer for changes.
//! - [`Store`]: a copy on a disk, as a base that is replaced whole and a tail that is appended to.
//!
//! Each process has one loop on one thread: non-blocking sockets, no thread for a link. A turn of it hears all that has come, gives
//! to the disk what is to be kept, writes down what came into force, and only then sends.
//!
//! What it is not: a judge of the state, or a part of the data path. A gateway whose follower fails serves on with what it has.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod connection;
mod copy_records;
mod error;
mod follower;
mod gateway;
mod hollow;
mod life;
mod machine;
mod net;
mod options;
mod proposer;
mod record_file;
mod status;
mod store;
mod written;

pub use error::RunError;
pub use follower::{FollowLook, FollowOptions, Followed, Follower};
pub use hollow::run_hollow;
pub use life::LifeError;
pub use machine::run_machine;
pub use options::{HollowRun, LinkOptions, MachineRun, Stuck, Tell};
pub use proposer::{MachineAddress, ProposeError, Proposer};
pub use store::{Store, StoreError};
