//! What was given to the system and is not durable yet.

use std::fs;
use std::path::Path;

use filelog::{Log, LogError, Opened};
use proptest::prelude::*;

fn opened(path: &Path) -> Log {
    Log::open(path, 7).expect("it opens").log
}

fn records(path: &Path) -> Vec<Vec<u8>> {
    Log::open(path, 7).expect("it opens").records
}

/// How far the rig's mark says that the file is durable.
fn marked(path: &Path) -> u64 {
    let mut mark = path.as_os_str().to_owned();
    mark.push(".durable");
    u64::from_le_bytes(fs::read(mark).expect("a mark").try_into().expect("eight bytes"))
}

#[test]
fn what_was_handed_over_outlives_the_process_and_is_durable_with_the_next_sync_only() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.log");
    let mut log = opened(&path);
    log.keep_mark().unwrap();
    log.append(b"one").unwrap();
    log.sync().unwrap();
    let durable = log.durable();
    assert_eq!((log.handed(), log.length(), marked(&path)), (durable, durable, durable));
    log.append(b"two").unwrap();
    log.hand_over().unwrap();
    log.append(b"three").unwrap();
    assert!(log.handed() > durable && log.length() > log.handed());
    assert_eq!((log.durable(), marked(&path)), (durable, durable), "nothing more is durable");
    assert_eq!(fs::metadata(&path).unwrap().len(), log.handed(), "the system has what was handed over");
    // Another name for what a killed process leaves: what is open there stays open.
    let left = folder.path().join("left.log");
    fs::copy(&path, &left).unwrap();
    assert_eq!(records(&left), [b"one".to_vec(), b"two".to_vec()]);
    log.sync().unwrap();
    assert_eq!((log.durable(), log.handed(), marked(&path)), (log.length(), log.length(), log.length()));
    // Nothing was appended since, but handing over alone leaves something for a sync.
    log.append(b"four").unwrap();
    log.hand_over().unwrap();
    assert!(marked(&path) < log.length());
    log.sync().unwrap();
    assert_eq!(marked(&path), log.length());
    drop(log);
    assert_eq!(records(&path), [&b"one"[..], b"two", b"three", b"four"].map(<[u8]>::to_vec));
}

#[test]
fn a_full_disk_takes_back_what_was_not_handed_over_and_nothing_more() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.log");
    drop(opened(&path));
    // A file-size limit stands in for a full disk; it is a process's, so the limited part runs in one of its own.
    let limited = std::process::Command::new("sh")
        .args(["-c", "ulimit -f 1; trap '' XFSZ; exec \"$0\" --exact full_disk_child --ignored --nocapture"])
        .arg(std::env::current_exe().unwrap())
        .env("FILELOG_CHILD", &path)
        .output()
        .unwrap();
    assert!(limited.status.success(), "{}", String::from_utf8_lossy(&limited.stdout));
    assert_eq!(records(&path), [b"one".to_vec(), b"three".to_vec(), b"five".to_vec()]);
}

#[test]
#[ignore = "the part of the test above that runs under a limit"]
fn full_disk_child() {
    let Ok(path) = std::env::var("FILELOG_CHILD") else { return };
    let mut log = opened(Path::new(&path));
    log.append(b"one").expect("it is taken");
    log.hand_over().expect("there is room");
    let handed = log.handed();
    log.append(&vec![2; 100_000]).expect("it is taken");
    assert!(matches!(log.hand_over(), Err(LogError::Io { .. })), "there is no room");
    assert_eq!((log.handed(), log.length()), (handed, handed));
    log.append(b"three").expect("it is taken");
    log.hand_over().expect("there is room");
    log.append(&vec![4; 100_000]).expect("it is taken");
    assert!(matches!(log.sync(), Err(LogError::Io { .. })), "there is no room");
    log.append(b"five").expect("it is taken");
    log.sync().expect("there is room");
    assert_eq!(log.durable(), log.length());
}

#[test]
fn a_log_is_made_whole_in_place_of_another_file() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.log");
    let linked = folder.path().join("b.log");
    let log = Log::create(&path, 8, [&b"one"[..], b"two"]).unwrap();
    assert_eq!((log.number(), log.durable()), (8, log.length()));
    drop(log);
    fs::hard_link(&path, &linked).unwrap();
    let mut log = Log::create(&path, 9, [&b"three"[..]]).unwrap();
    log.append(b"four").unwrap();
    log.sync().unwrap();
    drop(log);
    assert_eq!(records(&path), [b"three".to_vec(), b"four".to_vec()]);
    assert_eq!(
        records(&linked),
        [b"one".to_vec(), b"two".to_vec()],
        "another name for the old file keeps it"
    );
}

#[derive(Clone, Copy, Debug)]
enum Then {
    Wait,
    HandOver,
    Sync,
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever a cut of power leaves behind the last sync: all that was durable is there, and nothing that was never written.
    #[test]
    fn a_cut_behind_the_last_sync_leaves_all_that_was_durable(
        steps in prop::collection::vec(
            (
                prop::collection::vec(any::<u8>(), 0..40),
                prop_oneof![Just(Then::Wait), Just(Then::HandOver), Just(Then::Sync)],
            ),
            1..20,
        ),
        cut in any::<prop::sample::Index>(),
        holes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
    ) {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("a.log");
        let Opened { mut log, .. } = Log::open(&path, 7).unwrap();
        let (mut handed, mut durable) = (0, 0);
        for (n, (payload, then)) in steps.iter().enumerate() {
            log.append(payload).unwrap();
            match then {
                Then::Wait => {}
                Then::HandOver => {
                    log.hand_over().unwrap();
                    handed = n + 1;
                }
                Then::Sync => {
                    log.sync().unwrap();
                    (handed, durable) = (n + 1, n + 1);
                }
            }
        }
        let safe = log.durable() as usize;
        drop(log);
        let mut bytes = fs::read(&path).unwrap();
        let all: Vec<Vec<u8>> = steps.iter().map(|(payload, _)| payload.clone()).collect();
        // A kill leaves what was handed over.
        let left = folder.path().join("left.log");
        fs::write(&left, &bytes).unwrap();
        prop_assert_eq!(&records(&left)[..], &all[..handed]);
        // A cut of power leaves less.
        let tail = bytes.len() - safe;
        if tail > 0 {
            for (at, byte) in &holes {
                bytes[safe + at.index(tail)] = *byte;
            }
        }
        bytes.truncate(safe + cut.index(tail + 1));
        fs::write(&path, &bytes).unwrap();
        let found = records(&path);
        prop_assert!(found.len() >= durable && found.len() <= handed && found[..] == all[..found.len()]);
        let mut log = opened(&path);
        log.append(b"next").unwrap();
        log.sync().unwrap();
        let found = records(&path);
        prop_assert_eq!(found.last().map(Vec::as_slice), Some(&b"next"[..]));
    }
}
