//! The file that keeps a process's life.

use std::path::{Path, PathBuf};

use filelog::ReplaceError;
use peer::{Life, Nonce};

/// Why a life could not begin.
#[derive(Debug, thiserror::Error)]
pub enum LifeError {
    /// The file.
    #[error(transparent)]
    File(#[from] ReplaceError),
    /// It holds something else.
    #[error("{0} is whole but no record of a life; move it away to begin without it")]
    Form(PathBuf),
}

/// Begins the next life, which is on the disk when this returns: nothing is said in one that is not.
///
/// A damaged file is an error and not an empty one: a number that was used would be taken again.
pub(crate) fn begin(folder: &Path) -> Result<Life, LifeError> {
    let path = folder.join("life");
    let last: Option<Life> = match filelog::read(&path)? {
        Some(bytes) => Some(peer::wire::decode(&bytes).ok_or_else(|| LifeError::Form(path.clone()))?),
        None => None,
    };
    let next = Life::after(last, Nonce(rand::random()));
    filelog::replace(&path, &peer::wire::encode(&next))?;
    Ok(next)
}
