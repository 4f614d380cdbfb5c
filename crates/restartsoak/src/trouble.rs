//! Troubles of one life, each at its drawn moment.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;

use crate::client::Scene;
use crate::discovery::Discovery;
use crate::error::SoakError;
use crate::gateway::Gateway;
use crate::node::Node;
use crate::plan::{DiscoveryTrouble, LifePlan};
use crate::records::{self, Micros, Phase, Recorder, Stop, now};
use crate::split::{Cut, Severed};

/// Watches fall silent so long after a life is ready.
const WATCHED: Micros = 300 * records::MILLI;

/// Something that happens at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    Drain(usize),
    Restart(usize),
    Stop(Micros),
    Hang(usize, bool),
    Sever(usize, Option<Severed>),
    Tear(f64),
    Discovery(DiscoveryTrouble),
    DiscoveryReturns,
}

/// What is yet to come in a life, in order.
pub(crate) struct Troubles {
    acts: Vec<(Micros, Act)>,
    nodes: Vec<Arc<Node>>,
    discovery: Arc<Discovery>,
    recorder: Arc<Recorder>,
    down_since: Option<Micros>,
    slow_since: Option<(Micros, Micros)>,
}

impl Troubles {
    pub(crate) fn new(nodes: &[Arc<Node>], discovery: &Arc<Discovery>, recorder: &Arc<Recorder>) -> Troubles {
        Troubles {
            acts: Vec::new(),
            nodes: nodes.to_vec(),
            discovery: discovery.clone(),
            recorder: recorder.clone(),
            down_since: None,
            slow_since: None,
        }
    }

    /// What comes from the moment on in which a life serves until it is told to end.
    pub(crate) fn plan_service(
        &mut self,
        life: usize,
        plan: &LifePlan,
        trouble: DiscoveryTrouble,
        ends: Micros,
    ) {
        let begins = now();
        let at = |n: usize| (life + n) % self.nodes.len();
        let mut acts = Vec::new();
        acts.extend(plan.restarts.map(|after| (begins + after, Act::Restart(at(0)))));
        acts.extend(plan.drains.map(|after| (ends + after, Act::Drain(at(1)))));
        acts.extend(plan.stops.iter().map(|(after, span)| (begins + after, Act::Stop(*span))));
        if trouble != DiscoveryTrouble::None {
            let silent = trouble == DiscoveryTrouble::Silent;
            let at = begins + if silent { WATCHED } else { (ends - begins) / 2 };
            acts.push((at, Act::Discovery(trouble)));
            acts.push((ends + 2 * records::SECOND, Act::DiscoveryReturns));
        }
        if plan.hangs {
            acts.push((ends, Act::Hang(at(2), true)));
        }
        self.acts.extend(acts);
        self.acts.sort_by_key(|(at, _)| *at);
    }

    /// The cuts of a life that begins to serve now; outside them such a part of all answers is torn.
    pub(crate) fn plan_cuts(&mut self, cuts: &[Cut], torn: f64) {
        let begins = now();
        for cut in cuts {
            let (from, until) = (begins + cut.from, begins + cut.from + cut.span);
            for &(node, severed) in &cut.severed {
                self.acts.push((from, Act::Sever(node, Some(severed))));
                self.acts.push((until, Act::Sever(node, None)));
                if severed == Severed::Vanishes {
                    self.acts.push((until, Act::Restart(node)));
                }
            }
            self.acts.extend([(from, Act::Tear(cut.torn)), (until, Act::Tear(torn))]);
            self.acts.extend([(from, Act::Discovery(cut.lists)), (until, Act::DiscoveryReturns)]);
        }
        self.acts.sort_by_key(|(at, _)| *at);
    }

    /// What must not outlast a life: a hanging node goes on.
    pub(crate) fn end_life(&mut self) {
        self.nodes.iter().for_each(|node| node.hang(false));
        self.acts.retain(|(_, act)| !matches!(act, Act::Hang(..) | Act::Stop(_)));
    }

    /// Nothing is left of any trouble.
    pub(crate) fn end(&mut self) {
        self.discovery_returns();
        self.nodes.iter().for_each(|node| node.hang(false));
    }

    /// Does what is due.
    pub(crate) fn act(&mut self, gateway: &Gateway, scene: &Scene) -> Result<(), SoakError> {
        while let Some((_, act)) = self.acts.first().copied().filter(|(at, _)| *at <= now()) {
            self.acts.remove(0);
            match act {
                Act::Drain(node) => self.drain(node),
                Act::Restart(node) => self.restart(node),
                Act::Stop(span) => self.stop(gateway, scene, span)?,
                Act::Hang(node, hangs) => self.nodes[node].hang(hangs),
                Act::Sever(node, severed) => self.nodes[node].sever(severed),
                Act::Tear(part) => self.nodes.iter().for_each(|node| node.tear(part)),
                Act::Discovery(trouble) => self.trouble_discovery(trouble),
                Act::DiscoveryReturns => self.discovery_returns(),
            }
        }
        Ok(())
    }

    /// One that drains comes back cold before another drains, so that its shard is not left alone for long.
    fn drain(&self, node: usize) {
        for other in (0..self.nodes.len()).filter(|other| *other != node) {
            if self.discovery.phase(other) == Phase::Terminating {
                self.restart(other);
            }
        }
        self.discovery.change(node, Phase::Terminating);
    }

    fn restart(&self, node: usize) {
        self.nodes[node].restart();
        self.discovery.change(node, Phase::Started);
    }

    fn stop(&self, gateway: &Gateway, scene: &Scene, span: Micros) -> Result<(), SoakError> {
        let from = now();
        gateway.signal(Signal::SIGSTOP)?;
        crate::client::pause(span);
        gateway.signal(Signal::SIGCONT)?;
        let is_over = scene.is_over.load(Ordering::SeqCst);
        if !is_over {
            self.recorder.lock().stops.push(Stop { from, until: now() });
        }
        Ok(())
    }

    fn trouble_discovery(&mut self, trouble: DiscoveryTrouble) {
        let at = now();
        match trouble {
            DiscoveryTrouble::None => {}
            DiscoveryTrouble::Down => {
                self.discovery.set_down(true);
                // It may be down since the life before.
                self.down_since.get_or_insert(at);
            }
            DiscoveryTrouble::Silent => {
                self.discovery.silence_watches();
                self.write_down(records::Discovery::WatchesSilenced { at });
            }
            DiscoveryTrouble::Slow(by) => {
                self.discovery_returns();
                self.discovery.delay(by);
                self.slow_since = Some((at, by));
            }
        }
    }

    fn discovery_returns(&mut self) {
        if let Some(from) = self.down_since.take() {
            self.discovery.set_down(false);
            self.write_down(records::Discovery::Down { from, until: now() });
        }
        if let Some((from, by)) = self.slow_since.take() {
            self.discovery.delay(0);
            self.write_down(records::Discovery::Slow { from, until: now(), by });
        }
    }

    fn write_down(&self, what: records::Discovery) {
        self.recorder.lock().discovery.push(what);
    }
}
