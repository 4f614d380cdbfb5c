//! The configuration of one gateway, read from the platform's JSON file.

use std::net::SocketAddr;
use std::path::Path;

use decisions::Settings;
use profile::{Profile, ProfileError, Service};
use serde::Deserialize;

use crate::endpoint::EndpointList;

/// Smallest usable number of file descriptors: eight clients, eight connections to nodes, and the gateway's
/// own needs (`ResourceLimits`).
const MIN_DESCRIPTORS: u64 = 32;
/// Smallest usable memory in MB: a gateway with little load takes 9 to 12 of them.
const MIN_MEMORY_MB: u64 = 16;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{file}: cannot read the file: {why}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// The I/O error.
        why: std::io::Error,
    },
    /// The value at a key is missing or invalid.
    #[error("{file}: key '{key}': {why}")]
    Key {
        /// Path of the file.
        file: String,
        /// Path of the key, such as `settings.classes[0].name`.
        key: String,
        /// What is wrong with the value.
        why: String,
    },
}

/// Resources that the platform grants this gateway.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct MachineLimits {
    /// Processor cores; may be a fraction.
    pub cores: f64,
    /// Memory in MB.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    #[serde(rename = "sockets")]
    pub descriptors: u64,
}

impl MachineLimits {
    /// Checks that a gateway can run within the limits; the error is the offending key and the reason.
    fn check(&self) -> Result<(), (&'static str, String)> {
        if !(self.cores.is_finite() && self.cores > 0.0) {
            return Err(("cores", format!("{} cores are too few; must be greater than 0", self.cores)));
        }
        if self.memory_mb < MIN_MEMORY_MB {
            let why = format!("{} MB are too few; at least {MIN_MEMORY_MB} are required", self.memory_mb);
            return Err(("memory_mb", why));
        }
        if self.descriptors < MIN_DESCRIPTORS {
            let why = format!(
                "{} descriptors are too few; at least {MIN_DESCRIPTORS} are required",
                self.descriptors
            );
            return Err(("sockets", why));
        }
        Ok(())
    }
}

#[derive(Deserialize)]
struct RawConfig {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: MachineLimits,
    #[serde(rename = "known")]
    remembered_nodes: EndpointList,
    #[serde(rename = "settings")]
    profile: Profile,
}

/// The configuration of one gateway.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the gateway.
    pub name: String,
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Resources that the platform grants.
    pub limits: MachineLimits,
    /// The node list that the gateway starts with, as it was last announced.
    pub remembered_nodes: EndpointList,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Settings that the gateway itself uses.
    pub gateway_settings: Service,
}

impl Config {
    /// Reads a configuration file.
    ///
    /// # Errors
    /// The file can't be read, or a key in it is missing or invalid.
    pub fn load(path: &Path) -> Result<Config, ConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read(path).map_err(|why| ConfigError::Unreadable { file: file.clone(), why })?;
        Config::parse(&file, &text)
    }

    /// Parses the text of a configuration file; `file` names it in errors.
    ///
    /// # Errors
    /// A key is missing or invalid.
    pub fn parse(file: &str, text: &[u8]) -> Result<Config, ConfigError> {
        let key_error =
            |key: &str, why: String| ConfigError::Key { file: file.to_owned(), key: key.to_owned(), why };
        let deserializer = &mut serde_json::Deserializer::from_slice(text);
        let raw: RawConfig = serde_path_to_error::deserialize(deserializer).map_err(|e| {
            let key = e.path().to_string();
            key_error(&key, e.into_inner().to_string())
        })?;
        let address = |key: &str, text: &str| {
            text.parse::<SocketAddr>()
                .map_err(|e| key_error(key, format!("'{text}' is not an address with a port: {e}")))
        };
        raw.profile.check().map_err(|e| key_error(&format!("settings.{}", e.key), e.why))?;
        let settings =
            raw.profile.settings().map_err(|e: ProfileError| key_error("settings", e.to_string()))?;
        raw.limits.check().map_err(|(key, why)| key_error(&format!("limits.{key}"), why))?;
        let discovery = address("discovery", &raw.discovery)?;
        if discovery.port() == 0 {
            return Err(key_error("discovery", format!("'{discovery}' has no usable port")));
        }
        let seed = u64::from_str_radix(&raw.seed, 16)
            .map_err(|e| key_error("seed", format!("'{}' is not a hexadecimal number: {e}", raw.seed)))?;
        Ok(Config {
            listen: address("listen", &raw.listen)?,
            discovery,
            name: raw.name,
            seed,
            limits: raw.limits,
            remembered_nodes: raw.remembered_nodes,
            gateway_settings: raw.profile.service(),
            settings,
        })
    }
}
