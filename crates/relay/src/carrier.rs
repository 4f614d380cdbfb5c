//! The relay's one thread: links, connections and orders.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::mpsc;
use std::time::Duration;

use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use records::{Clock, Micros, Recorder};

use crate::order::{Order, What};
use crate::plan::{Plan, Timed};
use crate::way::{Way, Weather};
use crate::{Listening, RelayLine};

const WAKE: Token = Token(usize::MAX);
/// Tokens of connections: two each, from here.
const FIRST: usize = 1 << 20;
const PIECE: usize = 16 << 10;

/// Why a relay cannot run.
#[derive(Debug, thiserror::Error)]
pub enum RelayError {
    /// A link cannot listen.
    #[error("the link from {0} to {1} cannot listen on {2}: {3}; is the port taken?")]
    Listen(String, String, SocketAddr, io::Error),
    /// The system turned something else down.
    #[error("the relay cannot run: {0}")]
    Io(#[from] io::Error),
}

struct Line {
    from: String,
    to: String,
    address: SocketAddr,
    target: SocketAddr,
    listener: Option<TcpListener>,
    handshake_only: bool,
    /// Forth and back.
    weather: [Weather; 2],
    random: SmallRng,
}

struct Connection {
    link: usize,
    /// The one who connected, and whom it leads to.
    ends: [TcpStream; 2],
    /// Forth and back: from end 0, from end 1.
    ways: [Way; 2],
    connected: bool,
    /// Taken under `handshake`: nothing is carried.
    mute: bool,
    readable: [bool; 2],
    closed: [bool; 2],
}

/// A request to a relay's thread, and where its answer goes.
type Asked = (Order, mpsc::Sender<(usize, usize)>);

/// A relay that listens on all its links.
pub struct Relay {
    poll: Poll,
    clock: Clock,
    start: Micros,
    recorder: Recorder,
    lines: Vec<Line>,
    connections: BTreeMap<u64, Connection>,
    next: u64,
    orders: Vec<Timed>,
    asked: mpsc::Receiver<Asked>,
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
}

impl Relay {
    /// Opens all links of a plan, and the control socket if it has one.
    ///
    /// # Errors
    /// A link cannot listen, or the control socket or the records cannot be made.
    pub fn open(plan: &Plan) -> Result<Relay, RelayError> {
        let poll = Poll::new()?;
        let clock = Clock::new();
        let recorder = match &plan.records {
            Some(path) => Recorder::append(path)?,
            None => Recorder::none(),
        };
        let mut lines = Vec::new();
        for (n, link) in plan.link.iter().enumerate() {
            let failed = |e| RelayError::Listen(link.from.clone(), link.to.clone(), link.listen, e);
            let mut listener = listen(link.listen).map_err(failed)?;
            poll.registry().register(&mut listener, Token(n), Interest::READABLE)?;
            lines.push(Line {
                from: link.from.clone(),
                to: link.to.clone(),
                address: listener.local_addr()?,
                target: link.target,
                listener: Some(listener),
                handshake_only: false,
                weather: [Weather::default(); 2],
                // Each link draws for itself, so that what others carry does not change what it draws.
                random: SmallRng::seed_from_u64(plan.seed.wrapping_add(n as u64)),
            });
        }
        let (sender, asked) = mpsc::channel::<Asked>();
        if let Some(path) = &plan.control {
            let waker = Waker::new(poll.registry(), WAKE)?;
            control::serve(path, move |order: Order| {
                let (tell, told) = mpsc::channel();
                sender.send((order, tell)).map_err(|_| "the relay has ended".to_owned())?;
                waker.wake().map_err(|e| e.to_string())?;
                told.recv().map_err(|_| "the relay has ended".to_owned())
            })?;
        }
        let mut orders = plan.order.clone();
        orders.sort_by_key(|o| std::cmp::Reverse(o.at_ms));
        let start = clock.now();
        Ok(Relay {
            poll,
            clock,
            start,
            recorder,
            lines,
            connections: BTreeMap::new(),
            next: 0,
            orders,
            asked,
        })
    }

    /// Where its links listen, in the plan's order.
    pub fn listening(&self) -> Vec<Listening> {
        let one = |l: &Line| Listening { from: l.from.clone(), to: l.to.clone(), address: l.address };
        self.lines.iter().map(one).collect()
    }

