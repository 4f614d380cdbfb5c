//! Merging of node observations: the later start wins, the remaining warm-up never grows, and only its witness renews a
//! report of silence.

mod net;

use net::{MS, PERIOD, SimulatedNetwork, name};

const COUNT: usize = 6;

fn converged(seed: u64) -> SimulatedNetwork {
    let mut net = SimulatedNetwork::started(COUNT, seed);
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("it settles");
    net
}

fn fact(net: &SimulatedNetwork, at: usize, node: &str) -> Option<fleet::NodeFact> {
    // Converts the remaining warm-up from the time of the snapshot to now.
    let view = net.view(at)?;
    let mut fact = view.nodes.iter().find(|n| n.node == node)?.clone();
    fact.cold_for = (fact.cold_for - (net.now - view.at)).max(0);
    Some(fact)
}

#[test]
fn start_and_warm_up_propagate_and_later_start_wins() {
    let mut net = converged(1);
    net.observe_node(0, "n1", 100, 60 * PERIOD, 0);
    net.run(10 * PERIOD);
    for at in 0..COUNT {
        let seen = fact(&net, at, "n1").expect("it was told");
        assert_eq!(seen.started, 100);
        let left = 50 * PERIOD;
        assert!((left - 100 * MS..=left + 100 * MS).contains(&seen.cold_for), "{} at {at}", seen.cold_for);
    }
    net.observe_node(3, "n1", 200, 90 * PERIOD, 0);
    net.observe_node(0, "n1", 100, 500 * PERIOD, 0);
    net.run(10 * PERIOD);
    for at in 0..COUNT {
        let seen = fact(&net, at, "n1").expect("it was told");
        assert_eq!(seen.started, 200);
        assert!(seen.cold_for <= 80 * PERIOD + 100 * MS);
    }
}

#[test]
fn delayed_and_duplicate_messages_do_not_extend_warm_up() {
    let mut net = converged(2);
    (net.duplicate_permille, net.delay) = (500, (0, 3 * PERIOD));
    net.observe_node(0, "n1", 100, 30 * PERIOD, 0);
    net.run(45 * PERIOD);
    for at in 0..COUNT {
        assert_eq!(fact(&net, at, "n1").map(|n| n.cold_for), Some(0), "at {at}");
    }
}

#[test]
fn silence_report_lasts_while_its_witness_renews_it() {
    let mut net = converged(3);
    net.observe_node(1, "n1", 100, 0, PERIOD);
    net.observe_node(2, "n1", 100, 0, PERIOD);
    net.run(120 * PERIOD);
    for at in 0..COUNT {
        let silent = fact(&net, at, "n1").map(|n| n.silent_for);
        assert_eq!(silent, Some(vec![name(1), name(2)]), "at {at}, renewed by its witnesses");
    }
    net.observe_node(1, "n1", 100, 0, 0);
    net.run(10 * PERIOD);
    for at in 0..COUNT {
        assert_eq!(fact(&net, at, "n1").map(|n| n.silent_for), Some(vec![name(2)]), "at {at}");
    }
    net.kill(2);
    net.run(60 * PERIOD);
    for at in [0, 1, 3, 4, 5] {
        assert_eq!(fact(&net, at, "n1").map(|n| n.silent_for), Some(vec![]), "its witness is gone, at {at}");
    }
}

#[test]
fn later_start_discards_earlier_silence_reports() {
    let mut net = converged(4);
    net.observe_node(1, "n1", 100, 0, PERIOD);
    net.run(10 * PERIOD);
    net.observe_node(4, "n1", 101, 5 * PERIOD, 0);
    net.run(10 * PERIOD);
    for at in 0..COUNT {
        assert_eq!(fact(&net, at, "n1").map(|n| n.silent_for), Some(vec![]), "at {at}");
    }
}

#[test]
fn node_limit_keeps_cold_and_silent_nodes() {
    let mut net = SimulatedNetwork::new(3, 5);
    net.adjust_options = |options| options.most_nodes = 8;
    net.start_all();
    let (all, bound) = (net.all(), net.convergence_bound());
    net.converge(&all, bound).expect("it settles");
    net.observe_node(0, "cold", 1, 100 * PERIOD, 0);
    net.observe_node(0, "silent", 1, 0, PERIOD);
    for node in 0..50 {
        net.observe_node(0, &format!("n{node:02}"), 1, 0, 0);
    }
    net.run(10 * PERIOD);
    for at in 0..3 {
        let view = net.view(at).expect("it runs");
        assert!(view.nodes.len() <= 8, "{} at {at}", view.nodes.len());
        for node in ["cold", "silent"] {
            assert!(view.nodes.iter().any(|n| n.node == node), "{node} was dropped at {at}");
        }
    }
}
