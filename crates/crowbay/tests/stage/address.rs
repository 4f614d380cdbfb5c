//! Addresses that are one's own.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

/// One that nobody else takes meanwhile: of the loopback's many, each process and call has its own.
pub fn own() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let ip = [127, high | 0x80, low, NEXT.fetch_add(1, Ordering::SeqCst)];
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a port");
    listener.local_addr().expect("its address")
}
