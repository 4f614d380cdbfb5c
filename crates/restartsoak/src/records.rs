//! What was seen at the sockets and of the processes. Times are microseconds since the Unix epoch, by the system's clock.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// Microseconds.
pub type Micros = i64;

/// One second.
pub const SECOND: Micros = 1_000_000;
/// One millisecond.
pub const MILLI: Micros = 1_000;

/// Now.
pub fn now() -> Micros {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_micros() as Micros
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Outcome {
    /// A whole answer; whether its body is the one that a node made for this request.
    Answered {
        /// The status.
        status: u16,
        /// The body is the request's own.
        is_own: bool,
    },
    /// The client closed its connection first.
    Left,
    /// The gateway ended the connection, in order or by a reset, before a byte of the answer.
    Ended,
    /// The connection ended within the answer.
    Cut,
    /// The connection ended while it was being written; whether all of it went out is not known.
    Unsent,
    /// Neither an answer nor an end when its time and the slack behind it were over.
    Silent,
}

/// A request whose last byte was written.
#[derive(Clone, Debug, Serialize)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// Index of its class.
    pub class: usize,
    /// Index of its plan.
    pub plan: usize,
    /// The client's connection, counted over all clients.
    pub connection: usize,
    /// Requests sent before it on this connection.
    pub place: usize,
    /// Units of work.
    pub units: u32,
    /// When its last byte was written.
    pub sent: Micros,
    /// What its client waits.
    pub timeout: Micros,
    /// When its time is over, and that of all those ahead of it on its connection: answers come in order.
    pub due: Micros,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended; for [`Outcome::Left`] the moment before the close.
    pub ended: Micros,
    /// When the last byte of its answer was at the client's socket, by the kernel.
    pub arrived: Option<Micros>,
}

/// What a node did with an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Fate {
    /// Answered with 200.
    Served,
    /// Answered with 500.
    Failed,
    /// Answered with 503 and the promise that it has not run.
    TurnedAway,
    /// The connection was reset.
    Reset,
    /// A part of an answer was sent, and then the connection ended or was reset.
    Torn,
    /// The gateway ended the connection, or the soak did, before an answer.
    Unanswered,
}

/// An attempt that came whole to a node.
#[derive(Clone, Debug, Serialize)]
pub struct Attempt {
    /// The request's id.
    pub id: String,
    /// The node.
    pub node: usize,
    /// When its first byte came, by the kernel.
    pub begun: Micros,
    /// When its last byte came, by the kernel.
    pub whole: Micros,
    /// The time that it was told the gateway waits.
    pub timeout: Option<Micros>,
    /// What became of it.
    pub fate: Fate,
    /// When it was answered or its connection ended.
    pub ended: Micros,
}

/// A change of the list, as the discovery agents have it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Phase {
    /// In service.
    InService,
    /// In service since a start a moment ago, with nothing warm.
    Started,
    /// It drains.
    Terminating,
}

/// An entry of the list changed.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Change {
    /// When the agents had it.
    pub at: Micros,
    /// The node.
    pub node: usize,
    /// Its phase from then on.
    pub phase: Phase,
}

/// What befell discovery.
#[derive(Clone, Copy, Debug, Serialize)]
pub enum Discovery {
    /// The agents said nothing to anybody.
    Down {
        /// From then on.
        from: Micros,
        /// Until then.
        until: Micros,
    },
    /// Watches that were open fell silent; new ones are answered.
    WatchesSilenced {
        /// When.
        at: Micros,
    },
    /// The agents got what they tell later by this.
    Slow {
        /// From then on.
        from: Micros,
        /// Until then.
        until: Micros,
        /// By so much.
        by: Micros,
    },
    /// The gateway was told by SIGHUP of another agent.
    Moved {
        /// When the signal was sent.
        at: Micros,
    },
}

/// One life of the gateway's process.
#[derive(Clone, Debug, Serialize)]
pub struct Life {
    /// When it was started.
    pub started: Micros,
    /// When it was ready.
    pub ready: Option<Micros>,
    /// When SIGTERM was sent first.
    pub told: Option<Micros>,
    /// When it ended by itself, and how.
    pub ended: Option<(Micros, String)>,
    /// When SIGKILL was sent.
    pub killed: Option<Micros>,
    /// It was killed without a word before.
    pub is_crash: bool,
    /// Descriptors and memory in KB shortly before its end was ordered.
    pub held: Option<(usize, u64)>,
}

/// A time in which the process was stopped.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Stop {
    /// From then on.
    pub from: Micros,
    /// Until then.
    pub until: Micros,
}

/// Bytes for a client that it had not asked for: a second answer, or one before its request.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Unasked {
    /// The client's connection.
    pub connection: usize,
    /// When they were seen.
    pub at: Micros,
}

/// All that was seen of one play.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Records {
    /// Requests of clients.
    pub requests: Vec<Request>,
    /// What came without a request.
    pub unasked: Vec<Unasked>,
    /// Attempts at nodes.
    pub attempts: Vec<Attempt>,
    /// Changes of the list.
    pub changes: Vec<Change>,
    /// What befell discovery.
    pub discovery: Vec<Discovery>,
    /// Lives of the process.
    pub lives: Vec<Life>,
    /// Stops of the process.
    pub stops: Vec<Stop>,
}

/// Takes what is seen by many threads.
#[derive(Debug, Default)]
pub struct Recorder(Mutex<Records>);

impl Recorder {
    /// To write something down.
    pub fn lock(&self) -> MutexGuard<'_, Records> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// All that was written down so far.
    pub fn snapshot(&self) -> Records {
        self.lock().clone()
    }
}
