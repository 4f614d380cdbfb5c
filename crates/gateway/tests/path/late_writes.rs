//! Commands that wait in the gateway while the connection to their node comes up late: each is asked about once
//! more before it is written.

use std::path::{Path, PathBuf};

use emulator::Fault;
use gateway::{ControlRequest, NodeLineState};
use load::{Host, Word, fill};
use records::NodeLine;
use tempfile::TempDir;

use crate::bed::{SITE, TestBed, served};

/// Time for which the stand-in nodes remember a keyed write: twice the window of the site, in microseconds.
const NODE_MEMORY_US: i64 = 1_200_000;

/// Nodes remember a keyed write for 600 ms by the site file; connections may come up late.
fn site() -> String {
    let site = SITE.replace("window_ms = 2500", "window_ms = 600");
    let site = site.replace("aim_ms = 250\npatience_ms = 1500", "aim_ms = 3500\npatience_ms = 4000");
    format!("{site}\n[link]\nconnect_ms = 10000\nreconnect_ms = 10\n")
}

/// A gateway whose connection to node 0 is lost and comes up once it is let.
struct LateConnection {
    bed: TestBed,
    records: PathBuf,
    _folder: TempDir,
}

impl LateConnection {
    fn new() -> LateConnection {
        LateConnection::with(&site(), false)
    }

    fn with(site: &str, has_journal: bool) -> LateConnection {
        let folder = tempfile::tempdir().expect("a folder");
        let state = has_journal.then(|| folder.path().join("state"));
        let bed = TestBed::with_folders(site, Some(folder.path()), state.as_deref());
        let records = node_records(folder.path(), 0);
        LateConnection { bed, records, _folder: folder }
    }

    /// Breaks the connection; until `come_up` the next one stays in its handshake.
    fn lose(&self) {
        self.bed.nodes[0].fault(Fault::Stall(true));
        self.bed.nodes[0].fault(Fault::Reset);
        self.bed.wait_until("the connection is lost", |s| s.nodes[0].link != "up");
    }

    fn come_up(&self) {
        self.bed.nodes[0].fault(Fault::Stall(false));
        self.bed.wait_until("the connection is up", |s| s.nodes[0].link == "up");
    }

    fn list(&self, state: NodeLineState, started: i64) {
        let mut line = self.bed.site.node_line(0, self.bed.nodes[0].address(), started);
        line.state = state;
        let change = ControlRequest::Nodes { replace_all: false, lines: vec![line] };
        self.bed.gateway.ask(change).expect("the gateway accepts the node list");
    }

    fn write(&self, host: &Host, token: u64) {
        host.write(1, 1, 0, 1, fill(token, 1, 0, 1, 4096), token).expect("the host is connected");
    }

    /// Token and attempt of each command that reached node 0.
    fn arrivals(&self) -> Vec<(u64, u32)> {
        let lines = records::read::<NodeLine>(&self.records).expect("the records can be read");
        let arrival = |line: NodeLine| match line {
            NodeLine::Arrive { token, attempt, .. } => Some((token, attempt)),
            _ => None,
        };
        lines.into_iter().filter_map(arrival).collect()
    }

    /// Sends a write behind all others and waits for its answer. A node serves commands in order of arrival.
    fn probe(&self, token: u64) {
        let host = self.bed.host(9);
        self.write(&host, token);
        let answer = self.bed.answer();
        assert_eq!(answer.user, token);
        served(&answer);
    }
}

pub fn node_records(folder: &Path, node: usize) -> PathBuf {
    folder.join(format!("node{node}.jsonl"))
}

/// Guards against the second effect of review/2: a keyed write that waits for a late connection goes out after
/// the nodes have forgotten its first attempt.
#[test]
fn a_keyed_write_that_waits_past_its_window_for_a_late_connection_is_not_sent_again() {
    let late = LateConnection::new();
    let host = late.bed.host(1);
    late.bed.nodes[0].fault(Fault::Silent(true));
    late.write(&host, 5);
    late.bed.wait_until("the write ran", |_| late.bed.nodes[0].written() == 1);
    let ran_before = late.bed.status().now;
    late.lose();
    late.bed.nodes[0].fault(Fault::Silent(false));
    late.bed.wait_until("the write waits to be sent again", |s| s.nodes[0].sent == 2);
    late.bed.wait_until("the node has forgotten it", |s| s.now > ran_before + NODE_MEMORY_US);
    late.come_up();
    assert_eq!(late.bed.answer().word, Word::Failed, "it may have run, and is not known to have");
    late.probe(6);
    assert_eq!(late.arrivals(), [(5, 0), (6, 0)]);
}

