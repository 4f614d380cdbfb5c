//! A link to a node: an admin queue and an I/O queue, brought up when needed and kept.

mod answers;
mod rise;

use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use bytes::Bytes;
use decisions::Outcome;
use may::sync::Semphore;
use nvme::{GatherList, Initiator, Sqe, Submission, admin};
use storage_core::{AttemptId, End, Send};

use crate::message::{Inbox, Message};
use crate::options::LinkOptions;
use answers::submission;
use transport::Outlet;

/// Bytes read at a time.
const READ: usize = 64 * 1024;
/// Bytes that wait for a node which does not read, at most.
const SPILL: usize = 64 << 20;
/// Entries of the admin queue.
const ADMIN_ENTRIES: u32 = 8;
/// Most bytes that a node may send in one PDU.
const MAX_DATA: usize = 1 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No connection; the next send asks for one.
    Down,
    /// On its way up; sends wait for it.
    Connecting,
    Up,
    /// The node has another address or the gateway ends.
    Over,
}

struct State {
    phase: Phase,
    /// Since when.
    since: Instant,
    queue: Option<(Initiator, Arc<Outlet>)>,
    admin: Option<(Initiator, Arc<Outlet>)>,
    /// When the last keep alive went out.
    kept: Instant,
    /// The connection that is on its way up.
    rising: Option<std::net::TcpStream>,
    /// Sends that wait for the connection: never sent, should it not come.
    waiting: VecDeque<Send>,
    /// Attempts out by the number under which they were submitted, and since when.
    flights: HashMap<u64, (AttemptId, Instant)>,
    next: u64,
}

/// A link to one address of a node.
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    options: LinkOptions,
    host: String,
    host_id: [u8; 16],
    inbox: Inbox,
    state: Mutex<State>,
    wanted: Semphore,
}

impl Link {
    /// Starts a link; it connects at once.
    pub(crate) fn start(
        address: SocketAddr,
        options: LinkOptions,
        host: String,
        host_id: [u8; 16],
        inbox: Inbox,
    ) -> io::Result<Arc<Link>> {
        let state = State {
            phase: Phase::Connecting,
            since: Instant::now(),
            queue: None,
            admin: None,
            kept: Instant::now(),
            rising: None,
            waiting: VecDeque::new(),
            flights: HashMap::new(),
            next: 0,
        };
        let link = Arc::new(Link {
            address,
            options,
            host,
            host_id,
            inbox,
            state: Mutex::new(state),
            wanted: Semphore::new(0),
        });
        let runner = link.clone();
        task::spawn("link", move || runner.run())?;
        Ok(link)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// The phase, for people.
    pub(crate) fn phase(&self) -> &'static str {
        match self.state().phase {
            Phase::Down => "down",
            Phase::Connecting => "connecting",
            Phase::Up => "up",
            Phase::Over => "over",
        }
    }

    /// Ends the link: what is out may have run.
    pub(crate) fn end(&self) {
        let mut state = self.state();
        state.enter(Phase::Over);
        close(&mut state);
        drop(state);
        self.wanted.post();
    }

    /// Sends an attempt, or keeps it until the connection is up. Its end is reported once, unless it is forgotten.
    /// `Some` is an end known at once: it never went out. An outlet to be flushed is added to `dirty`.
    pub(crate) fn send(&self, send: Send, dirty: &mut Vec<Arc<Outlet>>) -> Option<End> {
        let mut state = self.state();
        match state.phase {
            Phase::Over => Some(End::of(Outcome::Unreachable)),
            Phase::Connecting => {
                state.waiting.push_back(send);
                None
            }
            Phase::Down => {
                state.enter(Phase::Connecting);
                state.waiting.push_back(send);
                drop(state);
                self.wanted.post();
                None
            }
            Phase::Up => self.submit(&mut state, send, dirty),
        }
    }

    /// Danger: attempts that nobody waits for any more still hold places in the node's queue. Where one has done so
    /// for longer than the command time-out and there is no room, the link is broken and made anew. Until then a full
    /// queue reports that the attempt never ran. Covers nodes that lose commands. Harm: what else is out is lost too.
    fn submit(&self, state: &mut State, send: Send, dirty: &mut Vec<Arc<Outlet>>) -> Option<End> {
        let Some((initiator, outlet)) = &mut state.queue else { return Some(End::of(Outcome::Unreachable)) };
        let mut submitted = None;
        let due = outlet.append(|out| submitted = initiator.submit(submission(&send, state.next), out));
        if due {
            dirty.push(outlet.clone());
        }
        if submitted.is_none() {
            let stuck = state.flights.values().any(|f| f.1.elapsed() > self.options.command_timeout);
            if stuck {
                tracing::warn!(address = %self.address, "commands are stuck at a node; its link is made anew");
                outlet.close();
            }
            return Some(End::of(Outcome::Unreachable));
        }
        state.flights.insert(state.next, (send.attempt, Instant::now()));
        state.next += 1;
        None
    }

