//! Settings of a link, and which machines are tried in which order.

use hrw_hash::{HrwNode, HrwNodes};
use peer::PeerName;
use peer::channel::Greeting;

use crate::Micros;
use crate::entry::Region;

/// Settings of a link. Times in microseconds.
#[derive(Clone, Debug)]
pub struct SubscriptionOptions {
    /// Who this is.
    pub greeting: Greeting,
    /// Regions that are followed.
    pub regions: Vec<Region>,
    /// Machines in the order in which they are tried; see [`order`].
    pub machines: Vec<PeerName>,
    /// A machine that says nothing for so long is left.
    pub silence: Micros,
    /// A sign of life goes out after so long without another word.
    pub beat: Micros,
    /// After a lost link the next one is dialled at a drawn moment within this.
    pub spread: Micros,
    /// Pauses between rounds over all machines double up to this.
    pub longest: Micros,
    /// From another machine than the first it goes back after a drawn time between these.
    pub home: (Micros, Micros),
    /// A machine that knows less than is held here is left after so long.
    pub behind: Micros,
}

impl SubscriptionOptions {
    /// The usual times.
    pub fn new(greeting: Greeting, regions: Vec<Region>, machines: Vec<PeerName>) -> Self {
        SubscriptionOptions {
            greeting,
            regions,
            machines,
            silence: 5_000_000,
            beat: 2_000_000,
            spread: 1_000_000,
            longest: 10_000_000,
            home: (30_000_000, 90_000_000),
            behind: 2_000_000,
        }
    }
}

#[derive(PartialEq, Eq, Hash)]
struct Candidate<'a>(&'a str);

impl HrwNode for Candidate<'_> {}

/// Machines in the order in which one of this name tries them: those of its own region first, each group by rendezvous
/// hashing, so that the share of a machine that is lost falls evenly on the others of its group and on nobody else.
pub fn order(name: &PeerName, own: &[PeerName], others: &[PeerName]) -> Vec<PeerName> {
    let sorted = |group: &[PeerName]| -> Vec<PeerName> {
        let nodes = HrwNodes::new(group.iter().map(|machine| Candidate(&machine.0)));
        nodes.sorted(&name.0.as_str()).map(|machine| PeerName(machine.0.to_owned())).collect()
    };
    let mut all = sorted(own);
    all.extend(sorted(others));
    all
}
