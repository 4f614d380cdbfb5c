//! What a gateway holds of the fleet, as it says itself.

use serde::{Deserialize, Serialize};

use crate::Micros;

/// A line of a gateway's file of views, written at each change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewLine {
    /// When.
    pub t: Micros,
    /// The gateway.
    pub gateway: String,
    /// Its life; compared, and not looked into.
    pub life: serde_json::Value,
    /// Number of the view in that life.
    pub number: u64,
    /// Equal at two gateways that hold the same; compared, and not looked into.
    pub digest: serde_json::Value,
    /// Each member: name, life, standing in lower case.
    pub members: Vec<(String, serde_json::Value, String)>,
}
