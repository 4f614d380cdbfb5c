//! The thread that owns the mesh, and the threads of its connections.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::Duration;

use peer::{Conn, Input, Kind, Life, Mesh, MeshOptions, Micros, Output, PeerName, Told};
use records::Clock;
use sync::QueueSender;

use crate::lane::{self, Came, Way};
use crate::lives::{LifeError, LifeStore};

/// Timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a write without progress; longer than any silence that the mesh tolerates.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum sleep of the mesh thread, in microseconds.
const MAX_SLEEP: Micros = 200_000;

/// Options of the peer connections.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// This gateway's name.
    pub name: PeerName,
    /// Address for incoming connections of peers; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// The peers and their listen addresses.
    pub peers: Vec<(PeerName, SocketAddr)>,
    /// Identifies the site.
    pub site: u64,
    /// Folder of the files that store lives.
    pub folder: PathBuf,
}

/// Why the peer connections could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address cannot be listened on.
    #[error("cannot listen for peers on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The life could not begin.
    #[error(transparent)]
    Life(#[from] LifeError),
    /// A thread could not be started.
    #[error("cannot start a thread for peers: {0}")]
    Thread(io::Error),
}

enum Event {
    Dialled(PeerName, Option<TcpStream>),
    Accepted(TcpStream),
    Came(Conn, Came),
    Ask(PeerName, Kind, Vec<u8>, Micros),
    Answer(Conn, u64, Option<Vec<u8>>),
    /// Sends a note to one peer, or to all.
    Note(Option<PeerName>, Kind, Vec<u8>),
    Stop,
}

/// A gateway's peer connections, closed on drop.
pub struct Peers {
    events: Sender<Event>,
    address: SocketAddr,
    life: Life,
    closing: Arc<AtomicBool>,
}

impl Peers {
    /// Begins the next life and starts connecting. `tell` is called on the mesh thread and must not block.
    ///
    /// # Errors
    /// The address cannot be listened on, a thread cannot start, or no life can begin: nothing is sent without a stored life.
    pub fn start(options: PeerOptions, tell: impl Fn(Told) + Send + 'static) -> Result<Peers, StartError> {
        let (store, life) = LifeStore::open_and_begin(&options.folder)?;
        let failed = |e| StartError::Listen(options.listen, e);
        let listener = TcpListener::bind(options.listen).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let (events, inbox) = mpsc::channel();
        let accept_events = events.clone();
        let closing = Arc::new(AtomicBool::new(false));
        let stopped = closing.clone();
        let thread_named = |name: &str| thread::Builder::new().name(name.to_owned());
        thread_named("peer-accept")
            .spawn(move || {
                for stream in listener.incoming() {
                    if stopped.load(Ordering::SeqCst) {
                        return;
                    }
                    match stream {
                        // The mesh thread may have stopped; the connection is then dropped.
                        Ok(stream) => drop(accept_events.send(Event::Accepted(stream))),
                        // Probably out of file descriptors: wait for some to be closed.
                        Err(_) => thread::sleep(Duration::from_millis(10)),
                    }
                }
            })
            .map_err(StartError::Thread)?;
        let names = options.peers.iter().map(|p| p.0.clone()).collect();
        let mesh = MeshOptions::new(options.name.clone(), names, options.site);
        let mesh = Mesh::new(mesh, life, store.peer_lives().clone(), rand::random());
        let mut peer_loop = PeerLoop {
            mesh,
            store,
            clock: Clock::new(),
            addresses: options.peers.into_iter().collect(),
            connections: BTreeMap::new(),
            last_connection: 0,
            events: events.clone(),
            tell: Box::new(tell),
        };
        thread_named("peers").spawn(move || peer_loop.run(&inbox)).map_err(StartError::Thread)?;
        Ok(Peers { events, address, life, closing })
    }

    /// The address for incoming connections of peers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The life that began with the start.
    pub fn life(&self) -> Life {
        self.life
    }

    fn send(&self, event: Event) {
        // The mesh thread may have stopped; there is nobody to notify then.
        let _ = self.events.send(event);
    }

