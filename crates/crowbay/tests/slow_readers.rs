//! Clients that take their time to read, as many as have a place, at a gateway that keeps connections to many nodes: each gets its
//! answer whole, whatever descriptors are left.

mod stage;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use http1::RequestDecoder;
use serde_json::json;
use stage::bound::{Bound, SOCKETS};
use stage::departure::sent;
use stage::slow::Slow;
use stage::*;

/// As many as the gateway has places for, of so many descriptors.
const CLIENTS: usize = 24;
/// Each of them is asked by four clients at once, which is what a node that has not answered yet is given.
const NODES: usize = 6;
/// Bytes of an answer: more than the system keeps for a client that reads nothing.
const ANSWER: usize = 300 << 10;

/// Nodes that answer at length, once they may.
#[derive(Default)]
struct Nodes {
    /// Requests that came, and whether they are answered.
    state: Mutex<(usize, bool)>,
    changed: Condvar,
}

impl Nodes {
    fn start(self: &Arc<Self>) -> SocketAddr {
        let nodes = self.clone();
        serve(move |mut stream| {
            let mut decoder = RequestDecoder::new(LIMITS);
            while next_request(&mut stream, &mut decoder).is_some() {
                let mut state = nodes.state.lock().expect("their state");
                state.0 += 1;
                drop(nodes.changed.wait_while(state, |(_, answer)| !*answer).expect("their state"));
                let answer = http1::encode_response(200, &[], &vec![b'x'; ANSWER], true);
                if stream.write_all(&answer).is_err() {
                    return;
                }
            }
        })
    }

    fn asked(&self) -> usize {
        self.state.lock().expect("their state").0
    }

    fn answer(&self) {
        self.state.lock().expect("their state").1 = true;
        self.changed.notify_all();
    }
}

/// Guards against answers that are cut off because no descriptor is left for whoever writes the rest.
#[test]
fn as_many_slow_readers_as_have_a_place_get_their_answers_whole() {
    let nodes = Arc::new(Nodes::default());
    let names: Vec<String> = (0..NODES).map(|n| format!("n{n}")).collect();
    let listed: Vec<(&str, SocketAddr)> = names.iter().map(|name| (name.as_str(), nodes.start())).collect();
    let mut config = config("127.0.0.1:1".parse().expect("an address"), SOCKETS as u64, &list(1, &listed));
    config["settings"]["familyInfo"]["slotsTotal"] = json!(NODES);
    config["settings"]["classes"][0]["targetUs"] = json!(8_000_000);
    config["settings"]["classes"][0]["deadlineUs"] = json!(9_000_000);
    let process = Bound::start(&config);
    // The gateway opens as many connections to nodes as it may keep.
    let first: Vec<TcpStream> =
        (0..CLIENTS).map(|n| sent(process.address, &look(&format!("f{n}"), (n % NODES) as u32))).collect();
    until("all are at their nodes", || nodes.asked() == CLIENTS);
    nodes.answer();
    for mut client in first {
        let mut left = ANSWER;
        let mut buffer = vec![0; 64 << 10];
        while left > 0 {
            left = left.saturating_sub(std::io::Read::read(&mut client, &mut buffer).expect("an answer"));
        }
    }
    let mut clients: Vec<Slow> = Vec::new();
    for n in 0..CLIENTS {
        let mut client = Slow::new(process.address);
        client.say(&look(&format!("r{n}"), (n % NODES) as u32));
        client.until_answered();
        clients.push(client);
    }
    let whole = clients.into_iter().map(|client| {
        let (said, _) = client.read_after(Duration::ZERO);
        let body = said.windows(4).position(|four| four == b"\r\n\r\n").map(|at| said.len() - at - 4);
        said.starts_with(b"HTTP/1.1 200 ") && body == Some(ANSWER)
    });
    let whole = whole.filter(|whole| *whole).count();
    assert_eq!(whole, CLIENTS, "answers came whole; the log: {}", process.log());
}
