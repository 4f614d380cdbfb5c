//! What is counted: cells that only grow, each under a key that says what and where.

use serde::{Deserialize, Serialize};

use crate::slice::Places;

/// Why a read of the slice was not tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// It goes over several extents.
    Across,
    /// Its extent lies on the same shard, or this node, in both maps: a node compared with itself proves nothing.
    SamePlace,
    /// A difference could not be judged: this gateway or a peer has just started, or a peer has said no word of late.
    Unjudged,
    /// Requests were held here.
    Busy,
    /// The candidate's shard has no node that may be tried.
    NoNode,
    /// So many tries are out already.
    Out,
    /// The node has had its share of sends.
    Rate,
}

/// Why a difference is neither raced nor different.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Doubt {
    /// The first one of its extent in a quiet interval: a later one confirms it.
    First,
    /// What this gateway remembers of its own writes does not reach so far, or it has just started.
    OwnWrites,
    /// A peer had said nothing in its present life before the read began.
    NoWordBefore,
    /// A peer did not say its word in time.
    NoWordAfter,
    /// A peer goes on in another life.
    OtherLife,
    /// A peer cannot say what it wrote.
    PeerCannotSay,
    /// So many differences wait already.
    NoRoom,
}

/// How a try ended that brought nothing to compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lost {
    /// The node answered with an error.
    Failed,
    /// Nothing came within the patience.
    TimedOut,
    /// It was not sent.
    NotSent,
}

/// What a write of the slice would have met, on paper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Paper {
    /// The same shard as now.
    SamePlace,
    /// Another shard, and a node of it is there.
    There,
    /// Another shard, of which no node may be tried now: cold, drained, suspected, full or away.
    NoNode,
}

pub(crate) const WHYS: [Why; 7] =
    [Why::Across, Why::SamePlace, Why::Unjudged, Why::Busy, Why::NoNode, Why::Out, Why::Rate];
pub(crate) const DOUBTS: [Doubt; 7] = [
    Doubt::First,
    Doubt::OwnWrites,
    Doubt::NoWordBefore,
    Doubt::NoWordAfter,
    Doubt::OtherLife,
    Doubt::PeerCannotSay,
    Doubt::NoRoom,
];
pub(crate) const LOSTS: [Lost; 3] = [Lost::Failed, Lost::TimedOut, Lost::NotSent];
pub(crate) const PAPERS: [Paper; 3] = [Paper::SamePlace, Paper::There, Paper::NoNode];

/// What a compared read came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Came {
    Same,
    Different,
    Raced,
    Unknown,
    /// Of the unknown ones, the first in a quiet interval.
    First,
}

/// Which node answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Way {
    Current,
    Candidate,
}

/// What a cell counts. In a note: what, of which volume or shard, which extent, cause or bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Key(u8, u32, u64);

impl Key {
    /// Of a cell with this value; nothing for 0.
    pub(crate) fn hash(self, value: u64) -> u64 {
        if value == 0 {
            return 0;
        }
        let words = [u64::from(self.0) << 32 | u64::from(self.1), self.2, value];
        words.iter().fold(0, |hash: u64, word| {
            let mixed = (hash ^ word).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            mixed ^ mixed >> 29
        })
    }
}

/// A key that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cell {
    Came(Came, u32, u64),
    NotTried(u32, Why),
    Doubt(u32, Doubt),
    Sent(u32),
    Lost(u32, Lost),
    Paper(u32, Paper),
    /// A latency of so many microseconds, as the histogram rounds it.
    Took(u32, Way, u64),
    /// Ends of tries that were not out: told twice, or too late.
    Strange,
}

const CAME: [Came; 5] = [Came::Same, Came::Different, Came::Raced, Came::Unknown, Came::First];

/// The longest latency that is told apart, in microseconds.
pub(crate) const LONGEST: u64 = 60_000_000;

impl Cell {
    pub(crate) fn key(self) -> Key {
        match self {
            Cell::Came(came, nsid, extent) => Key(came as u8, nsid, extent),
            Cell::NotTried(shard, why) => Key(16, shard, why as u64),
            Cell::Doubt(shard, doubt) => Key(17, shard, doubt as u64),
            Cell::Sent(shard) => Key(18, shard, 0),
            Cell::Lost(shard, lost) => Key(19, shard, lost as u64),
            Cell::Paper(shard, paper) => Key(20, shard, paper as u64),
            Cell::Strange => Key(21, 0, 0),
            Cell::Took(shard, way, bucket) => Key(32 + way as u8, shard, bucket),
        }
    }

    /// What a key means; none if this version does not know it, or if it speaks of nothing that is tried here.
    ///
    /// Danger: a peer that makes keys up would fill the memory. Harm: what a later version adds is not passed on.
    pub(crate) fn of(key: Key, places: &Places) -> Option<Cell> {
        fn named<T: Copy>(all: &[T], at: u64) -> Option<T> {
            all.get(usize::try_from(at).ok()?).copied()
        }
        let Key(what, of, at) = key;
        let cell = match what {
            0..=4 => places.place(of, at).and(Some(Cell::Came(CAME[usize::from(what)], of, at)))?,
            16 => Cell::NotTried(of, named(&WHYS, at)?),
            17 => Cell::Doubt(of, named(&DOUBTS, at)?),
            18 => Cell::Sent(of),
            19 => Cell::Lost(of, named(&LOSTS, at)?),
            20 => Cell::Paper(of, named(&PAPERS, at)?),
            21 => Cell::Strange,
            32 => Cell::Took(of, Way::Current, at),
            33 => Cell::Took(of, Way::Candidate, at),
            _ => return None,
        };
        let is_known = match cell {
            Cell::Took(shard, _, at) => at <= LONGEST && bucket(at) == at && places.has_shard(shard),
            Cell::Came(..) | Cell::Strange => true,
            Cell::NotTried(shard, _) | Cell::Doubt(shard, _) | Cell::Sent(shard) => places.has_shard(shard),
            Cell::Lost(shard, _) | Cell::Paper(shard, _) => places.has_shard(shard),
        };
        (is_known && cell.key() == key).then_some(cell)
    }
}

/// The bucket of a latency: its value with the six highest binary digits kept, 3 % at most below it. The same buckets at all
/// gateways, so that a merged histogram is what one histogram of all would be.
pub(crate) fn bucket(micros: u64) -> u64 {
    let micros = micros.min(LONGEST);
    let shift = (u64::BITS - micros.leading_zeros()).saturating_sub(6);
    micros >> shift << shift
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn buckets_are_their_own_and_close_below() {
        for micros in (0..100_000).chain((1..40).map(|i| i * 1_499_977)) {
            let low = bucket(micros);
            assert_eq!(bucket(low), low);
            let kept = micros.min(LONGEST);
            assert!(low <= kept && kept - low <= kept / 32, "{micros} in {low}");
        }
    }

    #[test]
    fn the_lists_of_causes_are_whole_and_in_order() {
        assert!(WHYS.iter().enumerate().all(|(at, why)| *why as usize == at));
        assert!(DOUBTS.iter().enumerate().all(|(at, doubt)| *doubt as usize == at));
        assert!(LOSTS.iter().enumerate().all(|(at, lost)| *lost as usize == at));
        assert!(PAPERS.iter().enumerate().all(|(at, paper)| *paper as usize == at));
        assert!(CAME.iter().enumerate().all(|(at, came)| *came as usize == at));
    }
}
