//! The simulator's messages. Their names and fields are the simulator's; each line of the wire holds one
//! message.

use serde::{Deserialize, Serialize};

use decisions::{Micros, Outcome};
use profile::Profile;

/// Starts a batch of messages that happen at one time.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Sync {
    pub(crate) t_us: Micros,
    pub(crate) seq: u64,
}

/// Creates an instance: one host's scheduler.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Launch {
    pub(crate) i: u32,
    /// Seed of its random number generator.
    pub(crate) prng: u64,
    pub(crate) profile_data: Profile,
}

/// Removes an instance.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Destroy {
    pub(crate) i: u32,
}

/// A node list, to which `PeersKnown` refers by its number `bank`.
#[derive(Deserialize)]
pub(crate) struct Ledger {
    pub(crate) bank: u32,
    pub(crate) hosts: Vec<LedgerEntry>,
}

/// A node of a `Ledger`.
#[derive(Deserialize, Clone)]
#[serde(rename_all = "camelCase")]
pub(crate) struct LedgerEntry {
    pub(crate) node: String,
    /// Its zone.
    pub(crate) site: Option<u32>,
    /// Its shard.
    pub(crate) bay: Option<i64>,
    pub(crate) stage_state: String,
    pub(crate) came_up_us: Option<Micros>,
}

/// An instance gets a node list, or an error in place of it.
#[derive(Deserialize)]
pub(crate) struct PeersKnown {
    pub(crate) i: u32,
    pub(crate) how: String,
    pub(crate) bank: Option<u32>,
}

/// A client's request.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Ask {
    pub(crate) i: u32,
    pub(crate) rid: String,
    /// Index of its class.
    pub(crate) lane: usize,
    /// Index of its volume's plan.
    pub(crate) qos_class: Option<usize>,
    /// Its key, in hexadecimal.
    pub(crate) item: Option<String>,
    pub(crate) ttl_us: Micros,
    /// Its volume, in hexadecimal.
    pub(crate) store_user: Option<String>,
    pub(crate) units: Option<f64>,
    /// Its shard; negative or missing for a new object.
    pub(crate) slot_no: Option<f64>,
    pub(crate) hosts: Option<f64>,
    pub(crate) is_retry: Option<bool>,
}

/// The answer of a streamed attempt began.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Accepted {
    pub(crate) i: u32,
    pub(crate) rid: String,
    pub(crate) n: u32,
    pub(crate) node: String,
    pub(crate) spent_us: Micros,
}

/// An attempt ended.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct WireAnswer {
    pub(crate) i: u32,
    pub(crate) rid: String,
    pub(crate) n: u32,
    pub(crate) outcome: String,
    pub(crate) settled: bool,
    pub(crate) metered: Option<f64>,
    pub(crate) delta: Option<f64>,
    pub(crate) node: String,
    pub(crate) spent_us: Micros,
}

/// A client withdrew its request.
#[derive(Deserialize)]
pub(crate) struct Left {
    pub(crate) i: u32,
    pub(crate) rid: String,
}

/// A timer is due.
#[derive(Deserialize)]
pub(crate) struct Fired {
    pub(crate) i: u32,
    pub(crate) handle: u64,
}

/// A message to the simulator.
#[derive(Serialize)]
pub(crate) enum Reply<'a> {
    #[serde(rename_all = "camelCase")]
    SubmitTo {
        i: u32,
        rid: &'a str,
        node: &'a str,
        patience_us: Micros,
    },
    #[serde(rename_all = "camelCase")]
    Busy {
        i: u32,
        rid: &'a str,
        retry_after_us: Micros,
    },
    GiveUp {
        i: u32,
        rid: &'a str,
    },
    DropAttempt {
        i: u32,
        rid: &'a str,
        n: u32,
    },
    #[serde(rename_all = "camelCase")]
    WakeAt {
        i: u32,
        span_us: Micros,
        handle: u64,
    },
    Follow {
        i: u32,
        on: bool,
    },
    #[serde(rename_all = "camelCase")]
    Log {
        i: u32,
        note_text: &'a str,
    },
    Ack {
        seq: u64,
    },
}

/// Parses an id of an `Ask`, written in hexadecimal.
pub(crate) fn parse_hex(field: &str, text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| format!("Ask: {field} '{text}' is not hexadecimal"))
}

/// Parses the outcome of an `Answer`.
pub(crate) fn parse_outcome(word: &str) -> Result<Outcome, String> {
    Ok(match word {
        "delivered" => Outcome::Served,
        "app_error" => Outcome::Error,
        "shed" => Outcome::Full,
        "expired" => Outcome::TimedOut,
        "dial_failed" => Outcome::Unreachable,
        "dropped" => Outcome::Reset,
        "revoked" => Outcome::Cancelled,
        "unused" => Outcome::NotSent,
        other => return Err(format!("Answer: unknown outcome '{other}'")),
    })
}
