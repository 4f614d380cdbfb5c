//! Maps the troubles of a bench day to a scripted day for real processes, scaled to one machine.
//!
//! What is kept: the number of nodes and gateways as far as one machine goes, classes with their aims, patience and
//! repeats, plans, the rules' figures, and each trouble's kind, target, size and relative time. What is scaled: time,
//! and with it work and rates, so that the load stands in the same proportion to what the nodes can do.

use std::path::Path;

use records::Op;
use serde::Deserialize;
use settings::{
    Class, Client, Day, Gateway, General, Limits, Link, Log, LogFormat, LogLevel, Mix, Node, Phase, Plan,
    Repeats, Rules, Site, Trouble, TroubleKind, Volume,
};

use crate::LabError;

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

#[derive(Deserialize)]
struct BenchDay {
    site: String,
    length: f64,
    traffic: BenchTraffic,
    #[serde(default)]
    servers: Vec<BenchServer>,
    #[serde(default)]
    balancers: Vec<serde_json::Value>,
    classes: Vec<BenchClass>,
    fam: BenchFamily,
    #[serde(default)]
    troubles: Vec<BenchTrouble>,
    discovery: BenchDiscovery,
    drain_grace: f64,
    fall_multiple: f64,
    fall_for: f64,
    budget: Option<BenchBudget>,
    #[serde(default)]
    order_settle: Option<f64>,
    noise: u64,
}

#[derive(Deserialize)]
struct BenchTraffic {
    load: f64,
}

#[derive(Deserialize)]
struct BenchServer {
    speed: f64,
}

#[derive(Deserialize)]
struct BenchClass {
    name: String,
    share: f64,
    aim: f64,
    deadline: f64,
    worth: f64,
    late_worth: f64,
    effect: String,
    #[serde(default)]
    window: f64,
    write: bool,
    #[serde(default)]
    in_order: bool,
}

#[derive(Deserialize)]
struct BenchFamily {
    mean_units: f64,
    most_units: f64,
    plans: Vec<BenchPlan>,
}

#[derive(Deserialize)]
struct BenchPlan {
    limit: f64,
    limit_burst: f64,
    price: f64,
    rate: f64,
    reserve: f64,
    slack: f64,
    weight: f64,
}

#[derive(Deserialize)]
struct BenchDiscovery {
    #[serde(default)]
    notice: f64,
}

#[derive(Deserialize)]
struct BenchBudget {
    share: f64,
    free: f64,
    window: f64,
}

#[derive(Deserialize)]
struct BenchTrouble {
    kind: String,
    at: f64,
    len: f64,
    size: f64,
    extra: f64,
    #[serde(default)]
    on: Vec<usize>,
    #[serde(default)]
    which: usize,
    #[serde(default)]
    steps: Vec<BenchStep>,
}

#[derive(Deserialize)]
struct BenchStep {
    at: f64,
    stop: Vec<usize>,
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
        self.troubles.push(Trouble {
            what,
            at_s: at,
            for_s: len.min(self.seconds - at),
            of: of.to_vec(),
            factor,
        });
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

