//! What the operators have asked for.

use std::collections::{BTreeMap, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Answers to earlier requests kept, so that one asked again is not carried out again.
const REMEMBERED: usize = 4096;
/// Notes kept in the state; the journal keeps all.
const NOTES: usize = 100;

/// Number of a state: one more with each change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64);

/// A request's own number, drawn by who makes it; asked again it gets the same answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId(pub u64);

/// A change of the state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Nothing new goes to a node.
    Drain(String),
    /// It takes work again.
    Undrain(String),
    /// Nothing new of a volume is taken; what is in flight ends.
    Hold(String),
    /// It is taken again.
    Release(String),
    /// Nothing new is taken at all.
    Pause,
    /// It is again.
    Resume,
    /// A note for whoever looks next.
    Note(String),
}

impl Change {
    /// What the change is about: its version is compared and set.
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
    /// Its own number.
    pub id: RequestId,
    /// What.
    pub change: Change,
    /// Who asks.
    pub by: String,
    /// From where.
    pub from: String,
    /// The subject's version as the asker saw it; none: whatever it is.
    pub expects: Option<Revision>,
    /// The asker knows what will be refused.
    pub confirmed: bool,
}

/// A change that counts, as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The state's number with it.
    pub revision: Revision,
    /// When.
    pub t: Micros,
    /// The request that asked for it.
    pub id: RequestId,
    /// Who.
    pub by: String,
    /// From where.
    pub from: String,
    /// What.
    pub change: Change,
    /// The value before, for people: `on`, `drained by anna`, ...
    pub before: String,
}

/// Who set something, and when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// When.
    pub t: Micros,
    /// Who.
    pub by: String,
    /// From where.
    pub from: String,
}

/// A note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Who and when.
    pub mark: Mark,
    /// What.
    pub text: String,
}

/// A node as it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeFact {
    /// Its name.
    pub name: String,
    /// The shard it holds.
    pub shard: u32,
    /// The list says that it takes work.
    pub on: bool,
    /// Its start, if that is less than a warm-up ago.
    pub warming: bool,
}

/// A volume as it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VolumeFact {
    /// Its name.
    pub name: String,
    /// Its shards.
    pub shards: Vec<u32>,
}

/// What is known of the site when a request is judged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts {
    /// Nodes.
    pub nodes: Vec<NodeFact>,
    /// Volumes.
    pub volumes: Vec<VolumeFact>,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    /// It counts from now on.
    Accepted {
        /// The state's number with it.
        revision: Revision,
        /// What the asker should know.
        remark: Option<String>,
    },
    /// The state is so already; nothing changes.
    Already {
        /// Since when and by whom.
        since: Option<Mark>,
    },
    /// Somebody else changed the subject first.
    Conflict {
        /// Its version now.
        now: Revision,
        /// What it is now, and by whom.
        what: String,
    },
    /// It would leave requests without a node: asked again with a confirmation, it is carried out.
    Confirm {
        /// What will be refused.
        refused: String,
    },
    /// There is nothing of that name.
    Unknown {
        /// What was named, and what there is.
        what: String,
    },
    /// It could not be stored; the state is as it was.
    NotStored {
        /// Why.
        why: String,
    },
}

impl Verdict {
    /// Whether the state is now as asked.
    pub fn is_done(&self) -> bool {
        matches!(self, Verdict::Accepted { .. } | Verdict::Already { .. })
    }
}

/// The state that the operators have asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Intents {
    revision: Revision,
    drained: BTreeMap<String, Mark>,
    held: BTreeMap<String, Mark>,
    paused: Option<Mark>,
    notes: VecDeque<Note>,
    /// Revision of the last change to each subject.
    versions: BTreeMap<String, Revision>,
    /// Requests carried out, oldest first.
    done: VecDeque<(RequestId, Revision)>,
}

fn listed<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let names: Vec<&str> = names.collect();
    if names.is_empty() { "there is none".into() } else { format!("there are {}", names.join(", ")) }
}

impl Intents {
    /// The state's number.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Who drained a node.
    pub fn drained(&self, node: &str) -> Option<&Mark> {
        self.drained.get(node)
    }

    /// Who holds a volume.
    pub fn held(&self, volume: &str) -> Option<&Mark> {
        self.held.get(volume)
    }

