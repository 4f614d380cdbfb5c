//! Processes that start: empty, or from what their disks hold.

use peer::channel::Greeting;
use peer::{Incarnation, Life, Nonce, PeerName};
use plane::{
    Bounds, Copy, Input, Machine, MachineOptions, Micros, Place, Region, Subscription, SubscriptionOptions,
    order,
};
use rand::Rng;

use super::Drill;
use crate::process::Body;
use crate::proposer::Proposer;

/// Bytes that a machine's feed lets wait for a reader.
pub(super) const UNSENT: usize = 16 << 10;
/// What tells this site from another.
const SITE: u64 = 0xd2111;

impl Drill {
    /// Starts a process from its disk; with `own` that is what it held when it ended, and nothing of it may be missing.
    pub(super) fn start(&mut self, process: usize, own: bool) -> Result<(), String> {
        let seed = self.random.random();
        let at = &mut self.processes[process];
        at.life += 1;
        at.syncs = false;
        at.unheard.clear();
        let life = Life { incarnation: Incarnation(at.life), nonce: Nonce(seed) };
        let greeting = Greeting { site: SITE, name: at.name.clone(), life };
        let body = if at.place.is_some() {
            self.machine(process, greeting, seed)?
        } else if process < self.plan.all_machines() + self.plan.gateways {
            self.gateway(process, greeting, seed)?
        } else {
            let writer = self.plan.writer(self.processes[process].region);
            let writer = self.processes[writer].name.clone();
            Body::Proposer(Box::new(Proposer::new(greeting, writer, self.now)))
        };
        let at = &mut self.processes[process];
        at.body = Some(body);
        for (region, (cursor, _)) in own.then(|| at.marks.clone()).into_iter().flatten() {
            let now = at.copy().map(|copy| copy.cursor(region)).unwrap_or_default();
            if now < cursor {
                return Err(format!(
                    "{} held {cursor} of region {}; its own disk has {now}",
                    at.name, region.0
                ));
            }
        }
        at.look();
        if at.is_writer() {
            let region = at.region;
            let line = self.ledger.entry(region).or_default();
            if let Some(copy) = at.copy()
                && let Some(table) = copy.table(region)
            {
                line.found(copy.cursor(region), table);
            }
        }
        self.handle(process, Input::Tick)
    }

    fn machine(&self, process: usize, greeting: Greeting, seed: u64) -> Result<Body, String> {
        let places: Vec<Place> = self.processes.iter().filter_map(|p| p.place.clone()).collect();
        let mut options = MachineOptions::new(greeting, places);
        options.feed.unsent = UNSENT;
        options.feed.rate = 4 << 20;
        options.feed.pause = 500_000;
        options.feed.subscribers = 64;
        let mut machine = Machine::new(options, self.now, seed);
        let at = &self.processes[process];
        for body in at.store.bodies() {
            machine.restore(body).map_err(|refusal| format!("{} does not start: {refusal}", at.name))?;
        }
        Ok(Body::Machine(Box::new(machine)))
    }

    fn gateway(&self, process: usize, greeting: Greeting, seed: u64) -> Result<Body, String> {
        let regions: Vec<Region> = (1..=self.plan.regions).map(Region).collect();
        let at = &self.processes[process];
        let mut copy = Copy::new(regions.iter().copied(), Bounds::default());
        for body in at.store.bodies() {
            copy.restore(body, None).map_err(|refusal| format!("{} does not start: {refusal}", at.name))?;
        }
        let of = |own: bool| -> Vec<PeerName> {
            let machines = self.processes.iter().filter_map(|p| p.place.as_ref());
            machines
                .filter(|place| (place.region == at.region) == own)
                .map(|place| place.name.clone())
                .collect()
        };
        let machines = order(&at.name, &of(true), &of(false));
        let mut options = SubscriptionOptions::new(greeting, regions, machines);
        options.home = (HOME, 3 * HOME);
        Ok(Body::Gateway(Box::new(Subscription::new(options, self.now, seed)), Box::new(copy)))
    }
}

/// A gateway looks for its first machine again after so long.
const HOME: Micros = 5_000_000;
