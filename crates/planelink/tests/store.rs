//! What a kill, a cut, a replaced base and a full disk leave of a store.

use std::fs;
use std::path::Path;

use planelink::Store;

fn bodies(folder: &Path) -> Vec<Vec<u8>> {
    Store::open(folder).expect("it opens").1
}

fn opened(folder: &Path) -> Store {
    Store::open(folder).expect("it opens").0
}

fn made(names: &[&str]) -> Vec<Vec<u8>> {
    names.iter().map(|name| name.as_bytes().to_vec()).collect()
}

#[test]
fn what_was_handed_over_or_synced_is_there_and_what_was_only_kept_is_not() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = opened(folder.path());
    store.keep(b"one").unwrap();
    store.sync().unwrap();
    assert!(!store.is_unsynced());
    store.keep(b"two").unwrap();
    store.hand_over().unwrap();
    assert!(store.is_unsynced());
    store.keep(b"three").unwrap();
    drop(store);
    assert_eq!(bodies(folder.path()), made(&["one", "two"]));
}

#[test]
fn a_cut_tail_leaves_the_base_and_what_is_whole() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = opened(folder.path());
    store.keep_all(&made(&["all", "of it"])).unwrap();
    for body in ["one", "two", "three"] {
        store.keep(body.as_bytes()).unwrap();
    }
    store.hand_over().unwrap();
    drop(store);
    let tail = folder.path().join("tail");
    let whole = fs::read(&tail).unwrap();
    let all = made(&["all", "of it", "one", "two", "three"]);
    let mut counts = Vec::new();
    for cut in (16..=whole.len()).rev() {
        fs::write(&tail, &whole[..cut]).unwrap();
        let found = bodies(folder.path());
        assert!(found.len() >= 2 && found[..] == all[..found.len()], "cut at {cut}: {found:?}");
        counts.push(found.len());
        // And it goes on from there.
        let mut store = opened(folder.path());
        store.keep(b"next").unwrap();
        store.hand_over().unwrap();
        drop(store);
        assert_eq!(bodies(folder.path()).last(), Some(&b"next".to_vec()));
    }
    counts.dedup();
    assert_eq!(counts, [5, 4, 3, 2]);
}

#[test]
fn a_tail_left_behind_by_an_older_base_is_passed_over() {
    let folder = tempfile::tempdir().unwrap();
    let (base, tail) = (folder.path().join("base"), folder.path().join("tail"));
    let mut store = opened(folder.path());
    store.keep(b"one").unwrap();
    store.sync().unwrap();
    let first = fs::read(&tail).unwrap();
    store.keep_all(&made(&["one and more"])).unwrap();
    store.keep(b"two").unwrap();
    store.hand_over().unwrap();
    let (second_base, second) = (fs::read(&base).unwrap(), fs::read(&tail).unwrap());
    store.keep_all(&made(&["one, two and more"])).unwrap();
    store.keep(b"three").unwrap();
    store.hand_over().unwrap();
    drop(store);
    assert_eq!(bodies(folder.path()), made(&["one, two and more", "three"]));
    // A cut between the new base and its tail.
    for old in [&first, &second] {
        fs::write(&tail, old).unwrap();
        assert_eq!(bodies(folder.path()), made(&["one, two and more"]));
        let mut store = opened(folder.path());
        store.keep(b"four").unwrap();
        store.hand_over().unwrap();
        drop(store);
        assert_eq!(bodies(folder.path()), made(&["one, two and more", "four"]));
    }
    // An old disk, put back whole.
    fs::write(&base, second_base).unwrap();
    fs::write(&tail, second).unwrap();
    assert_eq!(bodies(folder.path()), made(&["one and more", "two"]));
}

#[test]
fn a_base_that_is_linked_into_two_folders_is_changed_in_neither_by_the_other() {
    let folder = tempfile::tempdir().unwrap();
    let (a, b) = (folder.path().join("a"), folder.path().join("b"));
    let mut store = opened(&a);
    store.keep_all(&made(&["all"])).unwrap();
    fs::create_dir(&b).unwrap();
    fs::hard_link(a.join("base"), b.join("base")).unwrap();
    let mut other = opened(&b);
    other.keep(b"other").unwrap();
    other.hand_over().unwrap();
    store.keep(b"own").unwrap();
    store.hand_over().unwrap();
    drop(other);
    assert_eq!((bodies(&a), bodies(&b)), (made(&["all", "own"]), made(&["all", "other"])));
    store.keep_all(&made(&["all", "anew"])).unwrap();
    drop(store);
    assert_eq!((bodies(&a), bodies(&b)), (made(&["all", "anew"]), made(&["all", "other"])));
}

#[test]
fn a_long_tail_asks_for_a_new_base() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = opened(folder.path());
    let body = vec![1; 100 << 10];
    for (n, long) in [false, false, true].into_iter().enumerate() {
        store.keep(&body).unwrap();
        store.hand_over().unwrap();
        assert_eq!(store.is_long(), long, "after {n}");
    }
    store.keep_all(&[vec![2; 400 << 10]]).unwrap();
    assert!(!store.is_long());
    for (n, long) in [false, false, false, false, true].into_iter().enumerate() {
        store.keep(&body).unwrap();
        store.hand_over().unwrap();
        assert_eq!(store.is_long(), long, "beside a base, after {n}");
    }
}

#[test]
fn a_full_disk_leaves_the_store_as_it_was() {
    let folder = tempfile::tempdir().unwrap();
    drop(opened(folder.path()));
    // A file-size limit stands in for a full disk; it is a process's, so the limited part runs in one of its own.
    let limited = std::process::Command::new("sh")
        .args(["-c", "ulimit -f 8; trap '' XFSZ; exec \"$0\" --exact full_disk_child --ignored --nocapture"])
        .arg(std::env::current_exe().unwrap())
        .env("STORE_CHILD", folder.path())
        .output()
        .unwrap();
    assert!(limited.status.success(), "{}", String::from_utf8_lossy(&limited.stdout));
    assert_eq!(bodies(folder.path()), made(&["all", "two", "three"]));
}

#[test]
#[ignore = "the part of the test above that runs under a limit"]
fn full_disk_child() {
    let Ok(folder) = std::env::var("STORE_CHILD") else { return };
    let mut store = opened(Path::new(&folder));
    let much = vec![0; 100_000];
    store.keep(b"one").unwrap();
    store.hand_over().unwrap();
    store.keep_all(&made(&["all"])).unwrap();
    assert!(
        store.keep_all(std::slice::from_ref(&much)).is_err_and(|error| !error.is_uncertain()),
        "there is no room"
    );
    store.keep(b"two").unwrap();
    store.hand_over().unwrap();
    let handed = store.handed();
    store.keep(&much).unwrap();
    assert!(store.hand_over().is_err_and(|error| !error.is_uncertain()), "there is no room");
    assert_eq!(store.handed(), handed);
    store.keep(b"three").unwrap();
    store.sync().unwrap();
}