/// Guards against attempts for a client that left while the connection came up.
#[test]
fn a_write_of_a_client_that_leaves_while_the_connection_comes_up_is_not_sent() {
    let late = LateConnection::new();
    let host = late.bed.host(1);
    late.lose();
    late.write(&host, 5);
    late.bed.wait_until("the write waits", |s| s.nodes[0].sent == 1);
    host.close();
    assert_eq!(late.bed.answer().word, Word::Lost);
    late.bed.wait_until("it waits no longer", |s| (s.open, s.out) == (0, 0));
    late.come_up();
    late.probe(6);
    assert_eq!(late.arrivals(), [(6, 0)]);
}

/// Guards against sends to a node that was drained between decision and write.
#[test]
fn a_write_that_waits_for_a_node_that_is_drained_meanwhile_is_not_sent() {
    let late = LateConnection::new();
    let host = late.bed.host(1);
    late.lose();
    late.write(&host, 5);
    late.bed.wait_until("the write waits", |s| s.nodes[0].sent == 1);
    late.list(NodeLineState::Draining, 0);
    late.bed.wait_until("it waits for the node no longer", |s| s.nodes[0].out == 0);
    late.come_up();
    assert!(matches!(late.bed.answer().word, Word::Refused(_)), "it never ran");
    late.list(NodeLineState::On, 0);
    late.probe(6);
    assert_eq!(late.arrivals(), [(6, 0)]);
}

/// Guards against a send to another process than the one decided on, while the journal holds the write's record.
#[test]
fn a_journaled_write_that_waits_for_a_node_that_is_started_anew_is_decided_on_anew() {
    let late = LateConnection::with(&format!("{}\n[recovery]\nask_for_ms = 10\n", site()), true);
    let host = late.bed.host(1);
    late.bed.wait_until("the recovery admits writes", |_| {
        late.write(&host, 4);
        matches!(late.bed.answer().word, Word::Served(_))
    });
    let sent_before = late.bed.status().nodes[0].sent;
    late.lose();
    late.write(&host, 5);
    late.bed.wait_until("the write waits", |s| s.nodes[0].sent == sent_before + 1);
    late.list(NodeLineState::On, late.bed.status().now);
    late.bed.wait_until("it is decided on anew", |s| s.nodes[0].sent == sent_before + 2);
    late.come_up();
    served(&late.bed.answer());
    assert_eq!(late.arrivals(), [(4, 0), (5, 0)], "the first attempt was never sent");
}

/// Guards against losing, sending or answering twice any of many commands whose connection is lost again before
/// the node has admitted it.
#[test]
fn commands_that_wait_when_the_admission_is_lost_are_answered_once_and_never_sent() {
    const COMMANDS: u64 = 128;
    let late = LateConnection::new();
    let host = late.bed.host(1);
    late.lose();
    // One key each, as writes of one key run in order.
    for n in 0..COMMANDS {
        let (slba, token) = (n * 16, 100 + n);
        host.write(1, 1, slba, 1, fill(token, 1, slba, 1, 4096), token).expect("the host is connected");
    }
    late.bed.wait_until("all are accepted", |s| s.taken == COMMANDS);
    let waiting = late.bed.status().nodes[0].out;
    assert!(waiting > 1, "{waiting} wait for the connection");
    late.bed.nodes[0].fault(Fault::Refuse(true));
    late.bed.nodes[0].fault(Fault::Reset);
    let mut answered: Vec<u64> = late
        .bed
        .answers(COMMANDS as usize)
        .into_iter()
        .inspect(|answer| assert!(matches!(answer.word, Word::Refused(_)), "{answer:?}"))
        .map(|answer| answer.user)
        .collect();
    answered.sort_unstable();
    assert_eq!(answered, (100..100 + COMMANDS).collect::<Vec<_>>());
    late.bed.nodes[0].fault(Fault::Refuse(false));
    late.come_up();
    late.probe(6);
    assert_eq!(late.arrivals(), [(6, 0)]);
}
