//! Read-only views of the core for status pages: counters, volumes, open operations and operations that ended
//! unserved. No decision depends on them.

use std::collections::{BTreeMap, HashMap};

use decisions::{Micros, NodeId, NodeSnapshot, Outcome, RequestId, UnservedCause};
use dispatch::NodeView;

use crate::core::{Core, OpenOperation};
use crate::operation::{Opcode, OperationId};

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationCounts {
    /// Operations accepted.
    pub accepted: u64,
    /// Operations served.
    pub served: u64,
    /// Operations refused.
    pub refused: u64,
    /// Operations failed.
    pub failed: u64,
    /// Operations aborted before any attempt was sent.
    pub aborted: u64,
    /// Operations whose client has gone.
    pub withdrawn: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts sent after a request's first: retries and hedges.
    pub retries: u64,
    /// Attempt ends reported after the core had stopped waiting for them.
    pub late: u64,
}

/// Counters of one volume.
#[derive(Clone, Debug, Default)]
pub struct VolumeView {
    /// Operations that are open.
    pub open: u64,
    /// Operations accepted.
    pub accepted: u64,
    /// Operations served.
    pub served: u64,
    /// Operations refused.
    pub refused: u64,
    /// Operations failed.
    pub failed: u64,
    /// Total size of the accepted operations, in units.
    pub units: f64,
}

/// An open operation.
#[derive(Clone, Debug)]
pub struct OpenOperationView {
    /// Identifies the operation.
    pub id: OperationId,
    /// Namespace identifier of the volume.
    pub nsid: u32,
    /// Kind of operation.
    pub opcode: Opcode,
    /// Index of its class.
    pub class: usize,
    /// Time at which it was accepted.
    pub accepted_at: Micros,
    /// Number of attempts sent so far.
    pub attempts: u32,
    /// Nodes with an attempt in flight.
    pub nodes: Vec<NodeId>,
}

/// An operation that ended unserved.
#[derive(Clone, Debug, PartialEq)]
pub struct UnservedView {
    /// Time at which it ended.
    pub at: Micros,
    /// Identifies the operation.
    pub id: OperationId,
    /// Namespace identifier of the volume.
    pub nsid: u32,
    /// Kind of operation.
    pub opcode: Opcode,
    /// Index of its class.
    pub class: usize,
    /// The retry advice of a refusal, in microseconds; `None` if the operation failed.
    pub refused: Option<Micros>,
    /// Time from its acceptance to its end.
    pub age: Micros,
    /// Number of attempts sent.
    pub attempts: u32,
    /// Outcome of the last attempt that ended without serving it; `None` if there was none.
    pub last: Option<Outcome>,
}

impl UnservedView {
    /// Returns the reason, as far as it is visible outside of the scheduler. The texts are keys in the
    /// gateway's status.
    pub fn reason(&self) -> &'static str {
        match (self.attempts, self.last) {
            (0, _) => "held until it would have been late, or its limit",
            (_, None) => "no answer in time",
            (_, Some(Outcome::Unreachable)) => "node unreachable",
            (_, Some(Outcome::Full)) => "node full",
            (_, Some(Outcome::Error)) => "node error",
            (_, Some(Outcome::Reset)) => "connection broke",
            (_, Some(Outcome::TimedOut)) => "no answer in time",
            (_, Some(_)) => "a part of it was not served",
        }
    }
}

impl Core {
    /// Returns the scheduler's view of a node.
    pub fn node_snapshot(&self, node: NodeId) -> Option<NodeSnapshot> {
        self.dispatcher.node_snapshot(node)
    }

    /// Returns the latest operations that ended unserved, oldest first.
    pub fn unserved_views(&self) -> impl DoubleEndedIterator<Item = &UnservedView> {
        self.unserved.iter()
    }

    /// Returns the number of requests that ended unserved, by class and by the cause that the scheduler
    /// determined.
    pub fn unserved_by_cause(&self) -> &BTreeMap<(usize, UnservedCause), u64> {
        self.dispatcher.unserved_by_cause()
    }

    /// Returns the number of operations that ended unserved, by [reason](UnservedView::reason).
    pub fn reasons(&self) -> &BTreeMap<&'static str, u64> {
        &self.reasons
    }

    /// Returns the number of open operations: those without a final answer.
    pub fn open_operations(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of attempts in flight, including those of finished operations.
    pub fn attempts_in_flight(&self) -> usize {
        self.dispatcher.attempts_in_flight().count()
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> OperationCounts {
        let dispatch::RequestCounts { sent, retries, late, .. } = self.dispatcher.counts();
        OperationCounts { sent, retries, late, ..self.tally }
    }

    /// Returns the known nodes by number.
    pub fn node_views(&self) -> &BTreeMap<NodeId, NodeView> {
        self.dispatcher.node_views()
    }

    /// Returns the counters of each volume by namespace identifier.
    pub fn volume_views(&self) -> &BTreeMap<u32, VolumeView> {
        &self.volume_views
    }

    /// Returns the open operations, oldest first.
    pub fn open_views(&self) -> Vec<OpenOperationView> {
        let mut nodes: HashMap<RequestId, Vec<NodeId>> = HashMap::new();
        for (attempt, node) in self.dispatcher.attempts_in_flight() {
            nodes.entry(attempt.request).or_default().push(node);
        }
        let view = |(&id, open): (&OperationId, &OpenOperation)| OpenOperationView {
            id,
            nsid: open.operation.nsid,
            opcode: open.operation.action.opcode(),
            class: open.class,
            accepted_at: open.accepted_at,
            attempts: open.pieces.iter().map(|p| p.attempts_sent).sum(),
            nodes: open.pieces.iter().filter_map(|p| nodes.get(&p.request)).flatten().copied().collect(),
        };
        let mut views: Vec<OpenOperationView> = self.open.iter().map(view).collect();
        views.sort_by_key(|v| (v.accepted_at, v.id));
        views
    }
}
