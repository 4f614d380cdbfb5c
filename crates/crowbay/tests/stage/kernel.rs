//! What the system knows of connections of this machine: how far they are, and what was not read.

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use super::until;

/// On its way up.
const RISING: u8 = 2;
/// Both may send.
pub const OPEN: u8 = 1;

/// Between two looks of one thread at the system's table.
const PAUSE: Duration = Duration::from_millis(5);

/// One end of a connection.
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

fn ends(mut fits: impl FnMut(SocketAddr, SocketAddr) -> bool) -> Vec<End> {
    // Thousands of ended connections may stand in it for a minute, and whoever waits reads it again and again.
    thread::sleep(PAUSE);
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the system's table");
    let read = |line: &str| {
        let mut words = line.split_ascii_whitespace().skip(1);
        let (local, remote) = (address(words.next()?)?, address(words.next()?)?);
        let state = u8::from_str_radix(words.next()?, 16).ok()?;
        let (unsent, unread) = words.next()?.split_once(':')?;
        let number = |text| u64::from_str_radix(text, 16).ok();
        let end = End { state, unsent: number(unsent)?, unread: number(unread)? };
        fits(local, remote).then_some(end)
    };
    table.lines().skip(1).filter_map(read).collect()
}

/// Connections to an address that are on their way up.
pub fn rising(to: SocketAddr) -> usize {
    ends(|_, remote| remote == to).iter().filter(|e| e.state == RISING).count()
}

/// Connections to an address that are up, by those who opened them.
pub fn open(to: SocketAddr) -> usize {
    ends(|_, remote| remote == to).iter().filter(|e| e.state == OPEN).count()
}

/// The other end of a connection of ours, while there is one.
pub fn other(own: &TcpStream) -> Option<End> {
    let (here, there) = (own.local_addr().ok()?, own.peer_addr().ok()?);
    ends(|local, remote| local == there && remote == here).pop()
}

/// Our end of it.
fn here(own: &TcpStream) -> Option<End> {
    let (here, there) = (own.local_addr().ok()?, own.peer_addr().ok()?);
    ends(|local, remote| local == here && remote == there).pop()
}

/// Waits until the peer has read all that was written here, or the connection is over.
pub fn until_read(own: &TcpStream) {
    until("all is read", || {
        here(own).is_none_or(|e| e.unsent == 0) && other(own).is_none_or(|e| e.unread == 0)
    });
}
