//! Recovery after a power loss: waits are bounded, unsettled keys stay closed, and injected faults are detected.

use std::collections::BTreeMap;

use peer::{Incarnation, Life, Nonce, PeerName};
use proptest::prelude::*;
use recovery::{
    Act, Closed, Digest, Fact, Hand, HandError, InHand, Micros, Outcome, Phase, Place, Plant, Recovery,
    RecoveryOptions, Word,
};

const PEER_WAIT: Micros = 2_000_000;
const QUIET_PERIOD: Micros = 5_000_000;

fn life(n: u64) -> Life {
    Life { incarnation: Incarnation(n), nonce: Nonce(n) }
}

fn status(orders: u64) -> Word {
    Word {
        life: life(9),
        orders,
        nodes: Vec::new(),
        held: Vec::new(),
        paused: false,
        serves: false,
        served_for: 0,
    }
}

fn options(peers: &[&str], plant: Plant) -> RecoveryOptions {
    RecoveryOptions {
        peers: peers.iter().map(|p| PeerName::from(*p)).collect(),
        ask_for: PEER_WAIT,
        rest: QUIET_PERIOD,
        ask_again: 100_000,
        read_tries: 5,
        plant,
    }
}

fn write(number: u64, slba: u64, started: i64) -> InHand {
    InHand {
        number,
        token: number + 100,
        place: place(slba),
        digest: Digest::of(&number.to_le_bytes()),
        node: "n1".into(),
        started,
    }
}

fn place(slba: u64) -> Place {
    Place { nsid: 1, slba, blocks: 2, shard: 0 }
}

fn node_up(started: i64) -> Fact {
    Fact::NodeUp { name: "n1".into(), shard: 0, started }
}

/// A recovery with two in-flight writes, sent to a node with the start 7.
fn recovery_with_two_writes(peers: &[&str], plant: Plant) -> (Recovery, Vec<Act>) {
    let mut hand = Hand::default();
    for (n, slba) in [(0, 10), (1, 50)] {
        hand.sent(write(n, slba, 7));
    }
    let mut acts = Vec::new();
    let recovery = Recovery::new(options(peers, plant), life(2), status(3), Some(&hand), 0, &mut acts);
    (recovery, acts)
}

fn read_backs(acts: &[Act]) -> Vec<u64> {
    acts.iter().filter_map(|a| if let Act::ReadBack(w) = a { Some(w.number) } else { None }).collect()
}

#[test]
fn replay_restores_in_flight_writes_and_a_long_journal_is_compacted() {
    let (mut hand, mut journal) = (Hand::default(), Vec::new());
    for n in 0..3000 {
        let number = hand.number();
        assert_eq!(number, n);
        journal.push(hand.sent(write(number, n, 7)));
        if n % 1000 != 0 {
            journal.push(hand.over(number).expect("the write is in flight"));
        }
    }
    assert_eq!(hand.over(5), None);
    let replayed = Hand::replay(journal.iter().map(|n| &n.0[..])).expect("the journal is intact");
    assert_eq!(replayed, hand);
    assert!(hand.is_long());
    let compacted = hand.anew();
    assert_eq!(compacted.len(), 3);
    let reread = Hand::replay(compacted.iter().map(|n| &n.0[..])).expect("the journal is intact");
    assert_eq!(reread.open().map(|w| w.number).collect::<Vec<_>>(), [0, 1000, 2000]);
    // The last writes have ended, so the compacted journal doesn't hold their numbers and may assign them reread.
    assert_eq!(reread.number(), 2001);
    assert_eq!(Hand::replay([&b"?"[..]]), Err(HandError::Form(1)));
}

