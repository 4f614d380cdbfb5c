//! What the list of nodes costs a gateway: one change of it, a whole one, and housekeeping over it.

use decisions::Micros;
use platform::{Machine, Output, ResourceLimits, SocketId};

use crate::coming::NODES;
use crate::{Ask, MeasureError, Role, Row};

use super::module::SIZES;
use super::site;
use super::timing::{median, sizes, timed};

/// Changes, whole lists and seconds that are timed at each size.
const CHANGES: usize = 51;
const WHOLES: usize = 5;
const SECONDS: usize = 9;
/// What a gateway reads of a connection at a time.
const READ: usize = 16 << 10;
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const ALIVE: &[u8] = b"1\r\n\n\r\n";

/// The platform's machine under a watch that brings lists.
struct Stage {
    machine: Machine,
    now: Micros,
    watch: SocketId,
    revision: u64,
}

impl Stage {
    /// One that remembers the whole list, and whose watch is answered.
    fn new(nodes: usize, seed: u64) -> Result<Stage, MeasureError> {
        let config = site::config(nodes, &site::whole(1, nodes), seed)?;
        let now = 1_000_000_000;
        let limits = ResourceLimits::from_machine(config.limits.descriptors, config.limits.memory_mb);
        let mut machine = Machine::new(now, &config, limits);
        let watch = machine.drain_outputs().find_map(|output| match output {
            Output::Connect(socket @ SocketId::Discovery(_), _) => Some(socket),
            _ => None,
        });
        let Some(watch) = watch else {
            return Err(MeasureError::Failed("a machine that starts opens no watch".into()));
        };
        machine.connection_established(now, watch);
        let mut stage = Stage { machine, now, watch, revision: 1 };
        stage.bytes(HEAD);
        stage.bytes(ALIVE);
        Ok(stage)
    }

    fn bytes(&mut self, bytes: &[u8]) {
        for piece in bytes.chunks(READ) {
            self.machine.received(self.now, self.watch, self.now, piece);
            self.machine.drain_outputs().for_each(drop);
        }
    }

    /// Brings a list, and tells how long taking it took, in microseconds.
    fn tell(&mut self, list: &str) -> f64 {
        let line = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
        self.now += 1_000;
        timed(|| self.bytes(line.as_bytes()))
    }

    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// That the machine follows: a node more is in its tables once its list has come.
    fn check(&mut self, nodes: usize) -> Result<(), MeasureError> {
        let more = site::list(self.next_revision(), false, &[site::member(nodes, "in_service")]);
        self.tell(&more);
        let (wanted, told) = (format!("nodes={}", nodes + 1), self.machine.summary());
        if told.split(' ').any(|word| word == wanted) && told.ends_with("malformed=0") {
            return Ok(());
        }
        Err(MeasureError::Failed(format!("the machine does not follow its lists: {told}, not {wanted}")))
    }
}

struct Run {
    change: f64,
    whole: f64,
    second: f64,
}

fn play(nodes: usize, seed: u64) -> Result<Run, MeasureError> {
    let mut stage = Stage::new(nodes, seed)?;
    let mut changes = Vec::new();
    for n in 0..CHANGES {
        let phase = if n.is_multiple_of(2) { "terminating" } else { "in_service" };
        let node = (n / 2) * 7 % nodes;
        let change = site::list(stage.next_revision(), false, &[site::member(node, phase)]);
        changes.push(stage.tell(&change));
    }
    let mut wholes = Vec::new();
    for _ in 0..WHOLES {
        let whole = site::whole(stage.next_revision(), nodes);
        wholes.push(stage.tell(&whole));
    }
    let mut seconds = Vec::new();
    for _ in 0..SECONDS {
        stage.now += 1_000_000;
        stage.bytes(ALIVE);
        let (machine, now) = (&mut stage.machine, stage.now);
        seconds.push(timed(|| {
            machine.tick(now);
            machine.drain_outputs().for_each(drop);
        }));
    }
    stage.check(nodes)?;
    Ok(Run { change: median(changes), whole: median(wholes), second: median(seconds) })
}

/// Processor time of a change, of a whole list, and of a second's housekeeping.
pub(super) fn measure(ask: &Ask) -> Result<Vec<Row>, MeasureError> {
    let (mut changes, mut wholes, mut seconds) = (Vec::new(), Vec::new(), Vec::new());
    for &nodes in sizes(&SIZES, ask.look) {
        let run = play(nodes, ask.seed)?;
        changes.push((nodes as f64, run.change));
        wholes.push((nodes as f64, run.whole));
        seconds.push((nodes as f64, run.second));
    }
    let row = |name, cost, points, what: String| Row {
        name,
        role: Role::GatewayControl,
        of: "nodes listed",
        cost,
        points,
        at: NODES as f64,
        budget: None,
        how: format!(
            "`platform::Machine` without sockets or clients, shards of 3 nodes; from the bytes of the watch on, JSON read. {what}"
        ),
    };
    let change =
        format!("One node drains or is in service again: median of {CHANGES} such lists of one line.");
    let whole = format!(
        "The whole list anew, in pieces of {} KiB as a socket brings it: median of {WHOLES}.",
        READ >> 10
    );
    let second = format!(
        "`tick` once a second, when nodes that are gone are forgotten; none is: median of {SECONDS}."
    );
    Ok(vec![
        row("list_change", "processor time of one change, us", changes, change),
        row("list_whole", "processor time of a whole list, us", wholes, whole),
        row("list_second", "processor time of a second's housekeeping, us", seconds, second),
    ])
}

/// A machine that remembers the whole list and has opened nothing.
pub(super) fn machine(config: &platform::Config) -> Machine {
    let mut machine = Machine::new(
        0,
        config,
        ResourceLimits::from_machine(config.limits.descriptors, config.limits.memory_mb),
    );
    machine.drain_outputs().for_each(drop::<Output>);
    machine
}
