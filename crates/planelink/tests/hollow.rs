//! Many gateways in one process: all follow, start from their own disks, and those that read nothing hold nobody up.

mod common;

use std::collections::BTreeSet;

use common::{Site, change, records};
use plane::Region;
use planelink::Stuck;

const MANY: usize = 24;

/// Words of those lines of a letter, without letter and time: by gateway, or by machine.
fn of<'a>(all: &'a [Vec<String>], letter: &'a str) -> impl Iterator<Item = &'a [String]> {
    all.iter().filter(move |words| words[0] == letter).map(|words| &words[2..])
}

#[test]
fn all_come_level_write_down_what_came_into_force_and_start_from_their_own_disks() {
    let folders = [(); 4].map(|()| tempfile::tempdir().unwrap());
    let records_in = folders[3].path();
    let site = Site::new(&[("c1", 1, true), ("c2", 2, true)]);
    let c1 = site.start_recorded("c1", folders[0].path(), records_in);
    // A whole state is made once and serves all who ask within a few changes: nobody asks before there is the first change.
    site.put("c1", "n1", b"up");
    let c2 = site.start_recorded("c2", folders[1].path(), records_in);
    site.put("c2", "n1", b"far");
    c1.line("it has the other region", |line| line["cursors"]["2"] == serde_json::json!([1, 1]));
    c2.line("it has the other region", |line| line["cursors"]["1"] == serde_json::json!([1, 1]));
    let recorded = |run: &mut planelink::HollowRun| run.records = Some(records_in.to_owned());
    let hollow = site.start_hollow(recorded, MANY, folders[2].path());
    let all = |line: &serde_json::Value, what: &str| line[what] == MANY;
    hollow.line("all are level", |line| all(line, "level") && all(line, "ready"));
    let stamp = site.put("c1", "n2", b"later");
    let line = hollow.line("all have the change", |line| line["cursors"]["1"] == serde_json::json!([1, 2]));
    assert_eq!((&line["links"], &line["turned_away"], &line["stuck"]), (&MANY.into(), &0.into(), &0.into()));
    assert_eq!(line["wholes"], 2 * MANY, "one for each region and gateway");
    c2.line("it has the change", |line| line["cursors"]["1"] == serde_json::json!([1, 2]));
    hollow.stop();
    c1.stop();
    c2.stop();

    let written = records(records_in, "written-c1.log");
    let change = of(&written, "W").find(|words| words[2] == "2").expect("the change");
    assert_eq!(change[1..3], [stamp.epoch.0.to_string(), stamp.version.0.to_string()]);
    let lines = records(records_in, "inforce-h1.log");
    let gateways: BTreeSet<&String> = of(&lines, "E").map(|words| &words[0]).collect();
    assert_eq!(gateways.len(), MANY, "each wrote down the delta");
    assert_eq!(of(&lines, "E").count(), MANY, "once");
    for words in of(&lines, "E") {
        assert_eq!(words[2..], change[1..], "as the writer wrote it");
    }
    assert_eq!(of(&lines, "C").count(), 3 * MANY);
    let (empty, begun): (Vec<_>, Vec<_>) = of(&lines, "S").partition(|words| words[3..6] == ["0", "0", "0"]);
    assert_eq!((empty.len(), begun.len()), (2 * MANY, 2 * MANY), "an empty disk, then what came whole");
    assert!(begun.iter().all(|words| words[3..6] == ["1", "1", "1"]));
    assert_eq!(of(&lines, "X").count(), 0);
    // Where all stand at the end is where the machines stand.
    let stands = ["c1", "c2"].map(|name| records(records_in, &format!("held-{name}.log")));
    let stands =
        stands.each_ref().map(|lines| of(lines, "D").map(|words| &words[2..]).collect::<BTreeSet<_>>());
    let ends: BTreeSet<&[String]> = of(&lines, "D").map(|words| &words[2..]).collect();
    assert_eq!((ends.len(), &ends, &ends), (2, &stands[0], &stands[1]));
    assert_eq!(of(&lines, "D").count(), 2 * MANY);

    // No machine is there any more.
    let hollow = site.start_hollow(recorded, MANY, folders[2].path());
    let line = hollow.line("all are ready", |line| all(line, "ready"));
    assert_eq!((&line["level"], &line["bytes_in"]), (&0.into(), &0.into()));
    hollow.stop();
    let lines = records(records_in, "inforce-h1.log");
    let again: Vec<&[String]> =
        of(&lines, "S").filter(|words| words[1] == "2").map(|words| &words[2..]).collect();
    assert_eq!(again.len(), 2 * MANY, "of the second lives");
    assert!(again.iter().all(|stand| ends.contains(stand)), "each holds what it held");
}

