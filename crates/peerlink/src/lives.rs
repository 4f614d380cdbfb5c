//! Storage of this gateway's life and the lives of its peers.

use std::path::{Path, PathBuf};

use filelog::ReplaceError;
use peer::{Life, Lives, Nonce};

/// Why a new life could not begin.
#[derive(Debug, thiserror::Error)]
pub enum LifeError {
    /// A file could not be read or replaced.
    #[error(transparent)]
    File(#[from] ReplaceError),
    /// The file is intact but has other contents.
    #[error("{0} is intact but not a record of lives; move it away to start without it")]
    Form(PathBuf),
}

/// The stored life of this gateway and those of its peers, in their own folder.
#[derive(Debug)]
pub(crate) struct LifeStore {
    life_path: PathBuf,
    lives_path: PathBuf,
    peer_lives: Lives,
}

impl LifeStore {
    /// Reads the stored lives and begins the next one, which is on disk when this returns.
    ///
    /// A damaged file is an error and is not treated as empty, which would reuse an incarnation.
    pub(crate) fn open_and_begin(folder: &Path) -> Result<(LifeStore, Life), LifeError> {
        let (life_path, lives_path) = (folder.join("life"), folder.join("lives"));
        let form = |path: &PathBuf| LifeError::Form(path.clone());
        let last: Option<Life> = match filelog::read(&life_path)? {
            Some(bytes) => Some(peer::wire::decode(&bytes).ok_or_else(|| form(&life_path))?),
            None => None,
        };
        let peer_lives = match filelog::read(&lives_path)? {
            Some(bytes) => peer::wire::decode(&bytes).ok_or_else(|| form(&lives_path))?,
            None => Lives::default(),
        };
        let store = LifeStore { life_path, lives_path, peer_lives };
        let next = store.begin_after(last)?;
        Ok((store, next))
    }

    /// Begins the life after `last` and stores it durably.
    pub(crate) fn begin_after(&self, last: Option<Life>) -> Result<Life, LifeError> {
        let next = Life::after(last, Nonce(rand::random()));
        filelog::replace(&self.life_path, &peer::wire::encode(&next))?;
        Ok(next)
    }

    /// The stored lives of peers.
    pub(crate) fn peer_lives(&self) -> &Lives {
        &self.peer_lives
    }

    /// Stores the lives seen of peers, if they changed.
    pub(crate) fn store_peer_lives(&mut self, lives: &Lives) -> Result<(), LifeError> {
        if *lives != self.peer_lives {
            filelog::replace(&self.lives_path, &peer::wire::encode(lives))?;
            self.peer_lives = lives.clone();
        }
        Ok(())
    }
}
