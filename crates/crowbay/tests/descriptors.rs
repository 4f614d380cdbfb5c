//! Idle clients fill the descriptors while discovery is down: the platform gateway as a process that has no more of them than its
//! configuration grants.

mod stage;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, RwLock};
use std::time::{Duration, Instant};

use stage::bound::{Bound, SOCKETS};
use stage::discovery::Discovery;
use stage::*;

/// What the table in `discovery.rs` states for the most that may pass once discovery is back, and time for a machine that is busy.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Less than the 2 s for which a connection that says nothing is kept where there is room.
const AT_ONCE: Duration = Duration::from_millis(1500);
const READY: &str = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";

/// A client that asks again and again on one connection, and comes again where that ended.
struct Steady {
    address: SocketAddr,
    client: Client,
    asked: usize,
}

impl Steady {
    fn new(address: SocketAddr) -> Steady {
        Steady { address, client: Client::new(address).expect("a connection"), asked: 0 }
    }

    fn asks(&mut self) -> Option<u16> {
        self.asked += 1;
        match self.client.ask(&look(&format!("s{}", self.asked), 0)) {
            Ok(Some(answer)) => Some(answer.status),
            Ok(None) | Err(_) => {
                self.client = Client::new(self.address).expect("a connection");
                None
            }
        }
    }
}

/// What idle clients do with their connection before they rest.
#[derive(Clone, Copy, Debug)]
enum Idle {
    /// They say nothing.
    Mute,
    /// They ask whether it is ready.
    Ready,
    /// They are served.
    Served,
    /// They begin a request.
    Half,
}

impl Idle {
    fn opens(self, address: SocketAddr, n: usize) -> Option<TcpStream> {
        let mut client = Client::new(address).ok()?;
        match self {
            Idle::Mute => {}
            Idle::Ready => drop(client.ask(READY)),
            Idle::Served => drop(client.ask(&look(&format!("i{n}"), 0))),
            Idle::Half => client.stream.write_all(b"GET /look/00000000000000aa/00").ok()?,
        }
        Some(client.stream)
    }
}

fn open(streams: &mut Vec<TcpStream>) -> usize {
    streams.retain_mut(|s| {
        s.set_nonblocking(true).expect("a stream");
        s.read(&mut [0; 512]).map_or_else(|e| e.kind() == std::io::ErrorKind::WouldBlock, |n| n > 0)
    });
    streams.len()
}

/// Discovery is down, idle clients of one kind hold every place; then it is back with a list that drains a node and adds one.
fn filled(idle: Idle) {
    let (a, b, agent) =
        (Arc::new(Node::default()), Arc::new(Node::default()), Arc::new(Discovery::default()));
    let (at_a, at_b) = (a.start(), b.start());
    agent.set("a", at_a, "in_service");
    agent.silence(true);
    let gateway = Bound::start(&config(agent.start(), SOCKETS as u64, &list(1, &[("a", at_a)])));
    let mut steady = Steady::new(gateway.address);
    until("it serves by what it remembers", || steady.asks() == Some(200));
    // More than there are places, for as long as it takes the calls for the list to be at their most.
    let (mut streams, mut opened, mut held, before) = (Vec::new(), 0, 0, agent.calls());
    until("idle clients hold all places while calls go unanswered", || {
        if open(&mut streams) < SOCKETS {
            opened += 1;
            streams.extend(idle.opens(gateway.address, opened));
        }
        steady.asks();
        held = held.max(gateway.descriptors());
        opened > 2 * SOCKETS && agent.calls() > before + 8
    });
    // Clients that brought no request give way to a new one at once, however lately they came.
    let fresh = matches!(idle, Idle::Mute | Idle::Ready);
    let filling = if fresh { SOCKETS / 2 } else { 0 };
    streams.extend((0..filling).filter_map(|n| idle.opens(gateway.address, opened + n)));
    let asked = Instant::now();
    until("a new client is told that it is ready", || {
        let answer = Client::new(gateway.address).and_then(|mut c| c.ask(READY));
        answer.is_ok_and(|a| a.is_some_and(|a| a.status == 200))
    });
    let waited = asked.elapsed();
    assert!(!fresh || waited < AT_ONCE, "{idle:?}: a new client waited for {waited:?}");
    until("a new client is served", || Steady::new(gateway.address).asks() == Some(200));
    agent.set("a", at_a, "terminating");
    agent.set("b", at_b, "in_service");
    let back = Instant::now();
    agent.silence(false);
    until("the new node is asked", || steady.asks().is_some() && b.seen() > 0);
    let took = back.elapsed();
    assert!(took < IN_FORCE, "{idle:?}: in force after {took:?}");
    until("a new client is served by it", || Steady::new(gateway.address).asks() == Some(200));
    let seen = a.seen();
    until("and all others", || {
        steady.asks();
        b.seen() > 20
    });
    assert_eq!(a.seen(), seen, "{idle:?}: nothing goes to the node that drains");
    let log = gateway.log();
    assert!(!log.contains("could not be accepted") && !log.contains("open files"), "{idle:?}: {log}");
    println!("{idle:?}: {held} descriptors at most, in force after {took:?}");
    assert!((SOCKETS / 3..SOCKETS).contains(&held), "{idle:?}: {held} descriptors were held");
}

