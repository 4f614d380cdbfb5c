//! Small files that are replaced as a whole.

use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::log::{folder_of, settle_name};

/// Why a small file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum ReplaceError {
    /// The system turned it down.
    #[error("{what} {path}: {error}")]
    Io {
        /// What was tried.
        what: &'static str,
        /// The file.
        path: PathBuf,
        /// The system's word.
        error: io::Error,
    },
    /// The checksum in its first four bytes is not that of the rest.
    #[error(
        "{0} is damaged: its checksum does not match; restore it from a copy, or move it away to begin without it"
    )]
    Damaged(PathBuf),
}

pub(crate) fn sync_folder(folder: &Path) -> io::Result<()> {
    File::open(folder)?.sync_all()
}

/// Writes a file under another name, makes it durable and gives it its own.
pub(crate) fn write_new(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let beside = PathBuf::from(beside);
    let written = File::create(&beside).and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    });
    if let Err(error) = written {
        let _ = std::fs::remove_file(&beside);
        return Err(error);
    }
    std::fs::rename(&beside, path)?;
    settle_name(path)
}

/// Puts content in place of a file's, durably: on a cut either the old is there or the new.
///
/// # Errors
/// The system turned it down; the old content stands.
pub fn replace(path: &Path, content: &[u8]) -> Result<(), ReplaceError> {
    let failed = |what| move |error| ReplaceError::Io { what, path: path.to_owned(), error };
    std::fs::create_dir_all(folder_of(path)).map_err(failed("cannot make the folder of"))?;
    let mut bytes = crc32c::crc32c(content).to_le_bytes().to_vec();
    bytes.extend_from_slice(content);
    write_new(path, &bytes).map_err(failed("cannot replace"))
}

/// A file's content; none if there is no such file.
///
/// # Errors
/// It cannot be read, or is damaged.
pub fn read(path: &Path) -> Result<Option<Vec<u8>>, ReplaceError> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(ReplaceError::Io { what: "cannot read", path: path.to_owned(), error }),
    };
    let damaged = || ReplaceError::Damaged(path.to_owned());
    let (sum, content) = bytes.split_at_checked(4).ok_or_else(damaged)?;
    if sum != crc32c::crc32c(content).to_le_bytes() {
        return Err(damaged());
    }
    Ok(Some(content.to_vec()))
}
