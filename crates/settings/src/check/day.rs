//! Problems of a day: clients and troubles.

use std::collections::BTreeSet;

use records::Op;

use super::Check;
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
        let (kind, known): (_, Vec<&str>) = match t.what {
            KillGateway | StopGateway | StallGateway => {
                ("gateway", s.gateway.iter().map(|g| &*g.name).collect())
            }
            LateList => ("node list", vec!["list"]),
            Leave => ("client", s.client.iter().map(|c| &*c.name).collect()),
            _ => ("node", s.node.iter().map(|n| &*n.name).collect()),
        };
        for (m, name) in t.of.iter().enumerate().filter(|(_, name)| !known.contains(&name.as_str())) {
            self.problem(format!("trouble[{n}].of[{m}]"), format!("no {kind} is named '{name}'"));
        }
        if t.of.is_empty() {
            self.problem(format!("trouble[{n}].of"), format!("names of at least one {kind} are needed"));
        }
        if t.what == Slow {
            self.within(format!("trouble[{n}].factor"), t.factor, 1.0, 1000.0);
        }
    }
}
