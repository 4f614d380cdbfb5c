//! A control machine's process: its loop, its disk and its records.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use peer::PeerName;
use peer::channel::Greeting;
use plane::{Input, Machine, MachineOptions, Micros, Output, Taken, Writer};
use records::Clock;

use crate::copy_records::{CopyRecords, Holder};
use crate::error::RunError;
use crate::life;
use crate::net::{Event, Net};
use crate::options::MachineRun;
use crate::status::{self, MachineLine};
use crate::store::{Store, StoreError};
use crate::written::WrittenLog;

/// What need not be durable before it is said is so after this.
const SYNC: Micros = 3_000_000;
/// Where all could not be kept anew, it is tried again after this.
const AGAIN: Micros = 1_000_000;
/// No timer is finer than this.
const FINEST: Micros = 1_000;
/// Where its copy stands is written down once in this time.
const STANDS: Micros = 60_000_000;

/// Runs a control machine until told to stop.
///
/// # Errors
/// It cannot listen, its files cannot be used, its records cannot be written, or it is not known any more what is on its disk.
pub fn run_machine(run: MachineRun, stop: Arc<AtomicBool>) -> Result<(), RunError> {
    let mut process = Process::new(run)?;
    while !stop.load(Ordering::SeqCst) {
        process.turn()?;
    }
    process.end()
}

struct Process {
    run: MachineRun,
    clock: Clock,
    net: Net,
    machine: Machine,
    store: Store,
    /// The other machines, whose numbers their connections bear.
    others: Vec<(PeerName, Option<SocketAddr>)>,
    /// A body that has to be durable before the machine is told anything else.
    owed: Option<Vec<u8>>,
    /// Bodies were kept in this turn that are in force already.
    loose: bool,
    /// The store does not hold what is in force: all is kept anew, not before that time.
    whole: Option<Micros>,
    /// Not before this is all kept anew for the length of the tail.
    keeps: Micros,
    /// When what was handed over is made durable.
    sync_at: Option<Micros>,
    written: Option<WrittenLog>,
    records: CopyRecords,
    holder: Holder,
    /// What comes into force now was made durable by the own writer.
    from_writer: bool,
    says: Micros,
    stands: Micros,
    /// Whether the writer was open when a line was said last.
    said: Option<bool>,
    /// Not before this is the machine told the time again.
    ticks: Micros,
    out: Vec<Output>,
}

impl Process {
    fn new(run: MachineRun) -> Result<Process, RunError> {
        let clock = Clock::new();
        let life = life::begin(&run.folder)?;
        let (store, bodies) = Store::open(&run.folder)?;
        let greeting = Greeting { site: run.site, name: run.name.clone(), life };
        let mut options = MachineOptions::new(greeting, run.machines.clone());
        (options.bounds, options.feed, options.spread) = (run.bounds, run.feed, run.spread);
        (options.beat, options.silence) = (run.beat, run.silence);
        let now = clock.now();
        let mut machine = Machine::new(options, now, run.seed);
        let (folder, name) = (run.records.as_deref(), &run.name);
        let mut written = match machine.writer() {
            Some(writer) => Some(WrittenLog::open(folder, &format!("written-{name}.log"), writer.region())?),
            None => None,
        };
        for body in &bodies {
            machine.restore(body).map_err(|why| RunError::Restore { folder: run.folder.clone(), why })?;
            if let Some(written) = &mut written {
                written.restored(now, body);
            }
        }
        let mut records = CopyRecords::open(folder, &format!("held-{name}.log"))?;
        let mut holder = Holder::new(name.clone(), life.incarnation.0);
        records.start(now, &mut holder, machine.copy());
        let mut net = Net::new().map_err(RunError::Loop)?;
        net.listen(run.listen).map_err(|error| RunError::Listen(run.listen, error))?;
        let others = run.machines.iter().map(|m| (m.name.clone(), run.addresses.get(&m.name).copied()));
        Ok(Process {
            clock,
            net,
            machine,
            store,
            others: others.collect(),
            owed: None,
            loose: false,
            whole: None,
            keeps: now,
            sync_at: None,
            written,
            records,
            holder,
            from_writer: false,
            says: now,
            stands: now + STANDS,
            said: None,
            ticks: now,
            out: Vec::new(),
            run,
        })
    }

