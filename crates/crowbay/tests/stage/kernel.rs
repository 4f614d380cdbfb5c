//! What the system knows of connections of this machine: how far they are, and what was not read.

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use super::{sock_diag, until};

/// On its way up.
const RISING: u8 = 2;
/// Both may send.
pub const OPEN: u8 = 1;

/// Between two looks of one thread at the system's table.
const PAUSE: Duration = Duration::from_millis(5);

/// One end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct End {
    pub state: u8,
    /// Bytes that its owner wrote and the peer's system has not taken.
    pub unsent: u64,
    /// Bytes that came and its owner has not read.
    pub unread: u64,
}

fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.to_le_bytes();
    Some(SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?)))
}

/// How many connections to an address are in this state.
fn count(to: SocketAddr, state: u8) -> usize {
    // Thousands of ended connections may stand in it for a minute, and whoever waits reads it again and again.
    thread::sleep(PAUSE);
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let read = |line: &str| {
        let mut words = line.split_ascii_whitespace().skip(2);
        let remote = address(words.next()?)?;
        Some((remote, u8::from_str_radix(words.next()?, 16).ok()?))
    };
    table.lines().skip(1).filter_map(read).filter(|found| *found == (to, state)).count()
}

/// Connections to an address that are on their way up.
pub fn rising(to: SocketAddr) -> usize {
    count(to, RISING)
}

/// Connections to an address that are up, by those who opened them.
pub fn open(to: SocketAddr) -> usize {
    count(to, OPEN)
}

/// The other end of a connection of ours, while there is one.
pub fn other(own: &TcpStream) -> Option<End> {
    sock_diag::end(own.peer_addr().ok()?, own.local_addr().ok()?)
}

/// Our end of it.
fn here(own: &TcpStream) -> Option<End> {
    sock_diag::end(own.local_addr().ok()?, own.peer_addr().ok()?)
}

/// Waits until the peer has read all that was written here, or the connection is over.
pub fn until_read(own: &TcpStream) {
    until("all is read", || {
        here(own).is_none_or(|e| e.unsent == 0) && other(own).is_none_or(|e| e.unread == 0)
    });
}
