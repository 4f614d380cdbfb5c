//! Machines and a gateway's follower on real sockets and disks: what is proposed comes into force, and nobody goes back.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Receiver;

use common::{LONG, SITE, Site, change, copy_files, follow, records, until};
use peer::channel::ChannelError;
use plane::{Bounds, Copy, Cursor, Epoch, ProposalError, Region, Version};
use planelink::{FollowOptions, Followed, Follower, MachineAddress, ProposeError, Proposer, Store};

fn at(epoch: u64, version: u64) -> Cursor {
    Cursor { epoch: Epoch(epoch), version: Version(version) }
}

/// Cursors in the order in which they were told.
fn cursors(told: &Receiver<Followed>) -> Vec<Cursor> {
    told.try_iter()
        .filter_map(|followed| match followed {
            Followed::Restored { upto, .. }
            | Followed::Changed { upto, .. }
            | Followed::Whole { upto, .. } => Some(upto),
            _ => None,
        })
        .collect()
}

#[test]
fn a_machine_that_comes_back_is_followed_on_by_version_and_a_gateway_starts_from_its_own_disk() {
    let (at_machine, at_gateway) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let site = Site::new(&[("c1", 1, true)]);
    let machine = site.start("c1", at_machine.path());
    assert_eq!(site.put("c1", "n1", b"up"), at(1, 1));
    let (follower, told) = site.follow("g1", at_gateway.path());
    assert!(!follower.look().ready, "an empty disk holds nothing");
    until("level", || follower.look().level && follower.look().entries == 1);
    assert_eq!(site.put("c1", "n2", b"down"), at(1, 2));
    until("the second change", || follower.look().regions == [(Region(1), at(1, 2))]);
    let look = follower.look();
    assert_eq!((look.machine, look.wholes, look.links, look.turned_away), (Some("c1".into()), 1, 1, 0));
    assert!(look.ready && look.kept && look.linked_since.is_some());

    machine.stop();
    until("the link is lost", || follower.look().machine.is_none());
    assert_eq!((follower.look().entries, follower.look().ready), (2, true), "silence changes nothing");
    let machine = site.start("c1", at_machine.path());
    assert_eq!(site.put("c1", "n3", b"up"), at(2, 3), "a later start of the writer is a later epoch");
    until("the change of the next life", || follower.look().level && follower.look().entries == 3);
    let look = follower.look();
    assert_eq!((look.wholes, look.links, look.turned_away), (1, 2, 0), "it went on by version");
    let line = machine.line("a subscriber", |line| line["subscribers"] == 1);
    assert_eq!((&line["wholes"], &line["name"], &line["open"]), (&0.into(), &"c1".into(), &true.into()));
    drop(follower);
    machine.stop();
    let told = cursors(&told);
    assert!(told.is_sorted() && told.last() == Some(&at(2, 3)), "{told:?}");

    // No machine is there any more.
    let (follower, told) = site.follow("g1", at_gateway.path());
    let look = follower.look();
    assert_eq!((look.ready, look.entries, look.level), (true, 3, false));
    let Ok(Followed::Restored { upto, entries, .. }) = told.try_recv() else {
        panic!("nothing was restored")
    };
    let mut held: Vec<(String, Option<Vec<u8>>)> =
        entries.iter().map(|e| (e.key.to_string(), e.value.as_deref().map(<[u8]>::to_vec))).collect();
    held.sort();
    let node = |name: &str, value: &[u8]| (format!("1/node/{name}"), Some(value.to_vec()));
    assert_eq!((upto, held), (at(2, 3), vec![node("n1", b"up"), node("n2", b"down"), node("n3", b"up")]));
}

/// Danger: a gateway that acts on a change which its disk has not been given starts behind it when its process is killed there.
#[test]
fn what_a_gateway_is_told_its_disk_was_given_before() {
    let (at_machine, at_gateway) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let site = Site::new(&[("c1", 1, true)]);
    let _machine = site.start("c1", at_machine.path());
    let (folder, regions) = (at_gateway.path().to_owned(), site.regions());
    let (tell, told) = std::sync::mpsc::channel();
    // What a start would find if the process were killed in this moment.
    let options = FollowOptions { name: "g1".into(), link: site.link(1), folder: folder.clone(), seed: 1 };
    let follower = Follower::start(options, move |followed| {
        let (Followed::Changed { upto, .. } | Followed::Whole { upto, .. }) = followed else { return };
        let killed = tempfile::tempdir().unwrap();
        copy_files(&folder, killed.path());
        let (_, bodies) = Store::open(killed.path()).unwrap();
        let mut copy = Copy::new(regions.iter().copied(), Bounds::default());
        bodies.iter().for_each(|body| drop(copy.restore(body, None).unwrap()));
        // Who looks has gone only if the test has failed.
        let _ = tell.send((upto, copy.cursor(Region(1))));
    })
    .unwrap();
    until("level", || follower.look().level);
    for n in 1..=20 {
        site.put("c1", &format!("n{n}"), b"up");
    }
    until("all of them", || follower.look().entries == 20);
    drop(follower);
    let told: Vec<_> = told.try_iter().collect();
    assert!(told.len() >= 2, "{told:?}");
    let behind: Vec<_> = told.iter().filter(|(upto, held)| held < upto).collect();
    assert!(behind.is_empty(), "told, and not on the disk: {behind:?}");
}

