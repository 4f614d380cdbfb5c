//! Tries a candidate in a fleet in virtual time and prints its verdict, for each case: `trial [COMPARED] [SEED]`.
//!
//! Four gateways, clients that read and write at all of them, notes lost, doubled and out of order; every fifth of the run one
//! gateway's power goes, and once halves are cut from each other. The counts are held against the model's own.

#[path = "../tests/model/mod.rs"]
mod model;

use model::{Fault, World};
use shadow::Plant;

fn run(seed: u64, fault: Fault, is_calm: bool, compared: u64) -> World {
    let mut world = World::new(seed, 4, fault, Plant::None);
    world.start_all();
    for turn in 1..=5u64 {
        let so_far = move |w: &World| w.compared() >= compared * turn / 5;
        assert!(world.run(3_600_000_000, so_far), "the clients stopped");
        let of = (turn as usize) % 4;
        if turn < 5 && !is_calm {
            world.kill(of);
            world.run(50_000, |_| false);
            world.start(of);
        }
        if turn == 2 && !is_calm {
            world.cut =
                [(0, 2), (0, 3), (1, 2), (1, 3)].iter().flat_map(|&(a, b)| [(a, b), (b, a)]).collect();
            world.run(1_000_000, |_| false);
            world.cut.clear();
        }
    }
    assert!(world.settle(), "they do not come to say the same");
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
    let mut is_bad = false;
    for (name, fault) in cases {
        let world = run(seed, fault, name.contains("nothing killed"), compared);
        let verdict = world.verdict(0);
        let killed = world.gateways.iter().flat_map(|g| g.truth.iter().rev().skip(1));
        let lost: u64 = killed.map(|truth| truth.sent - truth.sent_when_kept).sum();
        let (sent, truth) = (model::sent(&verdict), world.sent());
        let found: Vec<(u32, u64)> = verdict.wrong().collect();
        let strange = found.iter().filter(|extent| !world.differed.contains(extent)).count();
        println!("== {name}, seed {seed}, {} s of virtual time", world.now / 1_000_000);
        print!("{verdict}");
        println!(
            "sent {sent} by the verdict, {truth} by the model's own count, at most {lost} lost with power"
        );
        let seconds = world.now as f64 / 1e6 * 4.0;
        let (notes, bytes) = (world.notes.0 as f64 / seconds, world.notes.1 as f64 / seconds);
        println!("for each gateway {notes:.0} notes and {bytes:.0} bytes a second");
        println!(
            "extents that differ: {} at the fault; found {}, {strange} of them in error\n",
            world.differed.len(),
            found.len()
        );
        let is_expected = found.is_empty() == matches!(fault, Fault::None | Fault::Stall | Fault::Twice);
        is_bad |= sent > truth || sent + lost < truth || (strange > 0 && fault != Fault::Lie) || !is_expected;
    }
    if is_bad {
        println!("NOT as it should be");
        std::process::exit(1);
    }
}
