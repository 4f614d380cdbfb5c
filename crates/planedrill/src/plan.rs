//! A drawn schedule: the site's size, what is asked for, and its troubles.

use std::fmt;

use plane::{Micros, Region};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// A second of virtual time.
const SECOND: Micros = 1_000_000;

/// Something that goes wrong, or a burden. Processes by their numbers: machines of the first region, its writer first, then the
/// other regions', then gateways. Times in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// A process is killed and starts again from its own disk.
    Kill {
        /// The process.
        process: usize,
        /// For so long.
        down: Micros,
    },
    /// What a process's disk holds is remembered.
    Remember {
        /// The process.
        process: usize,
    },
    /// A process is killed and starts again from what was remembered of its disk.
    PutBack {
        /// The process.
        process: usize,
        /// For so long.
        down: Micros,
    },
    /// A process is killed and starts again from an empty disk.
    Empty {
        /// The process.
        process: usize,
        /// For so long.
        down: Micros,
    },
    /// All connections of a process break.
    Break {
        /// The process.
        process: usize,
        /// Whether both ends are told.
        told: bool,
    },
    /// A gateway reads so slowly.
    Slow {
        /// The gateway.
        process: usize,
        /// Between two readings.
        gap: Micros,
        /// For so long.
        time: Micros,
    },
    /// All to and from a process takes longer.
    Delay {
        /// The process.
        process: usize,
        /// By so much.
        by: Micros,
        /// For so long.
        time: Micros,
    },
    /// Nothing passes between a region and the others.
    Cut {
        /// The region.
        region: Region,
        /// For so long.
        time: Micros,
    },
    /// Many changes at once.
    Burst {
        /// The region.
        region: Region,
        /// How many.
        changes: usize,
        /// Bytes of their values, at most.
        size: usize,
    },
    /// Many keys that are written and deleted again, so that deletions are forgotten.
    Churn {
        /// The region.
        region: Region,
    },
    /// A writer's disk turns down what it is given.
    Disk {
        /// The writer.
        process: usize,
        /// For so long.
        time: Micros,
    },
}

/// A schedule, drawn from its seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// What it was drawn from.
    pub seed: u64,
    /// Regions, counted from 1.
    pub regions: u16,
    /// Machines of each; the first is its writer.
    pub machines: usize,
    /// Gateways, over all regions evenly.
    pub gateways: usize,
    /// Keys of each region that changes are about.
    pub keys: usize,
    /// A proposal to one region after so long.
    pub pace: Micros,
    /// Troubles and their times.
    pub troubles: Vec<(Micros, Trouble)>,
    /// All heals then, and nothing more is asked for.
    pub until: Micros,
}

impl Plan {
    /// Draws one.
    pub fn draw(seed: u64) -> Plan {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut plan = Plan {
            seed,
            regions: random.random_range(1..=3),
            machines: random.random_range(2..=3),
            gateways: random.random_range(2..=6),
            keys: random.random_range(8..=60),
            pace: random.random_range(60_000..=400_000),
            troubles: Vec::new(),
            until: random.random_range(8..=18) * SECOND,
        };
        for _ in 0..random.random_range(2..=9) {
            let at = random.random_range(SECOND..plan.until);
            plan.trouble(at, &mut random);
        }
        plan.troubles.sort_by_key(|(at, _)| *at);
        plan
    }

    /// Without troubles: for schedules that are made and not drawn.
    pub fn calm(seed: u64, regions: u16, machines: usize, gateways: usize) -> Plan {
        let (keys, pace, until) = (30, 100_000, 10 * SECOND);
        Plan { seed, regions, machines, gateways, keys, pace, troubles: Vec::new(), until }
    }

    /// How many machines there are.
    pub fn all_machines(&self) -> usize {
        usize::from(self.regions) * self.machines
    }

    /// A region's writer.
    pub fn writer(&self, region: Region) -> usize {
        usize::from(region.0 - 1) * self.machines
    }

    fn trouble(&mut self, at: Micros, random: &mut SmallRng) {
        let region = Region(random.random_range(1..=self.regions));
        let (machines, writer) = (self.all_machines(), self.writer(region));
        let machine = if random.random_bool(0.5) { writer } else { random.random_range(0..machines) };
        let gateway = machines + random.random_range(0..self.gateways);
        let process = if random.random_bool(0.7) { machine } else { gateway };
        let down = random.random_range(10_000..3 * SECOND);
        let time = random.random_range(SECOND / 2..8 * SECOND);
        let trouble = match random.random_range(0..20) {
            0..5 => Trouble::Kill { process, down },
            5..7 => {
                let before = random.random_range(SECOND / 2..=at);
                self.troubles.push((before, Trouble::Remember { process }));
                Trouble::PutBack { process, down }
            }
            7..10 => Trouble::Empty { process, down },
            10..12 => Trouble::Break { process, told: random.random_bool(0.7) },
            12..14 => {
                for _ in 0..3 {
                    let changes = random.random_range(20..100);
                    let at = at + random.random_range(0..time);
                    self.troubles.push((at, Trouble::Burst { region, changes, size: 1500 }));
                }
                Trouble::Slow { process: gateway, gap: random.random_range(20_000..2 * SECOND), time }
            }
            14 => Trouble::Delay { process, by: random.random_range(10_000..SECOND), time },
            15..17 => Trouble::Cut { region, time },
            17 => Trouble::Burst { region, changes: random.random_range(50..300), size: 60 },
            18 if random.random_bool(0.08) => Trouble::Churn { region },
            18 => Trouble::Burst { region, changes: random.random_range(20..100), size: 2000 },
            _ => Trouble::Disk { process: writer, time: time / 4 },
        };
        self.troubles.push((at, trouble));
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} regions of {} machines, {} gateways, {} keys, a proposal each {} us until {} us",
            self.seed, self.regions, self.machines, self.gateways, self.keys, self.pace, self.until
        )?;
        for (at, trouble) in &self.troubles {
            writeln!(f, "  {at:>9} us: {trouble:?}")?;
        }
        Ok(())
    }
}
