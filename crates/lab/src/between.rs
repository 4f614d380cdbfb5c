//! Troubles between processes, drawn.

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use settings::{Site, Trouble, TroubleKind};

use crate::random::{AT_ONCE, SPANS, some, tenths};

/// What may be drawn between processes.
const KINDS: [TroubleKind; 7] = [
    TroubleKind::Part,
    TroubleKind::Part,
    TroubleKind::SlowLink,
    TroubleKind::Flap,
    TroubleKind::Freeze,
    TroubleKind::Power,
    TroubleKind::Join,
];
/// Part of the troubles of links that are both ways.
const BOTH: f64 = 0.7;

/// What a site has, and which of its gateways join or leave.
pub(crate) struct Between {
    gateways: Vec<String>,
    nodes: Vec<String>,
    clients: Vec<String>,
    zones: Vec<u32>,
    gateways_talk: bool,
    joined: Vec<String>,
    left: Vec<String>,
}

impl Between {
    pub(crate) fn new(site: &Site) -> Self {
        let mut zones: Vec<u32> = site.node.iter().map(|n| n.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        Between {
            gateways: site.gateway.iter().map(|g| g.name.clone()).collect(),
            nodes: site.node.iter().map(|n| n.name.clone()).collect(),
            clients: site.client.iter().map(|c| c.name.clone()).collect(),
            zones,
            gateways_talk: site.gateways_talk(),
            joined: Vec::new(),
            left: Vec::new(),
        }
    }

    /// One trouble that begins at a time.
    pub(crate) fn draw(&mut self, rng: &mut StdRng, at_s: f64) -> Trouble {
        let what = KINDS[rng.random_range(0..KINDS.len())];
        let for_s = tenths(rng.random_range(SPANS));
        let trouble = |what, of| Trouble::new(what, at_s, for_s, of);
        match what {
            TroubleKind::Freeze | TroubleKind::Power => {
                let all = [&self.gateways[..], &self.nodes[..]].concat();
                trouble(what, some(rng, &all, AT_ONCE))
            }
            TroubleKind::Join => self.comes_or_goes(rng, at_s),
            _ => {
                let (of, to) = self.sides(rng);
                let both = rng.random_bool(BOTH);
                let mut trouble = Trouble { to, both, ..trouble(what, of) };
                match what {
                    TroubleKind::SlowLink => {
                        trouble.delay_ms = rng.random_range(5..80);
                        trouble.jitter_ms = rng.random_range(0..100);
                    }
                    TroubleKind::Flap => {
                        trouble.up_ms = rng.random_range(2..15) * 100;
                        trouble.down_ms = rng.random_range(1..8) * 100;
                    }
                    _ => {}
                }
                trouble
            }
        }
    }

    /// A gateway joins or leaves for good, as long as three quarters of them are there throughout; else one stands still.
    fn comes_or_goes(&mut self, rng: &mut StdRng, at_s: f64) -> Trouble {
        let most = self.gateways.len() / 4;
        let taken = |name: &&String| !self.joined.contains(name) && !self.left.contains(name);
        let free: Vec<String> = self.gateways.iter().filter(taken).cloned().collect();
        let Some(name) = free.choose(rng).cloned() else {
            return Trouble::new(TroubleKind::Freeze, at_s, 0.5, some(rng, &self.gateways, 1));
        };
        let (joins, room) = (rng.random::<bool>(), |taken: &Vec<String>| taken.len() < most);
        if joins && room(&self.joined) {
            self.joined.push(name.clone());
            Trouble::new(TroubleKind::Join, at_s, 0.0, vec![name])
        } else if room(&self.left) {
            self.left.push(name.clone());
            Trouble::new(TroubleKind::Leave, at_s, 0.0, vec![name])
        } else {
            Trouble::new(TroubleKind::Freeze, at_s, 0.5, vec![name])
        }
    }

    /// Two sides with links between them: one from all others, gateways from gateways, from a zone, from nodes, from clients.
    fn sides(&self, rng: &mut StdRng) -> (Vec<String>, Vec<String>) {
        let gateways = some(rng, &self.gateways, self.gateways.len());
        match rng.random_range(0..5) {
            0 if self.gateways_talk => {
                let others: Vec<String> =
                    self.gateways.iter().filter(|g| !gateways.contains(g)).cloned().collect();
                // All of them on one side: cut from everything that is no gateway.
                (gateways, others)
            }
            1 => (vec![format!("zone:{}", self.zones[rng.random_range(0..self.zones.len())])], gateways),
            2 => (some(rng, &self.nodes, AT_ONCE), gateways),
            3 => (some(rng, &self.clients, 1), gateways),
            _ => {
                let all = [&self.gateways[..], &self.nodes[..]].concat();
                (some(rng, &all, 1), Vec::new())
            }
        }
    }
}
