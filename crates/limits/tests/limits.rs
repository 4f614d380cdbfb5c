//! What is let in, and whose turn it is.

use std::collections::BTreeMap;
use std::net::IpAddr;

use limits::*;
use proptest::prelude::*;

fn options() -> GateOptions {
    GateOptions {
        connections: 8,
        from_address: 6,
        rising_from_address: 3,
        way_up: 1000,
        host_commands: 4,
        commands: 6,
        host_bytes: 100,
        bytes: 150,
    }
}

fn ip(n: u8) -> IpAddr {
    IpAddr::from([127, 0, 0, n])
}

fn up(gate: &mut Gate, now: Micros, id: u64, from: u8, host: &str) {
    assert_eq!(gate.open(now, ConnectionId(id), ip(from)), Opened::Kept);
    assert!(gate.risen(ConnectionId(id), host));
}

#[test]
fn a_flood_that_never_comes_up_keeps_nobody_out() {
    let mut gate = Gate::new(options());
    (0..4).for_each(|n| up(&mut gate, 0, n, 1, "honest"));
    // From one address three at a time, from many until the table is full.
    (10..13).for_each(|n| assert_eq!(gate.open(1, ConnectionId(n), ip(2)), Opened::Kept));
    assert_eq!(gate.open(1, ConnectionId(13), ip(2)), Opened::Closed(Over::Rising));
    assert_eq!(gate.open(2, ConnectionId(14), ip(3)), Opened::Kept);
    assert_eq!(gate.connections(), (8, 4));
    // An honest host comes: the oldest of the flood gives way, and only these do.
    for (new, oldest) in [(20, 10), (21, 11), (22, 12), (23, 14)] {
        assert_eq!(
            gate.open(3, ConnectionId(new), ip(4 + new as u8)),
            Opened::InPlaceOf(ConnectionId(oldest))
        );
        assert!(gate.holds(ConnectionId(new)) && gate.risen(ConnectionId(new), "other"));
        let gone = ConnectionId(oldest);
        assert!(!gate.holds(gone) && !gate.risen(gone, "late"), "one that gave way does not come up");
    }
    assert_eq!(gate.open(4, ConnectionId(30), ip(99)), Opened::Closed(Over::Connections));
    gate.close(ConnectionId(10)); // Its end is told later, and passed over.
    assert_eq!((gate.connections(), gate.hosts()), ((8, 0), 2));
}

#[test]
fn a_connection_that_never_completes_its_way_up_is_let_go_after_its_time() {
    let mut gate = Gate::new(options());
    up(&mut gate, 0, 1, 1, "h");
    gate.open(10, ConnectionId(2), ip(1));
    gate.open(20, ConnectionId(3), ip(2));
    assert_eq!(gate.next_due(), Some(1010));
    assert_eq!(gate.overdue(1009), []);
    assert_eq!(gate.overdue(1015), [ConnectionId(2)]);
    assert_eq!(gate.overdue(5000), [ConnectionId(3)]);
    assert_eq!((gate.overdue(9_000_000), gate.connections()), (vec![], (1, 0)));
}

#[test]
fn one_host_cannot_hold_all_commands_or_bytes() {
    let mut gate = Gate::new(options());
    up(&mut gate, 0, 1, 1, "greedy");
    up(&mut gate, 0, 2, 1, "greedy");
    up(&mut gate, 0, 3, 2, "modest");
    let (a, b, c) = (ConnectionId(1), ConnectionId(2), ConnectionId(3));
    assert_eq!((gate.take(a, 60), gate.take(b, 60)), (Ok(()), Err(Over::HostBytes)));
    assert_eq!((gate.take(a, 0), gate.take(b, 0), gate.take(b, 0)), (Ok(()), Ok(()), Ok(())));
    assert_eq!(gate.take(a, 0), Err(Over::HostCommands));
    assert_eq!((gate.take(c, 91), gate.take(c, 90)), (Err(Over::Bytes), Ok(())));
    assert_eq!((gate.take(c, 0), gate.take(c, 0)), (Ok(()), Err(Over::Commands)));
    gate.done(a, 60);
    assert_eq!((gate.held(), gate.take(c, 0)), ((5, 90), Ok(())));
    // Gone with commands out: nothing of it stays.
    [a, b, c].into_iter().for_each(|id| gate.close(id));
    assert_eq!((gate.held(), gate.connections(), gate.hosts()), ((0, 0), (0, 0), 0));
    assert_eq!(gate.turned_away().values().sum::<u64>(), 4);
}

#[test]
fn a_host_with_many_queues_does_not_starve_one_with_one() {
    let mut turns = Turns::new(4);
    (0..8192).for_each(|n| turns.push("greedy", 1, ("greedy", n)));
    (0..10).for_each(|n| turns.push("modest", 1, ("modest", n)));
    let taken: Vec<_> = (0..40).filter_map(|_| turns.pop()).collect();
    let modest: Vec<i32> = taken.iter().filter(|t| t.0 == "modest").map(|t| t.1).collect();
    assert_eq!(modest, (0..10).collect::<Vec<_>>(), "all of it within the first turns, in order");
    let greedy: Vec<i32> = taken.iter().filter(|t| t.0 == "greedy").map(|t| t.1).collect();
    assert!(greedy.is_sorted());
    assert_eq!(turns.remove(&"greedy", |t| t.1 == 5000), Some(("greedy", 5000)));
    assert_eq!(turns.remove(&"greedy", |t| t.1 == 5000), None);
    assert_eq!(turns.len(), 8202 - 41);
}

