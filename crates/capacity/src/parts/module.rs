//! What the decision module costs a gateway by the number of nodes listed.

use std::collections::VecDeque;

use decisions::{Micros, Settings};
use dispatch::{AttemptId, Command, Dispatcher, ListedNode, Outcome};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::coming::{NODES, REQUESTS, SHARD_NODES};
use crate::{Ask, MeasureError, Role, Row};

use super::site;
use super::timing::{median, sizes, timed};

pub(super) const SIZES: [usize; 5] = [30, 300, 2_100, 8_400, 21_000];
/// Between two sweeps of the module's.
const SWEEP: Micros = 5_000_000;
/// Requests timed together, within one such span.
const BATCH: usize = 4_000;
/// Spans that are timed, and those before.
const SPANS: usize = 9;
const BEFORE: usize = 2;
/// A node's answer takes so long.
const LATENCY: Micros = 5_000;

/// A dispatcher under requests that nodes serve.
pub(super) struct Stand {
    dispatcher: Dispatcher<()>,
    nodes: usize,
    now: Micros,
    rng: SmallRng,
    out: VecDeque<(Micros, AttemptId)>,
    served: u64,
    unserved: u64,
}

impl Stand {
    /// One that has been told the whole list at time 0.
    pub(super) fn new(listed: &[ListedNode], settings: &Settings, seed: u64) -> Stand {
        let mut stand = Stand {
            dispatcher: Dispatcher::new(settings.clone(), seed),
            nodes: listed.len(),
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            out: VecDeque::new(),
            served: 0,
            unserved: 0,
        };
        stand.dispatcher.update_nodes(0, true, false, listed);
        stand.carry_out();
        stand
    }

    fn carry_out(&mut self) {
        while let Some(command) = self.dispatcher.next_command() {
            match command {
                Command::Send { attempt, .. } => self.out.push_back((self.now + LATENCY, attempt)),
                Command::EndUnserved(..) => self.unserved += 1,
                Command::Abandon(..) | Command::Subscribe | Command::Log(_) => {}
            }
        }
    }

    /// Lets time pass; nodes answer and timers fire in their order.
    fn run_to(&mut self, until: Micros) {
        loop {
            let end = self.out.front().map(|o| o.0).filter(|at| *at <= until);
            let due = self.dispatcher.next_due().filter(|at| *at <= until);
            if let Some(at) = end.filter(|end| due.is_none_or(|due| *end <= due)) {
                self.now = at;
                if let Some((_, attempt)) = self.out.pop_front() {
                    let served = self.dispatcher.attempt_ended(at, attempt, Outcome::Served, None);
                    self.served += u64::from(served.is_some());
                }
            } else if let Some(at) = due {
                self.now = self.now.max(at);
                self.dispatcher.tick(self.now);
            } else {
                break;
            }
            self.carry_out();
        }
        self.now = until;
    }

    /// So many requests at the rate that is coming, each decided, sent and answered.
    pub(super) fn batch(&mut self, requests: usize) {
        let gap = 1_000_000 / Micros::from(REQUESTS);
        for _ in 0..requests {
            self.run_to(self.now + gap);
            let request = site::request(self.nodes, &mut self.rng);
            self.dispatcher.submit(self.now, request, ());
            self.carry_out();
        }
        self.run_to(self.now + LATENCY);
    }

    /// The part of all attempts that went to the node of its shard that is listed first.
    fn first_of_shard(&self) -> f64 {
        let views = self.dispatcher.node_views();
        let sum = |first: bool| -> u64 {
            let of = views.values().enumerate().filter(|(at, _)| !first || at % SHARD_NODES == 0);
            of.map(|(_, view)| view.sent).sum()
        };
        sum(true) as f64 / sum(false).max(1) as f64
    }
}

struct Run {
    request: f64,
    sweep: f64,
    first: f64,
}

fn play(nodes: usize, seed: u64) -> Result<Run, MeasureError> {
    let settings = site::config(nodes, &site::list(1, false, &[]), seed)?.settings;
    let mut stand = Stand::new(&site::listed(nodes), &settings, seed);
    let (mut requests, mut sweeps) = (Vec::new(), Vec::new());
    for span in 0..BEFORE + SPANS {
        let request = timed(|| stand.batch(BATCH)) / BATCH as f64;
        let ends = SWEEP * (span as Micros + 1);
        if stand.now >= ends {
            return Err(MeasureError::Failed(format!(
                "a batch of {BATCH} requests does not fit between two sweeps"
            )));
        }
        stand.run_to(ends - 1);
        let sweep = timed(|| stand.run_to(ends));
        if span >= BEFORE {
            requests.push(request);
            sweeps.push(sweep);
        }
    }
    // Danger: a request that is refused costs less than one that is served. Harm: none.
    if stand.unserved * 100 > stand.served {
        return Err(MeasureError::Failed(format!(
            "{nodes} nodes: {} requests were not served beside {} that were: this is no cost of serving",
            stand.unserved, stand.served
        )));
    }
    Ok(Run { request: median(requests), sweep: median(sweeps), first: stand.first_of_shard() })
}

/// Processor time of a request and of a sweep.
pub(super) fn measure(ask: &Ask) -> Result<Vec<Row>, MeasureError> {
    let (mut requests, mut sweeps, mut first) = (Vec::new(), Vec::new(), Vec::new());
    for &nodes in sizes(&SIZES, ask.look) {
        let run = play(nodes, ask.seed)?;
        requests.push((nodes as f64, run.request));
        sweeps.push((nodes as f64, run.sweep));
        first.push(format!("{:.2} at {nodes}", run.first));
    }
    let how = |what: &str| {
        format!(
            "`decisions` under `dispatch` in virtual time: {REQUESTS} requests a second drawn evenly over shards of {SHARD_NODES} nodes, each \
             answered after {} ms; gateways in the settings grow with the nodes, so that a node has the same load at every size; median \
             of {SPANS} spans of {} s. {what}",
            LATENCY / 1000,
            SWEEP / 1_000_000
        )
    };
    let row = |name, cost, points, how| Row {
        name,
        role: Role::GatewayData,
        of: "nodes listed",
        cost,
        points,
        at: NODES as f64,
        budget: None,
        how,
    };
    let request = format!(
        "Decision, send and answer, timed in batches of {BATCH}, timers among them, without sweeps. Part of the attempts that went to the \
         node of its shard that is listed first: {}.",
        first.join(", ")
    );
    let sweep = "One sweep, every 5 s, which forgets what no rule needs any more.";
    Ok(vec![
        row("module_request", "processor time of one request, us", requests, how(&request)),
        row("module_sweep", "processor time of one sweep, us", sweeps, how(sweep)),
    ])
}