#[test]
fn highest_revision_is_adopted_and_a_silent_peer_delays_joining_only_until_the_limit() {
    let (mut recovery, _) = recovery_with_two_writes(&["a", "b"], Plant::None);
    let mut acts = Vec::new();
    recovery.learn(1000, Fact::PeerUp("a".into()), &mut acts);
    assert_eq!(acts, [Act::Ask("a".into())]);
    acts.clear();
    recovery.learn(2000, Fact::Said("a".into(), status(5)), &mut acts);
    assert!(matches!(&acts[..], [Act::Adopt(w)] if w.orders == 5));
    assert_eq!(recovery.closed(&place(0), false), Some(Closed::Joining { until: PEER_WAIT }));
    assert_eq!(recovery.show().waits_for, ["b"]);
    acts.clear();
    assert_eq!(recovery.next_due(), PEER_WAIT);
    recovery.tick(PEER_WAIT, &mut acts);
    assert_eq!(acts, [Act::Entered(Phase::Settling)]);
    assert_eq!(recovery.closed(&place(0), false), None, "reads are open");
    // The other peer connects an hour later: a lower revision changes nothing, a higher one is adopted.
    acts.clear();
    recovery.learn(3_600_000_000, Fact::Said("b".into(), status(4)), &mut acts);
    recovery.learn(3_600_000_000, Fact::Said("b".into(), status(6)), &mut acts);
    let adopted: Vec<u64> =
        acts.iter().filter_map(|a| if let Act::Adopt(w) = a { Some(w.orders) } else { None }).collect();
    assert_eq!(adopted, [6]);
}

#[test]
fn unsettled_key_is_closed_to_writes_until_its_node_restarts() {
    let (mut recovery, _) = recovery_with_two_writes(&[], Plant::None);
    let mut acts = Vec::new();
    assert_eq!(recovery.phase(), Phase::Settling);
    assert!(matches!(recovery.closed(&place(11), true), Some(Closed::Unsettled { number: 0, .. })));
    assert_eq!(recovery.closed(&place(11), false), None);
    assert_eq!(recovery.closed(&place(30), true), None, "other keys are open");
    // The node has not restarted: the write may still run there.
    recovery.learn(1000, node_up(7), &mut acts);
    assert_eq!(read_backs(&acts), []);
    assert_eq!(recovery.next_due(), QUIET_PERIOD);
    // The node has restarted: its in-flight writes are gone.
    recovery.learn(2000, Fact::NodeDown("n1".into()), &mut acts);
    recovery.learn(3000, node_up(8), &mut acts);
    assert_eq!(read_backs(&acts), [0, 1]);
    acts.clear();
    recovery.learn(4000, Fact::ReadBack(0, Some(true)), &mut acts);
    recovery.learn(4000, Fact::ReadBack(1, Some(false)), &mut acts);
    assert_eq!(
        acts,
        [Act::Settled(0, Outcome::Ran), Act::Settled(1, Outcome::NotThere), Act::Entered(Phase::Admitting)]
    );
    assert_eq!(recovery.closed(&place(11), true), None);
    recovery.learn(5000, Fact::Warm, &mut acts);
    assert_eq!(recovery.phase(), Phase::Serving);
}

#[test]
fn after_the_quiet_period_any_node_is_read_and_failed_reads_give_an_unknown_outcome() {
    let (mut recovery, _) = recovery_with_two_writes(&[], Plant::None);
    let mut acts = Vec::new();
    recovery.learn(1000, node_up(7), &mut acts);
    recovery.tick(QUIET_PERIOD, &mut acts);
    assert_eq!(read_backs(&acts), [0, 1]);
    // Another node serves the shard by then; its reads fail, and each is retried after a delay.
    recovery.learn(QUIET_PERIOD, Fact::NodeDown("n1".into()), &mut acts);
    recovery.learn(QUIET_PERIOD, Fact::NodeUp { name: "n2".into(), shard: 0, started: 99 }, &mut acts);
    let mut now = QUIET_PERIOD;
    for _ in 0..20 {
        acts.clear();
        recovery.learn(now, Fact::ReadBack(0, None), &mut acts);
        if acts.contains(&Act::Settled(0, Outcome::Unknown)) {
            break;
        }
        now = recovery.next_due();
        acts.clear();
        recovery.tick(now, &mut acts);
        assert_eq!(read_backs(&acts), [0]);
    }
    assert!(matches!(recovery.closed(&place(50), true), Some(Closed::Unsettled { number: 1, .. })));
    assert_eq!(recovery.show().settled, [0, 0, 1]);
    recovery.learn(now, Fact::Release(1), &mut acts);
    assert_eq!(recovery.phase(), Phase::Admitting);
}

