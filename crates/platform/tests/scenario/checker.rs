//! What must hold of what crosses the sockets, by these alone.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use http1::{AnswerDecoder, Incoming, Limits, RequestDecoder};
use platform::{End, SocketId};

use super::{GRACE, WINDOW};

const LIMITS: Limits = Limits { head: 1 << 14, body: 1 << 20, informational: 8 };

struct Asked {
    client: SocketId,
    class: String,
    until: i64,
    /// When its attempts that may have run, or may yet, were begun.
    doubtful: BTreeMap<usize, i64>,
    attempts: usize,
    answered: bool,
    gone: bool,
    /// It came behind the end that its connection was told.
    shut: bool,
}

struct Node {
    port: u16,
    decoder: RequestDecoder,
    /// The request out on it and its attempt's number, and what was said of it.
    out: Option<(String, usize)>,
    said: Option<usize>,
}

#[derive(Default)]
pub struct Watcher {
    requests: HashMap<String, Asked>,
    /// Of each client, the request that is open.
    open: BTreeMap<SocketId, String>,
    answers: BTreeMap<SocketId, AnswerDecoder>,
    nodes: BTreeMap<SocketId, Node>,
    /// Requests whose node served them, whole.
    served: BTreeSet<String>,
    /// Since when an address is told to want no work.
    drains: BTreeMap<u16, i64>,
}

impl Watcher {
    pub fn is_open(&self, client: SocketId) -> bool {
        self.open.contains_key(&client)
    }

    /// The request out at a node.
    pub fn asked(&self, node: SocketId) -> Option<String> {
        Some(self.nodes.get(&node)?.out.as_ref()?.0.clone())
    }

    /// A node has said a part of its answer.
    pub fn is_answering(&self, node: SocketId) -> bool {
        self.nodes.get(&node).is_some_and(|n| n.said.is_some())
    }

    pub fn reaches(&mut self, client: SocketId, now: i64, text: &str, shut: bool) {
        let mut decoder = RequestDecoder::new(LIMITS);
        decoder.receive(text.as_bytes());
        let Ok(Some(Incoming::Whole(request))) = decoder.poll() else { panic!("{text}") };
        let field = |name| {
            let value = request.fields.only(name).ok().flatten().expect("a field");
            std::str::from_utf8(value).expect("text").to_owned()
        };
        let (id, ms): (String, i64) =
            (field("x-request-id"), field("x-timeout-ms").parse().expect("a number"));
        let asked = Asked {
            client,
            class: field("x-priority-class"),
            until: now + ms * 1000,
            doubtful: BTreeMap::new(),
            attempts: 0,
            answered: false,
            gone: false,
            shut,
        };
        self.requests.insert(id.clone(), asked);
        if !shut {
            self.open.insert(client, id);
        }
    }

    pub fn gone(&mut self, client: SocketId) {
        self.open.remove(&client);
        self.requests.values_mut().filter(|r| r.client == client).for_each(|r| r.gone = true);
    }

    pub fn up(&mut self, node: SocketId, port: u16) {
        self.nodes.insert(node, Node { port, decoder: RequestDecoder::new(LIMITS), out: None, said: None });
    }

    pub fn told(&mut self, port: u16, on: bool, now: i64) {
        if on {
            self.drains.remove(&port);
        } else {
            self.drains.entry(port).or_insert(now);
        }
    }

