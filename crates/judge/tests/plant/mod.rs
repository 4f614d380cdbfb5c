//! A day in the making, into which breaches are planted.
#![allow(dead_code)] // Each test file uses its part.

use judge::{Day, Records, Report, judge};
use records::*;

pub const S: Micros = 1_000_000;

pub fn terms() -> Terms {
    let class = |name: &str, op, kind, in_order| ClassTerms {
        name: name.into(),
        op,
        max_bytes: (op == Op::Write && kind == Kind::Keyed).then_some(4096),
        kind,
        window: if kind == Kind::Keyed { 2 * S } else { 0 },
        in_order,
        aim: S / 10,
        patience: S,
        worth: 1.0,
        late_worth: 0.1,
    };
    Terms {
        classes: vec![
            class("read", Op::Read, Kind::Safe, false),
            class("post", Op::Write, Kind::Keyed, true),
            class("bulk", Op::Write, Kind::Unsafe, false),
            class("flush", Op::Flush, Kind::Safe, false),
        ],
        plans: vec![PlanTerms { name: "p".into(), limit: 10.0, burst: 20.0, slack: 2.0, price: 1.0 }],
        volumes: vec![VolumeTerms {
            nsid: 1,
            plan: 0,
            block_size: 4096,
            extent_blocks: 1 << 20,
            shards: vec![0],
        }],
        unit_bytes: 4096,
        most_units: 8.0,
        mean_units: 1.0,
        drain_grace: S / 2,
        order_rest: S / 5,
        cold: ColdTerms { from: 0.2, warm_after: 10 * S, multiple: 2.0, window: S, units: 4.0 },
        budget: Some(Budget { window: 5 * S, free: 2.0, share: 0.1 }),
        clock_slack: S / 20,
        view: None,
        cap: None,
    }
}

/// A day in the making.
#[derive(Clone)]
pub struct Plant {
    pub terms: Terms,
    pub clients: Vec<ClientLine>,
    pub node: Vec<NodeLine>,
    pub lines: Vec<DayLine>,
    pub views: Vec<ViewLine>,
}

impl Plant {
    pub fn new() -> Self {
        let start = NodeLine::Start {
            t: 0,
            node: "n1".into(),
            shard: 0,
            cold: false,
            units_per_s: 100.0,
            kept: None,
        };
        Plant { terms: terms(), clients: Vec::new(), node: vec![start], lines: Vec::new(), views: Vec::new() }
    }

    pub fn issue(&mut self, t: Micros, token: u64, op: Op, slba: u64, blocks: u32) {
        let gateway = "g1".into();
        self.clients.push(ClientLine::Issue { t, token, gateway, connection: 1, op, nsid: 1, slba, blocks });
    }

    pub fn told(&mut self, t: Micros, token: u64, told: Told) {
        self.clients.push(ClientLine::Answer { t, token, told, advice: 0, found: vec![], torn: 0 });
    }

    pub fn arrive(&mut self, t: Micros, token: u64, attempt: u32, op: Op, slba: u64, blocks: u32) {
        let gateway = "g1".into();
        self.node.push(NodeLine::Arrive {
            t,
            began: None,
            gateway,
            token,
            attempt,
            op,
            nsid: 1,
            slba,
            blocks,
        });
    }

    pub fn run(&mut self, t: Micros, token: u64, attempt: u32, slba: u64, applied: bool) {
        self.node.push(NodeLine::Run { t, token, attempt, nsid: 1, slba, op: Op::Write, applied, number: 0 });
        self.node.push(NodeLine::Answer { t, token, attempt, slba, full: false });
    }

    /// A write from issue to answer, in 10 ms.
    pub fn whole(&mut self, t: Micros, token: u64, slba: u64, blocks: u32) {
        self.issue(t, token, Op::Write, slba, blocks);
        self.arrive(t + 2000, token, 0, Op::Write, slba, blocks);
        self.run(t + 8000, token, 0, slba, true);
        self.told(t + 10_000, token, Told::Served);
    }

    pub fn judge(&self) -> Report {
        judge(&Day::gather(Records {
            terms: self.terms.clone(),
            clients: vec![("c1".into(), self.clients.clone())],
            nodes: vec![self.node.clone()],
            lines: self.lines.clone(),
            views: self.views.clone(),
        }))
    }

    /// What one sends to another is kept from one time to the other.
    pub fn cut(&mut self, from: &str, to: &str, at: Micros, until: Micros) {
        for (t, held) in [(at, true), (until, false)] {
            self.way(t, from, to, held, 0);
        }
    }

    pub fn way(&mut self, t: Micros, from: &str, to: &str, held: bool, late: Micros) {
        self.lines.push(DayLine::Way { t, from: from.into(), to: to.into(), held, late });
    }

    pub fn stall(&mut self, process: &str, from: Micros, to: Micros) {
        for (t, on) in [(from, true), (to, false)] {
            self.lines.push(DayLine::Stall { t, gateway: process.into(), on });
        }
    }

    /// The one rule that is broken.
    pub fn broken(&self) -> String {
        let report = self.judge();
        let broken: Vec<&String> = report.rules.iter().filter(|r| r.1.broken > 0).map(|r| r.0).collect();
        assert_eq!(broken.len(), 1, "{:#?}", report.rules);
        broken[0].clone()
    }
}

pub fn good() -> Plant {
    let mut p = Plant::new();
    for n in 0..10 {
        p.whole(n as Micros * S, 100 + n, n % 3, 1);
    }
    p
}
