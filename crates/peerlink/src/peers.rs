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
use crate::lives::{Keep, LifeError};

/// A connect takes so long at most.
const CONNECT: Duration = Duration::from_millis(500);
/// A connection whose other side takes nothing for so long is broken; longer than any silence that the mesh bears.
const STUCK: Duration = Duration::from_secs(10);
/// The longest sleep of the mesh's thread.
const LONGEST: Micros = 200_000;

/// Settings.
#[derive(Clone, Debug)]
pub struct PeerOptions {
    /// This gateway's name.
    pub name: PeerName,
    /// Where its peers connect; port 0 lets the system choose.
    pub listen: SocketAddr,
    /// Its peers, and where they listen.
    pub peers: Vec<(PeerName, SocketAddr)>,
    /// What tells this site from another.
    pub site: u64,
    /// Folder for its lives.
    pub folder: PathBuf,
}

/// Why peers could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The address for peers.
    #[error("cannot listen for peers on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The files of lives.
    #[error(transparent)]
    Life(#[from] LifeError),
    /// Threads.
    #[error("no thread for peers: {0}")]
    Thread(io::Error),
}

enum Event {
    Dialled(PeerName, Option<TcpStream>),
    Accepted(TcpStream),
    Came(Conn, Came),
    Ask(PeerName, Kind, Vec<u8>, Micros),
    Answer(Conn, u64, Option<Vec<u8>>),
    /// To this peer alone, or to all.
    Note(Option<PeerName>, Kind, Vec<u8>),
    Stop,
}

/// A gateway's peers. Dropped, it ends its connections.
pub struct Peers {
    events: Sender<Event>,
    address: SocketAddr,
    life: Life,
    closing: Arc<AtomicBool>,
}

impl Peers {
    /// Begins the next life and starts talking. `tell` is called on a thread of its own and must not wait.
    ///
    /// # Errors
    /// The address cannot be listened on, or a life cannot begin: nothing is said without one on the disk.
    pub fn start(options: PeerOptions, tell: impl Fn(Told) + Send + 'static) -> Result<Peers, StartError> {
        let (keep, life) = Keep::begin(&options.folder)?;
        let failed = |e| StartError::Listen(options.listen, e);
        let listener = TcpListener::bind(options.listen).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let (events, inbox) = mpsc::channel();
        let accepts = events.clone();
        let closing = Arc::new(AtomicBool::new(false));
        let closed = closing.clone();
        let named = |name: &str| thread::Builder::new().name(name.to_owned());
        named("peer-accept")
            .spawn(move || {
                for stream in listener.incoming() {
                    if closed.load(Ordering::SeqCst) {
                        return;
                    }
                    match stream {
                        // The mesh's thread ends with the process only.
                        Ok(stream) => drop(accepts.send(Event::Accepted(stream))),
                        // Out of descriptors: let some close.
                        Err(_) => thread::sleep(Duration::from_millis(10)),
                    }
                }
            })
            .map_err(StartError::Thread)?;
        let names = options.peers.iter().map(|p| p.0.clone()).collect();
        let mesh = MeshOptions::new(options.name.clone(), names, options.site);
        let mesh = Mesh::new(mesh, life, keep.seen().clone(), rand::random());
        let mut shell = Shell {
            mesh,
            keep,
            clock: Clock::new(),
            addresses: options.peers.into_iter().collect(),
            connections: BTreeMap::new(),
            next: 0,
            events: events.clone(),
            tell: Box::new(tell),
        };
        named("peers").spawn(move || shell.run(&inbox)).map_err(StartError::Thread)?;
        Ok(Peers { events, address, life, closing })
    }

    /// Where its peers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The life that it began.
    pub fn life(&self) -> Life {
        self.life
    }

    fn send(&self, event: Event) {
        // The thread ends with the process only.
        let _ = self.events.send(event);
    }

    /// Asks a peer; its one outcome is told within the time.
    pub fn ask(&self, peer: &PeerName, kind: Kind, body: Vec<u8>, within: Micros) {
        self.send(Event::Ask(peer.clone(), kind, body, within));
    }

    /// Answers a question, or passes it.
    pub fn answer(&self, conn: Conn, id: u64, body: Option<Vec<u8>>) {
        self.send(Event::Answer(conn, id, body));
    }

    /// Tells all peers that are connected.
    pub fn note(&self, kind: Kind, body: Vec<u8>) {
        self.send(Event::Note(None, kind, body));
    }

    /// Tells one peer, if it is connected; what it leaves untaken is bounded as all that is said to it.
    pub fn note_to(&self, peer: &PeerName, kind: Kind, body: Vec<u8>) {
        self.send(Event::Note(Some(peer.clone()), kind, body));
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        self.closing.store(true, Ordering::SeqCst);
        self.send(Event::Stop);
        // The listener wakes from its wait and ends.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(100));
    }
}

struct Shell {
    mesh: Mesh,
    keep: Keep,
    clock: Clock,
    addresses: BTreeMap<PeerName, SocketAddr>,
    /// The writer's inbox, and the socket to end.
    connections: BTreeMap<Conn, (QueueSender<Vec<u8>>, Arc<TcpStream>)>,
    next: u64,
    events: Sender<Event>,
    tell: Box<dyn Fn(Told) + Send>,
}

