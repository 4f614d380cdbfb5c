//! The scheduler's mutable state, and the bookkeeping of its queues and node list.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::causes::UnservedCause;
use crate::interface::*;
pub(crate) use crate::nodes::*;
pub(crate) use crate::requests::*;
pub(crate) use crate::shards::*;
pub(crate) use crate::sums::*;
pub(crate) use crate::volumes::*;

/// What a wake is for. A wake is an internal timer: at its time the scheduler examines something again, or
/// repeats a subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Wake {
    /// One of a request's time limits is reached.
    Request(RequestId),
    /// The pause of a key is over.
    Key(KeyId),
    /// A waiting request of the shard may be sendable.
    Shard(ShardId),
    /// Subscribe to the node list again.
    Subscribe,
    Sweep,
}

/// What is left of a shard's last allowance of retries.
#[derive(Clone, Copy)]
pub(crate) struct RetryTokens {
    pub(crate) left: u32,
    /// Advice for requests that are refused for want of a token.
    pub(crate) retry_after: Micros,
}

/// The next number of the splitmix64 sequence.
pub(crate) fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut z = *state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The order of requests for one key, for classes that keep it.
#[derive(Default)]
pub(crate) struct KeyOrder {
    /// Requests in order of arrival; only the first may run.
    pub(crate) requests: VecDeque<RequestId>,
    /// No first attempt starts before this time, as an earlier attempt may still run.
    pub(crate) paused_until: Micros,
}

/// All mutable state of a scheduler.
#[derive(Default)]
pub(crate) struct State {
    /// Time of the first event.
    pub(crate) started_at: Option<Micros>,
    pub(crate) now: Micros,
    /// State of the random number generator.
    pub(crate) random: u64,
    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    pub(crate) nodes: BTreeMap<NodeId, Node>,
    pub(crate) shards: BTreeMap<ShardId, Shard>,
    /// How this host's requests are distributed over the shards.
    pub(crate) shard_usage: ShardUsage,
    pub(crate) volumes: BTreeMap<VolumeId, Volume>,
    /// When volumes with a limit were last forgotten for lack of room.
    pub(crate) limits_forgotten_at: Option<Micros>,
    pub(crate) key_orders: BTreeMap<KeyId, KeyOrder>,
    /// Requests that recently ended unserved.
    pub(crate) recent_unserved: BTreeMap<Fingerprint, Unserved>,
    /// When requests arrived, for the retry budget.
    pub(crate) request_times: VecDeque<Micros>,
    /// When retries were sent, for the retry budget.
    pub(crate) retry_times: VecDeque<Micros>,
    /// By shard; entries are never removed, as a shard without one is unlimited.
    pub(crate) retry_tokens: BTreeMap<ShardId, RetryTokens>,
    /// How many requests may wait for a retry token, by shard.
    pub(crate) token_wait_limits: BTreeMap<ShardId, u32>,
    /// Requests that ended unserved since the start, by class and cause.
    pub(crate) unserved_counts: BTreeMap<(usize, UnservedCause), u64>,
    pub(crate) wakes: BTreeSet<(Micros, Wake)>,
    /// When the armed host timer is due.
    pub(crate) timer_at: Option<Micros>,
    pub(crate) timer_token: u64,
    /// Shards whose queues are to be examined before the current event is done.
    pub(crate) dirty_shards: BTreeSet<ShardId>,
    /// Shards whose set of requests waiting for a retry token changed since it was last reported.
    pub(crate) changed_token_waiters: BTreeSet<ShardId>,
    /// Actions of the current event.
    pub(crate) actions: Vec<Action>,
    /// Shards examined since the start.
    pub(crate) shards_examined: u64,
    /// Node list entries applied since the start.
    pub(crate) entries_applied: u64,
}

impl State {
    /// The tokens of the shard at which a request waits for one; `None` if it waits for none.
    pub(crate) fn awaited_tokens(&self, open: &OpenRequest) -> Option<RetryTokens> {
        let (shard_id, entry) = open.waits_at?;
        let awaits = self.shards.get(&shard_id)?.awaiting_token.contains_key(&entry.token_order());
        self.retry_tokens.get(&shard_id).copied().filter(|_| awaits)
    }
    /// Inserts a request into a queue of the shard.
    pub(crate) fn insert_into_queue(&mut self, shard_id: ShardId, entry: QueueEntry) {
        let (Some(open), Some(shard)) = (self.requests.get_mut(&entry.id), self.shards.get_mut(&shard_id))
        else {
            return;
        };
        open.waits_at = Some((shard_id, entry));
        shard.insert(entry, open.request.key, open.needs_retry_token());
    }
    /// Adds a request that is in no queue to those that wait for a retry token of the shard.
    pub(crate) fn insert_awaiting_token(&mut self, shard_id: ShardId, entry: QueueEntry) {
        let (Some(open), Some(shard)) = (self.requests.get_mut(&entry.id), self.shards.get_mut(&shard_id))
        else {
            return;
        };
        open.waits_at = Some((shard_id, entry));
        shard.awaiting_token.insert(entry.token_order(), entry);
        self.changed_token_waiters.insert(shard_id);
    }
    /// The request that gets the shard's next retry token.
    pub(crate) fn first_awaiting_token(&self, shard_id: ShardId) -> Option<QueueEntry> {
        self.shards.get(&shard_id)?.awaiting_token.values().next().copied()
    }
    /// The last of the requests that wait for a retry token, if more wait than the limit allows.
    pub(crate) fn excess_awaiting_token(&self, shard_id: ShardId) -> Option<RequestId> {
        let awaiting = &self.shards.get(&shard_id)?.awaiting_token;
        let limit = self.token_wait_limits.get(&shard_id).map_or(0, |limit| *limit as usize);
        awaiting.values().next_back().map(|entry| entry.id).filter(|_| awaiting.len() > limit)
    }
    /// Records that an attempt awaits its connection, or begins after that wait.
    ///
    /// If its units were charged at sending, the limit would refill during the wait, and the node would get
    /// the delayed attempt and new ones at once, more than the limit allows. Its units are held in the limit
    /// for it (`Volume::awaiting_units`) and charged when it begins. This costs nothing.
    pub(crate) fn set_awaiting_connection(&mut self, id: RequestId, attempt: u32, awaiting: bool) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let volume = self.volumes.get_mut(&open.request.volume);
        if let (Some(volume), Some(attempt)) = (volume, open.attempts.get_mut(attempt as usize)) {
            volume.set_awaiting_connection(self.now, attempt, open.request.units, awaiting);
        }
    }
    /// Sets zone, shard and state of a known node, and lists it under its shard, in order of id, if it is on.
    /// The caller handles `started`. `time_constant` is that of a new shard (`Shard::new`).
    pub(crate) fn apply_entry(&mut self, entry: &NodeEntry, time_constant: f64) {
        self.entries_applied += 1;
        let Some(node) = self.nodes.get_mut(&entry.node) else { return };
        if let Some(shard) = self.shards.get_mut(&node.shard) {
            shard.nodes.retain(|id| *id != entry.node);
        }
        (node.zone, node.shard, node.state) = (entry.zone, entry.shard, entry.state);
        if entry.state == NodeState::On {
            let shard = self.shards.entry(entry.shard).or_insert_with(|| Shard::new(time_constant));
            let at = shard.nodes.partition_point(|id| *id < entry.node);
            shard.nodes.insert(at, entry.node);
        }
    }
}
