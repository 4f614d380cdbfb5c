//! Operator intents: the state of the site that operators have requested.

use std::collections::{BTreeMap, VecDeque};

use crate::Micros;
use crate::model::{Change, Entry, Facts, Mark, NodeFact, Note, Request, RequestId, Revision, Verdict};

/// Completed requests that are remembered, so that a repeated request is not applied again.
const MAX_COMPLETED_REQUESTS: usize = 4096;
/// Notes kept in memory; the journal keeps all of them.
const MAX_NOTES: usize = 100;

/// The state that operators have requested.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Intents {
    revision: Revision,
    drained: BTreeMap<String, Mark>,
    held: BTreeMap<String, Mark>,
    paused: Option<Mark>,
    notes: VecDeque<Note>,
    /// Revision of the last change to each subject.
    versions: BTreeMap<String, Revision>,
    /// Completed requests, oldest first.
    completed: VecDeque<(RequestId, Revision)>,
}

/// Lists the existing names for an error message.
fn existing_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let names: Vec<&str> = names.collect();
    if names.is_empty() { "there is none".into() } else { format!("there are {}", names.join(", ")) }
}

impl Intents {
    /// Revision of the state.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Who drained a node; `None` if it is not drained.
    pub fn drained(&self, node: &str) -> Option<&Mark> {
        self.drained.get(node)
    }

    /// Who put a volume on hold; `None` if it is not on hold.
    pub fn held(&self, volume: &str) -> Option<&Mark> {
        self.held.get(volume)
    }

    /// Volumes on hold.
    pub fn holds(&self) -> impl Iterator<Item = (&str, &Mark)> {
        self.held.iter().map(|(name, mark)| (name.as_str(), mark))
    }

    /// Drained nodes.
    pub fn drains(&self) -> impl Iterator<Item = (&str, &Mark)> {
        self.drained.iter().map(|(name, mark)| (name.as_str(), mark))
    }

    /// Who paused the site; `None` if it is not paused.
    pub fn paused(&self) -> Option<&Mark> {
        self.paused.as_ref()
    }

    /// The last notes, oldest first.
    pub fn notes(&self) -> impl Iterator<Item = &Note> {
        self.notes.iter()
    }

    /// Version of a subject, as [`Request::expects`] compares it; 0 if it was never changed.
    pub fn version(&self, subject: &str) -> Revision {
        self.versions.get(subject).copied().unwrap_or_default()
    }

    /// Versions of all subjects that were ever changed.
    pub fn versions(&self) -> &BTreeMap<String, Revision> {
        &self.versions
    }

    /// Whether the state already is as a change requests (`Some`), and who made it so, where that is known.
    fn already_set(&self, change: &Change) -> Option<Option<&Mark>> {
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

    /// Current value of a change's subject as text.
    fn value_text(&self, change: &Change) -> String {
        let describe = |state: &str, mark: Option<&Mark>, other: &str| match mark {
            Some(mark) => format!("{state} by {} from {}", mark.by, mark.from),
            None => other.to_owned(),
        };
        match change {
            Change::Drain(n) | Change::Undrain(n) => describe("drained", self.drained.get(n), "not drained"),
            Change::Hold(v) | Change::Release(v) => describe("held", self.held.get(v), "not held"),
            Change::Pause | Change::Resume => describe("paused", self.paused.as_ref(), "not paused"),
            Change::Note(_) => String::new(),
        }
    }

    /// Checks a request, and returns the entry to store and then pass to [`Intents::apply`]. The state does not change here.
    ///
    /// # Errors
    /// The answer to the request, if there is nothing to store.
    pub fn judge(&self, facts: &Facts, request: &Request, now: Micros) -> Result<Entry, Verdict> {
        // An answer may be lost, and the console then repeats the request: the change must be applied only once.
        if let Some((_, revision)) = self.completed.iter().find(|completed| completed.0 == request.id) {
            return Err(Verdict::Accepted { revision: *revision, remark: None });
        }
        self.check_names(facts, &request.change)?;
        let subject = request.change.subject();
        let version = self.version(&subject);
        // Two consoles may change the same subject, each from the state that it shows. The first wins; the second gets a
        // conflict.
        if request.expects.is_some_and(|seen| seen != version) {
            let what = format!("{subject} is {}", self.value_text(&request.change));
            return Err(Verdict::Conflict { now: version, what });
        }
        if let Some(since) = self.already_set(&request.change) {
            return Err(Verdict::Already { since: since.cloned() });
        }
        if !request.confirmed
            && let Some(refused) = self.refused_by_drain(facts, &request.change)
        {
            return Err(Verdict::Confirm { refused });
        }
        Ok(Entry {
            revision: Revision(self.revision.0 + 1),
            t: now,
            id: request.id,
            by: request.by.clone(),
            from: request.from.clone(),
            before: self.value_text(&request.change),
            change: request.change.clone(),
        })
    }

    fn check_names(&self, facts: &Facts, change: &Change) -> Result<(), Verdict> {
        let unknown = |what: String| Err(Verdict::Unknown { what });
        match change {
            Change::Drain(n) if !facts.nodes.iter().any(|f| &f.name == n) => unknown(format!(
                "no node is named '{n}'; {}",
                existing_names(facts.nodes.iter().map(|f| f.name.as_str()))
            )),
            // The drain of a node that has left the site can still be ended; otherwise its entry would stay forever.
            Change::Undrain(n)
                if !facts.nodes.iter().any(|f| &f.name == n) && !self.drained.contains_key(n) =>
            {
                unknown(format!(
                    "no node is named '{n}'; {}",
                    existing_names(facts.nodes.iter().map(|f| f.name.as_str()))
                ))
            }
            Change::Hold(v) if !facts.volumes.iter().any(|f| &f.name == v) => unknown(format!(
                "no volume is named '{v}'; {}",
                existing_names(facts.volumes.iter().map(|f| f.name.as_str()))
            )),
            Change::Release(v)
                if !facts.volumes.iter().any(|f| &f.name == v) && !self.held.contains_key(v) =>
            {
                unknown(format!(
                    "no volume is named '{v}'; {}",
                    existing_names(facts.volumes.iter().map(|f| f.name.as_str()))
                ))
            }
            _ => Ok(()),
        }
    }

    /// Describes what will be refused if a drain leaves a shard without a node. Without this check an operator could drain
    /// the last copy and learn of it from the clients.
    fn refused_by_drain(&self, facts: &Facts, change: &Change) -> Option<String> {
        let Change::Drain(name) = change else { return None };
        let shard = facts.nodes.iter().find(|n| &n.name == name)?.shard;
        let accepts_work = |n: &&NodeFact| {
            n.on && n.shard == shard && &n.name != name && !self.drained.contains_key(&n.name)
        };
        if facts.nodes.iter().any(|n| accepts_work(&n)) {
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

    /// A remark for the operator on an accepted change.
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

    /// Applies an entry, and returns whether it was applied. An entry whose revision is not the next one is ignored.
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
                self.notes.keep_last(MAX_NOTES);
            }
        }
        self.revision = entry.revision;
        self.versions.insert(entry.change.subject(), entry.revision);
        self.completed.push_back((entry.id, entry.revision));
        self.completed.keep_last(MAX_COMPLETED_REQUESTS);
        true
    }
}

trait KeepLast {
    /// Drops the oldest elements beyond `max_len`.
    fn keep_last(&mut self, max_len: usize);
}

impl<T> KeepLast for VecDeque<T> {
    fn keep_last(&mut self, max_len: usize) {
        while self.len() > max_len {
            self.pop_front();
        }
    }
}