#[test]
fn deletions_and_changes_of_another_region_come_through_the_own_regions_machine() {
    let folders = [(); 3].map(|()| tempfile::tempdir().unwrap());
    let site = Site::new(&[("c1", 1, true), ("c2", 2, true)]);
    let _c1 = site.start("c1", folders[0].path());
    let _c2 = site.start("c2", folders[1].path());
    site.put("c1", "n1", b"up");
    site.put("c2", "n1", b"far");
    let mut near = site.link(1);
    near.far = Vec::new();
    let (follower, _told) = follow("g1", near, folders[2].path());
    until("both regions", || follower.look().level && follower.look().entries == 2);
    assert_eq!(follower.look().machine, Some("c1".into()));
    site.propose("c2", vec![change(Region(2), "n1", None), change(Region(2), "n2", Some(b"far"))]).unwrap();
    until("the far change", || follower.look().regions == [(Region(1), at(1, 1)), (Region(2), at(1, 3))]);
    assert_eq!(follower.look().entries, 2);
    let refused = site.propose("c1", vec![change(Region(2), "n2", Some(b"mine"))]);
    assert!(matches!(refused, Err(ProposalError::Foreign { owner: 2, .. })), "{refused:?}");
}

#[test]
fn an_old_disk_put_back_at_the_writer_takes_nobody_back() {
    let folders = [(); 4].map(|()| tempfile::tempdir().unwrap());
    let old = folders[3].path().join("old");
    let site = Site::new(&[("c1", 1, true), ("c2", 1, false)]);
    let c2 = site.start("c2", folders[1].path());
    let c1 = site.start("c1", folders[0].path());
    site.put("c1", "n1", b"first");
    c1.stop();
    copy_files(folders[0].path(), &old);
    let c1 = site.start("c1", folders[0].path());
    assert_eq!(site.put("c1", "n2", b"second"), at(2, 2));
    assert_eq!(site.put("c1", "n1", b"third"), at(2, 3));
    let (follower, told) = site.follow("g1", folders[2].path());
    until("all is held", || follower.look().regions == [(Region(1), at(2, 3))]);
    c2.line("the other machine has it", |line| line["cursors"]["1"] == serde_json::json!([2, 3]));
    c1.stop();
    copy_files(&old, folders[0].path());
    let c1 = site.start("c1", folders[0].path());
    c1.line("it opens", |line| line["open"] == true);
    assert_eq!(site.put("c1", "n3", b"fourth"), at(3, 4), "what its disk forgot is not written anew");
    until("the next change", || follower.look().level && follower.look().regions == [(Region(1), at(3, 4))]);
    assert_eq!(follower.look().entries, 3);
    let told = cursors(&told);
    assert!(told.is_sorted(), "{told:?}");
    c2.line("the other machine goes on", |line| line["cursors"]["1"] == serde_json::json!([3, 4]));
}

#[test]
fn who_is_of_another_site_is_turned_away_and_counted() {
    let folders = [(); 2].map(|()| tempfile::tempdir().unwrap());
    let site = Site::new(&[("c1", 1, true)]);
    let machine = site.start("c1", folders[0].path());
    site.put("c1", "n1", b"up");
    let elsewhere = MachineAddress { site: SITE + 1, ..site.machine("c1") };
    let error = Proposer::connect(&elsewhere, &"put".into()).expect_err("another site");
    assert!(matches!(error, ProposeError::Channel(_, ChannelError::Site(SITE))), "{error}");
    machine.line("it is counted", |line| line["turned_away"] == 1);
    let mut link = site.link(1);
    link.site = SITE + 1;
    let (follower, _told) = follow("g1", link, folders[1].path());
    until("the follower turns the machine away too", || follower.look().turned_away > 0);
    let look = follower.look();
    assert_eq!((look.ready, look.level, look.entries), (false, false, 0));
    let line = machine.line("it is counted again", |line| line["turned_away"].as_u64() > Some(1));
    assert_eq!(line["subscribers"], 0);
}

