//! What clients ask.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::{Micros, Scenario};

/// An answer within this earns all.
pub(crate) const AIM: Micros = 250_000;
/// How long a client waits.
pub(crate) const PATIENCE: Micros = 1_000_000;
/// A request without an answer so long after its time has none.
pub(crate) const SLACK: Micros = 500_000;
/// The part of the requests that write.
pub(crate) const WRITES: f64 = 0.3;

/// A volume: where its data lies and through which gateways its requests come.
pub(crate) struct Volume {
    shards: Vec<usize>,
    pub(crate) hosts: Vec<usize>,
}

/// The volumes, and which of them come through each gateway.
pub(crate) struct Volumes {
    all: Vec<Volume>,
    by_gateway: Vec<Vec<usize>>,
    /// Requests a second through each gateway.
    pub(crate) rates: Vec<f64>,
}

impl Volumes {
    /// Deals volumes to shards and gateways; a gateway's weight falls evenly from `skew` to 1.
    pub(crate) fn deal(s: &Scenario, rng: &mut SmallRng) -> Self {
        let mut by_gateway = vec![Vec::new(); s.gateways];
        let all: Vec<Volume> = (0..s.nodes * s.volumes)
            .map(|v| {
                let shards = (0..rng.random_range(1..=4)).map(|_| rng.random_range(0..s.nodes)).collect();
                let first = v % s.gateways;
                let more = rng.random_range(0..3).min(s.gateways - 1);
                let hosts: Vec<usize> = (0..=more).map(|k| (first + k * 7) % s.gateways).collect();
                hosts.iter().for_each(|&h| by_gateway[h].push(v));
                Volume { shards, hosts }
            })
            .collect();
        // Where there are more gateways than volumes, the rest share.
        for (g, own) in by_gateway.iter_mut().enumerate() {
            if own.is_empty() {
                own.push(g % all.len());
            }
        }
        let weight = |g: usize| 1.0 + (s.skew - 1.0) * (g * 37 % s.gateways) as f64 / s.gateways as f64;
        let sum: f64 = (0..s.gateways).map(weight).sum();
        let rates = (0..s.gateways).map(|g| s.rate() * weight(g) / sum).collect();
        Volumes { all, by_gateway, rates }
    }

    /// Draws a request at a gateway.
    pub(crate) fn draw(&self, gateway: usize, now: Micros, rng: &mut SmallRng) -> Asking {
        let own = &self.by_gateway[gateway];
        let volume = own[rng.random_range(0..own.len())];
        let v = &self.all[volume];
        Asking {
            gateway,
            volume,
            shard: v.shards[rng.random_range(0..v.shards.len())],
            hosts: v.hosts.len(),
            units: rng.random_range(1..=3),
            write: rng.random_bool(WRITES),
            object: rng.random(),
            asked: now,
            reached: 0,
            again: false,
            ended: false,
        }
    }
}

/// A request of a client's.
#[derive(Clone, Debug)]
pub(crate) struct Asking {
    pub(crate) gateway: usize,
    pub(crate) volume: usize,
    pub(crate) shard: usize,
    pub(crate) hosts: usize,
    pub(crate) units: u32,
    pub(crate) write: bool,
    /// The piece of data; for a write also its key.
    pub(crate) object: u64,
    pub(crate) asked: Micros,
    /// Attempts of it that reached a node.
    pub(crate) reached: u32,
    /// It comes again after a refusal.
    pub(crate) again: bool,
    pub(crate) ended: bool,
}

impl Asking {
    /// The request as it goes to a gateway.
    pub(crate) fn text(&self, id: u64) -> String {
        let (method, class) = if self.write { ("PUT", "post") } else { ("GET", "look") };
        let mut text = format!(
            "{method} /{class}/{:016x}/{:016x} HTTP/1.1\r\nHost: world\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {class}\r\nX-Plan: plain\r\nX-Timeout-Ms: {}\r\n\
             X-IO: units={}, shard={}, hosts={}\r\n",
            self.volume,
            self.object,
            PATIENCE / 1000,
            self.units,
            self.shard,
            self.hosts
        );
        if self.again {
            text.push_str("X-Retried: 1\r\n");
        }
        if self.write {
            text.push_str(&format!("Idempotency-Key: {:016x}\r\nContent-Length: 4\r\n\r\ndata", self.object));
        } else {
            text.push_str("\r\n");
        }
        text
    }
}
