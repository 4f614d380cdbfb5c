//! Two hundred drawn schedules; `cargo run --release -p planedrill --example schedules` plays as many as one likes.

use planedrill::play;

#[test]
fn drawn_schedules_never_go_back_and_come_to_one_state() {
    let part = |part: u64| {
        for seed in (1..=200).filter(|seed| seed % 3 == part) {
            if let Err(failure) = play(seed) {
                panic!("{failure}");
            }
        }
    };
    std::thread::scope(|scope| {
        (0..3).for_each(|at| {
            scope.spawn(move || part(at));
        });
    });
}

#[test]
fn a_seed_plays_the_same_each_time() {
    for seed in [3, 17, 40] {
        assert_eq!(play(seed), play(seed));
    }
}
