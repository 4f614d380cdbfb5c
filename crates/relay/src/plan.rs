//! A relay's file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::order::{Order, What, every};

/// Why a plan cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// It cannot be read.
    #[error("cannot read {0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// It is not one.
    #[error("{0}: {1}")]
    Form(PathBuf, toml::de::Error),
    /// Something in it does not fit.
    #[error("{0}: {1}")]
    Wrong(PathBuf, String),
}

/// A connection's place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Who connects.
    pub from: String,
    /// Whom it leads to.
    pub to: String,
    /// Where it listens; port 0 lets the system choose.
    #[serde(default = "anywhere")]
    pub listen: SocketAddr,
    /// Where it leads.
    pub target: SocketAddr,
}

fn anywhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// An order with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timed {
    /// Milliseconds since the relay came up.
    pub at_ms: u64,
    /// Who connects; `*` at the end stands for any rest.
    #[serde(default = "every")]
    pub from: String,
    /// Whom it leads to.
    #[serde(default = "every")]
    pub to: String,
    /// What is done.
    pub what: What,
}

impl Timed {
    pub(crate) fn order(&self) -> Order {
        Order::new(&self.from, &self.to, self.what.clone())
    }
}

/// All that a relay carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Where orders are taken; without it, from the plan only.
    pub control: Option<PathBuf>,
    /// Where it writes down what it did.
    pub records: Option<PathBuf>,
    /// For what it draws.
    #[serde(default)]
    pub seed: u64,
    /// Links.
    pub link: Vec<Link>,
    /// Orders by time.
    #[serde(default)]
    pub order: Vec<Timed>,
}

impl Plan {
    /// Reads a plan and checks it as a whole.
    ///
    /// # Errors
    /// The file, and the line or the key in it.
    pub fn load(path: &Path) -> Result<Plan, PlanError> {
        let text = std::fs::read_to_string(path).map_err(|e| PlanError::Io(path.to_owned(), e))?;
        let plan: Plan = toml::from_str(&text).map_err(|e| PlanError::Form(path.to_owned(), e))?;
        plan.check().map_err(|what| PlanError::Wrong(path.to_owned(), what))?;
        Ok(plan)
    }

    fn check(&self) -> Result<(), String> {
        if self.link.is_empty() {
            return Err("link: there is none; a relay without links carries nothing".into());
        }
        for (n, link) in self.link.iter().enumerate() {
            let again = |other: &Link| other.from == link.from && other.to == link.to;
            if self.link[..n].iter().any(again) {
                return Err(format!("link: from '{}' to '{}' stands there twice", link.from, link.to));
            }
            // Danger: the rig belongs to one machine; nothing it carries may leave it.
            if !link.target.ip().is_loopback() || !link.listen.ip().is_loopback() {
                return Err(format!("link: from '{}' to '{}' is not on the loopback", link.from, link.to));
            }
        }
        for timed in &self.order {
            let order = timed.order();
            if !self.link.iter().any(|l| order.meets(&l.from, &l.to)) {
                return Err(format!("order: no link from '{}' to '{}'", timed.from, timed.to));
            }
        }
        Ok(())
    }
}
