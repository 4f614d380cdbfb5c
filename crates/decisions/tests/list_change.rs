//! The cost of a node list change grows with the change and the waiting requests, not with the list.

mod common;
use common::*;

use decisions::{
    Action, Event, NodeEntry, NodeId, NodeState, Request, RequestId, Scheduler, ShardId, VolumeId,
};

const SIZES: [u32; 4] = [30, 300, 2100, 21_000];

fn node_entry(node: u32, state: NodeState) -> NodeEntry {
    NodeEntry { node: NodeId(node), zone: node % 3, shard: ShardId(node / 3), state, started: None }
}

/// Counters of the work that a node list event causes.
fn work_of_update(
    scheduler: &mut Scheduler,
    now: i64,
    complete: bool,
    entries: Vec<NodeEntry>,
) -> (u64, u64) {
    let before = scheduler.work();
    scheduler.handle(now, Event::Nodes { complete, from_cache: false, entries }, &mut Vec::new());
    let after = scheduler.work();
    (after.0 - before.0, after.1 - before.1)
}

#[test]
fn a_change_costs_the_same_however_long_the_list_is() {
    let (_, host_settings) = random_events::variants().remove(0);
    for nodes in SIZES {
        let mut scheduler = Scheduler::new(host_settings.clone(), 1);
        let all = (0..nodes).map(|n| node_entry(n, NodeState::On)).collect();
        work_of_update(&mut scheduler, 1_000, true, all);
        let drains = work_of_update(&mut scheduler, 2_000, false, vec![node_entry(7, NodeState::Draining)]);
        let back = work_of_update(&mut scheduler, 3_000, false, vec![node_entry(7, NodeState::On)]);
        // No request waits, so that no shard is examined.
        assert_eq!((drains, back), ((0, 1), (0, 1)), "{nodes} nodes");
    }
}

#[test]
fn a_request_that_waits_for_a_node_is_sent_when_one_is_listed() {
    let (_, host_settings) = random_events::variants().remove(0);
    let mut scheduler = Scheduler::new(host_settings, 1);
    let all = (0..300).map(|n| node_entry(n, NodeState::Draining)).collect();
    work_of_update(&mut scheduler, 1_000, true, all);
    let request = Request {
        id: RequestId(1),
        class: 0,
        plan: 0,
        volume: VolumeId(1),
        key: None,
        shard: Some(ShardId(2)),
        units: 1.0,
        hosts: 1,
        timeout: 5_000_000,
        is_retry: false,
        client: None,
    };
    let mut actions = Vec::new();
    // A minute later, as the limits begin empty and have refilled by then.
    scheduler.handle(60_000_000, Event::Request(request), &mut actions);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Send { .. })).count(), 0);
    scheduler.handle(
        60_010_000,
        Event::Nodes { complete: false, from_cache: false, entries: vec![node_entry(8, NodeState::On)] },
        &mut actions,
    );
    let sent = actions.iter().find_map(|a| match a {
        Action::Send { node, .. } => Some(*node),
        _ => None,
    });
    assert_eq!(sent, Some(NodeId(8)));
}