    fn turn(&mut self) -> Result<(), RunError> {
        panics::test_point("machine");
        let now = self.clock.now();
        self.net.poll(now, self.next_due()).map_err(RunError::Loop)?;
        while let Some(event) = self.net.next(self.clock.now()) {
            self.on_event(event)?;
        }
        let now = self.clock.now();
        if now >= self.machine.next_due().max(self.ticks) {
            // A time that is over and stays so would hold the loop.
            self.ticks = now + FINEST;
            self.handle(now, Input::Tick)?;
        }
        loop {
            self.settle()?;
            self.flush_records()?;
            if !self.net.is_due() {
                break;
            }
            while let Some(event) = self.net.flush() {
                self.on_event(event)?;
            }
        }
        self.keep_up()?;
        self.look()
    }

    fn next_due(&self) -> Micros {
        let disk = self.sync_at.into_iter().chain(self.whole).min().unwrap_or(Micros::MAX);
        self.machine.next_due().max(self.ticks).min(disk).min(self.says).min(self.stands)
    }

    fn on_event(&mut self, event: Event) -> Result<(), RunError> {
        let now = self.clock.now();
        let machine = |tag: usize| self.others[tag].0.clone();
        let input = match event {
            Event::Up { conn, tag } => Input::Dialled { machine: machine(tag), conn },
            Event::Failed { tag } => Input::NotDialled { machine: machine(tag) },
            Event::Accepted { conn } => Input::Accepted { conn },
            Event::Bytes { conn, bytes, .. } => Input::Bytes { conn, bytes },
            Event::Taken { conn, bytes } => Input::Taken { conn, bytes },
            Event::Ended { conn, .. } => Input::Ended { conn },
        };
        self.handle(now, input)
    }

    fn handle(&mut self, mut now: Micros, mut input: Input) -> Result<(), RunError> {
        loop {
            self.from_writer = matches!(input, Input::Kept);
            let mut out = std::mem::take(&mut self.out);
            self.machine.handle(now, input, &mut out);
            for output in out.drain(..) {
                self.carry_out(now, output);
            }
            self.out = out;
            // What its writer waits for goes before all else.
            let Some(body) = self.owed.take() else { return Ok(()) };
            input = self.make_durable(&body)?;
            now = self.clock.now();
        }
    }

    fn carry_out(&mut self, now: Micros, output: Output) {
        match output {
            Output::Dial(name) => self.dial(now, &name),
            Output::Write(conn, bytes) => self.net.write(conn, bytes),
            Output::Close(conn) => self.net.close(conn, now),
            Output::Keep { body, sync } => self.keep(now, body, sync),
            Output::KeepAll => self.whole = Some(now),
            Output::InForce(taken) => self.in_force(now, &taken),
            Output::TurnedAway { from, why } => {
                let from = from.map(|name| name.0).unwrap_or_default();
                tracing::warn!(machine = %self.run.name, from, why, "turned away");
            }
            Output::Level(region) => tracing::debug!(machine = %self.run.name, region = region.0, "level"),
        }
    }

    fn dial(&mut self, now: Micros, name: &PeerName) {
        let Some(tag) = self.others.iter().position(|(other, _)| other == name) else { return };
        match self.others[tag].1 {
            Some(address) => self.net.dial(address, tag, now),
            None => self.net.fail(tag),
        }
    }

    fn in_force(&mut self, now: Micros, taken: &Taken) {
        if let Some(written) = self.written.as_mut().filter(|_| self.from_writer) {
            written.written(now, taken);
        }
        self.records.in_force(now, &mut self.holder, taken);
    }

    fn keep(&mut self, now: Micros, body: Vec<u8>, sync: bool) {
        // What is kept with all needs no place of its own.
        if self.whole.is_none() {
            match self.store.keep(&body) {
                Ok(()) => self.loose |= !sync,
                Err(error) => self.fail(now, &error),
            }
        }
        if sync {
            self.owed = Some(body);
        }
    }

    /// The store lacks something that is in force: nothing can follow it there before all is kept anew.
    fn fail(&mut self, now: Micros, error: &StoreError) {
        if self.whole.is_none() {
            tracing::error!(machine = %self.run.name, %error, "the control plane's state could not be kept; it is tried as a whole");
        }
        self.whole = Some(now);
    }

    /// Makes durable what its writer waits for, with all that was kept before; what the machine is told of it.
    fn make_durable(&mut self, body: &[u8]) -> Result<Input, RunError> {
        let handed = self.store.handed();
        let kept = if self.whole.is_some() { self.keep_whole(Some(body)) } else { self.store.sync() };
        self.see(handed, &kept);
        match kept {
            Ok(()) => Ok(Input::Kept),
            // Danger: whether the disk has it is not known, and neither may be said. A new start finds out.
            Err(error) if error.is_uncertain() => Err(error.into()),
            Err(error) => Ok(Input::NotKept(error.to_string())),
        }
    }

