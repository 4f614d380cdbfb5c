//! Clients that close or reset their connection have gone: no attempt for them begins more than 0.1 s later, wherever their request
//! waits. An attempt begins when its last byte is written.

mod stage;

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use serde_json::json;
use stage::asked::Asked;
use stage::departure::{Leave, WAYS, leave, mark, sent, settle};
use stage::discovery::Discovery;
use stage::late::Late;
use stage::puppet::Puppet;
use stage::refusing::Refusing;
use stage::request::{self, KEYED, ONCE, READ};
use stage::*;

/// Every way to go, with attempts that may be taken back and such that may not, each in a process of its own, side by side.
fn in_all_ways(case: impl Fn(bool, Leave) + Sync) {
    thread::scope(|scope| {
        for (cancel, how) in [true, false].into_iter().flat_map(|c| WAYS.map(|how| (c, how))) {
            let case = &case;
            scope.spawn(move || case(cancel, how));
        }
    });
}

/// Nobody listens there; the agent says nothing.
fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn gateway(node: SocketAddr, cancel: bool) -> Process {
    Process::start(&request::site(nowhere(), &list(1, &[("a", node)]), cancel))
}

/// Requests that a client sends ahead, so many bytes at least.
fn ahead(bytes: usize) -> String {
    let mut text = String::new();
    let mut n = 0;
    while text.len() < bytes {
        text += &request::read(&format!("ahead-{n}"));
        n += 1;
    }
    text
}

/// A client that waits for a connection on its way up goes, with this sent ahead; the connection comes up.
fn goes_before_the_way_is_up(cancel: bool, how: Leave, more: &str) {
    let mut late = Late::open();
    late.fill();
    let process = gateway(late.address, cancel);
    let client = sent(process.address, &(request::read("gone") + more));
    until("a connection is on its way up", || kernel::rising(late.address) > 0);
    leave(client, how, process.address);
    let node = late.address;
    let puppet = Puppet::over(late.admit());
    until("it is up, or given up", || kernel::rising(node) == 0);
    settle(process.address);
    mark(process.address, &puppet);
    let seen = puppet.seen();
    assert!(seen.iter().all(|id| id.starts_with("mark-")), "cancel {cancel}, {how:?}: {seen:?}");
}

#[test]
fn one_that_waits_for_a_connection_on_its_way_up() {
    in_all_ways(|cancel, how| goes_before_the_way_is_up(cancel, how, ""));
}

#[test]
fn one_that_waits_for_a_connection_and_has_sent_a_little_ahead() {
    in_all_ways(|cancel, how| goes_before_the_way_is_up(cancel, how, &ahead(20 << 10)));
}

#[test]
fn one_that_waits_for_a_connection_and_has_sent_much_ahead() {
    in_all_ways(|cancel, how| goes_before_the_way_is_up(cancel, how, &ahead(300 << 10)));
}

#[test]
fn one_whose_attempt_would_go_out_behind_the_answer_to_another() {
    in_all_ways(|cancel, how| {
        let mut late = Late::open();
        let process = gateway(late.address, cancel);
        let first = sent(process.address, &request::read("first"));
        let puppet = Puppet::dark(late.address);
        let line = late.take();
        late.fill();
        let tell = puppet.tell.clone();
        thread::spawn(move || Asked::read(line, tell));
        let asked = puppet.next();
        let client = sent(process.address, &request::read("gone"));
        until("a connection of its own is on its way up", || kernel::rising(late.address) > 0);
        leave(client, how, process.address);
        asked.serve();
        until("the first has its answer", || first.peek(&mut [0; 64]).is_ok_and(|n| n > 0));
        // The connection has cooled since.
        leave(first, Leave::Close, process.address);
        mark(process.address, &puppet);
        let seen = puppet.seen();
        assert!(!seen.contains(&"gone".to_owned()), "cancel {cancel}, {how:?}: {seen:?}");
    });
}

/// A client whose request waits in the module, as its shard has no node, goes; then there is one.
fn goes_before_there_is_a_node(cancel: bool, how: Leave, more: &str) {
    let (agent, puppet) = (Arc::new(Discovery::default()), Puppet::start());
    let elsewhere = json!({"revision": 0, "complete": true, "members": [
        {"id": "z", "host_port": nowhere().to_string(), "locality": "z", "flavor": "k", "cell": 1,
         "phase": "in_service", "size": 1.0, "up_since_ms": 0}]});
    let process = Process::start(&request::site(agent.start(), &elsewhere, cancel));
    until("it watches", || agent.calls() > 0);
    let stays = sent(process.address, &request::read("stays"));
    let client = sent(process.address, &(request::read("gone") + more));
    if more.is_empty() {
        kernel::until_read(&client);
    }
    settle(process.address);
    leave(client, how, process.address);
    agent.set("a", puppet.address, "in_service");
    // What has waited as long shows that the module goes on; it may come in any order.
    let mut asked = puppet.next();
    while asked.id != "stays" {
        asked.serve();
        asked = puppet.next();
    }
    asked.serve();
    until("it has its answer", || stays.peek(&mut [0; 64]).is_ok_and(|n| n > 0));
    mark(process.address, &puppet);
    let seen = puppet.seen();
    let known = |id: &String| id == "stays" || id.starts_with("mark-");
    assert!(seen.iter().all(known), "cancel {cancel}, {how:?}: {seen:?}");
}

#[test]
fn one_that_waits_in_the_module() {
    in_all_ways(|cancel, how| goes_before_there_is_a_node(cancel, how, ""));
}

