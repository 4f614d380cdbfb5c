//! One host's scheduler: the entry point for events, the node list, new requests and due wakes.

use crate::interface::*;
use crate::law::*;
use crate::records::DEFAULT_MAX_RECORDS;
use crate::settings::*;
use crate::state::*;

/// Target of the latency ratio beyond the reserve, for units of full worth. It is multiplied by the square
/// root of the worth of the tier: units that earn less stop at a lower latency and leave the node to the
/// rest.
const SPARE_LATENCY_RATIO_TARGET: f64 = 0.38;
/// Weight in answers that the mean over all nodes has in the L of one node, in a large fleet.
const PRIOR_WEIGHT: f64 = 0.3;
/// A request with the fingerprint of one that ended unserved within this time before it is taken for its
/// retry, if it is not marked as one.
const UNMARKED_RETRY_WINDOW: Micros = 50_000;
/// Interval of sweeps, and the same window for requests that are marked as retries.
pub(crate) const SWEEP_INTERVAL: Micros = 5_000_000;
/// Mean pause before subscribing to the node list again after a failure.
const SUBSCRIBE_RETRY: Micros = 1_000_000;

/// One host's scheduler: see the [crate documentation](crate) for its use.
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) latency_ratio_targets: [f64; 3],
    /// Logarithms of the latencies of all nodes.
    pub(crate) fleet_latency: LatencyMean,
    /// Limit of records of each kind (`records.rs`).
    pub(crate) max_records: usize,
    pub(crate) state: State,
}

impl Scheduler {
    /// Creates a scheduler without nodes or requests. `seed` starts its random number generator.
    pub fn new(mut settings: Settings, seed: u64) -> Self {
        settings.hosts = settings.hosts.max(settings.index.saturating_add(1));
        let target = |worth: f64| SPARE_LATENCY_RATIO_TARGET * worth.clamp(0.01, 1.0).sqrt();
        let latency_ratio_targets = [1.0, target(settings.share_worth), target(settings.spare_worth)];
        let state = State { random: seed, ..State::default() };
        Scheduler {
            settings,
            latency_ratio_targets,
            fleet_latency: LatencyMean::new(SMOOTHING),
            max_records: DEFAULT_MAX_RECORDS,
            state,
        }
    }

