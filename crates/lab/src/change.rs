//! Changes of a day, carried out.

use std::time::Duration;

use emulator::Fault;
use gateway::NodeLineState;
use records::DayLine;

use crate::LabError;
use crate::director::Director;
use crate::process::{Process, fault, started};
use crate::timeline::Change;
use crate::weather::Effect;

impl Director<'_> {
    /// Carries out one change.
    pub(crate) fn change(&mut self, change: &Change) -> Result<(), LabError> {
        let words = change.words();
        self.recorder.write(&DayLine::Trouble { t: self.clock.now(), what: words.clone() });
        (self.tell)(&format!("        {words}"));
        match change {
            Change::Fault(node, what) => self.fault(node, *what),
            Change::List(node, state) => self.list_change(node, *state),
            Change::Kill(name) => {
                self.frozen.remove(name);
                if let Some(mut process) = self.take_gateway(name) {
                    self.down(name, true);
                    process.kill();
                }
            }
            Change::Stop(name) => self.stop(name),
            Change::Depart(name) => {
                self.departed.insert(name.clone());
                self.stop(name);
            }
            // Two troubles of one gateway may overlap: it is up already, has not joined yet, or has left for good.
            Change::Start(name) => self.start_again(name),
            Change::Join(name) if self.gateways.contains_key(name) => {}
            Change::Join(name) => self.late_starts.push(name.clone()),
            Change::Stall(name, on) => self.stall(name, *on),
            Change::Links(number, on, _) => {
                let effect = on.then(|| Effect::of(self.site, &self.site.trouble[*number]));
                if let Some(net) = &mut self.net {
                    net.switch(*number, effect, &self.recorder, self.clock)?;
                }
            }
            Change::PowerOff(names) => self.power_off(names)?,
            Change::PowerOn(names) => self.power_on(names)?,
            Change::Leave(name) => {
                if let Some((_, client)) = self.clients.iter().find(|(n, _)| n == name) {
                    client.leave();
                }
            }
        }
        Ok(())
    }

    /// Switches a fault. A node that stands still hears of it when it goes on; one without power has no faults.
    fn fault(&mut self, node: &str, what: Fault) {
        if let Some(waiting) = self.frozen.get_mut(node) {
            waiting.push(what);
            return;
        }
        if let Some(Some(process)) = self.nodes.get(node)
            && let Err(error) = fault(&process.control, what)
        {
            tracing::error!(node, %error, "a fault could not be switched");
        }
    }

    fn down(&self, gateway: &str, killed: bool) {
        self.recorder.write(&DayLine::Down { t: self.clock.now(), gateway: gateway.to_owned(), killed });
    }

    fn take_gateway(&mut self, name: &str) -> Option<Process> {
        self.gateways.get_mut(name).and_then(|g| g.process.take())
    }

    /// A gateway is told to leave; it does so while the day goes on.
    fn stop(&mut self, name: &str) {
        let within = Duration::from_millis(self.site.limits.stop_within_ms.into()) + Duration::from_secs(2);
        let Some(mut process) = self.take_gateway(name) else { return };
        self.frozen.remove(name);
        self.down(name, false);
        let (gateway, recorder, clock) = (name.to_owned(), self.recorder.clone(), self.clock);
        let leaves = std::thread::spawn(move || {
            let left = process.leave(within);
            if !left {
                let line = DayLine::Down { t: clock.now(), gateway: gateway.clone(), killed: true };
                recorder.write(&line);
            }
            let what = if left { "has left, all answered" } else { "had to be killed" };
            recorder.write(&DayLine::Trouble { t: clock.now(), what: format!("{gateway} {what}") });
        });
        self.leaving.insert(name.to_owned(), leaves);
    }

    /// A process stands still, or goes on; one that is down cannot.
    fn stall(&mut self, name: &str, on: bool) {
        let gateway = self.gateways.get(name).and_then(|g| g.process.as_ref());
        let Some(process) = gateway.or(self.nodes.get(name).and_then(|n| n.as_ref())) else { return };
        let line = DayLine::Stall { t: self.clock.now(), gateway: name.to_owned(), on };
        if on {
            self.recorder.write(&line);
        }
        process.stall(on);
        if on {
            self.frozen.entry(name.to_owned()).or_default();
            return;
        }
        let t = self.clock.now();
        self.recorder.write(&DayLine::Stall { t, gateway: name.to_owned(), on });
        for what in self.frozen.remove(name).unwrap_or_default() {
            self.fault(name, what);
        }
    }

    /// The power goes for all of them before any of them can say so to another.
    fn power_off(&mut self, names: &[String]) -> Result<(), LabError> {
        let (mut gateways, mut nodes) = (Vec::new(), Vec::new());
        for name in names {
            if let Some(process) = self.take_gateway(name) {
                self.down(name, true);
                gateways.push((name, process));
            } else if let Some(process) = self.nodes.get_mut(name).and_then(Option::take) {
                // Whether it stood still does not matter any more.
                let t = self.clock.now();
                self.recorder.write(&DayLine::Stall { t, gateway: name.clone(), on: false });
                nodes.push((name, process));
            }
            self.frozen.remove(name);
        }
        gateways.iter_mut().chain(&mut nodes).for_each(|(_, process)| process.strike());
        gateways.iter_mut().chain(&mut nodes).for_each(|(_, process)| process.kill());
        gateways.iter().try_for_each(|(name, _)| self.ground.cut_gateway(name))?;
        nodes.iter().try_for_each(|(name, _)| self.ground.cut_node(name))
    }

    fn power_on(&mut self, names: &[String]) -> Result<(), LabError> {
        for name in names {
            if self.nodes.get(name).is_some_and(Option::is_none) {
                let address = self.start_node(name, true)?;
                if let Some(line) = self.list.get_mut(name) {
                    line.address = address;
                }
            } else {
                self.start_again(name);
            }
        }
        Ok(())
    }

    fn start_again(&mut self, gateway: &str) {
        let is_down = self.gateways.get(gateway).is_some_and(|g| g.process.is_none());
        if is_down && !self.departed.contains(gateway) {
            self.late_starts.push(gateway.to_owned());
        }
    }

    fn list_change(&mut self, node: &str, state: NodeLineState) {
        // One that stands still is listed with the start that was seen last.
        let awake = !self.frozen.contains_key(node);
        let control =
            self.nodes.get(node).filter(|_| awake).and_then(|n| n.as_ref()).map(|p| p.control.clone());
        let Some(line) = self.list.get_mut(node) else { return };
        line.state = state;
        if let (NodeLineState::On, Some(control)) = (state, control) {
            line.started = started(&control);
        }
        let line = line.clone();
        for (name, gateway) in &self.gateways {
            gateway.feed.send(false, vec![self.line_for(name, &line)]);
        }
    }
}
