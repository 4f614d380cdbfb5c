//! Disks that take no more: a writer says so and goes on, a gateway goes on in memory. A file-size limit stands in for a full
//! disk; it is a process's, so the limited parts run in processes of their own.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use common::{Site, change, until};
use plane::{ProposalError, Region};

/// Runs one of the tests below under a limit of a few KiB for each file.
fn run_limited(test: &str, folder: &Path, machines: &[SocketAddr]) {
    let limited = Command::new("sh")
        .args(["-c", "ulimit -f 16; trap '' XFSZ; exec \"$0\" --exact \"$1\" --ignored --nocapture"])
        .arg(std::env::current_exe().unwrap())
        .arg(test)
        .env("FULL_DISK_CHILD", folder)
        .env("FULL_DISK_MACHINES", machines.iter().map(SocketAddr::to_string).collect::<Vec<_>>().join(","))
        .output()
        .unwrap();
    let said =
        format!("{}{}", String::from_utf8_lossy(&limited.stdout), String::from_utf8_lossy(&limited.stderr));
    assert!(limited.status.success() && said.contains("1 passed"), "{said}");
}

/// The site whose machines listen where the caller said.
fn site_of(machines: &[(&str, u16, bool)]) -> Site {
    let mut site = Site::new(machines);
    let addresses = std::env::var("FULL_DISK_MACHINES").expect("the machines' addresses");
    for ((name, ..), address) in machines.iter().zip(addresses.split(',')) {
        site.addresses.insert((*name).into(), address.parse().expect("an address"));
    }
    site
}

/// More than the limit, in one proposal; and what takes it away again.
fn much(region: Region) -> Vec<plane::Change> {
    (0..10).map(|n| change(region, &format!("big{n}"), Some(&[n; 4000]))).collect()
}

fn none(region: Region) -> Vec<plane::Change> {
    (0..10).map(|n| change(region, &format!("big{n}"), None)).collect()
}

#[test]
fn a_writer_whose_disk_is_full_turns_down_what_it_cannot_keep_and_nothing_more() {
    let folder = tempfile::tempdir().unwrap();
    run_limited("full_disk_at_a_writer", folder.path(), &[]);
}

#[test]
#[ignore = "the part of the test above that runs under a limit"]
fn full_disk_at_a_writer() {
    let Ok(folder) = std::env::var("FULL_DISK_CHILD") else { return };
    let folder = Path::new(&folder);
    let site = Site::new(&[("c1", 1, true)]);
    let machine = site.start("c1", &folder.join("c1"));
    site.put("c1", "n1", b"up");
    let refused = site.propose("c1", much(Region(1)));
    assert!(matches!(refused, Err(ProposalError::Disk(_))), "{refused:?}");
    assert_eq!(site.put("c1", "n2", b"up").version.0, 2, "its versions are given anew");
    machine.line("both are in force", |line| line["entries"] == 2 && line["open"] == true);
    machine.stop();
    let machine = site.start("c1", &folder.join("c1"));
    site.put("c1", "n3", b"up");
    let line = machine.line("all three are in force", |line| line["entries"] == 3);
    assert_eq!(line["cursors"]["1"], serde_json::json!([2, 3]));
    machine.stop();
}

#[test]
fn a_gateway_whose_disk_is_full_goes_on_in_memory() {
    let folder = tempfile::tempdir().unwrap();
    let site = Site::new(&[("c1", 1, true)]);
    let _machine = site.start("c1", &folder.path().join("c1"));
    site.put("c1", "n1", b"up");
    run_limited("full_disk_at_a_gateway", &folder.path().join("g1"), &[site.address("c1")]);
}

#[test]
#[ignore = "the part of the test above that runs under a limit"]
fn full_disk_at_a_gateway() {
    let Ok(folder) = std::env::var("FULL_DISK_CHILD") else { return };
    let folder = Path::new(&folder);
    let site = site_of(&[("c1", 1, true)]);
    let (follower, _told) = site.follow("g1", folder);
    until("the first state", || follower.look().level && follower.look().entries == 1);
    assert!(follower.look().kept, "that much fits");
    // The machine, in a process of its own, has the room.
    site.propose("c1", much(Region(1))).expect("it is taken");
    until("all is in force", || follower.look().entries == 11);
    until("the disk takes no more", || !follower.look().kept);
    site.put("c1", "n2", b"up");
    until("it goes on", || follower.look().entries == 12 && follower.look().level);
    let look = follower.look();
    assert_eq!((look.links, look.turned_away, look.kept), (1, 0, false));
    drop(follower);
    // The next life begins with what the disk had last, and follows on from there.
    let (follower, _told) = site.follow("g1", folder);
    let look = follower.look();
    assert_eq!((look.ready, look.entries), (true, 1));
    until("it is level again", || follower.look().level && follower.look().entries == 12);
}

#[test]
fn a_machine_that_cannot_keep_what_others_write_serves_it_and_comes_back() {
    let folder = tempfile::tempdir().unwrap();
    let site = Site::new(&[("c1", 1, true), ("c2", 2, true)]);
    let _c1 = site.start("c1", &folder.path().join("c1"));
    site.put("c1", "n1", b"up");
    run_limited(
        "full_disk_at_a_machine",
        &folder.path().join("c2"),
        &[site.address("c1"), site.address("c2")],
    );
}

#[test]
#[ignore = "the part of the test above that runs under a limit"]
fn full_disk_at_a_machine() {
    let Ok(folder) = std::env::var("FULL_DISK_CHILD") else { return };
    let folder = Path::new(&folder);
    let site = site_of(&[("c1", 1, true), ("c2", 2, true)]);
    let (far, own) = (Region(1), Region(2));
    let c2 = site.start("c2", folder);
    c2.line("it has the other's change", |line| line["cursors"]["1"] == serde_json::json!([1, 1]));
    for round in 0..4 {
        site.propose("c1", much(far)).expect("the other machine has the room");
        c2.line("it is in force though it is not kept", |line| line["entries"] == 11 + round);
        site.propose("c1", none(far)).expect("it is taken");
        c2.line("it is smaller again", |line| line["entries"] == 1 + round);
        // Its own changes go to the disk with all that could not be kept before.
        assert_eq!(site.put("c2", &format!("own{round}"), b"up").version.0, round + 1);
    }
    site.propose("c1", much(far)).expect("the other machine has the room");
    c2.line("it is in force", |line| line["entries"] == 15);
    let refused = site.propose("c2", vec![change(own, "own4", Some(b"up"))]);
    assert!(matches!(refused, Err(ProposalError::Disk(_))), "{refused:?}");
    site.put("c1", "n1", b"a small change behind what is not there");
    c2.line("it is in force", |line| line["cursors"]["1"] == serde_json::json!([1, 92]));
    c2.stop();
    let c2 = site.start("c2", folder);
    c2.line("it is level again, and has its own", |line| {
        line["entries"] == 15 && line["cursors"] == serde_json::json!({"1": [1, 92], "2": [2, 4]})
    });
    site.propose("c1", none(far)).expect("it is taken");
    c2.line("it is smaller again", |line| line["entries"] == 5);
    assert_eq!(site.put("c2", "own4", b"up").version.0, 5);
    c2.stop();
}
