//! An instance: one scheduler, and the translation between its ids and the wire's.

use std::collections::{BTreeMap, HashMap};

use decisions::*;

use crate::wire::{LedgerEntry, Reply};
use crate::write_reply;

/// A request that may still be named by the scheduler or the wire.
pub(crate) struct TrackedRequest {
    /// Its id on the wire.
    pub(crate) rid: String,
    /// Attempts in flight.
    pub(crate) in_flight: u32,
    /// It has no final answer yet.
    pub(crate) open: bool,
}

/// One scheduler, and the ids that it and the wire use.
pub(crate) struct Instance {
    pub(crate) scheduler: Scheduler,
    pub(crate) requests: BTreeMap<RequestId, TrackedRequest>,
    pub(crate) by_rid: HashMap<String, RequestId>,
    next_request: u64,
    /// Names of the nodes, by id.
    nodes: Vec<String>,
    pub(crate) by_node: HashMap<String, NodeId>,
}

impl Instance {
    pub(crate) fn new(scheduler: Scheduler) -> Self {
        Instance {
            scheduler,
            requests: BTreeMap::new(),
            by_rid: HashMap::new(),
            next_request: 0,
            nodes: Vec::new(),
            by_node: HashMap::new(),
        }
    }

    /// The id of a node, assigned when its name is seen first.
    pub(crate) fn node_id(&mut self, name: &str) -> NodeId {
        if let Some(&id) = self.by_node.get(name) {
            return id;
        }
        let id = NodeId(self.nodes.len() as u32);
        self.nodes.push(name.to_owned());
        self.by_node.insert(name.to_owned(), id);
        id
    }

    pub(crate) fn next_request_id(&mut self) -> RequestId {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        id
    }

    pub(crate) fn node_entry(&mut self, entry: LedgerEntry) -> NodeEntry {
        NodeEntry {
            node: self.node_id(&entry.node),
            zone: entry.site.unwrap_or(0),
            shard: ShardId(entry.bay.unwrap_or(0).max(0) as u32),
            state: match entry.stage_state.as_str() {
                "on" => NodeState::On,
                "fading" => NodeState::Draining,
                _ => NodeState::Gone,
            },
            started: entry.came_up_us.filter(|&t| t != 0),
        }
    }

    /// Removes a request that has its final answer and no attempt in flight.
    pub(crate) fn remove_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.open && r.in_flight == 0)
            && let Some(request) = self.requests.remove(&id)
        {
            self.by_rid.remove(&request.rid);
        }
    }

    /// Records that a request has its final answer.
    pub(crate) fn close(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.open = false;
        }
        self.remove_if_done(id);
    }

    /// Writes the message of an action of instance `i`, unless its request is no longer tracked.
    pub(crate) fn write_action(
        &mut self,
        i: u32,
        action: &Action,
        output: &mut Vec<u8>,
    ) -> Result<(), String> {
        let rid = |id: &RequestId| self.requests.get(id).map(|r| r.rid.as_str());
        let mut answered = None;
        let reply = match action {
            Action::Send { request, node, timeout } => {
                let Some(request) = self.requests.get_mut(request) else { return Ok(()) };
                request.in_flight += 1;
                let node = self.nodes[node.0 as usize].as_str();
                Reply::SubmitTo { i, rid: &request.rid, node, patience_us: *timeout }
            }
            Action::Refuse { request, retry_after } => {
                answered = Some(*request);
                let Some(rid) = rid(request) else { return Ok(()) };
                Reply::Busy { i, rid, retry_after_us: *retry_after }
            }
            Action::Fail { request } => {
                answered = Some(*request);
                let Some(rid) = rid(request) else { return Ok(()) };
                Reply::GiveUp { i, rid }
            }
            Action::Cancel { request, attempt } => {
                let Some(rid) = rid(request) else { return Ok(()) };
                Reply::DropAttempt { i, rid, n: *attempt }
            }
            Action::SetTimer { after, token } => Reply::WakeAt { i, span_us: *after, handle: *token },
            Action::Subscribe => Reply::Follow { i, on: true },
            Action::Log(text) => Reply::Log { i, note_text: text },
        };
        write_reply(output, &reply)?;
        if let Some(id) = answered {
            self.close(id);
        }
        Ok(())
    }
}
