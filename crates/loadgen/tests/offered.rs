//! What is offered and when, without sockets: arrivals, traces, and what clients do with what they are told.

mod common;

use std::collections::BTreeMap;

use common::{class, phase};
use loadgen::*;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn arrivals(phases: Vec<Phase>, seed: u64) -> Vec<Micros> {
    Arrivals::new(phases, StdRng::seed_from_u64(seed)).collect()
}

#[test]
fn each_shape_offers_what_it_states_and_never_goes_back() {
    let steady = arrivals(vec![phase(Shape::Steady, 2.0, 100.0)], 1);
    assert_eq!(steady, (0..200).map(|n| n * 10_000).collect::<Vec<_>>());
    let ramp = Phase { to_rate: 2000.0, ..phase(Shape::Ramp, 10.0, 0.0) };
    let bursts = Phase { burst: 50, every_s: 0.5, ..phase(Shape::Bursts, 2.0, 100.0) };
    let on_off = Phase { on_s: 0.2, off_s: 0.3, ..phase(Shape::OnOff, 5.0, 1000.0) };
    for (phase, mean) in
        [(phase(Shape::Poisson, 10.0, 1000.0), 10_000.0), (ramp, 10_000.0), (bursts, 400.0), (on_off, 2000.0)]
    {
        let at = arrivals(vec![phase], 7);
        let spread = 5.0 * f64::sqrt(mean);
        assert!((at.len() as f64 - mean).abs() < spread, "{:?}: {}", phase.shape, at.len());
        assert!(
            at.is_sorted() && *at.last().unwrap() <= (phase.seconds * 1e6) as Micros,
            "{:?}",
            phase.shape
        );
    }
    let off = arrivals(vec![on_off], 7).iter().filter(|t| *t % 500_000 > 200_001).count();
    assert_eq!(off, 0, "nothing comes while it is off");
    let half = arrivals(vec![ramp], 7).iter().filter(|t| **t < 5_000_000).count();
    assert!((half as f64 - 2500.0).abs() < 300.0, "a quarter in the first half of a ramp from 0: {half}");
    let at_once = arrivals(vec![bursts], 7).iter().filter(|t| **t == 500_000).count();
    assert_eq!(at_once, 50);
    let two = arrivals(vec![phase(Shape::Steady, 1.0, 2.0), phase(Shape::Steady, 1.0, 4.0)], 1);
    assert_eq!(two, [0, 500_000, 1_000_000, 1_250_000, 1_500_000, 1_750_000]);
    assert!(arrivals(vec![phase(Shape::Poisson, 1.0, 0.0)], 1).is_empty());
}

fn drawn(volumes: Vec<Volume>) -> Scenario {
    let mut classes = vec![class("read", Op::Read), class("write", Op::Write), class("flush", Op::Flush)];
    classes[0].kib = 16;
    Scenario {
        load: toml::from_str("seed = 3\nsubsystem = \"s\"").unwrap(),
        gateway: (0..3)
            .map(|n| Gateway { name: format!("g{n}"), address: ([127, 0, 0, 1], 1).into() })
            .collect(),
        volume: volumes,
        class: classes,
        phase: vec![phase(Shape::Steady, 1.0, 1.0)],
        trace: None,
    }
}

fn volume(name: &str) -> Volume {
    Volume {
        name: name.into(),
        nsid: 1,
        blocks: 1000,
        block_kib: 4,
        weight: 1.0,
        skew: 0.0,
        gateways: Vec::new(),
        lead: 0.0,
        lead_moves_s: 0.0,
    }
}

#[test]
fn commands_stay_in_their_volume_skew_makes_some_popular_and_leads_move() {
    let s = drawn(vec![
        Volume { skew: 1.2, weight: 3.0, ..volume("hot") },
        Volume { lead: 0.9, lead_moves_s: 1.0, gateways: vec!["g0".into(), "g2".into()], ..volume("led") },
    ]);
    assert_eq!(s.problems(), Vec::<String>::new());
    let mut w = Workload::new(&s);
    let all: Vec<Wanted> = (0..20_000).map(|n| w.draw(&s, n * 1000)).collect();
    assert!(all.iter().all(|w| w.slba + u64::from(w.blocks) <= 1000));
    let hot = all.iter().filter(|w| w.volume == 0).count() as f64 / 20_000.0;
    assert!((hot - 0.75).abs() < 0.02, "{hot}");
    let mut places: BTreeMap<u64, u32> = BTreeMap::new();
    all.iter()
        .filter(|w| w.volume == 0 && w.class == 0)
        .for_each(|w| *places.entry(w.slba).or_default() += 1);
    let most = places.values().max().unwrap();
    assert!(
        *most > 10 * (places.values().sum::<u32>() / 250),
        "one is far more popular than the mean: {most}"
    );
    let mut leads = Vec::new();
    for second in 0..20 {
        let of = all.iter().filter(|w| w.volume == 1 && w.intended / 1_000_000 == second);
        let (g0, g2) =
            of.fold((0, 0), |(a, b), w| (a + i32::from(w.gateway == 0), b + i32::from(w.gateway == 2)));
        assert!(g0.max(g2) > 5 * g0.min(g2), "second {second}: {g0}, {g2}");
        leads.push(g0 > g2);
    }
    assert!(leads.contains(&true) && leads.contains(&false));
    let mut again = Workload::new(&s);
    assert!(
        all.iter().enumerate().all(|(n, w)| again.draw(&s, n as Micros * 1000) == *w),
        "one seed, one load"
    );
}

