//! A client that takes its time to read.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

use super::figure::pass;
use super::{LONG, kernel, until};

/// Its system takes little that it has not read, and that in small segments, so that the gateway's keeps little for it too.
pub struct Slow(TcpStream);

impl Slow {
    pub fn new(to: SocketAddr) -> Slow {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_mss(536).expect("small segments");
        socket.set_recv_buffer_size(1).expect("a small buffer");
        socket.connect(&to.into()).expect("a connection");
        let stream: TcpStream = socket.into();
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream.set_write_timeout(Some(Duration::from_millis(200))).expect("a time-out");
        Slow(stream)
    }

    /// Writes this as far as the gateway takes it.
    pub fn say(&mut self, text: &str) {
        let _ = self.0.write_all(text.as_bytes());
    }

    /// Waits until more of the answer has come than its system takes.
    pub fn until_answered(&self) {
        until("the answer is on its way", || kernel::other(&self.0).is_none_or(|e| e.unsent > 0));
    }

    /// Reads to the end, beginning after this time. What came, and whether the end was in order.
    pub fn read_after(mut self, pause: Duration) -> (Vec<u8>, bool) {
        pass(pause);
        let _ = SockRef::from(&self.0).set_recv_buffer_size(1 << 20);
        let (mut said, mut buffer) = (Vec::new(), vec![0; 64 << 10]);
        loop {
            match self.0.read(&mut buffer) {
                Ok(0) => return (said, true),
                Ok(n) => said.extend_from_slice(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return (said, false),
                Err(e) => panic!("neither bytes nor an end after {}: {e}", said.len()),
            }
        }
    }
}
