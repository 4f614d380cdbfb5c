//! Told to leave, the platform gateway serves those who stay up to its end: clients that never stop, that send half, that hurry ahead.

mod stage;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use stage::discovery::Discovery;
use stage::*;

/// The longest deadline, counted as 3 s at the most, and 0.7 s: SIGKILL comes no sooner.
const KILLED: Duration = Duration::from_millis(3700);

fn site() -> (Arc<Node>, Process) {
    let (node, agent) = (Arc::new(Node::default()), Arc::new(Discovery::default()));
    let at = node.start();
    agent.set("a", at, "in_service");
    let process = Process::start(&config(agent.start(), 256, &list(1, &[("a", at)])));
    (node, process)
}

/// Asks one after the other on one connection for as long as it stays open. Answers that came, and the request that got not a byte, if
/// the end crossed one: clients of the platform send it once more elsewhere.
fn never_stops(mut client: Client, name: &str, asked: &AtomicUsize) -> (usize, Option<String>) {
    for n in 0.. {
        asked.fetch_add(1, Ordering::SeqCst);
        let id = format!("{name}-{n}");
        match client.ask(&look(&id, 0)) {
            Ok(Some(answer)) => {
                // The last ones have little time left, and may be refused.
                assert!(matches!(answer.status, 200 | 503), "{id}: {}", answer.status);
                if !answer.keep_alive {
                    return (n + 1, None);
                }
            }
            Ok(None) | Err(_) => return (n, Some(id)),
        }
    }
    unreachable!("it asks for ever")
}

#[test]
fn clients_that_never_stop_sending_are_served_up_to_the_end_and_nothing_taken_is_lost() {
    let (node, mut process) = site();
    let asked = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..8)
        .map(|n| {
            let (client, asked) = (Client::new(process.address).expect("a connection"), asked.clone());
            thread::spawn(move || never_stops(client, &format!("c{n}"), &asked))
        })
        .collect();
    until("all are served", || node.seen() > 100);
    process.signal(Signal::SIGTERM);
    let told = Instant::now();
    let before = asked.load(Ordering::SeqCst);
    assert_eq!(process.end().code(), Some(0));
    let lasted = told.elapsed();
    assert!(lasted < KILLED, "SIGKILL would have found it after {lasted:?}");
    let ends: Vec<_> = clients.into_iter().map(|c| c.join().expect("no panic")).collect();
    // Whatever a node saw was taken, and has its answer.
    let seen = node.seen.lock().expect("seen");
    for id in ends.iter().filter_map(|e| e.1.as_ref()) {
        assert!(!seen.contains(id), "{id} was taken, and has no answer");
    }
    let answered: usize = ends.iter().map(|e| e.0).sum();
    assert!(answered > before + 50, "they were served on: {before} before, {answered} in all");
    assert!(lasted > Duration::from_secs(2), "it left early: clients would find nobody");
}

#[test]
fn half_a_request_gets_an_error_and_two_at_once_get_both_answers_before_the_end() {
    let (node, mut process) = site();
    let connect = || {
        let stream = TcpStream::connect(process.address).expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream
    };
    let (mut half, mut ahead) = (connect(), connect());
    half.write_all(look("half", 0).split_at(40).0.as_bytes()).expect("written");
    node.hold(true);
    ahead.write_all(format!("{}{}", look("p1", 0), look("p2", 0)).as_bytes()).expect("written");
    until("the first is at the node", || node.seen() == 1);
    process.signal(Signal::SIGTERM);
    node.hold(false);
    let mut said = [String::new(), String::new()];
    for (stream, said) in [&mut half, &mut ahead].into_iter().zip(&mut said) {
        stream.read_to_string(said).expect("answers, and an end");
    }
    assert!(said[0].starts_with("HTTP/1.1 408 "), "{}", said[0]);
    assert_eq!(said[1].matches("HTTP/1.1 200 ").count(), 2, "{}", said[1]);
    assert!(said[1].ends_with("p2"));
    assert_eq!(process.end().code(), Some(0));
}

#[test]
fn a_gateway_that_starts_follows_what_its_agent_has_from_the_first_moment() {
    let (a, b, agent) =
        (Arc::new(Node::default()), Arc::new(Node::default()), Arc::new(Discovery::default()));
    let at = [a.start(), b.start()];
    agent.set("a", at[0], "in_service");
    agent.set("a", at[0], "terminating");
    agent.set("b", at[1], "in_service");
    let discovery = agent.start();
    for life in 0..3 {
        // Each life remembers the list of long ago.
        let process = Process::start(&config(discovery, 256, &list(1, &[("a", at[0])])));
        let begun = Instant::now();
        let before = b.seen();
        let mut client = Client::new(process.address).expect("a connection");
        let mut n = 0;
        until("it follows", || {
            n += 1;
            let answer = client.ask(&look(&format!("s{life}-{n}"), 0)).expect("an answer");
            assert_eq!(answer.expect("an answer").status, 200);
            b.seen() > before
        });
        let took = begun.elapsed();
        assert!(took < Duration::from_secs(1), "the grace for drains: {took:?}");
        let drained = a.seen();
        for n in 0..20 {
            assert!(client.ask(&look(&format!("t{life}-{n}"), 0)).expect("an answer").is_some());
        }
        assert_eq!(a.seen(), drained);
    }
}
