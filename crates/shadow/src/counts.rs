//! Counter cells, which only grow, and their keys.

use serde::{Deserialize, Serialize};

use crate::slice::SliceMap;

/// Why a read of the slice got no shadow read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// It spans several extents.
    Across,
    /// Both maps place its extent on the same shard or node: comparing a node with itself proves nothing.
    SamePlace,
    /// A difference could not be judged: this gateway or a peer has just started, or a peer has recently sent no tick.
    Unjudged,
    /// Requests were queued at this gateway.
    Busy,
    /// The candidate's shard has no node that may get shadow reads.
    NoNode,
    /// The limit of shadow reads in flight is reached.
    Out,
    /// The rate limit of the node is reached.
    Rate,
}

/// Why a difference is neither raced nor different.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Doubt {
    /// It is the first one of its extent that no write explains; a later one has to confirm it.
    First,
    /// This gateway's log of its own writes does not reach back that far, or the gateway has just started.
    OwnWrites,
    /// A peer had sent no tick in its current life before the read began.
    NoWordBefore,
    /// A peer did not answer in time.
    NoWordAfter,
    /// A peer continues in another life.
    OtherLife,
    /// A peer cannot say what it wrote.
    PeerCannotSay,
    /// The limit of waiting differences is reached.
    NoRoom,
}

/// Why a shadow read returned no data to compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lost {
    /// The node answered with an error.
    Failed,
    /// No answer arrived within the timeout.
    TimedOut,
    /// It was not sent.
    NotSent,
}

/// Where the candidate would have sent a write of the slice. Such writes are only counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Paper {
    /// To the same shard as the current map.
    SamePlace,
    /// To another shard with an available node.
    There,
    /// To another shard without an available node: all are cold, drained, suspected, full or unreachable.
    NoNode,
}

pub(crate) const NOT_TRIED_CAUSES: [Why; 7] =
    [Why::Across, Why::SamePlace, Why::Unjudged, Why::Busy, Why::NoNode, Why::Out, Why::Rate];
pub(crate) const DOUBT_CAUSES: [Doubt; 7] = [
    Doubt::First,
    Doubt::OwnWrites,
    Doubt::NoWordBefore,
    Doubt::NoWordAfter,
    Doubt::OtherLife,
    Doubt::PeerCannotSay,
    Doubt::NoRoom,
];
pub(crate) const LOST_CAUSES: [Lost; 3] = [Lost::Failed, Lost::TimedOut, Lost::NotSent];
pub(crate) const PAPER_RESULTS: [Paper; 3] = [Paper::SamePlace, Paper::There, Paper::NoNode];

/// Result of a compared read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Comparison {
    Same,
    Different,
    Raced,
    Unknown,
    /// The first of its extent that no write explains; counted as `Unknown` too.
    First,
}

/// The map whose node answered a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ReadBy {
    Current,
    Candidate,
}

/// Encoded key of a cell: the kind, the volume or shard, and the extent, cause or bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Key(u8, u32, u64);

impl Key {
    /// Hash of a cell with this value; 0 for the value 0.
    pub(crate) fn hash(self, value: u64) -> u64 {
        if value == 0 {
            return 0;
        }
        let numbers = [u64::from(self.0) << 32 | u64::from(self.1), self.2, value];
        numbers.iter().fold(0, |hash: u64, number| {
            let mixed =
                (hash ^ number).wrapping_add(0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
            mixed ^ mixed >> 29
        })
    }
}

/// A decoded key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cell {
    Compared(Comparison, u32, u64),
    NotTried(u32, Why),
    Doubt(u32, Doubt),
    Sent(u32),
    Lost(u32, Lost),
    Paper(u32, Paper),
    /// Reads with a latency in this bucket, given by its lower bound in microseconds.
    Latency(u32, ReadBy, u64),
    /// Ends of shadow reads that were not in flight: reported twice, or too late.
    UnexpectedEnd,
}

const COMPARISONS: [Comparison; 5] =
    [Comparison::Same, Comparison::Different, Comparison::Raced, Comparison::Unknown, Comparison::First];

