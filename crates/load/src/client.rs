//! Clients that offer open-loop load and write down what crossed their sockets.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use records::{ClientLine, Clock, Op, Recorder, Told};

use crate::block::{Found, fill, look};
use crate::host::{Answer, Host, HostOptions, Word};

/// Pause before a lost gateway is tried again.
const RECONNECT: Duration = Duration::from_millis(150);

/// A kind of command, and how much of the load it is.
#[derive(Clone, Debug)]
pub struct Mix {
    /// What it does.
    pub op: Op,
    /// Blocks.
    pub blocks: u32,
    /// Its share of the commands.
    pub share: f64,
}

/// From a time on, the load is this multiple of the rate.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// From then on, counted from the start.
    pub from: Duration,
    /// Multiple of the rate.
    pub factor: f64,
}

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    /// Its name.
    pub name: String,
    /// Its number, which all its tokens carry; 1 to 65,535.
    pub number: u16,
    /// Gateways.
    pub gateways: Vec<(String, SocketAddr)>,
    /// Of these, not there at the start: it does not wait for them.
    pub absent: Vec<String>,
    /// NQN of the subsystem.
    pub subsystem: String,
    /// Volumes: identifier, blocks that it uses, block size.
    pub volumes: Vec<(u32, u64, u32)>,
    /// Kinds of commands.
    pub mix: Vec<Mix>,
    /// Commands a second.
    pub rate: f64,
    /// Changes of the rate, by rising time.
    pub phases: Vec<Phase>,
    /// How long it offers load.
    pub duration: Duration,
    /// Commands out for each gateway at most.
    pub depth: u32,
    /// I/O queues for each gateway.
    pub queues: u16,
    /// Repeats of a refused command, after the advice.
    pub repeats: u32,
    /// Part of the commands that it asks to abort at once.
    pub aborts: f64,
    /// It breaks its connections this often; zero: never.
    pub leaves: Duration,
    /// Digests asked for.
    pub digests: nvme::Digests,
    /// Seed of its choices.
    pub seed: u64,
    /// How long it waits for what is out at the end.
    pub patience: Duration,
}

/// What a client met.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Commands sent.
    pub issued: u64,
    /// Ends by kind.
    pub told: BTreeMap<Told, u64>,
    /// Commands whose connection ended first.
    pub lost: u64,
    /// Arrivals for which no gateway had room or was up.
    pub not_offered: u64,
    /// Blocks whose bytes did not belong together.
    pub torn: u64,
    /// Latency of what was served, from the intended send time, in microseconds.
    pub latency: Histogram<u64>,
}

impl Summary {
    fn new() -> Self {
        let latency =
            Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!("fixed bounds"));
        Summary { issued: 0, told: BTreeMap::new(), lost: 0, not_offered: 0, torn: 0, latency }
    }

    /// Adds another client's.
    pub fn add(&mut self, other: &Summary) {
        self.issued += other.issued;
        self.lost += other.lost;
        self.not_offered += other.not_offered;
        self.torn += other.torn;
        other.told.iter().for_each(|(k, n)| *self.told.entry(*k).or_default() += n);
        let _ = self.latency.add(&other.latency); // Same bounds.
    }
}

impl Default for Summary {
    fn default() -> Self {
        Summary::new()
    }
}

#[derive(Clone)]
struct Command {
    op: Op,
    nsid: u32,
    size: u32,
    slba: u64,
    blocks: u32,
    gateway: usize,
    left: u32,
    intended: Instant,
}

/// A gateway as the client knows it.
struct Slot {
    name: String,
    address: Mutex<SocketAddr>,
    host: Mutex<Option<(Arc<Host>, u64)>>,
}

impl Slot {
    fn host(&self) -> Option<(Arc<Host>, u64)> {
        self.host.lock().unwrap_or_else(|p| p.into_inner()).clone()
    }
}

struct Shared {
    options: ClientOptions,
    clock: Clock,
    recorder: Recorder,
    slots: Vec<Slot>,
    out: Mutex<HashMap<u64, Command>>,
    repeats: Mutex<BinaryHeap<Reverse<(Instant, u64)>>>,
    repeated: Mutex<HashMap<u64, Command>>,
    summary: Mutex<Summary>,
    leaving: AtomicBool,
    over: AtomicBool,
    connections: AtomicU64,
}

/// A client.
pub struct Client {
    shared: Arc<Shared>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|p| p.into_inner())
}

impl Client {
    /// A client that has not connected yet.
    pub fn new(options: ClientOptions, recorder: Recorder) -> Self {
        let slot = |(name, address): &(String, SocketAddr)| Slot {
            name: name.clone(),
            address: Mutex::new(*address),
            host: Mutex::new(None),
        };
        let slots = options.gateways.iter().map(slot).collect();
        Client {
            shared: Arc::new(Shared {
                clock: Clock::new(),
                recorder,
                slots,
                out: Mutex::default(),
                repeats: Mutex::default(),
                repeated: Mutex::default(),
                summary: Mutex::new(Summary::new()),
                leaving: AtomicBool::new(false),
                over: AtomicBool::new(false),
                connections: AtomicU64::new(0),
                options,
            }),
        }
    }

