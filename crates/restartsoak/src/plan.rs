//! What a seed draws.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::records::{MILLI, Micros, SECOND};
use crate::split::SplitPlan;

/// The platform counts a longest deadline beyond this as this.
pub const LONGEST_COUNTED: Micros = 3 * SECOND;
/// SIGKILL comes this long after the longest deadline that counts, from SIGTERM on.
pub const KILL_BEHIND: Micros = 700 * MILLI;
/// The longest stop of the process between its clock and a write.
pub const LONGEST_STOP: Micros = 150 * MILLI;

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Effect {
    /// It changes nothing.
    Safe,
    /// Nodes throw away its repeats for so long.
    Keyed(Micros),
    /// It may run once.
    Once,
}

/// A class of requests.
#[derive(Clone, Debug, Serialize)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Whether its requests may be sent again.
    pub effect: Effect,
    /// What its clients wait at most.
    pub deadline: Micros,
}

/// A plan of volumes.
#[derive(Clone, Debug, Serialize)]
pub struct Tariff {
    /// Its name.
    pub name: &'static str,
    /// Units a second that its limit fills by; 0 is no limit.
    pub rate: f64,
    /// Units that the limit holds at most.
    pub burst: f64,
    /// Units that it may drop below 0.
    pub slack: f64,
}

/// What is told to a life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Order {
    /// SIGHUP with the same configuration.
    Reload,
    /// SIGHUP with a configuration that names the other discovery agent.
    Move,
    /// SIGHUP with a configuration that cannot be read.
    Garbage,
    /// SIGTERM.
    Terminate,
}

/// One life of the process.
#[derive(Clone, Debug, Serialize)]
pub struct LifePlan {
    /// It serves so long, from the moment it is ready; none: it is told to end before it is.
    pub serves: Option<Micros>,
    /// What it is told then, each so long behind the one before. A life without [`Order::Terminate`] is killed without a word.
    pub orders: Vec<(Micros, Order)>,
    /// New connections keep coming for so long after SIGTERM.
    pub comers: Micros,
    /// A node hangs from SIGTERM to the end of the life.
    pub hangs: bool,
    /// A node begins to drain so long before or after SIGTERM.
    pub drains: Option<Micros>,
    /// A node comes back cold so long after the life is ready.
    pub restarts: Option<Micros>,
    /// The process is stopped for so long, each so long after it is ready.
    pub stops: Vec<(Micros, Micros)>,
}

/// What befalls discovery in the middle of a life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum DiscoveryTrouble {
    /// Nothing.
    None,
    /// It says nothing for a while, from the end of a life into the next.
    Down,
    /// Open watches fall silent.
    Silent,
    /// Each line comes late by this.
    Slow(Micros),
}

/// What a seed draws.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Plans of volumes.
    pub tariffs: Vec<Tariff>,
    /// Nothing new goes to a node that drains after this.
    pub drain_grace: Micros,
    /// Attempts of a request at most.
    pub most_attempts: usize,
    /// The budget for further attempts: window, free attempts, share of the requests taken.
    pub budget: (Micros, f64, f64),
    /// Units that a cold node bears within a window, and the window.
    pub cold: (f64, Micros),
    /// A cold node is warm after this.
    pub warm_after: Micros,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Idle clients that take its descriptors.
    pub crowd: usize,
    /// Parts of all attempts that nodes fail, turn away, reset.
    pub node_faults: [f64; 3],
    /// What befalls discovery, by life.
    pub discovery: Vec<DiscoveryTrouble>,
    /// The lives, in order.
    pub lives: Vec<LifePlan>,
    /// What befalls nodes and answers in the middle of the lives, where the plan is one of splits.
    pub split: Option<SplitPlan>,
}

