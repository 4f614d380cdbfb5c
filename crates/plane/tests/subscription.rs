//! A copy's link: what it does with machines that speak nonsense, say nothing, know less or are full.

mod common;

use common::*;
use peer::channel;
use plane::{Bounds, Conn, Copy, Input, KIND, Message, Micros, Output, Subscription, SubscriptionOptions};

/// A link and its copy, which holds five keys.
struct Line {
    link: Subscription,
    copy: Copy,
    now: Micros,
    conns: u64,
}

impl Line {
    fn new(machines: &[&str]) -> Line {
        let machines = machines.iter().map(|name| (*name).into()).collect();
        let options = SubscriptionOptions::new(greeting("g1"), vec![ONE], machines);
        Line { link: Subscription::new(options, 0, 7), copy: copy_of(5, Bounds::default()), now: 0, conns: 0 }
    }

    fn give(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.link.handle(self.now, input, &mut self.copy, None, &mut out);
        out
    }

    /// Lets time pass until it dials; to whom, and after how long.
    fn dial(&mut self) -> (String, Micros) {
        let from = self.now;
        for _ in 0..1000 {
            self.now = self.link.next_due().max(self.now);
            assert!(self.now < from + 60_000_000, "it dials nobody");
            for output in self.give(Input::Tick) {
                if let Output::Dial(machine) = output {
                    return (machine.0, self.now - from);
                }
            }
        }
        panic!("it dials nobody");
    }

    /// Lets it dial, and answers.
    fn up(&mut self) -> (String, Conn) {
        let (machine, _) = self.dial();
        self.conns += 1;
        let conn = Conn(self.conns);
        let out = self.give(Input::Dialled { machine: machine.as_str().into(), conn });
        let writes = out.iter().filter(|o| matches!(o, Output::Write(..))).count();
        assert_eq!(writes, 2, "who it is, and what it misses: {out:?}");
        (machine, conn)
    }

    fn hello(&mut self, conn: Conn, name: &str) -> Vec<Output> {
        self.give(Input::Bytes { conn, bytes: channel::hello(&greeting(name)) })
    }

    fn note(&mut self, conn: Conn, message: &Message) -> Vec<Output> {
        self.give(Input::Bytes { conn, bytes: message.frame().expect("it fits").to_vec() })
    }
}

fn closes(out: &[Output], conn: Conn) -> bool {
    out.contains(&Output::Close(conn))
}

fn tells(out: &[Output]) -> bool {
    out.iter().any(|output| matches!(output, Output::TurnedAway { .. }))
}

#[test]
fn nonsense_ends_the_link_is_told_once_and_another_machine_is_asked() {
    let mut other = greeting("m1");
    other.site = SITE + 1;
    let mut long = 300_000_u32.to_le_bytes().to_vec();
    long.extend([0; 60]);
    let gap = delta(at(1, 9), at(1, 12), &[], Vec::new());
    let note = |body: Vec<u8>| channel::note(KIND, body).expect("it fits");
    let first_words = [channel::hello(&other), channel::hello(&greeting("m9")), long, vec![0xff; 40]];
    let later_words =
        [note(vec![0xc1]), note(gap.body()), note(Message::End { region: plane::Region(9) }.body())];
    let greeted = later_words.into_iter().map(|bytes| [channel::hello(&greeting("m1")), bytes].concat());
    for bytes in first_words.into_iter().chain(greeted).chain([channel::bye_stranger()]) {
        let mut line = Line::new(&["m1", "m2"]);
        let before = look(&line.copy);
        let (machine, conn) = line.up();
        assert_eq!(machine, "m1");
        let out = line.give(Input::Bytes { conn, bytes: bytes.clone() });
        assert!(closes(&out, conn) && tells(&out), "{out:?}");
        assert_eq!(look(&line.copy), before);
        assert_eq!(line.link.counts().turned_away, 1);
        let (machine, after) = line.dial();
        assert_eq!(machine, "m2");
        assert!(after <= 1_000_000, "{after} us");
        assert_eq!(line.give(Input::NotDialled { machine: "m2".into() }), []);
        // The same again is not told again.
        let (machine, conn) = line.up();
        assert_eq!(machine, "m1");
        let out = line.give(Input::Bytes { conn, bytes });
        assert!(closes(&out, conn) && !tells(&out), "{out:?}");
    }
}

#[test]
fn it_is_never_to_be_told_the_time_at_a_time_that_is_over() {
    for machines in [&["m1"][..], &["m1", "m2"][..], &[][..]] {
        let mut line = Line::new(machines);
        let mut conn = Conn(0);
        for step in 0..400 {
            line.now = line.now.max(line.link.next_due().min(line.now + 500_000));
            for output in line.give(Input::Tick) {
                let Output::Dial(machine) = output else { continue };
                conn = Conn(step + 1);
                line.give(Input::Dialled { machine: machine.clone(), conn });
                line.hello(conn, &machine.0);
                line.note(conn, &Message::Behind { region: ONE, at: at(1, 2) });
            }
            // The machine is there, and still knows less.
            line.give(Input::Bytes { conn, bytes: channel::beat() });
            let due = line.link.next_due();
            assert!(due > line.now, "{machines:?}: at {} it wants to be told {due}", line.now);
        }
    }
}

