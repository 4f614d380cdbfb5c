//! Invariants on the traffic on the sockets, checked from that traffic alone.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use http1::{Limits, RequestDecoder, RequestEvent, ResponseDecoder};
use platform::{ConnectionEnd, SocketId};

use super::{DRAIN_GRACE, KEY_WINDOW};

const LIMITS: Limits = Limits { head: 1 << 14, body: 1 << 20, informational: 8 };

struct RequestState {
    client: SocketId,
    class: String,
    deadline: i64,
    /// Start times of its attempts that may have run or may still run, by number.
    may_have_run: BTreeMap<usize, i64>,
    attempts: usize,
    answered: bool,
    client_gone: bool,
    /// It was sent after the gateway had closed its side of the connection.
    after_end: bool,
}

struct Node {
    port: u16,
    decoder: RequestDecoder,
    /// The request sent on it with its attempt's number, and the kind of the partial response.
    request_sent: Option<(String, usize)>,
    response_kind: Option<usize>,
}

#[derive(Default)]
pub struct Checker {
    requests: HashMap<String, RequestState>,
    /// The open request of each client.
    open: BTreeMap<SocketId, String>,
    answers: BTreeMap<SocketId, ResponseDecoder>,
    nodes: BTreeMap<SocketId, Node>,
    /// Requests that their node served completely.
    served: BTreeSet<String>,
    /// Since when the node at a port has been announced as draining or gone.
    draining_since: BTreeMap<u16, i64>,
}

impl Checker {
    pub fn is_open(&self, client: SocketId) -> bool {
        self.open.contains_key(&client)
    }

    /// Returns the id of the request sent on a node connection.
    pub fn request_of(&self, node: SocketId) -> Option<String> {
        Some(self.nodes.get(&node)?.request_sent.as_ref()?.0.clone())
    }

    /// Whether a node has sent part of its response.
    pub fn is_responding(&self, node: SocketId) -> bool {
        self.nodes.get(&node).is_some_and(|n| n.response_kind.is_some())
    }

    pub fn request_delivered(&mut self, client: SocketId, now: i64, text: &str, after_end: bool) {
        let mut decoder = RequestDecoder::new(LIMITS);
        decoder.receive(text.as_bytes());
        let Ok(Some(RequestEvent::Complete(request))) = decoder.poll() else { panic!("{text}") };
        let field = |name| {
            let value = request.fields.unique(name).ok().flatten().expect("a field");
            std::str::from_utf8(value).expect("text").to_owned()
        };
        let (id, ms): (String, i64) =
            (field("x-request-id"), field("x-timeout-ms").parse().expect("a number"));
        let state = RequestState {
            client,
            class: field("x-priority-class"),
            deadline: now + ms * 1000,
            may_have_run: BTreeMap::new(),
            attempts: 0,
            answered: false,
            client_gone: false,
            after_end,
        };
        self.requests.insert(id.clone(), state);
        if !after_end {
            self.open.insert(client, id);
        }
    }

    pub fn client_gone(&mut self, client: SocketId) {
        self.open.remove(&client);
        self.requests.values_mut().filter(|r| r.client == client).for_each(|r| r.client_gone = true);
    }

    pub fn node_established(&mut self, node: SocketId, port: u16) {
        self.nodes.insert(
            node,
            Node { port, decoder: RequestDecoder::new(LIMITS), request_sent: None, response_kind: None },
        );
    }

    pub fn node_listed(&mut self, port: u16, on: bool, now: i64) {
        if on {
            self.draining_since.remove(&port);
        } else {
            self.draining_since.entry(port).or_insert(now);
        }
    }