    /// Carries until the process ends.
    ///
    /// # Errors
    /// The system's word, if waiting itself fails.
    pub fn run(&mut self) -> Result<(), RelayError> {
        let mut events = Events::with_capacity(1024);
        loop {
            let wait = self.next_due().map(|at| Duration::from_micros((at - self.clock.now()).max(0) as u64));
            // A poll that is a little early is asked again; one that is late carries late, and says so in the records' times.
            match self.poll.poll(&mut events, wait.map(|w| w + Duration::from_micros(50))) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e.into()),
                _ => {}
            }
            while self
                .orders
                .last()
                .is_some_and(|o| self.start + o.at_ms as Micros * 1000 <= self.clock.now())
            {
                if let Some(timed) = self.orders.pop() {
                    self.carry_out(&timed.order());
                }
            }
            while let Ok((order, tell)) = self.asked.try_recv() {
                let met = self.carry_out(&order);
                // One who asked and went away needs no answer.
                let _ = tell.send(met);
            }
            for event in &events {
                self.on_event(event);
            }
            let ids: Vec<u64> = self.connections.keys().copied().collect();
            for id in ids {
                // Room made by a write lets more be read, which no event tells of.
                while self.carry(id) {}
            }
        }
    }

    fn next_due(&self) -> Option<Micros> {
        let orders = self.orders.last().map(|o| self.start + o.at_ms as Micros * 1000);
        let ways = self.connections.values().filter(|c| c.connected && !c.mute).flat_map(|c| {
            let weather = &self.lines[c.link].weather;
            // What is due already waits for its receiver, which the poll tells of.
            let now = self.clock.now();
            [0, 1].into_iter().filter_map(move |w| c.ways[w].next_due(&weather[w]).filter(|at| *at > now))
        });
        ways.chain(orders).min()
    }

    fn on_event(&mut self, event: &Event) {
        let Token(token) = event.token();
        if event.token() == WAKE {
        } else if token < self.lines.len() {
            self.accept(token);
        } else if let Some(connection) = self.connections.get_mut(&(((token - FIRST) / 2) as u64)) {
            let end = (token - FIRST) % 2;
            connection.readable[end] |= event.is_readable() || event.is_read_closed() || event.is_error();
            if end == 1 && event.is_writable() && !connection.connected {
                connection.connected = connection.ends[1].peer_addr().is_ok();
            }
        }
    }

    fn accept(&mut self, link: usize) {
        loop {
            let Some(listener) = &self.lines[link].listener else { return };
            let near = match listener.accept() {
                Ok((near, _)) => near,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => {
                    tracing::warn!(error = %e, "a connection could not be accepted");
                    return;
                }
            };
            let line = &self.lines[link];
            let far = match TcpStream::connect(line.target) {
                Ok(far) => far,
                Err(e) => {
                    tracing::warn!(to = line.to, error = %e, "cannot connect");
                    continue;
                }
            };
            let id = self.next;
            self.next += 1;
            let mut connection = Connection {
                link,
                ends: [near, far],
                ways: [Way::default(), Way::default()],
                connected: false,
                mute: line.handshake_only,
                readable: [true; 2],
                closed: [false; 2],
            };
            let both = Interest::READABLE | Interest::WRITABLE;
            let registered = connection.ends.iter_mut().enumerate().try_for_each(|(n, end)| {
                // Small frames wait for nothing here but what was ordered.
                end.set_nodelay(true)?;
                self.poll.registry().register(end, Token(FIRST + 2 * id as usize + n), both)
            });
            if let Err(e) = registered {
                tracing::warn!(error = %e, "a connection could not be carried");
                continue;
            }
            let (t, from, to) = (self.clock.now(), line.from.clone(), line.to.clone());
            self.recorder.write(&RelayLine::Open { t, connection: id, from, to });
            self.connections.insert(id, connection);
        }
    }

    /// Moves what can be moved on a connection; whether bytes went out that may have made room for more.
    fn carry(&mut self, id: u64) -> bool {
        let now = self.clock.now();
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        if connection.mute {
            return false;
        }
        let mut moved = false;
        let line = &mut self.lines[connection.link];
        let mut end = None;
        let mut buffer = [0; PIECE];
        for from in [0, 1] {
            let to = 1 - from;
            // Read what came, as far as there is room.
            while connection.readable[from] && connection.ways[from].takes() && !connection.ways[from].ended {
                match connection.ends[from].read(&mut buffer) {
                    Ok(0) => connection.ways[from].ended = true,
                    Ok(n) => {
                        connection.ways[from].put(now, &line.weather[from], &mut line.random, &buffer[..n])
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => connection.readable[from] = false,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    // Not connected yet, or not any more.
                    Err(e) if e.kind() == ErrorKind::NotConnected => connection.readable[from] = false,
                    Err(e) => {
                        end = Some(e.to_string());
                        break;
                    }
                }
            }
            if to == 1 && !connection.connected {
                continue;
            }
            loop {
                let bytes = connection.ways[from].ready(now, &line.weather[from]);
                if bytes.is_empty() {
                    break;
                }
                match connection.ends[to].write(bytes) {
                    Ok(n) => {
                        connection.ways[from].gone(n);
                        moved = true;
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(e) => {
                        end = Some(e.to_string());
                        break;
                    }
                }
            }
            if connection.ways[from].broken() {
                end = Some("broken by order".into());
            }
            // An end is held like the bytes before it.
            if connection.ways[from].over() && !line.weather[from].held && !connection.closed[to] {
                connection.closed[to] = true;
                // One that is closed already has its end.
                let _ = connection.ends[to].shutdown(Shutdown::Write);
            }
        }
        if let Some(why) = end {
            self.end(id, true, why);
        } else if connection.closed == [true; 2] {
            self.end(id, false, "closed".into());
        }
        moved
    }

    fn end(&mut self, id: u64, reset: bool, why: String) {
        let Some(mut connection) = self.connections.remove(&id) else { return };
        for end in &mut connection.ends {
            if reset {
                // Closed with this set, the system sends a reset. Where it cannot be set, the peer sees an end.
                let _ = socket2::SockRef::from(&*end).set_linger(Some(Duration::ZERO));
            }
            let _ = self.poll.registry().deregister(end);
        }
        let [forth, back] = [0, 1].map(|w| connection.ways[w].carried);
        self.recorder.write(&RelayLine::End { t: self.clock.now(), connection: id, forth, back, why });
    }

    /// Carries an order out; how many links and connections it met.
    fn carry_out(&mut self, order: &Order) -> (usize, usize) {
        let met: Vec<usize> =
            (0..self.lines.len()).filter(|&n| order.meets(&self.lines[n].from, &self.lines[n].to)).collect();
        let ids: Vec<u64> =
            self.connections.iter().filter(|(_, c)| met.contains(&c.link)).map(|(id, _)| *id).collect();
        for &n in &met {
            self.change_line(n, &order.what);
        }
        for &id in &ids {
            match &order.what {
                What::Reset => self.end(id, true, "reset by order".into()),
                What::BreakAfter { side, bytes } => {
                    if let Some(connection) = self.connections.get_mut(&id) {
                        [0, 1].into_iter().filter(|w| side.has(*w == 0)).for_each(|w| {
                            connection.ways[w].breaks = Some(*bytes);
                        });
                    }
                }
                What::Handshake(false) | What::Clear => {
                    if let Some(connection) = self.connections.get_mut(&id) {
                        connection.mute = false;
                        if order.what == What::Clear {
                            connection.ways.iter_mut().for_each(|w| w.breaks = None);
                        }
                    }
                }
                _ => {}
            }
        }
        let line = RelayLine::Order {
            t: self.clock.now(),
            order: order.clone(),
            links: met.len(),
            connections: ids.len(),
        };
        self.recorder.write(&line);
        (met.len(), ids.len())
    }

    fn change_line(&mut self, n: usize, what: &What) {
        let line = &mut self.lines[n];
        let mut weather = |side: crate::Side, change: &dyn Fn(&mut Weather)| {
            line.weather
                .iter_mut()
                .enumerate()
                .filter(|(w, _)| side.has(*w == 0))
                .for_each(|(_, w)| change(w));
        };
        match what {
            What::Hold(side) => weather(*side, &|w| w.held = true),
            What::Release(side) => weather(*side, &|w| w.held = false),
            What::Delay { side, us, jitter_us } => {
                weather(*side, &|w| (w.delay, w.jitter) = (*us, *jitter_us));
            }
            What::Throttle { side, bytes_per_s } => weather(*side, &|w| w.rate = *bytes_per_s),
            What::Handshake(on) => line.handshake_only = *on,
            What::Lead(target) => line.target = *target,
            What::Refuse(on) => self.refuse(n, *on),
            What::Clear => {
                line.weather = [Weather::default(); 2];
                line.handshake_only = false;
                self.refuse(n, false);
            }
            What::Reset | What::BreakAfter { .. } => {}
        }
    }

    fn refuse(&mut self, n: usize, on: bool) {
        let line = &mut self.lines[n];
        if on {
            // Dropped, it closes: the system turns connects down.
            line.listener = None;
        } else if line.listener.is_none() {
            let listener = listen(line.address).and_then(|mut listener| {
                self.poll.registry().register(&mut listener, Token(n), Interest::READABLE)?;
                Ok(listener)
            });
            match listener {
                Ok(listener) => line.listener = Some(listener),
                Err(error) => tracing::error!(to = line.to, %error, "a link cannot listen again"),
            }
        }
    }
}