#[test]
fn hurry_skips_peers_and_warm_up_but_not_unsettled_keys() {
    let (mut recovery, _) = recovery_with_two_writes(&["a"], Plant::None);
    let mut acts = Vec::new();
    assert_eq!(recovery.show().full_by, Some(QUIET_PERIOD));
    recovery.learn(1000, Fact::Hurry, &mut acts);
    assert_eq!(recovery.phase(), Phase::Settling);
    assert_eq!(recovery.closed(&place(0), false), None);
    assert!(matches!(recovery.closed(&place(11), true), Some(Closed::Unsettled { .. })));
    recovery.learn(2000, Fact::Release(0), &mut acts);
    recovery.learn(2000, Fact::Release(1), &mut acts);
    assert_eq!((recovery.phase(), recovery.show().full_by), (Phase::Serving, None));
    assert_eq!(recovery.show().settled, [0, 0, 2]);
}

#[test]
fn without_a_journal_all_writes_wait_for_the_quiet_period_and_reads_do_not() {
    let mut acts = Vec::new();
    let mut recovery = Recovery::new(options(&[], Plant::None), life(2), status(0), None, 0, &mut acts);
    assert_eq!(recovery.closed(&place(1), true), Some(Closed::Blind { until: QUIET_PERIOD }));
    assert_eq!(recovery.closed(&place(1), false), None);
    assert_eq!(recovery.next_due(), QUIET_PERIOD);
    recovery.tick(QUIET_PERIOD, &mut acts);
    assert_eq!(recovery.closed(&place(1), true), None);
    assert_eq!(recovery.phase(), Phase::Admitting);
}

/// A random event in a model of one gateway, two peers and one node.
#[derive(Clone, Debug)]
enum Event {
    Wait(Micros),
    PeerUp(bool),
    PeerDown(bool),
    Said(bool, u64),
    /// The node is reachable; true: after a restart.
    NodeUp(bool),
    NodeDown,
    /// A pending read-back ends; true: with an answer.
    Read(bool),
    /// A client writes one of the keys; true: the first.
    Write(bool),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        (1i64..800_000).prop_map(Event::Wait),
        any::<bool>().prop_map(Event::PeerUp),
        any::<bool>().prop_map(Event::PeerDown),
        (any::<bool>(), 0u64..9).prop_map(|(p, n)| Event::Said(p, n)),
        any::<bool>().prop_map(Event::NodeUp),
        Just(Event::NodeDown),
        any::<bool>().prop_map(Event::Read),
        any::<bool>().prop_map(Event::Write),
    ];
    prop::collection::vec(event, 1..60)
}

