//! What the core shows of itself: counts, volumes, operations open and ended. Nothing follows from it.

use decisions::{Micros, NodeId, Outcome};

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
