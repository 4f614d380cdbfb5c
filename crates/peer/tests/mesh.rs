//! Meshes in virtual time over a simulated network with delays, one-way and two-way partitions, closed connections and
//! restored disks.

mod network;

use std::collections::{BTreeMap, BTreeSet};

use network::{Disk, Gateway, SimulatedNetwork, name};
use peer::{Conn, Incarnation, Input, Life, Lives, Mesh, MeshOptions, Micros, NoAnswer, Nonce, Output, Told};
use proptest::prelude::*;

#[test]
fn all_peers_connect_and_answer_questions() {
    let mut net = SimulatedNetwork::new(5, 1);
    net.run_until(100_000);
    assert!(net.all_connected());
    for _ in 0..2 {
        net.ask(0, 3, b"who".to_vec(), 50_000);
    }
    net.run_until(200_000);
    let outcomes: Vec<_> = net
        .notifications(0)
        .filter_map(|t| if let Told::Answered { outcome, .. } = t { Some(outcome.clone()) } else { None })
        .collect();
    assert_eq!(outcomes, [Ok(b"who".to_vec()), Err(NoAnswer::Late)]);
    net.assert_invariants();
}

#[test]
fn silent_peer_is_reported_quiet_then_disconnected() {
    let mut net = SimulatedNetwork::new(2, 2);
    net.run_until(100_000);
    // One-way partition: 1 receives from 0, but 0 does not receive from 1.
    net.cut.insert((1, 0));
    net.ask(0, 1, Vec::new(), 3_000_000);
    net.run_until(2_000_000);
    assert!(net.notifications(0).any(|t| matches!(t, Told::Quiet { .. })));
    assert!(!net.notifications(1).any(|t| matches!(t, Told::Quiet { .. })), "1 hears 0 all the time");
    assert!(net.is_up(0, 1), "silence is no proof");
    net.run_until(4_000_000);
    net.assert_invariants();
    net.run_until(8_000_000);
    assert!(!net.is_up(0, 1));
    net.cut.clear();
    net.run_until(12_000_000);
    assert!(net.all_connected());
}

#[test]
fn restored_disk_is_detected_from_lives_seen_by_peers() {
    for (old_disk, dialler) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut net = SimulatedNetwork::new(3, 3);
        let g = if dialler { 0 } else { 2 };
        let old_copy = if old_disk { net.disks[g].clone() } else { Disk::default() };
        for _ in 0..4 {
            net.run_until(net.now + 300_000);
            net.kill(g);
            net.start(g);
        }
        net.run_until(net.now + 300_000);
        let before = net.disks[g].life.expect("it lived");
        assert_eq!(before.incarnation, Incarnation(5));
        net.kill(g);
        net.disks[g] = old_copy;
        net.start(g);
        net.run_until(net.now + 8_000_000);
        assert!(net.all_connected(), "{old_disk} {dialler}");
        let after = net.disks[g].life.expect("it lives");
        assert!(after.incarnation > before.incarnation, "{before} then {after}");
        assert!(net.notifications(g).any(|t| matches!(t, Told::Superseded { .. })));
        net.assert_invariants();
    }
}

#[test]
fn nonce_distinguishes_lives_with_equal_incarnation() {
    let mut net = SimulatedNetwork::new(2, 4);
    net.run_until(100_000);
    let first = net.disks[0].life.expect("it lives");
    net.kill(0);
    // The disk lost its last write, so the incarnation is used again.
    net.disks[0].life = None;
    net.start(0);
    assert_eq!(net.disks[0].life.map(|l| l.incarnation), Some(first.incarnation));
    net.run_until(8_000_000);
    assert_eq!(net.disks[0].life.map(|l| l.incarnation), Some(Incarnation(2)));
    assert!(net.all_connected());
}

#[test]
fn unread_bytes_and_open_questions_are_bounded() {
    let mut net = SimulatedNetwork::new(2, 5);
    net.run_until(100_000);
    net.cut.extend([(0, 1), (1, 0)]);
    for _ in 0..200 {
        net.ask(0, 1, vec![0; 1 << 16], 500_000);
    }
    net.assert_invariants();
    let outcomes: Vec<_> = net
        .notifications(0)
        .filter_map(|t| if let Told::Answered { outcome, .. } = t { outcome.clone().err() } else { None })
        .collect();
    assert_eq!(outcomes.len(), 200, "each has its outcome as the connection is ended");
    assert!(outcomes.contains(&NoAnswer::Lost) && outcomes.contains(&NoAnswer::NotUp));
}

