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
