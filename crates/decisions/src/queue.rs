//! What waits, per shard, by worth and then in order of arrival or latest due first; and what goes out.

use std::collections::BTreeMap;

use crate::cold::GOLDEN;
use crate::interface::*;
use crate::law::*;
use crate::scheduler::Scheduler;
use crate::state::*;
use crate::verdict::Verdict;

/// How many waiting requests are looked at for one send.
const SCAN: usize = 24;
/// Multiple of a volume's usual rate that counts as within its share in a crowd.
const OVER: f64 = 2.0;
/// The part of its aim for which a request may wait before its queue counts as behind.
const PROMPT: f64 = 0.25;
/// Places in the queues beyond the rights there are, so that one whose volume holds it does not hold a right.
const SPARE_PLACES: usize = 4;

impl Queue {
    /// Danger: under an overload that lasts, whoever came first can only just be late, so that the latest due
    /// goes first. Where a queue merely never empties, that passes its oldest over until they are late, on a
    /// node that could serve them in a moment. So it is the order of arrival while what waits is sent well
    /// within its aim. Harm: as an overload begins, up to `PROMPT` of the aims is spent.
    fn in_order(&self) -> impl Iterator<Item = RequestId> {
        let order = if self.behind { &self.latest_due } else { &self.by_arrival };
        order.iter().map(|(_, id)| *id)
    }
}

impl Shard {
    /// Whether work whose aim is over may wait here.
    ///
    /// Danger: late work crowds out what could be in time, when two thousand clients come back at once. It is
    /// turned away where what waits is not sent well within its aim, and where the law would give nothing
    /// beyond the shares. Once a queue is behind, it is the last in it. Harm: as many come at once, those in
    /// time wait for up to `PROMPT` of their aim.
    fn admits_late(&self, rank: i32, nodes: &BTreeMap<NodeId, Node>, v: &View) -> bool {
        let mut queues = self.queues.iter();
        let behind = queues.any(|(r, q)| q.is_overdue(v.now) || *r == rank && q.behind);
        (!behind || self.waiting == 0) && self.nodes.iter().any(|id| nodes[id].has_spare(v))
    }
}

