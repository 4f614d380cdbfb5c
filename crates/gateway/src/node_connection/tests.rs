//! A node connection over real sockets, with the attempts that wait for it.

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::time::Duration;

use decisions::{RequestId, ShardId};
use emulator::{Fault, Node};
use may::sync::mpsc::{Receiver, channel};
use nvme::Digests;
use records::Recorder;
use settings::Site;
use storage_core::{Catalogue, Core, ListedNode, NodeState, Opcode, OutgoingAttempt, PermittedAttempt};

use super::*;

const SITE: &str = include_str!("../../tests/site.toml");
const NODE: NodeId = NodeId(0);
const TIMEOUT: Duration = Duration::from_secs(20);
/// Blocks of one write, all of which go in its capsule.
const WRITE_BLOCKS: u32 = 32;
const BLOCK_BYTES: u32 = 4096;

fn start(address: SocketAddr, entries: u32) -> (Arc<NodeConnection>, Receiver<Message>) {
    task::init_runtime();
    let (sender, messages) = channel();
    let options = NodeConnectionOptions {
        subsystem: "nqn.2026-12.example.crowbay:path".into(),
        entries,
        connect_timeout: TIMEOUT,
        reconnect_pause: TIMEOUT,
        command_timeout: TIMEOUT,
        keep_alive: TIMEOUT,
        digests: Digests::default(),
    };
    let host = "nqn.2026-12.crowbay:gateway:gw1".to_owned();
    let connection = NodeConnection::start(NODE, address, options, host, [1; 16], Inbox(sender));
    (connection.expect("a coroutine can be started"), messages)
}

fn attempt(number: u64) -> AttemptId {
    AttemptId { request: RequestId(number), index: 0 }
}

fn next_message(messages: &Receiver<Message>) -> Message {
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Ok(message) = messages.try_recv() {
            return message;
        }
        assert!(Instant::now() < end, "no message came");
        std::thread::yield_now();
    }
}

/// Guards against an attempt that is lost, or whose end is reported twice, when a connection is lost before its
/// node has admitted it.
#[test]
fn each_of_many_attempts_that_wait_when_the_admission_is_lost_ends_once_as_unreachable() {
    const ATTEMPTS: u64 = 128;
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let (connection, messages) = start(listener.local_addr().expect("local address"), 129);
    let (handshake, _) = listener.accept().expect("accept");
    for number in 0..ATTEMPTS {
        assert_eq!(connection.enqueue(attempt(number)), Waiting::ForConnection);
    }
    assert!(connection.take_waiting(1).is_empty(), "nothing can be written yet");
    drop(handshake);
    let mut ended = BTreeSet::new();
    while ended.len() < ATTEMPTS as usize {
        match next_message(&messages) {
            Message::AttemptEnded(id, end) => {
                assert_eq!(end.outcome, Outcome::Unreachable);
                assert!(ended.insert(id), "{id:?} ended twice");
            }
            _ => panic!("the connection never came up"),
        }
    }
    assert!(connection.waiting().is_empty());
    connection.close();
}

/// Permits for writes, such as the core gives them at the moment of the write.
struct Permits(Core);

impl Permits {
    fn new() -> Permits {
        let site = Site::parse(SITE).expect("the site file is valid");
        let catalogue: Catalogue = site.catalogue(0).expect("the catalogue is valid");
        let mut core = Core::new(catalogue, 7);
        let node =
            ListedNode { name: "node0".into(), zone: 0, shard: 0, state: NodeState::On, started: None };
        assert_eq!(core.node_id(&node.name), NODE);
        core.update_nodes(0, true, false, &[node], &mut Vec::new());
        Permits(core)
    }

    fn permit(&self, id: AttemptId) -> PermittedAttempt {
        let send = OutgoingAttempt {
            attempt: id,
            node: NODE,
            opcode: Opcode::Write,
            nsid: 1,
            slba: id.request.0 * u64::from(WRITE_BLOCKS),
            blocks: WRITE_BLOCKS,
            bytes: WRITE_BLOCKS * BLOCK_BYTES,
            data: Bytes::from(vec![7; (WRITE_BLOCKS * BLOCK_BYTES) as usize]),
            shard: ShardId(0),
            is_retry: false,
            token: id.request.0 + 1,
            keyed: false,
        };
        self.0.begin_copy(send, 1).expect("the node takes requests")
    }
}

/// Guards against attempts that are buffered for a node that does not read, and against attempts that wait for
/// ever once it reads again.
#[test]
fn attempts_wait_for_room_in_the_socket_and_each_is_written_once_when_there_is_room() {
    const ATTEMPTS: u64 = 400;
    let site = SITE.replace("[log]", "[limits]\nin_capsule_kib = 128\n\n[log]");
    let site = site.replace("queue = 256", "queue = 1024") + "\n[link]\nqueue_entries = 1024\n";
    let site = Site::parse(&site).expect("the site file is valid");
    let node = Node::start(site.node_options(0, false), Recorder::none()).expect("start a node");
    let permits = Permits::new();
    let (connection, messages) = start(node.address(), 1024);
    assert!(matches!(next_message(&messages), Message::NodeWritable(NODE)), "the connection is up");
    node.fault(Fault::Stall(true));
    (0..ATTEMPTS).for_each(|number| assert_eq!(connection.enqueue(attempt(number)), Waiting::ToBeWritten));
    let write_waiting = || {
        let permitted = connection.take_waiting(ATTEMPTS as usize).into_iter().map(|id| permits.permit(id));
        let unwritten = connection.write(permitted.collect());
        assert!(unwritten.ended.is_empty(), "the queue has an entry for each");
        connection.put_back(&unwritten.not_begun);
        connection.waiting().len()
    };
    let without_room = write_waiting();
    assert!(0 < without_room && without_room < ATTEMPTS as usize, "{without_room} found no room");
    assert_eq!(connection.enqueue(attempt(ATTEMPTS)), Waiting::ForConnection, "it waits behind the others");
    assert!(connection.take_waiting(1).is_empty(), "nothing begins behind a rest");
    connection.forget(attempt(ATTEMPTS));
    let dropped = attempt(ATTEMPTS - 1);
    connection.forget(dropped);
    node.fault(Fault::Stall(false));
    let mut served = BTreeSet::new();
    while served.len() < ATTEMPTS as usize - 1 {
        match next_message(&messages) {
            Message::NodeWritable(_) => _ = write_waiting(),
            Message::AttemptEnded(id, end) => {
                assert_eq!(end.outcome, Outcome::Served);
                assert!(served.insert(id), "{id:?} ended twice");
            }
            _ => panic!("an unexpected message"),
        }
    }
    assert!(!served.contains(&dropped));
    assert_eq!(node.written(), (ATTEMPTS as usize - 1) * WRITE_BLOCKS as usize);
    connection.close();
}