/// Highest latency that is recorded, in microseconds; higher ones count as this.
pub(crate) const MAX_LATENCY: u64 = 60_000_000;

impl Cell {
    pub(crate) fn key(self) -> Key {
        match self {
            Cell::Compared(comparison, nsid, extent) => Key(comparison as u8, nsid, extent),
            Cell::NotTried(shard, why) => Key(16, shard, why as u64),
            Cell::Doubt(shard, doubt) => Key(17, shard, doubt as u64),
            Cell::Sent(shard) => Key(18, shard, 0),
            Cell::Lost(shard, lost) => Key(19, shard, lost as u64),
            Cell::Paper(shard, paper) => Key(20, shard, paper as u64),
            Cell::UnexpectedEnd => Key(21, 0, 0),
            Cell::Latency(shard, way, bucket) => Key(32 + way as u8, shard, bucket),
        }
    }

    /// Decodes a key; `None` if this version does not know it, or if it is about nothing in the slice.
    ///
    /// Otherwise a peer that sends invented keys could fill the memory. The cost: keys of a later version are not passed on.
    pub(crate) fn of(key: Key, slice_map: &SliceMap) -> Option<Cell> {
        fn named<T: Copy>(all: &[T], at: u64) -> Option<T> {
            all.get(usize::try_from(at).ok()?).copied()
        }
        let Key(what, of, at) = key;
        let cell = match what {
            0..=4 => {
                slice_map.place(of, at).and(Some(Cell::Compared(COMPARISONS[usize::from(what)], of, at)))?
            }
            16 => Cell::NotTried(of, named(&NOT_TRIED_CAUSES, at)?),
            17 => Cell::Doubt(of, named(&DOUBT_CAUSES, at)?),
            18 => Cell::Sent(of),
            19 => Cell::Lost(of, named(&LOST_CAUSES, at)?),
            20 => Cell::Paper(of, named(&PAPER_RESULTS, at)?),
            21 => Cell::UnexpectedEnd,
            32 => Cell::Latency(of, ReadBy::Current, at),
            33 => Cell::Latency(of, ReadBy::Candidate, at),
            _ => return None,
        };
        let is_known = match cell {
            Cell::Latency(shard, _, at) => {
                at <= MAX_LATENCY && bucket(at) == at && slice_map.has_shard(shard)
            }
            Cell::Compared(..) | Cell::UnexpectedEnd => true,
            Cell::NotTried(shard, _) | Cell::Doubt(shard, _) | Cell::Sent(shard) => {
                slice_map.has_shard(shard)
            }
            Cell::Lost(shard, _) | Cell::Paper(shard, _) => slice_map.has_shard(shard),
        };
        (is_known && cell.key() == key).then_some(cell)
    }
}

/// Bucket of a latency: its value rounded down to six significant bits, at most 3 % lower. All gateways use the same buckets,
/// so merging their histograms is exact.
pub(crate) fn bucket(micros: u64) -> u64 {
    let micros = micros.min(MAX_LATENCY);
    let shift = (u64::BITS - micros.leading_zeros()).saturating_sub(6);
    micros >> shift << shift
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn buckets_are_fixed_points_and_at_most_3_percent_lower() {
        for micros in (0..100_000).chain((1..40).map(|i| i * 1_499_977)) {
            let low = bucket(micros);
            assert_eq!(bucket(low), low);
            let kept = micros.min(MAX_LATENCY);
            assert!(low <= kept && kept - low <= kept / 32, "{micros} in {low}");
        }
    }

    #[test]
    fn lists_of_causes_are_complete_and_in_order() {
        assert!(NOT_TRIED_CAUSES.iter().enumerate().all(|(at, why)| *why as usize == at));
        assert!(DOUBT_CAUSES.iter().enumerate().all(|(at, doubt)| *doubt as usize == at));
        assert!(LOST_CAUSES.iter().enumerate().all(|(at, lost)| *lost as usize == at));
        assert!(PAPER_RESULTS.iter().enumerate().all(|(at, paper)| *paper as usize == at));
        assert!(COMPARISONS.iter().enumerate().all(|(at, comparison)| *comparison as usize == at));
    }
}
