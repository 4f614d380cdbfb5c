//! Stand-in nodes: they answer every request at once, with one word. One thread, so that thousands of connections cost little.

use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use http1::{RequestDecoder, RequestEvent};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};

use super::{LIMITS, io_error};
use crate::MeasureError;

const WAKE: Token = Token(usize::MAX);
const WORD: &[u8] = b"stored";

/// Some nodes. Dropped, they end.
pub(super) struct Nodes {
    addresses: Vec<SocketAddr>,
    waker: Waker,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Nodes {
    pub(super) fn start(count: usize) -> Result<Nodes, MeasureError> {
        Nodes::try_start(count).map_err(io_error("stand-in nodes"))
    }

    fn try_start(count: usize) -> io::Result<Nodes> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        let (mut listeners, mut addresses) = (Vec::new(), Vec::new());
        for n in 0..count {
            let mut listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            poll.registry().register(&mut listener, Token(n), Interest::READABLE)?;
            addresses.push(listener.local_addr()?);
            listeners.push(listener);
        }
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let serving = Serving { poll, listeners, connections: HashMap::new(), next: count };
        let thread = thread::Builder::new().name("nodes".into()).spawn(move || serving.run(&ends))?;
        Ok(Nodes { addresses, waker, over, thread: Some(thread) })
    }

    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        let woken = self.waker.wake();
        if let Some(thread) = self.thread.take().filter(|_| woken.is_ok()) {
            // One that panicked has ended too.
            let _ = thread.join();
        }
    }
}

struct Serving {
    poll: Poll,
    listeners: Vec<TcpListener>,
    connections: HashMap<Token, Connection>,
    /// The next connection's token; those below are listeners.
    next: usize,
}

struct Connection {
    stream: TcpStream,
    decoder: RequestDecoder,
}

impl Serving {
    fn run(mut self, over: &AtomicBool) {
        let mut events = Events::with_capacity(1024);
        while !over.load(Ordering::SeqCst) {
            match self.poll.poll(&mut events, None) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return,
                Ok(()) => {}
            }
            for event in events.iter() {
                let token = event.token();
                if token.0 < self.listeners.len() {
                    self.accept(token.0);
                } else if let Some(connection) = self.connections.get_mut(&token)
                    && connection.serve().is_err()
                {
                    self.connections.remove(&token);
                }
            }
        }
    }

    /// Takes all that wait at a listener.
    fn accept(&mut self, listener: usize) {
        while let Ok((mut stream, _)) = self.listeners[listener].accept() {
            let token = Token(self.next);
            self.next += 1;
            // Without delay: an answer is one small write, and the next waits for it.
            let ready = stream.set_nodelay(true);
            let ready =
                ready.and_then(|()| self.poll.registry().register(&mut stream, token, Interest::READABLE));
            if ready.is_ok() {
                self.connections.insert(token, Connection { stream, decoder: RequestDecoder::new(LIMITS) });
            }
        }
    }
}

impl Connection {
    /// Answers all that has come whole. An end, and an answer that does not go out in one piece, end the connection.
    fn serve(&mut self) -> io::Result<()> {
        let mut buffer = [0; 8192];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => self.decoder.receive(&buffer[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => return Err(e),
            }
            while let Some(came) = self.decoder.poll().map_err(io::Error::other)? {
                if let RequestEvent::Complete(_) = came {
                    self.stream.write_all(&http1::encode_response(200, &[], WORD, true))?;
                }
            }
        }
    }
}
