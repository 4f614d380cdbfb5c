//! What goes into a fleet's view and what comes out of it.

use std::sync::Arc;

use peer::{Life, PeerName};

use crate::holding::Holding;
use crate::sight::NodeSight;
use crate::view::View;

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A connection to a peer in this life is up.
    Linked(PeerName, Life),
    /// The connection has ended.
    Unlinked(PeerName),
    /// A peer's note of this package came.
    Heard {
        /// Who sent it.
        from: PeerName,
        /// In which life.
        life: Life,
        /// What it says.
        body: Vec<u8>,
    },
    /// What this gateway holds now: volumes it serves, versions of its cap and candidate map.
    Hold(Holding),
    /// What this gateway sees of a node. It stands until it is told otherwise.
    Saw(NodeSight),
    /// It goes on in another life.
    Renewed(Life),
    /// It is about to leave by its own will: leaving at once, left some periods later.
    Leave,
    /// An operator says that a member has left for good in this life.
    Left(PeerName, Life),
    /// Time has passed; wanted at [`crate::Fleet::next_due`]. If nothing at all comes in until more than a period later, the
    /// gateway takes itself for stopped or starved.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a note of [`crate::KIND`].
    Send {
        /// To whom.
        to: PeerName,
        /// What it says.
        body: Vec<u8>,
    },
    /// The view changed; the snapshot is immutable.
    Changed(Arc<View>),
    /// Something that a member said was turned away; for the log, once for each cause and member.
    TurnedAway {
        /// Who said it.
        from: PeerName,
        /// What was wrong.
        why: &'static str,
    },
}
