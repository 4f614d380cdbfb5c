//! A client connection, shared by the engine and the coroutine that reads from it.

use std::sync::{Arc, Mutex, MutexGuard};

pub(crate) use limits::ConnectionId;
use nvme::{Completion, Session, Target};

use transport::Outlet;

/// A client connection: its outlet and its protocol session.
pub(crate) struct Connection {
    pub(crate) id: ConnectionId,
    pub(crate) outlet: Arc<Outlet>,
    session: Mutex<Session>,
}

impl Connection {
    pub(crate) fn new(id: ConnectionId, outlet: Arc<Outlet>, session: Session) -> Self {
        Connection { id, outlet, session: Mutex::new(session) }
    }

    pub(crate) fn session(&self) -> MutexGuard<'_, Session> {
        self.session.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Queues the completion of a command, without a retry delay if the host did not ask for delays. It goes
    /// out with the next flush. Returns whether a flush is needed.
    pub(crate) fn complete(&self, cid: u16, mut completion: Completion, target: &Mutex<Target>) -> bool {
        let mut session = self.session();
        if !completion.status.is_success() {
            let mut target = target.lock().unwrap_or_else(|p| p.into_inner());
            completion.status = session.allowed(completion.status, &mut target);
        }
        self.outlet.append(|out| {
            session.complete(cid, completion, out);
        })
    }
}
