//! Scenarios of the simulated fleet, and measures of a run.

use repeats::{CapOptions, InjectedFault, Micros, RECOVERING_FREE_PART};

use super::check::{Limit, Worst};
use super::gateway::{Source, name};
use super::{MILLI, Rig, SECOND};

#[derive(Clone, Debug)]
pub struct Scenario {
    pub source: Source,
    pub fault: Option<InjectedFault>,
    pub seed: u64,
    pub gateways: usize,
    pub shards: u32,
    /// Nodes of each shard, and the requests that each serves in a second.
    pub nodes: usize,
    pub capacity: f64,
    pub load: f64,
    /// When all nodes of the first shard are silent.
    pub silent: Option<(Micros, Micros)>,
    pub warm_up: Micros,
    pub partition: Option<(Micros, Micros)>,
    /// At this interval a gateway is killed, one after the other; each is back 0.2 s later.
    pub kills: Option<Micros>,
    /// Fractions of the messages.
    pub lost: f64,
    pub late: f64,
    pub duplicated: f64,
    pub drift: f64,
    /// Fraction of the clients whose repeats carry no mark.
    pub unmarked: f64,
    /// Fraction of the first shard's requests that a node refuses without cause.
    pub refuse: f64,
    /// Clients use every second gateway only.
    pub skew: bool,
    pub end: Micros,
}

impl Scenario {
    /// All nodes of a shard are silent for 5 s at 0.8 of their capacity.
    pub fn collapse(source: Source, seed: u64) -> Scenario {
        Scenario {
            source,
            fault: None,
            seed,
            gateways: 12,
            shards: 2,
            nodes: 3,
            capacity: 100.0,
            load: 0.8,
            silent: Some((5 * SECOND, 10 * SECOND)),
            warm_up: 5 * SECOND,
            partition: None,
            kills: None,
            lost: 0.0,
            late: 0.0,
            duplicated: 0.0,
            drift: 0.01,
            unmarked: 0.0,
            refuse: 0.0,
            skew: false,
            end: 25 * SECOND,
        }
    }

    /// No silence: half of the gateways have all clients, and three tenths of their attempts are refused
    /// without cause, which needs more retries than the cap allows.
    pub fn uneven_load(source: Source, seed: u64) -> Scenario {
        let (refuse, capacity, end) = (0.3, 200.0, 10 * SECOND);
        Scenario { silent: None, refuse, capacity, skew: true, end, ..Scenario::collapse(source, seed) }
    }

    pub fn with_partition(self) -> Scenario {
        Scenario { partition: Some((4 * SECOND, 18 * SECOND)), ..self }
    }

    pub fn with_kills(self) -> Scenario {
        Scenario { kills: Some(2 * SECOND), ..self }
    }

    /// A tenth of the messages is lost, a tenth is up to 10 s late, a third is duplicated.
    pub fn with_bad_messages(self) -> Scenario {
        Scenario { lost: 0.1, late: 0.1, duplicated: 0.33, ..self }
    }

    pub fn options(&self, gateway: usize) -> CapOptions {
        // The capped retries must fit beside the first attempts: 24 and a tenth of 240 are less than the
        // 60 a second that three nodes at 0.8 have left. With twice as many free retries, some runs
        // entered recovery again as the share widened.
        let free = 2.0 * self.gateways as f64;
        CapOptions {
            free,
            fleet_free: free * f64::from(self.shards),
            drift: self.drift,
            warm_up: self.warm_up,
            max_retry_after: 10 * SECOND,
            ..CapOptions::new(name(gateway), self.gateways, (0..self.shards).collect())
        }
    }
}

impl Rig {
    /// The worst window over the limits of each shard and of all together.
    pub fn worst(&self, scenario: &Scenario) -> Worst {
        let o = scenario.options(0);
        let within = (0, scenario.end);
        // Tokens live for half a window; answers and attempts are in flight for up to 2 ms each.
        let before = o.window / 2 + 5 * MILLI;
        let limit = |shard, free, share| Limit { window: o.window, free, share, before, shard, within };
        let limits = (0..scenario.shards).map(|s| limit(Some(s), o.free, o.share));
        let all = limit(None, o.fleet_free, o.fleet_share);
        let worst = limits.chain([all]).map(|r| self.records.check(&r));
        worst.max_by(|a, b| a.excess.total_cmp(&b.excess)).unwrap_or_default()
    }

    /// The worst window while the first shard is silent or cold, starting a second after that began.
    pub fn worst_recovering(&self, scenario: &Scenario) -> Option<Worst> {
        let (o, (from, to)) = (scenario.options(0), scenario.silent?);
        Some(self.records.check(&Limit {
            window: o.window,
            free: o.free * RECOVERING_FREE_PART,
            share: o.recovering_share,
            before: o.window / 2 + 5 * MILLI,
            shard: Some(0),
            within: (from + SECOND, to + scenario.warm_up),
        }))
    }

    /// Fraction of the first shard's requests first sent within this time that were served within a
    /// second.
    pub fn goodput(&self, from: Micros, to: Micros) -> f64 {
        let requested = self.answers.iter().filter(|a| a.1 == 0 && (from..to).contains(&a.0));
        let (requested, served) = requested
            .fold((0_u32, 0_u32), |(n, s), a| (n + 1, s + u32::from(a.2.is_some_and(|t| t <= SECOND))));
        f64::from(served) / f64::from(requested.max(1))
    }

    /// How long after the silence goodput returned to 0.95 of its earlier value, for a second and for
    /// the rest of the run.
    pub fn recovery_time(&self, scenario: &Scenario) -> Option<Micros> {
        let (from, to) = scenario.silent?;
        let before = self.goodput(from - 3 * SECOND, from);
        let step = 100 * MILLI;
        (to..=scenario.end - 2 * SECOND).step_by(step as usize).find_map(|at| {
            let good = self.goodput(at, at + SECOND) >= 0.95 * before;
            (good && self.goodput(at, scenario.end - SECOND) >= 0.95 * before).then_some(at - to)
        })
    }

    /// Fraction of the cap that was used, over consecutive windows from the third second on.
    pub fn usage(&self, scenario: &Scenario) -> f64 {
        let o = scenario.options(0);
        let (from, to) = (3 * SECOND, scenario.end);
        let retries = self.records.retries(Some(0)).into_iter().filter(|t| (from..to).contains(t)).count();
        let served = self.records.served.iter().filter(|s| s.1 == 0 && (from..to).contains(&s.0)).count();
        retries as f64 / (o.free * (to - from) as f64 / o.window as f64 + o.share * served as f64)
    }
}
