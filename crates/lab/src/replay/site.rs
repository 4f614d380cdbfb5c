//! The scripted day's site: classes, plans, volumes, nodes and clients in the bench day's proportions.

use records::Op;
use settings::{
    Class, Client, Day, Gateway, General, Limits, Link, Log, LogFormat, LogLevel, Mix, Node, Phase, Plan,
    Repeats, Rules, Site, Volume,
};

use super::bench_day::{BenchDay, BenchPlan};
use super::{Map, WORK, ms};

impl Map {
    pub(super) fn site(&self, day: &BenchDay) -> Site {
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
            control: None,
            class: self.classes(day),
            plan: self.plans(day, capacity),
            volume: self.volumes(),
            gateway: (0..self.gateways)
                .map(|n| Gateway {
                    name: format!("gw{n}"),
                    listen: ([127, 0, 0, 1], 0).into(),
                    peer: None,
                    zone: 0,
                    region: None,
                })
                .collect(),
            node: speeds.iter().enumerate().map(|(n, speed)| self.node(n, *speed)).collect(),
            day: Some(Day {
                seed: day.noise & 0xffff_ffff,
                seconds: self.seconds,
                list_lag_ms: span(day.discovery.notice),
                clock_slack_ms: 250,
                relay: false,
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
