//! Records of the traffic that crossed the sockets, as JSON lines, and the clock they share.
//!
//! Clients, stand-in nodes and the director of a day each write their own file; the judge reads them. Nothing here
//! decides or judges. Times are microseconds since the Unix epoch on a clock that does not step back.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
mod file;
mod terms;
mod view;

pub use clock::Clock;
pub use file::{ReadError, Recorder, read};
pub use terms::{Budget, CapTerms, ClassTerms, ColdTerms, Kind, PlanTerms, Terms, ViewTerms, VolumeTerms};
pub use view::ViewLine;

use serde::{Deserialize, Serialize};

fn is_none(number: &u64) -> bool {
    *number == 0
}

/// Time, in microseconds since the Unix epoch, or a span.
pub type Micros = i64;

/// What an operation does, as recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Op {
    /// Read.
    Read,
    /// Write.
    Write,
    /// Flush.
    Flush,
}

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Told {
    /// Carried out.
    Served,
    /// Turned away: safe to repeat.
    Refused,
    /// Effect unknown.
    Failed,
    /// Taken back by Abort.
    Aborted,
    /// Turned down for its form: never became a request.
    Invalid,
}

/// A line of a client's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "lowercase")]
pub enum ClientLine {
    /// A command whose last byte was handed to the socket.
    Issue {
        /// When.
        t: Micros,
        /// Names the command everywhere.
        token: u64,
        /// Gateway.
        gateway: String,
        /// Number of the connection, which keeps order.
        connection: u64,
        /// What it does.
        op: Op,
        /// Volume.
        nsid: u32,
        /// First block.
        slba: u64,
        /// Blocks.
        blocks: u32,
    },
    /// An answer.
    Answer {
        /// When.
        t: Micros,
        /// The command.
        token: u64,
        /// What the client was told.
        told: Told,
        /// Advice, in microseconds; 0: none.
        advice: Micros,
        /// Tokens that a read found in its blocks, in order; 0: never written.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        found: Vec<u64>,
        /// Blocks of a read whose bytes do not belong together.
        #[serde(default)]
        torn: u32,
    },
    /// The connection ended with the command out, or the client left it.
    Lost {
        /// When.
        t: Micros,
        /// The command.
        token: u64,
        /// The client itself went away.
        by_client: bool,
    },
    /// An Abort that the gateway answered with 'aborted' comes as an answer; this is the asking.
    Abort {
        /// When.
        t: Micros,
        /// The command to be aborted.
        token: u64,
    },
}

impl ClientLine {
    /// When.
    pub fn at(&self) -> Micros {
        match self {
            ClientLine::Issue { t, .. }
            | ClientLine::Answer { t, .. }
            | ClientLine::Lost { t, .. }
            | ClientLine::Abort { t, .. } => *t,
        }
    }
}

/// A line of a node's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "lowercase")]
pub enum NodeLine {
    /// The node came up.
    Start {
        /// When.
        t: Micros,
        /// Its name.
        node: String,
        /// Its shard.
        shard: u32,
        /// It starts cold.
        cold: bool,
        /// Units a second that it carries when warm.
        units_per_s: f64,
        /// On a disk: the number of the last write that is there. Later ones of earlier lives have not happened.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        kept: Option<u64>,
    },
    /// A command arrived whole.
    Arrive {
        /// When.
        t: Micros,
        /// When its capsule came, where its data came later.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        began: Option<Micros>,
        /// Gateway.
        gateway: String,
        /// The command.
        token: u64,
        /// Attempt, from 0.
        attempt: u32,
        /// What it does.
        op: Op,
        /// Volume.
        nsid: u32,
        /// First block.
        slba: u64,
        /// Blocks.
        blocks: u32,
    },
    /// A command ran.
    Run {
        /// When it ended.
        t: Micros,
        /// The command.
        token: u64,
        /// Attempt.
        attempt: u32,
        /// Volume.
        nsid: u32,
        /// First block.
        slba: u64,
        /// What it does.
        op: Op,
        /// It took effect; a repeat that was discarded did not.
        applied: bool,
        /// On a disk: the write's number there; 0: none.
        #[serde(default, skip_serializing_if = "is_none")]
        number: u64,
    },
    /// An answer was written to the socket.
    Answer {
        /// When.
        t: Micros,
        /// The command.
        token: u64,
        /// Attempt.
        attempt: u32,
        /// First block.
        slba: u64,
        /// Turned away unseen.
        full: bool,
    },
    /// It fell over under load while cold.
    Fell {
        /// When.
        t: Micros,
    },
    /// It went down.
    Down {
        /// When.
        t: Micros,
    },
    /// A fault was switched.
    Fault {
        /// When.
        t: Micros,
        /// Which.
        fault: String,
    },
}

/// A line of the director's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "lowercase")]
pub enum DayLine {
    /// A gateway took a change of the node list.
    Listed {
        /// When it said that it has it.
        t: Micros,
        /// The gateway.
        gateway: String,
        /// The node.
        node: String,
        /// It takes work; else it drains or is gone.
        on: bool,
        /// Its start, as listed; 0: long ago.
        started: Micros,
    },
    /// A gateway came up.
    Up {
        /// When.
        t: Micros,
        /// The gateway.
        gateway: String,
    },
    /// A gateway is being ended.
    Down {
        /// When.
        t: Micros,
        /// The gateway.
        gateway: String,
        /// Killed outright, not asked to leave.
        killed: bool,
    },
    /// What holds from then on for what one process sends to another, by the relay between them.
    Way {
        /// When: not after it began to be worse, not before it was better.
        t: Micros,
        /// Who sends.
        from: String,
        /// To whom.
        to: String,
        /// It is kept until it is let go.
        held: bool,
        /// Else it comes so much later at most, in microseconds.
        #[serde(default)]
        late: Micros,
    },
    /// A process stands still, or goes on.
    Stall {
        /// When.
        t: Micros,
        /// The process: a gateway, or a node.
        gateway: String,
        /// It stands still.
        on: bool,
    },
    /// A trouble began or ended.
    Trouble {
        /// When.
        t: Micros,
        /// What.
        what: String,
    },
}

impl DayLine {
    /// When.
    pub fn at(&self) -> Micros {
        match self {
            DayLine::Listed { t, .. }
            | DayLine::Up { t, .. }
            | DayLine::Down { t, .. }
            | DayLine::Way { t, .. }
            | DayLine::Stall { t, .. }
            | DayLine::Trouble { t, .. } => *t,
        }
    }
}
