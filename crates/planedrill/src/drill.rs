//! The drill itself: events in the order of virtual time, and what processes want done.

mod level;
mod seen;
mod starts;
mod troubles;
mod wires;

use std::collections::{BTreeMap, BTreeSet};

use peer::PeerName;
use plane::{Conn, Input, Micros, Output, Place, Region};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::ledger::Ledger;
use crate::net::{Flow, Net};
use crate::plan::Plan;
use crate::process::Process;

/// Events of one schedule; more are a loop that comes to nothing.
const STEPS: u64 = 1_500_000;
/// Bytes that may wait at a machine for one reader to take them: its feed's bound and one message, which has 160 KiB of entries.
const UNSENT: usize = starts::UNSENT + (164 << 10);
/// Bodies behind the base until the base is made anew.
const TAIL: usize = 48;
/// Until a schedule is looked at again.
const WATCH: Micros = 500_000;

/// What one schedule came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Played {
    /// Events.
    pub steps: u64,
    /// Changes that became durable.
    pub changes: u64,
    /// Of these, changes whose proposers were told so.
    pub answered: u64,
    /// Proposals that were turned down.
    pub refused: u64,
    /// Changes that were answered and lost with the writer's disk, as nobody else in the region had them yet.
    pub unreplicated: u64,
    /// Changes behind which a later epoch began elsewhere, answered or not.
    pub abandoned: u64,
    /// Whole states that came into force.
    pub wholes: u64,
    /// What copies turned away, told.
    pub turned_away: u64,
    /// Of these, digests that were not the sender's.
    pub digests: u64,
    /// Writers that were started anew because a later epoch had been seen.
    pub superseded: u64,
    /// Troubles that were passed over: they would have taken a change from all machines of its region, or met nobody.
    pub passed_over: u64,
    /// Regions in which an epoch's number was given twice.
    pub reused: u64,
    /// From the healing until all held the same, in microseconds.
    pub settled: Micros,
}

/// A schedule in which something was that must never be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("seed {seed}, {at} us: {why}\n{plan}")]
pub struct Failure {
    /// Its seed.
    pub seed: u64,
    /// When, in microseconds.
    pub at: Micros,
    /// What it was.
    pub why: String,
    /// The schedule.
    pub plan: Plan,
}

/// Plays the schedule of a seed.
///
/// # Errors
/// Something was that must never be, or the site did not come to hold one state after all had healed.
pub fn play(seed: u64) -> Result<Played, Failure> {
    play_plan(Plan::draw(seed))
}

/// Plays a schedule that was made, as [`play`] does a drawn one.
///
/// # Errors
/// As of [`play`].
pub fn play_plan(plan: Plan) -> Result<Played, Failure> {
    let mut drill = Drill::new(plan);
    match drill.run() {
        Ok(()) => Ok(drill.played),
        Err(why) => Err(Failure { seed: drill.plan.seed, at: drill.now, why, plan: drill.plan }),
    }
}

#[derive(Clone, Debug)]
enum Event {
    Tick { process: usize, due: Micros },
    Flow(Flow),
    Dial { process: usize, life: u64, machine: PeerName },
    NotDialled { process: usize, life: u64, machine: PeerName },
    Synced { process: usize, life: u64, number: u64 },
    Start { process: usize, life: u64 },
    Propose,
    Trouble(usize),
    Calm(Calm),
    Watch,
}

/// The end of a trouble that lasts.
#[derive(Clone, Copy, Debug)]
enum Calm {
    Slow(usize),
    Delay(usize),
    Cut(Region),
    Disk(usize),
}

struct Drill {
    now: Micros,
    plan: Plan,
    queue: BTreeMap<(Micros, u64), Event>,
    last: u64,
    random: SmallRng,
    processes: Vec<Process>,
    net: Net,
    ledger: Ledger,
    cut: BTreeSet<Region>,
    /// Numbers given to values.
    serial: u64,
    played: Played,
    done: bool,
}

impl Drill {
    fn new(plan: Plan) -> Drill {
        let mut processes = Vec::new();
        let regions = || (1..=plan.regions).map(Region);
        for region in regions() {
            for at in 0..plan.machines {
                let name = PeerName(format!("r{}m{at}", region.0));
                let place = Place { name: name.clone(), region, writer: at == 0 };
                processes.push(Process::new(name, region, Some(place)));
            }
        }
        for at in 0..plan.gateways {
            let region = Region((at % usize::from(plan.regions)) as u16 + 1);
            processes.push(Process::new(PeerName(format!("g{at}")), region, None));
        }
        for region in regions() {
            processes.push(Process::new(PeerName(format!("p{}", region.0)), region, None));
        }
        let random = SmallRng::seed_from_u64(plan.seed ^ 0x5eed_0f1a_7e57);
        let ledger = regions().map(|region| (region, Default::default())).collect();
        let mut drill = Drill {
            now: 0,
            plan,
            queue: BTreeMap::new(),
            last: 0,
            random,
            processes,
            net: Net::default(),
            ledger,
            cut: BTreeSet::new(),
            serial: 0,
            played: Played::default(),
            done: false,
        };
        for at in 0..drill.plan.troubles.len() {
            drill.at(drill.plan.troubles[at].0, Event::Trouble(at));
        }
        drill.at(0, Event::Propose);
        drill.at(WATCH, Event::Watch);
        drill
    }

