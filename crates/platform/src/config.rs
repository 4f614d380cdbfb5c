//! The configuration of one gateway, as the platform lays it down.

use std::net::SocketAddr;
use std::path::Path;

use decisions::Settings;
use profile::{Profile, ProfileError, Service};
use serde::Deserialize;

use crate::endpoint::EndpointList;

/// Descriptors with which a gateway serves at all: eight clients, eight connections to nodes, and what it needs itself
/// (`Sizes`).
const LEAST_SOCKETS: u64 = 32;
/// MB in which it runs at all: one that serves little takes 9 to 12 of them.
const LEAST_MEMORY: u64 = 16;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{file}: cannot be read: {why}")]
    Unreadable {
        /// The file.
        file: String,
        /// Why.
        why: std::io::Error,
    },
    /// It is not what is wanted at some key.
    #[error("{file}: key '{key}': {why}")]
    Key {
        /// The file.
        file: String,
        /// The key.
        key: String,
        /// Why.
        why: String,
    },
}

/// What this machine grants.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct MachineLimits {
    /// Part of a core.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: u64,
}

impl MachineLimits {
    /// Whether a gateway can run within them; else which key stands against it, and why.
    fn check(&self) -> Result<(), (&'static str, String)> {
        if !(self.cores.is_finite() && self.cores > 0.0) {
            return Err(("cores", format!("{} of a core does no work; more than 0 is wanted", self.cores)));
        }
        if self.memory_mb < LEAST_MEMORY {
            let why = format!("{} MB are too few to run in; {LEAST_MEMORY} are wanted", self.memory_mb);
            return Err(("memory_mb", why));
        }
        if self.sockets < LEAST_SOCKETS {
            let why =
                format!("{} descriptors are too few to serve with; {LEAST_SOCKETS} are wanted", self.sockets);
            return Err(("sockets", why));
        }
        Ok(())
    }
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: MachineLimits,
    known: EndpointList,
    settings: Profile,
}

/// The configuration of one gateway.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// What this machine grants.
    pub limits: MachineLimits,
    /// The nodes as this gateway had them last.
    pub known: EndpointList,
    /// What the module is told.
    pub settings: Settings,
    /// Names and figures beside it.
    pub service: Service,
}

impl Config {
    /// Reads a file.
    ///
    /// # Errors
    /// It cannot be read, or a key in it is missing or wrong.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read(path).map_err(|why| ConfigError::Unreadable { file: file.clone(), why })?;
        Config::parse(&file, &text)
    }

    /// Reads the text of a file; `file` names it in errors.
    ///
    /// # Errors
    /// A key in it is missing or wrong.
    pub fn parse(file: &str, text: &[u8]) -> Result<Config, ConfigError> {
        let wrong =
            |key: &str, why: String| ConfigError::Key { file: file.to_owned(), key: key.to_owned(), why };
        let read = &mut serde_json::Deserializer::from_slice(text);
        let raw: File = serde_path_to_error::deserialize(read).map_err(|e| {
            let key = e.path().to_string();
            wrong(&key, e.into_inner().to_string())
        })?;
        let address = |key: &str, text: &str| {
            text.parse::<SocketAddr>()
                .map_err(|e| wrong(key, format!("'{text}' is no address with a port: {e}")))
        };
        raw.settings.check().map_err(|e| wrong(&format!("settings.{}", e.key), e.why))?;
        let settings = raw.settings.settings().map_err(|e: ProfileError| wrong("settings", e.to_string()))?;
        raw.limits.check().map_err(|(key, why)| wrong(&format!("limits.{key}"), why))?;
        let discovery = address("discovery", &raw.discovery)?;
        if discovery.port() == 0 {
            return Err(wrong("discovery", format!("'{discovery}' has no port that could be called")));
        }
        let seed = u64::from_str_radix(&raw.seed, 16)
            .map_err(|e| wrong("seed", format!("'{}' is no hexadecimal number: {e}", raw.seed)))?;
        Ok(Config {
            listen: address("listen", &raw.listen)?,
            discovery,
            name: raw.name,
            seed,
            limits: raw.limits,
            known: raw.known,
            service: raw.settings.service(),
            settings,
        })
    }
}