    /// Volumes held.
    pub fn holds(&self) -> impl Iterator<Item = (&str, &Mark)> {
        self.held.iter().map(|(name, mark)| (name.as_str(), mark))
    }

    /// Nodes drained.
    pub fn drains(&self) -> impl Iterator<Item = (&str, &Mark)> {
        self.drained.iter().map(|(name, mark)| (name.as_str(), mark))
    }

    /// Who paused the site.
    pub fn paused(&self) -> Option<&Mark> {
        self.paused.as_ref()
    }

    /// The last notes, oldest first.
    pub fn notes(&self) -> impl Iterator<Item = &Note> {
        self.notes.iter()
    }

    /// Version of a subject, as [`Request::expects`] compares it; 0: never changed.
    pub fn version(&self, subject: &str) -> Revision {
        self.versions.get(subject).copied().unwrap_or_default()
    }

    /// Versions of all subjects that were ever changed.
    pub fn versions(&self) -> &BTreeMap<String, Revision> {
        &self.versions
    }

    /// Whether a change would leave the state as it is, and since when.
    fn already(&self, change: &Change) -> Option<Option<&Mark>> {
        match change {
            Change::Drain(n) => self.drained.get(n).map(Some),
            Change::Undrain(n) => (!self.drained.contains_key(n)).then_some(None),
            Change::Hold(v) => self.held.get(v).map(Some),
            Change::Release(v) => (!self.held.contains_key(v)).then_some(None),
            Change::Pause => self.paused.as_ref().map(Some),
            Change::Resume => self.paused.is_none().then_some(None),
            Change::Note(_) => None,
        }
    }

    /// The value of a change's subject, for people.
    fn value(&self, change: &Change) -> String {
        let say = |word: &str, mark: Option<&Mark>, other: &str| match mark {
            Some(mark) => format!("{word} by {} from {}", mark.by, mark.from),
            None => other.to_owned(),
        };
        match change {
            Change::Drain(n) | Change::Undrain(n) => say("drained", self.drained.get(n), "not drained"),
            Change::Hold(v) | Change::Release(v) => say("held", self.held.get(v), "not held"),
            Change::Pause | Change::Resume => say("paused", self.paused.as_ref(), "not paused"),
            Change::Note(_) => String::new(),
        }
    }

    /// Judges a request: an entry to be stored and then [`Intents::apply`]'d, or the answer why there is none. The state
    /// does not change here.
    ///
    /// # Errors
    /// The answer, where there is nothing to store.
    pub fn judge(&self, facts: &Facts, request: &Request, now: Micros) -> Result<Entry, Verdict> {
        // Danger: an answer may be lost with its console, which asks again; a change must count once.
        if let Some((_, revision)) = self.done.iter().find(|d| d.0 == request.id) {
            return Err(Verdict::Accepted { revision: *revision, remark: None });
        }
        self.known(facts, &request.change)?;
        let subject = request.change.subject();
        let version = self.version(&subject);
        // Danger: two consoles change one thing, each by what it sees. The first wins; the second is told.
        if request.expects.is_some_and(|seen| seen != version) {
            let what = format!("{subject} is {}", self.value(&request.change));
            return Err(Verdict::Conflict { now: version, what });
        }
        if let Some(since) = self.already(&request.change) {
            return Err(Verdict::Already { since: since.cloned() });
        }
        if !request.confirmed
            && let Some(refused) = self.last_of_its_shard(facts, &request.change)
        {
            return Err(Verdict::Confirm { refused });
        }
        Ok(Entry {
            revision: Revision(self.revision.0 + 1),
            t: now,
            id: request.id,
            by: request.by.clone(),
            from: request.from.clone(),
            before: self.value(&request.change),
            change: request.change.clone(),
        })
    }

