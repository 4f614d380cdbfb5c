//! Rules of the intents, the orders and the supervision.

use proptest::prelude::*;
use steering::*;

const SECOND: Micros = 1_000_000;

fn facts() -> Facts {
    let node = |name: &str, shard| NodeFact { name: name.into(), shard, on: true, warming: false };
    Facts {
        nodes: vec![node("n1", 0), node("n2", 1), node("n3", 1)],
        volumes: vec![
            VolumeFact { name: "ledger".into(), shards: vec![0, 1] },
            VolumeFact { name: "archive".into(), shards: vec![1] },
        ],
    }
}

fn new_request(id: u64, change: Change) -> Request {
    let (by, from) = ("anna".into(), "console 1".into());
    Request { id: RequestId(id), change, by, from, expects: None, confirmed: false }
}

fn drain(name: &str) -> Change {
    Change::Drain(name.into())
}

fn accept(intents: &mut Intents, request: &Request) -> Entry {
    let entry = intents.judge(&facts(), request, 5).expect("the request is accepted");
    assert!(intents.apply(&entry));
    entry
}

#[test]
fn second_drain_changes_nothing_and_a_repeated_request_gets_its_first_answer() {
    let mut intents = Intents::default();
    let first = accept(&mut intents, &new_request(1, drain("n2")));
    assert_eq!(first.before, "not drained");
    let again = intents.judge(&facts(), &new_request(1, drain("n2")), 9);
    assert_eq!(again, Err(Verdict::Accepted { revision: Revision(1), remark: None }));
    let twice = intents.judge(&facts(), &new_request(2, drain("n2")), 9);
    assert!(matches!(twice, Err(Verdict::Already { since: Some(mark) }) if mark.by == "anna"));
    assert_eq!(intents.revision(), Revision(1));
}

#[test]
fn concurrent_changes_of_one_subject_give_one_winner_and_one_conflict() {
    let mut intents = Intents::default();
    let seen = Some(intents.version("node n2"));
    let mut anna = new_request(1, drain("n2"));
    let mut ben = Request { by: "ben".into(), ..new_request(2, drain("n2")) };
    (anna.expects, ben.expects) = (seen, seen);
    accept(&mut intents, &anna);
    let Err(Verdict::Conflict { now, what }) = intents.judge(&facts(), &ben, 9) else { panic!() };
    assert_eq!(now, Revision(1));
    assert_eq!(what, "node n2 is drained by anna from console 1");
    // A change of another subject doesn't conflict.
    ben.change = Change::Hold("archive".into());
    ben.expects = Some(intents.version("volume archive"));
    accept(&mut intents, &ben);
}

#[test]
fn draining_the_last_node_of_a_shard_needs_a_confirmation() {
    let mut intents = Intents::default();
    let mut request = new_request(1, drain("n1"));
    let Err(Verdict::Confirm { refused }) = intents.judge(&facts(), &request, 5) else { panic!() };
    assert!(
        refused.contains("shard 0") && refused.contains("ledger") && !refused.contains("archive"),
        "{refused}"
    );
    request.confirmed = true;
    accept(&mut intents, &request);
    // The first of two nodes is drained without a confirmation; the other is then the last one.
    accept(&mut intents, &new_request(2, drain("n2")));
    assert!(matches!(intents.judge(&facts(), &new_request(3, drain("n3")), 5), Err(Verdict::Confirm { .. })));
}

#[test]
fn unknown_name_is_refused_with_the_existing_names() {
    let intents = Intents::default();
    let Err(Verdict::Unknown { what }) = intents.judge(&facts(), &new_request(1, drain("n9")), 5) else {
        panic!()
    };
    assert_eq!(what, "no node is named 'n9'; there are n1, n2, n3");
    let hold = new_request(2, Change::Hold("vol7".into()));
    assert!(matches!(intents.judge(&facts(), &hold, 5), Err(Verdict::Unknown { .. })));
}

#[test]
fn undraining_a_cold_or_unlisted_node_gives_a_remark() {
    let intents = Intents::default();
    let mut facts = facts();
    facts.nodes[0].warming = true;
    facts.nodes[1].on = false;
    let remark = |name: &str| intents.remark(&facts, &Change::Undrain(name.into()));
    assert!(remark("n1").unwrap().contains("cold"));
    assert!(remark("n2").unwrap().contains("takes no work"));
    assert_eq!(remark("n3"), None);
}

#[test]
fn operator_drain_overrides_on_and_list_gone_overrides_both() {
    let mut intents = Intents::default();
    accept(&mut intents, &new_request(1, drain("n2")));
    let listed = |state| vec![Listed { name: "n2".into(), state }];
    let ordered = |state| orders(&listed(state), &intents).nodes[0].clone();
    assert_eq!((ordered(State::On).0.state, ordered(State::On).1), (State::Draining, Source::Operator));
    assert_eq!((ordered(State::Gone).0.state, ordered(State::Gone).1), (State::Gone, Source::List));
    assert_eq!(ordered(State::Draining).1, Source::List);
    accept(&mut intents, &new_request(2, Change::Undrain("n2".into())));
    assert_eq!(orders(&listed(State::On), &intents).nodes[0].0.state, State::On);
}

#[test]
fn entry_out_of_order_is_ignored() {
    let mut intents = Intents::default();
    let first = accept(&mut intents, &new_request(1, drain("n2")));
    let mut gap = first.clone();
    gap.revision = Revision(5);
    assert!(!intents.apply(&first) && !intents.apply(&gap));
    assert_eq!(intents.revision(), Revision(1));
}

