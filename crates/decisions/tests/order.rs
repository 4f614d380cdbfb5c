//! In which order requests of one worth leave a queue: by arrival while they can be served well within their aim.

mod common;
use common::*;
use decisions::*;

/// A node that serves `places` requests beside each other, each in the same time, and clients that keep a number of
/// requests in hand.
struct ClosedLoop {
    h: Host,
    next: u64,
    /// Requests in hand, and when they came.
    in_hand: Vec<(u64, Micros)>,
    waits: Vec<Micros>,
    unserved: usize,
    /// Of eight requests, so many are for one block.
    hot: u64,
    /// Actions of the host's log that were looked at.
    seen: usize,
}

impl ClosedLoop {
    const SERVICE: Micros = 200;

    fn new(nodes: &[NodeEntry], hot: u64) -> Self {
        let mut set = settings();
        set.plans[0].reserve = 1e9;
        let h = Host::with_nodes(set, nodes);
        ClosedLoop { h, next: 0, in_hand: Vec::new(), waits: Vec::new(), unserved: 0, hot, seen: 0 }
    }

    /// Clients come with requests until so many are in hand, `hot` of every eight for one block.
    fn fill(&mut self, depth: usize) {
        while self.in_hand.len() < depth {
            let mut ask = request(self.next);
            if self.next % 8 < self.hot {
                ask.key = Some(KeyId(u64::MAX));
            }
            self.h.ask(ask);
            self.in_hand.push((self.next, self.h.now));
            self.next += 1;
        }
    }

    /// The node answers all that has been out for its service time; clients come with the next ones.
    fn turn(&mut self, depth: usize) {
        self.h.wait(Self::SERVICE);
        let out: Vec<(RequestId, u32)> = self.h.checker.out.keys().copied().collect();
        for (id, attempt) in out {
            let (_, sent) = self.h.checker.out[&(id, attempt)];
            if self.h.now - sent >= Self::SERVICE {
                self.h.answer(id.0, attempt, Outcome::Served);
                if let Some(at) = self.in_hand.iter().position(|(n, _)| *n == id.0) {
                    let (_, came) = self.in_hand.swap_remove(at);
                    self.waits.push(self.h.now - came);
                }
                self.fill(depth);
            }
        }
        for (_, action) in &self.h.log[self.seen..] {
            if let Action::Refuse { request, .. } = action {
                self.in_hand.retain(|(n, _)| *n != request.0);
                self.unserved += 1;
            }
        }
        self.seen = self.h.log.len();
        self.fill(depth);
    }
}

/// Plays 128 requests in hand at one node, `hot` of every eight for one block: all are served, in a moment.
fn nobody_is_left_behind(hot: u64) {
    const DEPTH: usize = 128;
    let mut load = ClosedLoop::new(&[entry(0, 0)], hot);
    load.fill(DEPTH);
    for _ in 0..2_000 {
        load.turn(DEPTH);
    }
    let served = load.waits.len();
    load.waits.sort_unstable();
    assert!(served > 30_000, "{served} served");
    assert_eq!(load.unserved, 0, "of {served} were turned away");
    assert!(load.waits[served * 999 / 1000] < 20_000, "p99.9 is {} us", load.waits[served * 999 / 1000]);
    load.h.checker.assert_clean();
}

/// Guards against oldest requests that wait until they are refused while the node could serve all in a moment.
#[test]
fn a_queue_that_never_empties_leaves_nobody_behind() {
    nobody_is_left_behind(0);
}

/// Guards against one block read by many that keeps all others waiting, as runs on one block go first.
#[test]
fn a_block_that_many_read_leaves_nobody_behind() {
    nobody_is_left_behind(6);
}

/// Guards against the order of arrival under an overload that lasts, where it sends each request when it can only just be late.
#[test]
fn an_overload_that_lasts_leaves_what_is_served_in_time() {
    const EACH: Micros = 4_000;
    const SECONDS: Micros = 20;
    let mut set = settings();
    set.plans[0].reserve = 1e9;
    let aim = set.classes[0].aim;
    let mut h = Host::with_nodes(set, &[entry(0, 0)]);
    let (mut next, mut busy_until, mut in_time) = (0, 0, 0);
    // Two requests come in the time that the node takes for one, which it serves one by one.
    while h.now < SECONDS * SECOND {
        for _ in 0..2 {
            h.ask(request(next));
            next += 1;
        }
        if h.now >= busy_until
            && let Some((&(id, attempt), _)) = h.checker.out.iter().min_by_key(|(_, (_, sent))| *sent)
        {
            let came = id.0 as Micros / 2 * EACH;
            h.answer(id.0, attempt, Outcome::Served);
            in_time += u64::from(h.now - came <= aim);
            busy_until = h.now + EACH;
        }
        h.wait(EACH);
    }
    let could = (SECONDS * SECOND / EACH) as u64;
    assert!(in_time * 10 > could * 9, "{in_time} in time of {could} that the node could serve");
    h.checker.assert_clean();
}
