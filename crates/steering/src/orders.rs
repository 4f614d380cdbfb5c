//! What follows from the intents for the gateways.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::intents::{Intents, Revision};

/// Whether a node takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It does.
    On,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}

/// Where a node's state comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The node list.
    List,
    /// An operator.
    Operator,
}

/// A node, as listed or as ordered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Whether it takes work.
    pub state: State,
}

/// What the gateways are to follow. Sent whole, so that a gateway which missed any number of changes is right after one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The intents they follow from.
    pub revision: Revision,
    /// Nodes, with where their state comes from.
    pub nodes: Vec<(Listed, Source)>,
    /// Volumes of which nothing new is taken.
    pub held: BTreeSet<String>,
    /// Nothing new is taken at all.
    pub paused: bool,
}

/// The orders that follow from the node list and the intents. An operator's drain stands over a list that says *on*; a list that
/// says *gone* stands over everything, as nothing can be sent there.
pub fn orders(list: &[Listed], intents: &Intents) -> Orders {
    let node = |n: &Listed| match (n.state, intents.drained(&n.name)) {
        (State::On, Some(_)) => (Listed { name: n.name.clone(), state: State::Draining }, Source::Operator),
        _ => (n.clone(), Source::List),
    };
    Orders {
        revision: intents.revision(),
        nodes: list.iter().map(node).collect(),
        held: intents.holds().map(|(name, _)| name.to_owned()).collect(),
        paused: intents.paused().is_some(),
    }
}
