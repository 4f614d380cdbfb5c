//! Options of fleet membership.

use peer::PeerName;

use crate::Micros;

/// Options of a [`crate::Fleet`].
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// This gateway's name.
    pub name: PeerName,
    /// Its zone.
    pub zone: u32,
    /// The site; messages of other sites are rejected.
    pub site: u64,
    /// All members of the site file with their zones, including this gateway.
    pub members: Vec<(PeerName, u32)>,
    /// Probe period; the unit of all other intervals.
    pub period: Micros,
    /// Number of peers asked to probe indirectly.
    pub indirect: usize,
    /// Number of peers that receive gossip in a period.
    pub fanout: usize,
    /// Longest and shortest suspicion timeout in periods; it shrinks as witnesses add up.
    pub suspicion: (u32, u32),
    /// Mean number of periods between full view comparisons with a random peer.
    pub exchange: u32,
    /// Maximum number of nodes.
    pub most_nodes: usize,
    /// Maximum bytes of a message body, sent or received.
    pub most_body: usize,
    /// An injected fault, for tests.
    pub plant: Plant,
}

impl FleetOptions {
    /// Defaults: a period of a second, three peers for gossip and for indirect probes, suspicion
    /// timeouts from `2 (3 + log2 n)` down to `3 + log2 n` periods, and a view comparison every ten periods.
    pub fn new(name: PeerName, zone: u32, site: u64, members: Vec<(PeerName, u32)>) -> Self {
        let shortest = 3 + log2(members.len());
        FleetOptions {
            name,
            zone,
            site,
            members,
            period: 1_000_000,
            indirect: 3,
            fanout: 3,
            suspicion: (2 * shortest, shortest),
            exchange: 10,
            most_nodes: 256,
            most_body: 16 << 10,
            plant: Plant::None,
        }
    }

    /// Periods after the last fault within which all gateways that reach each other converge on one view. docs/fleet/view.md
    /// derives it: twice the longest suspicion (one that is refuted too late starts again), six probes in a row of four
    /// and a half periods, two rounds of gossip in each direction, and two intervals between view comparisons.
    pub fn settling(&self) -> u32 {
        2 * self.suspicion.0.max(self.suspicion.1) + 27 + 4 * log2(self.members.len()) + 2 * self.exchange
    }
}

/// The logarithm to base 2, rounded up.
pub(crate) fn log2(n: usize) -> u32 {
    n.max(1).next_power_of_two().trailing_zeros()
}

/// Faults that tests inject to show that their checks detect them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Plant {
    /// No fault; the only value for production use.
    #[default]
    None,
    /// A member does not answer a suspicion of itself.
    RefutationForgotten,
    /// A stale record without suspicion overrides a later life.
    OldLifeRevives,
    /// The record of a member that left is dropped, so a stale copy revives it.
    LeftForgotten,
    /// The record that arrived last wins.
    MergeByArrival,
    /// A gateway that was paused blames the silence during its pause on the others.
    SelfTrusted,
}
