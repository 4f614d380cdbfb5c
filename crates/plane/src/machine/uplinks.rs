//! The other machines: followed for their regions' changes, and asked by a writer that starts.

use peer::PeerName;

use super::Machine;
use crate::Micros;
use crate::entry::Region;
use crate::io::{Conn, Input, Output};
use crate::subscription::{Subscription, SubscriptionOptions, order};

/// A machine looks for the first of those it may follow again after a drawn time between these.
const HOME: (Micros, Micros) = (1_000_000, 3_000_000);

impl Machine {
    /// Makes the links to other machines.
    pub(super) fn link(&mut self, seed: u64) {
        let own = self.options.greeting.name.clone();
        let of = |region: Region| -> Vec<PeerName> {
            let there = self.options.machines.iter().filter(|m| m.region == region && m.name != own);
            there.map(|m| m.name.clone()).collect()
        };
        let near = of(self.region);
        let mut links = Vec::new();
        for region in self.copy.regions() {
            if region != self.region {
                links.push((vec![region], order(&own, &of(region), &near)));
            } else if self.writer.is_none() {
                let writes = |m: &&super::Place| m.region == region && m.writer;
                let writer: Vec<PeerName> =
                    self.options.machines.iter().filter(writes).map(|m| m.name.clone()).collect();
                let others: Vec<PeerName> = near.iter().filter(|m| !writer.contains(m)).cloned().collect();
                links.push((vec![region], order(&own, &writer, &others)));
            }
        }
        let (greeting, spread, now) = (self.options.greeting.clone(), self.options.spread, self.now);
        let mut seeds = seed;
        let mut made = |regions, machines| {
            seeds = seeds.wrapping_add(0x9e37_79b9_7f4a_7c15);
            let mut options = SubscriptionOptions::new(greeting.clone(), regions, machines);
            options.spread = spread;
            // The others of a region are linked with each other while its writer is away, and hear nothing new there.
            options.home = HOME;
            Subscription::new(options, now, seeds)
        };
        self.uplinks = links.into_iter().map(|(regions, machines)| made(regions, machines)).collect();
        if self.writer.is_some() {
            let asked = near.into_iter().map(|name| (name.clone(), made(vec![self.region], vec![name])));
            self.asking = asked.collect();
        }
    }

    pub(super) fn is_uplink(&self, conn: Conn) -> bool {
        self.uplinks.iter().chain(self.asking.values()).any(|link| link.owns(conn))
    }

    /// Gives something to the link that it concerns.
    pub(super) fn uplink(&mut self, input: Input, out: &mut Vec<Output>) {
        let concerns = |link: &Subscription| match &input {
            Input::Dialled { machine, .. } | Input::NotDialled { machine } => link.dials(machine),
            Input::Bytes { conn, .. } | Input::Ended { conn } => link.owns(*conn),
            _ => false,
        };
        let (mut links, mut asking) = (std::mem::take(&mut self.uplinks), std::mem::take(&mut self.asking));
        let mut said = Vec::new();
        let found = links.iter_mut().chain(asking.values_mut()).find(|link| concerns(link));
        match found {
            Some(link) => link.handle(self.now, input, &mut self.copy, None, &mut said),
            None => {
                if let Input::Dialled { conn, .. } = input {
                    out.push(Output::Close(conn));
                }
            }
        }
        (self.uplinks, self.asking) = (links, asking);
        self.carry(said, out);
    }

    /// Tells the links the time, and lets go of those whose answer a starting writer has.
    pub(super) fn follow(&mut self, out: &mut Vec<Output>) {
        let now = self.now;
        let mut said = Vec::new();
        for link in self.uplinks.iter_mut().chain(self.asking.values_mut()) {
            if link.next_due() <= now {
                link.handle(now, Input::Tick, &mut self.copy, None, &mut said);
            }
        }
        self.carry(said, out);
        let heard = self.asking.iter().filter(|(_, link)| link.has_heard(self.region));
        self.heard.extend(heard.map(|(name, _)| name.clone()));
        // Danger: one that is let go could still learn changes of the line that is about to end from one that was not asked
        // yet. All are kept until all have said what they hold.
        if !self.asking.is_empty() && self.waits_for().is_empty() {
            self.hang_up(out);
        }
    }

    /// Nobody has to be asked any more.
    pub(super) fn hang_up(&mut self, out: &mut Vec<Output>) {
        for link in std::mem::take(&mut self.asking).values() {
            if let Some(conn) = link.conn() {
                self.copy.drop_staging(conn);
                out.push(Output::Close(conn));
            }
        }
    }

    /// What links want done, with what came into force on the way to those that are served.
    fn carry(&mut self, said: Vec<Output>, out: &mut Vec<Output>) {
        for output in said {
            if let Output::InForce(taken) = &output {
                self.in_force(taken);
            }
            out.push(output);
        }
    }
}
