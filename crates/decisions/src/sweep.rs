//! Removes state that no rule needs any more, and closes requests.

use crate::interface::*;
use crate::scheduler::{SWEEP_INTERVAL, Scheduler};
use crate::state::*;

impl Scheduler {
    /// Removes expired records and schedules the next sweep.
    pub(crate) fn sweep(&mut self) {
        let now = self.state.now;
        self.state.wakes.insert((now + SWEEP_INTERVAL, Wake::Sweep));
        self.state.volumes.retain(|_, volume| {
            now - volume.last_request < SWEEP_INTERVAL
                || volume.limit.is_some_and(|bucket| bucket.level_at(now) < bucket.capacity)
                || volume.reserve.level_at(now) < volume.reserve.capacity
        });
        self.state.recent_unserved.retain(|_, unserved| now - unserved.ended < SWEEP_INTERVAL);
        self.state.key_orders.retain(|_, order| !order.requests.is_empty() || now < order.paused_until);
        let window = self.settings.cold_window;
        self.state.nodes.values_mut().for_each(|n| n.recent_sends.retain(|s| s.0 > now - window));
        let window_start = now - self.settings.retry_budget.map_or(0, |b| b.window);
        self.state.request_times.retain(|&t| t >= window_start);
        self.state.retry_times.retain(|&t| t >= window_start);
        self.state.nodes.retain(|_, n| {
            n.state != NodeState::Gone
                || !n.in_flight.is_empty()
                || now - n.last_send <= window.max(SWEEP_INTERVAL)
        });
        for shard in self.state.shards.values_mut() {
            shard.demand_beyond_reserve.retain(|_, (units, _)| units.value_at(now) > 0.01);
        }
    }

    /// Closes a request; it is removed once none of its attempts is in flight.
    pub(crate) fn close_request(&mut self, id: RequestId) {
        self.dequeue(id, false);
        let Some(open) = self.state.requests.get_mut(&id) else { return };
        if !open.finished {
            open.finished = true;
            for at in open.wake_times() {
                self.state.wakes.remove(&(at, Wake::Request(id)));
            }
        }
        if open.is_in_flight() {
            return;
        }
        let Some(open) = self.state.requests.remove(&id) else { return };
        let in_order = self.settings.classes[open.request.class].in_order;
        let Some(key) = open.request.key.filter(|_| in_order) else { return };
        let Some(order) = self.state.key_orders.get_mut(&key) else { return };
        if order.requests.front() == Some(&id) {
            order.requests.pop_front();
            self.start_next_of_key(key);
        } else {
            order.requests.retain(|&r| r != id);
        }
    }
}
