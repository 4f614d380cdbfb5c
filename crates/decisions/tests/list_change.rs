//! What one change of the list costs: the change and what waits, not the list.

mod common;
use common::*;

use decisions::{
    Action, Event, NodeEntry, NodeId, NodeState, Request, RequestId, Scheduler, ShardId, VolumeId,
};

const SIZES: [u32; 4] = [30, 300, 2100, 21_000];

fn line(node: u32, state: NodeState) -> NodeEntry {
    NodeEntry { node: NodeId(node), zone: node % 3, shard: ShardId(node / 3), state, started: None }
}

fn listed(scheduler: &mut Scheduler, now: i64, whole: bool, entries: Vec<NodeEntry>) -> (u64, u64) {
    let before = scheduler.work();
    scheduler.handle(now, Event::Nodes { whole, remembered: false, entries }, &mut Vec::new());
    let after = scheduler.work();
    (after.0 - before.0, after.1 - before.1)
}

#[test]
fn a_change_costs_the_same_however_long_the_list_is() {
    let (_, set) = drawn::shapes().remove(0);
    for nodes in SIZES {
        let mut scheduler = Scheduler::new(set.clone(), 1);
        let all = (0..nodes).map(|n| line(n, NodeState::On)).collect();
        listed(&mut scheduler, 1_000, true, all);
        let drains = listed(&mut scheduler, 2_000, false, vec![line(7, NodeState::Draining)]);
        let back = listed(&mut scheduler, 3_000, false, vec![line(7, NodeState::On)]);
        // Nothing waits, so that no shard has anything to send.
        assert_eq!((drains, back), ((0, 1), (0, 1)), "{nodes} nodes");
    }
}

#[test]
fn what_waits_for_a_node_goes_out_when_another_is_listed() {
    let (_, set) = drawn::shapes().remove(0);
    let mut scheduler = Scheduler::new(set, 1);
    let all = (0..300).map(|n| line(n, NodeState::Draining)).collect();
    listed(&mut scheduler, 1_000, true, all);
    let request = Request {
        id: RequestId(1),
        class: 0,
        plan: 0,
        volume: VolumeId(1),
        key: None,
        shard: Some(ShardId(2)),
        units: 1.0,
        hosts: 1,
        patience: 5_000_000,
        retry: false,
        client: None,
    };
    let mut actions = Vec::new();
    // A minute later, when limits that begin empty have filled.
    scheduler.handle(60_000_000, Event::Request(request), &mut actions);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Send { .. })).count(), 0);
    scheduler.handle(
        60_010_000,
        Event::Nodes { whole: false, remembered: false, entries: vec![line(8, NodeState::On)] },
        &mut actions,
    );
    let sent = actions.iter().find_map(|a| match a {
        Action::Send { node, .. } => Some(*node),
        _ => None,
    });
    assert_eq!(sent, Some(NodeId(8)));
}
