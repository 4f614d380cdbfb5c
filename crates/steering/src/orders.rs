//! Orders for the gateways, derived from the intents.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::intents::Intents;
use crate::model::Revision;

/// Whether a node accepts work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It accepts work.
    On,
    /// It completes its current work and accepts no more.
    Draining,
    /// It has left the site.
    Gone,
}

/// Origin of a node's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Source {
    /// The node list.
    List,
    /// An operator.
    Operator,
}

/// A node and its state, in the node list or in the orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Name of the node.
    pub name: String,
    /// Whether it accepts work.
    pub state: State,
}

/// Orders to the gateways. Each message holds all of them, so one message brings a gateway up to date, however many it
/// missed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// Revision of the intents that the orders derive from.
    pub revision: Revision,
    /// Nodes, with the origin of their state.
    pub nodes: Vec<(Listed, Source)>,
    /// Volumes on hold: new requests to them are refused.
    pub held: BTreeSet<String>,
    /// Whether all new requests are refused.
    pub paused: bool,
}

/// Derives the orders from the node list and the intents. An operator's drain overrides the state *on* of the node list; the
/// state *gone* of the list overrides everything, as nothing can be sent to such a node.
pub fn orders(list: &[Listed], intents: &Intents) -> Orders {
    let ordered = |listed: &Listed| match (listed.state, intents.drained(&listed.name)) {
        (State::On, Some(_)) => {
            (Listed { name: listed.name.clone(), state: State::Draining }, Source::Operator)
        }
        _ => (listed.clone(), Source::List),
    };
    Orders {
        revision: intents.revision(),
        nodes: list.iter().map(ordered).collect(),
        held: intents.holds().map(|(name, _)| name.to_owned()).collect(),
        paused: intents.paused().is_some(),
    }
}
