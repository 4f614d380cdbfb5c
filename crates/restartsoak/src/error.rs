//! Why a soak could not be played.

use std::io;
use std::path::PathBuf;

/// Why a soak could not be played. Breaches of a rule are no errors; see [`crate::check`].
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// No addresses for the stand-ins.
    #[error(transparent)]
    Address(#[from] loopback::LeaseError),
    /// A listener of a stand-in.
    #[error("a stand-in cannot listen: {0}")]
    Listen(io::Error),
    /// A file or folder.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: PathBuf,
        /// The system's word.
        error: io::Error,
    },
    /// The gateway's process could not be started or signalled.
    #[error("{program}: {error}")]
    Process {
        /// The program.
        program: PathBuf,
        /// The system's word.
        error: io::Error,
    },
}
