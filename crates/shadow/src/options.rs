//! Options of the shadow.

use peer::PeerName;

use crate::Micros;
use crate::candidate::{Candidate, VolumeMap};

/// Options of the shadow. Rates and limits may differ between gateways; the candidate and the current map must not.
#[derive(Clone, Debug)]
pub struct ShadowOptions {
    /// Name of this gateway.
    pub name: PeerName,
    /// The candidate map; the caller has checked that its shards have nodes.
    pub candidate: Candidate,
    /// The current map.
    pub current: Vec<VolumeMap>,
    /// Timeout of a shadow read.
    pub patience: Micros,
    /// Shadow reads per second to one node, from all gateways together.
    pub node_rate: f64,
    /// Number of gateways that share `node_rate`, as configured in the site file: not the number currently reachable.
    pub members: usize,
    /// Interval at which the counters are stored: the most that a power loss can lose of them.
    pub keep: Micros,
    /// How long a write of unknown outcome, or one that a killed gateway left in flight, may still take effect at a node: must
    /// exceed the longest deadline of a write and the keep-alive timeout of a node's connection.
    pub rest: Micros,
    /// How long after its end a write may still be propagating to the candidate's shard; 0 if both shards show it at once.
    pub settle: Micros,
    /// Heartbeat interval: each peer gets a tick this often.
    pub beat: Micros,
    /// How long a difference waits for the peers' answers.
    pub hold: Micros,
    /// Maximum number of shadow reads in flight.
    pub most_out: usize,
    /// Maximum number of shadow reads in flight at one node.
    pub most_out_node: usize,
    /// Maximum number of differences that wait for answers.
    pub most_held: usize,
    /// Maximum number of writes in the log: open, unresolved and ended ones (each).
    pub most_writes: usize,
    /// Maximum number of lives whose counters are held.
    pub most_owners: usize,
    /// Maximum length of an accepted message, in bytes.
    pub most_body: usize,
    /// Number of peers that get the positions of all counters with a heartbeat.
    pub fanout: usize,
    /// Sufficient is: at 95 % confidence at most this fraction of compared reads differs,
    pub target: f64,
    /// and each moved extent has this many equal reads.
    pub each: u64,
    /// Fault injected by tests, to show that they detect it.
    pub plant: Plant,
}

/// Maximum number of examples per life; the first ones are kept.
pub const MOST_EXAMPLES: usize = 8;

impl ShadowOptions {
    /// Options with defaults for all rates and limits: timeout 0.5 s, 50 shadow reads per second and node, counters stored every
    /// 5 s, `rest` 30 s, heartbeat every 0.5 s, target 1 in 10,000 (30,000 compared reads) and 30 equal reads per extent.
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

/// A fault that tests inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Plant {
    /// No fault.
    #[default]
    None,
    /// Counters are owned by a gateway's name instead of its life.
    NameOwns,
    /// Writes in between are ignored.
    RaceUnseen,
    /// Peers are not queried for their writes.
    PeersUnasked,
    /// A shadow read that timed out is sent again.
    SecondTry,
    /// Counters of another candidate are added.
    DigestsAdded,
    /// Each life selects its own slice.
    SlicePerLife,
    /// A peer's tick from before its restart is accepted for its current life.
    OldWord,
}
