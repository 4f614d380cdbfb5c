//! The files that keep lives.

use std::path::{Path, PathBuf};

use filelog::ReplaceError;
use peer::{Life, Lives, Nonce};

/// Why a life could not begin.
#[derive(Debug, thiserror::Error)]
pub enum LifeError {
    /// A file.
    #[error(transparent)]
    File(#[from] ReplaceError),
    /// It holds something else.
    #[error("{0} is whole but no record of lives; move it away to begin without it")]
    Form(PathBuf),
}

/// Own life and others', in a folder of their own.
#[derive(Debug)]
pub(crate) struct Keep {
    life: PathBuf,
    lives: PathBuf,
    seen: Lives,
}

impl Keep {
    /// Reads what was kept and begins the next life, which is on the disk when this returns.
    ///
    /// A damaged file is an error and not an empty one: a number that was used would be taken again.
    pub(crate) fn begin(folder: &Path) -> Result<(Keep, Life), LifeError> {
        let (life, lives) = (folder.join("life"), folder.join("lives"));
        let form = |path: &PathBuf| LifeError::Form(path.clone());
        let last: Option<Life> = match filelog::read(&life)? {
            Some(bytes) => Some(peer::wire::decode(&bytes).ok_or_else(|| form(&life))?),
            None => None,
        };
        let seen = match filelog::read(&lives)? {
            Some(bytes) => peer::wire::decode(&bytes).ok_or_else(|| form(&lives))?,
            None => Lives::default(),
        };
        let keep = Keep { life, lives, seen };
        let next = keep.after(last)?;
        Ok((keep, next))
    }

    /// Begins the life that follows another, durably.
    pub(crate) fn after(&self, last: Option<Life>) -> Result<Life, LifeError> {
        let next = Life::after(last, Nonce(rand::random()));
        filelog::replace(&self.life, &peer::wire::encode(&next))?;
        Ok(next)
    }

    /// Lives seen of others.
    pub(crate) fn seen(&self) -> &Lives {
        &self.seen
    }

    /// Keeps lives seen of others, if they are others than before.
    pub(crate) fn see(&mut self, lives: &Lives) -> Result<(), LifeError> {
        if *lives != self.seen {
            filelog::replace(&self.lives, &peer::wire::encode(lives))?;
            self.seen = lives.clone();
        }
        Ok(())
    }
}