#[test]
fn what_a_whole_state_changes_and_takes_away_is_written_down_and_nothing_more() {
    let folders = [(); 3].map(|()| tempfile::tempdir().unwrap());
    let site = Site::new(&[("c1", 1, true)]);
    let _c1 = site.start("c1", folders[0].path());
    site.put("c1", "n1", b"up");
    site.put("c1", "n2", b"up");
    let recorded = |run: &mut planelink::HollowRun| run.records = Some(folders[2].path().to_owned());
    let hollow = site.start_hollow(recorded, 2, folders[1].path());
    hollow.line("all are level", |line| line["level"] == 2);
    hollow.stop();
    // More deletions than are remembered.
    let own = Region(1);
    let many =
        |value: Option<&[u8]>| (0..900).map(|n| change(own, &format!("m{n}"), value)).collect::<Vec<_>>();
    site.propose("c1", vec![change(own, "n1", None), change(own, "n3", Some(b"up"))]).unwrap();
    for _ in 0..2 {
        site.propose("c1", many(Some(b"short"))).unwrap();
        site.propose("c1", many(None)).unwrap();
    }
    site.propose("c1", (0..900).map(|n| change(own, &format!("o{n}"), Some(b""))).collect()).unwrap();
    site.propose("c1", (0..900).map(|n| change(own, &format!("o{n}"), None)).collect()).unwrap();
    let hollow = site.start_hollow(recorded, 2, folders[1].path());
    let line = hollow.line("all are level again", |line| line["level"] == 2);
    assert_eq!(line["wholes"], 2);
    hollow.stop();
    let lines = records(folders[2].path(), "inforce-h1.log");
    let of_life =
        |letter| of(&lines, letter).filter(|words| words[1] == "2").map(|words| words[2..].to_vec());
    let hash = format!("{:016x}", xxhash_rust::xxh3::xxh3_64(b"up"));
    assert_eq!(
        of_life("X").collect::<Vec<_>>(),
        vec![["1", "4", "1/node/n3", &hash].map(str::to_owned).to_vec(); 2]
    );
    assert_eq!(of_life("G").collect::<Vec<_>>(), vec![vec!["1/node/n1".to_owned()]; 2]);
    assert_eq!((of_life("E").count(), of_life("S").count(), of_life("C").count()), (0, 2, 2));
}

#[test]
fn those_that_read_nothing_hold_nobody_up_and_come_after() {
    let folders = [(); 2].map(|()| tempfile::tempdir().unwrap());
    let site = Site::new(&[("c1", 1, true)]);
    let _c1 = site.start("c1", folders[0].path());
    site.put("c1", "n1", b"up");
    let half = |run: &mut planelink::HollowRun| {
        run.stuck = Some(Stuck { every: 2, from: 0, span: 6_000_000 });
    };
    let hollow = site.start_hollow(half, MANY, folders[1].path());
    let line = hollow.line("the others are level", |line| line["level"] == MANY / 2);
    assert_eq!((&line["stuck"], &line["ready"]), (&(MANY / 2).into(), &(MANY / 2).into()));
    site.put("c1", "n2", b"later");
    let line = hollow.line("all come after", |line| line["level"] == MANY);
    assert_eq!((&line["stuck"], &line["links"]), (&0.into(), &MANY.into()), "their links stayed up");
    hollow.line("with the change", |line| line["cursors"]["1"] == serde_json::json!([1, 2]));
}