#[test]
fn clients_that_say_nothing_fill_the_descriptors() {
    filled(Idle::Mute);
}

#[test]
fn clients_that_ask_whether_it_is_ready_and_rest_fill_the_descriptors() {
    filled(Idle::Ready);
}

#[test]
fn clients_that_were_served_and_rest_fill_the_descriptors() {
    filled(Idle::Served);
}

#[test]
fn clients_that_begin_a_request_and_rest_fill_the_descriptors() {
    filled(Idle::Half);
}

/// Ways to nodes are taken by requests that nodes hold, and idle clients hold the places that are left.
#[test]
fn requests_that_nodes_hold_and_idle_clients_fill_the_descriptors_together() {
    let nodes: Vec<Arc<Node>> = (0..12).map(|_| Arc::new(Node::default())).collect();
    let names: Vec<String> = (0..nodes.len()).map(|n| format!("n{n}")).collect();
    let known: Vec<(&str, SocketAddr)> =
        names.iter().map(String::as_str).zip(nodes.iter().map(Node::start)).collect();
    let agent = Arc::new(Discovery::default());
    agent.silence(true);
    let gateway = Bound::start(&config(agent.start(), SOCKETS as u64, &list(1, &known)));
    let address = gateway.address;
    nodes.iter().for_each(|n| n.hold(true));
    until("calls are at their most", || agent.calls() > 6);
    let (over, calls) = (Arc::new(RwLock::new(())), agent.calls());
    let not_over = over.write().expect("nobody else writes");
    let busy: Vec<_> = (0..SOCKETS)
        .map(|n| {
            let over = over.clone();
            std::thread::spawn(move || {
                let mut client = Client::new(address).expect("a connection");
                let answer = client.ask(&look(&format!("h{n}"), n as u32 % 12));
                // What has its answer rests until the end.
                drop(over.read().expect("it is over"));
                answer.is_ok_and(|a| a.is_some_and(|a| a.status == 200))
            })
        })
        .collect();
    let (mut held, seen) = (0, || nodes.iter().map(|n| n.seen()).sum::<usize>());
    until("requests are held while calls go unanswered", || {
        held = held.max(gateway.descriptors());
        agent.calls() > calls + 1 && seen() >= 4
    });
    let calls = agent.calls();
    agent.silence(false);
    until("the list is asked for and told", || agent.told() > 0);
    println!("{held} descriptors, {} requests held, {} calls until told", seen(), agent.calls() - calls);
    nodes.iter().for_each(|n| n.hold(false));
    drop(not_over);
    let served = busy.into_iter().map(|b| b.join().expect("no panic")).filter(|served| *served).count();
    assert!(served >= 4, "{served} of those that nodes held were served");
    let log = gateway.log();
    assert!(!log.contains("could not be accepted") && !log.contains("open files"), "{log}");
    assert!((SOCKETS / 2..SOCKETS).contains(&held), "{held} descriptors were held");
    until("a new client is served", || Steady::new(address).asks() == Some(200));
}