    fn known(&self, facts: &Facts, change: &Change) -> Result<(), Verdict> {
        let unknown = |what: String| Err(Verdict::Unknown { what });
        match change {
            Change::Drain(n) if !facts.nodes.iter().any(|f| &f.name == n) => unknown(format!(
                "no node is named '{n}'; {}",
                listed(facts.nodes.iter().map(|f| f.name.as_str()))
            )),
            // A node that has left the site can still be undrained: its mark must not stay for ever.
            Change::Undrain(n)
                if !facts.nodes.iter().any(|f| &f.name == n) && !self.drained.contains_key(n) =>
            {
                unknown(format!(
                    "no node is named '{n}'; {}",
                    listed(facts.nodes.iter().map(|f| f.name.as_str()))
                ))
            }
            Change::Hold(v) if !facts.volumes.iter().any(|f| &f.name == v) => unknown(format!(
                "no volume is named '{v}'; {}",
                listed(facts.volumes.iter().map(|f| f.name.as_str()))
            )),
            Change::Release(v)
                if !facts.volumes.iter().any(|f| &f.name == v) && !self.held.contains_key(v) =>
            {
                unknown(format!(
                    "no volume is named '{v}'; {}",
                    listed(facts.volumes.iter().map(|f| f.name.as_str()))
                ))
            }
            _ => Ok(()),
        }
    }

    /// What will be refused if a drain leaves a shard without a node. Danger: an operator drains the last copy and learns of it
    /// from the clients.
    fn last_of_its_shard(&self, facts: &Facts, change: &Change) -> Option<String> {
        let Change::Drain(name) = change else { return None };
        let shard = facts.nodes.iter().find(|n| &n.name == name)?.shard;
        let takes = |n: &&NodeFact| {
            n.on && n.shard == shard && &n.name != name && !self.drained.contains_key(&n.name)
        };
        if facts.nodes.iter().any(|n| takes(&n)) {
            return None;
        }
        let volumes = facts.volumes.iter().filter(|v| v.shards.contains(&shard)).map(|v| v.name.as_str());
        let volumes: Vec<&str> = volumes.collect();
        let of = if volumes.is_empty() { "no volume".into() } else { volumes.join(", ") };
        Some(format!(
            "{name} is the last node of shard {shard}: everything on that shard of {of} will be refused until a node \
             of it takes work again"
        ))
    }

    /// What an asker should know of a change that was accepted.
    pub fn remark(&self, facts: &Facts, change: &Change) -> Option<String> {
        let node = |name: &str| facts.nodes.iter().find(|n| n.name == name);
        match change {
            Change::Undrain(name) => match node(name) {
                Some(n) if !n.on => {
                    Some(format!("the node list says that {name} takes no work; it stays so"))
                }
                Some(n) if n.warming => {
                    Some(format!("{name} is cold: it gets its part only while it warms up"))
                }
                _ => None,
            },
            Change::Drain(name) => node(name)
                .filter(|n| !n.on)
                .map(|_| format!("the node list has {name} drained or gone already")),
            Change::Hold(v) => {
                Some(format!("what is in flight on {v} ends; new requests are refused with advice"))
            }
            Change::Pause => Some("new requests of every volume are refused with advice".into()),
            _ => None,
        }
    }

    /// Takes an entry into the state. Entries come in order; one that is not the next is passed over.
    pub fn apply(&mut self, entry: &Entry) -> bool {
        if entry.revision.0 != self.revision.0 + 1 {
            return false;
        }
        let mark = Mark { t: entry.t, by: entry.by.clone(), from: entry.from.clone() };
        match &entry.change {
            Change::Drain(n) => drop(self.drained.insert(n.clone(), mark)),
            Change::Undrain(n) => drop(self.drained.remove(n)),
            Change::Hold(v) => drop(self.held.insert(v.clone(), mark)),
            Change::Release(v) => drop(self.held.remove(v)),
            Change::Pause => self.paused = Some(mark),
            Change::Resume => self.paused = None,
            Change::Note(text) => {
                self.notes.push_back(Note { mark, text: text.clone() });
                self.notes.keep_last(NOTES);
            }
        }
        self.revision = entry.revision;
        self.versions.insert(entry.change.subject(), entry.revision);
        self.done.push_back((entry.id, entry.revision));
        self.done.keep_last(REMEMBERED);
        true
    }
}

trait TruncateFront {
    /// Drops the oldest beyond a number.
    fn keep_last(&mut self, most: usize);
}

impl<T> TruncateFront for VecDeque<T> {
    fn keep_last(&mut self, most: usize) {
        while self.len() > most {
            self.pop_front();
        }
    }
}
