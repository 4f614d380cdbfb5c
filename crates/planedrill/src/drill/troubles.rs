//! Troubles as they come and go, and changes that are asked for.

use plane::{Change, Kind, Micros, Region};
use rand::Rng;
use serde_bytes::ByteBuf;

use super::{Calm, Drill, Event};
use crate::net::Flow;
use crate::plan::Trouble;
use crate::process::{Marks, holds};
use crate::store::Store;

/// Keys of one half of a churn.
const CHURN: usize = 700;

impl Drill {
    pub(super) fn trouble(&mut self, trouble: Trouble) -> Result<(), String> {
        let now = self.now;
        let until = |time: Micros| now + time;
        match trouble {
            Trouble::Kill { process, down } => self.kill(process, down, None),
            Trouble::Remember { process } => {
                let at = &mut self.processes[process];
                let mut store = at.store.clone();
                if at.syncs {
                    // What goes to the disk just then may be turned down yet.
                    store.drop_last();
                }
                at.older = Some((store, at.marks()));
            }
            Trouble::PutBack { process, down } => {
                let older = self.processes[process].older.clone();
                self.kill(process, down, Some(older.unwrap_or_default()));
            }
            Trouble::Empty { process, down } => self.kill(process, down, Some(Default::default())),
            Trouble::Break { process, told } => {
                let links = self.net.links().filter(|(_, link)| link.ends.contains(&process));
                let conns: Vec<_> = links.map(|(conn, _)| conn).collect();
                let mut flows = Vec::new();
                conns.into_iter().for_each(|conn| self.net.cut(self.now, conn, told, &mut flows));
                self.flows(flows);
            }
            Trouble::Slow { process, gap, time } => {
                let end = until(time);
                self.processes[process].slow = Some(gap);
                self.at(end, Event::Calm(Calm::Slow(process)));
            }
            Trouble::Delay { process, by, time } => {
                let end = until(time);
                self.net.lag.insert(process, by);
                self.at(end, Event::Calm(Calm::Delay(process)));
            }
            Trouble::Cut { region, time } => {
                let end = until(time);
                self.cut.insert(region);
                self.at(end, Event::Calm(Calm::Cut(region)));
            }
            Trouble::Burst { region, changes, size } => {
                let changes =
                    (0..changes).map(|at| self.change(region, &format!("b{at}"), false, size)).collect();
                return self.propose(region, changes);
            }
            Trouble::Churn { region } => return self.churn(region),
            Trouble::Disk { process, time } => {
                let end = until(time);
                self.processes[process].failing = true;
                self.at(end, Event::Calm(Calm::Disk(process)));
            }
        }
        Ok(())
    }

    pub(super) fn calm(&mut self, calm: Calm) -> Result<(), String> {
        match calm {
            Calm::Slow(process) => self.processes[process].slow = None,
            Calm::Delay(process) => {
                self.net.lag.remove(&process);
            }
            Calm::Cut(region) => {
                self.cut.remove(&region);
            }
            Calm::Disk(process) => self.processes[process].failing = false,
        }
        self.read_on();
        Ok(())
    }

    /// What has come and was not read, as nothing passed, is read now.
    pub(super) fn read_on(&mut self) {
        let mut waits = Vec::new();
        for (conn, link) in self.net.links() {
            for way in [0, 1] {
                if !link.ways[way].arrived.is_empty() && !link.ways[way].reading {
                    waits.push((conn, way));
                }
            }
        }
        for (conn, way) in waits {
            if let Some(link) = self.net.link(conn) {
                link.ways[way].reading = true;
            }
            self.at(self.now + 1, Event::Flow(Flow::Read { conn, way }));
        }
    }

