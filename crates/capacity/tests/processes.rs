//! What measurements of whole processes rest on, without a program to measure.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use capacity::processes::{ALL, gauge};
use capacity::{Ask, MeasureError};

fn ask(program: &str, folder: &Path) -> Ask {
    Ask { program: PathBuf::from(program), folder: folder.to_owned(), look: true, seed: 1 }
}

#[test]
fn each_has_a_name_of_its_own() {
    let names: BTreeSet<&str> = ALL.iter().map(|(name, _)| *name).collect();
    assert_eq!(names.len(), ALL.len());
}

#[test]
fn a_program_that_is_not_there_is_named() {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, measure) in ALL {
        let error = measure(&ask("/nosuch/crowbay", folder.path())).expect_err(name);
        assert!(matches!(error, MeasureError::Io(..)), "{name}: {error}");
        assert!(error.to_string().contains("/nosuch/crowbay"), "{name}: {error}");
    }
}

#[test]
fn a_program_that_ends_at_once_gives_no_rows() {
    let folder = tempfile::tempdir().expect("a folder");
    for (name, measure) in ALL {
        let error = measure(&ask("/bin/true", folder.path())).expect_err(name);
        assert!(matches!(error, MeasureError::Failed(_)), "{name}: {error}");
    }
}

#[test]
fn threads_that_end_meanwhile_do_not_end_their_process() {
    let over = std::sync::atomic::AtomicBool::new(false);
    let is_over = || over.load(std::sync::atomic::Ordering::Relaxed);
    std::thread::scope(|scope| {
        let looks = scope.spawn(|| {
            let mut seen = Ok(Duration::ZERO);
            while seen.is_ok() && !is_over() {
                seen = gauge::run_time(std::process::id());
            }
            seen
        });
        for _ in 0..5_000 {
            std::thread::spawn(|| {}).join().expect("it ends");
        }
        over.store(true, std::sync::atomic::Ordering::Relaxed);
        looks.join().expect("it looks").expect("run time");
    });
}

#[test]
fn processor_time_memory_and_threads_of_this_process_are_seen() {
    let pid = std::process::id();
    let (ticks, run) = (gauge::processor_time(pid).expect("ticks"), gauge::run_time(pid).expect("run time"));
    let (begun, mut spins) = (Instant::now(), 0u64);
    // This thread runs until it has run for so long: however busy the machine is.
    while gauge::run_time(pid).expect("run time") < run + Duration::from_millis(100) {
        spins = std::hint::black_box(spins + 1);
        assert!(begun.elapsed() < Duration::from_secs(60), "its run time never rises");
    }
    let rise = gauge::processor_time(pid).expect("ticks") - ticks;
    assert!(rise >= Duration::from_millis(80), "{rise:?}");

    let before = gauge::memory(pid).expect("memory");
    let held = std::hint::black_box(vec![1u8; 64 << 20]);
    let after = gauge::memory(pid).expect("memory");
    assert!(after.resident >= before.resident + (48 << 20), "{before:?} {after:?}");
    drop(held);
    // What is given back no longer counts as resident, and still does in the peak, which the system counts to a MB or so.
    let given_back = gauge::memory(pid).expect("memory");
    assert!(given_back.resident + (48 << 20) <= after.resident, "{after:?} {given_back:?}");
    assert!(given_back.peak >= before.resident + (48 << 20), "{before:?} {given_back:?}");
    assert!(given_back.peak + (2 << 20) >= after.resident, "{after:?} {given_back:?}");

    let threads = gauge::threads(pid).expect("threads");
    assert!(threads >= 1);
    let open = gauge::descriptors(pid).expect("descriptors");
    assert!(open >= 3 && open < gauge::descriptor_limit().expect("a limit"));
}

#[test]
fn a_process_that_has_ended_has_no_figures() {
    let mut child = std::process::Command::new("/bin/true").spawn().expect("a process");
    let pid = child.id();
    child.wait().expect("its end");
    assert!(
        gauge::processor_time(pid).is_err() && gauge::run_time(pid).is_err() && gauge::memory(pid).is_err()
    );
}

#[test]
fn a_process_that_runs_is_not_at_rest_and_one_that_sleeps_is() {
    let mut child = std::process::Command::new("/bin/sleep").arg("60").spawn().expect("a process");
    let rest = gauge::settle(child.id());
    child.kill().and_then(|()| child.wait().map(drop)).expect("its end");
    assert!(rest.expect("it rests").run_time > Duration::ZERO);
}