    /// Nobody waits for an attempt any more: if it has not gone out, it never will.
    pub(crate) fn forget(&self, attempt: AttemptId) {
        self.state().waiting.retain(|s| s.attempt != attempt);
    }

    fn run(self: Arc<Self>) {
        loop {
            match self.connect() {
                Ok(mut stream) => {
                    tracing::info!(address = %self.address, "link up");
                    self.read(&mut stream);
                }
                Err(error) => tracing::debug!(address = %self.address, %error, "no link"),
            }
            if self.broke() {
                return;
            }
            // A send asks for the next connection at once; unasked it is tried after a pause, when the watch says so.
            while self.wanted.try_wait() {}
            if self.state().phase == Phase::Down {
                self.wanted.wait();
            }
            let mut state = self.state();
            match state.phase {
                Phase::Over => return,
                Phase::Connecting => {}
                Phase::Down | Phase::Up => state.enter(Phase::Connecting),
            }
        }
    }

    /// Looks after the link's times; called by the engine's housekeeping, as no coroutine waits with a time
    /// (ticker.rs). A way up that takes too long ends, with what waited for it; a pause ends; the association is kept
    /// alive, and a node that has not answered that for a whole time-out loses its link.
    pub(crate) fn watch(&self) {
        let mut state = self.state();
        let mut late = VecDeque::new();
        match state.phase {
            Phase::Connecting if state.since.elapsed() > self.options.connect_timeout => {
                late = std::mem::take(&mut state.waiting);
                if let Some(rising) = &state.rising {
                    let _ = rising.shutdown(Shutdown::Both); // Its reader wakes and gives up.
                }
            }
            Phase::Down if state.since.elapsed() > self.options.reconnect_pause => self.wanted.post(),
            Phase::Up if state.kept.elapsed() > self.options.keep_alive / 2 => self.keep_alive(&mut state),
            _ => {}
        }
        drop(state);
        late.into_iter()
            .for_each(|s| self.inbox.send(Message::Ended(s.attempt, End::of(Outcome::Unreachable))));
    }

    fn keep_alive(&self, state: &mut State) {
        let Some((initiator, outlet)) = &mut state.admin else { return };
        if initiator.outstanding() > 0 {
            if state.kept.elapsed() > self.options.keep_alive {
                tracing::warn!(address = %self.address, "a node does not answer its keep alive; its link is broken");
                close(state);
            }
            return;
        }
        let mut out = GatherList::new();
        let sqe = Sqe::new(admin::KEEP_ALIVE);
        initiator.submit(Submission { sqe, data: Bytes::new(), expect: 0, user: 0 }, &mut out);
        outlet.push(out);
        state.kept = Instant::now();
    }

    /// The connection is gone or never came: what went out may have run, what waited never did. Whether the link ends.
    fn broke(&self) -> bool {
        let (flights, waiting, over) = {
            let mut state = self.state();
            close(&mut state);
            let over = state.phase == Phase::Over;
            if !over {
                state.enter(Phase::Down);
            }
            (std::mem::take(&mut state.flights), std::mem::take(&mut state.waiting), over)
        };
        let mut lost: Vec<AttemptId> = flights.into_values().map(|f| f.0).collect();
        lost.sort();
        lost.into_iter().for_each(|a| self.inbox.send(Message::Ended(a, End::of(Outcome::Reset))));
        waiting
            .into_iter()
            .for_each(|s| self.inbox.send(Message::Ended(s.attempt, End::of(Outcome::Unreachable))));
        over
    }
}

impl State {
    fn enter(&mut self, phase: Phase) {
        (self.phase, self.since) = (phase, Instant::now());
    }
}

fn close(state: &mut State) {
    if let Some((_, outlet)) = state.queue.take() {
        outlet.close();
    }
    if let Some((_, admin)) = state.admin.take() {
        admin.close();
    }
}