fn change() -> impl Strategy<Value = Change> {
    let node = prop_oneof![Just("n1"), Just("n2"), Just("n3"), Just("n9")].prop_map(str::to_owned);
    let volume = prop_oneof![Just("ledger"), Just("archive"), Just("vol9")].prop_map(str::to_owned);
    prop_oneof![
        3 => node.clone().prop_map(Change::Drain),
        3 => node.prop_map(Change::Undrain),
        2 => volume.clone().prop_map(Change::Hold),
        2 => volume.prop_map(Change::Release),
        1 => Just(Change::Pause),
        1 => Just(Change::Resume),
        1 => "[a-z]{1,8}".prop_map(Change::Note),
    ]
}

proptest! {
    #[test]
    fn replay_from_any_point_restores_the_state(
        steps in proptest::collection::vec((change(), 1..12u64, any::<bool>()), 1..60), cut in any::<prop::sample::Index>(),
    ) {
        let mut intents = Intents::default();
        let mut entries = Vec::new();
        for (n, (change, id, confirmed)) in steps.into_iter().enumerate() {
            let request = Request { confirmed, ..new_request(id, change) };
            if let Ok(entry) = intents.judge(&facts(), &request, n as Micros) {
                prop_assert!(intents.apply(&entry));
                entries.push(entry);
            }
        }
        prop_assert_eq!(intents.revision().0 as usize, entries.len());
        let cut = if entries.is_empty() { 0 } else { cut.index(entries.len()) };
        let mut replayed = Intents::default();
        entries[..cut].iter().for_each(|e| { replayed.apply(e); });
        // After a crash the whole journal is replayed: entries that were already applied are ignored.
        entries.iter().for_each(|e| { replayed.apply(e); });
        prop_assert_eq!(replayed, intents);
    }
}

fn new_supervision(limits: Limits) -> Supervision {
    let names = [("n1", Kind::Node), ("n2", Kind::Node), ("gw1", Kind::Gateway), ("gw2", Kind::Gateway)];
    Supervision::new(limits, names.map(|(n, k)| (n.to_owned(), k)), 0)
}

fn start_all(supervision: &mut Supervision, now: Micros) {
    for _ in 0..2 {
        for act in supervision.tick(now) {
            let Act::Start(index) = act else { panic!("{act:?}") };
            supervision.happened(index, Happening::Answered, now);
        }
    }
    assert!(supervision.all_up());
}

#[test]
fn nodes_start_before_gateways_and_stop_after_them() {
    let mut supervision = new_supervision(Limits::default());
    assert_eq!(supervision.tick(0), [Act::Start(0), Act::Start(1)]);
    supervision.happened(0, Happening::Answered, 10);
    assert_eq!(supervision.tick(10), []);
    supervision.happened(1, Happening::Answered, 20);
    assert_eq!(supervision.tick(20), [Act::Start(2), Act::Start(3)]);
    supervision.happened(2, Happening::Answered, 30);
    supervision.happened(3, Happening::Answered, 30);
    supervision.stop();
    assert_eq!(supervision.tick(40), [Act::Leave(2), Act::Leave(3)]);
    supervision.happened(2, Happening::Ended, 50);
    assert_eq!(supervision.tick(50), []);
    supervision.happened(3, Happening::Ended, 60);
    assert_eq!(supervision.tick(60), [Act::Leave(0), Act::Leave(1)]);
    supervision.happened(0, Happening::Ended, 70);
    supervision.happened(1, Happening::Ended, 70);
    assert!(supervision.is_over());
    assert_eq!(supervision.tick(80), []);
}

#[test]
fn ended_process_restarts_with_backoff_and_is_given_up_at_the_limit() {
    let limits = Limits { restarts: 3, ..Limits::default() };
    let mut supervision = new_supervision(limits);
    start_all(&mut supervision, 0);
    let (mut now, mut pauses) = (0, Vec::new());
    loop {
        supervision.happened(2, Happening::Ended, now);
        if supervision.phase(2) == Some(Phase::GivenUp) {
            break;
        }
        let ended = now;
        while supervision.tick(now).is_empty() {
            now += 10_000;
        }
        pauses.push(now - ended);
        supervision.happened(2, Happening::Answered, now);
    }
    assert_eq!(pauses, [100_000, 200_000, 400_000]);
    assert_eq!(
        supervision.tick(now + 3600 * SECOND),
        [Act::Kill(0), Act::Kill(1), Act::Kill(3)],
        "the other processes no longer answer"
    );
    supervision.revive(now);
    assert_eq!(supervision.phase(2), Some(Phase::Down));
}

#[test]
fn process_that_is_not_ready_silent_or_not_stopping_is_killed() {
    let mut supervision = new_supervision(Limits::default());
    supervision.tick(0);
    assert_eq!(supervision.tick(11 * SECOND), [Act::Kill(0), Act::Kill(1)]);
    let mut supervision = new_supervision(Limits::default());
    start_all(&mut supervision, 0);
    for index in [0, 1, 3] {
        supervision.happened(index, Happening::Answered, 11 * SECOND);
    }
    assert_eq!(supervision.tick(11 * SECOND), [Act::Kill(2)]);
    supervision.stop();
    supervision.tick(11 * SECOND);
    assert_eq!(supervision.tick(20 * SECOND), [Act::Kill(2), Act::Kill(3)]);
}

#[test]
fn running_process_is_adopted_and_not_started_again() {
    let mut supervision = new_supervision(Limits::default());
    (0..4).for_each(|index| supervision.happened(index, Happening::Found, 5));
    assert_eq!(supervision.tick(10), []);
    assert!(supervision.all_up());
}
