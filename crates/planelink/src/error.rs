//! Why a process could not start or go on.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use plane::Refusal;

use crate::life::LifeError;
use crate::store::StoreError;

/// Why a process of the plane could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The address for others.
    #[error("cannot listen for the control plane on {0}: {1}; is the port taken?")]
    Listen(SocketAddr, io::Error),
    /// The system's means to wait for sockets.
    #[error("the loop of sockets cannot go on: {0}")]
    Loop(io::Error),
    /// Its life.
    #[error(transparent)]
    Life(#[from] LifeError),
    /// Its store.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// What its store holds does not follow from one another.
    #[error(
        "what {folder} holds of the control plane's state cannot be: {why}; move `base` and `tail` there away to begin without them"
    )]
    Restore {
        /// The store's folder.
        folder: PathBuf,
        /// What is wrong.
        why: Refusal,
    },
    /// What is written down for those who check. Danger: a record that is lost would hide a breach, so the process ends.
    #[error("cannot write down what happened in {path}: {error}")]
    Records {
        /// The file.
        path: PathBuf,
        /// The system's word.
        error: io::Error,
    },
    /// Threads.
    #[error("no thread for the control plane: {0}")]
    Thread(io::Error),
}
