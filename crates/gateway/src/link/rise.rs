//! A connection's way up: both queues, until they take commands.

use std::io::{self, Read, Write};
use std::sync::Arc;
use std::time::Instant;

use bytes::BytesMut;
use may::net::TcpStream;
use nvme::{HostEvent, HostFault, Initiator, InitiatorOptions};
use transport::Outlet;

use super::{ADMIN_ENTRIES, Link, MAX_DATA, Phase, SPILL};
use crate::message::Message;

impl Link {
    /// Connects and brings both queues up; the watch ends it if it takes too long.
    pub(super) fn connect(self: &Arc<Self>) -> Result<TcpStream, LinkError> {
        let (mut admin_stream, admin, ready) = self.bring_up(0, 0, 8192)?;
        let HostEvent::Ready { cntlid, limits: Some(limits) } = ready else {
            return Err(LinkError::NoLimits);
        };
        let (stream, initiator, _) = self.bring_up(1, cntlid, limits.in_capsule)?;
        let outlet = Arc::new(Outlet::new(&stream, SPILL)?);
        let admin_outlet = Arc::new(Outlet::new(&admin_stream, SPILL)?);
        let (mut ended, mut dirty) = (Vec::new(), Vec::new());
        {
            let mut state = self.state();
            if state.phase == Phase::Over {
                return Err(LinkError::Over);
            }
            state.enter(Phase::Up);
            state.kept = Instant::now();
            state.queue = Some((initiator, outlet.clone()));
            state.admin = Some((admin, admin_outlet));
            while let Some(send) = state.waiting.pop_front() {
                let attempt = send.attempt;
                ended.extend(self.submit(&mut state, send, &mut dirty).map(|end| (attempt, end)));
            }
        }
        dirty.iter().for_each(Outlet::flush);
        ended.into_iter().for_each(|(a, end)| self.inbox.send(Message::Ended(a, end)));
        let link = self.clone();
        task::spawn("link-admin", move || {
            link.read_admin(&mut admin_stream);
            // Without its admin queue the association is over, and so is the I/O queue.
            outlet.close();
        })?;
        Ok(stream)
    }

    /// Opens a connection and goes all the way up to a queue that takes commands.
    fn bring_up(
        &self,
        qid: u16,
        cntlid: u16,
        in_capsule: u32,
    ) -> Result<(TcpStream, Initiator, HostEvent), LinkError> {
        // Danger: a timed connect takes its timer off the poller's list on a worker's thread while the poller walks it (`may`
        // 0.3.51, EventData::fast_schedule), by its source; not shown to have done harm here: test processes were aborted
        // with a damaged heap before and after it was taken out (docs/architecture.md). Harm: where a node's packets are swallowed the system's own time-out ends the try; what waits
        // for the link is ended in time by the watch all the same.
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        let _rising = Rising::new(self, &stream)?;
        let mut out = BytesMut::new();
        let options = InitiatorOptions {
            host: self.host.clone(),
            host_id: self.host_id,
            subsystem: self.options.subsystem.clone(),
            qid,
            cntlid,
            entries: if qid == 0 { ADMIN_ENTRIES } else { self.options.entries },
            kato: u32::try_from(self.options.keep_alive.as_millis()).unwrap_or(u32::MAX),
            digests: self.options.digests,
            in_capsule,
            max_data: MAX_DATA,
        };
        let mut initiator = Initiator::new(options, &mut out);
        let (mut buffer, mut events) = (vec![0; 8192], Vec::new());
        loop {
            stream.write_all(&out)?;
            out.clear();
            let n = stream.read(&mut buffer)?;
            if n == 0 {
                return Err(LinkError::Closed);
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

/// Names the connection that is on its way up, for the watch to end.
struct Rising<'a>(&'a Link);

impl<'a> Rising<'a> {
    fn new(link: &'a Link, stream: &TcpStream) -> io::Result<Self> {
        link.state().rising = Some(stream.inner().try_clone()?);
        Ok(Rising(link))
    }
}

impl Drop for Rising<'_> {
    fn drop(&mut self) {
        self.0.state().rising = None;
    }
}

/// Why a link did not come up.
#[derive(Debug, thiserror::Error)]
pub(super) enum LinkError {
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    #[error("it closed on the way up")]
    Closed,
    #[error("the controller did not identify itself")]
    NoLimits,
    #[error(transparent)]
    Host(#[from] HostFault),
    #[error("the link was ended")]
    Over,
}
