//! Maps the troubles of a bench day to a scripted day for real processes, scaled to one machine.
//!
//! What is kept: the number of nodes and gateways as far as one machine goes, classes with their aims, patience and
//! repeats, plans, the rules' figures, and each trouble's kind, target, size and relative time. What is scaled: time,
//! and with it work and rates, so that the load stands in the same proportion to what the nodes can do.

use std::path::Path;

use settings::{Trouble, TroubleKind};

use self::bench_day::{BenchDay, BenchTrouble};
use crate::LabError;

mod bench_day;
mod site;

/// Nodes and gateways that one machine carries as processes.
const MOST_NODES: usize = 9;
const MOST_GATEWAYS: usize = 3;
/// Work of a small request at a node of speed 1, in microseconds: what a machine with few cores can emulate.
const WORK: f64 = 4000.0;
/// Pieces into which a trouble that goes on and off is cut at most.
const PIECES: usize = 24;

/// A bench day as a scripted day.
#[derive(Clone, Debug)]
pub struct Mapped {
    /// The day file.
    pub toml: String,
    /// Troubles that it plays, for people.
    pub mapped: Vec<String>,
    /// Troubles that it cannot play, by name and why.
    pub unmapped: Vec<String>,
}

/// Maps the day of a file, scaled to a length in seconds.
///
/// # Errors
/// The file cannot be read, or is no bench day of a storage site.
pub fn map_day(file: &Path, seconds: f64) -> Result<Mapped, LabError> {
    let text = std::fs::read(file).map_err(|e| LabError::Io(file.to_owned(), e))?;
    let bad = |what: String| LabError::BenchDay(file.to_owned(), what);
    let day: BenchDay = serde_json::from_slice(&text).map_err(|e| bad(e.to_string()))?;
    if day.length <= 0.0 || day.classes.is_empty() || day.fam.plans.is_empty() || day.servers.is_empty() {
        return Err(bad("it has no length, classes, plans or servers".into()));
    }
    let mut map = Map::new(&day, seconds);
    day.troubles.iter().for_each(|t| map.trouble(t));
    let site = map.site(&day);
    let toml = toml::to_string(&site).map_err(|e| bad(e.to_string()))?;
    Ok(Mapped { toml, mapped: map.mapped, unmapped: map.unmapped })
}

struct Map {
    /// Seconds of the scripted day for a microsecond of the bench day.
    scale: f64,
    seconds: f64,
    nodes: usize,
    gateways: usize,
    plans: usize,
    troubles: Vec<Trouble>,
    /// Multiples of the rate, by plan: from, to, factor.
    surges: Vec<(usize, f64, f64, f64)>,
    /// Hot blocks: from, to, share, blocks.
    hot: Vec<(f64, f64, f64, u64)>,
    mapped: Vec<String>,
    unmapped: Vec<String>,
}

fn ms(seconds: f64) -> u32 {
    (seconds * 1000.0).round().max(0.0) as u32
}

impl Map {
    fn new(day: &BenchDay, seconds: f64) -> Self {
        Map {
            scale: seconds / day.length,
            seconds,
            nodes: day.servers.len().clamp(1, MOST_NODES),
            gateways: day.balancers.len().clamp(1, MOST_GATEWAYS),
            plans: day.fam.plans.len(),
            troubles: Vec::new(),
            surges: Vec::new(),
            hot: Vec::new(),
            mapped: Vec::new(),
            unmapped: Vec::new(),
        }
    }

    /// Servers of the bench day as nodes here; those beyond what is here wrap round, and none is named twice.
    fn node_names(&self, on: &[usize]) -> Vec<String> {
        let mut numbers: Vec<usize> = on.iter().map(|n| n % self.nodes).collect();
        numbers.sort_unstable();
        numbers.dedup();
        // Of few nodes, a part stays a part.
        let most = (self.nodes / 2).max(1);
        numbers.truncate(most);
        numbers.into_iter().map(|n| format!("node{n}")).collect()
    }

    fn add(&mut self, what: TroubleKind, at: f64, len: f64, of: &[String], factor: f64) {
        if of.is_empty() || at >= self.seconds {
            return;
        }
        let factor = if factor.is_finite() { factor.clamp(1.0, 1000.0) } else { 1.0 };
        let trouble = Trouble::new(what, at, len.min(self.seconds - at), of.to_vec());
        self.troubles.push(Trouble { factor, ..trouble });
    }

