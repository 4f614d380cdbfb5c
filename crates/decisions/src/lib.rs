//! Decisions of a host-side I/O scheduler for a shared disk pool.
//!
//! A host passes events to a [`Scheduler`] and carries out the actions that it returns. The scheduler has no
//! clock, thread or I/O of its own. For each storage node it keeps a bound on this host's attempts in flight,
//! updated on every answer by the admission law of the thesis cited in `docs/design.md`; requests beyond the
//! bound wait in the host.
//!
//! ```
//! use decisions::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         latency_target: 150_000, latency_target_stretch: 0.0, worth: 1.0, late_worth: 0.1,
//!         idempotency: Idempotency::Safe, in_order: false, stream: false,
//!     }],
//!     plans: vec![Plan {
//!         rate: 10.0, reserve: 5.0, limit: 0.0, limit_burst: 0.0, limit_slack: 0.0,
//!         weight: 1.0, price: 1.0,
//!     }],
//!     hosts: 1, index: 0, needs_subscription: false, max_attempts: 3, hedging: false, cancellation: true,
//!     probing: false, retry_advice: true, max_retry_after: 1_000_000,
//!     cold_units: 10.0, cold_window: 2_000_000, cold_start_fraction: 0.2,
//!     warm_after: 10_000_000, drain_grace: 500_000, key_pause: 0, retry_budget: None,
//!     max_request_units: 8.0, mean_request_units: 2.0, share_worth: 0.5, spare_worth: 0.1, waste_cost: 0.0,
//! };
//! let mut scheduler = Scheduler::new(settings, 7);
//! let mut actions = Vec::new();
//! let node = NodeEntry {
//!     node: NodeId(0), zone: 0, shard: ShardId(3), state: NodeState::On, started: None,
//! };
//! scheduler.handle(0, Event::Nodes { complete: true, from_cache: true, entries: vec![node] }, &mut actions);
//! let request = Request {
//!     id: RequestId(1), class: 0, plan: 0, volume: VolumeId(9), key: Some(KeyId(5)),
//!     shard: Some(ShardId(3)), units: 2.0, hosts: 1, timeout: 750_000, is_retry: false,
//!     client: None,
//! };
//! scheduler.handle(1_000, Event::Request(request), &mut actions);
//! assert!(actions.contains(&Action::Send { request: RequestId(1), node: NodeId(0), timeout: 0 }));
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answers;
mod causes;
mod cold;
mod interface;
mod law;
mod nodes;
mod queue;
mod records;
mod requests;
mod scheduler;
mod settings;
mod shards;
mod state;
mod sums;
mod sweep;
mod verdict;
mod volumes;
mod wakes;

use std::collections::BTreeMap;

pub use causes::UnservedCause;
pub use interface::*;
pub use scheduler::Scheduler;
pub use settings::*;

impl Scheduler {
    /// A snapshot of what the scheduler knows about a node, for operators; no decision depends on it.
    pub fn node_snapshot(&self, id: NodeId) -> Option<NodeSnapshot> {
        let (now, view) = (self.state.now, self.fleet_view());
        let node = self.state.nodes.get(&id)?;
        let shard = self.state.shards.get(&node.shard);
        Some(NodeSnapshot {
            bound: node.bound(law::RESERVE, &view),
            latency_ratio: node.latency_ratio(&view),
            in_flight: node.occupied() as usize,
            waiting: shard.map_or(0, |s| s.waiting + s.awaiting_token.len()),
            silent: node.is_silent(now),
            cold: node.started.is_some_and(|t| now - t < self.settings.warm_after),
        })
    }

    /// Counters of work since the start: shards examined for something to send, and node list entries
    /// applied.
    pub fn work_counters(&self) -> (u64, u64) {
        (self.state.shards_examined, self.state.entries_applied)
    }

    /// How many requests ended unserved since the start, by class and cause.
    pub fn unserved_counts(&self) -> &BTreeMap<(usize, UnservedCause), u64> {
        &self.state.unserved_counts
    }

    /// The shards whose requests waiting for a retry token changed since the last call, as they are now.
    pub fn take_token_shortages(&mut self) -> Vec<TokenShortage> {
        let shards = std::mem::take(&mut self.state.changed_token_waiters);
        let shortage = |shard| {
            let waiting = self.state.shards.get(&shard).map_or(0, |s| s.awaiting_token.len() as u32);
            let first = self.state.first_awaiting_token(shard);
            let first = first.and_then(|entry| self.state.requests.get(&entry.id)).map(|open| &open.request);
            let worth = first
                .map_or(0.0, |r| self.settings.classes[r.class].worth * self.settings.plans[r.plan].price);
            TokenShortage { shard, waiting, worth }
        };
        shards.into_iter().map(shortage).collect()
    }
}