    pub fn node_gets(&mut self, socket: SocketId, now: i64, bytes: &[u8]) {
        let node = self.nodes.get_mut(&socket).expect("it is up");
        node.decoder.receive(bytes);
        let Ok(Some(Incoming::Whole(request))) = node.decoder.poll() else { panic!("no whole request") };
        assert!(node.decoder.is_between(), "two at once on one connection");
        assert!(node.out.is_none(), "the one before has no answer");
        let id = request.fields.only("x-request-id").ok().flatten().expect("an id");
        let id = String::from_utf8(id.to_vec()).expect("text");
        let asked = self.requests.get_mut(&id).expect("a client's");
        assert!(!asked.gone, "{id} is begun for a client that has gone");
        assert!(!asked.answered, "{id} is begun after its answer");
        assert!(!asked.shut, "{id} came behind the end of its connection");
        assert!(now < asked.until, "{id} is begun {} us past its time", now - asked.until);
        if let Some(since) = self.drains.get(&node.port) {
            assert!(now <= since + GRACE, "{id} is sent {} us after its node was told to drain", now - since);
        }
        asked.attempts += 1;
        if let Some(first) = asked.doubtful.values().min() {
            match asked.class.as_str() {
                "look" => {}
                "post" => assert!(now - first < WINDOW, "{id} runs again after {} us", now - first),
                _ => panic!("{id} may run twice"),
            }
        }
        asked.doubtful.insert(asked.attempts, now);
        node.out = Some((id, asked.attempts));
    }

    pub fn answers(&mut self, socket: SocketId, kind: usize, may_have_run: bool) {
        let Some(node) = self.nodes.get_mut(&socket) else { return };
        let Some((id, n)) = node.out.clone() else { return };
        if node.said.is_some() {
            return;
        }
        node.said = Some(kind);
        if kind <= 4 {
            node.out = None;
            node.said = None;
        }
        let asked = self.requests.get_mut(&id).expect("a client's");
        if !may_have_run {
            asked.doubtful.remove(&n);
        }
        if kind <= 2 {
            self.served.insert(id);
        }
    }

    pub fn broke(&mut self, socket: SocketId, end: End) {
        let Some(node) = self.nodes.remove(&socket) else { return };
        let Some((id, n)) = node.out else { return };
        let asked = self.requests.get_mut(&id).expect("a client's");
        match (end, node.said) {
            // The answer without a length is whole now.
            (End::Orderly, Some(5)) => {
                self.served.insert(id);
            }
            // Its last byte was never written.
            (End::Cut, None) => {
                asked.doubtful.remove(&n);
            }
            _ => {}
        }
    }

    pub fn client_gets(&mut self, client: SocketId, bytes: &[u8]) {
        let decoder = self.answers.entry(client).or_insert_with(|| AnswerDecoder::new(LIMITS));
        decoder.receive(bytes);
        while let Some(answer) = decoder.poll().expect("an answer") {
            let Some(id) = self.open.remove(&client) else {
                assert!(matches!(answer.status, 400 | 408), "an answer to nothing");
                continue;
            };
            let asked = self.requests.get_mut(&id).expect("a client's");
            assert!(!asked.answered && !asked.gone, "{id} has two answers");
            asked.answered = true;
            if answer.status == 200 {
                assert_eq!(&answer.body[..], format!("for {id}").as_bytes(), "served with another's answer");
                assert!(self.served.contains(&id), "{id} is served with a part of an answer");
            }
            if asked.class == "fire" && answer.status == 503 {
                assert!(asked.doubtful.is_empty(), "{id} may have run and is called refused");
            }
        }
    }

    /// Connections that the gateway has closed.
    pub fn closed(&mut self, closed: &BTreeSet<SocketId>, clogged: &BTreeSet<SocketId>) {
        let over: Vec<SocketId> = self.nodes.keys().filter(|n| closed.contains(n)).copied().collect();
        for socket in over {
            let Some(node) = self.nodes.remove(&socket) else { continue };
            // What had not gone out when it closed it never ran.
            if let Some((id, n)) = node.out.filter(|_| clogged.contains(&socket))
                && let Some(asked) = self.requests.get_mut(&id)
            {
                asked.doubtful.remove(&n);
            }
        }
        for (client, id) in &self.open {
            assert!(!closed.contains(client), "the connection of {id} is closed before its answer");
        }
    }

    pub fn nothing_is_owed(&self) {
        for (id, asked) in &self.requests {
            assert!(asked.answered || asked.gone || asked.shut, "{id} never had an answer");
        }
    }
}
