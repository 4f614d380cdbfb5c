//! The folder of a day, read.

use std::path::{Path, PathBuf};

use records::{ClientLine, ReadError, ViewLine};

use crate::day::Day;
use crate::gather::Records;

/// Why a day could not be read.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// Its folder could not be read.
    #[error("cannot read {0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// Its terms are not terms.
    #[error("{0}: {1}")]
    Terms(PathBuf, serde_json::Error),
    /// Records.
    #[error(transparent)]
    Records(#[from] ReadError),
    /// The folder holds no client's records.
    #[error("{0} holds no clients-*.jsonl; is it the --out folder of a day?")]
    Empty(PathBuf),
}

impl Day {
    /// Reads the folder of a day: `terms.json`, `day.jsonl`, `clients-*.jsonl`, `node-*.jsonl`, and
    /// `view-*.jsonl` where gateways keep a view.
    ///
    /// # Errors
    /// What could not be read, by file and line.
    pub fn read(dir: &Path) -> Result<Day, DayError> {
        let path = dir.join("terms.json");
        let text = std::fs::read(&path).map_err(|e| DayError::Io(path.clone(), e))?;
        let terms = serde_json::from_slice(&text).map_err(|e| DayError::Terms(path, e))?;
        let entries = std::fs::read_dir(dir).map_err(|e| DayError::Io(dir.to_owned(), e))?;
        let mut files: Vec<PathBuf> = entries.filter_map(|e| e.ok().map(|e| e.path())).collect();
        files.sort();
        let named = |prefix: &str| {
            let named = move |p: &&PathBuf| {
                let name = p.file_name().and_then(|n| n.to_str()).unwrap_or_default();
                name.starts_with(prefix) && name.ends_with(".jsonl")
            };
            files.iter().filter(named).cloned().collect::<Vec<_>>()
        };
        let (clients, nodes) = (named("clients-"), named("node-"));
        if clients.is_empty() {
            return Err(DayError::Empty(dir.to_owned()));
        }
        let mut client_lines = Vec::new();
        for path in clients {
            let name = path.file_stem().and_then(|n| n.to_str()).unwrap_or_default();
            let name = name.trim_start_matches("clients-").to_owned();
            client_lines.push((name, records::read::<ClientLine>(&path)?));
        }
        let node_lines = nodes.iter().map(|p| records::read(p)).collect::<Result<_, _>>()?;
        let mut views = Vec::new();
        for path in named("view-") {
            views.extend(records::read::<ViewLine>(&path)?);
        }
        let day = dir.join("day.jsonl");
        let lines = if day.exists() { records::read(&day)? } else { Vec::new() };
        Ok(Day::gather(Records { terms, clients: client_lines, nodes: node_lines, lines, views }))
    }
}
