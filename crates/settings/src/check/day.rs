//! Problems of a day: clients and troubles.

use std::collections::BTreeSet;

use records::Op;

use super::Check;
use crate::day::zone;
use crate::schema::*;

impl Check {
    pub(super) fn day(&mut self, s: &Site) {
        let Some(day) = &s.day else {
            if !s.client.is_empty() || !s.trouble.is_empty() {
                self.problem("day".into(), "clients and troubles need a [day]");
            }
            return;
        };
        self.within("day.seconds".into(), day.seconds, 0.1, 86400.0);
        let volumes: BTreeSet<&str> = s.volume.iter().map(|v| v.name.as_str()).collect();
        self.names("client", s.client.iter().map(|c| c.name.as_str()));
        for (n, c) in s.client.iter().enumerate() {
            self.client(n, c, s, &volumes);
        }
        for (n, t) in s.trouble.iter().enumerate() {
            self.trouble(n, t, s, day);
        }
    }

    fn client(&mut self, n: usize, c: &Client, s: &Site, volumes: &BTreeSet<&str>) {
        let key = |name: &str| format!("client[{n}].{name}");
        self.within(key("rate"), c.rate, 0.001, 1e6);
        self.within(key("aborts"), c.aborts, 0.0, 1.0);
        self.within(key("depth"), c.depth.into(), 1.0, f64::from(s.limits.queue_entries - 1));
        self.within(key("queues"), c.queues.into(), 1.0, s.limits.io_queues.into());
        if c.volumes.is_empty() {
            self.problem(key("volumes"), "a client uses at least one volume");
        }
        for (m, name) in c.volumes.iter().enumerate().filter(|(_, v)| !volumes.contains(v.as_str())) {
            self.problem(format!("client[{n}].volumes[{m}]"), format!("no [[volume]] is named '{name}'"));
        }
        if c.mix.iter().map(|m| m.share).sum::<f64>() <= 0.0 {
            self.problem(key("mix"), "the shares of the mix add up to nothing");
        }
        for (m, mix) in c.mix.iter().enumerate() {
            let whole = s.volume.iter().filter(|v| c.volumes.contains(&v.name));
            let odd = |v: &Volume| !(mix.kib * 1024).is_multiple_of(v.block_size.max(1)) || mix.kib == 0;
            if mix.op != Op::Flush && (mix.kib > s.limits.transfer_kib || whole.clone().any(odd)) {
                let what = format!("{} KiB is not whole blocks of 1 to transfer_kib", mix.kib);
                self.problem(format!("client[{n}].mix[{m}].kib"), what);
            }
        }
        if c.phases.windows(2).any(|p| p[0].from_s > p[1].from_s) {
            self.problem(key("phases"), "phases come by rising from_s");
        }
    }

    fn trouble(&mut self, n: usize, t: &Trouble, s: &Site, day: &Day) {
        use TroubleKind::*;
        self.within(format!("trouble[{n}].at_s"), t.at_s, 0.0, day.seconds);
        self.within(format!("trouble[{n}].for_s"), t.for_s, 0.0, 86400.0);
        let gateways = || s.gateway.iter().map(|g| g.name.as_str());
        let nodes = || s.node.iter().map(|n| n.name.as_str());
        let clients = || s.client.iter().map(|c| c.name.as_str());
        let (kind, known): (_, Vec<&str>) = match t.what {
            KillGateway | StopGateway | StallGateway | Join => ("gateway", gateways().collect()),
            LateList => ("node list", vec!["list"]),
            Leave => ("client or gateway", clients().chain(gateways()).collect()),
            Freeze | Power => ("gateway or node", gateways().chain(nodes()).collect()),
            Part | SlowLink | Flap => {
                ("client, gateway, node or zone", clients().chain(gateways()).chain(nodes()).collect())
            }
            _ => ("node", nodes().collect()),
        };
        let is_known = |name: &str| {
            let zone = zone(name).filter(|_| t.what.is_of_links());
            known.contains(&name) || zone.is_some_and(|zone| s.has_zone(zone))
        };
        for (m, name) in t.of.iter().enumerate().filter(|(_, name)| !is_known(name)) {
            self.problem(format!("trouble[{n}].of[{m}]"), format!("no {kind} is named '{name}'"));
        }
        if t.of.is_empty() {
            self.problem(format!("trouble[{n}].of"), format!("names of at least one {kind} are needed"));
        }
        for (m, name) in t.to.iter().enumerate().filter(|(_, name)| !is_known(name)) {
            self.problem(format!("trouble[{n}].to[{m}]"), format!("no {kind} is named '{name}'"));
        }
        if t.what == Slow {
            self.within(format!("trouble[{n}].factor"), t.factor, 1.0, 1000.0);
        }
        match t.what {
            Part | SlowLink | Flap => self.of_links(n, t, s, day),
            _ if !t.to.is_empty() || !t.both => {
                self.problem(format!("trouble[{n}].to"), "only part, slow_link and flap have another side");
            }
            Freeze => self.within(format!("trouble[{n}].for_s"), t.for_s, 0.05, 60.0),
            // A cut of power has an end; one that leaves for good is 'leave'.
            Power => self.within(format!("trouble[{n}].for_s"), t.for_s, 0.1, 86400.0),
            Join => {
                let earlier = &s.trouble[..n];
                let again = |name: &String| earlier.iter().any(|e| e.what == Join && e.of.contains(name));
                if t.of.iter().any(again) {
                    self.problem(format!("trouble[{n}].of"), "a gateway joins once; to come back is power");
                }
            }
            _ => {}
        }
    }

    fn of_links(&mut self, n: usize, t: &Trouble, s: &Site, day: &Day) {
        if !day.relay {
            let what = "links are disturbed by a relay: [day] relay = true is needed";
            self.problem(format!("trouble[{n}].what"), what);
        }
        let names = s.client.iter().map(|c| &c.name).chain(s.gateway.iter().map(|g| &g.name));
        let mut seen = BTreeSet::new();
        if let Some(twice) = names.chain(s.node.iter().map(|n| &n.name)).find(|name| !seen.insert(*name)) {
            let what = format!("'{twice}' names two processes; a link's ends need names of their own");
            self.problem(format!("trouble[{n}].of"), what);
        }
        let (of, to) = (s.processes(&t.of), s.processes(&t.to));
        let other = |name: &String| if to.is_empty() { !of.contains(name) } else { to.contains(name) };
        let met = |(a, b): &(String, String)| (of.contains(a) && other(b)) || (of.contains(b) && other(a));
        if !s.links().iter().any(met) {
            let what = "no link stands between the two sides; gateways have links between them with [recovery] or [fleet]";
            self.problem(format!("trouble[{n}].of"), what);
        }
        if t.what == TroubleKind::SlowLink && t.delay_ms + t.jitter_ms == 0 {
            self.problem(format!("trouble[{n}].delay_ms"), "a slow link needs delay_ms or jitter_ms");
        }
        self.within(format!("trouble[{n}].delay_ms"), t.delay_ms.into(), 0.0, 60_000.0);
        self.within(format!("trouble[{n}].jitter_ms"), t.jitter_ms.into(), 0.0, 60_000.0);
        if t.what == TroubleKind::Flap {
            self.within(format!("trouble[{n}].up_ms"), t.up_ms.into(), 10.0, 3_600_000.0);
            self.within(format!("trouble[{n}].down_ms"), t.down_ms.into(), 10.0, 3_600_000.0);
        }
    }
}