    /// Asks a peer; the single outcome is reported within the given time.
    pub fn ask(&self, peer: &PeerName, kind: Kind, body: Vec<u8>, within: Micros) {
        self.send(Event::Ask(peer.clone(), kind, body, within));
    }

    /// Answers a question; `None` declines it.
    pub fn answer(&self, conn: Conn, id: u64, body: Option<Vec<u8>>) {
        self.send(Event::Answer(conn, id, body));
    }

    /// Sends a one-way message to all connected peers.
    pub fn note(&self, kind: Kind, body: Vec<u8>) {
        self.send(Event::Note(None, kind, body));
    }

    /// Sends a one-way message to a peer if it is connected. It counts towards the peer's limit of unwritten bytes.
    pub fn note_to(&self, peer: &PeerName, kind: Kind, body: Vec<u8>) {
        self.send(Event::Note(Some(peer.clone()), kind, body));
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.closing.store(true, Ordering::SeqCst);
        self.send(Event::Stop);
        // Wakes the accept thread, which then ends.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }
}

struct PeerLoop {
    mesh: Mesh,
    store: LifeStore,
    clock: Clock,
    addresses: BTreeMap<PeerName, SocketAddr>,
    /// The writer's queue, and the socket to close.
    connections: BTreeMap<Conn, (QueueSender<Vec<u8>>, Arc<TcpStream>)>,
    last_connection: u64,
    events: Sender<Event>,
    tell: Box<dyn Fn(Told) + Send>,
}

impl PeerLoop {
    fn run(&mut self, inbox: &Receiver<Event>) {
        let mut out = Vec::new();
        self.mesh.handle(self.clock.now(), Input::Tick, &mut out);
        loop {
            if !self.apply_outputs(std::mem::take(&mut out)) {
                return;
            }
            let wait = (self.mesh.next_due() - self.clock.now()).clamp(1, MAX_SLEEP);
            let event = match inbox.recv_timeout(Duration::from_micros(wait as u64)) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
            };
            self.handle_event(event, &mut out);
        }
        self.connections.values().for_each(|(_, stream)| stream.end());
    }

    fn handle_event(&mut self, event: Option<Event>, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let input = match event {
            None | Some(Event::Stop) => Input::Tick,
            Some(Event::Dialled(peer, None)) => Input::NotDialled { peer },
            Some(Event::Dialled(peer, Some(stream))) => match self.open_connection(stream) {
                Ok(conn) => Input::Dialled { peer, conn },
                Err(_) => Input::NotDialled { peer },
            },
            Some(Event::Accepted(stream)) => match self.open_connection(stream) {
                Ok(conn) => Input::Accepted { conn },
                Err(_) => Input::Tick,
            },
            Some(Event::Came(conn, Came::Bytes(bytes))) => Input::Bytes { conn, bytes },
            Some(Event::Came(conn, Came::Taken(bytes))) => Input::Taken { conn, bytes },
            Some(Event::Came(conn, Came::Ended)) => {
                self.connections.remove(&conn);
                Input::Ended { conn }
            }
            Some(Event::Ask(peer, kind, body, within)) => {
                self.mesh.ask(now, &peer, kind, body, now + within, out);
                Input::Tick
            }
            Some(Event::Answer(conn, id, body)) => {
                self.mesh.answer(now, conn, id, body, out);
                Input::Tick
            }
            Some(Event::Note(Some(peer), kind, body)) => {
                self.mesh.note(now, &peer, kind, body, out);
                Input::Tick
            }
            Some(Event::Note(None, kind, body)) => {
                for peer in self.addresses.keys() {
                    self.mesh.note(now, peer, kind, body.clone(), out);
                }
                Input::Tick
            }
        };
        self.mesh.handle(now, input, out);
    }

