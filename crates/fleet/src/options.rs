//! What a gateway is told about its fleet.

use peer::PeerName;

use crate::Micros;

/// Options of a [`crate::Fleet`].
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// This gateway's name.
    pub name: PeerName,
    /// Its zone.
    pub zone: u32,
    /// The site: a note of another one is turned away.
    pub site: u64,
    /// All members that the site file names, this one included, with their zones.
    pub members: Vec<(PeerName, u32)>,
    /// One period of probing; everything else is counted in it.
    pub period: Micros,
    /// Peers asked to probe in place of this one.
    pub indirect: usize,
    /// Peers that gossip goes to in a period.
    pub fanout: usize,
    /// Suspicion lasts from the longest to the shortest, in periods, as witnesses add up.
    pub suspicion: (u32, u32),
    /// Every so many periods, drawn, a whole view is exchanged with one peer.
    pub exchange: u32,
    /// Nodes that are held at most.
    pub most_nodes: usize,
    /// Bytes of one note's body at most, either way.
    pub most_body: usize,
    /// A planted mistake; for tests.
    pub plant: Plant,
}

impl FleetOptions {
    /// Defaults: a period of a second, three peers for gossip and for indirect probes, suspicion of
    /// `2 (3 + log2 n)` down to `3 + log2 n` periods, an exchange every ten periods.
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

    /// Periods within which all that reach each other hold one view after the last fault, as docs/fleet/view.md derives it:
    /// the longest suspicion twice (one that is refuted too late is seen anew), six probes in a row of four and a half
    /// periods, two rounds of gossip there and back, and two draws of an exchange.
    pub fn settling(&self) -> u32 {
        2 * self.suspicion.0.max(self.suspicion.1) + 27 + 4 * log2(self.members.len()) + 2 * self.exchange
    }
}

/// The logarithm to base 2, rounded up.
pub(crate) fn log2(n: usize) -> u32 {
    n.max(1).next_power_of_two().trailing_zeros()
}

/// Mistakes that can be planted, so that a test shows that it would see them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Plant {
    /// None: what every user wants.
    #[default]
    None,
    /// A member does not answer a suspicion of itself.
    RefutationForgotten,
    /// An old copy in which a member is up wins over a later life of it.
    OldLifeRevives,
    /// Nothing is kept of a member that left, so that an old copy brings it back.
    LeftForgotten,
    /// What came last wins.
    MergeByArrival,
    /// A gateway that was stopped takes the silence that followed for the others'.
    SelfTrusted,
}
