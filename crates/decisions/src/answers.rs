//! What the outcome of an attempt tells about its node, and the one final answer of each request.

use crate::interface::*;
use crate::scheduler::Scheduler;
use crate::settings::*;
use crate::state::*;

/// Least latency ratio that `Outcome::Full` counts as: the node's queue was longer than it accepts.
const FULL_RATIO: f64 = 2.0;
/// First pause after a node was unreachable, reset a connection or was full; doubled each time.
const BACKOFF: Micros = 50_000;
/// Doublings of that pause at most.
const BACKOFF_DOUBLINGS: u32 = 4;
/// Time constant with which a shard's peak of service decays, in microseconds.
const PEAK_DECAY: f64 = 15e6;

impl Node {
    /// Updates the law with the end of an attempt.
    fn record_latency(&mut self, now: Micros, attempt: InFlight, outcome: Outcome, latency: Micros) {
        let ratio = latency as f64 / attempt.latency_target as f64;
        match outcome {
            Outcome::Served => self.record_answer(now, ratio, latency),
            // Quick errors would lower L and raise the bound without limit, so that an error counts as at
            // least at target. The cost: a few stray errors on a fast node keep its bound a little lower.
            Outcome::Error => self.record_answer(now, ratio.max(1.0), latency),
            Outcome::Full => self.record_answer(now, ratio.max(FULL_RATIO), latency),
            Outcome::TimedOut if attempt.overtaken > 0 => {}
            Outcome::TimedOut | Outcome::Reset => self.record_answer(now, ratio.max(1.0), latency),
            Outcome::Unreachable | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Counts failures in a row, and pauses sends after them.
    fn record_health(&mut self, now: Micros, attempt: InFlight, outcome: Outcome) {
        match outcome {
            Outcome::Served | Outcome::Error => {
                self.failures = 0;
                self.unanswered_since = None;
            }
            // Single connections break while their node serves others, and pauses kept such a node empty.
            // Only a second failure in a row counts against the node. The cost: a dead node gets one more
            // request.
            Outcome::Reset if self.failures == 0 => self.failures = 1,
            Outcome::Full | Outcome::Unreachable | Outcome::Reset
                if attempt.sent >= self.backoff_until || self.failures == 0 =>
            {
                self.backoff_until = now + (BACKOFF << self.failures.min(BACKOFF_DOUBLINGS));
                self.failures += 1;
            }
            Outcome::TimedOut if self.is_silent(now) => self.failures += 1,
            _ => {}
        }
    }

    /// Counts the served attempt, sent at `sent`, as overtaking those sent before it.
    ///
    /// Single attempts are lost while their node answers others, and each occupied a place until its client
    /// gave up. An attempt that several sent later have overtaken is taken for lost and occupies none. This
    /// also detects a process whose restart was not seen. The cost: a node that does not serve in order of
    /// arrival gets slightly more than its bound.
    fn count_overtaken(&mut self, sent: Micros) {
        self.in_flight.values_mut().filter(|f| f.sent < sent).for_each(|f| f.overtaken += 1);
    }

    /// Restarts the time without an answer, or clears it if nothing is in flight.
    fn update_unanswered(&mut self, now: Micros) {
        if self.in_flight.is_empty() {
            self.unanswered_since = None;
        } else if self.unanswered_since.is_none() {
            self.unanswered_since = Some(now);
        }
    }
}

impl Scheduler {
    /// Updates the law and the node's health with the outcome of an attempt. `ended`: it is no longer in
    /// flight; otherwise its answer has only begun.
    pub(crate) fn record_outcome(
        &mut self,
        id: NodeId,
        attempt: (RequestId, u32),
        outcome: Outcome,
        latency: Micros,
        ended: bool,
    ) {
        let now = self.state.now;
        let Some(node) = self.state.nodes.get_mut(&id) else { return };
        let Some(&in_flight) = node.in_flight.get(&attempt) else { return };
        let ratio = latency as f64 / in_flight.latency_target as f64;
        if outcome == Outcome::Served {
            self.fleet_latency.add(now, ratio.max(1e-3).ln(), (latency as f64).max(1.0).ln());
        }
        node.record_latency(now, in_flight, outcome, latency);
        node.record_health(now, in_flight, outcome);
        if ended {
            node.in_flight.remove(&attempt);
        }
        if outcome == Outcome::Served {
            node.count_overtaken(in_flight.sent);
        }
        node.update_unanswered(now);
        self.state.dirty_shards.insert(node.shard);
    }

    pub(crate) fn on_answer(&mut self, answer: Answer) {
        let now = self.state.now;
        let (id, node_id) = (answer.request, answer.node);
        self.record_outcome(node_id, (id, answer.attempt), answer.outcome, answer.latency, true);
        // An attempt that was not sent although it was still valid found no connection, nor would another.
        let no_connection =
            answer.outcome == Outcome::NotSent && self.attempt_is_valid(now, id, answer.attempt, node_id);
        if !self.record_attempt_end(&answer) {
            return;
        }
        self.pause_key(id, answer.outcome);
        let Some(open) = self.state.requests.get(&id) else { return };
        if answer.settled || open.finished {
            self.close_request(id);
        } else if no_connection || now >= open.deadline || now >= open.send_by && open.is_unwritten() {
            self.finish_unserved(id, 0);
        } else if !open.is_in_flight() && open.waits_at.is_none() {
            self.enqueue(id);
        }
    }

    /// Records the end of an attempt with its request, volume and shard; false if the attempt is unknown.
    fn record_attempt_end(&mut self, answer: &Answer) -> bool {
        let now = self.state.now;
        let Some(open) = self.state.requests.get_mut(&answer.request) else { return false };
        let Some(attempt) = open.attempts.get_mut(answer.attempt as usize) else { return false };
        if let (Some(metered_use), Some(volume)) =
            (answer.metered_use, self.state.volumes.get_mut(&open.request.volume))
        {
            volume.metered_use = metered_use;
        }
        attempt.state = match answer.outcome {
            Outcome::Full => AttemptState::NeverRan,
            Outcome::Unreachable => AttemptState::Unreachable,
            Outcome::NotSent => AttemptState::NotSent,
            _ => AttemptState::MayHaveRun,
        };
        if let Some(volume) = self.state.volumes.get_mut(&open.request.volume) {
            volume.release_unsent(attempt, open.request.units);
        }
        if answer.outcome == Outcome::Served
            && let Some(shard) = self.state.shards.get_mut(&attempt.shard)
        {
            shard.record_served(now, open.request.units, PEAK_DECAY);
        }
        true
    }

    /// Pauses the key of a request that runs in order after an attempt that may still run.
    fn pause_key(&mut self, id: RequestId, outcome: Outcome) {
        let Some(open) = self.state.requests.get(&id) else { return };
        if self.settings.classes[open.request.class].in_order
            && matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
            && let Some(order) = open.request.key.and_then(|k| self.state.key_orders.get_mut(&k))
        {
            order.paused_until = order.paused_until.max(self.state.now + self.settings.key_pause);
        }
    }

    /// Gives a request its one final answer: a refusal if nothing can have run or a second run is harmless,
    /// otherwise a failure.
    pub(crate) fn finish_unserved(&mut self, id: RequestId, retry_after: Micros) {
        let Some(open) = self.state.requests.get(&id).filter(|o| !o.finished) else { return };
        let retry_after = self.state.awaited_tokens(open).map_or(retry_after, |tokens| tokens.retry_after);
        let class = &self.settings.classes[open.request.class];
        let retry_is_harmless = matches!(
            class.idempotency,
            Idempotency::Safe | Idempotency::Keyed { scope: DedupScope::All, .. }
        ) || open.uncertain_attempts().next().is_none();
        if retry_is_harmless {
            let advised = retry_after.max(class.latency_target / 4).min(self.settings.max_retry_after);
            let retry_after = if self.settings.retry_advice { advised } else { 0 };
            self.state.actions.push(Action::Refuse { request: id, retry_after });
        } else {
            self.state.actions.push(Action::Fail { request: id });
        }
        self.state.count_unserved(id);
        self.remember_unserved(id);
        self.close_request(id);
    }

    /// Records when a request that ends unserved was due, for its client's retry.
    ///
    /// If each refusal of a late retry renewed this record, refusals would cause further refusals. The
    /// record's lifetime, `SWEEP_INTERVAL`, counts from the end of the last try that was not late. The cost:
    /// a client that retries for longer than that gets a new latency target.
    pub(crate) fn remember_unserved(&mut self, id: RequestId) {
        self.make_room_for_unserved();
        if let Some(open) = self.state.requests.get(&id) {
            let unserved =
                Unserved { due: open.first_due, ended: open.last_timely_try_ended.unwrap_or(self.state.now) };
            self.state.recent_unserved.insert(fingerprint(&open.request), unserved);
        }
    }

    /// Enqueues the first request of a key, unless the key is paused.
    pub(crate) fn start_next_of_key(&mut self, key: KeyId) {
        let Some(order) = self.state.key_orders.get(&key) else { return };
        if self.state.now < order.paused_until {
            self.state.wakes.insert((order.paused_until, Wake::Key(key)));
        } else if let Some(&id) = order.requests.front() {
            let open = self.state.requests.get(&id);
            if open.is_some_and(|o| !o.finished && o.waits_at.is_none() && !o.is_in_flight()) {
                self.enqueue(id);
            }
        } else {
            self.state.key_orders.remove(&key);
        }
    }
}
