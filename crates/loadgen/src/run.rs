//! One run: an event loop that sends what is due and hears what is told.
//!
//! One thread, no locks. What is due goes out before what was told is read on, in portions, so that neither starves the
//! other; a timer of the system wakes it (its poll takes whole milliseconds only).

use std::collections::HashMap;
use std::io;
use std::os::fd::{AsFd, AsRawFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use load::{Found, Word, fill, look, word};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token as Ready};
use nix::sys::time::TimeSpec;
use nix::sys::timerfd::{ClockId, Expiration, TimerFd, TimerFlags, TimerSetTimeFlags};
use nvme::{Reply, Sqe, io as opcode};
use rand::Rng;
use rand::rngs::StdRng;

use crate::arrivals::{Arrivals, rng_of};
use crate::association::{Association, AssociationOptions, Heard, buffer};
use crate::behaviour::{Act, Behaviour, End, Outcome, Token};
use crate::meter::{Meter, Results};
use crate::proof::{Breach, Proof};
use crate::scenario::{Micros, Op, Scenario};
use crate::trace::{TraceError, read_trace};
use crate::workload::{Wanted, Workload};

/// Commands sent before the sockets are looked at again.
const PORTION: usize = 256;
/// Associations that are on their way up at one time.
const RISING: usize = 64;
/// Time for the first connections.
const WAY_UP: Micros = 10_000_000;
const TIMER: Ready = Ready(usize::MAX);

/// Why a run did not begin, or could not go on.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The system.
    #[error("the event loop: {0}")]
    Io(#[from] io::Error),
    /// The trace.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// Nobody answered.
    #[error("no gateway let a host in within 10 s; is one listening on {0}?")]
    NobodyThere(String),
    /// Too few files.
    #[error(
        "{wanted} connections are wanted and {allowed} files may be open; raise the limit (ulimit -n) or ask for fewer"
    )]
    Files {
        /// Connections.
        wanted: u64,
        /// Files.
        allowed: u64,
    },
}

/// How a run goes, once a second.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Seconds since its start.
    pub second: f64,
    /// Commands wanted so far.
    pub wanted: u64,
    /// Ends so far.
    pub ends: std::collections::BTreeMap<End, u64>,
    /// Commands open.
    pub open: usize,
    /// Associations that are up.
    pub up: usize,
}

/// Where commands come from: a trace, or phases.
struct Source {
    trace: Option<std::vec::IntoIter<Wanted>>,
    arrivals: Arrivals,
    workload: Workload,
}

impl Source {
    fn next(&mut self, scenario: &Scenario) -> Option<Wanted> {
        let workload = &mut self.workload;
        match &mut self.trace {
            Some(trace) => trace
                .next()
                .map(|w| Wanted { gateway: workload.gateway(scenario, w.volume, w.intended), ..w }),
            None => self.arrivals.next().map(|at| workload.draw(scenario, at)),
        }
    }
}

/// A try that is out.
struct Out {
    wanted: Wanted,
    issued: Micros,
}

struct Run<'a> {
    scenario: &'a Scenario,
    start: Instant,
    poll: Poll,
    timer: TimerFd,
    /// By gateway, then host.
    associations: Vec<Association>,
    /// Readiness tokens that each association has.
    each: usize,
    next_host: usize,
    behaviour: Behaviour,
    proof: Proof,
    meter: Meter,
    source: Source,
    next: Option<Wanted>,
    out: HashMap<Token, Out>,
    acts: Vec<Act>,
    dirty: Vec<usize>,
    rng: StdRng,
    next_death: Micros,
    /// Until the load begins, times are before it.
    begun: bool,
}

/// Runs a scenario. `stop` ends its arrivals early; `tell` is called once a second.
///
/// # Errors
/// The trace, too few files, or nobody to talk to.
pub fn run(
    scenario: &Scenario,
    stop: &AtomicBool,
    tell: &mut dyn FnMut(&Progress),
) -> Result<Results, RunError> {
    enough_files(scenario)?;
    let mut run = Run::new(scenario)?;
    run.connect()?;
    run.offer(stop, tell)?;
    Ok(run.meter.results(scenario.load.late_ms))
}

