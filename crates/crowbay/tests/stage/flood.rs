//! A client that sends at full speed and reads whatever it is sent.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use super::LONG;

/// What a bad client is owed came after this time: an error, or a close.
pub struct Owed {
    pub after: Duration,
    pub said: String,
}

impl Owed {
    /// It is an error that is none of those which promise a harmless repeat, or an end without a word.
    pub fn is_right(&self) -> bool {
        let is_error = self.said.starts_with("HTTP/1.1 4") || self.said.starts_with("HTTP/1.1 5");
        let repeats = self.said.starts_with("HTTP/1.1 429") || self.said.starts_with("HTTP/1.1 503");
        self.said.is_empty() || is_error && !repeats
    }
}

/// Sends this and then `more` again and again, so many bytes in all, until there is an error or an end.
pub fn flood(to: SocketAddr, first: &str, more: &[u8], bytes: usize) -> Owed {
    let begun = Instant::now();
    let stream = TcpStream::connect(to);
    let Ok(mut stream) = stream else {
        return Owed { after: begun.elapsed(), said: String::new() };
    };
    stream.set_nonblocking(true).expect("it need not block");
    let (mut said, mut buffer) = (Vec::new(), vec![0; 16 << 10]);
    let (mut sent, mut rest) = (0, first.as_bytes());
    loop {
        assert!(begun.elapsed() < LONG, "neither an error nor a close: {}", String::from_utf8_lossy(&said));
        let mut moved = false;
        if rest.is_empty() && sent < bytes {
            rest = more;
        }
        // What cannot be written is told by what is read.
        if let Ok(n) = stream.write(rest) {
            (moved, sent, rest) = (n > 0, sent + n, &rest[n..]);
        }
        let over = match stream.read(&mut buffer) {
            Ok(0) => true,
            Ok(n) => {
                said.extend_from_slice(&buffer[..n]);
                true
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => false,
            Err(_) => true,
        };
        if over {
            return Owed { after: begun.elapsed(), said: String::from_utf8_lossy(&said).into_owned() };
        }
        if !moved {
            // Both ways wait for the gateway.
            thread::sleep(Duration::from_millis(1));
        }
    }
}
