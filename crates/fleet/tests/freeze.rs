//! A gateway that was stopped doubts itself first, and the planted mistake of one that trusts itself.

mod net;

use fleet::Plant;
use net::{Net, PERIOD};

/// Members that a gateway takes out of its own view, or doubts, after it was stopped for half a minute.
fn doubts_after_a_stop(plant: Plant) -> u64 {
    let mut doubts = 0;
    for seed in 0..6 {
        let mut net = Net::new(12, seed);
        net.plant = plant;
        net.start_all();
        let (all, bound) = (net.all(), net.bound());
        net.settle(&all, bound).expect("it settles");
        net.healthy = all.into_iter().collect();
        net.freeze(4, 30 * PERIOD);
        net.run(60 * PERIOD);
        doubts += net.expelled.iter().filter(|(viewer, ..)| *viewer == 4).count() as u64;
        doubts += net.counts(4).suspicions;
    }
    doubts
}

#[test]
fn who_was_stopped_doubts_itself_first() {
    assert_eq!(doubts_after_a_stop(Plant::None), 0);
}

#[test]
fn who_trusts_itself_after_a_stop_is_caught() {
    assert!(doubts_after_a_stop(Plant::SelfTrusted) > 0);
}
