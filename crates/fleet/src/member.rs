//! A member as its users see it.

use peer::{Life, PeerName};

use crate::Micros;
use crate::holding::Holding;

/// Where a member stands in one gateway's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// The site file names it and nobody here has heard of a life of it. Never counted as up.
    Joining,
    /// It is there by its own word, and nobody doubts that.
    Up,
    /// Somebody reached it neither itself nor through others; it may refute that.
    Suspected,
    /// It has not refuted in time, or this gateway hears nobody. A fact about links: it may well be running.
    Unreachable,
    /// It is about to leave, by its own word.
    Leaving,
    /// It has left for good in that life, by its own word or an operator's. Only a later life brings it back.
    Left,
}

/// Whether a member is there, for those who must act on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Presence {
    /// It is up, as far as anybody knows.
    Sure,
    /// It may be running and serving: suspected, unreachable, leaving or not heard of yet.
    Perhaps,
    /// It has left by a word that is not taken back in that life, or is no member.
    Not,
}

impl Standing {
    /// What the standing says of the member's presence.
    ///
    /// Danger: to take silence for absence would let a user act in place of a gateway that still acts.
    /// Harm: whoever waits for [`Presence::Not`] waits for an operator if a member died without a word.
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
    /// Its name, the same at all.
    pub name: PeerName,
    /// Its zone, from the site file.
    pub zone: u32,
    /// The latest life known; none while it is joining.
    pub life: Option<Life>,
    /// Where it stands.
    pub standing: Standing,
    /// When it came to stand so here, or began this life, on this gateway's clock.
    pub since: Micros,
    /// What it holds, in its own words.
    pub holding: Holding,
}