impl Scheduler {
    /// The shard that a request is to wait at: its own, that of the nodes which know its key, or, for a
    /// new object, the one whose node is least loaded under its bound.
    fn shard_of(&self, open: &Open) -> Option<ShardId> {
        if let Some(shard) = open.ask.shard.or(open.doubt().next().map(|a| a.shard)) {
            return Some(shard);
        }
        let v = self.view();
        let fill = |n: &Node| {
            let waiting = self.mem.shards.get(&n.shard).map_or(0, |s| s.waiting);
            (n.out.len() + waiting + 1) as f64 / n.bound(RESERVE, &v) * n.load(&v).max(0.1)
        };
        let usable = |n: &&Node| {
            n.state == NodeState::On
                && !n.silent(self.mem.now)
                && n.failures == 0
                && self.cold(n, &open.ask).is_none()
        };
        let best = self.mem.nodes.values().filter(usable).min_by(|a, b| fill(a).total_cmp(&fill(b)));
        best.or(self.mem.nodes.values().find(|n| n.state == NodeState::On)).map(|n| n.shard)
    }

    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let (now, v) = (self.mem.now, self.view());
        let Some(open) = self.mem.requests.get(&id) else { return };
        let Some(shard_id) = self.shard_of(open) else {
            return; // No node is listed at all: it waits for the list or its end.
        };
        let shard = self.mem.shards.entry(shard_id).or_insert_with(|| Shard::new(SMOOTHING));
        let Some(open) = self.mem.requests.get_mut(&id) else { return };
        // Of repeats only what meets a shard first: they would make few shards look like all that there are.
        if open.ask.shard.is_some() && (shard.asks == 0 || !open.needs_right()) {
            self.mem.spread.met(&mut shard.asks);
        }
        let plan = &self.set.plans[open.ask.plan];
        if open.attempts.is_empty() {
            if open.step == RESERVE {
                shard.reserved.add(now, open.ask.units);
            } else {
                let weight = if plan.weight > 0.0 { plan.weight } else { 1.0 };
                let asked = shard.asked.entry(open.ask.volume).or_insert((Fading::over(SMOOTHING), weight));
                asked.0.add(now, open.ask.units);
                let mut within = asked.0.read(now) / asked.1 <= shard.level(now);
                // Danger: a host of a crowd sees too little of a node to tell its power. There units also
                // count as within the share while the volume keeps near its usual rate, as metered or seen
                // here. Harm: surges of many volumes at once pass for a while.
                if let (true, Some(volume)) = (v.fresh < 1.0, self.mem.volumes.get_mut(&open.ask.volume)) {
                    volume.phase = (volume.phase + GOLDEN) % 1.0;
                    let used = volume.used.max(volume.asked.read(now) / plan.rate.max(1e-3));
                    within |= volume.phase * used < OVER;
                }
                open.step = if within { SHARE } else { SPARE };
            }
        }
        let class = &self.set.classes[open.ask.class];
        let step = match open.step {
            RESERVE => 1.0,
            SHARE => self.set.share_worth,
            _ => self.set.spare_worth,
        };
        let worth = (class.worth * plan.price * step).max(1e-6);
        let rank = (-2.0 * worth.log2()).round() as i32;
        if open.late.is_some() && !shard.admits_late(rank, &self.mem.nodes, &v) {
            return self.finish(id, 0);
        }
        let place = Place { rank, due: -open.first.min(open.due), id, prompt: now };
        self.place(shard_id, place);
    }

    /// Takes a request out of its queue: it is sent, or ended.
    pub(crate) fn dequeue(&mut self, id: RequestId, sent: bool) {
        let now = self.mem.now;
        let Some(open) = self.mem.requests.get_mut(&id) else { return };
        let Some((shard_id, place)) = open.place.take() else { return };
        let Some(shard) = self.mem.shards.get_mut(&shard_id) else { return };
        if shard.awaiting.remove(&place.turn()).is_some() {
            self.mem.short.insert(shard_id);
        } else if let Some(queue) = shard.remove(place, open.ask.key) {
            queue.behind = queue.is_overdue(now) || !sent && (queue.behind || place.prompt < now);
        }
        if !shard.awaiting.is_empty() {
            self.mem.dirty.insert(shard_id);
        }
    }

    /// Keeps as many of those that need a right in the queues as may find one; whether one was moved.
    ///
    /// Danger: rights come as requests are served, so that what is refused for want of one could go out
    /// within a millisecond. As many as may wait do so, out of the queues, where they would hold up others.
    /// The rest is answered at once, so that its clients come back when told. Harm: what waits in vain is
    /// answered that much later.
    fn keep_to_rights(&mut self, shard_id: ShardId, rights: Rights) -> bool {
        let Some(shard) = self.mem.shards.get(&shard_id) else { return false };
        let places = match rights.left {
            0 => 0,
            left if self.mem.await_limits.contains_key(&shard_id) => left as usize + SPARE_PLACES,
            _ => usize::MAX,
        };
        if let Some(&place) = shard.needy.last().filter(|_| shard.needy.len() > places) {
            self.wait_for_right(shard_id, place, rights);
        } else if let (true, Some(place)) = (shard.needy.len() < places, self.mem.first_awaiting(shard_id)) {
            self.dequeue(place.id, false);
            self.place(shard_id, place);
        } else if let Some(id) = self.mem.too_many_awaiting(shard_id) {
            self.finish(id, rights.come_back);
        } else {
            return false;
        }
        true
    }

    /// Takes a request out of its queue until there is a right, unless none would help it; or its line would
    /// have to wait with it.
    fn wait_for_right(&mut self, shard_id: ShardId, place: Place, rights: Rights) {
        let (Some(open), Some(shard)) = (self.mem.requests.get(&place.id), self.mem.shards.get(&shard_id))
        else {
            return;
        };
        let never = |n: &NodeId| matches!(self.with_a_right(place.id, &self.mem.nodes[n]), Verdict::Never);
        let in_order = self.set.classes[open.ask.class].in_order;
        if in_order || !shard.nodes.is_empty() && shard.nodes.iter().all(never) {
            return self.finish(place.id, rights.come_back);
        }
        self.dequeue(place.id, false);
        self.mem.await_right(shard_id, place);
    }

    /// Gives a request its place in a queue, from now on.
    fn place(&mut self, shard_id: ShardId, place: Place) {
        let Some(open) = self.mem.requests.get(&place.id) else { return };
        let aim = self.set.classes[open.ask.class].aim;
        let prompt = self.mem.now + (PROMPT * aim as f64) as Micros;
        self.mem.put(shard_id, Place { prompt, ..place });
        self.mem.dirty.insert(shard_id);
    }

    pub(crate) fn pump(&mut self, shard_id: ShardId) {
        let now = self.mem.now;
        if let Some(shard) = self.mem.shards.get_mut(&shard_id) {
            shard.queues.values_mut().for_each(|queue| queue.behind |= queue.is_overdue(now));
        }
        loop {
            let rights = self.mem.rights.get(&shard_id).copied();
            if rights.is_some_and(|rights| self.keep_to_rights(shard_id, rights)) {
                continue;
            }
            let Some(shard) = self.mem.shards.get(&shard_id).filter(|s| s.waiting > 0) else { return };
            let mut wake: Option<Micros> = None;
            let mut later =
                |at: Option<Micros>| wake = at.map_or(wake, |t| Some(wake.map_or(t, |w| w.min(t))));
            let v = self.view();
            let mut best: Option<(f64, NodeId)> = None;
            for &id in &shard.nodes {
                let node = &self.mem.nodes[&id];
                match node.ready(&v) {
                    Err(at) => later(at),
                    Ok(()) => {
                        let fill = node.out.len() as f64 / node.bound(RESERVE, &v);
                        if best.is_none_or(|(f, _)| fill < f) {
                            best = Some((fill, id));
                        }
                    }
                }
            }
            let mut chosen = None;
            let mut doomed = Vec::new();
            if let Some((_, node_id)) = best {
                let node = &self.mem.nodes[&node_id];
                // A request on the data just sent to the node costs it far less: runs stay together.
                let run = shard.last_key.and_then(|k| shard.by_key.get(&k)).and_then(|line| line.first());
                let waiting = shard.queues.values().flat_map(Queue::in_order);
                for id in run.map(|place| place.id).into_iter().chain(waiting).take(SCAN) {
                    match self.verdict(id, node) {
                        Verdict::Go => {
                            chosen = Some((id, node_id));
                            break;
                        }
                        Verdict::Wait(at) => later(at),
                        Verdict::Never => doomed.push(id),
                    }
                }
            }
            if let Some((id, node)) = chosen {
                self.send(id, node);
            } else if doomed.is_empty() {
                if let Some(at) = wake
                    && let Some(shard) = self.mem.shards.get_mut(&shard_id)
                    && shard.wake.is_none_or(|w| at < w || w <= now)
                {
                    shard.wake = Some(at);
                    self.mem.wakes.insert((at, Wake::Shard(shard_id)));
                }
                return;
            }
            for id in doomed {
                self.finish(id, 0);
            }
        }
    }

    fn send(&mut self, id: RequestId, node_id: NodeId) {
        let (now, v) = (self.mem.now, self.view());
        self.dequeue(id, true);
        let (Some(open), Some(node)) = (self.mem.requests.get_mut(&id), self.mem.nodes.get_mut(&node_id))
        else {
            return;
        };
        let charged = open.uncharged();
        if charged
            && let Some(volume) = self.mem.volumes.get_mut(&open.ask.volume)
            && let Some(store) = &mut volume.limit
        {
            store.add(now, -open.ask.units);
        }
        if self.set.budget.is_some() && open.tries() > 0 {
            self.mem.further.push_back(now);
        }
        if let (true, Some(rights)) = (open.needs_right(), self.mem.rights.get_mut(&node.shard)) {
            rights.left = rights.left.saturating_sub(1);
        }
        let aim = self.set.classes[open.ask.class].aim.max(1);
        let part = STEPS.map(|step| node.bound(step, &v).min(1.0));
        node.paid = STEPS.map(|step| node.paid[step].max(now) + node.gap(step, &v));
        open.attempts.push(Attempt::out_at(node, now, charged));
        node.begin((id, open.last_attempt()), Flight { sent: now, aim, part, overtaken: 0 }, open.ask.units);
        if let Some(shard) = self.mem.shards.get_mut(&node.shard) {
            shard.last_key = open.ask.key;
        }
        self.mem.actions.push(Action::Send { request: id, node: node_id, patience: 0 });
    }
}
