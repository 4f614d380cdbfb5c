//! The snapshot that users of the view get.

use peer::PeerName;

use crate::Micros;
use crate::member::{Member, Presence, Standing};
use crate::sight::NodeFact;

/// What one gateway held of the fleet at one time. It never changes; a later one has a higher number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Rises by one with each change here; says nothing to others.
    pub number: u64,
    /// Equal at two gateways that hold the same: of what is agreed (names, lives, standings, members' own counters and
    /// holdings), not of times or of what only one sees.
    pub digest: u64,
    /// When it was made, on this gateway's clock.
    pub at: Micros,
    /// Whose view it is.
    pub own: PeerName,
    /// Members in the order of their names, this one included; those that left are forgotten after a time.
    pub members: Vec<Member>,
    /// Nodes in the order of their names.
    pub nodes: Vec<NodeFact>,
}

impl View {
    /// The member of that name.
    pub fn member(&self, name: &PeerName) -> Option<&Member> {
        self.members.binary_search_by(|m| m.name.cmp(name)).ok().map(|at| &self.members[at])
    }

    /// Whether it is there; who is no member, or left and is forgotten, is not.
    pub fn presence(&self, name: &PeerName) -> Presence {
        self.member(name).map_or(Presence::Not, |m| m.standing.presence())
    }

    /// Other members that serve this volume, or did by their last word, and have not left.
    pub fn sharing_volume(&self, nsid: u32) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(move |m| {
            m.name != self.own && m.standing != Standing::Left && m.holding.volumes.contains(&nsid)
        })
    }

    /// Members that are up, this one included.
    pub fn up(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.standing == Standing::Up)
    }
}
