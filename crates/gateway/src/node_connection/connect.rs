//! Connection establishment: the handshake of both queues until they accept commands.

use std::io::{self, Read, Write};
use std::sync::Arc;
use std::time::Instant;

use bytes::BytesMut;
use may::net::TcpStream;
use nvme::{HostEvent, HostFault, Initiator, InitiatorOptions};
use transport::Outlet;

use super::command_queue::CommandQueue;
use super::{ADMIN_QUEUE_ENTRIES, MAX_PDU_DATA, MAX_UNSENT_BYTES, NodeConnection, Phase};
use crate::message::Message;

/// Bytes of in-capsule data assumed for the admin queue.
const ADMIN_IN_CAPSULE_BYTES: u32 = 8192;
/// Bytes read at a time during the handshake.
const HANDSHAKE_BUFFER_BYTES: usize = 8192;

impl NodeConnection {
    /// Connects and completes the handshake of both queues. Only the operating system's timeout ends the TCP
    /// connect itself; after it, `check_timeouts` ends a handshake that takes too long.
    pub(super) fn connect(self: &Arc<Self>) -> Result<TcpStream, ConnectError> {
        let (mut admin_stream, admin, ready) = self.handshake(0, 0, ADMIN_IN_CAPSULE_BYTES)?;
        let HostEvent::Ready { cntlid, limits: Some(limits) } = ready else {
            return Err(ConnectError::NotIdentified);
        };
        let (stream, initiator, _) = self.handshake(1, cntlid, limits.in_capsule)?;
        let (inbox, node) = (self.inbox.clone(), self.node);
        let queue = CommandQueue::new(initiator, &stream, move || inbox.send(Message::NodeWritable(node)))?;
        let close_queue = queue.closer();
        let admin_outlet = Arc::new(Outlet::new(&admin_stream, MAX_UNSENT_BYTES)?);
        {
            let mut state = self.state();
            if state.phase == Phase::Closed {
                return Err(ConnectError::Closed);
            }
            state.enter(Phase::Up);
            state.last_keep_alive = Instant::now();
            state.queue = Some(queue);
            state.admin = Some((admin, admin_outlet));
        }
        // Attempts that waited for the connection are asked about by the engine before they are written.
        self.inbox.send(Message::NodeWritable(self.node));
        let connection = self.clone();
        task::spawn("link-admin", move || {
            let _ = panics::contain(|| connection.read_admin(&mut admin_stream));
            // Losing the admin queue ends the association, and with it the I/O queue.
            close_queue();
        })?;
        Ok(stream)
    }

    /// Opens a connection and completes the handshake, until its queue accepts commands.
    fn handshake(
        &self,
        qid: u16,
        cntlid: u16,
        in_capsule: u32,
    ) -> Result<(TcpStream, Initiator, HostEvent), ConnectError> {
        // No connect timeout: according to the source of `may` 0.3.51 (EventData::fast_schedule), a timed
        // connect removes its timer from the poller's list on a worker's thread while the poller walks that
        // list. It was not shown to have done harm here: test processes were aborted with a corrupted heap
        // before and after the timed connect was removed (docs/architecture.md). The cost is that where a
        // node's packets are dropped, only the operating system's timeout ends the attempt to connect; sends
        // that wait for the connection are still ended in time by `check_timeouts`.
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        let _connecting = ConnectingSocket::new(self, &stream)?;
        let mut out = BytesMut::new();
        let options = InitiatorOptions {
            host: self.host.clone(),
            host_id: self.host_id,
            subsystem: self.options.subsystem.clone(),
            qid,
            cntlid,
            entries: if qid == 0 { ADMIN_QUEUE_ENTRIES } else { self.options.entries },
            kato: u32::try_from(self.options.keep_alive.as_millis()).unwrap_or(u32::MAX),
            digests: self.options.digests,
            in_capsule,
            max_data: MAX_PDU_DATA,
        };
        let mut initiator = Initiator::new(options, &mut out);
        let (mut buffer, mut events) = (vec![0; HANDSHAKE_BUFFER_BYTES], Vec::new());
        loop {
            stream.write_all(&out)?;
            out.clear();
            let n = stream.read(&mut buffer)?;
            if n == 0 {
                return Err(ConnectError::ClosedByNode);
            }
            initiator.receive(&buffer[..n], &mut out, &mut events);
            match events.pop() {
                None => {}
                Some(HostEvent::Fault(fault)) => return Err(fault.into()),
                Some(ready) => return Ok((stream, initiator, ready)),
            }
        }
    }
}

/// Registers the socket whose handshake is in progress, so that `check_timeouts` can shut it down.
struct ConnectingSocket<'a>(&'a NodeConnection);

impl<'a> ConnectingSocket<'a> {
    fn new(connection: &'a NodeConnection, stream: &TcpStream) -> io::Result<Self> {
        connection.state().connecting_socket = Some(stream.inner().try_clone()?);
        Ok(ConnectingSocket(connection))
    }
}

impl Drop for ConnectingSocket<'_> {
    fn drop(&mut self) {
        self.0.state().connecting_socket = None;
    }
}

/// Why a connection could not be established.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    #[error("the node closed the connection during the handshake")]
    ClosedByNode,
    #[error("the controller did not identify itself")]
    NotIdentified,
    #[error(transparent)]
    Protocol(#[from] HostFault),
    #[error("the connection was closed for good")]
    Closed,
}