    /// Handles one event at the time `now` and appends the actions it leads to.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.state.now = now.max(self.state.now);
        self.start_once();
        self.apply_event(event);
        self.run_due_wakes();
        while let Some(shard) = self.state.dirty_shards.pop_first() {
            self.state.shards_examined += 1;
            self.dispatch(shard);
        }
        self.arm_timer();
        actions.append(&mut self.state.actions);
    }

    /// Records the time of the first event, and starts the sweeps and the subscription to the node list.
    fn start_once(&mut self) {
        if self.state.started_at.is_none() {
            self.state.started_at = Some(self.state.now);
            self.state.wakes.insert((self.state.now + SWEEP_INTERVAL, Wake::Sweep));
            if self.settings.needs_subscription {
                self.state.actions.push(Action::Subscribe);
            }
        }
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::Nodes { complete, entries, .. } => self.on_nodes(complete, entries),
            Event::NodeListFailed => {
                let jitter = next_random(&mut self.state.random) % SUBSCRIBE_RETRY as u64;
                let at = self.state.now + SUBSCRIBE_RETRY / 2 + jitter as Micros;
                self.state.wakes.insert((at, Wake::Subscribe));
            }
            Event::Request(request) => self.on_request(request),
            Event::AnswerStarted { request, attempt, node, latency } => {
                self.record_outcome(node, (request, attempt), Outcome::Served, latency, false);
                if let Some(open) = self.state.requests.get_mut(&request) {
                    open.streaming = true;
                }
            }
            Event::Answer(answer) => self.on_answer(answer),
            Event::Withdrawn(id) => {
                self.remember_unserved(id);
                self.close_request(id);
            }
            Event::ConnectionWait { request, attempt, waiting } => {
                self.state.set_awaiting_connection(request, attempt, waiting);
            }
            Event::DeadlineShortened { request, timeout } => {
                if let Some(open) = self.state.requests.get_mut(&request) {
                    open.shorten_deadline(self.state.now + timeout);
                    self.state.wakes.extend(open.wake_times().map(|at| (at, Wake::Request(request))));
                }
            }
            Event::RetryAllowance { shard, tokens, retry_after } => {
                let tokens = RetryTokens { left: tokens, retry_after };
                self.state.retry_tokens.insert(shard, tokens);
                self.state.dirty_shards.insert(shard);
            }
            Event::TokenWaitLimit { shard, max_waiting } => {
                _ = self.state.token_wait_limits.insert(shard, max_waiting)
            }
            Event::Timer(token) => {
                if token == self.state.timer_token {
                    self.state.timer_at = None;
                }
            }
        }
    }

    /// What is known of all nodes together.
    ///
    /// In a large fleet a host gets an answer from one node only every few seconds, so that the node's L is
    /// stale. The L of all its nodes replaces it as the answers age; it is a mean of logarithms, so that a
    /// few failing nodes do not close the rest. This shows an overload of all nodes at once. The cost: a
    /// failing node that answers seldom is tried again too soon.
    pub(crate) fn fleet_view(&self) -> FleetView {
        let weight = self.fleet_latency.weight.sum;
        // Of all hosts, those whose volumes lie at a node: the same fraction as this host uses of the shards.
        let used = self.state.shard_usage.used as f64 / self.state.shards.len().max(1) as f64;
        let fresh_bound = (FLEET_INITIAL_BOUND / (f64::from(self.settings.hosts) * used)).min(1.0);
        let mean = |sum: f64| if weight > 0.0 { (sum / weight).exp() } else { 1.0 };
        let (prior_latency_ratio, prior_latency) =
            (mean(self.fleet_latency.ratio.sum), mean(self.fleet_latency.latency.sum));
        let prior_weight = if fresh_bound < 1.0 { PRIOR_WEIGHT } else { 0.0 };
        let (now, latency_ratio_targets) = (self.state.now, self.latency_ratio_targets);
        FleetView {
            now,
            latency_ratio_targets,
            fresh_bound,
            prior_weight,
            prior_latency_ratio,
            prior_latency,
        }
    }

    fn on_nodes(&mut self, complete: bool, entries: Vec<NodeEntry>) {
        if complete {
            self.state.nodes.values_mut().for_each(|n| n.state = NodeState::Gone);
            self.state.shards.values_mut().for_each(|s| s.nodes.clear());
        }
        for entry in entries {
            let node = self.state.nodes.entry(entry.node).or_insert_with(|| Node::new(&entry, SMOOTHING));
            if entry.started.is_some() && node.started.is_none_or(|t| Some(t) < entry.started) {
                // A new process: neither the failures nor the measured load of the old one apply to it.
                node.started = entry.started;
                (node.failures, node.backoff_until, node.unanswered_since) = (0, 0, None);
                node.latency = LatencyMean::new(SMOOTHING);
                node.in_flight_at_answer = None;
            }
            self.state.apply_entry(&entry, SMOOTHING);
        }
        // Only shards with waiting requests have anything to send, so that the cost of a change grows with
        // the change and the open requests, not with the list.
        self.state.dirty_shards.extend(self.state.requests.values().filter_map(|o| Some(o.waits_at?.0)));
    }

    fn on_request(&mut self, request: Request) {
        let now = self.state.now;
        self.record_arrival();
        let id = request.id;
        let (Some(class), Some(_)) =
            (self.settings.classes.get(request.class), self.settings.plans.get(request.plan))
        else {
            self.state.actions.push(Action::Refuse { request: id, retry_after: 0 });
            return;
        };
        let in_order = class.in_order && request.key.is_some();
        self.record_demand(&request);
        let mut open = self.open_request(request);
        self.assign_reserve(&mut open);
        let (key, timeout, wake_times) = (open.request.key, open.request.timeout, open.wake_times());
        self.state.requests.insert(id, open);
        if timeout <= 0 {
            return self.finish_unserved(id, 0);
        }
        self.state.wakes.extend(wake_times.map(|at| (at, Wake::Request(id))));
        if let (true, Some(key)) = (in_order, key) {
            let order = self.state.key_orders.entry(key).or_default();
            order.requests.push_back(id);
            if order.requests.len() > 1 || now < order.paused_until {
                return;
            }
        }
        self.enqueue(id);
    }

    /// Counts a request's units as demand of its volume, whose record is created if it is new.
    fn record_demand(&mut self, request: &Request) {
        self.make_room_for_volume(request.volume);
        let now = self.state.now;
        let plan = &self.settings.plans[request.plan];
        let hosts = f64::from(request.hosts.max(1));
        let host_started = self.state.started_at.max(self.state.limits_forgotten_at).unwrap_or(now);
        let volume = self.state.volumes.entry(request.volume).or_insert_with(|| Volume {
            // This host may have been killed and restarted, and the process before it may have spent its
            // whole part of the limit. So the bucket is taken as empty at the start, and has refilled since;
            // likewise from when volumes were forgotten, of which this may be one.
            limit: (plan.limit > 0.0).then(|| TokenBucket {
                level: -plan.limit_slack / hosts,
                updated_at: host_started,
                rate: plan.limit / hosts,
                capacity: plan.limit_burst / hosts,
            }),
            reserve: TokenBucket {
                level: plan.reserve + self.settings.max_request_units,
                updated_at: now,
                rate: plan.reserve / hosts.sqrt(),
                capacity: plan.reserve / hosts.sqrt() + self.settings.max_request_units,
            },
            last_request: now,
            metered_use: 0.0,
            awaiting_units: 0.0,
            share_sequence: 0.0,
            demand: DecayingSum::new(SMOOTHING),
        });
        volume.last_request = now;
        volume.demand.add(now, request.units);
    }

    /// Sets a request's time limits, taking over the due time of an earlier try that ended unserved.
    fn open_request(&mut self, request: Request) -> OpenRequest {
        let now = self.state.now;
        let latency_target = self.settings.classes[request.class].latency_target;
        let (own_due, deadline) = (now + latency_target, now + request.timeout);
        // Clients may retry a request many times. All tries share one worth, and the latency target runs from
        // the first try: a retry is due when the first try was, and counts as late from then on. Requests
        // that are not marked as retries are recognised too. The cost: if clients do not mark retries, a
        // request of the same fingerprint just after one that was not served is taken for its retry.
        let window = if request.is_retry { SWEEP_INTERVAL } else { UNMARKED_RETRY_WINDOW };
        let unserved = self.state.recent_unserved.remove(&fingerprint(&request));
        let earlier_try = unserved.filter(|u| now - u.ended < window);
        // A retry after that due time used to be refused at once, and so were all its successors, on an idle
        // node. It is late work, with a latency target of its own to be sent in. For the cost see
        // `admits_late`.
        let late_retry_of = earlier_try.filter(|u| u.due <= now);
        let first_due = earlier_try.map_or(own_due, |u| u.due);
        let due = if late_retry_of.is_some() { own_due } else { first_due }.min(deadline);
        // A client with little time would be kept for most of it and then refused, when it could have gone
        // elsewhere. A request that is not sent in time for its answer to arrive by half of the client's time
        // is refused then; an eighth of that half is left for the answer's way back. The cost: a late chance
        // to be sent is lost.
        let send_by = due.min(now + request.timeout * 7 / 16);
        let mut open = OpenRequest::new(request, RESERVE, first_due, due, deadline);
        open.last_timely_try_ended = late_retry_of.map(|u| u.ended);
        open.send_by = send_by;
        open
    }

    /// Charges a request to its volume's reserve, or moves it to the share tier.
    fn assign_reserve(&mut self, open: &mut OpenRequest) {
        let now = self.state.now;
        let plan = &self.settings.plans[open.request.plan];
        let Some(volume) = self.state.volumes.get_mut(&open.request.volume) else { return };
        // Late retries leave half of the reserve to requests in time.
        let min_remaining = if open.is_late_retry() { volume.reserve.capacity / 2.0 } else { 0.0 };
        if plan.reserve > 0.0 && volume.reserve.level_at(now) >= open.request.units + min_remaining {
            volume.reserve.add(now, -open.request.units);
        } else {
            open.tier = SHARE;
        }
    }

    pub(crate) fn on_wake(&mut self, wake: Wake) {
        match wake {
            Wake::Request(id) => self.check_time_limits(id),
            Wake::Key(key) => self.start_next_of_key(key),
            Wake::Shard(shard_id) => {
                if let Some(shard) = self.state.shards.get_mut(&shard_id) {
                    shard.wake = None;
                }
                self.state.dirty_shards.insert(shard_id);
            }
            Wake::Subscribe => self.state.actions.push(Action::Subscribe),
            Wake::Sweep => self.sweep(),
        }
    }

    /// Answers a request whose answer has not begun if one of its time limits is over.
    fn check_time_limits(&mut self, id: RequestId) {
        let now = self.state.now;
        let Some(open) = self.state.requests.get_mut(&id).filter(|o| !o.streaming) else { return };
        if now >= open.deadline {
            self.finish_unserved(id, 0);
        } else if now >= open.due {
            // Work for late answers displaces requests that could still be in time, and a client that is kept
            // waiting cannot retry. A request that is due and has no attempt in flight is answered now. This
            // also clears the queue of a dead node. The cost: what a late answer earns is lost on an idle
            // node.
            if !open.is_in_flight() {
                self.finish_unserved(id, 0);
            }
        } else if open.is_unwritten() {
            self.finish_unserved(id, 0);
        }
    }
}
