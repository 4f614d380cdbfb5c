//! Why a day could not be played to its end.

use std::path::PathBuf;

/// Why a day could not be played to its end.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// A file or folder.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// An option cannot be.
    #[error("{0}")]
    Option(String),
    /// There are no addresses for its machines.
    #[error(transparent)]
    Addresses(#[from] loopback::LeaseError),
    /// The site file that was written is not taken.
    #[error("the site file that was written for the day is not taken: {0}")]
    Site(String),
    /// A process could not be started.
    #[error("{0} could not be started: {1}")]
    Start(String, std::io::Error),
    /// A process ended that should not have.
    #[error("{name} ended by itself while {what}; its log is {log}")]
    Ended {
        /// The process.
        name: String,
        /// What was waited for.
        what: String,
        /// Its log.
        log: PathBuf,
    },
    /// A process that was asked to leave did not do so cleanly.
    #[error("{name} was asked to leave and {how}; its log is {log}")]
    Unclean {
        /// The process.
        name: String,
        /// What it did.
        how: String,
        /// Its log.
        log: PathBuf,
    },
    /// A condition did not come about.
    #[error("not within {within_s} s: {what}; last seen: {seen}")]
    Late {
        /// What was waited for.
        what: String,
        /// How long.
        within_s: u64,
        /// What was missing.
        seen: String,
    },
    /// Changes were not taken.
    #[error("the writer of region {region} did not take a change within {within_s} s: {why}")]
    Proposal {
        /// The region.
        region: u16,
        /// How long it was tried.
        within_s: u64,
        /// What the last try came to.
        why: String,
    },
    /// The records could not be read.
    #[error(transparent)]
    Records(#[from] planecheck::ReadError),
}
