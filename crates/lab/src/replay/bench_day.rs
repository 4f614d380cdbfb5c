//! The parts of a bench day's file that are looked at.

use serde::Deserialize;

#[derive(Deserialize)]
pub(super) struct BenchDay {
    pub(super) site: String,
    pub(super) length: f64,
    pub(super) traffic: BenchTraffic,
    #[serde(default)]
    pub(super) servers: Vec<BenchServer>,
    #[serde(default)]
    pub(super) balancers: Vec<serde_json::Value>,
    pub(super) classes: Vec<BenchClass>,
    pub(super) fam: BenchFamily,
    #[serde(default)]
    pub(super) troubles: Vec<BenchTrouble>,
    pub(super) discovery: BenchDiscovery,
    pub(super) drain_grace: f64,
    pub(super) fall_multiple: f64,
    pub(super) fall_for: f64,
    pub(super) budget: Option<BenchBudget>,
    #[serde(default)]
    pub(super) order_settle: Option<f64>,
    pub(super) noise: u64,
}

#[derive(Deserialize)]
pub(super) struct BenchTraffic {
    pub(super) load: f64,
}

#[derive(Deserialize)]
pub(super) struct BenchServer {
    pub(super) speed: f64,
}

#[derive(Deserialize)]
pub(super) struct BenchClass {
    pub(super) name: String,
    pub(super) share: f64,
    pub(super) aim: f64,
    pub(super) deadline: f64,
    pub(super) worth: f64,
    pub(super) late_worth: f64,
    pub(super) effect: String,
    #[serde(default)]
    pub(super) window: f64,
    pub(super) write: bool,
    #[serde(default)]
    pub(super) in_order: bool,
}

#[derive(Deserialize)]
pub(super) struct BenchFamily {
    pub(super) mean_units: f64,
    pub(super) most_units: f64,
    pub(super) plans: Vec<BenchPlan>,
}

#[derive(Deserialize)]
pub(super) struct BenchPlan {
    pub(super) limit: f64,
    pub(super) limit_burst: f64,
    pub(super) price: f64,
    pub(super) rate: f64,
    pub(super) reserve: f64,
    pub(super) slack: f64,
    pub(super) weight: f64,
}

#[derive(Deserialize)]
pub(super) struct BenchDiscovery {
    #[serde(default)]
    pub(super) notice: f64,
}

#[derive(Deserialize)]
pub(super) struct BenchBudget {
    pub(super) share: f64,
    pub(super) free: f64,
    pub(super) window: f64,
}

#[derive(Deserialize)]
pub(super) struct BenchTrouble {
    pub(super) kind: String,
    pub(super) at: f64,
    pub(super) len: f64,
    pub(super) size: f64,
    pub(super) extra: f64,
    #[serde(default)]
    pub(super) on: Vec<usize>,
    #[serde(default)]
    pub(super) which: usize,
    #[serde(default)]
    pub(super) steps: Vec<BenchStep>,
}

#[derive(Deserialize)]
pub(super) struct BenchStep {
    pub(super) at: f64,
    pub(super) stop: Vec<usize>,
}
