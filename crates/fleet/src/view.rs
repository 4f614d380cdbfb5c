//! The immutable membership snapshot.

use peer::PeerName;

use crate::Micros;
use crate::member::{Member, Presence, Standing};
use crate::node_observation::NodeFact;

/// One gateway's knowledge of the fleet at one time. Immutable; later snapshots have higher numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Incremented with each change. Only meaningful on this gateway.
    pub number: u64,
    /// Digest of the replicated part: names, lives, standings, members' counters and holdings. Equal on two gateways with the
    /// same state; times and local observations are not included.
    pub digest: u64,
    /// Time of the snapshot on this gateway's clock.
    pub at: Micros,
    /// The gateway that owns this view.
    pub own: PeerName,
    /// Members sorted by name, including this gateway. Members that left are omitted after some time.
    pub members: Vec<Member>,
    /// Nodes sorted by name.
    pub nodes: Vec<NodeFact>,
}

impl View {
    /// Returns the member with this name.
    pub fn member(&self, name: &PeerName) -> Option<&Member> {
        self.members.binary_search_by(|m| m.name.cmp(name)).ok().map(|at| &self.members[at])
    }

    /// Presence of a member; [`Presence::Not`] for unknown names and for members omitted because they left.
    pub fn presence(&self, name: &PeerName) -> Presence {
        self.member(name).map_or(Presence::Not, |m| m.standing.presence())
    }

    /// Other members that, by their last announcement, serve this volume and have not left.
    pub fn sharing_volume(&self, nsid: u32) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |m| {
            m.name != self.own && m.standing != Standing::Left && m.holding.volumes.contains(&nsid)
        })
    }

    /// Members that are up, including this gateway.
    pub fn up(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.standing == Standing::Up)
    }
}
