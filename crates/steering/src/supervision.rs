//! When a site's processes are started, stopped, killed and given up.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// What a process is. Nodes come up before gateways and go down after them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A stand-in node.
    Node,
    /// A gateway.
    Gateway,
}

/// Where a process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Not started yet, or stopped.
    Down,
    /// Started, not ready yet.
    Starting,
    /// Ready.
    Up,
    /// Told to leave.
    Leaving,
    /// It ended; it is started again after a pause.
    Pausing,
    /// It ended too often; it stays down until an operator starts it.
    GivenUp,
}

/// Limits of the supervision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Pause before the first restart; doubled with each that follows soon.
    pub pause: Micros,
    /// The longest pause.
    pub longest_pause: Micros,
    /// Restarts within the window; one more and the process is given up.
    pub restarts: usize,
    /// That window.
    pub window: Micros,
    /// A process has this long to be ready.
    pub ready_within: Micros,
    /// A process that was ready and does not answer for this long is killed.
    pub silent_for: Micros,
    /// A process that was told to leave has this long.
    pub leave_within: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            pause: 100_000,
            longest_pause: 5_000_000,
            restarts: 10,
            window: 60_000_000,
            ready_within: 10_000_000,
            silent_for: 10_000_000,
            leave_within: 8_000_000,
        }
    }
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happening {
    /// One that runs already was found at the start: it is adopted.
    Found,
    /// It answered.
    Answered,
    /// It ended, or could not be started.
    Ended,
}

/// What is to be done. Processes are named by their place in the order given at the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Start it.
    Start(usize),
    /// Tell it to leave.
    Leave(usize),
    /// Kill it.
    Kill(usize),
}

/// A process, for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessView {
    /// Its name.
    pub name: String,
    /// What it is.
    pub kind: Kind,
    /// Where it is in its life.
    pub phase: Phase,
    /// Since when.
    pub since: Micros,
    /// Times that it was started again.
    pub restarts: u64,
}

#[derive(Clone, Debug)]
struct Process {
    name: String,
    kind: Kind,
    phase: Phase,
    since: Micros,
    answered: Micros,
    pause: Micros,
    restarts: u64,
    recent: VecDeque<Micros>,
}

/// The supervision of a site's processes.
#[derive(Clone, Debug)]
pub struct Supervision {
    limits: Limits,
    processes: Vec<Process>,
    stopping: bool,
}

impl Supervision {
    /// A site whose processes are all down.
    pub fn new(limits: Limits, processes: impl IntoIterator<Item = (String, Kind)>, now: Micros) -> Self {
        let process = |(name, kind)| Process {
            name,
            kind,
            phase: Phase::Down,
            since: now,
            answered: now,
            pause: limits.pause,
            restarts: 0,
            recent: VecDeque::new(),
        };
        Supervision { limits, processes: processes.into_iter().map(process).collect(), stopping: false }
    }

    /// Stops the site in order, from now on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Starts again what was given up.
    pub fn revive(&mut self, now: Micros) {
        for p in self.processes.iter_mut().filter(|p| p.phase == Phase::GivenUp) {
            p.recent.clear();
            p.pause = self.limits.pause;
            p.enter(Phase::Down, now);
        }
    }

    /// Whether the site is being stopped.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether everything is down after a stop.
    pub fn is_over(&self) -> bool {
        self.stopping && self.processes.iter().all(|p| matches!(p.phase, Phase::Down | Phase::GivenUp))
    }

    /// Whether everything is ready.
    pub fn all_up(&self) -> bool {
        self.processes.iter().all(|p| p.phase == Phase::Up)
    }

    /// Phase of a process.
    pub fn phase(&self, index: usize) -> Option<Phase> {
        self.processes.get(index).map(|p| p.phase)
    }

    /// The processes, for people.
    pub fn views(&self) -> Vec<ProcessView> {
        let view = |p: &Process| ProcessView {
            name: p.name.clone(),
            kind: p.kind,
            phase: p.phase,
            since: p.since,
            restarts: p.restarts,
        };
        self.processes.iter().map(view).collect()
    }

    /// Something happened to a process.
    pub fn happened(&mut self, index: usize, happening: Happening, now: Micros) {
        let limits = self.limits;
        let stopping = self.stopping;
        let Some(p) = self.processes.get_mut(index) else { return };
        match happening {
            Happening::Found => {
                p.answered = now;
                p.enter(Phase::Up, now);
            }
            Happening::Answered => {
                p.answered = now;
                if p.phase == Phase::Starting {
                    p.enter(Phase::Up, now);
                }
                // One that has stood for a window is as good as new.
                if p.phase == Phase::Up && now - p.since > limits.window {
                    p.pause = limits.pause;
                }
            }
            Happening::Ended if stopping || p.phase == Phase::Leaving => p.enter(Phase::Down, now),
            Happening::Ended if matches!(p.phase, Phase::Starting | Phase::Up) => {
                p.recent.push_back(now);
                while p.recent.front().is_some_and(|&t| t < now - limits.window) {
                    p.recent.pop_front();
                }
                // Danger: a process that cannot live takes the machine down by being started for ever.
                if p.recent.len() > limits.restarts {
                    p.enter(Phase::GivenUp, now);
                } else {
                    p.enter(Phase::Pausing, now);
                }
            }
            Happening::Ended => {}
        }
    }

    /// What is to be done now. Starts and stops go in order: gateways start when every node is ready or given up, nodes leave
    /// when every gateway is down.
    pub fn tick(&mut self, now: Micros) -> Vec<Act> {
        let mut acts = Vec::new();
        let nodes_settled = self
            .processes
            .iter()
            .filter(|p| p.kind == Kind::Node)
            .all(|p| matches!(p.phase, Phase::Up | Phase::GivenUp) || p.restarts > 0);
        let gateways_down = self
            .processes
            .iter()
            .filter(|p| p.kind == Kind::Gateway)
            .all(|p| matches!(p.phase, Phase::Down | Phase::GivenUp));
        let (limits, stopping) = (self.limits, self.stopping);
        for (index, p) in self.processes.iter_mut().enumerate() {
            let age = now - p.since;
            match p.phase {
                Phase::Down if !stopping && (p.kind == Kind::Node || nodes_settled) => {
                    p.enter(Phase::Starting, now);
                    p.answered = now;
                    acts.push(Act::Start(index));
                }
                Phase::Pausing if stopping => p.enter(Phase::Down, now),
                Phase::Pausing if age >= p.pause => {
                    p.pause = (p.pause * 2).min(limits.longest_pause);
                    p.restarts += 1;
                    p.enter(Phase::Starting, now);
                    p.answered = now;
                    acts.push(Act::Start(index));
                }
                Phase::Starting | Phase::Up if stopping && (p.kind == Kind::Gateway || gateways_down) => {
                    p.enter(Phase::Leaving, now);
                    acts.push(Act::Leave(index));
                }
                Phase::Starting if age > limits.ready_within => acts.push(Act::Kill(index)),
                // Danger: a process that stands still holds its identity and serves nobody. Harm: one that only stalls for long
                // loses what it holds.
                Phase::Up if now - p.answered > limits.silent_for => acts.push(Act::Kill(index)),
                Phase::Leaving if age > limits.leave_within => acts.push(Act::Kill(index)),
                _ => {}
            }
        }
        acts
    }
}

impl Process {
    fn enter(&mut self, phase: Phase, now: Micros) {
        (self.phase, self.since) = (phase, now);
    }
}
