//! Runs 120 random fault schedules; `cargo run --release -p fleet --example schedules` runs any number.

mod net;
#[path = "net/schedule.rs"]
mod schedule;

use fleet::Plant;

#[test]
fn random_schedules_converge_within_the_bound() {
    let run_quarter = |quarter: u64| {
        for seed in (1..=120).filter(|seed| seed % 4 == quarter) {
            match schedule::run_schedule(seed, Plant::None) {
                Ok(result) => {
                    let most = net::PERIOD / 1000 * i64::from(result.bound);
                    assert!(result.settled <= most, "seed {seed}: {result:?}");
                    assert!(result.flapping.is_none_or(|f| f <= 1.0), "seed {seed}: {result:?}");
                }
                Err(why) => panic!("seed {seed}: {why}"),
            }
        }
    };
    std::thread::scope(|scope| {
        (0..4).for_each(|at| {
            scope.spawn(move || run_quarter(at));
        });
    });
}

/// Whether any of the first `most` random schedules fails with this injected fault.
fn any_schedule_fails(plant: Plant, most: u64) -> bool {
    (1..=most).any(|seed| schedule::run_schedule(seed, plant).is_err())
}

#[test]
fn forgotten_refutation_fails_random_schedules() {
    assert!(any_schedule_fails(Plant::RefutationForgotten, 60));
}

#[test]
fn merge_by_arrival_fails_random_schedules() {
    assert!(any_schedule_fails(Plant::MergeByArrival, 60));
}
