//! Faults between processes: a process of its own that stands on each connection between any two others.
//!
//! A [`Plan`] lists links, each with a name at both ends, where it listens and where it leads to, and orders by time. Further
//! orders come over a control socket. One thread carries all links; what it did stands in its records, with times.
//!
//! What it is not: a model of a network. A cut here holds bytes of connections that exist, as lost packets would, but the
//! system still completes the handshake of a new connection to a link that is not told to refuse; and bytes arrive in order.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod carrier;
mod order;
mod plan;
mod way;

pub use carrier::{Relay, RelayError};
pub use order::{Order, Side, What};
pub use plan::{Link, Plan, PlanError, Timed};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Where a link listens, as a relay says once it is up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listening {
    /// Who connects to it.
    pub from: String,
    /// Whom it leads to.
    pub to: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A line of a relay's records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ev", rename_all = "lowercase")]
pub enum RelayLine {
    /// An order was carried out.
    Order {
        /// When, in microseconds on the records' clock.
        t: records::Micros,
        /// The order.
        order: Order,
        /// Links that it met.
        links: usize,
        /// Connections that it met.
        connections: usize,
    },
    /// A connection was accepted.
    Open {
        /// When.
        t: records::Micros,
        /// Its number.
        connection: u64,
        /// Who connected.
        from: String,
        /// To whom.
        to: String,
    },
    /// A connection has ended, after so many bytes.
    End {
        /// When.
        t: records::Micros,
        /// Its number.
        connection: u64,
        /// Bytes carried from the one who connected.
        forth: u64,
        /// Bytes carried back.
        back: u64,
        /// Why.
        why: String,
    },
}