    fn site(&self, day: &BenchDay) -> Site {
        let span = |us: f64| ms(us * self.scale);
        let g = General {
            name: format!("replay-{}", day.site),
            subsystem: format!("nqn.2026-12.example.crowbay:replay-{}", day.site),
            unit_kib: 4,
            most_units: day.fam.most_units.max(16.0),
            mean_units: day.fam.mean_units.max(1.0),
            share_worth: 0.35,
            spare_worth: 0.08,
            waste_price: 0.03,
        };
        // In units of the scaled machine: a node does 1e6 / WORK small requests a second, one unit each.
        let node_units = 1e6 / WORK;
        let speeds: Vec<f64> = day.servers.iter().take(self.nodes).map(|s| s.speed.max(0.1)).collect();
        let capacity: f64 = speeds.iter().map(|s| s * node_units).sum();
        let window = ms(day.fall_for * self.scale).max(300);
        let rules = Rules {
            most_attempts: 4,
            most_advice_ms: 1000,
            drain_grace_ms: span(day.drain_grace).max(250),
            order_rest_ms: day.order_settle.map_or(0, span),
            cold_units: (node_units * 0.2 * f64::from(window) / 1000.0).max(16.0).floor(),
            cold_window_ms: window,
            cold_from: 0.16,
            warm_after_ms: span(18e6).max(2000),
            fall_multiple: day.fall_multiple.max(1.0),
            budget_window_ms: day.budget.as_ref().map(|b| span(b.window).max(1000)),
            budget_free: day.budget.as_ref().map_or(0.0, |b| b.free),
            budget_share: day.budget.as_ref().map_or(0.0, |b| b.share),
        };
        Site {
            site: g,
            rules,
            limits: Limits::default(),
            link: Link::default(),
            log: Log { format: LogFormat::Text, level: LogLevel::Warn },
            appliance: settings::Appliance::default(),
            recovery: None,
            fleet: None,
            repeats: None,
            candidate: None,
            class: self.classes(day),
            plan: self.plans(day, capacity),
            volume: self.volumes(),
            gateway: (0..self.gateways)
                .map(|n| Gateway {
                    name: format!("gw{n}"),
                    listen: ([127, 0, 0, 1], 0).into(),
                    zone: 0,
                    peer: None,
                })
                .collect(),
            node: speeds.iter().enumerate().map(|(n, speed)| self.node(n, *speed)).collect(),
            day: Some(Day {
                seed: day.noise & 0xffff_ffff,
                seconds: self.seconds,
                list_lag_ms: span(day.discovery.notice),
                clock_slack_ms: 250,
            }),
            client: self.clients(day, capacity),
            trouble: self.troubles.clone(),
        }
    }

    fn node(&self, n: usize, speed: f64) -> Node {
        Node {
            name: format!("node{n}"),
            address: ([127, 0, 0, 1], 0).into(),
            zone: n as u32 % 3,
            shard: n as u32,
            cores: 1,
            queue: 40,
            base_us: (WORK / speed * 0.8) as u32,
            us_per_kib: WORK / speed * 0.05,
            write_factor: 1.0,
            put_off: 0.0,
            put_off_every_ms: 0,
            pause_every_ms: 0,
            pause_for_ms: 0,
        }
    }

    fn classes(&self, day: &BenchDay) -> Vec<Class> {
        let mut reads = 0;
        let mut classes: Vec<Class> = Vec::new();
        for c in &day.classes {
            reads += usize::from(!c.write);
            let small = !c.write && reads == 1 && day.classes.iter().filter(|c| !c.write).count() > 1;
            classes.push(Class {
                name: c.name.clone(),
                op: if c.write { Op::Write } else { Op::Read },
                most_kib: small.then_some(16),
                repeats: match c.effect.as_str() {
                    "keyed" => Repeats::Keyed,
                    "unsafe" => Repeats::Unsafe,
                    _ => Repeats::Safe,
                },
                window_ms: (c.effect == "keyed").then(|| ms(c.window / 1e6).max(100)),
                in_order: c.in_order,
                aim_ms: ms(c.aim / 1e6).max(1),
                patience_ms: ms(c.deadline / 1e6).max(1),
                worth: c.worth,
                late_worth: c.late_worth,
            });
        }
        // Every kind of command needs a class without a largest size.
        for (op, name) in [(Op::Read, "other-read"), (Op::Write, "other-write"), (Op::Flush, "flush")] {
            if !classes.iter().any(|c| c.op == op && c.most_kib.is_none()) {
                classes.push(Class {
                    name: name.into(),
                    op,
                    most_kib: None,
                    repeats: Repeats::Safe,
                    window_ms: None,
                    in_order: false,
                    aim_ms: 500,
                    patience_ms: 2000,
                    worth: 0.0,
                    late_worth: 0.0,
                });
            }
        }
        classes
    }

