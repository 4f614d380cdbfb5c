//! What a checked file means for gateways that talk to each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;

use fleet::FleetOptions;
use gateway::{CompanyOptions, MembershipOptions, ReturnOptions, TogetherOptions};
use peer::PeerName;
use peerlink::PeerOptions;
use repeats::CapOptions;

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
    ) -> Option<CompanyOptions> {
        if self.recovery.is_none() && self.fleet.is_none() {
            return None;
        }
        let own = &self.gateway[index];
        let others = self.gateway.iter().filter(|g| g.name != own.name);
        let at = |g: &Gateway| told.get(&g.name).copied().or(g.peer);
        let peers = others.filter_map(|g| at(g).map(|a| (PeerName(g.name.clone()), a))).collect();
        Some(CompanyOptions {
            peers: PeerOptions {
                name: PeerName(own.name.clone()),
                listen: own.peer.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0))),
                peers,
                site: self.number(),
                folder,
            },
            returning: self.recovery.as_ref().map(|r| self.return_options(r)),
            together: self.fleet.as_ref().map(|f| self.together_options(own, f)),
        })
    }

    /// What tells this site from another.
    fn number(&self) -> u64 {
        hash(&format!("{}/{}", self.site.name, self.site.subsystem))
    }

    /// The longest that a command may be out, and the rest behind one that may still run, in milliseconds.
    fn rest_ms(&self) -> u32 {
        self.class.iter().map(|c| c.patience_ms).max().unwrap_or(0) + self.rules.order_rest_ms
    }

    fn return_options(&self, recovery: &Recovery) -> ReturnOptions {
        ReturnOptions {
            ask_for: millis(recovery.ask_for_ms),
            rest: millis(self.rest_ms()),
            journal: recovery.journal,
            mark: false,
        }
    }

    fn together_options(&self, own: &Gateway, table: &FleetTable) -> TogetherOptions {
        let members = self.gateway.iter().map(|g| (PeerName(g.name.clone()), g.zone)).collect();
        let mut fleet = FleetOptions::new(PeerName(own.name.clone()), own.zone, self.number(), members);
        fleet.period = micros(table.period_ms);
        (fleet.fanout, fleet.indirect) = (table.fanout, table.indirect);
        (fleet.exchange, fleet.most_nodes) = (table.exchange, table.most_nodes);
        if let Some([longest, shortest]) = table.suspicion {
            fleet.suspicion = (longest, shortest);
        }
        TogetherOptions {
            membership: MembershipOptions { fleet, records: None },
            repeats: self.repeats.as_ref().map(|r| self.cap_options(own, r)),
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
        cap.warming = micros(self.rules.warm_after_ms);
        cap.most_advice = micros(self.rules.most_advice_ms).max(1);
        cap
    }

    /// Shards that have nodes.
    fn shards(&self) -> BTreeSet<u32> {
        self.node.iter().map(|n| n.shard).collect()
    }
}
