//! What load is offered: one TOML file, checked as a whole.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub use records::Op;
use serde::{Deserialize, Serialize};

/// Time or a span, in microseconds.
pub type Micros = i64;

/// A whole scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What holds for all of it.
    pub load: Load,
    /// Gateways.
    pub gateway: Vec<Gateway>,
    /// Volumes.
    pub volume: Vec<Volume>,
    /// Kinds of commands.
    pub class: Vec<Class>,
    /// Phases, one after the other; none where a trace is played.
    #[serde(default)]
    pub phase: Vec<Phase>,
    /// A recorded trace in place of phases.
    pub trace: Option<Trace>,
}

/// What holds for the whole scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// One seed, one sequence of arrivals and commands.
    pub seed: u64,
    /// NQN of the subsystem.
    pub subsystem: String,
    /// Hosts; each has an association with every gateway.
    #[serde(default = "one")]
    pub hosts: u32,
    /// I/O queues of each association.
    #[serde(default = "one")]
    pub queues: u32,
    /// Commands out on a queue at most.
    #[serde(default = "depth")]
    pub depth: u32,
    /// Keep alive time-out.
    #[serde(default = "keep_alive")]
    pub keep_alive_ms: u32,
    /// A lost gateway is tried again after this.
    #[serde(default = "reconnect")]
    pub reconnect_ms: u32,
    /// The run is invalid if more than a hundredth of the commands went out later than this after their intended time.
    #[serde(default = "late")]
    pub late_ms: f64,
    /// A host that dies: every so often one breaks all its connections, whatever is out; 0: never.
    #[serde(default)]
    pub host_dies_every_s: f64,
}

fn one() -> u32 {
    1
}
fn depth() -> u32 {
    128
}
fn keep_alive() -> u32 {
    10_000
}
fn reconnect() -> u32 {
    150
}
fn late() -> f64 {
    2.0
}

/// A gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A volume.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Volume {
    /// Its name.
    pub name: String,
    /// Namespace identifier.
    pub nsid: u32,
    /// Blocks that are used, from the first.
    pub blocks: u64,
    /// Size of a block.
    #[serde(default = "four")]
    pub block_kib: u32,
    /// Its part of the load.
    #[serde(default = "unit")]
    pub weight: f64,
    /// Exponent of Zipf's law over its blocks; 0: all alike.
    #[serde(default)]
    pub skew: f64,
    /// Gateways that it uses, by name; none: all.
    #[serde(default)]
    pub gateways: Vec<String>,
    /// The part of its commands that goes through its leading gateway; the rest is spread over its others.
    #[serde(default)]
    pub lead: f64,
    /// The lead passes to another gateway this often; 0: never.
    #[serde(default)]
    pub lead_moves_s: f64,
}

fn four() -> u32 {
    4
}
fn unit() -> f64 {
    1.0
}

/// A kind of command, and how its client behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What it does.
    pub op: Op,
    /// Its size; 0 for a flush.
    #[serde(default)]
    pub kib: u32,
    /// Its part of the load.
    #[serde(default = "unit")]
    pub share: f64,
    /// An answer within this, over all tries, earns the full worth.
    pub aim_ms: f64,
    /// The client waits this long in all.
    pub patience_ms: f64,
    /// Worth of one in time.
    #[serde(default = "unit")]
    pub worth: f64,
    /// The part of it that a late one earns.
    #[serde(default)]
    pub late_worth: f64,
    /// Tries after the first: after a refusal at the advised time, after a try given up at once.
    #[serde(default)]
    pub repeats: u32,
    /// It gives a try up after this and repeats the command, while the first may still run; 0: never. Not for writes: a
    /// write whose effect is unknown is not repeated.
    #[serde(default)]
    pub try_ms: f64,
}

/// How the rate goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Even gaps.
    Steady,
    /// Exponential gaps.
    Poisson,
    /// Exponential gaps, the rate going evenly to `to_rate`.
    Ramp,
    /// Exponential gaps, and `burst` commands at once every `every_s`.
    Bursts,
    /// Exponential gaps for `on_s`, nothing for `off_s`, in turn.
    OnOff,
}

/// A phase.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// How the rate goes.
    pub shape: Shape,
    /// How long.
    pub seconds: f64,
    /// Commands a second.
    pub rate: f64,
    /// The rate at the end of a ramp.
    #[serde(default)]
    pub to_rate: f64,
    /// Commands of a burst.
    #[serde(default)]
    pub burst: u32,
    /// Time between two bursts.
    #[serde(default)]
    pub every_s: f64,
    /// How long it is on.
    #[serde(default)]
    pub on_s: f64,
    /// How long it is off.
    #[serde(default)]
    pub off_s: f64,
}

/// What a trace's file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceFormat {
    /// A header and lines `time_us,op,volume,block,blocks`.
    Csv,
    /// An I/O log of fio, version 2 or 3.
    Fio,
}

/// What becomes of a trace's gaps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Gaps {
    /// They are kept.
    Keep,
    /// Any longer than `longest_gap_s` is closed to that.
    Close,
}

/// A recorded trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trace {
    /// Its file; from the scenario's folder where it is not absolute.
    pub file: PathBuf,
    /// What it holds.
    pub format: TraceFormat,
    /// What becomes of its gaps.
    pub gaps: Gaps,
    /// The longest gap that is kept where gaps are closed.
    #[serde(default = "unit")]
    pub longest_gap_s: f64,
    /// It is played so many times as fast.
    #[serde(default = "unit")]
    pub speed: f64,
}

