//! Decisions of a host-side I/O scheduler for a shared disk pool.
//!
//! A host feeds a [`Scheduler`] with events and carries out the actions it answers with. The scheduler has
//! no clock, no thread and no I/O of its own. For each storage node it keeps a bound on the attempts out,
//! moved on every answer by the admission law of the thesis cited in `docs/design.md`; what exceeds the
//! bound waits in the host.
//!
//! ```
//! use decisions::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         aim: 150_000, aim_stretch: 0.0, worth: 1.0, late_worth: 0.1,
//!         repeats: Repeats::Safe, in_order: false, stream: false,
//!     }],
//!     plans: vec![Plan {
//!         rate: 10.0, reserve: 5.0, limit: 0.0, limit_burst: 0.0, limit_slack: 0.0,
//!         weight: 1.0, price: 1.0,
//!     }],
//!     hosts: 1, index: 0, must_ask: false, most_attempts: 3, second_copies: false, cancel: true, probes: false,
//!     advice: true, most_advice: 1_000_000, cold_units: 10.0, cold_window: 2_000_000, cold_from: 0.2,
//!     warm_after: 10_000_000, drain_grace: 500_000, order_rest: 0, budget: None, most_units: 8.0,
//!     mean_units: 2.0, share_worth: 0.5, spare_worth: 0.1, waste_price: 0.0,
//! };
//! let mut scheduler = Scheduler::new(settings, 7);
//! let mut actions = Vec::new();
//! let node = NodeEntry {
//!     node: NodeId(0), zone: 0, shard: ShardId(3), state: NodeState::On, started: None,
//! };
//! scheduler.handle(0, Event::Nodes { whole: true, remembered: true, entries: vec![node] }, &mut actions);
//! let request = Request {
//!     id: RequestId(1), class: 0, plan: 0, volume: VolumeId(9), key: Some(KeyId(5)),
//!     shard: Some(ShardId(3)), units: 2.0, hosts: 1, patience: 750_000, retry: false,
//!     client: None,
//! };
//! scheduler.handle(1_000, Event::Request(request), &mut actions);
//! assert!(actions.contains(&Action::Send { request: RequestId(1), node: NodeId(0), patience: 0 }));
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answers;
mod causes;
mod cold;
mod interface;
mod law;
mod queue;
mod scheduler;
mod shards;
mod state;
mod sums;
mod sweep;
mod verdict;
mod wakes;

use std::collections::BTreeMap;

pub use causes::Cause;
pub use interface::*;
pub use scheduler::Scheduler;

impl Scheduler {
    /// What is thought of a node, for operators; nothing follows from it here.
    pub fn look(&self, id: NodeId) -> Option<NodeLook> {
        let (now, v) = (self.mem.now, self.view());
        let node = self.mem.nodes.get(&id)?;
        Some(NodeLook {
            bound: node.bound(law::RESERVE, &v),
            load: node.load(&v),
            held: node.held() as usize,
            waiting: self.mem.shards.get(&node.shard).map_or(0, |s| s.waiting + s.awaiting.len()),
            silent: node.silent(now),
            cold: node.started.is_some_and(|t| now - t < self.set.warm_after),
        })
    }

    /// Shards gone through for something to send, and lines of the list put in place, since the start: what a change costs.
    pub fn work(&self) -> (u64, u64) {
        (self.mem.pumped, self.mem.relisted)
    }

    /// How many requests ended unserved since the start, by class and cause.
    pub fn unserved(&self) -> &BTreeMap<(usize, Cause), u64> {
        &self.mem.causes
    }

    /// The shards at which other requests wait for a right than were told of last.
    pub fn take_shortages(&mut self) -> Vec<Shortage> {
        let shards = std::mem::take(&mut self.mem.short);
        let shortage = |shard| {
            let waiting = self.mem.shards.get(&shard).map_or(0, |s| s.awaiting.len() as u32);
            let first = self.mem.first_awaiting(shard).and_then(|place| self.mem.requests.get(&place.id));
            let worth =
                first.map_or(0.0, |o| self.set.classes[o.ask.class].worth * self.set.plans[o.ask.plan].price);
            Shortage { shard, waiting, worth }
        };
        shards.into_iter().map(shortage).collect()
    }
}
