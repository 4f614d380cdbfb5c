//! Supervision of a site's processes: when they are started, stopped, killed and given up.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Kind of a process. Nodes start before gateways and stop after them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An emulated node.
    Node,
    /// A gateway.
    Gateway,
}

/// Phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Not started yet, or stopped.
    Down,
    /// Started, not ready yet.
    Starting,
    /// Ready.
    Up,
    /// Asked to shut down.
    Leaving,
    /// Ended; restarted after a pause.
    Pausing,
    /// Ended too often; stays down until an operator revives it.
    GivenUp,
}

/// Limits of the supervision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Pause before the first restart; each further restart doubles it until the process has been up for `window`.
    pub pause: Micros,
    /// The longest pause.
    pub longest_pause: Micros,
    /// Restarts allowed within `window`; at one more the process is given up.
    pub restarts: usize,
    /// Window of `restarts`, and the uptime after which the pause is reset.
    pub window: Micros,
    /// A process that is not ready this long after its start is killed.
    pub ready_within: Micros,
    /// A ready process that does not answer for this long is killed.
    pub silent_for: Micros,
    /// A process still running this long after it was asked to shut down is killed.
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

/// An event of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happening {
    /// It was found running when the supervision started, and is adopted.
    Found,
    /// It answered a query.
    Answered,
    /// It ended, or could not be started.
    Ended,
}

/// An action for the caller. Processes are identified by their index in the list given to [`Supervision::new`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Start the process.
    Start(usize),
    /// Ask the process to shut down.
    Leave(usize),
    /// Kill the process.
    Kill(usize),
}

/// State of a process, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessView {
    /// Name of the process.
    pub name: String,
    /// Kind of the process.
    pub kind: Kind,
    /// Current phase.
    pub phase: Phase,
    /// Start of the phase.
    pub since: Micros,
    /// Number of restarts.
    pub restarts: u64,
}

#[derive(Clone, Debug)]
struct Process {
    name: String,
    kind: Kind,
    phase: Phase,
    since: Micros,
    last_answer: Micros,
    pause: Micros,
    restarts: u64,
    recent_ends: VecDeque<Micros>,
}

/// The supervision of a site's processes.
#[derive(Clone, Debug)]
pub struct Supervision {
    limits: Limits,
    processes: Vec<Process>,
    stopping: bool,
}

impl Supervision {
    /// Creates the supervision of a site whose processes are all down.
    pub fn new(limits: Limits, processes: impl IntoIterator<Item = (String, Kind)>, now: Micros) -> Self {
        let new_process = |(name, kind)| Process {
            name,
            kind,
            phase: Phase::Down,
            since: now,
            last_answer: now,
            pause: limits.pause,
            restarts: 0,
            recent_ends: VecDeque::new(),
        };
        Supervision { limits, processes: processes.into_iter().map(new_process).collect(), stopping: false }
    }

    /// Begins the ordered shutdown of the site.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Makes the processes that were given up start again.
    pub fn revive(&mut self, now: Micros) {
        for process in self.processes.iter_mut().filter(|process| process.phase == Phase::GivenUp) {
            process.recent_ends.clear();
            process.pause = self.limits.pause;
            process.set_phase(Phase::Down, now);
        }
    }

    /// Whether the site is being stopped.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether the shutdown is complete: every process is down or given up.
    pub fn is_over(&self) -> bool {
        self.stopping
            && self.processes.iter().all(|process| matches!(process.phase, Phase::Down | Phase::GivenUp))
    }

    /// Whether every process is ready.
    pub fn all_up(&self) -> bool {
        self.processes.iter().all(|process| process.phase == Phase::Up)
    }

    /// Phase of a process.
    pub fn phase(&self, index: usize) -> Option<Phase> {
        self.processes.get(index).map(|process| process.phase)
    }

