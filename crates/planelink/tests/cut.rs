//! Machines and followers behind a relay that cuts, holds and breaks what is between them: nobody goes back, nobody shrinks,
//! and all is level again once it is over.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::Receiver;
use std::thread;

use common::{LONG, Process, Site, change, follow, until};
use peer::PeerName;
use plane::{Cursor, Region, Stamp};
use planelink::{Followed, Follower};
use relay::{Link, Order, Plan, Relay, RelayLine, Side, What};
use tempfile::TempDir;

/// A site of which each way between two is carried by a relay, and folders for all.
struct Cut {
    site: Site,
    folder: TempDir,
    at: BTreeMap<(String, String), SocketAddr>,
}

impl Cut {
    fn new(machines: &[(&str, u16, bool)], gateways: &[&str]) -> Cut {
        let (site, folder) = (Site::new(machines), tempfile::tempdir().unwrap());
        let names = machines.iter().map(|m| m.0);
        let ways = names.clone().chain(gateways.iter().copied()).flat_map(|from| {
            names.clone().filter(move |to| from != *to).map(move |to| (from.to_owned(), to.to_owned()))
        });
        let link = |(from, to): (String, String)| Link {
            target: site.address(&to),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            from,
            to,
        };
        let plan = Plan {
            control: Some(folder.path().join("relay")),
            records: Some(folder.path().join("relay.jsonl")),
            seed: 1,
            link: ways.map(link).collect(),
            order: Vec::new(),
        };
        let mut relay = Relay::open(&plan).expect("it opens");
        let at = relay.listening().into_iter().map(|l| ((l.from, l.to), l.address)).collect();
        thread::spawn(move || relay.run());
        Cut { site, folder, at }
    }

    /// Where somebody finds the machines.
    fn seen_by(&self, who: &str) -> BTreeMap<PeerName, SocketAddr> {
        let own = self.at.iter().filter(|((from, _), _)| from == who);
        own.map(|((_, to), address)| (to.as_str().into(), *address)).collect()
    }

    fn folder(&self, name: &str) -> std::path::PathBuf {
        self.folder.path().join(name)
    }

    fn start(&self, name: &str) -> Process {
        let mut run = self.site.machine_run(name, &self.folder(name));
        run.addresses = self.seen_by(name);
        self.site.start_with(run)
    }

    /// Follows these machines and no others, in any order.
    fn follow(&self, name: &str, machines: &[&str], folder: &Path) -> (Follower, Receiver<Followed>) {
        let mut link = self.site.link(1);
        link.addresses = self.seen_by(name);
        (link.near, link.far) = (machines.iter().map(|m| (*m).into()).collect(), Vec::new());
        follow(name, link, folder)
    }

    /// How many links and connections it met.
    fn order(&self, from: &str, to: &str, what: What) -> (usize, usize) {
        control::call(&self.folder.path().join("relay"), &Order::new(from, to, what), LONG)
            .expect("it is carried out")
    }

    /// Cuts both links between two machines: what the one says does not come (forth), what the other says, or neither.
    fn cut(&self, one: &str, other: &str, side: Side) {
        self.order(one, other, What::Hold(side));
        self.order(other, one, What::Hold(turned(side)));
    }

    fn heal(&self) {
        self.order("*", "*", What::Clear);
    }

    fn records(&self) -> Vec<RelayLine> {
        records::read(&self.folder.path().join("relay.jsonl")).expect("its records")
    }

    /// Connections that have ended so far.
    fn ended(&self) -> usize {
        self.records().iter().filter(|line| matches!(line, RelayLine::End { .. })).count()
    }

    /// Connections that were taken so far, from one to another.
    fn opened(&self, from: &str, to: &str) -> usize {
        let is_it = |line: &&RelayLine| matches!(line, RelayLine::Open { from: f, to: t, .. } if f == from && t == to);
        self.records().iter().filter(is_it).count()
    }
}

/// The same way, as the other one of two connects.
fn turned(side: Side) -> Side {
    match side {
        Side::Forth => Side::Back,
        Side::Back => Side::Forth,
        Side::Both => Side::Both,
    }
}

