//! The keys of the control plane. Spans are in the unit that a key's name ends with.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The control plane: which machines there are, how they serve, and how gateways follow them.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlTable {
    /// Region of every gateway that names none of its own.
    pub region: u16,
    /// A gateway that has lost its machine dials the next at a drawn moment within this.
    pub spread_ms: u32,
    /// A machine that has lost another dials again at a drawn moment within this.
    pub machine_spread_ms: u32,
    /// A machine says something to each whom it serves at least this often.
    pub beat_ms: u32,
    /// Who says nothing to a machine for so long is let go.
    pub silence_ms: u32,
    /// Gateways and machines that one machine serves at a time; more are told to come back.
    pub subscribers: usize,
    /// Bytes a second that a machine sends to all of them.
    pub rate_bytes: u64,
    /// Bytes that may wait for one of them to take them; it gets nothing more until it has.
    pub unsent_bytes: usize,
    /// Who is told to come back does so no sooner than this.
    pub pause_ms: u32,
    /// Live entries that are held at most, over all regions.
    pub entries: usize,
    /// Bytes that they hold at most.
    pub state_bytes: usize,
    /// The machines.
    pub machine: Vec<ControlMachine>,
}

impl Default for ControlTable {
    fn default() -> Self {
        ControlTable {
            region: 1,
            spread_ms: 1000,
            machine_spread_ms: 200,
            beat_ms: 1000,
            silence_ms: 15_000,
            subscribers: 1500,
            rate_bytes: 24 << 20,
            unsent_bytes: 64 << 10,
            pause_ms: 5000,
            entries: 200_000,
            state_bytes: 48 << 20,
            machine: Vec::new(),
        }
    }
}

/// A control machine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ControlMachine {
    /// Its name, other than every gateway's.
    pub name: String,
    /// Its region, from 1.
    pub region: u16,
    /// Where it listens, and where gateways and other machines connect.
    pub listen: SocketAddr,
    /// It alone writes its region's state; one machine of each region does.
    #[serde(default)]
    pub writer: bool,
}