    /// State of all processes, as shown to operators.
    pub fn views(&self) -> Vec<ProcessView> {
        let view = |process: &Process| ProcessView {
            name: process.name.clone(),
            kind: process.kind,
            phase: process.phase,
            since: process.since,
            restarts: process.restarts,
        };
        self.processes.iter().map(view).collect()
    }

    /// Handles an event of a process.
    pub fn happened(&mut self, index: usize, happening: Happening, now: Micros) {
        let limits = self.limits;
        let stopping = self.stopping;
        let Some(process) = self.processes.get_mut(index) else { return };
        match happening {
            Happening::Found => {
                process.last_answer = now;
                process.set_phase(Phase::Up, now);
            }
            Happening::Answered => {
                process.last_answer = now;
                if process.phase == Phase::Starting {
                    process.set_phase(Phase::Up, now);
                }
                // After a window of uptime the restart pause starts from its initial value again.
                if process.phase == Phase::Up && now - process.since > limits.window {
                    process.pause = limits.pause;
                }
            }
            Happening::Ended if stopping || process.phase == Phase::Leaving => {
                process.set_phase(Phase::Down, now)
            }
            Happening::Ended if matches!(process.phase, Phase::Starting | Phase::Up) => {
                process.recent_ends.push_back(now);
                while process.recent_ends.front().is_some_and(|&t| t < now - limits.window) {
                    process.recent_ends.pop_front();
                }
                // A process that fails at every start would overload the machine if it were restarted forever.
                if process.recent_ends.len() > limits.restarts {
                    process.set_phase(Phase::GivenUp, now);
                } else {
                    process.set_phase(Phase::Pausing, now);
                }
            }
            Happening::Ended => {}
        }
    }

    /// Returns the actions due now. Starts and stops are ordered: gateways start when every node is ready, given up or was
    /// restarted before; nodes are asked to shut down when every gateway is down.
    pub fn tick(&mut self, now: Micros) -> Vec<Act> {
        let mut acts = Vec::new();
        let nodes_settled = self
            .processes
            .iter()
            .filter(|process| process.kind == Kind::Node)
            .all(|process| matches!(process.phase, Phase::Up | Phase::GivenUp) || process.restarts > 0);
        let gateways_down = self
            .processes
            .iter()
            .filter(|process| process.kind == Kind::Gateway)
            .all(|process| matches!(process.phase, Phase::Down | Phase::GivenUp));
        let (limits, stopping) = (self.limits, self.stopping);
        for (index, process) in self.processes.iter_mut().enumerate() {
            let age = now - process.since;
            match process.phase {
                Phase::Down if !stopping && (process.kind == Kind::Node || nodes_settled) => {
                    process.set_phase(Phase::Starting, now);
                    process.last_answer = now;
                    acts.push(Act::Start(index));
                }
                Phase::Pausing if stopping => process.set_phase(Phase::Down, now),
                Phase::Pausing if age >= process.pause => {
                    process.pause = (process.pause * 2).min(limits.longest_pause);
                    process.restarts += 1;
                    process.set_phase(Phase::Starting, now);
                    process.last_answer = now;
                    acts.push(Act::Start(index));
                }
                Phase::Starting | Phase::Up
                    if stopping && (process.kind == Kind::Gateway || gateways_down) =>
                {
                    process.set_phase(Phase::Leaving, now);
                    acts.push(Act::Leave(index));
                }
                Phase::Starting if age > limits.ready_within => acts.push(Act::Kill(index)),
                // A hung process keeps its identity and serves no requests, so it is killed. The cost: a process that only
                // stalls for that long loses its in-memory state.
                Phase::Up if now - process.last_answer > limits.silent_for => acts.push(Act::Kill(index)),
                Phase::Leaving if age > limits.leave_within => acts.push(Act::Kill(index)),
                _ => {}
            }
        }
        acts
    }
}

impl Process {
    fn set_phase(&mut self, phase: Phase, now: Micros) {
        (self.phase, self.since) = (phase, now);
    }
}