    pub fn node_received(&mut self, socket: SocketId, now: i64, bytes: &[u8]) {
        let node = self.nodes.get_mut(&socket).expect("an established connection");
        node.decoder.receive(bytes);
        let Ok(Some(RequestEvent::Complete(request))) = node.decoder.poll() else {
            panic!("no whole request")
        };
        assert!(node.decoder.is_idle(), "two at once on one connection");
        assert!(node.request_sent.is_none(), "the previous request has no response");
        let id = request.fields.unique("x-request-id").ok().flatten().expect("an id");
        let id = String::from_utf8(id.to_vec()).expect("text");
        let state = self.requests.get_mut(&id).expect("a client's");
        assert!(!state.client_gone, "an attempt of {id} started although its client disconnected");
        assert!(!state.answered, "an attempt of {id} started after its response");
        assert!(!state.after_end, "{id} was sent after its connection was closed");
        assert!(
            now < state.deadline,
            "an attempt of {id} started {} us after its deadline",
            now - state.deadline
        );
        if let Some(since) = self.draining_since.get(&node.port) {
            assert!(
                now <= since + DRAIN_GRACE,
                "{id} is sent {} us after its node was told to drain",
                now - since
            );
        }
        state.attempts += 1;
        if let Some(first) = state.may_have_run.values().min() {
            match state.class.as_str() {
                "look" => {}
                "post" => assert!(now - first < KEY_WINDOW, "{id} runs again after {} us", now - first),
                _ => panic!("{id} may run twice"),
            }
        }
        state.may_have_run.insert(state.attempts, now);
        node.request_sent = Some((id, state.attempts));
    }

    pub fn node_responded(&mut self, socket: SocketId, kind: usize, may_have_run: bool) {
        let Some(node) = self.nodes.get_mut(&socket) else { return };
        let Some((id, n)) = node.request_sent.clone() else { return };
        if node.response_kind.is_some() {
            return;
        }
        node.response_kind = Some(kind);
        if kind <= 4 {
            node.request_sent = None;
            node.response_kind = None;
        }
        let state = self.requests.get_mut(&id).expect("a client's");
        if !may_have_run {
            state.may_have_run.remove(&n);
        }
        if kind <= 2 {
            self.served.insert(id);
        }
    }

    pub fn node_connection_ended(&mut self, socket: SocketId, end: ConnectionEnd) {
        let Some(node) = self.nodes.remove(&socket) else { return };
        let Some((id, n)) = node.request_sent else { return };
        let state = self.requests.get_mut(&id).expect("a client's");
        match (end, node.response_kind) {
            // The response without a length is complete now.
            (ConnectionEnd::Orderly, Some(5)) => {
                self.served.insert(id);
            }
            // The request's last byte was never written.
            (ConnectionEnd::Cut, None) => {
                state.may_have_run.remove(&n);
            }
            _ => {}
        }
    }

    pub fn client_received(&mut self, client: SocketId, bytes: &[u8]) {
        let decoder = self.answers.entry(client).or_insert_with(|| ResponseDecoder::new(LIMITS));
        decoder.receive(bytes);
        while let Some(answer) = decoder.poll().expect("an answer") {
            let Some(id) = self.open.remove(&client) else {
                assert!(matches!(answer.status, 400 | 408), "a response without a request");
                continue;
            };
            let state = self.requests.get_mut(&id).expect("a client's");
            assert!(!state.answered && !state.client_gone, "{id} got two responses");
            state.answered = true;
            if answer.status == 200 {
                assert_eq!(
                    &answer.body[..],
                    format!("for {id}").as_bytes(),
                    "served with another request's response"
                );
                assert!(self.served.contains(&id), "{id} was served with a partial response");
            }
            if state.class == "fire" && answer.status == 503 {
                assert!(state.may_have_run.is_empty(), "{id} may have run but was refused");
            }
        }
    }

    /// Handles connections that the gateway has closed.
    pub fn connections_closed(&mut self, closed: &BTreeSet<SocketId>, blocked_output: &BTreeSet<SocketId>) {
        let closed_nodes: Vec<SocketId> = self.nodes.keys().filter(|n| closed.contains(n)).copied().collect();
        for socket in closed_nodes {
            let Some(node) = self.nodes.remove(&socket) else { continue };
            // A request that wasn't completely written when its connection closed never ran.
            if let Some((id, n)) = node.request_sent.filter(|_| blocked_output.contains(&socket))
                && let Some(state) = self.requests.get_mut(&id)
            {
                state.may_have_run.remove(&n);
            }
        }
        for (client, id) in &self.open {
            assert!(!closed.contains(client), "the connection of {id} is closed before its answer");
        }
    }

    pub fn assert_all_answered(&self) {
        for (id, state) in &self.requests {
            assert!(state.answered || state.client_gone || state.after_end, "{id} never got a response");
        }
    }
}
