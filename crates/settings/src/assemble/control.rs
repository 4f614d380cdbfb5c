//! What a checked file means for the control plane.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use peer::PeerName;
use plane::{Bounds, FeedOptions, Place, Region};
use planelink::{FollowOptions, HollowRun, LinkOptions, MachineRun};

use super::{hash, micros};
use crate::schema::*;

impl Site {
    /// How the gateway with this index follows the control plane, with a folder of its own; none without `[control]`.
    pub fn follow_options(&self, index: usize, folder: PathBuf, seed: u64) -> Option<FollowOptions> {
        let (table, own) = (self.control.as_ref()?, &self.gateway[index]);
        let link = table.link_options(self.number(), own.region.unwrap_or(table.region));
        // Danger: gateways started with one seed would dial in step.
        let seed = seed ^ hash(&own.name);
        Some(FollowOptions { name: PeerName(own.name.clone()), link, folder, seed })
    }
}

impl ControlTable {
    /// The machine with this index, with a folder of its own.
    pub fn machine_run(&self, site: u64, index: usize, folder: PathBuf) -> MachineRun {
        let own = &self.machine[index];
        let place = |m: &ControlMachine| Place {
            name: PeerName(m.name.clone()),
            region: Region(m.region),
            writer: m.writer,
        };
        let machines = self.machine.iter().map(place).collect();
        let name = PeerName(own.name.clone());
        let mut run = MachineRun::new(name, site, machines, own.listen, self.addresses(), folder);
        run.bounds = self.bounds();
        run.feed = FeedOptions {
            subscribers: self.subscribers,
            rate: self.rate_bytes,
            unsent: self.unsent_bytes,
            pause: micros(self.pause_ms),
        };
        (run.beat, run.silence) = (micros(self.beat_ms), micros(self.silence_ms));
        run.spread = micros(self.machine_spread_ms);
        run
    }

    /// Gateways of a region that only follow, as one process, each with a folder of its own in this one.
    pub fn hollow_run(
        &self,
        site: u64,
        region: u16,
        process: &str,
        names: Vec<PeerName>,
        folder: PathBuf,
    ) -> HollowRun {
        HollowRun::new(process, names, self.link_options(site, region), folder)
    }

    /// How gateways of a region follow.
    fn link_options(&self, site: u64, region: u16) -> LinkOptions {
        let mut regions: Vec<Region> = self.machine.iter().map(|m| Region(m.region)).collect();
        regions.sort_unstable();
        regions.dedup();
        let of = |near: bool| -> Vec<PeerName> {
            let machines = self.machine.iter().filter(|m| (m.region == region) == near);
            machines.map(|m| PeerName(m.name.clone())).collect()
        };
        let mut link = LinkOptions::new(site, regions, of(true), of(false));
        (link.addresses, link.bounds) = (self.addresses(), self.bounds());
        link.spread = micros(self.spread_ms);
        link
    }

    fn addresses(&self) -> BTreeMap<PeerName, SocketAddr> {
        self.machine.iter().map(|m| (PeerName(m.name.clone()), m.listen)).collect()
    }

    fn bounds(&self) -> Bounds {
        Bounds { entries: self.entries, bytes: self.state_bytes, ..Bounds::default() }
    }
}