#[derive(Clone, Debug)]
enum Step {
    Open(u8),
    Risen(prop::sample::Index, u8),
    Take(prop::sample::Index, u64),
    Done(prop::sample::Index),
    Close(prop::sample::Index),
    Overdue,
}

fn step() -> impl Strategy<Value = Step> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        4 => (1..5u8).prop_map(Step::Open),
        3 => (index(), 0..3u8).prop_map(|(i, h)| Step::Risen(i, h)),
        6 => (index(), 0..60u64).prop_map(|(i, b)| Step::Take(i, b)),
        4 => index().prop_map(Step::Done),
        2 => index().prop_map(Step::Close),
        1 => Just(Step::Overdue),
    ]
}

proptest! {
    /// Whatever happens: no limit is passed, nothing leaks, and one that is up never gives way.
    #[test]
    fn no_limit_is_passed_and_nothing_leaks(steps in proptest::collection::vec(step(), 1..200)) {
        let (mut gate, o) = (Gate::new(options()), options());
        let (mut now, mut next) = (0, 0);
        // By id: address, up, commands' bytes.
        let mut known: BTreeMap<ConnectionId, (u8, Option<u8>, Vec<u64>)> = BTreeMap::new();
        for step in steps {
            now += 90;
            let pick = |i: prop::sample::Index| known.keys().nth(i.index(known.len().max(1))).copied();
            match step {
                Step::Open(from) => {
                    next += 1;
                    match gate.open(now, ConnectionId(next), ip(from)) {
                        Opened::Closed(_) => {}
                        opened => {
                            if let Opened::InPlaceOf(id) = opened {
                                let (_, up, _) = known.remove(&id).unwrap();
                                prop_assert_eq!(up, None);
                            }
                            known.insert(ConnectionId(next), (from, None, vec![]));
                        }
                    }
                }
                Step::Risen(i, host) => if let Some(id) = pick(i) {
                    gate.risen(id, &host.to_string());
                    let of = known.get_mut(&id).unwrap();
                    of.1 = of.1.or(Some(host));
                },
                Step::Take(i, bytes) => if let Some(id) = pick(i) && known[&id].1.is_some() && gate.take(id, bytes).is_ok() {
                    known.get_mut(&id).unwrap().2.push(bytes);
                },
                Step::Done(i) => if let Some(id) = pick(i) && let Some(bytes) = known.get_mut(&id).unwrap().2.pop() {
                    gate.done(id, bytes);
                },
                Step::Close(i) => if let Some(id) = pick(i) {
                    gate.close(id);
                    known.remove(&id);
                },
                Step::Overdue => for id in gate.overdue(now) {
                    prop_assert_eq!(known.remove(&id).unwrap().1, None);
                },
            }
            let all: Vec<&u64> = known.values().flat_map(|k| &k.2).collect();
            prop_assert_eq!(gate.held(), (all.len(), all.iter().copied().sum()));
            prop_assert_eq!(gate.connections(), (known.len(), known.values().filter(|k| k.1.is_none()).count()));
            prop_assert!(known.len() <= o.connections && all.len() <= o.commands);
            for from in 1..5 {
                prop_assert!(known.values().filter(|k| k.0 == from).count() <= o.from_address);
            }
            for host in 0..3 {
                let of: Vec<u64> = known.values().filter(|k| k.1 == Some(host)).flat_map(|k| k.2.clone()).collect();
                prop_assert!(of.len() <= o.host_commands && of.iter().sum::<u64>() <= o.host_bytes);
            }
        }
    }

    /// Turns are fair: while two clients wait, what they have been given differs by no more than a quantum and an item.
    #[test]
    fn two_that_wait_are_given_the_same(costs in proptest::collection::vec((0..2u8, 1..9u64), 2..200), quantum in 1..20u64) {
        let mut turns = Turns::new(quantum);
        costs.iter().for_each(|(client, cost)| turns.push(*client, *cost, (*client, *cost)));
        let mut left = [0u64; 2];
        costs.iter().for_each(|(client, cost)| left[usize::from(*client)] += cost);
        let mut given = [0u64; 2];
        while let Some((client, cost)) = turns.pop() {
            given[usize::from(client)] += cost;
            left[usize::from(client)] -= cost;
            if left[0] > 0 && left[1] > 0 {
                prop_assert!(given[0].abs_diff(given[1]) <= 2 * quantum + 2 * 9, "{:?}", given);
            }
        }
        prop_assert_eq!(left, [0, 0]);
        prop_assert!(turns.is_empty());
    }
}
