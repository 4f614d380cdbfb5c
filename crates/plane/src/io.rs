//! What happens to machines and subscriptions, and what they want done.

use std::sync::Arc;

use peer::PeerName;

use crate::copy::Taken;
use crate::entry::Region;

/// A connection, by the number that its owner gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Conn(pub u64);

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A connection that was wanted is up.
    Dialled {
        /// The machine.
        machine: PeerName,
        /// The connection.
        conn: Conn,
    },
    /// One that was wanted did not come up.
    NotDialled {
        /// The machine.
        machine: PeerName,
    },
    /// Somebody has connected. Machines only.
    Accepted {
        /// The connection.
        conn: Conn,
    },
    /// Bytes came.
    Bytes {
        /// The connection.
        conn: Conn,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// So many of the bytes to be written were taken by the connection.
    Taken {
        /// The connection.
        conn: Conn,
        /// How many.
        bytes: usize,
    },
    /// A connection ended.
    Ended {
        /// The connection.
        conn: Conn,
    },
    /// What was to be kept in sync is durable. Machines only.
    Kept,
    /// It could not be kept; in words, why. The disk is as before. Machines only.
    NotKept(String),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Connect to a machine; answered by `Dialled` or `NotDialled`, within a second or so: nothing else is tried meanwhile.
    Dial(PeerName),
    /// Write.
    Write(Conn, Arc<[u8]>),
    /// End a connection once what was to be written is written; there is no `Ended` for it.
    Close(Conn),
    /// Keep the body of a message behind those kept before. With `sync`, make it durable and say `Kept`, or `NotKept`, before
    /// anything else is told to the machine; without, it may be handed to the system now and be durable later.
    ///
    /// Danger: what is kept whole in between would not have it. Harm: a change that was answered is on no disk.
    Keep {
        /// The body.
        body: Vec<u8>,
        /// Whether it has to be durable before anything is said of it.
        sync: bool,
    },
    /// A whole state came: keep the copy as it is now in place of all.
    KeepAll,
    /// The state changed and is in force here.
    InForce(Taken),
    /// Something was turned away; in words, from whom and why. It is told once for each kind and source in a while.
    TurnedAway {
        /// From whom, as far as that is known.
        from: Option<PeerName>,
        /// In words.
        why: String,
    },
    /// A region is at the level of the machine that is asked.
    Level(Region),
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bytes in.
    pub bytes_in: u64,
    /// Bytes out.
    pub bytes_out: u64,
    /// Notes in.
    pub notes_in: u64,
    /// Notes out.
    pub notes_out: u64,
    /// Entries that came in.
    pub entries_in: u64,
    /// Entries that were looked at to be sent.
    pub entries_out: u64,
    /// Whole states begun, in or out.
    pub wholes: u64,
    /// Messages turned away.
    pub turned_away: u64,
    /// Connections that came up.
    pub links: u64,
}