/// Runs events against a model that knows which writes may still run; returns the first violation.
fn check_events(events: &[Event], plant: Plant) -> Result<(), String> {
    let (mut recovery, mut acts) = recovery_with_two_writes(&["a", "b"], plant);
    let peer = |b: bool| PeerName::from(if b { "b" } else { "a" });
    let (mut now, mut orders, mut started) = (0, 3, 7);
    // The node's old process may run its writes until the node restarts or the quiet period ends.
    let (mut old_process_runs, mut pending_reads, mut reads_open_at) = (true, Vec::new(), None);
    let mut settled: BTreeMap<u64, Outcome> = BTreeMap::new();
    let mut handle =
        |acts: &mut Vec<Act>, pending_reads: &mut Vec<u64>, old_process_runs: bool, now: Micros| {
            for act in acts.drain(..) {
                match act {
                    Act::ReadBack(w) if old_process_runs && now < QUIET_PERIOD => {
                        return Err(format!("{} was read back while it may still run", w.number));
                    }
                    Act::ReadBack(w) => pending_reads.push(w.number),
                    Act::Settled(n, outcome) => {
                        if settled.insert(n, outcome).is_some() {
                            return Err(format!("{n} was settled twice"));
                        }
                    }
                    Act::Adopt(w) => {
                        if w.orders <= orders {
                            return Err(format!("orders {} after {orders}", w.orders));
                        }
                        orders = w.orders;
                    }
                    Act::Ask(_) | Act::Entered(_) => {}
                }
            }
            Ok(())
        };
    for event in events {
        match event {
            Event::Wait(t) => {
                let end = now + t;
                while recovery.next_due() <= end {
                    let due = recovery.next_due().max(now);
                    if due == now && recovery.next_due() < now {
                        return Err("the next due time has passed".into());
                    }
                    now = due;
                    recovery.tick(now, &mut acts);
                    handle(&mut acts, &mut pending_reads, old_process_runs, now)?;
                    if recovery.next_due() <= now {
                        return Err("the next due time did not advance".into());
                    }
                }
                now = end;
                recovery.tick(now, &mut acts);
            }
            Event::PeerUp(p) => recovery.learn(now, Fact::PeerUp(peer(*p)), &mut acts),
            Event::PeerDown(p) => recovery.learn(now, Fact::PeerDown(peer(*p)), &mut acts),
            Event::Said(p, n) => recovery.learn(now, Fact::Said(peer(*p), status(*n)), &mut acts),
            Event::NodeUp(restarted) => {
                if *restarted {
                    started += 1;
                    old_process_runs = false;
                }
                recovery.learn(now, node_up(started), &mut acts);
            }
            Event::NodeDown => recovery.learn(now, Fact::NodeDown("n1".into()), &mut acts),
            Event::Read(answered) => {
                if let Some(n) = pending_reads.pop() {
                    recovery.learn(now, Fact::ReadBack(n, answered.then_some(n == 0)), &mut acts);
                }
            }
            Event::Write(first) => {
                let at = place(if *first { 10 } else { 50 });
                if recovery.closed(&at, true).is_none() && old_process_runs && now < QUIET_PERIOD {
                    return Err("a write was admitted while an earlier one may still run".into());
                }
            }
        }
        handle(&mut acts, &mut pending_reads, old_process_runs, now)?;
        if reads_open_at.is_none() && recovery.closed(&place(0), false).is_none() {
            reads_open_at = Some(now);
        }
        if reads_open_at.is_none() && now > PEER_WAIT {
            return Err("reads are closed after the longest wait for peers".into());
        }
    }
    // Once its node is reachable and answers, every recovery must accept everything in the end.
    recovery.learn(now, node_up(started + 1), &mut acts);
    for _ in 0..200 {
        acts.drain(..).for_each(|a| {
            if let Act::ReadBack(w) = a {
                pending_reads.push(w.number)
            }
        });
        if let Some(n) = pending_reads.pop() {
            recovery.learn(now, Fact::ReadBack(n, Some(true)), &mut acts);
        } else if recovery.next_due() < Micros::MAX {
            now = recovery.next_due().max(now);
            recovery.tick(now, &mut acts);
        }
    }
    if recovery.phase() != Phase::Admitting || now > PEER_WAIT.max(QUIET_PERIOD) + 60 * 800_000 {
        return Err(format!("the recovery is stuck in {:?}", recovery.show()));
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// No write is admitted while an older one of its key may still run, no write is settled twice, the orders' revision only
    /// grows, reads are accepted within the configured time, and the recovery always completes.
    #[test]
    fn random_events_keep_the_invariants(events in events()) {
        prop_assert_eq!(check_events(&events, Plant::None), Ok(()));
    }
}

#[test]
fn injected_faults_are_detected() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
    for (plant, expected) in [
        (Plant::SettleNothing, ["was admitted", "was admitted"]),
        (Plant::WaitForever, ["are closed", "is stuck"]),
        (Plant::BelieveNodes, ["was read back", "was admitted"]),
    ] {
        let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        let mut runner = TestRunner::new_with_rng(Config::default(), rng);
        let violation = (0..2000).find_map(|_| {
            let generated = events().new_tree(&mut runner).expect("events").current();
            check_events(&generated, plant).err()
        });
        assert!(
            violation.as_ref().is_some_and(|c| expected.iter().any(|s| c.contains(s))),
            "{plant:?}: {violation:?}"
        );
    }
}
