//! Just enough HTTP/1.1 for the stand-ins: messages with a stated length, with the kernel's times of their first and last bytes.

use std::io::{self, ErrorKind, IoSliceMut, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use nix::sys::socket::{ControlMessageOwned, MsgFlags, SockaddrIn, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;

use crate::records::{MILLI, Micros, now};

/// Fields of a head at most.
const FIELDS: usize = 32;
/// Bytes read at a time.
const READ: usize = 16 << 10;
/// The shortest time that a socket waits.
const SHORTEST: Micros = MILLI;

/// Why no message came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoMessage {
    /// The connection ended, or was reset, before a byte of it.
    Ended,
    /// The connection ended within it, or it cannot be read.
    Cut,
    /// The time was over.
    Late,
}

/// A message with a stated length.
#[derive(Debug)]
pub(crate) struct Message {
    /// The first line's words: method and target, or the status.
    pub(crate) first: (String, String),
    fields: Vec<(String, Vec<u8>)>,
    pub(crate) body: Vec<u8>,
    /// When its first byte came.
    pub(crate) begun: Micros,
    /// When its last byte came.
    pub(crate) whole: Micros,
}

impl Message {
    /// A field, by its name in lower case.
    pub(crate) fn field(&self, name: &str) -> Option<String> {
        let field = self.fields.iter().find(|(own, _)| own == name);
        field.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
    }

    /// A field that is a number.
    pub(crate) fn number(&self, name: &str) -> Option<i64> {
        self.field(name)?.trim().parse().ok()
    }

    /// Whether its sender ends the connection behind it.
    pub(crate) fn is_last(&self) -> bool {
        self.field("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Which messages a side reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    /// Reads requests.
    Server,
    /// Reads answers.
    Client,
}

/// A connection of a stand-in.
#[derive(Debug)]
pub(crate) struct Wire {
    stream: TcpStream,
    side: Side,
    buffer: Vec<u8>,
    /// When the first and last bytes in the buffer came.
    begun: Micros,
    came: Micros,
}

impl Wire {
    pub(crate) fn new(stream: TcpStream, side: Side) -> io::Result<Wire> {
        stream.set_nodelay(true)?;
        setsockopt(&stream, sockopt::ReceiveTimestampns, &true)?;
        Ok(Wire { stream, side, buffer: Vec::new(), begun: 0, came: 0 })
    }

    pub(crate) fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The next message, until a time.
    pub(crate) fn read(&mut self, until: Micros) -> Result<Message, NoMessage> {
        loop {
            if let Some(message) = self.parse()? {
                return Ok(message);
            }
            let left = until - now();
            if left <= 0 {
                return Err(NoMessage::Late);
            }
            let wait = Duration::from_micros(left.max(SHORTEST) as u64);
            if self.stream.set_read_timeout(Some(wait)).is_err() {
                return Err(self.end());
            }
            match self.receive() {
                Ok(0) => return Err(self.end()),
                Ok(_) => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(self.end()),
            }
        }
    }

    /// Whether the other side ends the connection before a time; what it sends is kept.
    pub(crate) fn ends_before(&mut self, until: Micros) -> bool {
        loop {
            let left = until - now();
            if left <= 0 {
                return false;
            }
            let wait = Duration::from_micros(left.max(SHORTEST) as u64);
            if self.stream.set_read_timeout(Some(wait)).is_err() {
                return true;
            }
            match self.receive() {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return true,
            }
        }
    }

    /// Breaks the connection off.
    pub(crate) fn reset(self) {
        let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
        // Where it is gone already, there is nothing to break off.
        let _ = setsockopt(&self.stream, sockopt::Linger, &linger);
    }

    /// Another handle to end it by.
    pub(crate) fn handle(&self) -> io::Result<TcpStream> {
        self.stream.try_clone()
    }

    /// Whether bytes have come that were not read as a message.
    pub(crate) fn has_more(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn end(&self) -> NoMessage {
        if self.buffer.is_empty() { NoMessage::Ended } else { NoMessage::Cut }
    }

    fn receive(&mut self) -> io::Result<usize> {
        let mut piece = [0; READ];
        let mut control = nix::cmsg_space!(TimeSpec);
        let mut slices = [IoSliceMut::new(&mut piece)];
        let descriptor = self.stream.as_raw_fd();
        let (count, time) = {
            let message =
                recvmsg::<SockaddrIn>(descriptor, &mut slices, Some(&mut control), MsgFlags::empty())?;
            let stamp = message.cmsgs().ok().into_iter().flatten().find_map(|control| match control {
                ControlMessageOwned::ScmTimestampns(time) => {
                    Some(time.tv_sec() * 1_000_000 + time.tv_nsec() / 1_000)
                }
                _ => None,
            });
            (message.bytes, stamp.unwrap_or_else(now))
        };
        if self.buffer.is_empty() {
            self.begun = time;
        }
        self.came = time;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    fn parse(&mut self) -> Result<Option<Message>, NoMessage> {
        let mut fields = [httparse::EMPTY_HEADER; FIELDS];
        let (length, first, fields) = match self.side {
            Side::Server => {
                let mut request = httparse::Request::new(&mut fields);
                let parsed = request.parse(&self.buffer).map_err(|_| NoMessage::Cut)?;
                let httparse::Status::Complete(length) = parsed else { return Ok(None) };
                let word = |word: Option<&str>| word.unwrap_or_default().to_owned();
                (length, (word(request.method), word(request.path)), owned(request.headers))
            }
            Side::Client => {
                let mut answer = httparse::Response::new(&mut fields);
                let parsed = answer.parse(&self.buffer).map_err(|_| NoMessage::Cut)?;
                let httparse::Status::Complete(length) = parsed else { return Ok(None) };
                (length, (answer.code.unwrap_or(0).to_string(), String::new()), owned(answer.headers))
            }
        };
        let mut message = Message { first, fields, body: Vec::new(), begun: self.begun, whole: self.came };
        let all = length + message.number("content-length").unwrap_or(0).max(0) as usize;
        if self.buffer.len() < all {
            return Ok(None);
        }
        message.body = self.buffer[length..all].to_vec();
        self.buffer.drain(..all);
        self.begun = self.came;
        Ok(Some(message))
    }
}

fn owned(fields: &[httparse::Header<'_>]) -> Vec<(String, Vec<u8>)> {
    fields.iter().map(|field| (field.name.to_ascii_lowercase(), field.value.to_vec())).collect()
}

/// Ends a connection both ways; whoever waits for it returns.
pub(crate) fn shut(stream: &TcpStream) {
    // One that has ended already needs no end.
    let _ = stream.shutdown(Shutdown::Both);
}

/// Breaks a connection off from another handle: whoever waits for it returns, and its last handle resets it.
pub(crate) fn break_off(stream: &TcpStream) {
    let linger = nix::libc::linger { l_onoff: 1, l_linger: 0 };
    // One that has ended already needs no end.
    let _ = setsockopt(stream, sockopt::Linger, &linger);
    let _ = stream.shutdown(Shutdown::Read);
}

/// An answer with a body.
pub(crate) fn answer(status: u16, fields: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} Said\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}