fn trace(text: &str, format: TraceFormat, gaps: Gaps) -> Result<Vec<Wanted>, String> {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("trace");
    std::fs::write(&file, text).unwrap();
    let s = drawn(vec![volume("a"), volume("b")]);
    let t = Trace { file, format, gaps, longest_gap_s: 0.5, speed: 2.0 };
    read_trace(&s, &t).map_err(|e| e.to_string())
}

#[test]
fn a_trace_with_gaps_keeps_or_closes_them() {
    let csv = "time_us, op, volume, block, blocks\n# a comment\n1000,read,a,8,4\n3000,write,b,0,1\n\n9003000,flush,a,0,0\n9003000,read,a,0,1\n";
    let times = |gaps| -> Vec<Micros> {
        trace(csv, TraceFormat::Csv, gaps).unwrap().iter().map(|w| w.intended).collect()
    };
    assert_eq!(times(Gaps::Keep), [0, 1000, 4_501_000, 4_501_000], "twice as fast, from the first");
    assert_eq!(times(Gaps::Close), [0, 1000, 251_000, 251_000]);
    let all = trace(csv, TraceFormat::Csv, Gaps::Keep).unwrap();
    let seen: Vec<_> = all.iter().map(|w| (w.volume, w.class, w.slba, w.blocks)).collect();
    assert_eq!(seen, [(0, 0, 8, 4), (1, 1, 0, 1), (0, 2, 0, 0), (0, 0, 0, 1)]);
}

#[test]
fn logs_of_fio_in_both_versions_are_read() {
    let v2 = "fio version 2 iolog\n/dev/a add\n/dev/a open\n/dev/a read 4096 16384\n/dev/a wait 5000\n/dev/a write 0 4096\n/dev/a sync 0 0\n/dev/a close\n";
    let v3 = "fio version 3 iolog\n10 /dev/a add\n10 /dev/a open\n10 /dev/a read 4096 16384\n15 /dev/a write 0 4096\n15 /dev/a sync 0 0\n16 /dev/a close\n";
    for text in [v2, v3] {
        let all = trace(text, TraceFormat::Fio, Gaps::Keep).unwrap();
        let seen: Vec<_> = all.iter().map(|w| (w.intended, w.class, w.slba, w.blocks)).collect();
        assert_eq!(seen, [(0, 0, 1, 4), (2500, 1, 0, 1), (2500, 2, 0, 0)]);
    }
}

#[test]
fn a_trace_that_cannot_be_played_is_told_with_its_line() {
    let head = "time_us,op,volume,block,blocks\n";
    let cases = [
        ("nonsense\n".to_owned(), "line 1: the header must be"),
        (format!("{head}5,read,a,0\n"), "line 2: 5 fields are wanted, 4 are there"),
        (format!("{head}5,erase,a,0,1\n"), "line 2: 'erase' is no operation"),
        (format!("{head}5,read,c,0,1\n"), "line 2: no [[volume]] is named 'c'"),
        (format!("{head}5,read,a,999,2\n"), "line 2: block 999 and 2 more pass the end"),
        (format!("{head}5,read,a,0,0\n"), "line 2: it has no length"),
        (format!("{head}5,read,a,x,1\n"), "line 2: block 'x' is not a whole number"),
        (format!("{head}5,read,a,0,1\n4,read,a,0,1\n"), "line 3: its time is 1 us before"),
        (format!("{head}5,read,a,18446744073709551615,1\n"), "line 2: too large"),
    ];
    for (text, want) in cases {
        let told = trace(&text, TraceFormat::Csv, Gaps::Keep).unwrap_err();
        assert!(told.contains(want), "{told}");
    }
    assert!(trace("fio version 9 iolog\n", TraceFormat::Fio, Gaps::Keep).unwrap_err().contains("line 1"));
}

