//! Agents: each asks a process for its state, and gives a gateway the orders as they stand.

use std::sync::{Condvar, Mutex};
use std::time::Duration;

use emulator::NodeStatus;
use gateway::{ControlAnswer, ControlRequest, NodeLine};
use lab::NodeRequest;
use steering::Kind;

use crate::hub::Asked;
use crate::view::GatewayView;

/// How often a process is asked for its state.
const POLL: Duration = Duration::from_millis(200);
/// A process that does not answer within this is asked again.
const PATIENCE: Duration = Duration::from_secs(2);
/// Open requests told of each gateway.
const REQUESTS: usize = 200;

/// What reaches the loop.
pub(super) enum Happens {
    Asked(Asked),
    Gateway(usize, Box<GatewayView>),
    Node(usize, NodeStatus),
    Mute,
}

/// The orders for a gateway, as its agent keeps them.
#[derive(Clone)]
pub(super) struct Desired {
    pub(super) seq: u64,
    pub(super) lines: Vec<NodeLine>,
    pub(super) held: Vec<String>,
    pub(super) paused: bool,
}

#[derive(Default)]
pub(super) struct Slot {
    pub(super) desired: Mutex<Option<Desired>>,
    pub(super) wake: Condvar,
}

/// Waits until the next poll, or until there are new orders for a gateway.
pub(super) fn wait(slot: &Slot, kind: Kind) {
    if kind == Kind::Node {
        return std::thread::sleep(POLL);
    }
    let desired = slot.desired.lock().unwrap_or_else(|p| p.into_inner());
    // Woken for nothing it only polls early.
    drop(slot.wake.wait_timeout(desired, POLL));
}

pub(super) fn ask_node(index: usize, control: &std::path::Path) -> Option<Happens> {
    let status: Option<NodeStatus> = control::call(control, &NodeRequest::Status, PATIENCE).ok()?;
    status.map(|s| Happens::Node(index, s))
}

/// Polls a gateway. One that does not follow the orders as they stand is given them: after a change, and after its restart.
pub(super) fn ask_gateway(
    index: usize,
    name: &str,
    control: &std::path::Path,
    slot: &Slot,
) -> Option<Happens> {
    let ask = |request: ControlRequest| control::call::<_, ControlAnswer>(control, &request, PATIENCE).ok();
    let status = || match ask(ControlRequest::Status)? {
        ControlAnswer::Status(status) => Some(status),
        _ => None,
    };
    let mut seen = status()?;
    let desired = slot.desired.lock().unwrap_or_else(|p| p.into_inner()).clone();
    if let Some(Desired { seq, lines, held, paused }) = desired.filter(|d| d.seq != seen.revision) {
        ask(ControlRequest::Orders { revision: seq, lines, held, paused })?;
        seen = status()?;
    }
    let requests = match ask(ControlRequest::Requests { limit: REQUESTS })? {
        ControlAnswer::Requests(requests) => requests,
        _ => Vec::new(),
    };
    let ended = match ask(ControlRequest::Ended)? {
        ControlAnswer::Ended(ended) => ended,
        _ => Vec::new(),
    };
    let view = GatewayView { name: name.to_owned(), status: Some(seen), requests, ended };
    Some(Happens::Gateway(index, Box::new(view)))
}
