//! The troubles that a node can be put into.

use serde::{Deserialize, Serialize};

/// A change of a node's faults.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// It reads and runs everything, and answers nothing.
    Silent(bool),
    /// It stands still: nothing received is processed, nothing runs.
    Stall(bool),
    /// It runs this many times slower; 1 ends it.
    Slow(f64),
    /// Each command gets an error at once.
    Fail(bool),
    /// Each command is turned away as from a full queue.
    Full(bool),
    /// All its connections break now.
    Reset,
    /// New connections are closed at once.
    Refuse(bool),
    /// It dies: connections, queue and warmth are gone; what was written stays.
    Die,
    /// It comes back, cold.
    Revive,
    /// Read data is damaged after its digest was made.
    Corrupt(bool),
    /// The next answer stops half-way and its connection breaks.
    Half,
}

/// A fault by name, for scripts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum FaultKind {
    Silent,
    Stall,
    Slow,
    Fail,
    Full,
    Reset,
    Refuse,
    Die,
    Corrupt,
    Half,
}

impl FaultKind {
    /// All of them.
    pub const ALL: [FaultKind; 10] = [
        FaultKind::Silent,
        FaultKind::Stall,
        FaultKind::Slow,
        FaultKind::Fail,
        FaultKind::Full,
        FaultKind::Reset,
        FaultKind::Refuse,
        FaultKind::Die,
        FaultKind::Corrupt,
        FaultKind::Half,
    ];

    /// The changes that begin it and, if it lasts, end it. `factor` is for slowness.
    pub fn switch(self, factor: f64) -> (Fault, Option<Fault>) {
        match self {
            FaultKind::Silent => (Fault::Silent(true), Some(Fault::Silent(false))),
            FaultKind::Stall => (Fault::Stall(true), Some(Fault::Stall(false))),
            FaultKind::Slow => (Fault::Slow(factor), Some(Fault::Slow(1.0))),
            FaultKind::Fail => (Fault::Fail(true), Some(Fault::Fail(false))),
            FaultKind::Full => (Fault::Full(true), Some(Fault::Full(false))),
            FaultKind::Reset => (Fault::Reset, None),
            FaultKind::Refuse => (Fault::Refuse(true), Some(Fault::Refuse(false))),
            FaultKind::Die => (Fault::Die, Some(Fault::Revive)),
            FaultKind::Corrupt => (Fault::Corrupt(true), Some(Fault::Corrupt(false))),
            FaultKind::Half => (Fault::Half, None),
        }
    }
}