    /// Gives to the system what a turn brought.
    fn settle(&mut self) -> Result<(), RunError> {
        let handed = self.store.handed();
        let kept = match self.whole {
            Some(at) if self.clock.now() >= at => self.keep_whole(None),
            Some(_) => return Ok(()),
            None => self.store.hand_over(),
        };
        self.see(handed, &kept);
        match kept {
            Err(error) if error.is_uncertain() => Err(error.into()),
            _ => Ok(()),
        }
    }

    /// Looks at what became of a group that was kept.
    fn see(&mut self, handed: u64, kept: &Result<(), StoreError>) {
        let now = self.clock.now();
        let loose = std::mem::take(&mut self.loose);
        match kept {
            Ok(()) => {
                let unsynced = self.store.is_unsynced();
                self.sync_at = unsynced.then(|| self.sync_at.unwrap_or(now + SYNC));
            }
            // Danger: a disk that is full must not stop what is in force, and what others write comes again after a start. But what
            // follows a body that is not there could not be restored.
            Err(_) if self.whole.is_some() => self.whole = Some(now + AGAIN),
            Err(error) if loose || self.store.handed() < handed => self.fail(now, error),
            Err(_) => {}
        }
    }

    /// Keeps what is in force in place of all, with a body that is not in force yet behind it.
    fn keep_whole(&mut self, owed: Option<&[u8]>) -> Result<(), StoreError> {
        let mut bodies = self.machine.export();
        bodies.extend(owed.map(<[u8]>::to_vec));
        self.store.keep_all(&bodies)?;
        self.whole = None;
        Ok(())
    }

    /// Makes durable what has waited for it, and keeps all anew where the tail is long.
    fn keep_up(&mut self) -> Result<(), RunError> {
        let now = self.clock.now();
        if self.whole.is_some() {
            return Ok(());
        }
        if self.sync_at.is_some_and(|at| now >= at) {
            self.sync_at = None;
            match self.store.sync() {
                Err(error) if error.is_uncertain() => return Err(error.into()),
                Err(error) => self.fail(now, &error),
                Ok(()) => {}
            }
        } else if now >= self.keeps && self.store.is_long() {
            match self.keep_whole(None) {
                Err(error) if error.is_uncertain() => return Err(error.into()),
                Err(error) => {
                    // The tail goes on as it is. It is tried again, but not in each turn.
                    self.keeps = now + AGAIN;
                    tracing::warn!(machine = %self.run.name, %error, "the store's tail could not be put into its base");
                }
                Ok(()) => {}
            }
        }
        Ok(())
    }

    fn flush_records(&mut self) -> Result<(), RunError> {
        if let Some(written) = &mut self.written {
            written.flush()?;
        }
        self.records.flush()
    }

    /// Says how it stands, and writes it down, when it is time.
    fn look(&mut self) -> Result<(), RunError> {
        let now = self.clock.now();
        if now >= self.stands {
            self.stands = now + STANDS;
            self.records.stand(now, &self.holder, self.machine.copy());
            self.records.flush()?;
        }
        let open = self.machine.writer().map(Writer::is_open);
        if now >= self.says || open != self.said {
            (self.says, self.said) = (now + status::EVERY, open);
            self.say(now);
        }
        Ok(())
    }

    fn say(&mut self, now: Micros) {
        let (copy, counts) = (self.machine.copy(), self.machine.counts());
        let (bytes_in, bytes_out) = self.net.bytes();
        let line = MachineLine {
            lost_log_lines: output::lost_lines(),
            t: now,
            name: &self.run.name.0,
            open: self.machine.writer().map(Writer::is_open),
            subscribers: self.machine.subscribers(),
            cursors: status::cursors(copy.regions().map(|region| (region, copy.cursor(region)))),
            entries: copy.len(),
            bytes_in,
            bytes_out,
            notes_out: counts.notes_out,
            entries_out: counts.entries_out,
            wholes: counts.wholes,
            turned_away: counts.turned_away,
            waits_for: self.machine.waits_for().into_iter().collect(),
        };
        status::say(&mut self.run.tell, &line);
    }

    fn end(&mut self) -> Result<(), RunError> {
        let now = self.clock.now();
        let kept = if self.whole.is_some() { self.keep_whole(None) } else { self.store.sync() };
        match kept {
            Err(error) if error.is_uncertain() => return Err(error.into()),
            // What its writer answered is durable. The rest comes again after a start.
            Err(error) => {
                tracing::error!(machine = %self.run.name, %error, "not all of the state is on the disk")
            }
            Ok(()) => {}
        }
        self.records.stand(now, &self.holder, self.machine.copy());
        self.flush_records()?;
        self.say(now);
        Ok(())
    }
}