    /// Ends a process, which starts again later: from its own disk, or from another.
    pub(super) fn kill(&mut self, process: usize, down: Micros, disk: Option<(Store, Marks)>) {
        let up = self.processes[process].body.is_some();
        if !up || disk.as_ref().is_some_and(|(_, marks)| !self.may_lose(process, marks)) {
            self.played.passed_over += 1;
            return;
        }
        let at = &mut self.processes[process];
        at.marks = at.marks();
        at.body = None;
        at.due = None;
        at.life += 1;
        if let Some((store, marks)) = disk {
            (at.store, at.marks) = (store, marks);
            at.forget();
        }
        let life = at.life;
        let told = self.random.random_bool(0.75);
        let mut flows = Vec::new();
        self.net.kill(self.now, process, told, &mut flows);
        self.flows(flows);
        self.at(self.now + down, Event::Start { process, life });
    }

    /// Whether a disk may be put back to these marks: not if all machines of a region would have lost a change that more than
    /// its writer once held. What its writer alone held is excused.
    fn may_lose(&mut self, process: usize, marks: &Marks) -> bool {
        let at = &self.processes[process];
        if at.place.is_none() {
            return true;
        }
        let (region, writer, now) = (at.region, at.is_writer(), at.marks());
        let same = |(n, p): &(usize, &crate::process::Process)| {
            *n != process && p.place.as_ref().is_some_and(|place| place.region == region)
        };
        let others: Vec<Marks> =
            self.processes.iter().enumerate().filter(same).map(|(_, p)| p.marks()).collect();
        let line = self.ledger.entry(region).or_default();
        let lost = |write: &crate::ledger::Write| {
            let stamp = write.entry.stamp;
            !write.abandoned
                && holds(&now, region, stamp)
                && !holds(marks, region, stamp)
                && !others.iter().any(|other| holds(other, region, stamp))
        };
        let lost: Vec<usize> = (0..line.writes.len()).filter(|at| lost(&line.writes[*at])).collect();
        if lost.iter().any(|at| !writer || line.writes[*at].replicated) {
            return false;
        }
        lost.into_iter().for_each(|at| line.writes[at].excused = true);
        true
    }

    /// A change of a key.
    fn change(&mut self, region: Region, name: &str, delete: bool, most: usize) -> Change {
        self.serial += 1;
        let size = if self.random.random_bool(0.05) { 3000 } else { self.random.random_range(0..most) };
        let value = format!("{}.{}{}", region.0, self.serial, "x".repeat(size)).into_bytes();
        let kind = Kind::ALL[name.len() % Kind::ALL.len()];
        Change { owner: region, kind, name: name.into(), value: (!delete).then(|| ByteBuf::from(value)) }
    }

    pub(super) fn propose_some(&mut self) -> Result<(), String> {
        if self.now >= self.plan.until {
            return Ok(());
        }
        let region = Region(self.random.random_range(1..=self.plan.regions));
        let count = self.random.random_range(1..=4);
        let keys: std::collections::BTreeSet<usize> =
            (0..count).map(|_| self.random.random_range(0..self.plan.keys)).collect();
        let mut changes = Vec::new();
        for key in keys {
            let delete = self.random.random_bool(0.25);
            changes.push(self.change(region, &format!("k{key}"), delete, 60));
        }
        self.at(self.now + self.plan.pace, Event::Propose);
        self.propose(region, changes)
    }

    fn propose(&mut self, region: Region, changes: Vec<Change>) -> Result<(), String> {
        let process = self.processes.len() - usize::from(self.plan.regions) + usize::from(region.0 - 1);
        let now = self.now;
        let mut out = Vec::new();
        if let Some(proposer) = self.processes[process].proposer() {
            proposer.propose(now, changes, &mut out);
        }
        out.into_iter().try_for_each(|output| self.output(process, output, false))
    }

    fn churn(&mut self, region: Region) -> Result<(), String> {
        for round in 0..2 {
            for delete in [false, true] {
                let name = |at: usize| format!("c{round}.{at}");
                let mut changes: Vec<Change> =
                    (0..CHURN).map(|at| self.change(region, &name(at), delete, 60)).collect();
                for change in &mut changes {
                    change.kind = Kind::Extents;
                    if let Some(value) = &mut change.value {
                        value.truncate(12);
                    }
                }
                self.propose(region, changes)?;
            }
        }
        Ok(())
    }
}
