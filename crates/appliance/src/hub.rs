//! The socket's server: many consoles, none of which holds up another.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::view::SiteView;
use crate::wire::{self, Answer, FromConsole, Hello, Question, ToConsole, Update, VERSION};

/// Consoles at a time.
const CONSOLES: usize = 64;
/// Updates that wait for a console; one more, and it gets a fresh snapshot in place of them all.
const BACKLOG: usize = 64;
/// Questions of one console that are open at a time; its next is read when one is answered.
const OPEN: usize = 16;

/// A question on its way to the site.
pub(crate) struct Asked {
    pub(crate) console: Arc<Console>,
    pub(crate) who: String,
    pub(crate) number: u64,
    pub(crate) question: Question,
}

#[derive(Default)]
struct Outbox {
    answers: VecDeque<Vec<u8>>,
    updates: VecDeque<Vec<u8>>,
    subscribed: bool,
    /// It missed updates.
    behind: bool,
    open: usize,
    closed: bool,
    /// An answer is being written.
    writing: bool,
}

/// A console as the site sees it.
pub(crate) struct Console {
    id: u64,
    outbox: Mutex<Outbox>,
    wake: Condvar,
}

impl Console {
    fn outbox(&self) -> MutexGuard<'_, Outbox> {
        self.outbox.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// Answers a question; a console that is gone gets none.
    pub(crate) fn answer(&self, number: u64, answer: Answer) {
        let mut outbox = self.outbox();
        outbox.open = outbox.open.saturating_sub(1);
        if let Ok(bytes) = wire::frame(&ToConsole::Answer { number, answer }) {
            outbox.answers.push_back(bytes);
        }
        self.wake.notify_all();
    }

    pub(crate) fn subscribe(&self) {
        let mut outbox = self.outbox();
        (outbox.subscribed, outbox.behind) = (true, true);
        self.wake.notify_all();
    }
}

/// All consoles.
pub(crate) struct Hub {
    consoles: Mutex<Vec<Arc<Console>>>,
    view: Mutex<Arc<SiteView>>,
    next: AtomicU64,
}