    /// A trouble that goes on and off: on for `on` seconds of every `every`.
    fn pieces(
        &mut self,
        what: TroubleKind,
        (from, len): (f64, f64),
        (on, every): (f64, f64),
        of: &[String],
        factor: f64,
    ) {
        let every = every.max(on * 1.2).max(len / PIECES as f64).max(0.05);
        let mut at = from;
        while at < from + len {
            self.add(what, at, on, of, factor);
            at += every;
        }
    }

    fn trouble(&mut self, t: &BenchTrouble) {
        use TroubleKind::*;
        let (at, len) = (t.at * self.scale, (t.len * self.scale).max(0.2));
        let nodes = self.node_names(&t.on);
        let scaled = |seconds: f64, map: &Map| seconds * 1e6 * map.scale;
        let played = match t.kind.as_str() {
            "crash" | "mass_restart" => {
                self.add(Die, at, len, &nodes, 1.0);
                format!("{nodes:?} die and come back cold")
            }
            "vanish" => {
                self.add(Silent, at, len, &nodes, 1.0);
                self.add(Die, at + len, 0.3, &nodes, 1.0);
                format!("{nodes:?} go silent and come back cold")
            }
            "slow" => {
                self.add(Slow, at, len, &nodes, t.size);
                format!("{nodes:?} run {:.1} times slower", t.size)
            }
            "ageing" => {
                for step in 0..4 {
                    let factor = 1.0 + (t.size.max(2.0) - 1.0) * f64::from(step + 1) / 4.0;
                    self.add(Slow, at + len * f64::from(step) / 5.0, len / 5.0, &nodes, factor);
                }
                self.add(Die, at + len * 0.8, len * 0.2, &nodes, 1.0);
                format!("{nodes:?} get slower and slower, then die")
            }
            "fast_errors" => {
                let every = len / PIECES as f64;
                self.pieces(Fail, (at, len), (every * t.size, every), &nodes, 1.0);
                format!("{nodes:?} answer with errors {:.0}% of the time", t.size * 100.0)
            }
            "pauses" => {
                let (on, every) = (scaled(t.size / 1000.0, self), scaled(t.extra, self));
                self.pieces(Stall, (at, len), (on, every), &nodes, 1.0);
                format!("{nodes:?} pause again and again")
            }
            "neighbour" => {
                let on = scaled(t.extra, self);
                self.pieces(Slow, (at, len), (on, on * 2.0), &nodes, 1.0 / (1.0 - t.size.min(0.95)));
                format!("on {nodes:?} another program takes {:.0}%, on and off", t.size * 100.0)
            }
            "balancer_stall" => {
                let of: Vec<String> =
                    t.on.iter().take(1).map(|n| format!("gw{}", n % self.gateways)).collect();
                let (on, every) = (scaled(t.size / 1000.0, self), scaled(t.extra, self));
                self.pieces(StallGateway, (at, len), (on, every), &of, 1.0);
                format!("{of:?} stands still again and again")
            }
            "balancer_roll" => {
                let down = scaled(t.extra, self).max(0.3);
                for step in &t.steps {
                    let of: Vec<String> =
                        step.stop.iter().map(|n| format!("gw{}", n % self.gateways)).take(1).collect();
                    self.add(KillGateway, step.at * self.scale, down, &of, 1.0);
                }
                "gateways are killed and started one after the other".into()
            }
            "reconnect" => {
                let client = format!("plan{}", t.which % self.plans);
                self.add(Leave, at, 0.0, &[client], 1.0);
                "a client drops its connections and comes again".into()
            }
            "burst" => {
                (0..self.plans).for_each(|p| self.surges.push((p, at, at + len, t.size)));
                format!("all traffic times {:.1}", t.size)
            }
            "tenant_burst" => {
                self.surges.push((t.which % self.plans, at, at + len, t.size));
                format!("traffic of plan {} times {:.1}", t.which % self.plans, t.size)
            }
            "hot_key" => {
                self.hot.push((at, at + len, t.size, t.extra.max(1.0) as u64));
                format!("{:.0}% more traffic on {} blocks", t.size * 100.0, t.extra.max(1.0) as u64)
            }
            "discovery_stale" => {
                self.add(LateList, at, len, &["list".into()], scaled(t.size, self).max(1.0));
                format!("the node list is {:.1} s later", scaled(t.size, self))
            }
            "retry_abuse" => {
                let why = "clients here wait out their class's patience; none repeats before it is answered";
                self.unmapped.push(format!("retry_abuse at {at:.1} s: {why}"));
                return;
            }
            other => {
                self.unmapped.push(format!("{other} at {at:.1} s: not known here"));
                return;
            }
        };
        self.mapped.push(format!("{} at {at:.1} s for {len:.1} s: {played}", t.kind));
    }
}
