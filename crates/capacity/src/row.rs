//! One question, its points, and how it is asked.

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

/// Whose cost it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A gateway, for its clients' requests.
    GatewayData,
    /// A gateway, for control.
    GatewayControl,
    /// A storage node, as far as gateways load it.
    Node,
    /// A control machine.
    Control,
    /// The supervisor or the console of a site.
    Site,
}

/// What was measured: a cost (y) at several sizes (x).
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// A short name, in words joined by '_'; unique.
    pub name: &'static str,
    /// Whose cost it is.
    pub role: Role,
    /// What x counts, as "nodes in the list".
    pub of: &'static str,
    /// What y is and its unit, as "resident memory, bytes".
    pub cost: &'static str,
    /// Size and cost, smallest first: at least four, the largest at least 16 times the smallest.
    pub points: Vec<(f64, f64)>,
    /// x at the size that is coming.
    pub at: f64,
    /// What y may be there, if the budget says.
    pub budget: Option<f64>,
    /// How it was taken, with what stands in for what.
    pub how: String,
}

/// How measurements are asked for.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The program, for measurements that start processes.
    pub program: PathBuf,
    /// A folder of its own for files and sockets.
    pub folder: PathBuf,
    /// Takes the smaller half of the sizes only, for a look; what it gives is no slope.
    pub look: bool,
    /// For everything that is drawn.
    pub seed: u64,
}

/// Why a measurement came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The system turned something down.
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    /// A process did not do what is measured.
    #[error("{0}")]
    Failed(String),
}

/// A measurement: plays its question at all its sizes.
pub type Measure = fn(&Ask) -> Result<Vec<Row>, MeasureError>;
