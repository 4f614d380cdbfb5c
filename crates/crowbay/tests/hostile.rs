//! Hostile load on the platform gateway as a process, beside sound clients that must be served.
//!
//! `CROWBAY_HOSTILE_SECONDS` is the length of each play (3 here), `CROWBAY_SEED` its seed.

mod stage;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use hostile::{Kind, Options, Report, Target, run};
use stage::gauge::Gauge;
use stage::{Node, Process, agent, list, request};

/// The least memory and the descriptors that the platform grants.
const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u64 = 1024;
const NODES: usize = 4;

fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

/// A gateway before sound nodes of one shard.
struct Site {
    process: Process,
}

impl Site {
    fn start() -> Site {
        let nodes: Vec<_> =
            (0..NODES).map(|n| (format!("node{n}"), Arc::new(Node::default()).start())).collect();
        let nodes: Vec<_> = nodes.iter().map(|(name, at)| (name.as_str(), *at)).collect();
        let mut known = list(1, &nodes);
        known["members"].as_array_mut().expect("members").iter_mut().for_each(|m| m["cell"] = 0.into());
        let mut config = request::site(agent(known.clone(), Arc::default()), &known, true);
        config["limits"]["memory_mb"] = MEMORY_MB.into();
        config["limits"]["sockets"] = DESCRIPTORS.into();
        Site { process: Process::start(&config) }
    }

    /// Plays hostile load; returns what became of it and the most memory the gateway held, in KB.
    fn play(&self, kind: Kind, connections: u16) -> (Report, u64) {
        let target = Target {
            read_class: request::READ.into(),
            write_class: request::KEYED.into(),
            plan: "plain".into(),
            shard: 0,
        };
        let options = Options {
            address: self.process.address,
            target,
            kind,
            connections,
            sound_clients: 12,
            seed: number_from("CROWBAY_SEED", 20_261_205),
            duration: Duration::from_secs(number_from("CROWBAY_HOSTILE_SECONDS", 3)),
        };
        let gauge = Gauge::new(self.process.child.id());
        let report = run(&options, &AtomicBool::new(false)).expect("the gateway listens");
        let (memory, descriptors) = gauge.most();
        println!("{kind:?} by {connections}: {memory} KB, {descriptors} descriptors; {report:?}");
        (report, memory)
    }
}

/// Sound clients are served beside it, within the memory that is granted.
fn is_borne(kind: Kind, connections: u16) {
    let site = Site::start();
    let (report, memory) = site.play(kind, connections);
    assert!(report.is_good(), "{kind:?} by {connections}: {:?}", report.sound);
    assert!(memory < MEMORY_MB << 10, "{kind:?} by {connections}: {memory} KB");
}

/// Guards against a process that passes its memory limit by the bodies that hundreds of clients do not end.
#[test]
fn open_bodies_stay_within_the_memory() {
    is_borne(Kind::OpenBodies, 300);
}

/// Guards against a process that passes its memory limit by the bodies that hundreds of clients send slowly.
#[test]
fn slow_bodies_stay_within_the_memory() {
    is_borne(Kind::SlowBodies, 300);
}

/// Guards against a process that passes its memory limit by heads of very many short fields.
#[test]
fn open_heads_stay_within_the_memory() {
    is_borne(Kind::OpenHeads, 300);
}

#[test]
fn open_bodies_and_heads_together_stay_within_the_memory() {
    is_borne(Kind::Mixed, 300);
}