    /// Plans keep their proportions; rates are what the scaled nodes can do, over the volumes here.
    fn plans(&self, day: &BenchDay, capacity: f64) -> Vec<Plan> {
        let sum: f64 = day.fam.plans.iter().map(|p| p.rate).sum::<f64>().max(1e-9);
        let plan = |(n, p): (usize, &BenchPlan)| {
            let unit = capacity * day.traffic.load / sum / 2.0;
            let limit = if p.limit > 0.0 { (p.limit * unit).max(20.0) } else { 0.0 };
            Plan {
                name: format!("plan{n}"),
                rate: (p.rate * unit).max(0.1),
                reserve: p.reserve * unit,
                limit,
                limit_burst: if limit > 0.0 { (p.limit_burst * unit).max(64.0) } else { 0.0 },
                limit_slack: if limit > 0.0 { (p.slack * unit).max(16.0) } else { 0.0 },
                weight: p.weight.max(0.01),
                price: p.price,
            }
        };
        day.fam.plans.iter().enumerate().map(plan).collect()
    }

    fn volumes(&self) -> Vec<Volume> {
        let volume = |n: usize| Volume {
            name: format!("vol{n}"),
            nsid: n as u32 + 1,
            blocks: 65536,
            block_size: 4096,
            plan: format!("plan{}", n % self.plans),
            gateways: None,
            extent_blocks: 64,
            shards: (0..self.nodes as u32).collect(),
        };
        (0..self.plans * 2).map(volume).collect()
    }

    fn clients(&self, day: &BenchDay, capacity: f64) -> Vec<Client> {
        let mix: Vec<Mix> = day
            .classes
            .iter()
            .enumerate()
            .map(|(n, c)| Mix {
                op: if c.write { Op::Write } else { Op::Read },
                kib: if !c.write && n > 0 { 32 } else { 4 },
                share: c.share.max(0.001),
            })
            .collect();
        let shares: f64 = mix.iter().map(|m| m.share).sum();
        let mean_work: f64 = mix.iter().map(|m| m.share / shares * (0.8 + 0.05 * f64::from(m.kib))).sum();
        let rate = capacity * day.traffic.load / mean_work;
        let client =
            |name: String, volumes: Vec<String>, rate: f64, phases: Vec<Phase>, blocks: u64| Client {
                name,
                volumes,
                rate,
                mix: mix.clone(),
                phases,
                depth: 100,
                queues: 1,
                repeats: 1,
                aborts: 0.0,
                leaves_s: 0.0,
                blocks,
            };
        let of_plan = |p: usize| {
            (0..self.plans * 2).filter(|n| n % self.plans == p).map(|n| format!("vol{n}")).collect()
        };
        let mut clients: Vec<Client> = (0..self.plans)
            .map(|p| client(format!("plan{p}"), of_plan(p), rate / self.plans as f64, self.phases(p), 4096))
            .collect();
        for (n, (from, to, share, blocks)) in self.hot.iter().enumerate() {
            let phase = |from_s, factor| Phase { from_s, factor };
            let phases = vec![phase(0.0, 0.0), phase(*from, 1.0), phase(*to, 0.0)];
            clients.push(client(format!("hot{n}"), vec!["vol0".into()], rate * share, phases, blocks * 8));
        }
        clients
    }

    fn phases(&self, plan: usize) -> Vec<Phase> {
        let mine: Vec<_> = self.surges.iter().filter(|s| s.0 == plan).collect();
        let mut times: Vec<f64> = mine.iter().flat_map(|s| [s.1, s.2]).collect();
        times.push(0.0);
        times.sort_by(f64::total_cmp);
        times.dedup();
        let factor = |t: f64| mine.iter().filter(|s| (s.1..s.2).contains(&t)).map(|s| s.3).product::<f64>();
        times.into_iter().map(|t| Phase { from_s: t, factor: factor(t) }).collect()
    }
}
