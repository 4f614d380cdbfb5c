//! The control plane as processes: three machines, sixty gateways without a data path, changes, and kills.

use std::time::Duration;

use planelab::{Day, DayOptions, Report, Size, play};

const EXE: &str = env!("CARGO_BIN_EXE_crowbay");

/// Plays days into a new folder. What processes logged is told where it fails.
fn played(days: &[Day]) -> Report {
    let folder = tempfile::tempdir().expect("a folder");
    let mut options = DayOptions::new(EXE.into(), folder.path().join("day"), Size::small());
    options.days = days.to_vec();
    options.ordinary = Duration::from_secs(3);
    options.patience = Duration::from_secs(60);
    play(&options).unwrap_or_else(|error| {
        let logs = std::fs::read_dir(options.out.join("logs")).into_iter().flatten().flatten();
        let tails = logs.map(|log| {
            let text = std::fs::read_to_string(log.path()).unwrap_or_default();
            let tail: Vec<&str> = text.lines().rev().take(5).collect();
            format!("\n{}: {}", log.path().display(), tail.join("\n  "))
        });
        panic!("{error}{}", tails.collect::<String>())
    })
}

#[test]
fn a_short_day_breaks_nothing_and_its_cost_is_that_of_its_changes() {
    let report = played(&[Day::Short]);
    let verdict = &report.verdict;
    assert!(verdict.is_good(), "{}", report.text());
    assert_eq!((verdict.holders, verdict.unreached_count), (63, 0), "{}", report.text());
    // What was written behind the base state came into force at each gateway but the few that were away meanwhile.
    let changes: u64 = report.rows.iter().map(|row| row.changes).sum();
    assert!(verdict.written >= changes && changes > report.entries as u64, "{}", report.text());
    let ordinary = report.row("ordinary").expect("it was played");
    let reached = ordinary.in_force.all.count;
    assert_eq!(reached, ordinary.changes * report.gateways as u64, "{}", report.text());
    assert!(verdict.compared > 63, "digests were held against each other");

    let (machines, gateways) = (report.machines as u64, report.gateways as u64);
    assert!(ordinary.changes > 0, "{}", report.text());
    assert_eq!((ordinary.wholes, ordinary.turned_away, ordinary.links), (0, 0, 0), "{}", report.text());
    // A machine looks at a change once for all whom it serves, or a few times where some stand a change behind.
    assert!(ordinary.entries_out <= 4 * machines * ordinary.changes, "{}", report.text());
    // One note for a change and reader at most, and signs of life.
    let readers = gateways + 2 * machines;
    let lives = 2 * (ordinary.seconds.ceil() as u64 + 1);
    assert!(ordinary.notes_out <= readers * (ordinary.changes + lives), "{}", report.text());

    // Nobody needs a whole state for a machine that was away, or a gateway that has its own disk.
    for span in ["machine-back", "gateways-back"] {
        let row = report.row(span).expect("it was played");
        assert_eq!(row.wholes, 0, "{}", report.text());
    }
}
