//! Days drawn by a seed from any site file: troubles of all kinds, overlapping, several processes at once.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use records::Op;
use settings::{Client, Day, Mix, Site, Trouble, TroubleKind};

use crate::between::Between;

/// How a day is drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draw {
    /// One seed, one day, for a given site file.
    pub seed: u64,
    /// How many troubles.
    pub troubles: usize,
}

/// What may be drawn on any day: all kinds of trouble of nodes and gateways by themselves. A client's leaving is its own doing.
const KINDS: [TroubleKind; 16] = [
    TroubleKind::Silent,
    TroubleKind::Stall,
    TroubleKind::Slow,
    TroubleKind::Fail,
    TroubleKind::Full,
    TroubleKind::Reset,
    TroubleKind::Refuse,
    TroubleKind::Die,
    TroubleKind::Corrupt,
    TroubleKind::Half,
    TroubleKind::Drain,
    TroubleKind::Unlist,
    TroubleKind::LateList,
    TroubleKind::KillGateway,
    TroubleKind::StopGateway,
    TroubleKind::StallGateway,
];
/// Nodes that one trouble takes at most.
pub(crate) const AT_ONCE: usize = 4;
/// Durations, in seconds.
pub(crate) const SPANS: std::ops::Range<f64> = 0.3..5.0;
/// No trouble begins later than this before the day's end, in seconds: what it did is still seen.
const QUIET_END: f64 = 2.0;

/// Replaces a site's troubles with drawn ones. A site without a day or clients gets 40 s and a client for each volume.
pub fn draw_day(site: &mut Site, draw: Draw) {
    let mut rng = StdRng::seed_from_u64(draw.seed);
    let fresh = Day { seed: 0, seconds: 40.0, list_lag_ms: 400, clock_slack_ms: 150, relay: false };
    let day = site.day.get_or_insert(fresh);
    day.seed = draw.seed;
    let last = (day.seconds - QUIET_END).max(0.5);
    if site.client.is_empty() {
        site.client = site.volume.iter().map(|v| client_of(&v.name)).collect();
    }
    let relay = day.relay;
    let nodes: Vec<String> = site.node.iter().map(|n| n.name.clone()).collect();
    let gateways: Vec<String> = site.gateway.iter().map(|g| g.name.clone()).collect();
    let mut between = relay.then(|| Between::new(site));
    let trouble = |_| {
        let at_s = |rng: &mut StdRng| tenths(rng.random_range(0.5..last.max(0.6)));
        // A day with a relay has as many troubles between processes as others.
        if let Some(between) = between.as_mut().filter(|_| rng.random()) {
            let at_s = at_s(&mut rng);
            return between.draw(&mut rng, at_s);
        }
        let what = KINDS[rng.random_range(0..KINDS.len())];
        let (of, factor) = match what {
            TroubleKind::KillGateway | TroubleKind::StopGateway | TroubleKind::StallGateway => {
                (some(&mut rng, &gateways, 1), 1.0)
            }
            TroubleKind::LateList => (vec!["list".to_owned()], tenths(rng.random_range(1.0..3.0))),
            TroubleKind::Slow => (some(&mut rng, &nodes, AT_ONCE), tenths(rng.random_range(2.0..9.0))),
            _ => (some(&mut rng, &nodes, AT_ONCE), 1.0),
        };
        let moment = matches!(what, TroubleKind::Reset | TroubleKind::Half);
        let for_s = if moment { 0.0 } else { tenths(rng.random_range(SPANS)) };
        Trouble { factor, ..Trouble::new(what, at_s(&mut rng), for_s, of) }
    };
    let troubles = (0..draw.troubles).map(trouble).collect();
    site.trouble = troubles;
    site.trouble.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
}

pub(crate) fn some(rng: &mut StdRng, names: &[String], most: usize) -> Vec<String> {
    let count = rng.random_range(1..=most);
    names.choose_multiple(rng, count).cloned().collect()
}

/// Rounded, so that the day reads well as a file.
pub(crate) fn tenths(x: f64) -> f64 {
    (x * 10.0).round() / 10.0
}

fn client_of(volume: &str) -> Client {
    let mix = |op, kib, share| Mix { op, kib, share };
    Client {
        name: format!("client-{volume}"),
        volumes: vec![volume.to_owned()],
        rate: 80.0,
        mix: vec![mix(Op::Read, 4, 0.6), mix(Op::Write, 4, 0.39), mix(Op::Flush, 0, 0.01)],
        phases: Vec::new(),
        depth: 128,
        queues: 1,
        repeats: 1,
        aborts: 0.0,
        leaves_s: 0.0,
        blocks: 512,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_seed_draws_one_day_that_is_a_well_formed_file() {
        let mut one = crate::demo_site().unwrap();
        let mut two = one.clone();
        for seed in 0..20 {
            draw_day(&mut one, Draw { seed, troubles: 45 });
            draw_day(&mut two, Draw { seed, troubles: 45 });
            assert_eq!(one, two, "seed {seed}");
            let text = toml::to_string(&one).unwrap();
            let read = Site::parse(&text).unwrap_or_else(|e| panic!("seed {seed}: {e:?}"));
            assert_eq!(read.trouble.len(), 45);
            let kept = |t: &Trouble| (1..=AT_ONCE).contains(&t.of.len()) && t.for_s <= SPANS.end;
            assert!(read.trouble.iter().all(kept), "seed {seed}");
        }
    }

    #[test]
    fn a_site_with_a_relay_draws_well_formed_days_of_all_kinds_between_processes() {
        let file = include_str!("../../../days/fleet-day.toml");
        let mut kinds = std::collections::BTreeSet::new();
        for seed in 0..30 {
            let mut site = Site::parse(file).unwrap();
            draw_day(&mut site, Draw { seed, troubles: 45 });
            let mut again = Site::parse(file).unwrap();
            draw_day(&mut again, Draw { seed, troubles: 45 });
            assert_eq!(site, again, "seed {seed}");
            let text = toml::to_string(&site).unwrap();
            let read = Site::parse(&text).unwrap_or_else(|e| panic!("seed {seed}: {e:?}"));
            assert_eq!(read, site, "seed {seed}");
            kinds.extend(read.trouble.iter().map(|t| format!("{:?}", t.what)));
            let gone: usize = read.trouble.iter().filter(|t| t.what == TroubleKind::Leave).count();
            assert!(gone <= site.gateway.len() / 4, "most gateways stay");
        }
        for kind in ["Part", "SlowLink", "Flap", "Freeze", "Power", "Join", "Leave", "Silent", "KillGateway"]
        {
            assert!(kinds.contains(kind), "{kind}: {kinds:?}");
        }
    }
}