/// Cursors of a region in the order in which they were told, and live entries of it after each.
fn held(told: &Receiver<Followed>, of: Region) -> (Vec<Cursor>, Vec<usize>) {
    let mut live: BTreeMap<String, ()> = BTreeMap::new();
    let (mut cursors, mut counts) = (Vec::new(), Vec::new());
    for followed in told.try_iter() {
        let upto = match followed {
            Followed::Restored { region, upto, entries } | Followed::Whole { region, upto, entries, .. }
                if region == of =>
            {
                live = entries.iter().map(|e| (e.key.to_string(), ())).collect();
                upto
            }
            Followed::Changed { region, upto, changed } if region == of => {
                for e in changed {
                    match e.value {
                        Some(_) => live.insert(e.key.to_string(), ()),
                        None => live.remove(&e.key.to_string()),
                    };
                }
                upto
            }
            _ => continue,
        };
        cursors.push(upto);
        counts.push(live.len());
    }
    (cursors, counts)
}

fn holds(follower: &Follower, region: u16, upto: Stamp) -> bool {
    follower.look().regions.contains(&(Region(region), upto))
}

/// A machine is cut from its region's writer, while a gateway follows it; what was written meanwhile comes when that is over.
fn a_machine_cut_from_its_writer(side: Side) {
    let cut = Cut::new(&[("c1", 1, true), ("c2", 1, false)], &["g1"]);
    let _machines = [cut.start("c1"), cut.start("c2")];
    let before = cut.site.put("c1", "n0", b"up");
    let (follower, told) = cut.follow("g1", &["c2"], &cut.folder("g1"));
    until("level", || holds(&follower, 1, before) && follower.look().level);
    let links = cut.opened("c2", "c1");
    cut.cut("c1", "c2", side);
    let mut last = before;
    for n in 1..=20 {
        last = cut.site.put("c1", &format!("n{n}"), b"up");
    }
    if side != Side::Back {
        // It hears nothing of the writer and dials it anew: the cut has been noticed, and nothing came through.
        until("it is dialled anew", || cut.opened("c2", "c1") > links);
        assert!(holds(&follower, 1, before), "{:?}", follower.look());
    }
    let look = follower.look();
    assert_eq!((look.machine, look.ready), (Some("c2".into()), true), "who can be reached is not left");
    cut.heal();
    until("level again", || holds(&follower, 1, last) && follower.look().level);
    let look = follower.look();
    assert_eq!((look.entries, look.turned_away), (21, 0));
    drop(follower);
    let (cursors, counts) = held(&told, Region(1));
    assert!(cursors.is_sorted() && counts.is_sorted(), "{cursors:?}, {counts:?}");
}

/// This one failed in 1 of 22 runs, and its neighbours did too: a condition never came. Its site's ports had been chosen by the system
/// and given back, and until a machine bound its own, a relay's link of a neighbour was given the same. What showed it, once the
/// machines' own errors were looked at: "cannot listen for the control plane on 127.0.0.1:46853: Address already in use", and
/// words of another test's machine (`NotWriter`, `Foreign`) at the own one's address. See docs/incidents/ports-given-away.md.
#[test]
fn a_machine_that_does_not_hear_its_writer_serves_on_and_is_level_after_it() {
    a_machine_cut_from_its_writer(Side::Forth);
}

#[test]
fn a_machine_that_its_writer_does_not_hear_serves_on_and_is_level_after_it() {
    a_machine_cut_from_its_writer(Side::Back);
}

#[test]
fn a_machine_cut_from_its_writer_serves_on_and_is_level_after_it() {
    a_machine_cut_from_its_writer(Side::Both);
}

#[test]
fn a_gateway_that_hears_nothing_of_its_machine_goes_on_with_another() {
    let cut = Cut::new(&[("c1", 1, true), ("c2", 1, false)], &["g1"]);
    let _machines = [cut.start("c1"), cut.start("c2")];
    let before = cut.site.put("c1", "n0", b"up");
    let (follower, told) = cut.follow("g1", &["c1", "c2"], &cut.folder("g1"));
    until("level", || holds(&follower, 1, before) && follower.look().level);
    let first = follower.look().machine.expect("a machine").0;
    // What it says still comes there, and what it is told does not.
    cut.order("g1", &first, What::Hold(Side::Back));
    let last = cut.site.put("c1", "n1", b"up");
    until("the other machine's word", || holds(&follower, 1, last) && follower.look().level);
    let look = follower.look();
    assert!(look.machine.is_some_and(|m| m.0 != first), "it is cut from that one");
    assert_eq!((look.wholes, look.turned_away), (1, 0), "it went on by version");
    drop(follower);
    assert!(held(&told, Region(1)).0.is_sorted());
}

