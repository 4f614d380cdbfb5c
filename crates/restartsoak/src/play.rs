//! Plays a plan.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use nix::sys::signal::Signal;

use crate::client::{self, Scene, pause};
use crate::discovery::Discovery;
use crate::error::SoakError;
use crate::gateway::{self, Gateway};
use crate::node::Node;
use crate::plan::{LifePlan, Order, Plan};
use crate::records::{self, Life, MILLI, Micros, Recorder, Records, SECOND, now};
use crate::settings::configuration;
use crate::trouble::Troubles;

/// Nodes of each of the two shards.
const NODES_OF_A_SHARD: usize = 2;
/// Shards.
pub(crate) const SHARDS: usize = 2;
/// A start that is not ready by then never is.
const NEVER_READY: Micros = 30 * SECOND;
/// How often due acts are looked for.
const LOOK: Micros = MILLI;
/// The list of long ago that each life knows names the nodes as they were.
const EARLY_END: Micros = 20 * MILLI;

/// So long before the earliest SIGKILL it is noted what the process's threads did till then.
const WATCHED: Micros = 250 * MILLI;

/// What a play needs.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program, `crowbay`.
    pub program: PathBuf,
    /// Folder for its configuration and log.
    pub folder: PathBuf,
}

/// Plays a plan to its end.
///
/// # Errors
/// A stand-in or the process could not be started.
pub fn play(plan: &Plan, options: &Options) -> Result<Records, SoakError> {
    let plan = Arc::new(plan.clone());
    let stage = Stage::set_up(&plan, options)?;
    let clients = client::start(&plan, stage.address, &stage.scene, &stage.recorder);
    let crowd = client::start_crowd(plan.crowd, stage.address, &stage.scene);
    let mut troubles = Troubles::new(&stage.nodes, &stage.discovery, &stage.recorder);
    let played = (0..plan.lives.len()).try_for_each(|number| stage.live(number, &mut troubles));
    stage.scene.is_over.store(true, Ordering::SeqCst);
    troubles.end();
    // One that panicked has written down less than there was; its requests then stand without an end.
    clients.into_iter().chain(crowd).for_each(|thread| drop(thread.join()));
    played.map(|()| stage.recorder.snapshot())
}

struct Stage {
    plan: Arc<Plan>,
    options: Options,
    address: SocketAddr,
    agents: [SocketAddr; 2],
    nodes: Vec<Arc<Node>>,
    discovery: Arc<Discovery>,
    scene: Arc<Scene>,
    recorder: Arc<Recorder>,
}

impl Stage {
    fn set_up(plan: &Arc<Plan>, options: &Options) -> Result<Stage, SoakError> {
        let recorder = Arc::new(Recorder::default());
        let count = SHARDS * plan.split.as_ref().map_or(NODES_OF_A_SHARD, |split| split.nodes_of_a_shard);
        let node = |number: usize| {
            let seed = plan.seed.wrapping_mul(7_919).wrapping_add(number as u64);
            Node::start(number, plan, seed, &recorder)
        };
        let nodes: Vec<Arc<Node>> = (0..count).map(node).collect::<Result<_, _>>()?;
        let listed: Vec<(SocketAddr, usize)> =
            nodes.iter().enumerate().map(|(number, node)| (node.address(), number % SHARDS)).collect();
        let discovery = Discovery::new(&listed, &recorder);
        let agents = [discovery.start()?, discovery.start()?];
        let scene = Arc::new(Scene::default());
        scene.kill_after.store(plan.kill_after(), Ordering::SeqCst);
        Ok(Stage {
            plan: plan.clone(),
            options: options.clone(),
            address: loopback::address()?,
            agents,
            nodes,
            discovery,
            scene,
            recorder,
        })
    }

    /// Writes the configuration that names an agent.
    fn configure(&self, agent: usize) -> Result<(), SoakError> {
        let known = self.discovery.list();
        let configuration = configuration(&self.plan, self.address, self.agents[agent], &known);
        gateway::write_configuration(&self.options.folder, &configuration)
    }

