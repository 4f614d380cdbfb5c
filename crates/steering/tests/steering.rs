//! Intents, orders and supervision, each rule by name.

use proptest::prelude::*;
use steering::*;

const S: Micros = 1_000_000;

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

fn ask(id: u64, change: Change) -> Request {
    let (by, from) = ("anna".into(), "console 1".into());
    Request { id: RequestId(id), change, by, from, expects: None, confirmed: false }
}

fn drain(name: &str) -> Change {
    Change::Drain(name.into())
}

fn carry_out(intents: &mut Intents, request: &Request) -> Entry {
    let entry = intents.judge(&facts(), request, 5).expect("it is accepted");
    assert!(intents.apply(&entry));
    entry
}

#[test]
fn a_drain_typed_twice_counts_once_and_one_asked_again_gets_its_first_answer() {
    let mut intents = Intents::default();
    let first = carry_out(&mut intents, &ask(1, drain("n2")));
    assert_eq!(first.before, "not drained");
    let again = intents.judge(&facts(), &ask(1, drain("n2")), 9);
    assert_eq!(again, Err(Verdict::Accepted { revision: Revision(1), remark: None }));
    let twice = intents.judge(&facts(), &ask(2, drain("n2")), 9);
    assert!(matches!(twice, Err(Verdict::Already { since: Some(mark) }) if mark.by == "anna"));
    assert_eq!(intents.revision(), Revision(1));
}

#[test]
fn two_consoles_that_change_one_thing_get_one_winner_and_one_clear_answer() {
    let mut intents = Intents::default();
    let seen = Some(intents.version("node n2"));
    let mut anna = ask(1, drain("n2"));
    let mut ben = Request { by: "ben".into(), ..ask(2, drain("n2")) };
    (anna.expects, ben.expects) = (seen, seen);
    carry_out(&mut intents, &anna);
    let Err(Verdict::Conflict { now, what }) = intents.judge(&facts(), &ben, 9) else { panic!() };
    assert_eq!(now, Revision(1));
    assert_eq!(what, "node n2 is drained by anna from console 1");
    // Another subject is not in the way.
    ben.change = Change::Hold("archive".into());
    ben.expects = Some(intents.version("volume archive"));
    carry_out(&mut intents, &ben);
}

#[test]
fn the_last_node_of_a_shard_asks_for_a_confirmation_that_names_what_will_be_refused() {
    let mut intents = Intents::default();
    let mut request = ask(1, drain("n1"));
    let Err(Verdict::Confirm { refused }) = intents.judge(&facts(), &request, 5) else { panic!() };
    assert!(
        refused.contains("shard 0") && refused.contains("ledger") && !refused.contains("archive"),
        "{refused}"
    );
    request.confirmed = true;
    carry_out(&mut intents, &request);
    // Of two nodes the first goes without asking, then the other is the last.
    carry_out(&mut intents, &ask(2, drain("n2")));
    assert!(matches!(intents.judge(&facts(), &ask(3, drain("n3")), 5), Err(Verdict::Confirm { .. })));
}

#[test]
fn an_unknown_name_is_told_with_those_there_are() {
    let intents = Intents::default();
    let Err(Verdict::Unknown { what }) = intents.judge(&facts(), &ask(1, drain("n9")), 5) else { panic!() };
    assert_eq!(what, "no node is named 'n9'; there are n1, n2, n3");
    let hold = ask(2, Change::Hold("vol7".into()));
    assert!(matches!(intents.judge(&facts(), &hold, 5), Err(Verdict::Unknown { .. })));
}

