//! The check of a candidate, its slice, and the limits of the shadow reads.

mod model;

use std::collections::BTreeMap;

use model::{Fault, World, life, name};
use proptest::prelude::*;
use shadow::{
    Candidate, CandidateError, Digest, Input, Output, Paper, Plant, Shadow, ShadowOptions, Verdict,
    VolumeMap, Why,
};

fn volume(nsid: u32, shards: &[u32]) -> VolumeMap {
    VolumeMap { nsid, blocks: 95, extent_blocks: 10, shards: shards.to_vec() }
}

fn valid_candidate() -> (Candidate, Vec<VolumeMap>) {
    let current = vec![volume(1, &[1; 10]), volume(2, &[2; 10])];
    let volumes = vec![volume(1, &[3; 10]), volume(2, &[2; 10])];
    (Candidate { number: 1, slice: 1.0, parts: BTreeMap::new(), volumes }, current)
}

fn check_error(change: impl FnOnce(&mut Candidate)) -> CandidateError {
    let (mut candidate, current) = valid_candidate();
    change(&mut candidate);
    candidate.check(&current, &[1, 2, 3].into()).expect_err("it does not fit")
}

#[test]
fn mismatch_is_reported_with_volume_extent_and_shard() {
    let (candidate, current) = valid_candidate();
    assert_eq!(candidate.check(&current, &[1, 2, 3].into()), Ok(()));
    assert_eq!(check_error(|c| c.number = 0), CandidateError::Number);
    assert_eq!(check_error(|c| c.slice = 1.01), CandidateError::Slice(1.01));
    assert!(matches!(check_error(|c| c.slice = f64::NAN), CandidateError::Slice(_)));
    let part = |nsid, part| move |c: &mut Candidate| _ = c.parts.insert(nsid, part);
    assert_eq!(check_error(part(2, -0.1)), CandidateError::Part { nsid: 2, part: -0.1 });
    assert_eq!(check_error(part(9, 0.1)), CandidateError::PartOfNone(9));
    assert_eq!(check_error(|c| c.volumes.push(volume(2, &[1; 10]))), CandidateError::Twice(2));
    assert_eq!(check_error(|c| c.volumes.push(volume(5, &[1; 10]))), CandidateError::VolumeUnknown(5));
    assert_eq!(check_error(|c| _ = c.volumes.remove(0)), CandidateError::VolumeLeftOut(1));
    assert_eq!(
        check_error(|c| c.volumes[1].shards.truncate(7)),
        CandidateError::ExtentLeftOut { nsid: 2, extent: 7, have: 7, need: 10 }
    );
    assert_eq!(
        check_error(|c| c.volumes[1].shards.push(1)),
        CandidateError::ExtentOver { nsid: 2, have: 11, need: 10 }
    );
    let error = check_error(|c| c.volumes[0].shards[4] = 8);
    assert_eq!(error, CandidateError::NoNode { nsid: 1, extent: 4, shard: 8 });
    assert_eq!(
        error.to_string(),
        "volume 1: extent 4 lies on shard 8, which has no node; name another or add one"
    );
    assert!(matches!(check_error(|c| c.volumes[0].extent_blocks = 0), CandidateError::Empty { nsid: 1, .. }));
    assert!(matches!(check_error(|c| c.volumes[0].blocks = 94), CandidateError::Size { nsid: 1, .. }));
    let (mut candidate, current) = valid_candidate();
    candidate.volumes.remove(0);
    let made = Shadow::new(ShadowOptions::new(name(0), candidate, current, 1), life(1), None, 0, 1);
    assert_eq!(made.err(), Some(CandidateError::VolumeLeftOut(1)));
}

#[test]
fn digest_covers_all_fields_but_not_the_order_of_volumes() {
    let (candidate, _) = valid_candidate();
    let mut reordered = candidate.clone();
    reordered.volumes.reverse();
    assert_eq!(candidate.digest(), reordered.digest());
    let changes: [fn(&mut Candidate); 8] = [
        |c| c.number = 2,
        |c| c.slice = 0.5,
        |c| _ = c.parts.insert(1, 1.0),
        |c| _ = c.parts.insert(2, 1.0),
        |c| c.volumes[0].shards[9] = 4,
        |c| c.volumes[0].blocks = 96,
        |c| c.volumes[0].extent_blocks = 11,
        |c| c.volumes[1].nsid = 3,
    ];
    let mut digests = vec![candidate.digest()];
    for change in changes {
        let mut other = candidate.clone();
        change(&mut other);
        digests.push(other.digest());
    }
    digests.sort_unstable();
    digests.dedup();
    assert_eq!(digests.len(), 9);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(100))]
    /// The selected fraction is the configured one to within five standard deviations, for any numbers; also for every n-th
    /// extent only, so that no placement pattern is missed.
    #[test]
    fn slice_is_uniform(number in 1u64.., nsid in any::<u32>(), part in 0.0..1.0f64, step in 1u64..9) {
        let (mut candidate, _) = valid_candidate();
        (candidate.number, candidate.slice) = (number, part);
        let count = 2_000u64;
        let selected = (0..count).filter(|i| candidate.is_in_slice(nsid, i * step)).count() as f64;
        let (mean, deviation) = (part * count as f64, (part * (1.0 - part) * count as f64).sqrt());
        prop_assert!((selected - mean).abs() <= 5.0 * deviation + 1.0, "{selected} for {mean}");
        candidate.parts.insert(nsid, (part + 0.1).min(1.0));
        let more = (0..count).filter(|i| candidate.is_in_slice(nsid, i * step)).count() as f64;
        prop_assert!(more >= selected);
    }
}

