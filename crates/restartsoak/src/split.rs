//! What a seed of splits draws: for some seconds nodes are cut off, answers are torn and lists come late, and nothing restarts.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::Serialize;

use crate::plan::{DiscoveryTrouble, LifePlan, Order, Plan};
use crate::play::SHARDS;
use crate::records::{MILLI, Micros, SECOND};

/// A cut lasts so long.
const SPAN: std::ops::RangeInclusive<Micros> = 1_500..=3_000;
/// A life goes on so long behind its last cut.
const AFTER: std::ops::RangeInclusive<Micros> = 800..=2_000;
/// Descriptors by the number of crews, so that no client is kept waiting for a place; those for connections to nodes may be short.
const SOCKETS: [(usize, usize); 3] = [(1, 96), (3, 224), (8, 512)];

/// How a node is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Severed {
    /// It accepts and reads, and never answers what it read meanwhile.
    Silent,
    /// It answers what it read once the cut is over.
    Hangs,
    /// Its connections are reset, as are all that come; it returns cold.
    Vanishes,
    /// As silent, and hardly a new connection to it comes up.
    Unreachable,
}

/// Some seconds in which nodes are cut off.
#[derive(Clone, Debug, Serialize)]
pub struct Cut {
    /// It begins so long after the life is ready.
    pub from: Micros,
    /// It lasts so long.
    pub span: Micros,
    /// The nodes that are cut off: a fifth or more.
    pub severed: Vec<(usize, Severed)>,
    /// The part of the other nodes' answers that is torn, or comes in pieces.
    pub torn: f64,
    /// What befalls discovery meanwhile.
    pub lists: DiscoveryTrouble,
}

/// What a plan of splits has beyond one of restarts.
#[derive(Clone, Debug, Serialize)]
pub struct SplitPlan {
    /// Nodes of each shard.
    pub nodes_of_a_shard: usize,
    /// Each habit of clients is there so often.
    pub crews: usize,
    /// The part of all answers that is torn, or comes in pieces, outside the cuts.
    pub torn: f64,
    /// The cuts of each life, in order.
    pub cuts: Vec<Vec<Cut>>,
}

impl Plan {
    /// Draws a plan of splits with so many lives, each of them served to its end without another signal.
    pub fn draw_split(seed: u64, lives: usize) -> Plan {
        let mut plan = Plan::draw(seed, lives);
        let mut random = StdRng::seed_from_u64(seed ^ 0x73_706c_6974);
        let random = &mut random;
        let nodes_of_a_shard = random.random_range(3..=5);
        let cuts: Vec<Vec<Cut>> = (0..lives).map(|_| cuts(random, nodes_of_a_shard * SHARDS)).collect();
        plan.lives = cuts.iter().map(|cuts| life(random, cuts)).collect();
        plan.discovery = vec![DiscoveryTrouble::None; lives];
        plan.budget = (2 * SECOND, f64::from(random.random_range(3..=20)), random.random_range(0.15..0.5));
        let crews =
            if random.random_bool(0.3) { random.random_range(5..=8) } else { random.random_range(1..=3) };
        plan.sockets = SOCKETS.iter().find(|(most, _)| crews <= *most).map_or(512, |(_, sockets)| *sockets);
        plan.crowd = 0;
        plan.split = Some(SplitPlan { nodes_of_a_shard, crews, torn: random.random_range(0.0..0.08), cuts });
        plan
    }

    /// The cuts of a life.
    pub(crate) fn cuts(&self, life: usize) -> &[Cut] {
        self.split.as_ref().and_then(|split| split.cuts.get(life)).map_or(&[], Vec::as_slice)
    }
}

/// One cut, or two with some time between them.
fn cuts(random: &mut StdRng, nodes: usize) -> Vec<Cut> {
    let count = random.random_range(1..=2);
    let mut over = 0;
    let mut next = |_| {
        let from = over + random.random_range(300..=1_200) * MILLI;
        let cut = cut(random, nodes, from);
        over = cut.from + cut.span;
        cut
    };
    (0..count).map(&mut next).collect()
}

fn cut(random: &mut StdRng, nodes: usize, from: Micros) -> Cut {
    let count = random.random_range(nodes.div_ceil(5)..=nodes / 2);
    let all: Vec<usize> = (0..nodes).collect();
    let ways = [Severed::Silent, Severed::Unreachable, Severed::Hangs, Severed::Vanishes];
    let nodes: Vec<usize> = all.choose_multiple(random, count).copied().collect();
    let severed = nodes
        .into_iter()
        .map(|node| (node, ways.choose(random).copied().unwrap_or(Severed::Silent)))
        .collect();
    let slow = DiscoveryTrouble::Slow(random.random_range(100..=1_500) * MILLI);
    let lists = [DiscoveryTrouble::None, DiscoveryTrouble::Down, DiscoveryTrouble::Silent, slow, slow];
    Cut {
        from,
        span: random.random_range(SPAN) * MILLI,
        severed,
        torn: random.random_range(0.1..0.6),
        lists: lists.choose(random).copied().unwrap_or(slow),
    }
}

/// A life that lasts until its cuts are over for a while.
fn life(random: &mut StdRng, cuts: &[Cut]) -> LifePlan {
    let over = cuts.last().map_or(0, |cut| cut.from + cut.span);
    let serves = over + random.random_range(AFTER) * MILLI;
    LifePlan {
        serves: Some(serves),
        orders: vec![(0, Order::Terminate)],
        comers: random.random_range(200..=400) * MILLI,
        hangs: false,
        drains: random.random_bool(0.3).then(|| -random.random_range(0..=serves)),
        restarts: None,
        stops: Vec::new(),
    }
}
