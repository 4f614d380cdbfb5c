//! What a checked file means for gateways that talk to each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

use fleet::FleetOptions;
use gateway::{CoordinationOptions, MembershipOptions, PeerNetworkOptions, RecoveryDriverOptions};
use peer::PeerName;
use peerlink::PeerOptions;
use repeats::CapOptions;
use shadow::{Candidate, ShadowOptions, VolumeMap};

use super::{hash, micros, millis};
use crate::schema::*;

impl Site {
    /// The peers of the gateway with this index, with its folder, and what it says to them; none without `[recovery]` and
    /// `[fleet]`. Peers that `told` names listen there in place of the file's address.
    pub fn company_options(
        &self,
        index: usize,
        folder: PathBuf,
        told: &BTreeMap<String, SocketAddr>,
    ) -> Option<PeerNetworkOptions> {
        if self.recovery.is_none() && self.fleet.is_none() {
            return None;
        }
        let own = &self.gateway[index];
        let others = self.gateway.iter().filter(|g| g.name != own.name);
        let at = |g: &Gateway| told.get(&g.name).copied().or(g.peer);
        let peers = others.filter_map(|g| at(g).map(|a| (PeerName(g.name.clone()), a))).collect();
        Some(PeerNetworkOptions {
            peers: PeerOptions {
                name: PeerName(own.name.clone()),
                listen: own.peer.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
                peers,
                site: self.number(),
                folder,
            },
            recovery: self.recovery.as_ref().map(|r| self.return_options(r)),
            coordination: self.fleet.as_ref().map(|f| self.together_options(own, f)),
        })
    }

    /// What tells this site from another.
    pub fn number(&self) -> u64 {
        hash(&format!("{}/{}", self.site.name, self.site.subsystem))
    }

    /// The longest that a command may be out, and the rest behind one that may still run, in milliseconds.
    fn rest_ms(&self) -> u32 {
        self.class.iter().map(|c| c.patience_ms).max().unwrap_or(0) + self.rules.order_rest_ms
    }

    fn return_options(&self, recovery: &Recovery) -> RecoveryDriverOptions {
        RecoveryDriverOptions {
            peer_timeout: millis(recovery.ask_for_ms),
            max_execution_time: millis(self.rest_ms()),
            journal: recovery.journal,
            power_cut_mark: false,
        }
    }

    pub(crate) fn together_options(&self, own: &Gateway, table: &FleetTable) -> CoordinationOptions {
        let members = self.gateway.iter().map(|g| (PeerName(g.name.clone()), g.zone)).collect();
        let mut fleet = FleetOptions::new(PeerName(own.name.clone()), own.zone, self.number(), members);
        fleet.period = micros(table.period_ms);
        (fleet.fanout, fleet.indirect) = (table.fanout, table.indirect);
        (fleet.exchange, fleet.most_nodes) = (table.exchange, table.most_nodes);
        if let Some([longest, shortest]) = table.suspicion {
            fleet.suspicion = (longest, shortest);
        }
        CoordinationOptions {
            membership: MembershipOptions { fleet, records: None },
            retry_cap: self.repeats.as_ref().map(|r| self.cap_options(own, r)),
            candidate: self.candidate_options(&own.name),
        }
    }

    fn cap_options(&self, own: &Gateway, table: &CapTable) -> CapOptions {
        let shards = self.shards().into_iter().collect();
        let mut cap = CapOptions::new(PeerName(own.name.clone()), self.gateway.len(), shards);
        cap.window = micros(table.window_ms);
        let over_shards = cap.fleet_free / cap.free.max(1.0);
        cap.free = table.free.unwrap_or(cap.free);
        cap.fleet_free = table.fleet_free.unwrap_or(cap.free * over_shards);
        (cap.share, cap.recovering_share) = (table.share, table.recovering_share);
        (cap.fleet_share, cap.drift) = (table.fleet_share, table.drift);
        cap.warm_up = micros(self.rules.warm_after_ms);
        cap.max_retry_after = micros(self.rules.most_advice_ms).max(1);
        cap
    }

    /// Shards that have nodes.
    fn shards(&self) -> BTreeSet<u32> {
        self.node.iter().map(|n| n.shard).collect()
    }

    /// The candidate shard map that a gateway is to try; none without `[candidate]`.
    pub fn candidate_options(&self, gateway: &str) -> Option<ShadowOptions> {
        let table = self.candidate.as_ref()?;
        let (candidate, current) = (self.candidate_map(table), self.current_map());
        let name = PeerName(gateway.to_owned());
        let mut options = ShadowOptions::new(name, candidate, current, self.gateway.len());
        options.node_rate = table.node_rate;
        // A write of unknown outcome may run for as long as recovery waits for it.
        options.rest = micros(self.rest_ms()).max(micros(self.link.keep_alive_ms));
        Some(options)
    }

    /// The map in force.
    pub(crate) fn current_map(&self) -> Vec<VolumeMap> {
        self.volume.iter().map(|v| map(v, &v.shards)).collect()
    }

    /// The map of a candidate; volumes that do not exist are left out, and told by the check.
    pub(crate) fn candidate_map(&self, table: &CandidateTable) -> Candidate {
        let of = |name: &str| self.volume.iter().find(|v| v.name == name);
        let volume = |c: &CandidateVolume| {
            let mut map = map(of(&c.name)?, &c.shards);
            for m in &c.moved {
                let range = m.first as usize..=m.last as usize;
                map.shards.get_mut(range).into_iter().flatten().for_each(|shard| *shard = m.shard);
            }
            Some(map)
        };
        Candidate {
            number: table.number,
            slice: table.slice,
            parts: table.parts.iter().filter_map(|(name, part)| Some((of(name)?.nsid, *part))).collect(),
            volumes: table.volume.iter().filter_map(volume).collect(),
        }
    }
}

/// A volume's extents on shards in turn.
fn map(v: &Volume, shards: &[u32]) -> VolumeMap {
    let mut map =
        VolumeMap { nsid: v.nsid, blocks: v.blocks, extent_blocks: v.extent_blocks, shards: Vec::new() };
    map.shards = shards.iter().copied().cycle().take(map.extents() as usize).collect();
    map
}
