//! The sums of a fleet under each trouble, for docs/platform.md: `cargo run --release -p world --example sums [SEED]`.

use std::time::Instant;

use world::{Bounds, Plant, Scenario, Trouble, World};

fn main() {
    let seed = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or(1);
    let calm = Scenario::calm(seed, 300, 200);
    let days = [
        ("calm", None),
        ("a zone silent for 3 s", Some(Trouble::Silence { zone: 1, at: 3_000_000, lasts: 3_000_000 })),
        ("half of the nodes replaced", Some(Trouble::Replace { part: 0.5, at: 2_000_000, lasts: 4_000_000 })),
        ("seven in ten gateways killed", Some(Trouble::Kill { part: 0.7, at: 3_000_000, back: 1_000_000 })),
        ("a rolling restart", Some(Trouble::Roll { at: 1_000_000, step: 700_000, back: 4_000_000 })),
        ("no discovery for 3 s", Some(Trouble::NoDiscovery { at: 3_000_000, lasts: 3_000_000 })),
    ];
    for (name, trouble) in days {
        let scenario = trouble.map_or(calm.clone(), |t| calm.clone().with(t));
        let begun = Instant::now();
        let tally = World::new(scenario.clone(), Plant::None).play();
        println!("{name}, seed {seed}, {:.1} s", begun.elapsed().as_secs_f64());
        println!("{}", tally.lines());
        println!(
            "served in time {:.3}, bounds broken: {:?}\n",
            tally.service(),
            Bounds::default().broken(&scenario, &tally)
        );
    }
}
