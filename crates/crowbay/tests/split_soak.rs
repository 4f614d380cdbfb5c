//! The soak of splits on a few fixed seeds; many more by `cargo run --release -p restartsoak -- --kind split`.

use std::path::PathBuf;
use std::thread;

use restartsoak::plan::Plan;
use restartsoak::records::{Fate, Outcome, Records};
use restartsoak::{Options, check, play};

/// One with many clients among them.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

#[test]
fn cuts_and_torn_answers_break_no_rule() {
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
    let plan = Plan::draw_split(seed, 1);
    let options = Options { program, folder: folder.path().to_owned() };
    let records = play(&plan, &options).expect("it is played");
    is_what_it_says(seed, &records);
    check(&plan, &records).into_iter().map(|breach| format!("seed {seed}: {breach}")).collect()
}

/// The troubles that were drawn did come.
fn is_what_it_says(seed: u64, records: &Records) {
    let attempts = |fate| records.attempts.iter().filter(|attempt| attempt.fate == fate).count();
    let answered = |wanted| {
        let is_it = |outcome| matches!(outcome, Outcome::Answered { status, .. } if status == wanted);
        records.requests.iter().filter(|request| is_it(request.outcome)).count()
    };
    assert!(answered(200) > 100, "seed {seed}: hardly anything was served");
    assert!(attempts(Fate::Torn) > 10, "seed {seed}: hardly an answer was torn");
    assert!(attempts(Fate::Unanswered) > 5, "seed {seed}: hardly an attempt was left without an answer");
}