#[test]
fn every_problem_of_a_scenario_is_told_by_its_key() {
    let mut s = drawn(vec![volume("a")]);
    s.load.hosts = 0;
    s.volume[0].gateways = vec!["nobody".into()];
    s.class[1].try_ms = 5.0;
    s.class[0].kib = 6;
    s.phase[0].shape = Shape::Bursts;
    let told = s.problems().join("\n");
    for key in ["load.hosts", "volume[0].gateways", "class[1].try_ms", "class[0].kib", "phase[0].burst"] {
        assert!(told.contains(key), "{key}: {told}");
    }
    assert_eq!(s.problems().len(), 5, "{told}");
}

#[derive(Clone, Debug)]
enum Step {
    Want(usize),
    End(prop::sample::Index, Outcome),
    Wait(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        Just(Outcome::Served),
        (0..200_000i64).prop_map(|advice| Outcome::Refused { advice }),
        Just(Outcome::Failed),
        Just(Outcome::Lost),
        Just(Outcome::NotOffered),
        Just(Outcome::Invalid),
    ];
    prop_oneof![
        3 => (0..2usize).prop_map(Step::Want),
        5 => (any::<prop::sample::Index>(), outcome).prop_map(|(i, o)| Step::End(i, o)),
        3 => (1..200_000i64).prop_map(Step::Wait),
    ]
}

proptest! {
    /// However tries end: one end for each command, in its patience, no more tries than it may have, and never a second
    /// try of a write of which nothing is known.
    #[test]
    fn every_command_ends_once_in_its_patience(steps in proptest::collection::vec(step(), 1..120)) {
        let (mut read, mut write) = (class("read", Op::Read), class("write", Op::Write));
        (read.repeats, read.try_ms, read.patience_ms, read.aim_ms) = (3, 40.0, 400.0, 50.0);
        (write.repeats, write.patience_ms, write.aim_ms) = (2, 300.0, 50.0);
        let classes = vec![read, write];
        let mut b = Behaviour::new(classes.clone(), 9);
        let (mut now, mut next, mut acts) = (0, 0u64, Vec::new());
        // By block, which names the command here: tries, whether one is in doubt, ends.
        let mut seen: BTreeMap<u64, (u32, bool, u32)> = BTreeMap::new();
        let mut out: Vec<(Token, Wanted)> = Vec::new();
        for step in steps {
            match step {
                Step::Want(class) => {
                    next += 1;
                    let wanted = Wanted { intended: now, volume: 0, class, slba: next, blocks: 1, gateway: 0 };
                    b.want(now, wanted, &mut acts);
                }
                Step::End(index, outcome) if !out.is_empty() => {
                    let (token, wanted) = out.remove(index.index(out.len()));
                    if matches!(outcome, Outcome::Failed | Outcome::Lost) {
                        seen.get_mut(&wanted.slba).unwrap().1 = true;
                    }
                    b.ended(now, token, outcome, &mut acts);
                }
                Step::End(..) => {}
                Step::Wait(span) => {
                    let until = now + span;
                    while let Some(at) = b.next_due().filter(|&at| at <= until) {
                        now = now.max(at);
                        b.tick(now, &mut acts);
                    }
                    now = until;
                }
            }
            for act in acts.drain(..) {
                match act {
                    Act::Try { token, wanted, first } => {
                        let of = seen.entry(wanted.slba).or_default();
                        prop_assert_eq!(first, of.0 == 0);
                        prop_assert_eq!(of.2, 0, "a try after the end");
                        prop_assert!(!(of.1 && wanted.class == 1), "a write in doubt is repeated");
                        of.0 += 1;
                        prop_assert!(of.0 <= 1 + classes[wanted.class].repeats);
                        out.push((token, wanted));
                    }
                    Act::Forget(_) => {}
                    Act::Done { wanted, latency, tries, .. } => {
                        let of = seen.get_mut(&wanted.slba).unwrap();
                        of.2 += 1;
                        prop_assert_eq!(of.2, 1);
                        prop_assert_eq!(of.0, tries);
                        prop_assert!(latency <= (classes[wanted.class].patience_ms * 1000.0) as Micros);
                    }
                }
            }
        }
        b.end_all(now, &mut acts);
        let ended = seen.values().filter(|s| s.2 == 1).count() + acts.iter().filter(|a| matches!(a, Act::Done { .. })).count();
        prop_assert_eq!(ended as u64, next);
        prop_assert_eq!(b.open(), 0);
    }
}
