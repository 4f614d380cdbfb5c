//! Clients that go.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use super::asked::reset;
use super::figure::pass;
use super::{Client, LONG, puppet::Puppet, request, until};

/// The term: no attempt of a client that has gone begins later than this.
pub const ALLOWED: Duration = Duration::from_millis(100);

/// How a client goes.
#[derive(Clone, Copy, Debug)]
pub enum Leave {
    Close,
    Reset,
}

pub const WAYS: [Leave; 2] = [Leave::Close, Leave::Reset];

/// A client's connection with this written on it, as far as the gateway takes it.
pub fn sent(to: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_read_timeout(Some(LONG)).expect("a time-out");
    stream.set_write_timeout(Some(Duration::from_millis(200))).expect("a time-out");
    let _ = stream.write_all(text.as_bytes());
    stream
}

/// The client goes, and the time passes in which an attempt may still begin. The gateway has answered somebody else since.
pub fn leave(stream: TcpStream, how: Leave, gateway: SocketAddr) {
    match how {
        Leave::Close => drop(stream),
        Leave::Reset => reset(stream),
    }
    // The term's own time: what is let go now comes too late.
    pass(ALLOWED * 3 / 2);
    settle(gateway);
}

/// The gateway has handled what had reached it.
pub fn settle(gateway: SocketAddr) {
    for _ in 0..2 {
        let mut client = Client::new(gateway).expect("a connection");
        let ready = client.ask("GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        assert_eq!(ready.expect("an answer").expect("an answer").status, 200);
    }
}

/// Asks until a request is served, as clients do that are refused, while the node serves whatever comes to it.
pub fn mark(gateway: SocketAddr, node: &Puppet) {
    let asks = thread::spawn(move || {
        for n in 0.. {
            let mut client = Client::new(gateway).expect("a connection");
            match client.ask(&request::read(&format!("mark-{n}"))) {
                Ok(Some(answer)) if answer.status == 200 => return format!("mark-{n}"),
                _ => {}
            }
        }
        unreachable!("it asks for ever")
    });
    loop {
        let asked = node.next();
        let is_mark = asked.id.starts_with("mark-");
        asked.serve();
        if is_mark {
            until("the mark is served", || asks.is_finished());
            break;
        }
    }
    asks.join().expect("no panic");
}
