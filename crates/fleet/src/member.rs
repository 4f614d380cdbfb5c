//! The public description of a member.

use peer::{Life, PeerName};

use crate::Micros;
use crate::holding::Holding;

/// A member's state in one gateway's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// Named by the site file, but no life of it is known here. Never counted as up.
    Joining,
    /// Running by its own announcement, and suspected by nobody.
    Up,
    /// A gateway reached it neither directly nor through others. The member may still refute this.
    Suspected,
    /// It did not refute the suspicion in time, or this gateway hears nobody. This describes connections: the member may
    /// still be running.
    Unreachable,
    /// It announced that it is about to leave.
    Leaving,
    /// It left for good in that life, by its own announcement or an operator's. Only a later life can rejoin.
    Left,
}

/// Whether a member is present, for users that must act on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Presence {
    /// It is up as far as this view knows.
    Sure,
    /// It may be running and serving: suspected, unreachable, leaving or not heard of yet.
    Perhaps,
    /// It left, which is final for that life, or is not a member.
    Not,
}

impl Standing {
    /// The presence that follows from this standing.
    ///
    /// Treating silence as absence would let a user act in place of a gateway that is still active. The cost: if a member
    /// died without announcing it, whoever waits for [`Presence::Not`] waits for an operator.
    pub fn presence(self) -> Presence {
        match self {
            Standing::Up => Presence::Sure,
            Standing::Left => Presence::Not,
            Standing::Joining | Standing::Suspected | Standing::Unreachable | Standing::Leaving => {
                Presence::Perhaps
            }
        }
    }
}

/// One member of a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name, the same on all gateways.
    pub name: PeerName,
    /// Its zone, from the site file.
    pub zone: u32,
    /// The latest known life; `None` while it is joining.
    pub life: Option<Life>,
    /// Its state in this view.
    pub standing: Standing,
    /// When this standing began on this gateway, on its clock.
    pub since: Micros,
    /// Its own announcement of volumes and versions.
    pub holding: Holding,
}
