//! What a mesh is told, and what it says.

use crate::Micros;
use crate::life::Life;
use crate::wire::{Kind, PeerName};

/// A connection, numbered by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// A question that was asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QuestionId(pub u64);

/// Settings of a mesh. All times in microseconds.
#[derive(Clone, Debug)]
pub struct MeshOptions {
    /// This gateway's name.
    pub name: PeerName,
    /// Whom it talks to.
    pub peers: Vec<PeerName>,
    /// What tells this site from another; the same at all its gateways.
    pub site: u64,
    /// Something is said at least so often.
    pub beat: Micros,
    /// Nothing heard for this long is told as quiet.
    pub quiet: Micros,
    /// Nothing heard for this long ends the connection.
    pub drop: Micros,
    /// First words have to come within this.
    pub greeting: Micros,
    /// First and longest pause before a peer is dialled again.
    pub redial: (Micros, Micros),
    /// Questions that may be open at one peer; as many of its own may be open here.
    pub questions: usize,
    /// Bytes that a peer may leave untaken.
    pub unwritten: usize,
    /// Connections that have not said yet whose they are.
    pub greetings: usize,
}

impl MeshOptions {
    /// Settings for a name and its peers at a site.
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

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A peer that was to be dialled is connected.
    Dialled {
        /// The peer.
        peer: PeerName,
        /// The connection, of a number not used before.
        conn: Conn,
    },
    /// A peer could not be connected.
    NotDialled {
        /// The peer.
        peer: PeerName,
    },
    /// Somebody has connected.
    Accepted {
        /// The connection, of a number not used before.
        conn: Conn,
    },
    /// Bytes came.
    Bytes {
        /// On this connection.
        conn: Conn,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Bytes were taken by the connection.
    Taken {
        /// The connection.
        conn: Conn,
        /// How many.
        bytes: usize,
    },
    /// A connection has ended.
    Ended {
        /// The connection.
        conn: Conn,
    },
    /// Time has passed.
    Tick,
}

/// Why a question has no answer. It says nothing of whether the peer lives, nor of whether it heard the question.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NoAnswer {
    /// There was no connection; it was not sent.
    #[error("the peer is not connected")]
    NotUp,
    /// Too many questions were open at the peer already, or it is too long; it was not sent.
    #[error("too many questions are open at the peer, or it is too long")]
    TooMuch,
    /// Its deadline passed.
    #[error("no answer came in time")]
    Late,
    /// The connection ended first.
    #[error("the connection ended before an answer came")]
    Lost,
    /// The peer does not know such questions, or has too many open.
    #[error("the peer passed the question")]
    Passed,
}

/// What a mesh tells its user.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// A peer is there: both know who the other is.
    Up {
        /// The peer.
        peer: PeerName,
        /// Its life.
        life: Life,
    },
    /// A peer's connection has ended. Not that the peer has.
    Down {
        /// The peer.
        peer: PeerName,
        /// The life it was in.
        life: Life,
    },
    /// Nothing was heard of a connected peer for some time.
    Quiet {
        /// The peer.
        peer: PeerName,
        /// When it was last heard.
        since: Micros,
    },
    /// A quiet peer was heard again.
    Heard {
        /// The peer.
        peer: PeerName,
    },
    /// A peer began another life; the one before is over. Tell the disk.
    NewLife {
        /// The peer.
        peer: PeerName,
        /// The life that is over.
        before: Life,
        /// The one it is in.
        now: Life,
    },
    /// Somebody came with a life that is over, and was turned away.
    Stale {
        /// The name it gave.
        peer: PeerName,
        /// The life it claimed.
        claim: Life,
        /// The later one that was seen.
        seen: Life,
    },
    /// A later life of this gateway's own name was seen: nothing more may be done in this one. See [`Mesh::renew`].
    Superseded {
        /// Who has seen it.
        by: PeerName,
        /// The life to get above.
        seen: Life,
    },
    /// This gateway goes on in another life.
    Renewed {
        /// That life.
        life: Life,
    },
    /// A question came; it is to be answered with [`Mesh::answer`], or passed.
    Asked {
        /// Who asks.
        peer: PeerName,
        /// In which life.
        life: Life,
        /// To be given with the answer.
        conn: Conn,
        /// The question's number there.
        id: u64,
        /// What it is about.
        kind: Kind,
        /// Its body.
        body: Vec<u8>,
    },
    /// A question's one outcome.
    Answered {
        /// Who was asked.
        peer: PeerName,
        /// The question.
        question: QuestionId,
        /// The answer's body.
        outcome: Result<Vec<u8>, NoAnswer>,
    },
    /// A peer's note.
    Noted {
        /// Who says so.
        peer: PeerName,
        /// In which life.
        life: Life,
        /// What it is about.
        kind: Kind,
        /// Its body.
        body: Vec<u8>,
    },
    /// A peer speaks no version that is spoken here, or one of the two does not know the other.
    Refused {
        /// The peer, as far as it was named.
        peer: Option<PeerName>,
        /// For operators.
        why: &'static str,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Connect to a peer; ends with `Dialled` or `NotDialled`, within a time that the caller bounds.
    Dial(PeerName),
    /// Write bytes.
    Write(Conn, Vec<u8>),
    /// End a connection once what was written has gone out; no `Ended` is waited for.
    Close(Conn),
    /// For the user.
    Tell(Told),
}

/// What is known of a peer, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerLook {
    /// Its name.
    pub name: PeerName,
    /// The latest life seen.
    pub life: Option<Life>,
    /// It is connected.
    pub up: bool,
    /// It is connected and has not been heard for some time.
    pub quiet: bool,
    /// When it was last heard.
    pub heard: Option<Micros>,
}