    /// Carries out the outputs; returns whether the loop continues.
    fn apply_outputs(&mut self, mut out: Vec<Output>) -> bool {
        // Stored before users are notified: a life that was reported but not stored would count as new later.
        if let Err(error) = self.store.store_peer_lives(self.mesh.lives()) {
            tracing::error!(%error, "cannot store the lives of peers; a restored disk of a peer may go undetected");
        }
        let mut index = 0;
        while index < out.len() {
            match &out[index] {
                Output::Dial(peer) => self.dial(peer.clone()),
                Output::Write(conn, bytes) => {
                    if let Some((writer, _)) = self.connections.get(conn) {
                        // A writer that has ended already closed the connection, which the reader reports.
                        writer.send(bytes.clone());
                    }
                }
                Output::Close(conn) => {
                    // The writer ends after writing its queue.
                    self.connections.remove(conn);
                }
                Output::Tell(Told::Superseded { by, seen }) => {
                    tracing::warn!(%by, %seen, "a later life of this gateway was seen: its disk was restored or emptied");
                    match self.store.begin_after(Some(*seen)) {
                        Ok(life) => {
                            (self.tell)(Told::Superseded { by: by.clone(), seen: *seen });
                            let now = self.clock.now();
                            self.mesh.renew(now, life, &mut out);
                        }
                        Err(error) => {
                            // Without a stored life nothing may be sent, so this gateway stays disconnected.
                            tracing::error!(%error, "cannot begin a new life; this gateway no longer connects to any peer");
                            return false;
                        }
                    }
                }
                Output::Tell(told) => (self.tell)(told.clone()),
            }
            index += 1;
        }
        true
    }

    fn dial(&self, peer: PeerName) {
        let (events, address) = (self.events.clone(), self.addresses.get(&peer).copied());
        let name = peer.clone();
        let dial_thread = thread::Builder::new().name("peer-dial".into()).spawn(move || {
            let stream = address.and_then(|a| TcpStream::connect_timeout(&a, CONNECT_TIMEOUT).ok());
            let _ = events.send(Event::Dialled(peer, stream));
        });
        if dial_thread.is_err() {
            let _ = self.events.send(Event::Dialled(name, None));
        }
    }

    fn open_connection(&mut self, stream: TcpStream) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        self.last_connection += 1;
        let conn = Conn(self.last_connection);
        // Without a timeout, a peer that reads nothing would block the writer, and keep both threads and the descriptor, long
        // after the mesh removed the connection. The cost: a peer that stalls for so long with full buffers is redialled.
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        let (writer, queue) = sync::queue();
        let (reader_events, writer_events) = (self.events.clone(), self.events.clone());
        let stream = Arc::new(stream);
        let (read_half, write_half) = (stream.clone(), stream.clone());
        thread::Builder::new().name("peer-read".into()).spawn(move || {
            lane::read_in(&*read_half, |came| reader_events.send(Event::Came(conn, came)).is_ok())
        })?;
        let writer_thread = thread::Builder::new().name("peer-write".into()).spawn(move || {
            lane::write_out(&*write_half, &queue, |came| writer_events.send(Event::Came(conn, came)).is_ok());
        });
        if let Err(error) = writer_thread {
            // Otherwise the reader would keep the connection open, and the peer would consider it usable.
            stream.end();
            return Err(error);
        }
        self.connections.insert(conn, (writer, stream));
        Ok(conn)
    }
}

impl Way for TcpStream {
    fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        Read::read(&mut &*self, buffer)
    }

    fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        Write::write_all(&mut &*self, bytes)
    }

    fn end(&self) {
        // An error means that the connection is closed already.
        let _ = self.shutdown(Shutdown::Both);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn peer_that_reads_nothing_blocks_no_thread() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let peer = TcpStream::connect(listener.local_addr().expect("its address")).expect("it connects");
        let stream = listener.accept().expect("it is accepted").0;
        stream.set_write_timeout(Some(Duration::from_millis(20))).expect("a time for writes");
        let (pieces, given) = sync::queue();
        // More than the system buffers for a peer that does not read.
        pieces.send(vec![0; 64 << 20]);
        let (tell, told) = mpsc::channel();
        thread::scope(|scope| {
            let (reads, tells) = (&stream, tell.clone());
            scope.spawn(move || lane::read_in(reads, |came| tells.send(came).is_ok()));
            scope.spawn(|| lane::write_out(&stream, &given, |came| tell.send(came).is_ok()));
        });
        assert_eq!(told.try_iter().collect::<Vec<_>>(), [Came::Ended]);
        drop(peer);
    }
}
