//! What the shadow is told once.

use peer::PeerName;

use crate::Micros;
use crate::candidate::{Candidate, VolumeMap};

/// What the shadow is told once. The rates and bounds may differ between gateways; candidate and map in force are one.
#[derive(Clone, Debug)]
pub struct ShadowOptions {
    /// This gateway.
    pub name: PeerName,
    /// The map that is tried; checked by the caller against the shards that have nodes.
    pub candidate: Candidate,
    /// The map in force.
    pub current: Vec<VolumeMap>,
    /// How long a try may take.
    pub patience: Micros,
    /// Sends a second to one node over the whole fleet.
    pub node_rate: f64,
    /// The gateways that share them, as the site file names them: never those that happen to be seen.
    pub members: usize,
    /// Counts are kept at most this far apart: what the loss of power costs of them.
    pub keep: Micros,
    /// How long a write of unknown outcome may yet take effect at a node, and what a gateway that was killed left in flight:
    /// above the longest deadline of a write and the keep alive of a node's connection.
    pub rest: Micros,
    /// How long after its end a write may yet be on its way to the candidate's place; 0 if both places show it at once.
    pub settle: Micros,
    /// A word to each peer this often.
    pub beat: Micros,
    /// How long a difference waits for the peers' words.
    pub hold: Micros,
    /// Tries that are out at one time: in all, and at one node.
    pub most_out: usize,
    /// See `most_out`.
    pub most_out_node: usize,
    /// Differences that wait for words at one time.
    pub most_held: usize,
    /// Writes that are remembered: open ones, resting ones, ended ones (each).
    pub most_writes: usize,
    /// Lives whose counts are held.
    pub most_owners: usize,
    /// Longest note that is taken, in bytes.
    pub most_body: usize,
    /// Peers that are told in a beat what counts are held here.
    pub fanout: usize,
    /// Enough is: at 95 %, at most this part of compared reads can differ.
    pub target: f64,
    /// And so many compared reads for each extent.
    pub each: u64,
    /// A mistake, for tests that show what catches it.
    pub plant: Plant,
}

/// Examples that a life keeps: the first ones.
pub const MOST_EXAMPLES: usize = 8;

impl ShadowOptions {
    /// With defaults for all rates and bounds: patience 0.5 s, 50 sends a second and node, kept every 5 s, 30 s of rest, a
    /// beat of 0.5 s, enough at one in 10,000 (30,000 compared) and 30 for each extent.
    pub fn new(name: PeerName, candidate: Candidate, current: Vec<VolumeMap>, members: usize) -> Self {
        ShadowOptions {
            name,
            candidate,
            current,
            patience: 500_000,
            node_rate: 50.0,
            members,
            keep: 5_000_000,
            rest: 30_000_000,
            settle: 0,
            beat: 500_000,
            hold: 5_000_000,
            most_out: 32,
            most_out_node: 8,
            most_held: 64,
            most_writes: 8192,
            most_owners: 256,
            most_body: 64 << 10,
            fanout: 2,
            target: 1e-4,
            each: 30,
            plant: Plant::None,
        }
    }
}

/// A planted mistake.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Plant {
    /// None.
    #[default]
    None,
    /// Counts are owned by a name in place of a life.
    NameOwns,
    /// A write in between is not seen.
    RaceUnseen,
    /// What peers write is not asked.
    PeersUnasked,
    /// A try that timed out goes out again.
    SecondTry,
    /// Counts of another candidate are added.
    DigestsAdded,
    /// Each life draws a slice of its own.
    SlicePerLife,
    /// A peer's word from before its restart is taken for its life's.
    OldWord,
}