#[test]
fn a_machine_that_says_nothing_is_left() {
    let mut line = Line::new(&["m1", "m2"]);
    let (_, conn) = line.up();
    line.hello(conn, "m1");
    let from = line.now;
    loop {
        line.now = line.link.next_due();
        if closes(&line.give(Input::Tick), conn) {
            break;
        }
        assert!(line.now < from + 20_000_000, "it is still linked");
    }
    assert_eq!(line.now - from, 5_000_000);
    assert_eq!(line.dial().0, "m2");
}

#[test]
fn a_machine_that_knows_less_is_left_and_nothing_changes() {
    let mut line = Line::new(&["m1", "m2"]);
    let before = look(&line.copy);
    let (_, conn) = line.up();
    line.hello(conn, "m1");
    line.note(conn, &Message::Behind { region: ONE, at: at(1, 2) });
    let (machine, after) = line.dial();
    assert_eq!(machine, "m2");
    assert!((2_000_000..=3_100_000).contains(&after), "{after} us");
    assert_eq!(look(&line.copy), before);
    // One that catches up in time is kept.
    let mut line = Line::new(&["m1", "m2"]);
    let (_, conn) = line.up();
    line.hello(conn, "m1");
    line.note(conn, &Message::Behind { region: ONE, at: at(1, 2) });
    line.now += 1_500_000;
    line.note(conn, &delta(at(1, 5), at(1, 6), &[], vec![wire(1, 6, "k6", Some("new"))]));
    line.now += 3_000_000;
    line.give(Input::Bytes { conn, bytes: channel::beat() });
    assert_eq!(line.link.conn(), Some(conn));
}

#[test]
fn a_full_machine_is_not_asked_again_before_its_pause() {
    for machines in [&["m1"][..], &["m1", "m2"][..]] {
        let mut line = Line::new(machines);
        let (_, conn) = line.up();
        line.hello(conn, "m1");
        let out = line.note(conn, &Message::Busy { pause: 4_000_000 });
        assert!(closes(&out, conn) && !tells(&out), "{out:?}");
        let (_, after) = line.dial();
        assert!((4_000_000..=8_000_000).contains(&after), "{after} us");
    }
}

#[test]
fn lost_links_are_dialled_again_at_drawn_moments_and_ever_more_seldom() {
    let mut line = Line::new(&["m1", "m2", "m3"]);
    let mut rounds: Vec<Micros> = vec![0; 8];
    let mut tried = Vec::new();
    for round in &mut rounds {
        for _ in 0..3 {
            let (machine, after) = line.dial();
            *round = (*round).max(after);
            tried.push(machine.clone());
            line.give(Input::NotDialled { machine: machine.as_str().into() });
        }
    }
    assert_eq!(tried[..6], ["m1", "m2", "m3", "m1", "m2", "m3"]);
    assert!(rounds[0] <= 1_000_000, "{rounds:?}");
    assert!(rounds.iter().all(|longest| *longest <= 10_000_000), "{rounds:?}");
    assert!(rounds[5..].iter().any(|longest| *longest > 4_000_000), "{rounds:?}");
    // A thousand copies that lose one machine do not come back in one moment.
    let mut moments: Vec<Micros> = (0..1000)
        .map(|seed| {
            let options = SubscriptionOptions::new(greeting("g"), vec![ONE], vec!["m1".into()]);
            Subscription::new(options, 0, seed).next_due()
        })
        .collect();
    moments.sort_unstable();
    assert!(moments[500] > 400_000 && moments[500] < 600_000, "{}", moments[500]);
    assert!(moments[999] <= 1_000_000);
}

#[test]
fn from_another_machine_it_goes_home_and_lets_go_only_then() {
    let mut line = Line::new(&["m1", "m2"]);
    let (machine, _) = line.dial();
    line.give(Input::NotDialled { machine: machine.as_str().into() });
    let (machine, conn) = line.up();
    assert_eq!(machine, "m2");
    line.hello(conn, "m2");
    let from = line.now;
    loop {
        line.now = line.link.next_due().min(line.now + 1_000_000);
        let out = line.give(Input::Bytes { conn, bytes: channel::beat() });
        assert!(!closes(&out, conn));
        if out.contains(&Output::Dial("m1".into())) {
            break;
        }
        assert!(line.now < from + 100_000_000, "it stays away");
    }
    let away = line.now - from;
    assert!((30_000_000..=90_000_000).contains(&away), "{away} us");
    let home = Conn(77);
    let out = line.give(Input::Dialled { machine: "m1".into(), conn: home });
    assert!(closes(&out, conn));
    assert_eq!(line.link.conn(), Some(home));
}

#[test]
fn a_connection_that_nobody_waits_for_is_closed() {
    let mut line = Line::new(&["m1", "m2"]);
    let (_, conn) = line.up();
    let stray = Conn(50);
    let out = line.give(Input::Dialled { machine: "m2".into(), conn: stray });
    assert_eq!(out, [Output::Close(stray)]);
    assert_eq!(line.link.conn(), Some(conn));
}
