//! One connection asked for by its two addresses (sock_diag(7)): what that costs does not grow with the system's table.

use std::net::SocketAddr;

use netlink_packet_core::{NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::{AF_INET, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::{ExtensionFlags, InetRequest, InetResponse, SocketId, StateFlags};
use rustix::io::Errno;
use rustix::net::{AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType, netlink};

use super::kernel::End;

/// Any socket of these addresses.
const NO_COOKIE: [u8; 8] = [0xff; 8];

/// The end of a connection that is bound to `local`, while there is one.
pub fn end(local: SocketAddr, remote: SocketAddr) -> Option<End> {
    let found = ask(local, remote).expect("the system's answer")?.header;
    let id = &found.socket_id;
    // Where there is no connection the system finds who listens there.
    let is_it = (id.source_address, id.source_port) == (local.ip(), local.port())
        && (id.destination_address, id.destination_port) == (remote.ip(), remote.port());
    let end = End { state: found.state, unsent: found.send_queue.into(), unread: found.recv_queue.into() };
    is_it.then_some(end)
}

/// A request for exactly one connection; no list is made for it.
fn request(local: SocketAddr, remote: SocketAddr) -> Vec<u8> {
    let socket_id = SocketId {
        source_port: local.port(),
        destination_port: remote.port(),
        source_address: local.ip(),
        destination_address: remote.ip(),
        interface_id: 0,
        cookie: NO_COOKIE,
    };
    let (extensions, states) = (ExtensionFlags::empty(), StateFlags::all());
    let request = InetRequest { family: AF_INET, protocol: IPPROTO_TCP, extensions, states, socket_id };
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(request).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}

fn ask(local: SocketAddr, remote: SocketAddr) -> std::io::Result<Option<Box<InetResponse>>> {
    assert!(local.is_ipv4() && remote.is_ipv4(), "connections of these tests are of the loopback range");
    let kernel = rustix::net::socket_with(
        AddressFamily::NETLINK,
        SocketType::RAW,
        SocketFlags::CLOEXEC,
        Some(netlink::SOCK_DIAG),
    )?;
    rustix::net::send(&kernel, &request(local, remote), SendFlags::empty())?;
    let mut buffer = vec![0; 8 << 10];
    let (length, _) = rustix::net::recv(&kernel, &mut buffer[..], RecvFlags::empty())?;
    let answer = NetlinkMessage::<SockDiagMessage>::deserialize(&buffer[..length]);
    match answer.map_err(std::io::Error::other)?.payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(found)) => Ok(Some(found)),
        NetlinkPayload::Error(error) if error.raw_code() == -Errno::NOENT.raw_os_error() => Ok(None),
        NetlinkPayload::Error(error) => Err(error.to_io()),
        other => Err(std::io::Error::other(format!("{other:?}"))),
    }
}
