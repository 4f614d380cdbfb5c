//! Gives way to sockets.
//!
//! The runtime asks the system which sockets are ready only once no coroutine is ready to run. Two coroutines
//! that keep waking each other, such as an engine and the reader of a socket that always has input, would
//! therefore keep all other sockets from being noticed. A coroutine that may go on for long without waiting
//! for a socket calls [`yield_to_poller`] now and then: it goes on after the runtime has asked the system.

use std::os::fd::{AsRawFd, RawFd};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

use may::io::{CoIo, WaitIo};
use may::sync::Semphore;
use nix::sys::eventfd::{EfdFlags, EventFd};
use nix::unistd::read;

static POLLER: OnceLock<Option<Poller>> = OnceLock::new();

/// The coroutines that wait for the next poll, and the event that the poll reports.
struct Poller {
    event: Arc<EventFd>,
    waiting: Arc<Mutex<Vec<Arc<Semphore>>>>,
}

/// Waits until the runtime has asked the system which sockets are ready, and the coroutines of those that are
/// have run. Outside of a coroutine it does nothing.
pub fn yield_to_poller() {
    if !may::coroutine::is_coroutine() {
        return;
    }
    match POLLER.get_or_init(Poller::start) {
        Some(poller) => poller.wait(),
        // Without a descriptor there is no event to wait for.
        None => may::coroutine::yield_now(),
    }
}

/// Units of work of a coroutine after which sockets get their turn; a unit is about a request or 4 KiB of data.
const UNITS_PER_TURN: usize = 512;

/// Work of a coroutine that serves one connection, bounded between two polls of the sockets.
#[derive(Debug)]
pub struct WorkBudget {
    left: usize,
}

impl WorkBudget {
    /// Bytes of data that count as one unit of work, like a request.
    pub const BYTES_PER_UNIT: usize = 4096;

    /// Counts work that was done, one unit at least, and gives way to sockets when the budget is used up.
    pub fn spend(&mut self, units: usize) {
        self.left = self.left.saturating_sub(units.max(1));
        if self.left == 0 {
            yield_to_poller();
            *self = WorkBudget::default();
        }
    }
}

impl Default for WorkBudget {
    fn default() -> Self {
        WorkBudget { left: UNITS_PER_TURN }
    }
}

/// Starts what [`yield_to_poller`] needs, while a descriptor is certainly left.
pub(crate) fn start() {
    POLLER.get_or_init(Poller::start);
}

impl Poller {
    fn start() -> Option<Poller> {
        let event = EventFd::from_flags(EfdFlags::EFD_NONBLOCK | EfdFlags::EFD_CLOEXEC).ok()?;
        let event = Arc::new(event);
        let waiting = Arc::default();
        let io = CoIo::new(EventDescriptor(event.clone())).ok()?;
        let poller = Poller { event, waiting };
        let (event, waiting) = (poller.event.clone(), poller.waiting.clone());
        crate::spawn("poller", move || release_after_polls(&io, &event, &waiting)).ok()?;
        Some(poller)
    }

    fn wait(&self) {
        let permit = Arc::new(Semphore::new(0));
        let is_first = {
            let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
            waiting.push(permit.clone());
            waiting.len() == 1
        };
        // A failure means that the event's counter is full: the next poll reports it anyway.
        if is_first {
            let _ = self.event.write(1);
        }
        permit.wait();
    }
}

/// Lets those who wait go on whenever a poll has reported the event.
fn release_after_polls(io: &CoIo<EventDescriptor>, event: &EventFd, waiting: &Mutex<Vec<Arc<Semphore>>>) {
    loop {
        io.wait_io();
        // Resets the event, so that the next write is reported again; it fails if nothing was written.
        let _ = read(event, &mut [0; size_of::<u64>()]);
        let released = std::mem::take(&mut *waiting.lock().unwrap_or_else(PoisonError::into_inner));
        released.iter().for_each(|permit| permit.post());
    }
}

/// The event's descriptor in the form that a coroutine waits on.
struct EventDescriptor(Arc<EventFd>);

impl AsRawFd for EventDescriptor {
    fn as_raw_fd(&self) -> RawFd {
        use std::os::fd::AsFd;
        self.0.as_fd().as_raw_fd()
    }
}
