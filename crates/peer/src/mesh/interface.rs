//! Options, inputs and outputs of a mesh.

use crate::Micros;
use crate::life::Life;
use crate::wire::{Kind, PeerName};

/// Connection number, assigned by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// Number of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuestionId(pub u64);

/// Options of a mesh. All times are in microseconds.
#[derive(Clone, Debug)]
pub struct MeshOptions {
    /// This gateway's name.
    pub name: PeerName,
    /// The gateways it connects with.
    pub peers: Vec<PeerName>,
    /// Identifies the site; the same on all its gateways.
    pub site: u64,
    /// Heartbeat interval: maximum time without sending.
    pub beat: Micros,
    /// A peer is reported quiet after receiving nothing for this long.
    pub quiet: Micros,
    /// The connection is closed after receiving nothing for this long.
    pub drop: Micros,
    /// Timeout of the greeting.
    pub greeting: Micros,
    /// Initial and maximum delay before a peer is redialled.
    pub redial: (Micros, Micros),
    /// Maximum open questions on a connection, in each direction.
    pub questions: usize,
    /// Maximum unwritten bytes for a peer.
    pub unwritten: usize,
    /// Maximum connections with an unfinished greeting.
    pub greetings: usize,
}

impl MeshOptions {
    /// Default options for a gateway and its peers.
    pub fn new(name: PeerName, peers: Vec<PeerName>, site: u64) -> Self {
        MeshOptions {
            name,
            peers,
            site,
            beat: 200_000,
            quiet: 1_000_000,
            drop: 5_000_000,
            greeting: 1_000_000,
            redial: (100_000, 3_000_000),
            questions: 64,
            unwritten: 1 << 20,
            greetings: 32,
        }
    }
}

/// An event to process.
#[derive(Clone, Debug)]
pub enum Input {
    /// A dialled peer is connected.
    Dialled {
        /// The peer.
        peer: PeerName,
        /// The connection, with a number not used before.
        conn: Conn,
    },
    /// Dialling a peer failed.
    NotDialled {
        /// The peer.
        peer: PeerName,
    },
    /// An incoming connection was accepted.
    Accepted {
        /// The connection, with a number not used before.
        conn: Conn,
    },
    /// Bytes were received.
    Bytes {
        /// The connection.
        conn: Conn,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Bytes were written to the connection.
    Taken {
        /// The connection.
        conn: Conn,
        /// Their number.
        bytes: usize,
    },
    /// A connection was closed.
    Ended {
        /// The connection.
        conn: Conn,
    },
    /// Time has passed.
    Tick,
}

/// Why a question has no answer. This does not tell whether the peer is alive or received the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoAnswer {
    /// The peer was not connected; the question was not sent.
    #[error("the peer is not connected")]
    NotUp,
    /// Too many questions were open at the peer, or the question is too long; it was not sent.
    #[error("too many questions are open at the peer, or the question is too long")]
    TooMuch,
    /// The deadline passed.
    #[error("no answer came in time")]
    Late,
    /// The connection was closed first.
    #[error("the connection ended before an answer came")]
    Lost,
    /// The peer declined: it does not know this kind of question, or has too many open.
    #[error("the peer declined the question")]
    Passed,
}

/// A notification to the user of the mesh.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// A peer is connected and greetings were exchanged.
    Up {
        /// The peer.
        peer: PeerName,
        /// Its life.
        life: Life,
    },
    /// A peer's connection was closed. The peer itself may still be running.
    Down {
        /// The peer.
        peer: PeerName,
        /// Its life on that connection.
        life: Life,
    },
    /// Nothing was received from a connected peer for some time.
    Quiet {
        /// The peer.
        peer: PeerName,
        /// When anything was last received.
        since: Micros,
    },
    /// Something was received from a quiet peer again.
    Heard {
        /// The peer.
        peer: PeerName,
    },
    /// A peer began another life; the former one is over. The user stores this.
    NewLife {
        /// The peer.
        peer: PeerName,
        /// The former life.
        before: Life,
        /// The current life.
        now: Life,
    },
    /// A peer claimed a life that is over, and was rejected.
    Stale {
        /// The name in its greeting.
        peer: PeerName,
        /// The life it claimed.
        claim: Life,
        /// The later life that was seen.
        seen: Life,
    },
    /// A later life under this gateway's name was seen: this life must stop. See [`Mesh::renew`](crate::Mesh::renew).
    Superseded {
        /// The peer that has seen it.
        by: PeerName,
        /// The life that the next one must exceed.
        seen: Life,
    },
    /// This gateway continues in another life.
    Renewed {
        /// The new life.
        life: Life,
    },
    /// A question arrived; to be answered or declined with [`Mesh::answer`](crate::Mesh::answer).
    Asked {
        /// The sender.
        peer: PeerName,
        /// The sender's life.
        life: Life,
        /// The connection, to be passed with the answer.
        conn: Conn,
        /// The question's number on that connection.
        id: u64,
        /// The topic.
        kind: Kind,
        /// Its body.
        body: Vec<u8>,
    },
    /// The single outcome of a question.
    Answered {
        /// The peer that was asked.
        peer: PeerName,
        /// The question.
        question: QuestionId,
        /// The answer's body, or why there is none.
        outcome: Result<Vec<u8>, NoAnswer>,
    },
    /// A one-way message from a peer.
    Noted {
        /// The sender.
        peer: PeerName,
        /// The sender's life.
        life: Life,
        /// The topic.
        kind: Kind,
        /// Its body.
        body: Vec<u8>,
    },
    /// There is no common protocol version, or one of the two does not know the other.
    Refused {
        /// The peer, if its name is known.
        peer: Option<PeerName>,
        /// The reason, for operators.
        why: &'static str,
    },
}

/// An effect that the caller carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Dial a peer; followed by `Dialled` or `NotDialled` within a timeout that the caller sets.
    Dial(PeerName),
    /// Write bytes to a connection.
    Write(Conn, Vec<u8>),
    /// Close a connection after sending all written bytes; no `Ended` is expected.
    Close(Conn),
    /// A notification for the user.
    Tell(Told),
}

/// The state of a peer, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLook {
    /// Its name.
    pub name: PeerName,
    /// The latest life seen.
    pub life: Option<Life>,
    /// Whether it is connected.
    pub up: bool,
    /// Whether it is connected but nothing was received for some time.
    pub quiet: bool,
    /// When anything was last received from it.
    pub heard: Option<Micros>,
}