#[test]
fn who_never_stops_talking_keeps_nobody_waiting() {
    let folder = tempfile::tempdir().unwrap();
    let site = Site::new(&[("c1", 1, true)]);
    let _machine = site.start("c1", folder.path());
    site.put("c1", "n1", b"up");
    let mut talker = TcpStream::connect(site.address("c1")).expect("it connects");
    let life = peer::Life::after(None, peer::Nonce(1));
    let greeting = peer::channel::Greeting { site: SITE, name: "talker".into(), life };
    talker.write_all(&peer::channel::hello(&greeting)).expect("it is greeted");
    talker.set_write_timeout(Some(LONG)).expect("a time for writes");
    let many = peer::channel::beat().repeat(8 << 10);
    let (over, talks) = (AtomicBool::new(false), AtomicBool::new(false));
    std::thread::scope(|scope| {
        scope.spawn(|| {
            while !over.load(Ordering::SeqCst) {
                talker.write_all(&many).expect("it is heard");
                talks.store(true, Ordering::SeqCst);
            }
        });
        until("it talks", || talks.load(Ordering::SeqCst));
        for n in 0..20 {
            site.put("c1", &format!("m{n}"), b"up");
        }
        over.store(true, Ordering::SeqCst);
    });
}

#[test]
fn an_end_that_comes_with_the_last_words_is_noticed() {
    let folder = tempfile::tempdir().unwrap();
    let site = Site::new(&[("c1", 1, true)]);
    let mut run = site.machine_run("c1", folder.path());
    run.silence = 3_600_000_000;
    let _machine = site.start_with(run);
    site.put("c1", "n1", b"up");
    let life = peer::Life::after(None, peer::Nonce(1));
    let greeting = peer::channel::Greeting { site: SITE, name: "brief".into(), life };
    let hello = peer::channel::hello(&greeting);
    for _ in 0..200 {
        let mut brief = TcpStream::connect(site.address("c1")).expect("it connects");
        brief.write_all(&hello).expect("it is written");
        brief.shutdown(Shutdown::Write).expect("it ends");
        brief.set_read_timeout(Some(LONG)).expect("a time for reads");
        brief.read_to_end(&mut Vec::new()).expect("the machine ends it too");
    }
}

#[test]
fn a_change_that_is_durable_and_not_in_the_writers_log_is_written_there_at_the_next_start() {
    let (folder, written) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    let site = Site::new(&[("c1", 1, true)]);
    let machine = site.start_recorded("c1", folder.path(), written.path());
    for n in 1..=3 {
        site.put("c1", &format!("n {n}%"), b"up");
    }
    machine.stop();
    let path = written.path().join("written-c1.log");
    let whole = std::fs::read_to_string(&path).expect("the log");
    let words = |line: &str| line.split(' ').map(str::to_owned).collect::<Vec<_>>();
    let lines: Vec<Vec<String>> = whole.lines().map(words).collect();
    let hash = format!("{:016x}", xxhash_rust::xxh3::xxh3_64(b"up"));
    assert_eq!((&lines[0][0], &lines[0][2..]), (&"O".to_owned(), &["1", "1", "1"].map(str::to_owned)[..]));
    assert_eq!(lines.len(), 4);
    for (n, line) in lines.iter().enumerate().skip(1) {
        let key = format!("1/node/n%20;{n}%25;");
        let wanted = ["1".to_owned(), "1".to_owned(), n.to_string(), key, hash.clone()];
        assert_eq!((&line[0], &line[2..]), (&"W".to_owned(), &wanted[..]));
    }
    // The last line is cut off half-way, and the one before it is not there.
    let keep: usize = whole.lines().take(2).map(|line| line.len() + 1).sum();
    std::fs::write(&path, &whole[..keep + 5]).expect("cut off");
    let machine = site.start_recorded("c1", folder.path(), written.path());
    site.put("c1", "n4", b"up");
    machine.stop();
    let again = records(written.path(), "written-c1.log");
    let short: Vec<(String, String)> = again.iter().map(|w| (w[0].clone(), w[4].clone())).collect();
    let wanted = [("O", "1"), ("W", "1"), ("W", "2"), ("W", "3"), ("O", "4"), ("W", "4")];
    assert_eq!(short, wanted.map(|(letter, version)| (letter.to_owned(), version.to_owned())));
}