#[test]
fn part_0_selects_none_part_1_all_and_volumes_have_their_own_part() {
    let (mut candidate, _) = valid_candidate();
    assert!((0..10_000).all(|extent| candidate.is_in_slice(1, extent)));
    candidate.parts.insert(1, 0.0);
    assert!(!(0..10_000).any(|extent| candidate.is_in_slice(1, extent)));
    assert!((0..10_000).all(|extent| candidate.is_in_slice(2, extent)));
}

/// In any second a node gets at most its rate plus one read per gateway, also if one gateway restarts all the time.
#[test]
fn node_gets_at_most_its_rate_from_the_whole_fleet() {
    let mut world = World::new(21, 4, Fault::None, Plant::None);
    world.options =
        Box::new(|options| ShadowOptions { node_rate: 40.0, rest: 1_000, beat: 25_000, ..options });
    world.start_all();
    for _ in 0..30 {
        world.run(100_000, |_| false);
        world.kill(3);
        world.start(3);
    }
    world.run(1_000_000, |_| false);
    assert!(world.tries.values().all(|tries| *tries <= 40 + 4), "{:?}", world.tries);
    let whole = world.tries.iter().filter(|((_, second), _)| (1..=3).contains(second));
    assert!(whole.clone().count() == 9 && whole.clone().all(|(_, tries)| *tries >= 20), "{:?}", world.tries);
    assert!(world.verdict(0).sum(|shard| &shard.not_tried, Why::Rate) > 0);
}

/// Runs a single shadow with ten reads and writes; returns the number of its shadow reads, and its verdict.
fn run_single(tell: impl IntoIterator<Item = Input>, node: &str) -> (usize, Verdict) {
    let (candidate, current) = valid_candidate();
    let mut options = ShadowOptions::new(name(0), candidate, current, 1);
    (options.node_rate, options.rest) = (1e6, 1_000);
    let mut shadow = Shadow::new(options, life(1), None, 0, 1).expect("it fits");
    let mut out = Vec::new();
    tell.into_iter().for_each(|input| shadow.handle(0, input, &mut out));
    for at in 0..10 {
        let node = node.to_owned();
        let digest = Digest::of(b"x");
        let read = Input::Read { nsid: 1, slba: 8 + at, blocks: 2, node, began: 0, ended: 1, digest };
        shadow.handle(1_000_000 + at as i64, read, &mut out);
        let write = Input::WriteBegan { nsid: 1, slba: 8 + at, blocks: 2, token: at };
        shadow.handle(1_000_000 + at as i64, write, &mut out);
    }
    let tries = out.iter().filter(|output| matches!(output, Output::Try { .. })).count();
    (tries, shadow.verdict())
}

#[test]
fn nothing_is_sent_to_unlisted_nodes_or_while_requests_are_queued() {
    let nodes = || Input::Nodes(vec![(3, "new".into()), (1, "old".into())]);
    let (tries, verdict) = run_single([nodes()], "old");
    let whys = |verdict: &Verdict, why| verdict.sum(|shard| &shard.not_tried, why);
    // One of ten spans two extents, and eight may be in flight at one node.
    assert_eq!((tries, whys(&verdict, Why::Across), whys(&verdict, Why::Out)), (8, 1, 1));
    let papers = |verdict: &Verdict, paper| verdict.sum(|shard| &shard.paper, paper);
    assert_eq!((papers(&verdict, Paper::There), papers(&verdict, Paper::NoNode)), (11, 0));
    let (tries, verdict) = run_single([nodes(), Input::Busy(true)], "old");
    assert_eq!((tries, whys(&verdict, Why::Busy)), (0, 9));
    let (tries, verdict) = run_single([nodes(), Input::Nodes(vec![(1, "old".into())])], "old");
    assert_eq!((tries, whys(&verdict, Why::NoNode), papers(&verdict, Paper::NoNode)), (0, 9, 11));
    // A node is not compared with itself.
    let (tries, verdict) = run_single([nodes()], "new");
    assert_eq!((tries, whys(&verdict, Why::SamePlace)), (0, 9));
}
