//! What a fleet may cost in sum.

use crate::{Scenario, Tally};

/// Bounds on a fleet's sums, each against what it is there for.
///
/// They are wide: a fleet that keeps them may still be better. What breaks them is a mistake that one gateway does not show.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Connections asked of nodes, those that never came up included, for each request.
    pub connects: f64,
    /// The part of the connections to nodes that came up and carried nothing.
    pub unused: f64,
    /// Attempts after a request's first, for each request.
    pub further: f64,
    /// Calls for the list, for each gateway.
    pub list_calls: f64,
    /// The part of all gateways that may call for the list within a tenth of a second, starts left out.
    pub at_once: f64,
    /// Refusals after more than half of a client's time with nothing sent, for each request.
    pub held_back: f64,
    /// Entries in one gateway's tables, for each node and each of its own clients' connections.
    pub held: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            connects: 0.5,
            unused: 0.3,
            further: 0.02,
            list_calls: 8.0,
            at_once: 0.75,
            held_back: 0.002,
            held: 12.0,
        }
    }
}

impl Bounds {
    /// Which of them a run broke, in words, with its figures. `starts`: gateways started in all.
    pub fn broken(&self, s: &Scenario, t: &Tally) -> Vec<String> {
        let (asked, gateways) = (t.asked.max(1) as f64, s.gateways as f64);
        let starts = t.starts.max(1) as f64;
        let mut broken = Vec::new();
        let mut hold = |what: &str, is: f64, most: f64| {
            if is > most {
                broken.push(format!("{what}: {is:.4}, at most {most:.4}"));
            }
        };
        hold("requests without an answer", t.unanswered as f64, 0.0);
        hold("requests cut off by gateways that live", t.cut as f64, t.killed_open as f64);
        hold("writes that took effect twice", t.doubled as f64, 0.0);
        hold("cold nodes that fell over", t.fallen as f64, 0.0);
        hold("connections for each request", t.connects as f64 / asked, self.connects);
        let unused = t.came_up - t.used;
        hold("part of the connections unused", unused as f64 / t.came_up.max(1) as f64, self.unused);
        hold("further attempts for each request", t.further as f64 / asked, self.further);
        hold("calls for the list for each start", t.list_calls as f64 / starts, self.list_calls);
        hold("part of all gateways calling at once", t.most_again as f64 / gateways, self.at_once);
        hold("held back for each request", t.held_back as f64 / asked, self.held_back);
        hold("entries of a gateway for each node", t.most_held as f64 / s.nodes as f64, self.held);
        broken
    }
}
