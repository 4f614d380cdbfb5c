//! The soak of restarts on a few fixed seeds; many more by `cargo run --release -p restartsoak`.

use std::path::PathBuf;
use std::thread;

use restartsoak::plan::Plan;
use restartsoak::{Options, check, play};

/// One with a crowd of idle clients and one with silent watches among them.
const SEEDS: [u64; 5] = [1, 2, 3, 6, 13];
/// Lives for each seed.
const LIVES: usize = 3;

#[test]
fn restarts_under_drawn_troubles_break_no_rule() {
    let broken: Vec<String> = thread::scope(|scope| {
        let plays: Vec<_> = SEEDS.iter().map(|seed| scope.spawn(|| broken(*seed))).collect();
        plays.into_iter().flat_map(|play| play.join().expect("no panic")).collect()
    });
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// What broke in the play of a seed.
fn broken(seed: u64) -> Vec<String> {
    let folder = tempfile::tempdir().expect("a folder");
    let program = PathBuf::from(env!("CARGO_BIN_EXE_crowbay"));
    let plan = Plan::draw(seed, LIVES);
    let options = Options { program, folder: folder.path().to_owned() };
    let records = play(&plan, &options).expect("it is played");
    assert!(records.requests.len() > 100, "seed {seed}: hardly anything was asked");
    check(&plan, &records).into_iter().map(|breach| format!("seed {seed}: {breach}")).collect()
}
