//! Plain clients of a platform gateway, thousands of them on one thread.

use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http1::{Response, ResponseDecoder};
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};

use super::{LIMITS, LONG, io_error};
use crate::MeasureError;

/// The longest wait for the system's word before the time is looked at.
const POLL: Duration = Duration::from_millis(200);

/// Clients with a connection each, that ask one request at a time.
pub(super) struct Crowd {
    poll: Poll,
    events: Events,
    clients: Vec<Client>,
    /// Requests so far: no two have one id.
    asked: u64,
}

/// What became of requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tally {
    /// When the first answer came, and the last.
    pub(super) first: Instant,
    pub(super) last: Instant,
    pub(super) served: u64,
    pub(super) refused: u64,
}

struct Client {
    stream: TcpStream,
    decoder: ResponseDecoder,
    /// What is to be written still.
    owed: Vec<u8>,
    /// Its request has no answer yet.
    asks: bool,
}

impl Crowd {
    /// Begins to connect all of them in one moment; none is waited for.
    pub(super) fn connect(address: SocketAddr, count: usize) -> Result<Crowd, MeasureError> {
        let failed = || io_error("clients");
        let poll = Poll::new().map_err(failed())?;
        let mut clients = Vec::with_capacity(count);
        for n in 0..count {
            let mut stream = TcpStream::connect(address).map_err(failed())?;
            let interest = Interest::READABLE | Interest::WRITABLE;
            poll.registry().register(&mut stream, Token(n), interest).map_err(failed())?;
            let decoder = ResponseDecoder::new(LIMITS);
            clients.push(Client { stream, decoder, owed: Vec::new(), asks: false });
        }
        Ok(Crowd { poll, events: Events::with_capacity(1024), clients, asked: 0 })
    }

    /// Each asks once its connection is up, and again upon each answer until the span is over; returns when all have their answer.
    /// `text` words the request of a number.
    pub(super) fn ask(
        &mut self,
        span: Duration,
        text: impl Fn(u64) -> String,
    ) -> Result<Tally, MeasureError> {
        let Crowd { poll, events, clients, asked } = self;
        let begun = Instant::now();
        let mut tally = Tally { first: begun, last: begun, served: 0, refused: 0 };
        for client in clients.iter_mut() {
            *asked += 1;
            client.begin(text(*asked));
        }
        // Goes on with a client until it has to wait; whether it has its last answer.
        let mut turn = |client: &mut Client| -> Result<bool, MeasureError> {
            while let Some(answer) = client.step().map_err(io_error("a client's connection"))? {
                tally.count(&answer)?;
                if begun.elapsed() >= span {
                    client.asks = false;
                    return Ok(true);
                }
                *asked += 1;
                client.begin(text(*asked));
            }
            Ok(false)
        };
        // A connection that was up before says nothing by itself: all are looked at once.
        let mut open = clients.len();
        for client in clients.iter_mut() {
            open -= usize::from(turn(client)?);
        }
        while open > 0 {
            if begun.elapsed() > span + LONG {
                let what = format!("{open} of {} clients have no answer after {LONG:?}", clients.len());
                return Err(MeasureError::Failed(what));
            }
            match poll.poll(events, Some(POLL)) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                polled => polled.map_err(io_error("clients"))?,
            }
            for event in events.iter() {
                let client = &mut clients[event.token().0];
                if client.asks {
                    open -= usize::from(turn(client)?);
                }
            }
        }
        Ok(tally)
    }

    /// Connections that the gateway has not ended.
    pub(super) fn open(&self) -> usize {
        let open = |c: &Client| match c.stream.peek(&mut [0]) {
            Ok(n) => n > 0,
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        };
        self.clients.iter().filter(|c| open(c)).count()
    }
}

impl Tally {
    fn count(&mut self, answer: &Response) -> Result<(), MeasureError> {
        self.last = Instant::now();
        if self.served + self.refused == 0 {
            self.first = self.last;
        }
        match answer.status {
            // Danger: an answer that ends its connection would be met as a fault with the next request. Harm: none; it is told here.
            _ if !answer.keep_alive => {
                Err(MeasureError::Failed("a gateway ends its clients' connections".into()))
            }
            200 => {
                self.served += 1;
                Ok(())
            }
            503 => {
                self.refused += 1;
                Ok(())
            }
            other => {
                let said = String::from_utf8_lossy(&answer.body).into_owned();
                Err(MeasureError::Failed(format!("a request is answered {other}: {}", said.trim())))
            }
        }
    }
}

impl Client {
    fn begin(&mut self, text: String) {
        (self.owed, self.asks) = (text.into_bytes(), true);
    }

    /// Writes and reads what it can without waiting; the answer, once it is whole.
    fn step(&mut self) -> io::Result<Option<Response>> {
        while !self.owed.is_empty() {
            match self.stream.write(&self.owed) {
                Ok(n) => drop(self.owed.drain(..n)),
                Err(e) if waits(&e) => return Ok(None),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        let mut buffer = [0; 4096];
        loop {
            if let Some(answer) = self.decoder.poll().map_err(io::Error::other)? {
                return Ok(Some(answer));
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => self.decoder.receive(&buffer[..n]),
                Err(e) if waits(&e) => return Ok(None),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }
}

/// It is on its way up, or the other side has to go on first.
fn waits(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected)
}
