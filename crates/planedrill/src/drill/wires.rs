//! Connections of the drill: dialled, broken, and read as fast as a process reads.

use peer::PeerName;
use plane::{Conn, Input, Micros};
use rand::Rng;

use super::{Drill, Event, WATCH};
use crate::net::Flow;

impl Drill {
    /// Whether bytes pass between two processes.
    pub(super) fn passes(&self, one: usize, other: usize) -> bool {
        let (one, other) = (self.processes[one].region, self.processes[other].region);
        one == other || !self.cut.contains(&one) && !self.cut.contains(&other)
    }

    pub(super) fn flows(&mut self, flows: Vec<(Micros, Flow)>) {
        for (at, flow) in flows {
            self.at(at, Event::Flow(flow));
        }
    }

    pub(super) fn flow(&mut self, flow: Flow) -> Result<(), String> {
        match flow {
            Flow::Taken { conn, end, bytes } => {
                let Some(link) = self.net.link(conn).filter(|link| link.holds[end]) else { return Ok(()) };
                let process = link.ends[end];
                self.handle(process, Input::Taken { conn, bytes })
            }
            Flow::Over { conn, end } => {
                let Some(link) = self.net.link(conn) else { return Ok(()) };
                let ends = link.ends;
                if !self.passes(ends[0], ends[1]) {
                    self.at(self.now + WATCH, Event::Flow(flow));
                    return Ok(());
                }
                if self.net.over(conn, end) {
                    return self.handle(ends[end], Input::Ended { conn });
                }
                Ok(())
            }
            Flow::Arrive { conn, way, bytes } => {
                if !self.net.arrives(conn, way) {
                    return Ok(());
                }
                let Some(link) = self.net.link(conn) else { return Ok(()) };
                let ends = link.ends;
                let (passes, slow) = (self.passes(ends[0], ends[1]), self.processes[ends[1 - way]].slow);
                let Some(link) = self.net.link(conn) else { return Ok(()) };
                let reads = link.holds[1 - way];
                let line = &mut link.ways[way];
                if !reads || passes && slow.is_none() && line.arrived.is_empty() {
                    return self.deliver(conn, way, bytes);
                }
                line.arrived.push_back(bytes);
                if passes && !line.reading {
                    line.reading = true;
                    self.at(self.now + slow.unwrap_or(1), Event::Flow(Flow::Read { conn, way }));
                }
                Ok(())
            }
            Flow::Read { conn, way } => {
                let Some(link) = self.net.link(conn) else { return Ok(()) };
                let ends = link.ends;
                let (passes, slow) = (self.passes(ends[0], ends[1]), self.processes[ends[1 - way]].slow);
                let Some(link) = self.net.link(conn) else { return Ok(()) };
                let line = &mut link.ways[way];
                line.reading = false;
                let Some(bytes) = passes.then(|| line.arrived.pop_front()).flatten() else { return Ok(()) };
                if !line.arrived.is_empty() {
                    line.reading = true;
                    self.at(self.now + slow.unwrap_or(1), Event::Flow(Flow::Read { conn, way }));
                }
                self.deliver(conn, way, bytes)
            }
        }
    }

    fn deliver(&mut self, conn: Conn, way: usize, bytes: Vec<u8>) -> Result<(), String> {
        let Some(link) = self.net.link(conn) else { return Ok(()) };
        let (process, holds, count) = (link.ends[1 - way], link.holds[1 - way], bytes.len());
        if holds {
            self.handle(process, Input::Bytes { conn, bytes })?;
        }
        let mut flows = Vec::new();
        self.net.read(self.now, conn, way, count, &mut flows);
        self.flows(flows);
        Ok(())
    }

    pub(super) fn dial(&mut self, process: usize, machine: PeerName) -> Result<(), String> {
        let Some(other) = self.processes.iter().position(|p| p.name == machine) else {
            return Err(format!("{machine} is dialled, which is none"));
        };
        if !self.passes(process, other) {
            let life = self.processes[process].life;
            self.at(self.now + 2 * WATCH, Event::NotDialled { process, life, machine });
            return Ok(());
        }
        if self.processes[other].body.is_none() {
            return self.handle(process, Input::NotDialled { machine });
        }
        let delay = self.random.random_range(200..20_000);
        let conn = self.net.connect([process, other], delay);
        self.handle(other, Input::Accepted { conn })?;
        self.handle(process, Input::Dialled { machine, conn })
    }
}