    fn run(&mut self) -> Result<(), String> {
        for process in 0..self.processes.len() {
            self.start(process, false)?;
        }
        while !self.done {
            let Some(((at, _), event)) = self.queue.pop_first() else {
                return Err("nothing happens any more".into());
            };
            self.now = at;
            self.played.steps += 1;
            if self.played.steps > STEPS {
                return Err(format!("a loop that comes to nothing; now {event:?}"));
            }
            self.event(event)?;
        }
        self.sum_up();
        Ok(())
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.last += 1;
        self.queue.insert((at, self.last), event);
    }

    fn event(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Tick { process, due } if self.processes[process].due == Some(due) => {
                self.processes[process].due = None;
                self.handle(process, Input::Tick)
            }
            Event::Tick { .. } => Ok(()),
            Event::Flow(flow) => self.flow(flow),
            Event::Dial { process, life, machine } if self.lives(process, life) => {
                self.dial(process, machine)
            }
            Event::NotDialled { process, life, machine } if self.lives(process, life) => {
                self.handle(process, Input::NotDialled { machine })
            }
            Event::Synced { process, life, number } if self.lives(process, life) => {
                let at = &mut self.processes[process];
                at.syncs = false;
                if at.failing {
                    at.store.take_back(number);
                    self.handle(process, Input::NotKept("no space left".into()))?;
                } else {
                    self.handle(process, Input::Kept)?;
                }
                while !self.processes[process].syncs {
                    let Some(input) = self.processes[process].unheard.pop_front() else { break };
                    self.handle(process, input)?;
                }
                Ok(())
            }
            Event::Start { process, life } if self.lives(process, life) => self.start(process, true),
            Event::Propose => self.propose_some(),
            Event::Trouble(at) => self.trouble(self.plan.troubles[at].1),
            Event::Calm(calm) => self.calm(calm),
            Event::Watch => self.watch(),
            _ => Ok(()),
        }
    }

    fn lives(&self, process: usize, life: u64) -> bool {
        self.processes[process].life == life
    }

    /// Gives a process what happened, and does what it wants done.
    fn handle(&mut self, process: usize, input: Input) -> Result<(), String> {
        if self.processes[process].syncs {
            self.processes[process].unheard.push_back(input);
            return Ok(());
        }
        let kept = input == Input::Kept;
        self.processes[process].told.clear();
        let out = self.processes[process].handle(self.now, input);
        for output in out {
            self.output(process, output, kept)?;
        }
        self.look(process)?;
        self.answers(process)?;
        let due = self.processes[process].next_due();
        if due == Micros::MAX {
            self.processes[process].due = None;
            return Ok(());
        }
        let due = due.max(self.now + 1);
        if self.processes[process].due != Some(due) {
            self.processes[process].due = Some(due);
            self.at(due, Event::Tick { process, due });
        }
        Ok(())
    }

    fn output(&mut self, process: usize, output: Output, kept: bool) -> Result<(), String> {
        let (now, life) = (self.now, self.processes[process].life);
        let mut flows = Vec::new();
        match output {
            Output::Dial(machine) => {
                let at = now + self.random.random_range(300..20_000);
                self.at(at, Event::Dial { process, life, machine });
            }
            Output::Write(conn, bytes) => {
                let Some(end) = self.net.end(conn, process) else { return Ok(()) };
                self.net.write(now, conn, end, bytes, &mut flows);
                self.unsent(conn, end)?;
            }
            Output::Close(conn) => {
                let Some(end) = self.net.end(conn, process) else { return Ok(()) };
                self.net.close(now, conn, end, &mut flows);
            }
            Output::Keep { body, sync } => {
                let number = self.processes[process].store.keep(body);
                if sync {
                    self.processes[process].syncs = true;
                    let at = now + self.random.random_range(300..30_000);
                    self.at(at, Event::Synced { process, life, number });
                }
                let at = &mut self.processes[process];
                if !at.syncs && at.store.tail() > TAIL {
                    let late = self.random.random_bool(0.3);
                    self.processes[process].keep_all(late);
                }
            }
            Output::KeepAll => {
                let late = self.random.random_bool(0.3);
                self.processes[process].keep_all(late);
            }
            Output::InForce(taken) => self.in_force(process, &taken, kept)?,
            Output::TurnedAway { why, .. } => {
                self.played.turned_away += 1;
                self.played.digests += u64::from(why.contains("digest"));
            }
            Output::Level(_) => {}
        }
        self.flows(flows);
        Ok(())
    }

    /// Danger: a machine that holds bytes for readers that take none runs out of memory.
    fn unsent(&mut self, conn: Conn, end: usize) -> Result<(), String> {
        let Some(link) = self.net.link(conn) else { return Ok(()) };
        let (unsent, from, to) = (link.ways[end].unsent, link.ends[end], link.ends[1 - end]);
        let reader = &self.processes[to];
        let served =
            self.processes[from].place.is_some() && (reader.place.is_some() || reader.copy().is_some());
        if unsent > UNSENT && served {
            let from = &self.processes[from].name;
            return Err(format!(
                "{unsent} bytes wait at {from} for {}, which takes them slowly",
                reader.name
            ));
        }
        Ok(())
    }
}
