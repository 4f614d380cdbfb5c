//! The appliance's loop: one thread owns intents, supervision and view; agents talk to the processes.

mod agents;
mod orders;
mod views;

use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::time::{Duration, Instant};

use emulator::NodeStatus;
use gateway::NodeLine;
use nix::sys::signal::Signal;
use records::Clock;
use settings::{LoadError, Site};
use steering::{Act, Happening, Intents, Kind, Limits, Micros, Orders, Phase, Request, Supervision, Verdict};

use crate::hub::{Asked, Hub};
use crate::journal::{Journal, JournalError};
use crate::processes::{Identity, IdentityError, Process};
use crate::view::{Event, GatewayView, SiteView};
use crate::wire::{Answer, Question, Update};
use agents::{Happens, Slot, ask_gateway, ask_node, wait};

/// How often the loop looks after everything.
const BEAT: Duration = Duration::from_millis(20);
/// How often consoles are told of the site.
const TELL: Micros = 250_000;
/// Events kept.
const EVENTS: usize = 200;

/// Where things are.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Site file.
    pub config: PathBuf,
    /// Folder of the state: journal, sockets, locks, logs.
    pub state: PathBuf,
    /// The program itself.
    pub exe: PathBuf,
}

impl Paths {
    /// The socket for consoles.
    pub fn socket(&self) -> PathBuf {
        self.state.join("appliance.sock")
    }
}

