//! The laboratory: plays scripted days through real gateway and node processes on loopback, shows a demonstration in
//! one process, maps a bench day's troubles to a scripted one, and measures the path.
//!
//! Nodes are stand-ins; nothing here is on the way of a request in service.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bench;
mod between;
mod change;
mod cut_down;
mod day;
mod demo;
mod director;
mod feed;
mod ground;
mod net;
mod process;
mod random;
mod replay;
mod shrink;
mod soak;
mod timeline;
mod weather;

pub use bench::{BenchOptions, BenchPoint, BenchRow, bench_path, median, point};
pub use cut_down::{CutDown, cut_down};
pub use day::{Played, play};
pub use demo::{Demo, DemoReady, demo_site};
pub use load::Summary;
pub use process::{NodeRequest, Ready};
pub use random::{Draw, draw_day};
pub use replay::{Mapped, map_day};
pub use soak::{Soak, soak_site};

use std::io;
use std::path::PathBuf;

/// Why a day could not be played.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A file or folder.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// A process did not come up.
    #[error("{0} did not come up: {1}")]
    NotUp(String, String),
    /// A stand-in node.
    #[error(transparent)]
    Node(#[from] emulator::NodeError),
    /// A file has problems.
    #[error(transparent)]
    Site(#[from] settings::LoadError),
    /// Nothing to play.
    #[error("{0} has no [day] with clients; a site alone cannot be played")]
    NoDay(PathBuf),
    /// Records could not be read back.
    #[error(transparent)]
    Judge(#[from] judge::DayError),
    /// A gateway.
    #[error(transparent)]
    Gateway(#[from] gateway::GatewayError),
    /// A catalogue.
    #[error(transparent)]
    Catalogue(#[from] storage_core::CatalogueError),
    /// A client.
    #[error(transparent)]
    Host(#[from] load::HostError),
    /// The relay between a day's processes.
    #[error("the relay did not carry an order out: {0}")]
    Relay(String),
    /// A bench day that is not one.
    #[error("{0} is not a bench day: {1}")]
    BenchDay(PathBuf, String),
}