impl Hub {
    /// Serves a socket. One that an earlier process left behind is replaced.
    pub(crate) fn serve(path: &Path, site: String, to_site: Sender<Asked>) -> io::Result<Arc<Hub>> {
        match std::fs::remove_file(path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
        let hub =
            Arc::new(Hub { consoles: Mutex::default(), view: Mutex::default(), next: AtomicU64::new(0) });
        let serves = hub.clone();
        std::thread::Builder::new().name("consoles".into()).spawn(move || {
            for stream in listener.incoming().flatten() {
                let (hub, site, to_site) = (serves.clone(), site.clone(), to_site.clone());
                let spawned = std::thread::Builder::new().name("console".into()).spawn(move || {
                    // A console that goes away half-way ends its own connection only.
                    let _ = hub.converse(stream, &site, &to_site);
                });
                drop(spawned); // Out of threads, the console is closed and may come again.
            }
        })?;
        Ok(hub)
    }

    fn consoles(&self) -> MutexGuard<'_, Vec<Arc<Console>>> {
        self.consoles.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// The view from now on, for snapshots.
    pub(crate) fn set_view(&self, view: SiteView) {
        *self.view.lock().unwrap_or_else(|p| p.into_inner()) = Arc::new(view);
    }

    /// Waits until the answers given so far are written, or the time is up: a console that never reads is not waited for
    /// longer.
    pub(crate) fn settle(&self, within: Duration) {
        let end = Instant::now() + within;
        for console in self.consoles().clone() {
            let mut outbox = console.outbox();
            while (outbox.writing || !outbox.answers.is_empty()) && !outbox.closed && Instant::now() < end {
                let left = end.saturating_duration_since(Instant::now());
                outbox = console.wake.wait_timeout(outbox, left).unwrap_or_else(|p| p.into_inner()).0;
            }
        }
    }

    /// Hands an update to every console that subscribed.
    pub(crate) fn publish(&self, update: Update) {
        let consoles = self.consoles().clone();
        if consoles.is_empty() {
            return;
        }
        let Ok(bytes) = wire::frame(&ToConsole::Update(update)) else { return };
        for console in consoles {
            let mut outbox = console.outbox();
            if !outbox.subscribed || outbox.behind {
                continue;
            }
            if outbox.updates.len() >= BACKLOG {
                outbox.updates.clear();
                outbox.behind = true;
            } else {
                outbox.updates.push_back(bytes.clone());
            }
            console.wake.notify_all();
        }
    }

    fn converse(&self, mut stream: UnixStream, site: &str, to_site: &Sender<Asked>) -> io::Result<()> {
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let Some(hello) = wire::read::<Hello>(&mut stream)? else { return Ok(()) };
        let full = self.consoles().len() >= CONSOLES;
        if hello.version != VERSION || full {
            let why = if full {
                format!("{CONSOLES} consoles are open already; close one")
            } else {
                "use the console of the same release as the appliance".into()
            };
            return wire::write(&mut stream, &ToConsole::Turned { version: VERSION, why });
        }
        stream.set_read_timeout(None)?;
        wire::write(&mut stream, &ToConsole::Welcome { version: VERSION, site: site.to_owned() })?;
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let console = Arc::new(Console { id, outbox: Mutex::default(), wake: Condvar::new() });
        self.consoles().push(console.clone());
        std::thread::scope(|scope| {
            let own = &console;
            let mut writer = stream.try_clone()?;
            let writes =
                std::thread::Builder::new().name("console-write".into()).spawn_scoped(scope, move || {
                    let _ = self.write(own, &mut writer);
                    let _ = writer.shutdown(std::net::Shutdown::Both); // Its reader ends too.
                });
            let read = self.read(own, &mut stream, &hello.who, to_site);
            own.outbox().closed = true;
            own.wake.notify_all();
            let _ = stream.shutdown(std::net::Shutdown::Both); // A writer that waits for it wakes.
            drop(writes);
            self.consoles().retain(|c| c.id != id);
            read
        })
    }

    fn read(
        &self,
        console: &Arc<Console>,
        stream: &mut UnixStream,
        who: &str,
        to_site: &Sender<Asked>,
    ) -> io::Result<()> {
        while let Some(FromConsole { number, question }) = wire::read(stream)? {
            {
                let mut outbox = console.outbox();
                while outbox.open >= OPEN && !outbox.closed {
                    outbox = console.wake.wait(outbox).unwrap_or_else(|p| p.into_inner());
                }
                outbox.open += 1;
            }
            let asked = Asked { console: console.clone(), who: who.to_owned(), number, question };
            if to_site.send(asked).is_err() {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Writes until the console is closed. Danger: a console that never reads blocks its writer for good; the outbox's lock
    /// must not be held meanwhile, or whoever publishes waits with it.
    fn write(&self, console: &Console, stream: &mut UnixStream) -> io::Result<()> {
        while let Some(bytes) = self.next(console)? {
            stream.write_all(&bytes)?;
        }
        Ok(())
    }

    /// What is to be written next: answers first, then a snapshot if one is due, then updates; `None` once it is closed.
    fn next(&self, console: &Console) -> io::Result<Option<Vec<u8>>> {
        let mut outbox = console.outbox();
        loop {
            outbox.writing = false;
            console.wake.notify_all();
            if let Some(answer) = outbox.answers.pop_front() {
                outbox.writing = true;
                return Ok(Some(answer));
            }
            if outbox.closed {
                return Ok(None);
            }
            if outbox.behind {
                outbox.behind = false;
                outbox.updates.clear();
                drop(outbox);
                let view = self.view.lock().unwrap_or_else(|p| p.into_inner()).clone();
                let snapshot = ToConsole::Update(Update::Snapshot(Box::new((*view).clone())));
                return wire::frame(&snapshot).map(Some);
            }
            if let Some(update) = outbox.updates.pop_front() {
                return Ok(Some(update));
            }
            outbox = console.wake.wait(outbox).unwrap_or_else(|p| p.into_inner());
        }
    }
}
