//! Client retries of requests that ended unserved: what they take over from the earlier try, and what they do
//! not.

mod common;
use std::collections::BTreeMap;

use common::*;
use decisions::*;

/// Service time of a request.
const SERVICE: Micros = 1_000;

/// Sends the first try of a request, which its client withdraws: its retries take over its due time.
fn withdraw_first_try(host: &mut Host) {
    host.submit(request(0));
    host.handle(Event::Withdrawn(RequestId(0)));
    host.answer(0, 0, Outcome::Cancelled);
}

/// A marked retry of that first try.
fn retry(id: u64) -> Request {
    Request { key: request(0).key, is_retry: true, ..request(id) }
}

/// Lets a node answer all its attempts after the service time.
fn serve_all(host: &mut Host) {
    host.advance(SERVICE);
    while let Some(&(id, attempt)) = host.checker.in_flight.keys().next() {
        host.answer(id.0, attempt, Outcome::Served);
    }
}

/// How many of `count` retries, one every `pause`, are sent to an idle node.
fn served_of(count: u64, pause: Micros) -> usize {
    let mut host = Host::with_nodes(settings(), &[entry(0, 0)]);
    withdraw_first_try(&mut host);
    for id in 1..=count {
        host.advance(pause);
        host.submit(retry(id));
        serve_all(&mut host);
    }
    host.checker.assert_no_breach();
    host.sent().len() - 1
}

/// Guards against retries that an idle node never serves because the latency target of the first try is over.
#[test]
fn an_idle_node_serves_every_retry_whenever_it_comes() {
    for (pause, count) in [(60_000, 200), (SECOND, 20), (4 * SECOND, 20), (11 * SECOND, 5)] {
        assert_eq!(served_of(count, pause), count as usize, "one retry every {pause} us");
    }
}

/// A node whose initial bound is filled with requests that it never answers, and one more that waits until
/// its latency target is over.
fn overloaded_node() -> Host {
    let mut host = Host::with_nodes(settings(), &[entry(0, 0)]);
    for id in 100..105 {
        host.submit(request(id));
    }
    host.advance(210_000);
    host
}

/// Guards against retries whose refusals renew the record that causes them: the record of the first try
/// expires.
#[test]
fn a_refused_retry_does_not_renew_the_record_of_the_first_try() {
    let mut host = overloaded_node();
    assert!(host.refusal_advice(104).is_some(), "it waited until its latency target was over");
    let again = |id: u64| Request { key: request(104).key, is_retry: true, ..request(id) };
    let refused_at_once: Vec<bool> = (1000..1024)
        .map(|id| {
            host.advance(250_000);
            host.submit(again(id));
            host.refusal_advice(id).is_some()
        })
        .collect();
    assert!(refused_at_once[..16].iter().all(|at_once| *at_once), "the node is overloaded");
    assert!(
        refused_at_once[16..].contains(&false),
        "six seconds after the first try its retries still have no latency target of their own"
    );
}

/// Guards against the refusal of one client's request making other clients' requests for the same key late.
#[test]
fn the_same_request_of_another_client_does_not_take_over_its_due_time() {
    for marked in [false, true] {
        let mut host = overloaded_node();
        assert!(host.refusal_advice(104).is_some());
        host.advance(10_000);
        let request_of_client = |id: u64, client: u64| Request {
            key: request(104).key,
            client: Some(ClientId(client)),
            is_retry: marked,
            ..request(id)
        };
        // The refused request has no client id. Client 1 is refused as well, and then client 2 comes.
        host.submit(request_of_client(200, 1));
        host.advance(210_000);
        assert!(host.refusal_advice(200).is_some());
        host.advance(10_000);
        host.submit(request_of_client(201, 2));
        assert!(host.refusal_advice(201).is_none(), "another client's, marked {marked}");
        host.submit(request_of_client(202, 1));
        assert!(host.refusal_advice(202).is_some(), "the same client's, marked {marked}");
    }
}

/// A node that serves one request at a time, in order of arrival.
struct BusyNode {
    host: Host,
    busy_until: Micros,
    next: u64,
}

impl BusyNode {
    /// Service time of a request.
    const SERVICE: Micros = 2_000;

    fn step(&mut self) {
        let oldest = self.host.checker.in_flight.iter().min_by_key(|(_, (_, sent))| *sent);
        if self.host.now >= self.busy_until
            && let Some((&(id, attempt), _)) = oldest
        {
            self.host.answer(id.0, attempt, Outcome::Served);
            self.busy_until = self.host.now + Self::SERVICE;
        }
        self.host.advance(Self::SERVICE / 2);
    }
}

/// Guards against late work that displaces requests in time: two thousand clients retry at once, and again
/// when advised.
#[test]
fn two_thousand_late_retries_leave_the_node_to_requests_in_time() {
    const CLIENTS: u64 = 2_000;
    let mut host_settings = settings();
    host_settings.plans[0].reserve = 1e6;
    let mut node =
        BusyNode { host: Host::with_nodes(host_settings, &[entry(0, 0)]), busy_until: 0, next: 1_000_000 };
    // All first tries come while the node does not answer, and their clients withdraw them.
    for id in 0..CLIENTS {
        node.host.submit(request(id));
    }
    node.host.advance(100_000);
    for id in 0..CLIENTS {
        node.host.handle(Event::Withdrawn(RequestId(id)));
    }
    for (id, attempt) in node.host.checker.in_flight.keys().copied().collect::<Vec<_>>() {
        node.host.answer(id.0, attempt, Outcome::Cancelled);
    }
    let mut pending: Vec<(Micros, u64)> = (0..CLIENTS).map(|key| (node.host.now + 2 * SECOND, key)).collect();
    let mut in_time = Vec::new();
    let (mut tries, mut seen) = (BTreeMap::new(), node.host.log.len());
    let began = node.host.now;
    for tick in 0..8_000_u64 {
        let now = node.host.now;
        let (back, rest): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(at, _)| *at <= now);
        pending = rest;
        for (_, key) in back {
            let id = node.next;
            node.next += 1;
            node.host.submit(Request { key: Some(KeyId(key)), is_retry: true, ..request(id) });
            tries.insert(id, key);
        }
        for (_, action) in &node.host.log[seen..] {
            if let Action::Refuse { request, retry_after } = action
                && let Some(key) = tries.remove(&request.0)
            {
                pending.push((now + retry_after, key));
            }
        }
        seen = node.host.log.len();
        // One request in time every 5 ms, which is two fifths of what the node can serve.
        if tick % 5 == 0 && now > began + 2 * SECOND {
            node.host.submit(request(node.next));
            in_time.push(node.next);
            node.next += 1;
        }
        node.step();
    }
    let served = node.host.sent().iter().filter(|id| tries.contains_key(*id)).count();
    assert!(served as u64 > CLIENTS / 4, "{served} of {CLIENTS} late retries were sent");
    let refused = in_time.iter().filter(|id| node.host.refusal_advice(**id).is_some()).count();
    assert!(in_time.len() > 900, "{} in time", in_time.len());
    assert_eq!(refused, 0, "of {} in time were refused", in_time.len());
    node.host.checker.assert_no_breach();
}
