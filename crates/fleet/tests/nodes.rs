//! What gateways have seen of nodes: the later start wins, ages only shrink, a silence is its witness's to renew.

mod net;

use net::{MS, Net, PERIOD, name};

const COUNT: usize = 6;

fn settled(seed: u64) -> Net {
    let mut net = Net::started(COUNT, seed);
    let (all, bound) = (net.all(), net.bound());
    net.settle(&all, bound).expect("it settles");
    net
}

fn fact(net: &Net, at: usize, node: &str) -> Option<fleet::NodeFact> {
    // The age as of now, not as of the snapshot.
    let view = net.view(at)?;
    let mut fact = view.nodes.iter().find(|n| n.node == node)?.clone();
    fact.cold_for = (fact.cold_for - (net.now - view.at)).max(0);
    Some(fact)
}

#[test]
fn a_start_and_its_coldness_reach_all_and_the_later_start_wins() {
    let mut net = settled(1);
    net.saw(0, "n1", 100, 60 * PERIOD, 0);
    net.run(10 * PERIOD);
    for at in 0..COUNT {
        let seen = fact(&net, at, "n1").expect("it was told");
        assert_eq!(seen.started, 100);
        let left = 50 * PERIOD;
        assert!((left - 100 * MS..=left + 100 * MS).contains(&seen.cold_for), "{} at {at}", seen.cold_for);
    }
    net.saw(3, "n1", 200, 90 * PERIOD, 0);
    net.saw(0, "n1", 100, 500 * PERIOD, 0);
    net.run(10 * PERIOD);
    for at in 0..COUNT {
        let seen = fact(&net, at, "n1").expect("it was told");
        assert_eq!(seen.started, 200);
        assert!(seen.cold_for <= 80 * PERIOD + 100 * MS);
    }
}

#[test]
fn copies_that_come_late_and_twice_do_not_keep_a_node_cold() {
    let mut net = settled(2);
    (net.double, net.delay) = (500, (0, 3 * PERIOD));
    net.saw(0, "n1", 100, 30 * PERIOD, 0);
    net.run(45 * PERIOD);
    for at in 0..COUNT {
        assert_eq!(fact(&net, at, "n1").map(|n| n.cold_for), Some(0), "at {at}");
    }
}

#[test]
fn a_silence_stands_while_its_witness_says_so_and_ends_with_it() {
    let mut net = settled(3);
    net.saw(1, "n1", 100, 0, PERIOD);
    net.saw(2, "n1", 100, 0, PERIOD);
    net.run(120 * PERIOD);
    for at in 0..COUNT {
        let silent = fact(&net, at, "n1").map(|n| n.silent_for);
        assert_eq!(silent, Some(vec![name(1), name(2)]), "at {at}, renewed by its witnesses");
    }
    net.saw(1, "n1", 100, 0, 0);
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
fn a_later_start_voids_the_silences_of_the_earlier() {
    let mut net = settled(4);
    net.saw(1, "n1", 100, 0, PERIOD);
    net.run(10 * PERIOD);
    net.saw(4, "n1", 101, 5 * PERIOD, 0);
    net.run(10 * PERIOD);
    for at in 0..COUNT {
        assert_eq!(fact(&net, at, "n1").map(|n| n.silent_for), Some(vec![]), "at {at}");
    }
}

#[test]
fn nodes_are_bounded_and_the_cold_and_the_silent_are_kept() {
    let mut net = Net::new(3, 5);
    net.adjust = |options| options.most_nodes = 8;
    net.start_all();
    let (all, bound) = (net.all(), net.bound());
    net.settle(&all, bound).expect("it settles");
    net.saw(0, "cold", 1, 100 * PERIOD, 0);
    net.saw(0, "silent", 1, 0, PERIOD);
    for node in 0..50 {
        net.saw(0, &format!("n{node:02}"), 1, 0, 0);
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
