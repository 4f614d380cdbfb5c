//! Requests of operators, their answers, and the stored entries of accepted changes.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Revision of the state; each change increments it by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// Random identifier of a request, chosen by its sender. A repeated request gets the answer of the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// A change of the requested state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Send no new work to a node.
    Drain(String),
    /// End the drain of a node.
    Undrain(String),
    /// Refuse new requests to a volume; requests in flight complete.
    Hold(String),
    /// End the hold of a volume.
    Release(String),
    /// Refuse all new requests.
    Pause,
    /// End the pause.
    Resume,
    /// Leave a note for other operators.
    Note(String),
}

impl Change {
    /// The subject of the change, whose version is compared with [`Request::expects`] and then updated.
    pub fn subject(&self) -> String {
        match self {
            Change::Drain(n) | Change::Undrain(n) => format!("node {n}"),
            Change::Hold(v) | Change::Release(v) => format!("volume {v}"),
            Change::Pause | Change::Resume => "site".into(),
            Change::Note(_) => "notes".into(),
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Drain(n) => write!(f, "drain {n}"),
            Change::Undrain(n) => write!(f, "undrain {n}"),
            Change::Hold(v) => write!(f, "hold {v}"),
            Change::Release(v) => write!(f, "release {v}"),
            Change::Pause => write!(f, "pause"),
            Change::Resume => write!(f, "resume"),
            Change::Note(text) => write!(f, "note {text}"),
        }
    }
}

/// A request to change the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifier of the request.
    pub id: RequestId,
    /// The requested change.
    pub change: Change,
    /// Operator who sent the request.
    pub by: String,
    /// Where it was sent from.
    pub from: String,
    /// Version of the subject that the operator saw; `None` accepts any version.
    pub expects: Option<Revision>,
    /// Whether the operator has confirmed that requests will be refused.
    pub confirmed: bool,
}

/// An accepted change, as stored in the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision of the state after the change.
    pub revision: Revision,
    /// Time of the change.
    pub t: Micros,
    /// The request for it.
    pub id: RequestId,
    /// Operator who requested it.
    pub by: String,
    /// Where the request was sent from.
    pub from: String,
    /// The change.
    pub change: Change,
    /// Previous value of the subject as text, such as `not drained` or `drained by anna from console 1`.
    pub before: String,
}

/// Who made a change, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Time of the change.
    pub t: Micros,
    /// Operator who requested it.
    pub by: String,
    /// Where the request was sent from.
    pub from: String,
}

/// A note left by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Author and time.
    pub mark: Mark,
    /// Text of the note.
    pub text: String,
}

/// A node, as known to the appliance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeFact {
    /// Name of the node.
    pub name: String,
    /// Shard that the node serves.
    pub shard: u32,
    /// Whether the node list has it in the state *on*.
    pub on: bool,
    /// Whether it started less than a warm-up period ago.
    pub warming: bool,
}

/// A volume, as known to the appliance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VolumeFact {
    /// Name of the volume.
    pub name: String,
    /// Shards that store it.
    pub shards: Vec<u32>,
}

/// State of the site at the time when a request is checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Nodes of the site.
    pub nodes: Vec<NodeFact>,
    /// Volumes of the site.
    pub volumes: Vec<VolumeFact>,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// The change is applied.
    Accepted {
        /// Revision of the state after the change.
        revision: Revision,
        /// A remark for the operator.
        remark: Option<String>,
    },
    /// The subject already has the requested state; nothing changes.
    Already {
        /// Who made that change, and when.
        since: Option<Mark>,
    },
    /// The subject has changed since the operator saw it.
    Conflict {
        /// Current version of the subject.
        now: Revision,
        /// Its current value, and who set it.
        what: String,
    },
    /// The change would leave requests without a node; it is applied if the request is repeated with a confirmation.
    Confirm {
        /// Which requests will be refused.
        refused: String,
    },
    /// No node or volume has the given name.
    Unknown {
        /// The given name, and those that exist.
        what: String,
    },
    /// The change could not be stored; the state is unchanged.
    NotStored {
        /// The cause.
        why: String,
    },
}

impl Verdict {
    /// Whether the state is now as requested.
    pub fn is_done(&self) -> bool {
        matches!(self, Verdict::Accepted { .. } | Verdict::Already { .. })
    }
}