fn connections(scenario: &Scenario) -> u64 {
    let l = &scenario.load;
    u64::from(l.hosts) * scenario.gateway.len() as u64 * u64::from(l.queues + 1)
}

/// Raises the limit on open files as far as it may be, and tells if that is not enough.
fn enough_files(scenario: &Scenario) -> Result<(), RunError> {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    let wanted = connections(scenario) + 64;
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).map_err(io::Error::from)?;
    if soft < wanted && hard >= wanted {
        setrlimit(Resource::RLIMIT_NOFILE, wanted, hard).map_err(io::Error::from)?;
    }
    if soft.max(hard) < wanted {
        return Err(RunError::Files { wanted, allowed: hard });
    }
    Ok(())
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Result<Self, RunError> {
        let l = &scenario.load;
        // Tokens of this run are told from those of others by chance, not by the seed: blocks outlive runs.
        let salt = rand::rng().random_range(1..=u16::MAX);
        let trace = scenario.trace.as_ref().map(|t| read_trace(scenario, t)).transpose()?;
        let arrivals = Arrivals::new(scenario.phase.clone(), rng_of(l.seed, 1));
        let trace = trace.map(Vec::into_iter);
        let mut source = Source { trace, arrivals, workload: Workload::new(scenario) };
        let each = l.queues as usize + 1;
        let mut associations = Vec::new();
        for gateway in &scenario.gateway {
            for host in 0..l.hosts {
                let mut host_id = [0; 16];
                host_id[..4].copy_from_slice(&(host + 1).to_le_bytes());
                host_id[4..6].copy_from_slice(&salt.to_le_bytes());
                let options = AssociationOptions {
                    address: gateway.address,
                    subsystem: l.subsystem.clone(),
                    host: format!("nqn.2026-12.crowbay:load:{host}"),
                    host_id,
                    queues: l.queues as u16,
                    depth: l.depth,
                    keep_alive_ms: l.keep_alive_ms,
                };
                associations.push(Association::new(options, associations.len() * each));
            }
        }
        let poll = Poll::new()?;
        let timer =
            TimerFd::new(ClockId::CLOCK_MONOTONIC, TimerFlags::TFD_NONBLOCK).map_err(io::Error::from)?;
        poll.registry().register(&mut SourceFd(&timer.as_fd().as_raw_fd()), TIMER, Interest::READABLE)?;
        let dies = (l.host_dies_every_s * 1e6) as Micros;
        Ok(Run {
            scenario,
            start: Instant::now(),
            poll,
            timer,
            associations,
            each,
            next_host: 0,
            behaviour: Behaviour::new(scenario.class.clone(), salt),
            proof: Proof::new(salt),
            meter: Meter::new(scenario.class.clone()),
            next: source.next(scenario),
            source,
            out: HashMap::new(),
            acts: Vec::new(),
            dirty: Vec::new(),
            rng: rng_of(l.seed, 3),
            next_death: if dies > 0 { dies } else { Micros::MAX },
            begun: false,
        })
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn up(&self) -> usize {
        self.associations.iter().filter(|a| a.is_up()).count()
    }

    /// Makes the first connections; goes on once all are up, or the time is over and some are.
    fn connect(&mut self) -> Result<(), RunError> {
        while self.up() < self.associations.len() && self.now() < WAY_UP {
            self.look_after();
            self.poll(Some(self.now() + 50_000), self.now())?;
        }
        if self.up() == 0 {
            let all: Vec<String> = self.scenario.gateway.iter().map(|g| g.address.to_string()).collect();
            return Err(RunError::NobodyThere(all.join(", ")));
        }
        // What is intended from here on.
        let before = self.now();
        self.start += Duration::from_micros(before as u64);
        self.begun = true;
        Ok(())
    }

    /// Connects what is down and keeps what is up, a few at a time.
    fn look_after(&mut self) {
        let now = self.now();
        let risen = self.associations.iter().filter(|a| !a.is_up() && !a.is_down()).count();
        let mut room = RISING.saturating_sub(risen);
        let registry = self.poll.registry();
        for a in &mut self.associations {
            if a.next_due() > now || (a.is_down() && room == 0) {
                continue;
            }
            if a.tick(now, registry) {
                room -= 1;
                self.meter.connections += 1;
            }
        }
    }

    fn offer(&mut self, stop: &AtomicBool, tell: &mut dyn FnMut(&Progress)) -> Result<(), RunError> {
        let (mut next_tell, mut next_care) = (1_000_000, 0);
        loop {
            let mut now = self.now();
            if stop.load(Ordering::Relaxed) {
                self.next = None;
            }
            self.behaviour.tick(now, &mut self.acts);
            self.act();
            let mut sent = 0;
            while let Some(wanted) = self.next.filter(|w| w.intended <= now && sent < PORTION) {
                self.next = self.source.next(self.scenario);
                self.behaviour.want(now, wanted, &mut self.acts);
                self.act();
                sent += 1;
                now = self.now();
            }
            self.flush();
            if now >= next_care {
                next_care = now + 20_000;
                self.look_after();
                self.kill_a_host(now);
            }
            if now >= next_tell {
                next_tell += 1_000_000;
                tell(&self.progress(now));
            }
            if self.next.is_none() && self.behaviour.open() == 0 {
                return Ok(());
            }
            let due =
                [self.next.map(|w| w.intended), self.behaviour.next_due(), Some(next_care), Some(next_tell)];
            self.poll(due.into_iter().flatten().min(), now)?;
        }
    }

    fn progress(&self, now: Micros) -> Progress {
        let (wanted, ends) = self.meter.so_far();
        Progress { second: now as f64 / 1e6, wanted, ends, open: self.behaviour.open(), up: self.up() }
    }

    /// Waits for sockets, or until the time.
    fn poll(&mut self, until: Option<Micros>, now: Micros) -> Result<(), RunError> {
        let wait = until.map_or(1_000_000, |at| at - now);
        let mut timeout = None;
        if wait <= 0 {
            timeout = Some(Duration::ZERO);
        } else {
            let at = TimeSpec::from_duration(Duration::from_micros(wait as u64));
            let set = self.timer.set(Expiration::OneShot(at), TimerSetTimeFlags::empty());
            set.map_err(io::Error::from)?;
        }
        let mut events = Events::with_capacity(256);
        match self.poll.poll(&mut events, timeout) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        let mut buffer = buffer();
        let reconnect = Micros::from(self.scenario.load.reconnect_ms) * 1000;
        let mut heard = Vec::new();
        for event in &events {
            if event.token() == TIMER {
                let _ = self.timer.wait(); // Only takes its expiration off.
                continue;
            }
            let (index, now) = (event.token().0 / self.each, self.now());
            let registry = self.poll.registry();
            let Some(association) = self.associations.get_mut(index) else { continue };
            association.ready(now, event.token().0, reconnect, registry, &mut buffer, &mut heard);
            let delays = association.retry_delays();
            for one in heard.drain(..) {
                match one {
                    Heard::Reply(reply) => self.reply(reply, &delays),
                    Heard::Lost(tokens) => self.lost(tokens),
                }
            }
        }
        self.act();
        self.flush();
        Ok(())
    }

    fn lost(&mut self, tokens: Vec<Token>) {
        self.meter.lost_connections += u64::from(self.begun);
        tokens.into_iter().for_each(|token| self.ended(token, Outcome::Lost));
    }

    fn reply(&mut self, reply: Reply, delays: &[u16; 3]) {
        let token = Token(reply.user);
        let outcome = match word(reply, delays) {
            Word::Served(data) => {
                self.check(token, &data);
                Outcome::Served
            }
            Word::Refused(advice) => Outcome::Refused { advice },
            Word::Invalid(status) => {
                tracing::warn!("a command was turned down for its form, status {status:03x}h");
                Outcome::Invalid
            }
            Word::Lost => Outcome::Lost,
            Word::Failed | Word::Aborted => Outcome::Failed,
        };
        self.ended(token, outcome);
    }

    /// A try ended, whether or not anybody waits for it.
    fn ended(&mut self, token: Token, outcome: Outcome) {
        let now = self.now();
        if let Some(out) = self.out.remove(&token)
            && self.scenario.class[out.wanted.class].op == Op::Write
        {
            self.proof.ended(now, token, outcome);
        }
        if !self.behaviour.ended(now, token, outcome, &mut self.acts) && outcome != Outcome::Lost {
            self.meter.late_answers += 1;
        }
    }

    /// Holds what a read brought against what may be there.
    fn check(&mut self, token: Token, data: &Bytes) {
        let Some(out) = self.out.get(&token) else { return };
        if self.scenario.class[out.wanted.class].op != Op::Read {
            return;
        }
        let volume = &self.scenario.volume[out.wanted.volume];
        let found = look(data, volume.nsid, out.wanted.slba, volume.block_kib * 1024);
        let blocks = (out.wanted.slba..).zip(found);
        let breaches =
            blocks.filter_map(|(lba, f): (u64, Found)| self.proof.check(volume.nsid, lba, f, out.issued));
        self.meter.blocks_checked += u64::from(out.wanted.blocks);
        for breach in breaches {
            match breach {
                Breach::Torn => self.meter.torn += 1,
                Breach::Foreign => self.meter.foreign += 1,
                Breach::Stale => self.meter.stale += 1,
            }
        }
    }

    fn act(&mut self) {
        while !self.acts.is_empty() {
            for act in std::mem::take(&mut self.acts) {
                match act {
                    Act::Try { token, wanted, first } => self.send(token, wanted, first),
                    Act::Forget(_) => {} // Its answer is counted as late.
                    Act::Done { wanted, end, latency, tries } => {
                        let now = self.now();
                        self.meter.ended(now, wanted.class, wanted.intended, end, latency, tries);
                    }
                }
            }
        }
    }

    fn send(&mut self, token: Token, wanted: Wanted, first: bool) {
        let (volume, class) = (&self.scenario.volume[wanted.volume], &self.scenario.class[wanted.class]);
        let size = volume.block_kib * 1024;
        let (mut sqe, data, expect) = match class.op {
            Op::Read => {
                let sqe = Sqe::blocks(opcode::READ, volume.nsid, wanted.slba, wanted.blocks);
                (sqe, Bytes::new(), wanted.blocks * size)
            }
            Op::Write => {
                let data = fill(token.0, volume.nsid, wanted.slba, wanted.blocks, size);
                (Sqe::blocks(opcode::WRITE, volume.nsid, wanted.slba, wanted.blocks), data, 0)
            }
            Op::Flush => {
                let mut sqe = Sqe::new(opcode::FLUSH);
                sqe.set_nsid(volume.nsid);
                (sqe, Bytes::new(), 0)
            }
        };
        sqe.set_token(token.0);
        let (nsid, now) = (volume.nsid, self.now());
        if class.op == Op::Write {
            self.proof.issued(now, token, nsid, wanted.slba, wanted.blocks);
        }
        if first {
            self.meter.wanted(wanted.class, wanted.intended, now);
        }
        self.out.insert(token, Out { wanted, issued: now });
        let hosts = self.scenario.load.hosts as usize;
        for n in 0..hosts {
            let index = wanted.gateway * hosts + (self.next_host + n) % hosts;
            if self.associations[index].submit(token, sqe, &data, expect) {
                self.next_host = (self.next_host + n + 1) % hosts;
                self.dirty.push(index);
                return;
            }
        }
        self.ended(token, Outcome::NotOffered);
    }

    fn flush(&mut self) {
        self.dirty.sort_unstable();
        self.dirty.dedup();
        for index in self.dirty.drain(..) {
            self.associations[index].flush();
        }
    }

    /// A host that dies: one of them breaks all its connections, whatever is out.
    fn kill_a_host(&mut self, now: Micros) {
        if now < self.next_death {
            return;
        }
        self.next_death += (self.scenario.load.host_dies_every_s * 1e6) as Micros;
        let hosts = self.scenario.load.hosts as usize;
        let host = self.rng.random_range(0..hosts);
        for gateway in 0..self.scenario.gateway.len() {
            let association = &mut self.associations[gateway * hosts + host];
            if association.is_up() {
                let lost = association.close(now + Micros::from(self.scenario.load.reconnect_ms) * 1000);
                self.lost(lost);
            }
        }
    }
}