impl Shell {
    fn run(&mut self, inbox: &Receiver<Event>) {
        let mut out = Vec::new();
        self.mesh.handle(self.clock.now(), Input::Tick, &mut out);
        loop {
            if !self.carry_out(std::mem::take(&mut out)) {
                return;
            }
            let wait = (self.mesh.next_due() - self.clock.now()).clamp(1, LONGEST);
            let event = match inbox.recv_timeout(Duration::from_micros(wait as u64)) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => break,
                Ok(event) => Some(event),
                Err(RecvTimeoutError::Timeout) => None,
            };
            self.take(event, &mut out);
        }
        self.connections.values().for_each(|(_, stream)| stream.end());
    }

    fn take(&mut self, event: Option<Event>, out: &mut Vec<Output>) {
        let now = self.clock.now();
        let input = match event {
            None | Some(Event::Stop) => Input::Tick,
            Some(Event::Dialled(peer, None)) => Input::NotDialled { peer },
            Some(Event::Dialled(peer, Some(stream))) => match self.open(stream) {
                Ok(conn) => Input::Dialled { peer, conn },
                Err(_) => Input::NotDialled { peer },
            },
            Some(Event::Accepted(stream)) => match self.open(stream) {
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

    /// Whether it goes on.
    fn carry_out(&mut self, mut out: Vec<Output>) -> bool {
        // Danger: a life that was told of and is forgotten by the disk would be taken for a new one later.
        if let Err(error) = self.keep.see(self.mesh.lives()) {
            tracing::error!(%error, "lives of peers cannot be kept; a disk of theirs that is put back may go unnoticed");
        }
        let mut n = 0;
        while n < out.len() {
            match &out[n] {
                Output::Dial(peer) => self.dial(peer.clone()),
                Output::Write(conn, bytes) => {
                    if let Some((writer, _)) = self.connections.get(conn) {
                        // A writer that has ended has told of it.
                        writer.send(bytes.clone());
                    }
                }
                Output::Close(conn) => {
                    // Its writer ends once it has written what it has.
                    self.connections.remove(conn);
                }
                Output::Tell(Told::Superseded { by, seen }) => {
                    tracing::warn!(%by, %seen, "a later life of this gateway was seen: its disk was put back or emptied");
                    match self.keep.after(Some(*seen)) {
                        Ok(life) => {
                            (self.tell)(Told::Superseded { by: by.clone(), seen: *seen });
                            let now = self.clock.now();
                            self.mesh.renew(now, life, &mut out);
                        }
                        Err(error) => {
                            // Danger: without a life on the disk nothing may be said. It stays alone.
                            tracing::error!(%error, "no new life can begin; this gateway talks to no peer any more");
                            return false;
                        }
                    }
                }
                Output::Tell(told) => (self.tell)(told.clone()),
            }
            n += 1;
        }
        true
    }

    fn dial(&self, peer: PeerName) {
        let (events, address) = (self.events.clone(), self.addresses.get(&peer).copied());
        let name = peer.clone();
        let dials = thread::Builder::new().name("peer-dial".into()).spawn(move || {
            let stream = address.and_then(|a| TcpStream::connect_timeout(&a, CONNECT).ok());
            let _ = events.send(Event::Dialled(peer, stream));
        });
        if dials.is_err() {
            let _ = self.events.send(Event::Dialled(name, None));
        }
    }

    fn open(&mut self, stream: TcpStream) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        self.next += 1;
        let conn = Conn(self.next);
        // Danger: a peer that takes nothing holds the writer, and with it both threads and the descriptor, long after the mesh has
        // given the connection up. Harm: a peer that stands still for so long with its buffers full has to be dialled again.
        stream.set_write_timeout(Some(STUCK))?;
        let (writer, pieces) = sync::queue();
        let (told, taken) = (self.events.clone(), self.events.clone());
        let stream = Arc::new(stream);
        let (reads, writes) = (stream.clone(), stream.clone());
        thread::Builder::new()
            .name("peer-read".into())
            .spawn(move || lane::read_in(&*reads, |came| told.send(Event::Came(conn, came)).is_ok()))?;
        let writer_thread = thread::Builder::new().name("peer-write".into()).spawn(move || {
            lane::write_out(&*writes, &pieces, |came| taken.send(Event::Came(conn, came)).is_ok());
        });
        if let Err(error) = writer_thread {
            // Danger: its reader would keep the connection, and the peer would believe in it.
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
        // One that has ended already needs no end.
        let _ = self.shutdown(Shutdown::Both);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_peer_that_takes_nothing_holds_no_thread() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let peer = TcpStream::connect(listener.local_addr().expect("its address")).expect("it connects");
        let stream = listener.accept().expect("it is accepted").0;
        stream.set_write_timeout(Some(Duration::from_millis(20))).expect("a time for writes");
        let (pieces, given) = sync::queue();
        // More than the system takes for a peer that does not read.
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