#[test]
fn one_that_waits_in_the_module_and_has_sent_a_little_ahead() {
    in_all_ways(|cancel, how| goes_before_there_is_a_node(cancel, how, &ahead(20 << 10)));
}

#[test]
fn one_that_waits_in_the_module_and_has_sent_much_ahead() {
    in_all_ways(|cancel, how| goes_before_there_is_a_node(cancel, how, &ahead(300 << 10)));
}

/// A client goes whose node refuses connections, so that its request waits for the next try; then the node listens.
#[test]
fn one_that_waits_for_a_node_that_refuses_connections() {
    in_all_ways(|cancel, how| {
        let refusing = Refusing::new();
        let mut site = request::site(nowhere(), &list(1, &[("a", refusing.address)]), cancel);
        // It is tried again and again.
        site["settings"]["policyLimits"]["sendCap"] = json!(100);
        let process = Process::start(&site);
        let client = sent(process.address, &request::read("gone"));
        kernel::until_read(&client);
        settle(process.address);
        leave(client, how, process.address);
        let puppet = Puppet::over(refusing.listen());
        mark(process.address, &puppet);
        let seen = puppet.seen();
        assert!(!seen.contains(&"gone".to_owned()), "cancel {cancel}, {how:?}: {seen:?}");
    });
}

/// An attempt that is out is taken back where the settings permit it, and runs to its end where they do not.
#[test]
fn one_whose_attempt_is_out() {
    in_all_ways(|cancel, how| {
        let puppet = Puppet::start();
        let process = gateway(puppet.address, cancel);
        let client = sent(process.address, &request::read("gone"));
        let asked = puppet.next();
        leave(client, how, process.address);
        let is_open = kernel::other(&asked.stream).is_some_and(|e| e.state == kernel::OPEN);
        assert_eq!(is_open, !cancel, "cancel {cancel}, {how:?}: its connection is open");
        asked.serve();
        mark(process.address, &puppet);
        assert_eq!(puppet.times("gone"), 1, "cancel {cancel}, {how:?}");
    });
}

/// A client goes while its attempt is out, which then comes to nothing.
fn goes_before_a_further_attempt(cancel: bool, how: Leave, class: &str, more: &str, spoil: fn(Asked)) {
    let puppet = Puppet::start();
    let process = gateway(puppet.address, cancel);
    let client = sent(process.address, &(request::text(class, "gone", 8000, "", "") + more));
    let asked = puppet.next();
    leave(client, how, process.address);
    spoil(asked);
    settle(process.address);
    mark(process.address, &puppet);
    let seen = puppet.seen();
    assert_eq!(puppet.times("gone"), 1, "cancel {cancel}, {how:?}: {seen:?}");
    assert!(seen.iter().all(|id| !id.starts_with("ahead-")), "cancel {cancel}, {how:?}: {seen:?}");
}

#[test]
fn no_further_attempt_follows_one_that_was_reset_failed_or_turned_away() {
    let spoilt: [fn(Asked); 3] = [
        Asked::reset,
        |mut asked| {
            asked.say(&http1::encode_response(500, &[], b"", true));
            asked.next();
        },
        |mut asked| {
            asked.say(&http1::encode_response(503, &[("X-Not-Processed", "1")], b"", true));
            asked.next();
        },
    ];
    for spoil in spoilt {
        in_all_ways(|cancel, how| goes_before_a_further_attempt(cancel, how, READ, "", spoil));
    }
    in_all_ways(|cancel, how| goes_before_a_further_attempt(cancel, how, KEYED, "", Asked::reset));
}

#[test]
fn no_further_attempt_follows_where_much_was_sent_ahead() {
    for bytes in [20 << 10, 300 << 10] {
        in_all_ways(|cancel, how| {
            goes_before_a_further_attempt(cancel, how, READ, &ahead(bytes), Asked::reset);
        });
    }
}

#[test]
fn a_body_that_was_written_in_part_to_a_node_that_does_not_read_is_not_written_to_its_end() {
    in_all_ways(|cancel, how| {
        let late = Late::narrow();
        let process = gateway(late.address, cancel);
        let body = "x".repeat(64 << 10);
        let client = sent(process.address, &request::text(ONCE, "gone", 8000, "", &body));
        let mut line = late.take();
        until("a part is written", || kernel::other(&line).is_some_and(|e| e.unsent > 0));
        settle(process.address);
        leave(client, how, process.address);
        line.set_read_timeout(Some(LONG)).expect("a time-out");
        // It reads now, all that ever comes.
        let (mut came, mut buffer) = (0, vec![0; 64 << 10]);
        let left = loop {
            match line.read(&mut buffer) {
                Ok(0) => break true,
                Ok(n) => came += n,
                Err(e) => break e.kind() == std::io::ErrorKind::ConnectionReset,
            }
            if came >= body.len() {
                break false;
            }
        };
        assert!(left && came < body.len(), "cancel {cancel}, {how:?}: {came} bytes came, left {left}");
    });
}

/// What the others rely on: the same ways up, without anybody who goes, bring their request.
#[test]
fn one_that_stays_is_served_once_the_way_is_up() {
    let mut late = Late::open();
    late.fill();
    let process = gateway(late.address, true);
    let mut client = sent(process.address, &request::read("stays"));
    until("a connection is on its way up", || kernel::rising(late.address) > 0);
    let puppet = Puppet::over(late.admit());
    puppet.next().serve();
    let mut said = [0; 15];
    client.read_exact(&mut said).expect("an answer");
    assert_eq!(&said, b"HTTP/1.1 200 OK");
}
