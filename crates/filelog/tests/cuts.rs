//! What a cut of power, a full disk and damage leave of a log.

use std::fs;
use std::path::Path;

use filelog::{Log, LogError, Opened, read, replace};
use proptest::prelude::*;

fn records(path: &Path) -> Vec<Vec<u8>> {
    Log::open(path, 7).expect("it opens").records
}

fn filled(path: &Path, groups: &[Vec<Vec<u8>>]) -> (u64, u64) {
    let Opened { mut log, .. } = Log::open(path, 7).expect("it opens");
    let mut before = log.length();
    for group in groups {
        before = log.length();
        group.iter().for_each(|payload| log.append(payload).expect("it is taken"));
        log.sync().expect("it is durable");
    }
    (before, log.length())
}

#[test]
fn what_was_appended_and_not_synced_is_not_there() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.log");
    let Opened { mut log, fresh, .. } = Log::open(&path, 7).unwrap();
    assert!(fresh);
    log.append(b"one").unwrap();
    log.sync().unwrap();
    log.append(b"two").unwrap();
    drop(log);
    assert_eq!(records(&path), [b"one".to_vec()]);
}

#[test]
fn damage_where_it_was_durable_is_named_by_its_place_and_not_cut_off() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.log");
    let groups: Vec<Vec<Vec<u8>>> = (0..4u8).map(|n| vec![vec![n; 50], vec![n; 9]]).collect();
    filled(&path, &groups);
    let good = fs::read(&path).unwrap();
    // Each byte of the first record in turn; also its length, whose damage hides where the next one begins.
    for at in 16..16 + 16 + 50 {
        let mut bytes = good.clone();
        bytes[at] ^= 0x41;
        fs::write(&path, &bytes).unwrap();
        match Log::open(&path, 7) {
            Err(LogError::Damaged { place: 16, .. }) => {}
            other => panic!("byte {at}: {other:?}"),
        }
        assert_eq!(fs::read(&path).unwrap(), bytes, "a damaged file is left as it is");
    }
}

#[test]
fn damage_inside_what_was_put_in_place_of_all_is_named_too() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.log");
    let Opened { mut log, .. } = Log::open(&path, 7).unwrap();
    log.rewrite(8, [&b"one"[..], b"two", b"three"]).unwrap();
    let mut bytes = fs::read(&path).unwrap();
    bytes[16 + 16] ^= 1;
    fs::write(&path, &bytes).unwrap();
    assert!(matches!(Log::open(&path, 9), Err(LogError::Damaged { place: 16, .. })));
}

#[test]
fn an_older_files_blocks_never_count() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.log");
    filled(&path, &[vec![b"old one".to_vec()], vec![b"old two".to_vec()]]);
    let old = fs::read(&path).unwrap();
    let Opened { mut log, .. } = Log::open(&path, 7).unwrap();
    log.rewrite(8, [&b"new one"[..]]).unwrap();
    let mut new = fs::read(&path).unwrap();
    let whole = new.len();
    new.extend_from_slice(&old[whole..]);
    fs::write(&path, new).unwrap();
    let opened = Log::open(&path, 9).unwrap();
    assert_eq!((opened.records, opened.torn > 0), (vec![b"new one".to_vec()], true));
}

#[test]
fn a_full_disk_leaves_the_log_as_it_was_and_the_next_group_counts() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("a.log");
    let Opened { mut log, .. } = Log::open(&path, 7).unwrap();
    log.append(b"one").unwrap();
    log.sync().unwrap();
    let before = log.length();
    // A file-size limit stands in for a full disk: both turn the write down half-way. It is the thread's process's, so this
    // test runs the limited part in a process of its own.
    let limited = std::process::Command::new("sh")
        .args(["-c", "ulimit -f 1; trap '' XFSZ; exec \"$0\" --exact full_disk_child --ignored --nocapture"])
        .arg(std::env::current_exe().unwrap())
        .env("FILELOG_CHILD", &path)
        .output()
        .unwrap();
    assert!(limited.status.success(), "{}", String::from_utf8_lossy(&limited.stdout));
    assert_eq!(records(&path), [b"one".to_vec(), b"three".to_vec()]);
    assert!(fs::metadata(&path).unwrap().len() > before);
}

#[test]
#[ignore = "the part of the test above that runs under a limit"]
fn full_disk_child() {
    let Ok(path) = std::env::var("FILELOG_CHILD") else { return };
    let Opened { mut log, .. } = Log::open(Path::new(&path), 7).expect("it opens");
    log.append(&vec![2; 100_000]).expect("it is taken");
    assert!(matches!(log.sync(), Err(LogError::Io { .. })), "there is no room");
    log.append(b"three").expect("it is taken");
    log.sync().expect("there is room");
}

#[test]
fn a_replaced_file_is_the_old_or_the_new_and_damage_is_named() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("life");
    assert_eq!(read(&path).unwrap(), None);
    replace(&path, b"one").unwrap();
    replace(&path, b"two").unwrap();
    assert_eq!(read(&path).unwrap().as_deref(), Some(&b"two"[..]));
    let mut bytes = fs::read(&path).unwrap();
    bytes[5] ^= 1;
    fs::write(&path, &bytes).unwrap();
    assert!(read(&path).unwrap_err().to_string().contains("life is damaged"));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Whatever a cut leaves behind the last sync: all that was durable is there, and nothing that never was written.
    #[test]
    fn a_cut_anywhere_behind_the_last_sync_leaves_all_that_was_durable(
        groups in prop::collection::vec(prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 1..4), 1..5),
        cut in any::<prop::sample::Index>(),
        holes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
    ) {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("a.log");
        let (durable, length) = filled(&path, &groups);
        let mut bytes = fs::read(&path).unwrap();
        // The last group is being written when the power goes: a part of it is there, with holes.
        let tail = (length - durable) as usize;
        for (at, byte) in &holes {
            let at = durable as usize + at.index(tail);
            bytes[at] = *byte;
        }
        bytes.truncate(durable as usize + cut.index(tail + 1));
        fs::write(&path, &bytes).unwrap();
        let found = records(&path);
        let all: Vec<Vec<u8>> = groups.iter().flatten().cloned().collect();
        let sure = all.len() - groups.last().map_or(0, Vec::len);
        prop_assert!(found.len() >= sure && found[..] == all[..found.len()]);
        // And it goes on from there.
        let Opened { mut log, .. } = Log::open(&path, 7).unwrap();
        log.append(b"next").unwrap();
        log.sync().unwrap();
        let found = records(&path);
        prop_assert_eq!(found.last().map(Vec::as_slice), Some(&b"next"[..]));
    }
}
