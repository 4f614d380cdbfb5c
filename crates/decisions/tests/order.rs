//! The order in which requests of the same worth leave a queue: by arrival while they are sent well within
//! their latency target.

mod common;
use common::*;
use decisions::*;

/// A node that serves all its requests in the same time, and clients that keep a constant number of requests
/// open.
struct ClosedLoop {
    host: Host,
    next: u64,
    /// Open requests, and when they arrived.
    open: Vec<(u64, Micros)>,
    waits: Vec<Micros>,
    unserved: usize,
    /// How many of eight requests are for the same key.
    hot: u64,
    /// Number of the host's actions that have been processed.
    processed: usize,
}

impl ClosedLoop {
    const SERVICE: Micros = 200;

    fn new(nodes: &[NodeEntry], hot: u64) -> Self {
        let mut host_settings = settings();
        host_settings.plans[0].reserve = 1e9;
        let host = Host::with_nodes(host_settings, nodes);
        ClosedLoop { host, next: 0, open: Vec::new(), waits: Vec::new(), unserved: 0, hot, processed: 0 }
    }

    /// Adds requests until `depth` are open.
    fn fill(&mut self, depth: usize) {
        while self.open.len() < depth {
            let mut new_request = request(self.next);
            if self.next % 8 < self.hot {
                new_request.key = Some(KeyId(u64::MAX));
            }
            self.host.submit(new_request);
            self.open.push((self.next, self.host.now));
            self.next += 1;
        }
    }

    /// Lets the node answer all requests that are due, and the clients send new ones.
    fn step(&mut self, depth: usize) {
        self.host.advance(Self::SERVICE);
        let in_flight: Vec<(RequestId, u32)> = self.host.checker.in_flight.keys().copied().collect();
        for (id, attempt) in in_flight {
            let (_, sent) = self.host.checker.in_flight[&(id, attempt)];
            if self.host.now - sent >= Self::SERVICE {
                self.host.answer(id.0, attempt, Outcome::Served);
                if let Some(at) = self.open.iter().position(|(n, _)| *n == id.0) {
                    let (_, arrived) = self.open.swap_remove(at);
                    self.waits.push(self.host.now - arrived);
                }
                self.fill(depth);
            }
        }
        for (_, action) in &self.host.log[self.processed..] {
            if let Action::Refuse { request, .. } = action {
                self.open.retain(|(n, _)| *n != request.0);
                self.unserved += 1;
            }
        }
        self.processed = self.host.log.len();
        self.fill(depth);
    }
}

/// Keeps 128 requests open at one node, `hot` of every eight for the same key: all are served quickly.
fn check_all_are_served(hot: u64) {
    const DEPTH: usize = 128;
    let mut load = ClosedLoop::new(&[entry(0, 0)], hot);
    load.fill(DEPTH);
    for _ in 0..2_000 {
        load.step(DEPTH);
    }
    let served = load.waits.len();
    load.waits.sort_unstable();
    assert!(served > 30_000, "{served} served");
    assert_eq!(load.unserved, 0, "of {served} were refused");
    assert!(load.waits[served * 999 / 1000] < 20_000, "p99.9 is {} us", load.waits[served * 999 / 1000]);
    load.host.checker.assert_no_breach();
}

/// Guards against old requests that wait until they are refused although the node could serve all at once.
#[test]
fn a_queue_that_never_empties_leaves_nobody_behind() {
    check_all_are_served(0);
}

/// Guards against a key read by many clients that delays all other requests, as requests for the same key go
/// first.
#[test]
fn a_block_that_many_read_leaves_nobody_behind() {
    check_all_are_served(6);
}

/// Guards against the order of arrival under a lasting overload, where it would send each request when it can
/// only be late.
#[test]
fn a_lasting_overload_still_lets_requests_be_served_in_time() {
    const SERVICE: Micros = 4_000;
    const SECONDS: Micros = 20;
    let mut host_settings = settings();
    host_settings.plans[0].reserve = 1e9;
    let latency_target = host_settings.classes[0].latency_target;
    let mut host = Host::with_nodes(host_settings, &[entry(0, 0)]);
    let (mut next, mut busy_until, mut in_time) = (0, 0, 0);
    // Two requests arrive in the service time of one; the node serves them one by one.
    while host.now < SECONDS * SECOND {
        for _ in 0..2 {
            host.submit(request(next));
            next += 1;
        }
        if host.now >= busy_until
            && let Some((&(id, attempt), _)) =
                host.checker.in_flight.iter().min_by_key(|(_, (_, sent))| *sent)
        {
            let arrived = id.0 as Micros / 2 * SERVICE;
            host.answer(id.0, attempt, Outcome::Served);
            in_time += u64::from(host.now - arrived <= latency_target);
            busy_until = host.now + SERVICE;
        }
        host.advance(SERVICE);
    }
    let max_served = (SECONDS * SECOND / SERVICE) as u64;
    assert!(in_time * 10 > max_served * 9, "{in_time} in time of {max_served} that the node could serve");
    host.checker.assert_no_breach();
}
