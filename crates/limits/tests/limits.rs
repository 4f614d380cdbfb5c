//! Admission of connections and commands, and the fair queue.

use std::collections::BTreeMap;
use std::net::IpAddr;

use limits::*;
use proptest::prelude::*;

fn limits() -> AdmissionLimits {
    AdmissionLimits {
        connections: 8,
        connections_from_address: 6,
        connecting_from_address: 3,
        connect_timeout: 1000,
        host_commands: 4,
        commands: 6,
        host_bytes: 100,
        bytes: 150,
    }
}

fn ip(n: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, n])
}

/// Opens a connection and marks it as established.
fn establish(admission: &mut AdmissionControl, now: Micros, id: u64, from: u8, host: &str) {
    assert_eq!(admission.open(now, ConnectionId(id), ip(from)), OpenResult::Accepted);
    assert!(admission.establish(ConnectionId(id), host));
}

#[test]
fn unestablished_connections_do_not_lock_out_other_hosts() {
    let mut admission = AdmissionControl::new(limits());
    (0..4).for_each(|n| establish(&mut admission, 0, n, 1, "honest"));
    // A flood: at most three connections from one address, then from other addresses until the table is full.
    (10..13).for_each(|n| assert_eq!(admission.open(1, ConnectionId(n), ip(2)), OpenResult::Accepted));
    assert_eq!(admission.open(1, ConnectionId(13), ip(2)), OpenResult::Rejected(LimitReached::Connecting));
    assert_eq!(admission.open(2, ConnectionId(14), ip(3)), OpenResult::Accepted);
    assert_eq!(admission.connections(), (8, 4));
    // Connections of another host replace the oldest of the flood, and only those.
    for (new, oldest) in [(20, 10), (21, 11), (22, 12), (23, 14)] {
        assert_eq!(
            admission.open(3, ConnectionId(new), ip(4 + new as u8)),
            OpenResult::AcceptedInPlaceOf(ConnectionId(oldest))
        );
        assert!(admission.contains(ConnectionId(new)) && admission.establish(ConnectionId(new), "other"));
        let replaced = ConnectionId(oldest);
        assert!(
            !admission.contains(replaced) && !admission.establish(replaced, "late"),
            "a replaced connection cannot be established"
        );
    }
    assert_eq!(admission.open(4, ConnectionId(30), ip(99)), OpenResult::Rejected(LimitReached::Connections));
    admission.close(ConnectionId(10)); // The end of a replaced connection is ignored.
    assert_eq!((admission.connections(), admission.hosts()), ((8, 0), 2));
}

#[test]
fn connection_not_established_in_time_is_removed() {
    let mut admission = AdmissionControl::new(limits());
    establish(&mut admission, 0, 1, 1, "h");
    admission.open(10, ConnectionId(2), ip(1));
    admission.open(20, ConnectionId(3), ip(2));
    assert_eq!(admission.next_due(), Some(1010));
    assert_eq!(admission.remove_overdue(1009), []);
    assert_eq!(admission.remove_overdue(1015), [ConnectionId(2)]);
    assert_eq!(admission.remove_overdue(5000), [ConnectionId(3)]);
    assert_eq!((admission.remove_overdue(9_000_000), admission.connections()), (vec![], (1, 0)));
}

#[test]
fn commands_and_bytes_are_limited_by_host_and_in_total() {
    let mut admission = AdmissionControl::new(limits());
    establish(&mut admission, 0, 1, 1, "greedy");
    establish(&mut admission, 0, 2, 1, "greedy");
    establish(&mut admission, 0, 3, 2, "modest");
    let (a, b, c) = (ConnectionId(1), ConnectionId(2), ConnectionId(3));
    assert_eq!((admission.acquire(a, 60), admission.acquire(b, 60)), (Ok(()), Err(LimitReached::HostBytes)));
    assert_eq!(
        (admission.acquire(a, 0), admission.acquire(b, 0), admission.acquire(b, 0)),
        (Ok(()), Ok(()), Ok(()))
    );
    assert_eq!(admission.acquire(a, 0), Err(LimitReached::HostCommands));
    assert_eq!((admission.acquire(c, 91), admission.acquire(c, 90)), (Err(LimitReached::Bytes), Ok(())));
    assert_eq!((admission.acquire(c, 0), admission.acquire(c, 0)), (Ok(()), Err(LimitReached::Commands)));
    admission.release(a, 60);
    assert_eq!((admission.held(), admission.acquire(c, 0)), ((5, 90), Ok(())));
    // Closing connections with unanswered commands releases everything.
    [a, b, c].into_iter().for_each(|id| admission.close(id));
    assert_eq!((admission.held(), admission.connections(), admission.hosts()), ((0, 0), (0, 0), 0));
    assert_eq!(admission.rejections().values().sum::<u64>(), 4);
}