#[test]
fn undraining_a_cold_node_or_one_the_list_has_gone_is_remarked() {
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
fn a_drain_by_the_operator_stands_over_a_list_that_says_on_and_a_list_that_says_gone_over_both() {
    let mut intents = Intents::default();
    carry_out(&mut intents, &ask(1, drain("n2")));
    let listed = |state| vec![Listed { name: "n2".into(), state }];
    let ordered = |state| orders(&listed(state), &intents).nodes[0].clone();
    assert_eq!((ordered(State::On).0.state, ordered(State::On).1), (State::Draining, Source::Operator));
    assert_eq!((ordered(State::Gone).0.state, ordered(State::Gone).1), (State::Gone, Source::List));
    assert_eq!(ordered(State::Draining).1, Source::List);
    carry_out(&mut intents, &ask(2, Change::Undrain("n2".into())));
    assert_eq!(orders(&listed(State::On), &intents).nodes[0].0.state, State::On);
}

#[test]
fn an_entry_out_of_order_is_passed_over() {
    let mut intents = Intents::default();
    let first = carry_out(&mut intents, &ask(1, drain("n2")));
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
    fn the_entries_replayed_from_any_point_give_the_state_and_repeats_change_nothing(
        steps in proptest::collection::vec((change(), 1..12u64, any::<bool>()), 1..60), cut in any::<prop::sample::Index>(),
    ) {
        let mut intents = Intents::default();
        let mut entries = Vec::new();
        for (n, (change, id, confirmed)) in steps.into_iter().enumerate() {
            let request = Request { confirmed, ..ask(id, change) };
            if let Ok(entry) = intents.judge(&facts(), &request, n as Micros) {
                prop_assert!(intents.apply(&entry));
                entries.push(entry);
            }
        }
        prop_assert_eq!(intents.revision().0 as usize, entries.len());
        let cut = if entries.is_empty() { 0 } else { cut.index(entries.len()) };
        let mut replayed = Intents::default();
        entries[..cut].iter().for_each(|e| { replayed.apply(e); });
        // After a crash the whole journal is read again: what was applied already is passed over.
        entries.iter().for_each(|e| { replayed.apply(e); });
        prop_assert_eq!(replayed, intents);
    }
}

fn site(limits: Limits) -> Supervision {
    let names = [("n1", Kind::Node), ("n2", Kind::Node), ("gw1", Kind::Gateway), ("gw2", Kind::Gateway)];
    Supervision::new(limits, names.map(|(n, k)| (n.to_owned(), k)), 0)
}

fn up(s: &mut Supervision, now: Micros) {
    for _ in 0..2 {
        for act in s.tick(now) {
            let Act::Start(index) = act else { panic!("{act:?}") };
            s.happened(index, Happening::Answered, now);
        }
    }
    assert!(s.all_up());
}

#[test]
fn nodes_start_before_gateways_and_leave_after_them() {
    let mut s = site(Limits::default());
    assert_eq!(s.tick(0), [Act::Start(0), Act::Start(1)]);
    s.happened(0, Happening::Answered, 10);
    assert_eq!(s.tick(10), []);
    s.happened(1, Happening::Answered, 20);
    assert_eq!(s.tick(20), [Act::Start(2), Act::Start(3)]);
    s.happened(2, Happening::Answered, 30);
    s.happened(3, Happening::Answered, 30);
    s.stop();
    assert_eq!(s.tick(40), [Act::Leave(2), Act::Leave(3)]);
    s.happened(2, Happening::Ended, 50);
    assert_eq!(s.tick(50), []);
    s.happened(3, Happening::Ended, 60);
    assert_eq!(s.tick(60), [Act::Leave(0), Act::Leave(1)]);
    s.happened(0, Happening::Ended, 70);
    s.happened(1, Happening::Ended, 70);
    assert!(s.is_over());
    assert_eq!(s.tick(80), []);
}

#[test]
fn a_process_that_ends_is_started_after_a_growing_pause_and_given_up_at_the_limit() {
    let limits = Limits { restarts: 3, ..Limits::default() };
    let mut s = site(limits);
    up(&mut s, 0);
    let (mut now, mut pauses) = (0, Vec::new());
    loop {
        s.happened(2, Happening::Ended, now);
        if s.phase(2) == Some(Phase::GivenUp) {
            break;
        }
        let ended = now;
        while s.tick(now).is_empty() {
            now += 10_000;
        }
        pauses.push(now - ended);
        s.happened(2, Happening::Answered, now);
    }
    assert_eq!(pauses, [100_000, 200_000, 400_000]);
    assert_eq!(
        s.tick(now + 3600 * S),
        [Act::Kill(0), Act::Kill(1), Act::Kill(3)],
        "the others were never heard again"
    );
    s.revive(now);
    assert_eq!(s.phase(2), Some(Phase::Down));
}

#[test]
fn a_process_never_ready_mute_or_not_leaving_is_killed() {
    let mut s = site(Limits::default());
    s.tick(0);
    assert_eq!(s.tick(11 * S), [Act::Kill(0), Act::Kill(1)]);
    let mut s = site(Limits::default());
    up(&mut s, 0);
    for index in [0, 1, 3] {
        s.happened(index, Happening::Answered, 11 * S);
    }
    assert_eq!(s.tick(11 * S), [Act::Kill(2)]);
    s.stop();
    s.tick(11 * S);
    assert_eq!(s.tick(20 * S), [Act::Kill(2), Act::Kill(3)]);
}

#[test]
fn one_that_runs_already_is_adopted_and_not_started_a_second_time() {
    let mut s = site(Limits::default());
    (0..4).for_each(|index| s.happened(index, Happening::Found, 5));
    assert_eq!(s.tick(10), []);
    assert!(s.all_up());
}