#[test]
fn other_sites_and_invalid_bytes_are_rejected() {
    let mut net = SimulatedNetwork::new(2, 6);
    net.kill(1);
    let life = Life { incarnation: Incarnation(1), nonce: Nonce(1) };
    let options = MeshOptions::new(name(1), vec![name(0)], 43);
    net.gateways[1] = Some(Gateway {
        mesh: Mesh::new(options, life, Lives::default(), 1),
        notifications: Vec::new(),
        asked: BTreeMap::new(),
        answered: BTreeSet::new(),
    });
    net.run_until(2_000_000);
    assert!(!net.is_up(0, 1) && !net.is_up(1, 0));
    assert!(net.notifications(1).any(|t| matches!(t, Told::Refused { .. })));
    // One connection stays silent, the other sends bytes of another protocol.
    let mut out = Vec::new();
    let mesh = &mut net.gateways[0].as_mut().expect("it is there").mesh;
    mesh.handle(2_000_000, Input::Accepted { conn: Conn(900) }, &mut out);
    mesh.handle(2_000_000, Input::Accepted { conn: Conn(901) }, &mut out);
    mesh.handle(
        2_000_000,
        Input::Bytes { conn: Conn(901), bytes: b"GET / HTTP/1.1\r\n\r\n".to_vec() },
        &mut out,
    );
    assert!(out.contains(&Output::Close(Conn(901))) && !out.contains(&Output::Close(Conn(900))));
    mesh.handle(3_000_001, Input::Tick, &mut out);
    assert!(out.contains(&Output::Close(Conn(900))));
}

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    OldDisk(usize),
    Cut(usize, usize),
    Heal,
    Ask(usize, usize),
    Wait(Micros),
}

fn faults(n: usize) -> impl Strategy<Value = Vec<Fault>> {
    let fault = prop_oneof![
        (0..n).prop_map(Fault::Kill),
        (0..n).prop_map(Fault::Start),
        (0..n).prop_map(Fault::OldDisk),
        (0..n, 0..n).prop_map(|(a, b)| Fault::Cut(a, b)),
        Just(Fault::Heal),
        (0..n, 0..n).prop_map(|(a, b)| Fault::Ask(a, b)),
        (1_000i64..2_000_000).prop_map(Fault::Wait),
    ];
    prop::collection::vec(fault, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// With any faults, each question has one outcome in time, and lives only move forward. After the faults all peers
    /// reconnect, in lives above all that were seen.
    #[test]
    fn all_peers_reconnect_after_any_faults(seed in any::<u64>(), faults in faults(4)) {
        let mut net = SimulatedNetwork::new(4, seed);
        let mut old = net.disks.clone();
        for fault in faults {
            match fault {
                Fault::Kill(g) => net.kill(g),
                Fault::Start(g) if net.gateways[g].is_none() => net.start(g),
                Fault::OldDisk(g) if net.gateways[g].is_none() => {
                    let disk = std::mem::replace(&mut old[g], net.disks[g].clone());
                    net.disks[g] = disk;
                }
                Fault::Cut(a, b) if a != b => {
                    net.cut.insert((a, b));
                }
                Fault::Heal => net.cut.clear(),
                Fault::Ask(a, b) if a != b && net.gateways[a].is_some() => net.ask(a, b, vec![7; 100], 400_000),
                Fault::Wait(t) => net.run_until(net.now + t),
                _ => {}
            }
            net.assert_invariants();
        }
        net.cut.clear();
        (0..4).filter(|&g| net.gateways[g].is_none()).collect::<Vec<_>>().into_iter().for_each(|g| net.start(g));
        net.run_until(net.now + 20_000_000);
        net.assert_invariants();
        prop_assert!(net.all_connected());
        for g in 0..4 {
            for peer in net.gateways[g].as_ref().expect("it is up").mesh.look() {
                let n = (0..4).find(|&n| name(n) == peer.name).expect("a gateway");
                prop_assert_eq!(peer.life, net.disks[n].life);
            }
        }
    }
}