#[test]
fn client_with_many_items_does_not_starve_another() {
    let mut queue = FairQueue::new(4);
    (0..8192).for_each(|n| queue.push("greedy", 1, ("greedy", n)));
    (0..10).for_each(|n| queue.push("modest", 1, ("modest", n)));
    let taken: Vec<_> = (0..40).filter_map(|_| queue.pop()).collect();
    let modest: Vec<i32> = taken.iter().filter(|t| t.0 == "modest").map(|t| t.1).collect();
    assert_eq!(
        modest,
        (0..10).collect::<Vec<_>>(),
        "all items of the modest client, in order, within the first rounds"
    );
    let greedy: Vec<i32> = taken.iter().filter(|t| t.0 == "greedy").map(|t| t.1).collect();
    assert!(greedy.is_sorted());
    assert_eq!(queue.remove(&"greedy", |t| t.1 == 5000), Some(("greedy", 5000)));
    assert_eq!(queue.remove(&"greedy", |t| t.1 == 5000), None);
    assert_eq!(queue.len(), 8202 - 41);
}

#[derive(Clone, Debug)]
enum Step {
    Open(u8),
    Establish(prop::sample::Index, u8),
    Take(prop::sample::Index, u64),
    Done(prop::sample::Index),
    Close(prop::sample::Index),
    Overdue,
}

fn step() -> impl Strategy<Value = Step> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        4 => (1..5u8).prop_map(Step::Open),
        3 => (index(), 0..3u8).prop_map(|(i, h)| Step::Establish(i, h)),
        6 => (index(), 0..60u64).prop_map(|(i, b)| Step::Take(i, b)),
        4 => index().prop_map(Step::Done),
        2 => index().prop_map(Step::Close),
        1 => Just(Step::Overdue),
    ]
}

proptest! {
    /// No limit is exceeded, closed connections leave no usage behind, and an established one is never
    /// replaced.
    #[test]
    fn no_limit_is_exceeded_and_no_usage_leaks(steps in proptest::collection::vec(step(), 1..200)) {
        let (mut admission, limits) = (AdmissionControl::new(limits()), limits());
        let (mut now, mut last_id) = (0, 0);
        // By id: address, host once established, bytes of each command held.
        let mut known: BTreeMap<ConnectionId, (u8, Option<u8>, Vec<u64>)> = BTreeMap::new();
        for step in steps {
            now += 90;
            let pick = |i: prop::sample::Index| known.keys().nth(i.index(known.len().max(1))).copied();
            match step {
                Step::Open(from) => {
                    last_id += 1;
                    match admission.open(now, ConnectionId(last_id), ip(from)) {
                        OpenResult::Rejected(_) => {}
                        opened => {
                            if let OpenResult::AcceptedInPlaceOf(id) = opened {
                                let (_, host, _) = known.remove(&id).unwrap();
                                prop_assert_eq!(host, None);
                            }
                            known.insert(ConnectionId(last_id), (from, None, vec![]));
                        }
                    }
                }
                Step::Establish(i, host) => if let Some(id) = pick(i) {
                    admission.establish(id, &host.to_string());
                    let connection = known.get_mut(&id).unwrap();
                    connection.1 = connection.1.or(Some(host));
                },
                Step::Take(i, bytes) => if let Some(id) = pick(i) && known[&id].1.is_some() && admission.acquire(id, bytes).is_ok() {
                    known.get_mut(&id).unwrap().2.push(bytes);
                },
                Step::Done(i) => if let Some(id) = pick(i) && let Some(bytes) = known.get_mut(&id).unwrap().2.pop() {
                    admission.release(id, bytes);
                },
                Step::Close(i) => if let Some(id) = pick(i) {
                    admission.close(id);
                    known.remove(&id);
                },
                Step::Overdue => for id in admission.remove_overdue(now) {
                    prop_assert_eq!(known.remove(&id).unwrap().1, None);
                },
            }
            let all: Vec<&u64> = known.values().flat_map(|k| &k.2).collect();
            prop_assert_eq!(admission.held(), (all.len(), all.iter().copied().sum()));
            prop_assert_eq!(admission.connections(), (known.len(), known.values().filter(|k| k.1.is_none()).count()));
            prop_assert!(known.len() <= limits.connections && all.len() <= limits.commands);
            for from in 1..5 {
                prop_assert!(known.values().filter(|k| k.0 == from).count() <= limits.connections_from_address);
            }
            for host in 0..3 {
                let held: Vec<u64> = known.values().filter(|k| k.1 == Some(host)).flat_map(|k| k.2.clone()).collect();
                prop_assert!(held.len() <= limits.host_commands && held.iter().sum::<u64>() <= limits.host_bytes);
            }
        }
    }

    /// While two clients wait, the costs served to them differ by at most two quanta and the cost of two
    /// items.
    #[test]
    fn waiting_clients_are_served_equal_costs(costs in proptest::collection::vec((0..2u8, 1..9u64), 2..200), quantum in 1..20u64) {
        let mut queue = FairQueue::new(quantum);
        costs.iter().for_each(|(client, cost)| queue.push(*client, *cost, (*client, *cost)));
        let mut waiting = [0u64; 2];
        costs.iter().for_each(|(client, cost)| waiting[usize::from(*client)] += cost);
        let mut served = [0u64; 2];
        while let Some((client, cost)) = queue.pop() {
            served[usize::from(client)] += cost;
            waiting[usize::from(client)] -= cost;
            if waiting[0] > 0 && waiting[1] > 0 {
                prop_assert!(served[0].abs_diff(served[1]) <= 2 * quantum + 2 * 9, "{:?}", served);
            }
        }
        prop_assert_eq!(waiting, [0, 0]);
        prop_assert!(queue.is_empty());
    }
}
