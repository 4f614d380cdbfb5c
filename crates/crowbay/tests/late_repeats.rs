//! Clients that come again when they were told to, after the aim of their first try: an idle node serves them.

mod stage;

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use stage::*;

/// The aim of the class of reads, and what a client waits for.
const AIM: Duration = Duration::from_millis(200);
const CLIENTS: usize = 5;
/// Tries that a client is told to come again for, at most.
const TRIES: usize = 2;

/// A read of an object of its own by a client that has asked before.
fn again(client: usize, attempt: usize) -> String {
    let (first, object) = (look(&format!("c{client}-{attempt}"), 0), format!("/{:016x} ", 0xc000 + client));
    let text = first.replace(&format!("/{:016x} ", 0xbb), &object);
    if attempt == 0 { text } else { text.replace("\r\n\r\n", "\r\nX-Retried: 1\r\n\r\n") }
}

/// Guards against repeats that are refused for as long as they come, on an idle node, as the aim of the first try is over.
#[test]
fn a_client_that_follows_its_advice_is_served_by_an_idle_node() {
    let node = Arc::new(Node::default());
    let at = node.start();
    let known = list(1, &[("a", at)]);
    let mut config = config(agent(known.clone(), Arc::default()), 256, &known);
    config["settings"]["classes"][0]["targetUs"] = json!(AIM.as_micros() as u64);
    let process = Process::start(&config);
    // The first tries meet a node that does not answer, and their clients leave.
    node.hold(true);
    for client in 0..CLIENTS {
        let before = node.seen();
        let mut first = Client::new(process.address).expect("a connection");
        std::io::Write::write_all(&mut first.stream, again(client, 0).as_bytes()).expect("it is sent");
        until("its node has it", || node.seen() > before);
    }
    node.hold(false);
    figure::pass(AIM * 3);
    for client in 0..CLIENTS {
        let tries = (1..=TRIES).find(|attempt| {
            let mut connection = Client::new(process.address).expect("a connection");
            let answer = connection.ask(&again(client, *attempt)).expect("an answer").expect("an answer");
            if answer.status != 200 {
                let advice = answer.fields.unique("retry-after").expect("once").expect("advice");
                let seconds: f64 = std::str::from_utf8(advice).expect("text").parse().expect("seconds");
                figure::pass(Duration::from_secs_f64(seconds));
            }
            answer.status == 200
        });
        assert!(tries.is_some(), "client {client} was told to come again {TRIES} times");
    }
}