impl Plan {
    /// Draws a plan with so many lives.
    pub fn draw(seed: u64, lives: usize) -> Plan {
        let mut random = StdRng::seed_from_u64(seed);
        let random = &mut random;
        let has_crowd = random.random_bool(0.25);
        let millis = |random: &mut StdRng, from: i64, to: i64| random.random_range(from..=to) * MILLI;
        let class = |name, effect, deadline| Class { name, effect, deadline };
        let window = millis(random, 500, 3000);
        let classes = vec![
            class("look", Effect::Safe, millis(random, 400, 2000)),
            class("keep", Effect::Keyed(window), millis(random, 600, 3000)),
            class("post", Effect::Once, millis(random, 800, 4500)),
        ];
        let tariffs = vec![
            Tariff { name: "open", rate: 0.0, burst: 0.0, slack: 0.0 },
            Tariff {
                name: "bound",
                rate: random.random_range(20.0..80.0),
                burst: random.random_range(8.0..40.0),
                slack: 8.0,
            },
        ];
        let discovery: Vec<_> = (0..lives).map(|_| discovery_trouble(random, has_crowd)).collect();
        let faults =
            [random.random_range(0.0..0.03), random.random_range(0.0..0.03), random.random_range(0.0..0.05)];
        let drain_grace = millis(random, 600, 1500);
        let cold = (random.random_range(20.0..60.0_f64).round(), SECOND);
        let mut lives: Vec<LifePlan> = (0..lives).map(|_| life(random)).collect();
        for (life, trouble) in lives.iter_mut().zip(&discovery) {
            if *trouble == DiscoveryTrouble::Silent && life.serves.is_some() {
                outlast_silence(random, life);
            }
        }
        Plan {
            seed,
            classes,
            tariffs,
            drain_grace,
            most_attempts: 3,
            budget: (2 * SECOND, 3.0, 0.15),
            cold,
            warm_after: 4 * SECOND,
            sockets: 128,
            crowd: if has_crowd { 160 } else { 0 },
            node_faults: faults,
            discovery,
            lives,
            split: None,
        }
    }

    /// SIGKILL comes so long after SIGTERM.
    pub fn kill_after(&self) -> Micros {
        let longest = self.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        longest.min(LONGEST_COUNTED) + KILL_BEHIND
    }
}

fn discovery_trouble(random: &mut StdRng, has_crowd: bool) -> DiscoveryTrouble {
    let slow = DiscoveryTrouble::Slow(random.random_range(100..=800) * MILLI);
    let kinds = [DiscoveryTrouble::None, DiscoveryTrouble::Down, DiscoveryTrouble::Silent, slow];
    let with_crowd = [DiscoveryTrouble::Down, slow];
    let drawn = if has_crowd { with_crowd.choose(random) } else { kinds.choose(random) };
    *drawn.unwrap_or(&DiscoveryTrouble::None)
}

/// A life in which watches fall silent at its beginning lasts until what they miss counts as told, and a node drains meanwhile.
fn outlast_silence(random: &mut StdRng, life: &mut LifePlan) {
    let serves = random.random_range(8_000..=9_000) * MILLI;
    life.serves = Some(serves);
    life.drains = Some(random.random_range(1_000..=5_000) * MILLI - serves);
}

/// Stops with so much time between them that none is longer than stated.
fn stops(random: &mut StdRng) -> Vec<(Micros, Micros)> {
    let mut at = 0;
    let mut stop = |_| {
        at += random.random_range(400..=1_500) * MILLI;
        (at, random.random_range(20 * MILLI..=LONGEST_STOP))
    };
    (0..3).map(&mut stop).collect()
}

fn life(random: &mut StdRng) -> LifePlan {
    let is_early = random.random_bool(0.1);
    let mut orders = Vec::new();
    if !is_early {
        for _ in 0..random.random_range(0..=4) {
            let order = [Order::Reload, Order::Move, Order::Garbage].choose(random).copied();
            orders.push((random.random_range(0..=250) * MILLI, order.unwrap_or(Order::Reload)));
        }
    }
    if random.random_bool(0.9) {
        orders.push((random.random_range(0..=50) * MILLI, Order::Terminate));
        for _ in 0..random.random_range(0..=2) {
            let more = [Order::Terminate, Order::Reload, Order::Move, Order::Garbage];
            let order = more.choose(random).copied().unwrap_or(Order::Terminate);
            orders.push((random.random_range(0..=400) * MILLI, order));
        }
    }
    LifePlan {
        serves: (!is_early).then(|| random.random_range(600..=2_000) * MILLI),
        orders,
        comers: random.random_range(200..=400) * MILLI,
        hangs: random.random_bool(0.5),
        drains: random.random_bool(0.6).then(|| random.random_range(-1_000..=1_000) * MILLI),
        restarts: random.random_bool(0.5).then(|| random.random_range(0..=1_500) * MILLI),
        stops: stops(random),
    }
}