/// Why the appliance did not start.
#[derive(Debug, thiserror::Error)]
pub enum ApplianceError {
    /// The site file.
    #[error(transparent)]
    Site(#[from] LoadError),
    /// Another supervisor runs.
    #[error("the site is supervised already: {0}")]
    Identity(#[from] IdentityError),
    /// The journal.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// A file or socket.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
}

struct Appliance {
    site: Site,
    paths: Paths,
    clock: Clock,
    intents: Intents,
    journal: Journal,
    supervision: Supervision,
    processes: Vec<Process>,
    kinds: Vec<Kind>,
    /// What each process said last.
    nodes: Vec<Option<NodeStatus>>,
    gateways: Vec<Option<GatewayView>>,
    slots: Vec<Arc<Slot>>,
    /// The last orders, and their number, which rises over restarts of the supervisor too.
    ordered: Option<(Vec<NodeLine>, Orders)>,
    seq: u64,
    events: VecDeque<Event>,
    hub: Arc<Hub>,
    next_tell: Micros,
}

/// Supervises a site until it was stopped in order. `stop` is set by a signal.
///
/// # Errors
/// The site file, a supervisor that runs already, the journal, or the socket.
pub fn run(paths: Paths, stop: &AtomicBool, ready: impl FnOnce(&Paths)) -> Result<(), ApplianceError> {
    let site = Site::load(&paths.config)?;
    std::fs::create_dir_all(&paths.state).map_err(|e| ApplianceError::Io(paths.state.clone(), e))?;
    let _identity = Identity::take(&paths.state.join("supervisor.lock"))?;
    let (journal, intents) = Journal::open(&paths.state.join("intents.log"))?;
    let (sender, happens) = mpsc::channel();
    let (to_site, asked) = mpsc::channel();
    let hub = Hub::serve(&paths.socket(), site.site.name.clone(), to_site)
        .map_err(|e| ApplianceError::Io(paths.socket(), e))?;
    let forward = sender.clone();
    std::thread::spawn(move || {
        for asked in asked {
            if forward.send(Happens::Asked(asked)).is_err() {
                return;
            }
        }
    });
    let mut appliance = Appliance::new(site, paths, intents, journal, hub);
    appliance.adopt();
    appliance.agents(&sender);
    ready(&appliance.paths);
    appliance.run(&happens, stop);
    let _ = std::fs::remove_file(appliance.paths.socket()); // Made by this process.
    Ok(())
}

impl Appliance {
    fn new(site: Site, paths: Paths, intents: Intents, journal: Journal, hub: Arc<Hub>) -> Self {
        let clock = Clock::new();
        let config = paths.config.display().to_string();
        let (mut processes, mut kinds) = (Vec::new(), Vec::new());
        let mut add = |kind, word: &str, name: &str, more: &[&str]| {
            let mut args: Vec<String> = [word, "--config", &config, "--name", name].map(str::to_owned).into();
            args.extend(more.iter().map(|s| (*s).to_owned()));
            processes.push(Process::new(name, &paths.state, args));
            kinds.push(kind);
        };
        if site.appliance.run_nodes {
            for n in &site.node {
                let records = paths.state.join(format!("node-{}.jsonl", n.name)).display().to_string();
                let more: &[&str] = if site.appliance.records { &["--records", &records] } else { &[] };
                add(Kind::Node, "node", &n.name, more);
            }
        }
        for g in &site.gateway {
            let state = paths.state.join(format!("gateway-{}", g.name)).display().to_string();
            add(Kind::Gateway, "gateway", &g.name, &["--await-orders", "--state", &state]);
        }
        let named = processes.iter().zip(&kinds).map(|(p, k)| (p.name.clone(), *k));
        let supervision = Supervision::new(Limits::default(), named, clock.now());
        let count = processes.len();
        Appliance {
            site,
            paths,
            intents,
            journal,
            supervision,
            nodes: vec![None; count],
            gateways: vec![None; count],
            slots: (0..count).map(|_| Arc::default()).collect(),
            processes,
            kinds,
            ordered: None,
            seq: clock.now() as u64,
            events: VecDeque::new(),
            hub,
            next_tell: 0,
            clock,
        }
    }

    fn event(&mut self, what: String) {
        tracing::info!("{what}");
        let event = Event { t: self.clock.now(), what };
        self.hub.publish(Update::Event(event.clone()));
        self.events.push_back(event);
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }

    /// Processes that an earlier supervisor started go on under this one.
    fn adopt(&mut self) {
        for index in 0..self.processes.len() {
            if let Some(number) = self.processes[index].holder() {
                self.supervision.happened(index, Happening::Found, self.clock.now());
                let name = self.processes[index].name.clone();
                self.event(format!("{name} runs already as process {number} and is adopted"));
            }
        }
    }

    fn agents(&self, sender: &Sender<Happens>) {
        for (index, process) in self.processes.iter().enumerate() {
            let (control, kind) = (process.control.clone(), self.kinds[index]);
            let (slot, sender, name) = (self.slots[index].clone(), sender.clone(), process.name.clone());
            std::thread::spawn(move || {
                loop {
                    let told = match kind {
                        Kind::Node => ask_node(index, &control),
                        Kind::Gateway => ask_gateway(index, &name, &control, &slot),
                    };
                    if sender.send(told.unwrap_or(Happens::Mute)).is_err() {
                        return;
                    }
                    wait(&slot, kind);
                }
            });
        }
    }

    fn run(&mut self, happens: &Receiver<Happens>, stop: &AtomicBool) {
        let mut next_beat = Instant::now();
        while !self.supervision.is_over() {
            panics::test_point("supervisor");
            let left = next_beat.saturating_duration_since(Instant::now());
            match happens.recv_timeout(left) {
                Ok(happening) => self.happened(happening),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            if Instant::now() >= next_beat {
                next_beat = Instant::now() + BEAT;
                if stop.load(Ordering::Relaxed) && !self.supervision.is_stopping() {
                    self.event("told to stop: gateways answer what they took, then nodes leave".into());
                    self.supervision.stop();
                }
                self.beat();
            }
        }
        self.tell();
        self.hub.settle(Duration::from_secs(1));
    }

    fn happened(&mut self, happening: Happens) {
        let now = self.clock.now();
        match happening {
            Happens::Gateway(index, view) => {
                self.supervision.happened(index, Happening::Answered, now);
                self.hub.publish(Update::Gateway(view.clone()));
                self.gateways[index] = Some(*view);
            }
            Happens::Node(index, status) => {
                self.supervision.happened(index, Happening::Answered, now);
                self.nodes[index] = Some(status);
            }
            Happens::Mute => {}
            Happens::Asked(asked) => self.asked(asked),
        }
    }

    fn beat(&mut self) {
        let now = self.clock.now();
        for index in 0..self.processes.len() {
            let phase = self.supervision.phase(index);
            let runs = matches!(phase, Some(Phase::Starting | Phase::Up | Phase::Leaving));
            if runs && let Some(end) = self.processes[index].end() {
                self.supervision.happened(index, Happening::Ended, now);
                (self.nodes[index], self.gateways[index]) = (None, None);
                let name = self.processes[index].name.clone();
                let what = match self.supervision.phase(index) {
                    Some(Phase::GivenUp) => {
                        format!("{name} ended too often ({end}) and is given up; 'revive' starts it again")
                    }
                    Some(Phase::Down) => format!("{name} has left"),
                    _ => format!("{name} ended ({end}); it is started again"),
                };
                self.event(what);
            }
        }
        for act in self.supervision.tick(now) {
            self.act(act, now);
        }
        self.order();
        if now >= self.next_tell {
            self.next_tell = now + TELL;
            self.tell();
        }
    }

    fn act(&mut self, act: Act, now: Micros) {
        let (Act::Start(index) | Act::Leave(index) | Act::Kill(index)) = act;
        let name = self.processes[index].name.clone();
        match act {
            Act::Start(_) => match self.processes[index].start(&self.paths.exe) {
                Ok(()) => self.event(format!("{name} is started")),
                Err(e) => {
                    self.event(format!("{name} cannot be started: {e}"));
                    self.supervision.happened(index, Happening::Ended, now);
                }
            },
            Act::Leave(_) => {
                self.processes[index].signal(Signal::SIGTERM);
                self.event(format!("{name} is told to leave"));
            }
            Act::Kill(_) => {
                self.processes[index].signal(Signal::SIGKILL);
                self.event(format!("{name} does not answer in time and is killed"));
            }
        }
    }

    fn asked(&mut self, asked: Asked) {
        let Asked { console, who, number, question } = asked;
        let answer = match question {
            Question::View => Answer::View(Box::new(self.view())),
            Question::Subscribe => {
                self.hub.set_view(self.view());
                self.hub.subscribe(&console);
                Answer::Done
            }
            Question::Intent(request) => Answer::Verdict(self.intent(&request)),
            Question::Log(most) => {
                let entries = self.journal.entries();
                Answer::Log(entries[entries.len().saturating_sub(most)..].to_vec())
            }
            Question::Revive => {
                self.supervision.revive(self.clock.now());
                Answer::Done
            }
            Question::Stop => {
                self.event(format!("{who} stops the site"));
                self.supervision.stop();
                Answer::Done
            }
        };
        console.answer(number, answer);
    }

    /// Carries an intent out: stored first, then it counts, then the gateways are told, then the asker.
    fn intent(&mut self, request: &Request) -> Verdict {
        let facts = self.facts();
        let entry = match self.intents.judge(&facts, request, self.clock.now()) {
            Ok(entry) => entry,
            Err(verdict) => return verdict,
        };
        if let Err(error) = self.journal.append(&entry) {
            tracing::error!(%error, "an intent could not be stored");
            return Verdict::NotStored { why: error.to_string() };
        }
        let remark = self.intents.remark(&facts, &entry.change);
        self.intents.apply(&entry);
        self.event(format!("{} from {}: {}", entry.by, entry.from, entry.change));
        self.order();
        Verdict::Accepted { revision: entry.revision, remark }
    }

    fn tell(&mut self) {
        let view = self.view();
        let without = SiteView { gateways: Vec::new(), events: Vec::new(), ..view.clone() };
        self.hub.publish(Update::Site(Box::new(without)));
        self.hub.set_view(view);
    }
}
