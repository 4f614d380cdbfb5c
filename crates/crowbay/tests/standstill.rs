//! What the log says of a process that was stopped: its threads neither ran nor wanted a processor meanwhile.

mod stage;

use std::sync::Arc;
use std::time::Duration;

use stage::bound::{Bound, SOCKETS};
use stage::discovery::Discovery;
use stage::figure::pass;
use stage::*;

/// How long the process is stopped, and a tick of the system's scheduler, in microseconds.
const STOPPED: u64 = 300_000;
const TICK: u64 = 10_000;

/// A number behind a word of a line.
fn number(line: &str, word: &str) -> u64 {
    let rest = line.split(word).nth(1).unwrap_or_else(|| panic!("no {word} in {line}"));
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or_else(|_| panic!("no number behind {word} in {line}"))
}

/// Whether neither thread was awake for more than the rest of the span.
fn tells_a_stop(line: &str) -> bool {
    for resource in ["cpu ", "io ", "memory "] {
        number(line.split("pressure=").nth(1).expect("the pressure"), resource);
    }
    let span = number(line, "span=");
    ["engine=\"", "ticker=\""].iter().all(|thread| {
        let times = line.split(thread).nth(1).unwrap_or_else(|| panic!("no {thread} in {line}"));
        number(times, "ran ") + number(times, "no processor ") + STOPPED <= span + TICK
    })
}

#[test]
fn a_stopped_process_says_that_it_neither_ran_nor_wanted_a_processor() {
    let (node, agent) = (Arc::new(Node::default()), Arc::new(Discovery::default()));
    let at = node.start();
    agent.set("a", at, "in_service");
    let gateway = Bound::start(&config(agent.start(), SOCKETS as u64, &list(1, &[("a", at)])));
    let mut log = String::new();
    // Beside other work a line may have waits for a processor in it, those that began before its span too.
    until("a standstill is told, all of it a stop", || {
        let stop = gateway.stop();
        pass(Duration::from_micros(STOPPED));
        stop.over();
        log = gateway.log();
        log.lines().filter(|line| line.contains("the engine stood still")).any(tells_a_stop)
    });
}
