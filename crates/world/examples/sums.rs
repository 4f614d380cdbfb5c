//! The sums of a fleet under each trouble, for docs/fleet/world.md: `cargo run --release -p world --example sums [SEED] [NAME]`,
//! where the days whose names hold NAME are played.

use std::time::Instant;

use world::{Bounds, Ill, Outage, Plant, Scenario, Tally, Trouble, World, Writing};

const SECOND: i64 = 1_000_000;

/// A day by name.
type Day = (&'static str, Scenario);

fn troubles(calm: &Scenario) -> Vec<Day> {
    let with = |t| calm.clone().with(t);
    let refuses = Outage::Refuses;
    let roll = Trouble::Roll { at: SECOND, step: 700_000, back: 4 * SECOND };
    vec![
        ("calm", calm.clone()),
        ("a zone silent for 3 s", with(Trouble::Silence { zone: 1, at: 3 * SECOND, lasts: 3 * SECOND })),
        (
            "half of the nodes replaced",
            with(Trouble::Replace { part: 0.5, at: 2 * SECOND, lasts: 4 * SECOND }),
        ),
        ("seven in ten gateways killed", with(Trouble::Kill { part: 0.7, at: 3 * SECOND, back: SECOND })),
        ("a rolling restart", with(roll)),
        ("a rolling restart, clients persist", Scenario { persist: true, load: 0.3, ..with(roll) }),
        (
            "no discovery for 3 s",
            with(Trouble::NoDiscovery { how: refuses, at: 3 * SECOND, lasts: 3 * SECOND }),
        ),
    ]
}

fn ills(calm: &Scenario) -> Vec<Day> {
    let ails = |ill| calm.clone().with(Trouble::Ails { part: 0.125, ill, at: 2 * SECOND, lasts: 5 * SECOND });
    vec![
        ("one of eight nodes slow", ails(Ill::Slow(6.0))),
        ("one of eight nodes fails three in ten", ails(Ill::Fails(0.3))),
        ("one of eight nodes hangs", ails(Ill::Hangs)),
        ("one of eight nodes comes up late", ails(Ill::UpLate(0.3))),
        ("one of eight nodes answers twice", ails(Ill::Repeats(0.2, 10_000))),
    ]
}

/// Half of the nodes drain from `at` on and serve to the end; agents have each list at once.
fn lists(calm: &Scenario) -> Vec<Day> {
    let day = |at, more| {
        let replace = Trouble::Replace { part: 0.5, at, lasts: SECOND / 2 };
        let quiet = Scenario { load: 0.3, lag: (0, 0), drain: 60 * SECOND, ..calm.clone() };
        let day = Scenario { length: at + 8 * SECOND, ..quiet.with(replace) };
        if let Some(trouble) = more { day.with(trouble) } else { day }
    };
    let outage =
        |how| day(10 * SECOND, Some(Trouble::NoDiscovery { how, at: 2 * SECOND, lasts: 8 * SECOND }));
    let kill = Trouble::Kill { part: 0.7, at: 4 * SECOND, back: SECOND };
    let once = Trouble::Mute { part: 1.0, at: 2 * SECOND, again: None };
    let good = Trouble::Mute { part: 1.0, at: 2 * SECOND, again: Some(SECOND / 10) };
    let some = Trouble::Mute { part: 0.3, at: 2 * SECOND, again: Some(3 * SECOND) };
    let pieces = Writing { indented: true, piece: 48 };
    let plain = day(2 * SECOND, None);
    vec![
        ("list: told at once", plain.clone()),
        ("list: indented", Scenario { writing: Writing { indented: true, piece: 0 }, ..plain.clone() }),
        ("list: indented, in pieces", Scenario { writing: pieces, ..plain.clone() }),
        ("list: late at agents, 1 to 4 s", Scenario { lag: (SECOND, 4 * SECOND), ..plain }),
        (
            "list: seven in ten start with an old list",
            Scenario { old_known: true, ..day(2 * SECOND, Some(kill)) },
        ),
        ("list: all watches silent once", day(2 * SECOND + 100_000, Some(once))),
        ("list: all watches silent again and again", day(18 * SECOND, Some(good))),
        ("list: three in ten watches silent", day(4 * SECOND, Some(some))),
        ("list: agents silent for 8 s", outage(Outage::Silent)),
        ("list: agents refuse for 8 s", outage(Outage::Refuses)),
        ("list: agents reset for 8 s", outage(Outage::Resets)),
    ]
}

fn print(name: &str, scenario: &Scenario, tally: &Tally, took: f64) {
    println!("{name}, seed {}, {took:.1} s", scenario.seed);
    println!("{}", tally.lines());
    println!("served in time {:.3}", tally.service());
    println!("bounds broken: {:?}\n", Bounds::default().broken(scenario, tally));
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    let name = std::env::args().nth(2).unwrap_or_default();
    let calm = Scenario::calm(seed, 300, 200);
    let days = [troubles(&calm), ills(&calm), lists(&calm)].concat();
    for (name, scenario) in days.into_iter().filter(|(n, _)| n.contains(&name)) {
        let begun = Instant::now();
        let tally = World::new(scenario.clone(), Plant::None).play();
        print(name, &scenario, &tally, begun.elapsed().as_secs_f64());
    }
}
