//! What is played, and how large.

use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use crate::error::DayError;

/// How large the site is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Size {
    /// Its word.
    pub name: String,
    /// Machines of each region; the first of each is its writer.
    pub machines: Vec<usize>,
    /// Processes of gateways, of one region each.
    pub processes: usize,
    /// Gateways of each of them.
    pub gateways: usize,
    /// Entries on nodes.
    pub nodes: usize,
    /// Entries on shards.
    pub shards: usize,
    /// Entries on volumes.
    pub volumes: usize,
    /// Entries on plans.
    pub plans: usize,
    /// Entries on limits.
    pub limits: usize,
    /// Entries on maps of extents.
    pub extents: usize,
    /// Nodes and members of a zone that goes.
    pub zone: (usize, usize),
    /// Changes that come at once.
    pub burst: usize,
}

impl Size {
    /// The whole fleet: 16 machines in 5 regions, 3,600 gateways in 20 processes, some 32,500 entries.
    pub fn full() -> Size {
        Size {
            name: "full".into(),
            machines: vec![4, 3, 3, 3, 3],
            processes: 20,
            gateways: 180,
            nodes: 21_000,
            shards: 7000,
            volumes: 300,
            plans: 20,
            limits: 200,
            extents: 300,
            zone: (1235, 212),
            burst: 500,
        }
    }

    /// 3 machines in one region, 60 gateways in 2 processes, some 500 entries.
    pub fn small() -> Size {
        Size {
            name: "small".into(),
            machines: vec![3],
            processes: 2,
            gateways: 30,
            nodes: 300,
            shards: 100,
            volumes: 8,
            plans: 2,
            limits: 4,
            extents: 8,
            zone: (18, 3),
            burst: 100,
        }
    }

    /// 5 machines in two regions, 80 gateways in 4 processes: what needs another region, in little time.
    pub fn pair() -> Size {
        Size { name: "pair".into(), machines: vec![3, 2], processes: 4, gateways: 20, ..Size::small() }
    }

    /// All gateways. Each has a member entry.
    pub fn members(&self) -> usize {
        self.processes * self.gateways
    }

    /// All machines.
    pub fn machine_count(&self) -> usize {
        self.machines.iter().sum()
    }

    /// Regions, numbered from 1.
    pub fn regions(&self) -> impl Iterator<Item = u16> + use<> {
        1..=self.machines.len() as u16
    }
}

impl FromStr for Size {
    type Err = DayError;

    fn from_str(word: &str) -> Result<Size, DayError> {
        let all = [Size::full(), Size::pair(), Size::small()];
        let found = all.into_iter().find(|size| size.name == word);
        found.ok_or_else(|| DayError::Option(format!("'{word}' is no size; 'full', 'pair' and 'small' are")))
    }
}

/// A day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Day {
    /// The changes of a usual day, sixty times as fast.
    Ordinary,
    /// All gateways are killed and come back; once more with no machine there.
    Restart,
    /// Machines are killed, one by one and together, put back from an old disk, started empty.
    Machines,
    /// Many changes at once.
    Burst,
    /// Some gateways take nothing for a while.
    Stuck,
    /// A bit of each for a test: usual changes for seconds, one machine and one process of gateways killed.
    Short,
}

impl Day {
    /// All of them.
    pub const ALL: [Day; 6] =
        [Day::Ordinary, Day::Restart, Day::Machines, Day::Burst, Day::Stuck, Day::Short];

    /// Its word.
    pub fn word(self) -> &'static str {
        match self {
            Day::Ordinary => "ordinary",
            Day::Restart => "restart",
            Day::Machines => "machines",
            Day::Burst => "burst",
            Day::Stuck => "stuck",
            Day::Short => "short",
        }
    }
}

impl FromStr for Day {
    type Err = DayError;

    fn from_str(word: &str) -> Result<Day, DayError> {
        let words = Day::ALL.map(Day::word).join(", ");
        let found = Day::ALL.into_iter().find(|day| day.word() == word);
        found.ok_or_else(|| DayError::Option(format!("'{word}' is no day; there are {words}")))
    }
}

/// Settings of a play.
#[derive(Clone, Debug)]
pub struct DayOptions {
    /// The program, `crowbay`.
    pub program: PathBuf,
    /// An empty or new folder for all that is written.
    pub out: PathBuf,
    /// How large.
    pub size: Size,
    /// Which days, in this order.
    pub days: Vec<Day>,
    /// Usual changes come for so long.
    pub ordinary: Duration,
    /// Gateways that were killed come back evenly over this.
    pub spread: Duration,
    /// Machines that were killed stay away for so long.
    pub down: Duration,
    /// All of them, when all were killed.
    pub all_down: Duration,
    /// Stuck gateways take nothing for so long.
    pub stuck: Duration,
    /// A condition that is waited for has to come about within this.
    pub patience: Duration,
    /// For everything that is drawn.
    pub seed: u64,
    /// Keep the processes' states, some GB at full size; else only records, logs and the report stay.
    pub keep: bool,
}

impl DayOptions {
    /// The usual spans, and the first five days.
    pub fn new(program: PathBuf, out: PathBuf, size: Size) -> DayOptions {
        DayOptions {
            program,
            out,
            size,
            days: Day::ALL[..5].to_vec(),
            ordinary: Duration::from_secs(120),
            spread: Duration::from_secs(60),
            down: Duration::from_secs(10),
            all_down: Duration::from_secs(60),
            stuck: Duration::from_secs(30),
            patience: Duration::from_secs(180),
            seed: 1,
            keep: false,
        }
    }

    pub(crate) fn check(&self) -> Result<(), DayError> {
        let s = &self.size;
        let wrong = |what: &str| Err(DayError::Option(what.to_owned()));
        if s.machines.is_empty() || s.machines.contains(&0) || s.machines.len() > 999 {
            return wrong("a site has 1 to 999 regions, with a machine in each");
        }
        if s.processes < s.machines.len() || s.gateways == 0 {
            return wrong("each region needs a process of gateways, and each process a gateway");
        }
        if s.nodes < s.machines.len() || s.zone.0 > s.nodes / s.machines.len() {
            return wrong("a zone has more nodes than a region");
        }
        if s.zone.1 > s.members() / s.machines.len() {
            return wrong("a zone has more members than a region");
        }
        if s.burst > (s.nodes + s.shards) / s.machines.len() {
            return wrong("a burst has more changes than a region has nodes and shards");
        }
        Ok(())
    }
}
