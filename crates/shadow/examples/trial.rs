//! Tests a candidate in a simulated fleet in virtual time, and prints the verdict for each case: `trial [COMPARED] [SEED]`.
//!
//! Four gateways, clients that read and write at all of them, and messages that are lost, duplicated and reordered. After each
//! fifth of the run one gateway loses its power, and once the fleet is partitioned into halves. The counters are compared with
//! those of the model.

#[path = "../tests/model/mod.rs"]
mod model;

use model::{Fault, World};
use shadow::Plant;

fn run(seed: u64, fault: Fault, is_calm: bool, compared: u64) -> World {
    let mut world = World::new(seed, 4, fault, Plant::None);
    world.start_all();
    for round in 1..=5u64 {
        let is_reached = move |w: &World| w.compared() >= compared * round / 5;
        assert!(world.run(3_600_000_000, is_reached), "the clients stopped");
        let gateway = (round as usize) % 4;
        if round < 5 && !is_calm {
            world.kill(gateway);
            world.run(50_000, |_| false);
            world.start(gateway);
        }
        if round == 2 && !is_calm {
            world.cut =
                [(0, 2), (0, 3), (1, 2), (1, 3)].iter().flat_map(|&(a, b)| [(a, b), (b, a)]).collect();
            world.run(1_000_000, |_| false);
            world.cut.clear();
        }
    }
    assert!(world.settle(), "the gateways do not converge");
    world
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<u64>().ok());
    let compared = args.next().flatten().unwrap_or(5_000);
    let seed = args.next().flatten().unwrap_or(1);
    let cases = [
        ("a right candidate, nothing killed or cut", Fault::None),
        ("a right candidate", Fault::None),
        ("one with a wrong extent", Fault::Wrong),
        ("a node that lost its last second of writes", Fault::Stale(3_000_000)),
        ("a node that garbles one block in 10,000", Fault::Garble),
        ("a node that never answers", Fault::Stall),
        ("a node that answers with anything", Fault::Lie),
        ("a node that answers three times", Fault::Twice),
    ];
    let mut has_failed = false;
    for (name, fault) in cases {
        let world = run(seed, fault, name.contains("nothing killed"), compared);
        let verdict = world.verdict(0);
        let killed = world.gateways.iter().flat_map(|g| g.truth.iter().rev().skip(1));
        let lost: u64 = killed.map(|truth| truth.sent - truth.sent_when_kept).sum();
        let (sent, truth) = (model::sent(&verdict), world.sent());
        let found: Vec<(u32, u64)> = verdict.wrong().collect();
        let unexpected = found.iter().filter(|extent| !world.differed.contains(extent)).count();
        println!("== {name}, seed {seed}, {} s of virtual time", world.now / 1_000_000);
        print!("{verdict}");
        println!(
            "sent {sent} by the verdict, {truth} by the model's own count, at most {lost} lost with power"
        );
        let seconds = world.now as f64 / 1e6 * 4.0;
        let (notes, bytes) = (world.notes.0 as f64 / seconds, world.notes.1 as f64 / seconds);
        println!("for each gateway {notes:.0} notes and {bytes:.0} bytes a second");
        println!(
            "extents that differ: {} at the fault; found {}, {unexpected} of them in error\n",
            world.differed.len(),
            found.len()
        );
        let is_expected = found.is_empty() == matches!(fault, Fault::None | Fault::Stall | Fault::Twice);
        has_failed |=
            sent > truth || sent + lost < truth || (unexpected > 0 && fault != Fault::Lie) || !is_expected;
    }
    if has_failed {
        println!("NOT as it should be");
        std::process::exit(1);
    }
}
