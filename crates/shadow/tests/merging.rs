//! Partitions, restarts, duplicated and reordered messages: nothing is counted twice.

mod model;

use model::{Fault, World, name};
use shadow::{Input, Plant, ShadowOptions};

fn fleet(seed: u64, plant: Plant) -> World {
    let mut world = World::new(seed, 4, Fault::None, plant);
    world.start_all();
    world
}

/// The fleet is partitioned into halves, and two gateways lose their power in turn; at the end all are connected.
#[test]
fn partition_and_restarts_count_nothing_twice() {
    let mut world = fleet(11, Plant::None);
    world.run(300_000, |_| false);
    let halves = [(0, 2), (0, 3), (1, 2), (1, 3)];
    world.cut = halves.iter().flat_map(|&(a, b)| [(a, b), (b, a)]).collect();
    world.run(300_000, |_| false);
    world.kill(2);
    world.run(50_000, |_| false);
    world.start(2);
    world.run(400_000, |_| false);
    world.cut.clear();
    world.run(30_000, |_| false);
    world.kill(1);
    world.run(30_000, |_| false);
    world.start(1);
    world.run(300_000, |_| false);
    assert!(world.settle(), "the gateways do not converge");
    let verdict = world.verdict(0);
    // At most what the two killed lives sent after they last stored their counters is lost.
    let killed = [(1, 0), (2, 0)].map(|(of, life): (usize, usize)| world.gateways[of].truth[life]);
    let lost: u64 = killed.iter().map(|truth| truth.sent - truth.sent_when_kept).sum();
    let (sent, truth) = (model::sent(&verdict), world.sent());
    assert!(sent <= truth && sent >= truth - lost, "{sent} of {truth}, {lost} may be lost");
    assert!(verdict.compared <= world.compared());
    assert_eq!((verdict.results.different, verdict.lives, verdict.gateways), (0, 6, 4));
    assert!(verdict.results.raced > 0);
    // No more messages are in flight: the counters stay the same.
    world.run(1_000_000, |_| false);
    assert_eq!(world.verdict(3), verdict);
}

/// All counters of each life reach its peers before it ends, so the sum must be exact.
fn sent_with_restarts(plant: Plant) -> (u64, u64) {
    let mut world = World::new(12, 4, Fault::None, plant);
    // Nothing is ever stored: the counters come back from the peers.
    world.options = Box::new(move |options| ShadowOptions { plant, keep: i64::MAX, ..options });
    world.start_all();
    for of in [1, 2, 1] {
        world.clients = true;
        world.run(200_000, |_| false);
        world.clients = false;
        world.run(400_000, |_| false);
        world.kill(of);
        world.run(20_000, |_| false);
        world.start(of);
    }
    world.clients = true;
    world.run(200_000, |_| false);
    world.settle();
    (model::sent(&world.verdict(0)), world.sent())
}

#[test]
fn counters_of_ended_lives_stay_and_count_once() {
    let (sent, truth) = sent_with_restarts(Plant::None);
    assert_eq!(sent, truth);
}

#[test]
fn counters_owned_by_a_name_are_detected() {
    let (sent, truth) = sent_with_restarts(Plant::NameOwns);
    assert_ne!(sent, truth);
}

/// All gateways lose their power at once: the stored counters are restored.
#[test]
fn power_loss_of_all_gateways_loses_at_most_the_last_store_interval() {
    let mut world = fleet(13, Plant::None);
    world.run(1_060_000, |_| false);
    (0..4).for_each(|of| world.kill(of));
    world.clients = false;
    world.run(1_000_000, |_| false);
    let kept: u64 = world.gateways.iter().map(|g| g.truth[0].sent_when_kept).sum();
    let before = world.sent();
    (0..4).for_each(|of| world.start(of));
    assert!(world.settle());
    assert_eq!(model::sent(&world.verdict(0)), kept);
    assert!(kept >= before * 4 / 5 && kept < before, "{kept} of {before}");
}

/// A gateway continues in another life without a restart: its earlier counters stay those of the earlier life, and are stored.
#[test]
fn renewed_life_counts_under_a_new_owner() {
    let mut world = fleet(17, Plant::None);
    world.run(300_000, |_| false);
    for turn in 2..4 {
        world.tell(0, Input::Renewed(model::life(turn)));
        world.run(250_000, |_| false);
    }
    assert!(world.settle());
    let verdict = world.verdict(2);
    assert_eq!((model::sent(&verdict), verdict.lives), (world.sent(), 6));
    world.run(200_000, |_| false);
    (0..4).for_each(|of| world.kill(of));
    (0..4).for_each(|of| world.start(of));
    assert!(world.settle());
    assert_eq!(model::sent(&world.verdict(1)), world.sent());
}

/// Two gateways have one candidate, two another. Returns the shadow reads of the first two as well.
fn two_candidates(plant: Plant) -> (World, u64) {
    let mut world = World::new(14, 4, Fault::None, plant);
    (0..2).for_each(|of| world.start(of));
    world.store.candidate.number += 1;
    (2..4).for_each(|of| world.start(of));
    world.run(400_000, |_| false);
    world.clients = false;
    world.run(2_000_000, |_| false);
    let own = world.gateways[..2].iter().map(|g| g.truth[0].sent).sum();
    (world, own)
}

#[test]
fn counters_of_different_candidates_are_not_added() {
    let (world, own) = two_candidates(Plant::None);
    assert_eq!(model::sent(&world.verdict(0)), own);
    assert_eq!(world.verdict(0), world.verdict(1));
    assert_ne!(world.verdict(0).digest, world.verdict(2).digest);
    let rejections = &world.gateways[0].turned_away;
    assert!(
        rejections.iter().any(|(from, why)| *from == name(2) && why.contains("another candidate")),
        "{rejections:?}"
    );
    assert_eq!(rejections.len(), 2, "once for each");
}

#[test]
fn added_counters_of_another_candidate_are_detected() {
    let (world, own) = two_candidates(Plant::DigestsAdded);
    assert_ne!(model::sent(&world.verdict(0)), own);
}

#[test]
fn stored_counters_that_do_not_fit_are_reported_and_ignored() {
    let mut world = fleet(15, Plant::None);
    world.run(400_000, |_| false);
    for (kept, why) in [(None, "another candidate's"), (Some(vec![1, 2, 3]), "cannot be read")] {
        world.kill(0);
        world.store.candidate.number += 1;
        world.gateways[0].kept = kept.or(world.gateways[0].kept.take());
        world.gateways[0].turned_away.clear();
        world.start(0);
        let rejections = &world.gateways[0].turned_away;
        assert!(
            rejections.iter().any(|(from, said)| *from == name(0) && said.contains(why)),
            "{rejections:?}"
        );
        assert_eq!(model::sent(&world.verdict(0)), 0);
    }
}

#[test]
fn invalid_messages_are_reported_once() {
    let mut world = fleet(16, Plant::None);
    for body in [vec![9; 10], vec![0; 100_000], vec![9; 11]] {
        world.tell(0, Input::Heard { from: name(1), life: model::life(1), body });
    }
    world.tell(0, Input::Heard { from: "stranger".into(), life: model::life(1), body: vec![1] });
    assert_eq!(world.gateways[0].turned_away.len(), 2, "{:?}", world.gateways[0].turned_away);
}
