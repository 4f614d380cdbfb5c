//! The way out over real sockets.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

use gather::{GatherList, PduSink};
use transport::Outlet;

/// More than the system takes at once for a peer that does not read.
const MUCH: usize = 32 << 20;

fn pair() -> (Arc<Outlet>, TcpStream) {
    task::set_up();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("its address")).expect("it connects");
    let (stream, _) = listener.accept().expect("it is accepted");
    stream.set_nonblocking(true).expect("it does not block");
    (Arc::new(Outlet::over(Arc::new(stream), MUCH + 1)), peer)
}

#[test]
fn what_was_appended_and_not_flushed_is_written_before_it_is_finished() {
    for both in [true, false] {
        let (outlet, mut peer) = pair();
        outlet.append(|rest| rest.copy(&vec![7; MUCH]));
        if both {
            outlet.finish()
        } else {
            outlet.end_writing()
        }
        assert!(!outlet.append(|rest| rest.copy(b"late")), "nothing is kept after it was finished");
        let mut got = Vec::new();
        peer.read_to_end(&mut got).expect("it ends in order");
        assert!(got.len() == MUCH && got.iter().all(|b| *b == 7), "the peer got {} bytes", got.len());
        assert!(!outlet.was_cut());
    }
}

#[test]
fn what_a_close_leaves_unwritten_is_a_cut() {
    let (outlet, peer) = pair();
    let mut much = GatherList::new();
    much.copy(&vec![7; MUCH]);
    outlet.push(much);
    outlet.close();
    assert!(outlet.was_cut());
    drop(peer);
}