    /// A gateway came up at another address.
    pub fn moved(&self, gateway: &str, address: SocketAddr) {
        for slot in self.shared.slots.iter().filter(|s| s.name == gateway) {
            *lock(&slot.address) = address;
        }
    }

    /// Stops offering load before its time.
    pub fn stop(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// What it has met so far.
    pub fn so_far(&self) -> Summary {
        lock(&self.shared.summary).clone()
    }

    /// Breaks its connections, whatever is out.
    pub fn leave(&self) {
        self.shared.leave();
    }

    /// Offers its load, waits for what is out, and tells what it met.
    pub fn run(&self) -> Summary {
        let shared = &self.shared;
        let (sender, answers) = mpsc::channel();
        std::thread::scope(|scope| {
            for index in 0..shared.slots.len() {
                let sender = sender.clone();
                scope.spawn(move || shared.keep_connected(index, &sender));
            }
            drop(sender);
            scope.spawn(move || shared.listen(&answers));
            shared.wait_connected();
            shared.offer();
            let end = Instant::now() + shared.options.patience;
            while Instant::now() < end && !lock(&shared.out).is_empty() {
                std::thread::sleep(Duration::from_millis(5));
            }
            shared.over.store(true, Ordering::Relaxed);
            for slot in &shared.slots {
                if let Some((host, _)) = slot.host() {
                    host.close();
                }
            }
        });
        self.so_far()
    }
}

impl Shared {
    fn keep_connected(&self, index: usize, answers: &Sender<Answer>) {
        let slot = &self.slots[index];
        while !self.over.load(Ordering::Relaxed) {
            if slot.host().is_none_or(|(host, _)| !host.is_up()) {
                let options = self.host_options(*lock(&slot.address));
                // A gateway that is down is tried again; its commands go nowhere meanwhile.
                let host = Host::connect(options, answers).ok().map(Arc::new);
                let number = self.connections.fetch_add(1, Ordering::Relaxed);
                *lock(&slot.host) = host.map(|h| (h, u64::from(self.options.number) << 32 | number));
            }
            std::thread::sleep(RECONNECT);
        }
        *lock(&slot.host) = None;
    }

    fn host_options(&self, address: SocketAddr) -> HostOptions {
        let mut id = [0; 16];
        id[..2].copy_from_slice(&self.options.number.to_le_bytes());
        id[2] = 1;
        HostOptions {
            address,
            subsystem: self.options.subsystem.clone(),
            name: format!("nqn.2026-12.crowbay:client:{}", self.options.name),
            id,
            queues: self.options.queues,
            depth: self.options.depth,
            digests: self.options.digests,
            keep_alive: 10_000,
        }
    }

