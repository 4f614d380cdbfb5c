//! A paused gateway does not blame its own pause on others; an injected fault shows that the check detects it.

mod net;

use fleet::Plant;
use net::{PERIOD, SimulatedNetwork};

/// Number of members that a gateway expels or suspects after it was paused for half a minute.
fn suspicions_after_a_pause(injected_fault: Plant) -> u64 {
    let mut doubts = 0;
    for seed in 0..6 {
        let mut net = SimulatedNetwork::new(12, seed);
        net.injected_fault = injected_fault;
        net.start_all();
        let (all, bound) = (net.all(), net.convergence_bound());
        net.converge(&all, bound).expect("it settles");
        net.protected = all.into_iter().collect();
        net.freeze(4, 30 * PERIOD);
        net.run(60 * PERIOD);
        doubts += net.expelled.iter().filter(|(viewer, ..)| *viewer == 4).count() as u64;
        doubts += net.counts(4).suspicions;
    }
    doubts
}

#[test]
fn paused_gateway_suspects_nobody() {
    assert_eq!(suspicions_after_a_pause(Plant::None), 0);
}

#[test]
fn missing_self_check_after_a_pause_is_detected() {
    assert!(suspicions_after_a_pause(Plant::SelfTrusted) > 0);
}
