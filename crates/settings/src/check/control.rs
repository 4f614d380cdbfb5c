//! Problems of the control plane's tables.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::Check;
use crate::schema::*;

/// Who follows a machine leaves it after so long a silence.
const LEFT_MS: u32 = 5000;
/// Who follows a machine says something to it at least this often.
const SAID_MS: u32 = 2000;

impl Check {
    pub(super) fn control(&mut self, s: &Site) {
        let Some(c) = &s.control else {
            for (n, _) in s.gateway.iter().enumerate().filter(|(_, g)| g.region.is_some()) {
                let what = "regions are those of control machines: add [control], or leave the key out";
                self.problem(format!("gateway[{n}].region"), what);
            }
            return;
        };
        self.control_figures(c);
        if c.machine.is_empty() {
            let what = "at least one [[control.machine]] is needed; leave [control] out for no control plane";
            self.problem("control.machine".into(), what);
            return;
        }
        self.machines(s, c);
        self.writers(c);
        let regions: BTreeSet<u16> = c.machine.iter().map(|m| m.region).collect();
        let named: Vec<String> = regions.iter().map(u16::to_string).collect();
        let named = named.join(", ");
        let none =
            |region: u16| format!("no [[control.machine]] is of region {region}; there are some of {named}");
        if s.gateway.iter().any(|g| g.region.is_none()) && !regions.contains(&c.region) {
            self.problem("control.region".into(), none(c.region));
        }
        for (n, gateway) in s.gateway.iter().enumerate() {
            if let Some(region) = gateway.region.filter(|region| !regions.contains(region)) {
                self.problem(format!("gateway[{n}].region"), none(region));
            }
        }
    }

    fn control_figures(&mut self, c: &ControlTable) {
        // Danger: who waits less than two signs of life takes one that is late for an end, and all would dial anew.
        let spans = [
            ("spread_ms", c.spread_ms, 0, 600_000),
            ("machine_spread_ms", c.machine_spread_ms, 0, 600_000),
            ("beat_ms", c.beat_ms, 10, LEFT_MS / 2),
            ("silence_ms", c.silence_ms, SAID_MS * 2, 3_600_000),
            ("pause_ms", c.pause_ms, 1, 600_000),
        ];
        for (key, value, from, to) in spans {
            self.within(format!("control.{key}"), value.into(), from.into(), to.into());
        }
        let counts = [
            ("subscribers", c.subscribers as f64, 1.0, 1e5),
            ("rate_bytes", c.rate_bytes as f64, 65_536.0, 1e11),
            ("unsent_bytes", c.unsent_bytes as f64, 4096.0, f64::from(1 << 26)),
            ("entries", c.entries as f64, 1.0, 1e7),
            ("state_bytes", c.state_bytes as f64, 65_536.0, f64::from(1 << 30)),
        ];
        for (key, value, from, to) in counts {
            self.within(format!("control.{key}"), value, from, to);
        }
    }

    fn machines(&mut self, s: &Site, c: &ControlTable) {
        self.names("control.machine", c.machine.iter().map(|m| m.name.as_str()));
        let mut used: BTreeMap<SocketAddr, String> = BTreeMap::new();
        let nodes = s.node.iter().map(|n| (n.address, format!("node {}", n.name)));
        let gateways = s.gateway.iter().flat_map(|g| {
            let of = |address: SocketAddr| (address, format!("gateway {}", g.name));
            [Some(of(g.listen)), g.peer.map(of)].into_iter().flatten()
        });
        nodes.chain(gateways).for_each(|(address, who)| {
            used.entry(address).or_insert(who);
        });
        for (n, machine) in c.machine.iter().enumerate() {
            let key = |name: &str| format!("control.machine[{n}].{name}");
            if s.gateway.iter().any(|g| g.name == machine.name) {
                let what =
                    format!("a [[gateway]] is named '{}' too, and names tell them apart", machine.name);
                self.problem(key("name"), what);
            }
            if machine.region == 0 {
                self.problem(key("region"), "regions are numbered from 1");
            }
            if machine.listen.port() == 0 {
                self.problem(key("listen"), "gateways and machines have to know the port: 0 is none");
            } else if let Some(who) = used.get(&machine.listen) {
                self.problem(key("listen"), format!("{} is the address of {who} already", machine.listen));
            } else {
                used.insert(machine.listen, format!("control machine {}", machine.name));
            }
        }
    }

    fn writers(&mut self, c: &ControlTable) {
        let mut regions: BTreeMap<u16, Vec<usize>> = BTreeMap::new();
        c.machine.iter().enumerate().for_each(|(n, m)| regions.entry(m.region).or_default().push(n));
        for (region, machines) in regions {
            let name = |n: &usize| c.machine[*n].name.as_str();
            let writers: Vec<usize> = machines.iter().copied().filter(|n| c.machine[*n].writer).collect();
            if writers.is_empty() {
                let of = machines.iter().map(name).collect::<Vec<_>>().join(", ");
                let what = format!("region {region} has no writer: say writer = true of one of {of}");
                self.problem(format!("control.machine[{}].writer", machines[0]), what);
            }
            for n in writers.iter().skip(1) {
                let first = name(&writers[0]);
                let what = format!("region {region} has a writer already, {first}; leave one out");
                self.problem(format!("control.machine[{n}].writer"), what);
            }
        }
    }
}