#[test]
fn regions_cut_from_each_other_are_written_on_their_own_and_equal_after_it() {
    let cut = Cut::new(&[("c1", 1, true), ("c2", 2, true)], &["g1", "g2"]);
    let _machines = [cut.start("c1"), cut.start("c2")];
    let before = [cut.site.put("c1", "n0", b"up"), cut.site.put("c2", "n0", b"up")];
    let near = cut.follow("g1", &["c1"], &cut.folder("g1"));
    let far = cut.follow("g2", &["c2"], &cut.folder("g2"));
    let both = |f: &Follower, upto: [Stamp; 2]| holds(f, 1, upto[0]) && holds(f, 2, upto[1]);
    for (follower, _) in [&near, &far] {
        until("level", || both(follower, before) && follower.look().level);
    }
    cut.cut("c1", "c2", Side::Both);
    let mut last = before;
    for n in 1..=20 {
        last = [cut.site.put("c1", &format!("n{n}"), b"up"), cut.site.put("c2", &format!("n{n}"), b"up")];
    }
    // A deletion behind the cut is a change like any other.
    last[1] = cut.site.propose("c2", vec![change(Region(2), "n0", None)]).expect("it is taken")[0];
    until("the own region's", || holds(&near.0, 1, last[0]) && holds(&far.0, 2, last[1]));
    assert!(holds(&near.0, 2, before[1]) && holds(&far.0, 1, before[0]), "nothing came through");
    assert_eq!([near.0.look().entries, far.0.look().entries], [22, 21], "and nothing went");
    cut.heal();
    for (follower, _) in [&near, &far] {
        until("all of both", || both(follower, last) && follower.look().level);
        assert_eq!((follower.look().entries, follower.look().turned_away), (41, 0));
    }
    for (follower, told) in [near, far] {
        drop(follower);
        assert!(held(&told, Region(1)).0.is_sorted());
    }
}

/// Danger: a whole state of which a part came is a state that never was.
#[test]
fn a_whole_state_that_breaks_off_anywhere_is_in_force_whole_or_not_at_all() {
    const ENTRIES: usize = 2_000;
    let cut = Cut::new(&[("c1", 1, true)], &["g1"]);
    let _machine = cut.start("c1");
    let value = [b'x'; 100];
    let all = (0..ENTRIES).map(|n| change(Region(1), &format!("n{n:04}"), Some(&value)));
    let all: Vec<_> = all.collect();
    let mut last = None;
    for some in all.chunks(200) {
        last = cut.site.propose("c1", some.to_vec()).expect("it is taken").pop();
    }
    let last = last.expect("changes");
    for (n, bytes) in [1_u64, 60, 1_000, 49_000, 100_000, 200_000].into_iter().enumerate() {
        cut.order("g1", "c1", What::Hold(Side::Back));
        let (opened, ended) = (cut.opened("g1", "c1"), cut.ended());
        let (follower, told) = cut.follow("g1", &["c1"], &cut.folder(&format!("g1-{n}")));
        until("it connects", || cut.opened("g1", "c1") > opened);
        cut.order("g1", "c1", What::BreakAfter { side: Side::Back, bytes });
        cut.order("g1", "c1", What::Release(Side::Back));
        until("it broke off, and then all of it", || {
            let look = follower.look();
            let entries = look.entries;
            assert!(entries == 0 || entries == ENTRIES, "{entries} after {bytes} bytes");
            cut.ended() > ended && look.level && holds(&follower, 1, last)
        });
        drop(follower);
        let (_, counts) = held(&told, Region(1));
        assert!(counts.iter().all(|c| *c == 0 || *c == ENTRIES), "after {bytes} bytes: {counts:?}");
    }
}
