//! The list of storage nodes in discovery's JSON format.

use std::net::SocketAddr;

use decisions::{Micros, NodeState};
use dispatch::ListedNode;
use serde::Deserialize;
use serde_json::value::RawValue;

#[derive(Deserialize)]
struct RawList<'a> {
    revision: u64,
    complete: bool,
    #[serde(borrow)]
    members: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct RawMember {
    id: String,
    host_port: String,
    #[serde(default, rename = "locality")]
    zone: String,
    #[serde(rename = "cell")]
    shard: u32,
    phase: String,
    #[serde(default)]
    up_since_ms: i64,
}

/// A storage node in the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The node's id, the same at all gateways.
    pub id: String,
    /// The address at which this gateway reaches the node.
    pub address: SocketAddr,
    /// Name of the node's zone.
    pub zone: String,
    /// The shard that the node holds.
    pub shard: u32,
    /// Whether the node accepts work.
    pub state: NodeState,
    /// When the node last started, if that is recent; on the clock shared by all machines.
    pub started: Option<Micros>,
}

impl RawMember {
    fn into_endpoint(self) -> Option<Endpoint> {
        let state = match self.phase.as_str() {
            "in_service" => NodeState::On,
            "terminating" => NodeState::Draining,
            "terminated" => NodeState::Gone,
            _ => return None,
        };
        Some(Endpoint {
            address: self.host_port.parse().ok()?,
            id: self.id,
            zone: self.zone,
            shard: self.shard,
            state,
            started: (self.up_since_ms > 0).then(|| self.up_since_ms.saturating_mul(1000)),
        })
    }
}

/// A whole list, or changes to it.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct EndpointList {
    /// Revision of the list.
    pub revision: u64,
    /// Whether the list is complete: nodes that it omits are gone.
    pub is_complete: bool,
    /// The entries that could be parsed.
    pub members: Vec<Endpoint>,
    /// Number of entries that could not be parsed.
    pub malformed: usize,
}

impl EndpointList {
    /// Parses a list. An entry that can't be parsed is skipped and counted.
    ///
    /// A list without its unreadable entries, or an empty one, would remove nodes that exist if it were taken
    /// as complete, so it counts as changes only. The cost is that a node which is gone stays until the next
    /// complete list.
    ///
    /// # Errors
    /// The text is not a list.
    pub fn parse(text: &[u8]) -> Result<EndpointList, serde_json::Error> {
        let raw: RawList<'_> = serde_json::from_slice(text)?;
        let count = raw.members.len();
        let parse_member = |m: &RawValue| serde_json::from_str::<RawMember>(m.get()).ok()?.into_endpoint();
        let members: Vec<Endpoint> = raw.members.into_iter().filter_map(parse_member).collect();
        let malformed = count - members.len();
        let is_complete = raw.complete && malformed == 0 && !members.is_empty();
        Ok(EndpointList { revision: raw.revision, is_complete, members, malformed })
    }

    /// Converts the entries to the dispatcher's form and numbers zones that are new.
    pub fn to_listed_nodes(&self, zones: &mut Zones) -> Vec<ListedNode> {
        let listed_node = |e: &Endpoint| ListedNode {
            name: e.id.clone(),
            zone: zones.number_of(&e.zone),
            shard: e.shard,
            state: e.state,
            started: e.started,
        };
        self.members.iter().map(listed_node).collect()
    }
}

impl<'de> Deserialize<'de> for EndpointList {
    fn deserialize<D: serde::Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = <&RawValue>::deserialize(from)?;
        EndpointList::parse(text.get().as_bytes()).map_err(serde::de::Error::custom)
    }
}

/// Numbers of zones, in the order in which their names first appeared.
#[derive(Clone, Debug, Default)]
pub struct Zones(Vec<String>);

impl Zones {
    fn number_of(&mut self, name: &str) -> u32 {
        let at = self.0.iter().position(|n| n == name).unwrap_or_else(|| {
            self.0.push(name.to_owned());
            self.0.len() - 1
        });
        u32::try_from(at).unwrap_or(u32::MAX)
    }
}
