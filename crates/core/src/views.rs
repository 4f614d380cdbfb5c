//! What the core shows of itself: counts, volumes, operations open and ended. Nothing follows from it.

use std::collections::{BTreeMap, HashMap};

use decisions::{Cause, Micros, NodeId, NodeLook, Outcome, RequestId};
use dispatch::NodeView;

use crate::core::{Core, Open};
use crate::operation::{Opcode, Ticket};

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Operations taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Aborted before anything of them went out.
    pub aborted: u64,
    /// Left by their client.
    pub withdrawn: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts after a request's first.
    pub further: u64,
    /// Ends that came after nobody waited.
    pub late: u64,
}

/// What the core has seen of a volume.
#[derive(Clone, Debug, Default)]
pub struct VolumeView {
    /// Operations open now.
    pub open: u64,
    /// Operations taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Units asked for.
    pub units: f64,
}

/// An open operation.
#[derive(Clone, Debug)]
pub struct OpenView {
    /// Its name.
    pub ticket: Ticket,
    /// Namespace.
    pub nsid: u32,
    /// What it does.
    pub opcode: Opcode,
    /// Index of its class.
    pub class: usize,
    /// When it was taken.
    pub taken: Micros,
    /// Attempts sent for it so far.
    pub attempts: u32,
    /// Nodes at which attempts are out.
    pub nodes: Vec<NodeId>,
}

/// An operation that ended unserved.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedView {
    /// When.
    pub at: Micros,
    /// Its name.
    pub ticket: Ticket,
    /// Namespace.
    pub nsid: u32,
    /// What it was to do.
    pub opcode: Opcode,
    /// Index of its class.
    pub class: usize,
    /// Refused with this advice; none: failed.
    pub refused: Option<Micros>,
    /// How old it was.
    pub age: Micros,
    /// Attempts sent for it.
    pub attempts: u32,
    /// How the last of them ended, as far as it did.
    pub last: Option<Outcome>,
}

impl EndedView {
    /// Why, as far as it shows from outside the module.
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
    /// What the module thinks of a node.
    pub fn look(&self, node: NodeId) -> Option<NodeLook> {
        self.dispatcher.look(node)
    }

    /// The last operations that ended unserved, oldest first.
    pub fn ended_views(&self) -> impl DoubleEndedIterator<Item = &EndedView> {
        self.ended.iter()
    }

    /// How many requests of operations ended unserved, by class and cause as the module saw it.
    pub fn causes(&self) -> &BTreeMap<(usize, Cause), u64> {
        self.dispatcher.unserved()
    }

    /// How many ended unserved, by reason.
    pub fn reasons(&self) -> &BTreeMap<&'static str, u64> {
        &self.reasons
    }

    /// Operations that are owed an answer.
    pub fn open_operations(&self) -> usize {
        self.open.len()
    }

    /// Attempts out, those of finished operations included.
    pub fn attempts_out(&self) -> usize {
        self.dispatcher.out().count()
    }

    /// Counts since the start.
    pub fn tally(&self) -> Tally {
        let dispatch::Counts { sent, further, late, .. } = self.dispatcher.counts();
        Tally { sent, further, late, ..self.tally }
    }

    /// The nodes known, by number.
    pub fn node_views(&self) -> &BTreeMap<NodeId, NodeView> {
        self.dispatcher.node_views()
    }

    /// The volumes, by namespace identifier.
    pub fn volume_views(&self) -> &BTreeMap<u32, VolumeView> {
        &self.volumes
    }

    /// The open operations, oldest first.
    pub fn open_views(&self) -> Vec<OpenView> {
        let mut nodes: HashMap<RequestId, Vec<NodeId>> = HashMap::new();
        for (attempt, node) in self.dispatcher.out() {
            nodes.entry(attempt.request).or_default().push(node);
        }
        let view = |(&ticket, open): (&Ticket, &Open)| OpenView {
            ticket,
            nsid: open.operation.nsid,
            opcode: open.operation.opcode,
            class: open.class,
            taken: open.taken,
            attempts: open.pieces.iter().map(|p| p.sent).sum(),
            nodes: open.pieces.iter().filter_map(|p| nodes.get(&p.request)).flatten().copied().collect(),
        };
        let mut views: Vec<OpenView> = self.open.iter().map(view).collect();
        views.sort_by_key(|v| (v.taken, v.ticket));
        views
    }
}
