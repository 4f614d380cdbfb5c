//! Outlets over real sockets.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

use gather::{GatherList, PduSink};
use transport::Outlet;

/// More bytes than the system buffers for a peer that does not read.
const LARGE: usize = 32 << 20;

fn pair() -> (Arc<Outlet>, TcpStream) {
    task::init_runtime();
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let peer = TcpStream::connect(listener.local_addr().expect("local address")).expect("connect");
    let (stream, _) = listener.accept().expect("accept");
    stream.set_nonblocking(true).expect("set non-blocking");
    (Arc::new(Outlet::from_shared(Arc::new(stream), LARGE + 1)), peer)
}

#[test]
fn unflushed_data_is_written_before_the_outlet_finishes() {
    for both in [true, false] {
        let (outlet, mut peer) = pair();
        outlet.append(|rest| rest.append_copy(&vec![7; LARGE]));
        if both {
            outlet.finish()
        } else {
            outlet.finish_writing()
        }
        assert!(!outlet.append(|rest| rest.append_copy(b"late")), "an outlet accepts nothing after finish");
        let mut got = Vec::new();
        peer.read_to_end(&mut got).expect("read to the orderly end");
        assert!(got.len() == LARGE && got.iter().all(|b| *b == 7), "the peer got {} bytes", got.len());
        assert!(!outlet.was_cut());
    }
}

#[test]
fn a_close_with_unwritten_data_is_recorded_as_a_cut() {
    let (outlet, peer) = pair();
    let mut data = GatherList::new();
    data.append_copy(&vec![7; LARGE]);
    outlet.push(data);
    outlet.close();
    assert!(outlet.was_cut());
    drop(peer);
}

/// Guards against messages that wait in a buffer for a peer that does not read, and are written later unasked.
#[test]
fn messages_that_have_not_begun_are_not_written_and_the_listener_hears_of_room() {
    const MESSAGES: usize = 512;
    const MESSAGE_BYTES: usize = 64 * 1024;
    task::init_runtime();
    let listener = may::net::TcpListener::bind("127.0.0.1:0").expect("bind a port");
    let mut peer = TcpStream::connect(listener.local_addr().expect("local address")).expect("connect");
    let (stream, _) = listener.accept().expect("accept");
    let (room, heard) = std::sync::mpsc::channel();
    let outlet =
        Outlet::with_writable_listener(&stream, LARGE, move || room.send(()).expect("the test waits"));
    let outlet = Arc::new(outlet.expect("a descriptor is left"));
    let batch = || {
        let mut batch = GatherList::new();
        (0..MESSAGES).for_each(|n| batch.append_copy(&vec![n as u8; MESSAGE_BYTES]));
        batch
    };
    let ends: Vec<usize> = (1..=MESSAGES).map(|n| n * MESSAGE_BYTES).collect();
    let begun = outlet.write_batch(batch(), &ends);
    assert!(0 < begun && begun < MESSAGES, "{begun} of {MESSAGES} have begun");
    assert_eq!(outlet.write_batch(batch(), &ends), 0, "nothing begins behind a rest");
    let mut received = vec![0; begun * MESSAGE_BYTES];
    peer.read_exact(&mut received).expect("all that has begun arrives");
    let is_right = |(n, message): (usize, &[u8])| message.iter().all(|byte| *byte == n as u8);
    assert!(received.chunks(MESSAGE_BYTES).enumerate().all(is_right));
    heard.recv_timeout(std::time::Duration::from_secs(20)).expect("it is told of room");
    outlet.finish();
    assert_eq!(peer.read(&mut [0]).expect("the end"), 0, "nothing else was written");
}
