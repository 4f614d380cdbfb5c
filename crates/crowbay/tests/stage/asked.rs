//! A request that came whole to a node, with its connection: what is answered, and how, is its owner's to say.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::Sender;
use std::thread;
use std::time::{Duration, Instant};

use http1::RequestDecoder;
use socket2::SockRef;

use super::{LIMITS, LONG, kernel, next_request};

pub struct Asked {
    pub id: String,
    /// When its last byte was read.
    pub at: Instant,
    pub stream: TcpStream,
    decoder: RequestDecoder,
    /// Where the next one on this connection is told.
    tell: Sender<Asked>,
}

impl Asked {
    /// Reads a connection up to its first whole request and tells it.
    pub fn read(stream: TcpStream, tell: Sender<Asked>) {
        read_on(stream, RequestDecoder::new(LIMITS), tell);
    }

    /// A connection of which nothing was read, to be answered all the same.
    pub fn unread(stream: TcpStream, tell: Sender<Asked>) -> Asked {
        let decoder = RequestDecoder::new(LIMITS);
        Asked { id: String::new(), at: Instant::now(), stream, decoder, tell }
    }

    /// Writes these bytes; the peer may have gone.
    pub fn say(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// Waits until the gateway has read what was said.
    pub fn until_read(&self) {
        kernel::until_read(&self.stream);
    }

    /// Answers as a good node does, and reads on.
    pub fn serve(mut self) {
        let id = self.id.clone();
        self.say(&http1::encode_response(200, &[], id.as_bytes(), true));
        self.next();
    }

    /// Reads the next request.
    pub fn next(self) {
        thread::spawn(move || read_on(self.stream, self.decoder, self.tell));
    }

    /// Ends the connection in order.
    pub fn end(self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Breaks the connection off.
    pub fn reset(self) {
        reset(self.stream);
    }

    /// Waits until the gateway has ended the connection.
    pub fn until_left(&mut self) {
        self.stream.set_read_timeout(Some(LONG)).expect("a time-out");
        let mut buffer = [0; 4096];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return,
                Ok(_) => {}
                Err(e) => return assert_eq!(e.kind(), ErrorKind::ConnectionReset, "it is never left"),
            }
        }
    }
}

fn read_on(mut stream: TcpStream, mut decoder: RequestDecoder, tell: Sender<Asked>) {
    let Some(request) = next_request(&mut stream, &mut decoder) else { return };
    let at = Instant::now();
    let id = request.fields.unique("x-request-id").ok().flatten().unwrap_or(b"none");
    let id = String::from_utf8_lossy(id).into_owned();
    let own = tell.clone();
    let _ = tell.send(Asked { id, at, stream, decoder, tell: own });
}

/// Breaks a connection off: what the peer's system has not got is lost.
pub fn reset(stream: TcpStream) {
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}