    fn live(&self, number: usize, troubles: &mut Troubles) -> Result<(), SoakError> {
        let plan = &self.plan.lives[number];
        self.configure(0)?;
        let mut life = Life {
            started: now(),
            ready: None,
            told: None,
            ended: None,
            killed: None,
            is_crash: !plan.orders.iter().any(|(_, order)| *order == Order::Terminate),
            held: None,
        };
        let mut gateway = Gateway::start(&self.options.program, &self.options.folder, self.address)?;
        self.scene.told.store(0, Ordering::SeqCst);
        self.scene.closed.store(0, Ordering::SeqCst);
        match plan.serves {
            Some(serves) => {
                life.ready = gateway.until_ready(life.started + NEVER_READY)?;
                let ends = now() + serves;
                troubles.plan_service(number, plan, self.plan.discovery[number], ends);
                let torn = self.plan.split.as_ref().map_or(0.0, |split| split.torn);
                troubles.plan_cuts(self.plan.cuts(number), torn);
                self.pass(ends, &mut gateway, troubles)?;
            }
            None => pause(EARLY_END),
        }
        life.held = gateway.held();
        self.order(plan, &mut life, &mut gateway, troubles)?;
        self.end(&mut life, &mut gateway, troubles)?;
        troubles.end_life();
        self.recorder.lock().lives.push(life);
        Ok(())
    }

    /// Lets time pass, with the troubles that fall into it.
    fn pass(&self, until: Micros, gateway: &mut Gateway, troubles: &mut Troubles) -> Result<(), SoakError> {
        while now() < until {
            troubles.act(gateway, &self.scene)?;
            pause(LOOK);
        }
        Ok(())
    }

    /// Gives a life its orders.
    fn order(
        &self,
        plan: &LifePlan,
        life: &mut Life,
        gateway: &mut Gateway,
        troubles: &mut Troubles,
    ) -> Result<(), SoakError> {
        let mut agent = 0;
        for (after, order) in &plan.orders {
            self.pass(now() + after, gateway, troubles)?;
            if *order == Order::Terminate {
                let at = now();
                gateway.signal(Signal::SIGTERM)?;
                if life.told.is_none() {
                    life.told = Some(at);
                    self.scene.told.store(at, Ordering::SeqCst);
                    self.scene.closed.store(at + plan.comers, Ordering::SeqCst);
                }
                continue;
            }
            match order {
                Order::Move => {
                    agent = 1 - agent;
                    self.configure(agent)?;
                    self.recorder.lock().discovery.push(records::Discovery::Moved { at: now() });
                }
                Order::Garbage => gateway::write_garbage(&self.options.folder)?,
                Order::Reload | Order::Terminate => self.configure(agent)?,
            }
            gateway.signal(Signal::SIGHUP)?;
        }
        Ok(())
    }

    /// Waits up to the earliest SIGKILL, and kills what is there then.
    fn end(&self, life: &mut Life, gateway: &mut Gateway, troubles: &mut Troubles) -> Result<(), SoakError> {
        let Some(told) = life.told else {
            life.killed = Some(now());
            gateway.signal(Signal::SIGKILL)?;
            return gateway.until_ended(now() + NEVER_READY).map(drop);
        };
        let kill_at = told + self.plan.kill_after();
        let mut before = None;
        while now() < kill_at {
            if life.ended.is_none() {
                life.ended = gateway.ended()?.map(|how| (now(), how));
            }
            if before.is_none() && now() >= kill_at - WATCHED {
                before = Some(gateway.threads());
            }
            troubles.act(gateway, &self.scene)?;
            pause(LOOK);
        }
        if life.ended.is_none() {
            life.killed = Some(now());
            let threads = gateway.threads();
            gateway.signal(Signal::SIGKILL)?;
            let since = before.map_or_else(|| "no earlier look".to_owned(), |before| threads.since(&before));
            Gateway::note(&self.options.folder, &format!("still there at SIGKILL; {since}"))?;
            gateway.until_ended(now() + NEVER_READY)?;
        }
        Ok(())
    }
}
