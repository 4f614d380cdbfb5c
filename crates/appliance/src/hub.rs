//! The socket's server: many consoles, none of which holds up another.

use std::io::{self, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use sync::Published;

use crate::outbox::{Outbox, Piece};
use crate::view::SiteView;
use crate::wire::{self, Answer, FromConsole, Hello, Question, ToConsole, Update, VERSION};

/// Consoles at a time.
const CONSOLES: usize = 64;

/// A question on its way to the site.
pub(crate) struct Asked {
    pub(crate) console: Arc<Console>,
    pub(crate) who: String,
    pub(crate) number: u64,
    pub(crate) question: Question,
}

/// A console as the site sees it.
pub(crate) struct Console {
    id: u64,
    outbox: Outbox,
}

impl Console {
    /// Answers a question; a console that is gone gets none.
    pub(crate) fn answer(&self, number: u64, answer: Answer) {
        self.outbox.answer(wire::frame(&ToConsole::Answer { number, answer }).ok());
    }
}

/// All consoles.
pub(crate) struct Hub {
    consoles: Mutex<Vec<Arc<Console>>>,
    view: Published<SiteView>,
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
        let view = Published::new(SiteView::default());
        let hub = Arc::new(Hub { consoles: Mutex::default(), view, next: AtomicU64::new(0) });
        let serves = hub.clone();
        std::thread::Builder::new().name("consoles".into()).spawn(move || {
            for stream in listener.incoming().flatten() {
                let (hub, site, to_site) = (serves.clone(), site.clone(), to_site.clone());
                let spawned = std::thread::Builder::new().name("console".into()).spawn(move || {
                    // A console that goes away half-way ends its own connection only; so does a panic.
                    let _ = panics::contain(|| hub.converse(stream, &site, &to_site));
                });
                drop(spawned); // Out of threads, the console is closed and may come again.
            }
        })?;
        Ok(hub)
    }

    fn consoles(&self) -> MutexGuard<'_, Vec<Arc<Console>>> {
        self.consoles.lock().unwrap_or_else(|p| p.into_inner())
    }

    /// The view from now on, for snapshots; all that was published before is in it.
    pub(crate) fn set_view(&self, view: SiteView) {
        self.view.publish(view);
        self.consoles().iter().for_each(|console| console.outbox.wake());
    }

    /// Hands a console all updates from now on, and first the view as it is.
    pub(crate) fn subscribe(&self, console: &Console) {
        console.outbox.subscribe(&self.view);
    }

    /// Waits until the answers given so far are written, or the time is up: a console that never reads is not waited for
    /// longer.
    pub(crate) fn settle(&self, within: Duration) {
        let end = Instant::now() + within;
        for console in self.consoles().clone() {
            console.outbox.settle(end);
        }
    }

    /// Hands an update to every console that subscribed. [`Hub::set_view`] follows, with the update in.
    pub(crate) fn publish(&self, update: Update) {
        let consoles = self.consoles().clone();
        if consoles.is_empty() {
            return;
        }
        let Ok(bytes) = wire::frame(&ToConsole::Update(update)) else { return };
        for console in consoles {
            console.outbox.publish(&bytes, &self.view);
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
        let console = Arc::new(Console { id, outbox: Outbox::default() });
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
            own.outbox.close();
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
            console.outbox.admit();
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
        while let Some(piece) = console.outbox.next(&self.view) {
            let bytes = match piece {
                Piece::Bytes(bytes) => bytes,
                Piece::Whole(view) => {
                    wire::frame(&ToConsole::Update(Update::Snapshot(Box::new((*view).clone()))))?
                }
            };
            stream.write_all(&bytes)?;
        }
        Ok(())
    }
}