/// Why a scenario cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// It is not such a file.
    #[error("{0}: {1}")]
    Form(PathBuf, Box<toml::de::Error>),
    /// All that does not fit.
    #[error("{}", .1.iter().map(|p| format!("{}: {p}", .0.display())).collect::<Vec<_>>().join("\n"))]
    Problems(PathBuf, Vec<String>),
}

impl Scenario {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// It cannot be read, its form is wrong, or everything that does not fit, by key.
    pub fn load(path: &Path) -> Result<Scenario, ScenarioError> {
        let text = std::fs::read_to_string(path).map_err(|e| ScenarioError::Io(path.to_owned(), e))?;
        let mut scenario: Scenario =
            toml::from_str(&text).map_err(|e| ScenarioError::Form(path.to_owned(), Box::new(e)))?;
        if let Some(trace) = &mut scenario.trace {
            trace.file = path.parent().unwrap_or(Path::new(".")).join(&trace.file);
        }
        let problems = scenario.problems();
        if problems.is_empty() {
            Ok(scenario)
        } else {
            Err(ScenarioError::Problems(path.to_owned(), problems))
        }
    }

    /// Everything in it that does not fit, by key.
    pub fn problems(&self) -> Vec<String> {
        let mut p = Vec::new();
        let mut want = |ok: bool, key: String, what: &str| {
            if !ok {
                p.push(format!("{key}: {what}"));
            }
        };
        let l = &self.load;
        want((1..=10_000).contains(&l.hosts), "load.hosts".into(), "1 to 10000");
        want((1..=64).contains(&l.queues), "load.queues".into(), "1 to 64");
        want((1..=4096).contains(&l.depth), "load.depth".into(), "1 to 4096");
        want(positive(l.late_ms), "load.late_ms".into(), "more than 0");
        want(l.host_dies_every_s >= 0.0, "load.host_dies_every_s".into(), "0 or more");
        want(!self.gateway.is_empty(), "gateway".into(), "at least one is needed");
        want(!self.volume.is_empty(), "volume".into(), "at least one is needed");
        want(!self.class.is_empty(), "class".into(), "at least one is needed");
        want(
            self.phase.is_empty() == self.trace.is_some(),
            "phase".into(),
            "either phases or a [trace] say when commands come",
        );
        let names: BTreeSet<&str> = self.gateway.iter().map(|g| g.name.as_str()).collect();
        for (n, v) in self.volume.iter().enumerate() {
            let key = |k: &str| format!("volume[{n}].{k}");
            want(v.nsid > 0, key("nsid"), "1 or more");
            want([4, 8, 16, 32, 64].contains(&v.block_kib), key("block_kib"), "4, 8, 16, 32 or 64");
            want(positive(v.weight), key("weight"), "more than 0");
            want((0.0..=5.0).contains(&v.skew), key("skew"), "0 to 5");
            want((0.0..=1.0).contains(&v.lead), key("lead"), "0 to 1");
            want(v.lead_moves_s >= 0.0, key("lead_moves_s"), "0 or more");
            let unknown = v.gateways.iter().any(|g| !names.contains(g.as_str()));
            want(!unknown, key("gateways"), "names a gateway that is not there");
            let largest = self.class.iter().map(|c| u64::from(c.kib / v.block_kib.max(1))).max();
            want(
                v.blocks >= largest.unwrap_or(1).max(1),
                key("blocks"),
                "fewer than the largest command takes",
            );
        }
        for (n, c) in self.class.iter().enumerate() {
            let key = |k: &str| format!("class[{n}].{k}");
            let whole = self.volume.iter().all(|v| c.kib > 0 && c.kib.is_multiple_of(v.block_kib.max(1)));
            want(c.op == Op::Flush || whole, key("kib"), "a multiple of every volume's block_kib");
            want(positive(c.share), key("share"), "more than 0");
            want(positive(c.aim_ms), key("aim_ms"), "more than 0");
            want(c.patience_ms >= c.aim_ms, key("patience_ms"), "at least aim_ms");
            want((0.0..=1.0).contains(&c.late_worth), key("late_worth"), "0 to 1");
            want(c.repeats <= 100, key("repeats"), "0 to 100");
            want(c.try_ms >= 0.0, key("try_ms"), "0 or more");
            want(
                c.op != Op::Write || c.try_ms == 0.0,
                key("try_ms"),
                "a write is not given up early and repeated",
            );
        }
        for (n, f) in self.phase.iter().enumerate() {
            let key = |k: &str| format!("phase[{n}].{k}");
            want(positive(f.seconds) && f.seconds <= 86_400.0, key("seconds"), "more than 0, at most 86400");
            want((0.0..=1e6).contains(&f.rate), key("rate"), "0 to 1000000");
            want((0.0..=1e6).contains(&f.to_rate), key("to_rate"), "0 to 1000000");
            let bursts = f.shape != Shape::Bursts || (f.burst > 0 && f.every_s > 0.0);
            want(bursts, key("burst"), "bursts need burst and every_s");
            let on_off = f.shape != Shape::OnOff || (f.on_s > 0.0 && f.off_s > 0.0);
            want(on_off, key("on_s"), "on_off needs on_s and off_s");
        }
        if let Some(t) = &self.trace {
            want(positive(t.speed), "trace.speed".into(), "more than 0");
            want(positive(t.longest_gap_s), "trace.longest_gap_s".into(), "more than 0");
        }
        p
    }
}

fn positive(x: f64) -> bool {
    x > 0.0 && x.is_finite()
}
