//! How often a gateway hears of one node: calculated from settings.

use crate::coming::{NODES, REQUESTS};
use crate::{Ask, MeasureError, Role, Row};

const SIZES: [usize; 5] = [30, 300, 2_100, 8_400, 21_000];

/// Aims between two samples: below one sample in an aim the law's L is of another time than the one it decides for.
pub(super) fn measure(ask: &Ask) -> Result<Vec<Row>, MeasureError> {
    let row = |name, aim: f64| {
        let between = |nodes: usize| nodes as f64 / (f64::from(REQUESTS) * aim);
        Row {
            name,
            role: Role::GatewayData,
            of: "nodes listed",
            cost: "aims between two samples of one (host, node) pair",
            points: super::timing::sizes(&SIZES, ask.look).iter().map(|n| (*n as f64, between(*n))).collect(),
            at: NODES as f64,
            budget: Some(1.0),
            how: format!(
                "Calculated, not measured: {REQUESTS} requests a second at a gateway, even over all nodes, one answer each; an aim of \
                 {aim} s. Samples in an aim are the inverse; at {NODES} nodes {:.4}. Less than one in an aim breaks the budget.",
                1.0 / between(NODES)
            ),
        }
    };
    // The law smooths over 1 s, whatever the aim.
    Ok(vec![row("law_samples_aim_200_ms", 0.2), row("law_samples_aim_1_s", 1.0)])
}
