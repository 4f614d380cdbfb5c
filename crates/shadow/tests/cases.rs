//! Correct and wrong candidates, and faulty nodes: what has to be found is found, and nothing else.

mod model;

use model::{BAD, Fault, World};
use shadow::{Doubt, Enough, Lack, Lost, Plant, ShadowOptions, Why};

/// Runs a fleet of four gateways until `compared` reads were compared and all verdicts are equal.
fn run_fleet(seed: u64, fault: Fault, plant: Plant, compared: u64) -> World {
    let mut world = World::new(seed, 4, fault, plant);
    world.start_all();
    assert!(world.run(120_000_000, |w| w.compared() >= compared), "{} compared", world.compared());
    assert!(world.settle(), "the gateways do not converge");
    world
}

fn found(world: &World) -> Vec<(u32, u64)> {
    world.verdict(0).wrong().collect()
}

#[test]
fn correct_candidate_has_no_differences_under_writes() {
    let world = run_fleet(1, Fault::None, Plant::None, 5_000);
    let verdict = world.verdict(0);
    println!("{verdict}");
    assert_eq!((verdict.results.different, found(&world).len()), (0, 0));
    assert_eq!(verdict.compared, world.compared());
    assert_eq!(model::sent(&verdict), world.sent());
    assert!(verdict.results.raced > 0, "no write raced, so the test proves nothing");
    assert!(verdict.sum(|shard| &shard.not_tried, Why::SamePlace) > 0);
    assert!(matches!(&verdict.enough, Enough::NotYet { lacking } if lacking.is_empty()), "{verdict}");
    let doubt = verdict.sum(|shard| &shard.doubts, Doubt::First);
    assert_eq!(doubt, 0, "a write explains each difference: {verdict}");
}

#[test]
fn verdict_is_enough_once_the_bound_and_each_extent_are_reached() {
    let mut world = World::new(6, 3, Fault::None, Plant::None);
    world.options = Box::new(|options| ShadowOptions { target: 0.01, each: 20, ..options });
    world.start_all();
    assert!(world.run(60_000_000, |w| w.compared() >= 300));
    let early = world.verdict(0);
    assert!(matches!(&early.enough, Enough::NotYet { lacking } if !lacking.is_empty()), "{early}");
    assert!(world.run(60_000_000, |w| w.verdict(0).enough == Enough::Enough));
    let verdict = world.verdict(0);
    assert!(verdict.at_most <= 0.01 && verdict.results.same >= 300, "{verdict}");
}

#[test]
fn only_the_wrong_extent_is_found() {
    let world = run_fleet(2, Fault::Wrong, Plant::None, 5_000);
    let verdict = world.verdict(0);
    println!("{verdict}");
    let wrong = world.store.wrong.expect("the fault names one");
    assert_eq!(found(&world), [wrong]);
    assert_eq!(verdict.enough, Enough::Wrong(vec![wrong]));
    let example = verdict.examples.first().expect("an example");
    assert_eq!((example.nsid, example.extent), wrong);
    assert_ne!(example.digests.0, example.digests.1);
}

#[test]
fn node_that_lost_its_last_second_of_writes_is_found() {
    let world = run_fleet(3, Fault::Stale(1_000_000), Plant::None, 10_500);
    println!("{}", world.verdict(0));
    let found = found(&world);
    assert!(!found.is_empty());
    assert!(found.iter().all(|extent| world.differed.contains(extent)), "{found:?} of {:?}", world.differed);
    // Lost blocks that no later write has repaired are found in time.
    let still_differing = world.store.differing();
    assert!(still_differing.len() * 2 >= world.differed.len(), "too few extents differ at the end");
    let missed: Vec<_> = still_differing.iter().filter(|extent| !found.contains(extent)).collect();
    assert!(missed.len() * 2 < still_differing.len(), "missed {missed:?} of {still_differing:?}");
}

#[test]
fn node_that_garbles_one_block_in_10000_is_found() {
    let world = run_fleet(4, Fault::Garble, Plant::None, 10_000);
    println!("{}", world.verdict(0));
    let found = found(&world);
    assert!(!found.is_empty());
    assert!(found.iter().all(|extent| world.differed.contains(extent)), "{found:?} of {:?}", world.differed);
}

#[test]
fn node_that_stalls_lies_or_answers_twice_does_no_harm() {
    for fault in [Fault::Stall, Fault::Lie, Fault::Twice] {
        let world = run_fleet(5, fault, Plant::None, 3_000);
        let verdict = world.verdict(0);
        assert_eq!(model::sent(&verdict), world.sent(), "{fault:?}: {verdict}");
        for gateway in &world.gateways {
            assert!(
                gateway.most_held.0 <= 32 && gateway.most_held.1 <= 64,
                "{fault:?}: {:?}",
                gateway.most_held
            );
        }
        let bad = verdict.shards.iter().find(|look| look.shard == BAD).expect("it got shadow reads");
        match fault {
            Fault::Stall => {
                assert_eq!(bad.lost[&Lost::TimedOut], bad.sent, "{verdict}");
                assert_eq!(bad.results.compared(), 0);
                assert!(bad.not_tried[&Why::Out] > 0, "reads in flight are limited: {verdict}");
                let Enough::NotYet { lacking } = &verdict.enough else { panic!("{verdict}") };
                let volumes = &world.store.candidate.volumes;
                let shard = |l: &Lack| volumes[l.nsid as usize - 1].shards[l.extent as usize];
                let on_bad: Vec<&Lack> = lacking.iter().filter(|l| shard(l) == BAD).collect();
                assert!(!on_bad.is_empty() && on_bad.iter().all(|l| l.same == 0), "{verdict}");
            }
            Fault::Lie => assert!(bad.results.different > 0 && bad.results.same == 0, "{verdict}"),
            _ => {
                assert_eq!(verdict.strange, 2 * bad.sent, "{verdict}");
                assert_eq!((verdict.results.different, verdict.compared), (0, world.compared()));
            }
        }
    }
}
