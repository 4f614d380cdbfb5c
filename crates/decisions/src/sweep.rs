//! Forgetting: tables keep what a rule may still ask for. Nothing is decided here.

use crate::interface::*;
use crate::scheduler::{SWEEP, Scheduler};
use crate::state::*;

impl Scheduler {
    /// Forgets what no rule needs any more.
    pub(crate) fn sweep(&mut self) {
        let now = self.mem.now;
        self.mem.wakes.insert((now + SWEEP, Wake::Sweep));
        self.mem.volumes.retain(|_, v| {
            now - v.seen < SWEEP
                || v.limit.is_some_and(|s| s.read(now) < s.cap)
                || v.reserve.read(now) < v.reserve.cap
        });
        self.mem.unserved.retain(|_, u| now - u.ended < SWEEP);
        self.mem.turns.retain(|_, t| !t.line.is_empty() || now < t.rest);
        let window = self.set.cold_window;
        self.mem.nodes.values_mut().for_each(|n| n.sends.retain(|s| s.0 > now - window));
        let counted = now - self.set.budget.map_or(0, |b| b.window);
        self.mem.taken.retain(|&t| t >= counted);
        self.mem.further.retain(|&t| t >= counted);
        self.mem.nodes.retain(|_, n| {
            n.state != NodeState::Gone || !n.out.is_empty() || now - n.last_send <= window.max(SWEEP)
        });
        for shard in self.mem.shards.values_mut() {
            shard.asked.retain(|_, (f, _)| f.read(now) > 0.01);
        }
    }

    /// Ends a request here; it is forgotten once nothing of it is out.
    pub(crate) fn close(&mut self, id: RequestId) {
        self.dequeue(id, false);
        let Some(open) = self.mem.requests.get_mut(&id) else { return };
        if !open.finished {
            open.finished = true;
            for at in open.ends() {
                self.mem.wakes.remove(&(at, Wake::Request(id)));
            }
        }
        if open.out() {
            return;
        }
        let Some(open) = self.mem.requests.remove(&id) else { return };
        let Some(key) = open.ask.key.filter(|_| self.set.classes[open.ask.class].in_order) else { return };
        let Some(turn) = self.mem.turns.get_mut(&key) else { return };
        if turn.line.front() == Some(&id) {
            turn.line.pop_front();
            self.next_turn(key);
        } else {
            turn.line.retain(|&r| r != id);
        }
    }
}