    fn wait_connected(&self) {
        let end = Instant::now() + Duration::from_secs(3);
        let awaited = |s: &&Slot| !self.options.absent.contains(&s.name);
        while Instant::now() < end && self.slots.iter().filter(awaited).any(|s| s.host().is_none()) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn leave(&self) {
        for slot in &self.slots {
            let Some((host, _)) = lock(&slot.host).take() else { continue };
            // What is out at this gateway is the client's own loss; it is written down before the break is seen.
            let now = self.clock.now();
            let mut out = lock(&self.out);
            let here = |c: &Command| self.slots[c.gateway].name == slot.name;
            let lost: Vec<u64> = out.iter().filter(|(_, c)| here(c)).map(|(t, _)| *t).collect();
            for token in lost {
                out.remove(&token);
                self.recorder.write(&ClientLine::Lost { t: now, token, by_client: true });
                lock(&self.summary).lost += 1;
            }
            drop(out);
            host.close();
        }
    }

    /// The rate at a time since the start.
    fn rate(&self, at: Duration) -> f64 {
        let phase = self.options.phases.iter().rev().find(|p| p.from <= at);
        self.options.rate * phase.map_or(1.0, |p| p.factor)
    }

    /// Offers load at the times of a Poisson process, whatever the answers do.
    fn offer(&self) {
        let o = &self.options;
        let mut rng = StdRng::seed_from_u64(o.seed);
        let start = Instant::now();
        let (mut at, mut next_leave, mut sequence) = (Duration::ZERO, o.leaves, 0u64);
        while at < o.duration && !self.leaving.load(Ordering::Relaxed) {
            let rate = self.rate(at);
            if rate <= 0.0 {
                at += Duration::from_millis(5);
                self.repeat_until(start + at, &mut sequence);
                continue;
            }
            at += Duration::from_secs_f64((-(1.0 - rng.random::<f64>()).ln() / rate).min(60.0));
            if at >= o.duration {
                break;
            }
            let intended = start + at;
            self.repeat_until(intended, &mut sequence);
            if !o.leaves.is_zero() && at >= next_leave {
                next_leave = at + o.leaves;
                self.leave();
            }
            let command = self.draw(&mut rng, intended);
            let abort = rng.random::<f64>() < o.aborts;
            sequence += 1;
            self.issue(sequence, command, abort);
        }
    }

    /// Sends the repeats that fall due, and waits, until the time.
    fn repeat_until(&self, until: Instant, sequence: &mut u64) {
        loop {
            let now = Instant::now();
            let due = {
                let mut repeats = lock(&self.repeats);
                let due = repeats.peek().is_some_and(|r| r.0.0 <= now.min(until));
                if due { repeats.pop() } else { None }
            };
            match due {
                Some(Reverse((_, token))) => {
                    if let Some(command) = lock(&self.repeated).remove(&token) {
                        *sequence += 1;
                        self.issue(*sequence, command, false);
                    }
                }
                None if now >= until => return,
                None => std::thread::sleep((until - now).min(Duration::from_millis(2))),
            }
        }
    }

    fn draw(&self, rng: &mut StdRng, intended: Instant) -> Command {
        let o = &self.options;
        let (nsid, blocks, size) = o.volumes[rng.random_range(0..o.volumes.len())];
        let shares: f64 = o.mix.iter().map(|m| m.share).sum();
        let mut pick = rng.random::<f64>() * shares;
        let mix = o.mix.iter().find(|m| {
            pick -= m.share;
            pick <= 0.0
        });
        let mix = mix.unwrap_or(&o.mix[0]);
        let (op, count) = (mix.op, if mix.op == Op::Flush { 0 } else { mix.blocks });
        let slba = if count == 0 { 0 } else { rng.random_range(0..=blocks.saturating_sub(u64::from(count))) };
        let gateway = rng.random_range(0..o.gateways.len());
        Command { op, nsid, size, slba, blocks: count, gateway, left: o.repeats, intended }
    }

    fn issue(&self, sequence: u64, command: Command, abort: bool) {
        let slot = &self.slots[command.gateway];
        let host = slot.host().filter(|(host, _)| host.is_up());
        let qid = (sequence % u64::from(self.options.queues.max(1))) as u16 + 1;
        let Some((host, connection)) = host.filter(|(host, _)| host.room(qid) > 0) else {
            lock(&self.summary).not_offered += 1;
            return;
        };
        let token = u64::from(self.options.number) << 40 | sequence;
        let Command { op, nsid, size, slba, blocks, .. } = command;
        lock(&self.out).insert(token, command);
        let gateway = slot.name.clone();
        let connection = connection << 8 | u64::from(qid);
        self.recorder.write(&ClientLine::Issue {
            t: self.clock.now(),
            token,
            gateway,
            connection,
            op,
            nsid,
            slba,
            blocks,
        });
        lock(&self.summary).issued += 1;
        let sent = match op {
            Op::Read => host.read(qid, nsid, slba, blocks, size, token),
            Op::Write => host.write(qid, nsid, slba, blocks, fill(token, nsid, slba, blocks, size), token),
            Op::Flush => host.flush(qid, nsid, token),
        };
        match sent {
            Ok(cid) if abort => {
                self.recorder.write(&ClientLine::Abort { t: self.clock.now(), token });
                // Whether it came in time shows in the command's own answer.
                let _ = host.abort(qid, cid);
            }
            Ok(_) => {}
            // The connection broke under the write; its reader may already have told of it.
            Err(_) => self.lost(token),
        }
    }

    fn lost(&self, token: u64) {
        if lock(&self.out).remove(&token).is_some() {
            self.recorder.write(&ClientLine::Lost { t: self.clock.now(), token, by_client: false });
            lock(&self.summary).lost += 1;
        }
    }

    fn listen(&self, answers: &Receiver<Answer>) {
        while let Ok(answer) = answers.recv() {
            if answer.word == Word::Lost {
                self.lost(answer.user);
                continue;
            }
            let Some(command) = lock(&self.out).remove(&answer.user) else { continue };
            self.told(answer, command);
        }
    }

    fn told(&self, answer: Answer, mut command: Command) {
        let (mut found, mut torn, mut advice) = (Vec::new(), 0, 0);
        let told = match &answer.word {
            Word::Served(data) => {
                for block in look(data, command.nsid, command.slba, command.size) {
                    match block {
                        Found::Empty => found.push(0),
                        Found::Written(token) => found.push(token),
                        Found::Torn => torn += 1,
                    }
                }
                Told::Served
            }
            Word::Refused(after) => {
                advice = *after;
                Told::Refused
            }
            Word::Aborted => Told::Aborted,
            Word::Invalid(_) => Told::Invalid,
            Word::Failed | Word::Lost => Told::Failed,
        };
        let (t, token) = (self.clock.now(), answer.user);
        self.recorder.write(&ClientLine::Answer { t, token, told, advice, found, torn });
        let mut summary = lock(&self.summary);
        *summary.told.entry(told).or_default() += 1;
        summary.torn += u64::from(torn);
        if told == Told::Served {
            let span = answer.at.saturating_duration_since(command.intended);
            let _ = summary.latency.record((span.as_micros() as u64).max(1)); // Within the bounds of an hour.
        }
        drop(summary);
        if told == Told::Refused && command.left > 0 {
            command.left -= 1;
            let due = Instant::now() + Duration::from_micros(advice.max(1000) as u64);
            lock(&self.repeated).insert(token, command);
            lock(&self.repeats).push(Reverse((due, token)));
        }
    }
}
