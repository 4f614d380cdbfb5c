//! Clients that connect to a platform gateway at once, and then keep their connections without asking.

use std::thread;
use std::time::{Duration, Instant};

use super::agent::Agent;
use super::client::{Crowd, Tally};
use super::node::Nodes;
use super::platform::{self, COPIES, Grants, Platform};
use super::{LONG, Sheet, folder, gauge, sizes, until};
use crate::{Ask, MeasureError, Role, Row};

const SIZES: [usize; 4] = [160, 625, 2500, 5000];
/// The largest where descriptors are short.
const FEWER: usize = 2560;
/// How many connections a gateway is to keep.
const AT: f64 = 5000.0;
const NODES: usize = 30;
/// What the configuration grants at every size: a place for each client, and an eighth of the places free, below which answers end
/// their connections.
const GRANTS: Grants = Grants { sockets: 12_000, memory_mb: 640 };
/// Descriptors of this process: those of the clients, those of the nodes, and its own.
const DESCRIPTORS: u64 = GRANTS.sockets + 100;
/// How long nodes keep a connection on which nothing is asked, us: short, so that none are left once clients rest.
const NODES_KEEP: u64 = 1_000_000;
/// Descriptors that a gateway has for itself, at most.
const ITS_OWN: u64 = 48;
/// A connection that was used is kept for 5 s; the window ends well within.
const KEPT: Duration = Duration::from_millis(4500);
/// The shortest window that tells anything.
const SHORTEST: Duration = Duration::from_secs(2);

pub(super) fn measure(ask: &Ask) -> Result<Vec<Row>, MeasureError> {
    let load = gauge::load_averages()?;
    let mut all = SIZES;
    let limit = gauge::descriptor_limit()?;
    if limit < DESCRIPTORS {
        all[SIZES.len() - 1] = FEWER;
    }
    let points = sizes(ask, &all).into_iter().map(|n| point(ask, n)).collect::<Result<Vec<_>, _>>()?;
    let herds: Vec<String> =
        points.iter().map(|p| format!("{}: {} and {}", p.size, p.herd.served, p.herd.refused)).collect();
    let windows: Vec<String> = points.iter().map(|p| format!("{:.1}", p.window.as_secs_f64())).collect();
    let how = format!(
        "One 'crowbay platform' process, granted {} descriptors and {} MB, {NODES} stand-in nodes that \
         answer at once, plain clients on one thread of this measurement (it and its children may open \
         {limit} descriptors). The herd: all connect in one moment, and each asks one request of the nodes \
         as soon as it is up; the wall time ends with the last one's answer, and includes the second or \
         more after which the system repeats a connect that found the queue full; descriptors right behind \
         it, with connections to nodes. Served and refused by size: {}. Then each asks once more, only \
         whether the gateway is ready, and none again. The window begins once connections to nodes are \
         closed (they keep them for {} s) and ends while the gateway keeps a used connection, 5 s: {} s by \
         size; all are still there at its end. Processor time is the run time of all threads (schedstat). \
         VmRSS, with what the herd left of it, and descriptors are taken at the end of the window. Load \
         averages of the machine before: {load}",
        GRANTS.sockets,
        GRANTS.memory_mb,
        herds.join(", "),
        NODES_KEEP as f64 / 1e6,
        windows.join(", "),
    );
    let sheet = Sheet { role: Role::GatewayData, of: "client connections", at: AT, how };
    let of = |cost: fn(&Point) -> f64| points.iter().map(|p| (p.size as f64, cost(p))).collect::<Vec<_>>();
    Ok(vec![
        sheet.row("idle_clients_time", "processor time at rest, part of a core", None, of(|p| p.rest)),
        sheet.row("idle_clients_memory", "resident memory, bytes", None, of(|p| p.resident)),
        sheet.row("idle_clients_descriptors", "open descriptors", None, of(|p| p.descriptors)),
        sheet.row(
            "herd_clients_descriptors",
            "open descriptors behind the herd",
            None,
            of(|p| p.herd_descriptors),
        ),
        sheet.row("herd_clients_wall", "time until all have an answer, s", None, of(|p| p.herd_wall)),
        sheet.row(
            "herd_clients_time",
            "processor time until all have an answer, s",
            None,
            of(|p| p.herd_time),
        ),
    ])
}

struct Point {
    size: usize,
    /// Part of a core.
    rest: f64,
    window: Duration,
    resident: f64,
    descriptors: f64,
    herd: Tally,
    herd_descriptors: f64,
    /// Seconds.
    herd_wall: f64,
    herd_time: f64,
}

fn point(ask: &Ask, size: usize) -> Result<Point, MeasureError> {
    let folder = folder(ask, &format!("idle{size}"))?;
    let nodes = Nodes::start(NODES)?;
    let entries = platform::entries(NODES, nodes.addresses());
    let agent = Agent::start(entries.clone())?;
    let shards = NODES / COPIES;
    let mut config = platform::config(agent.address(), GRANTS, shards, &entries);
    config["settings"]["policyLimits"]["connIdleUs"] = NODES_KEEP.into();
    let gateway = Platform::start(ask, &folder, &config)?;
    let pid = gateway.pid();
    agent.called()?;
    agent.release()?;
    let text = |number| platform::request(number, shards);

    let (before, begun) = (gauge::settle(pid)?, Instant::now());
    let mut crowd = Crowd::connect(gateway.address(), size)?;
    let herd = crowd.ask(Duration::ZERO, text)?;
    let herd_time = gauge::run_time(pid)? - before.run_time;
    let herd_descriptors = gauge::descriptors(pid)?;

    let ready = |_| "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n".to_owned();
    let again = crowd.ask(Duration::ZERO, ready)?;
    until("connections to nodes have been idle for too long", LONG, || {
        Ok((gauge::descriptors(pid)? <= size as u64 + ITS_OWN).then_some(()))
    })?;
    gauge::settle(pid)?;
    let (from, at_rest) = (Instant::now(), gauge::run_time(pid)?);
    let span = (again.first + KEPT).saturating_duration_since(from);
    if span < SHORTEST {
        let what = format!("{size} clients' answers leave a window of {span:?} in which all are kept");
        return Err(MeasureError::Failed(what));
    }
    thread::sleep(span);
    let (window, at_rest) = (from.elapsed(), gauge::run_time(pid)? - at_rest);
    let (memory, descriptors) = (gauge::memory(pid)?, gauge::descriptors(pid)?);
    let open = crowd.open();
    if open < size {
        return Err(MeasureError::Failed(format!("{open} of {size} idle connections are left")));
    }
    Ok(Point {
        size,
        rest: at_rest.as_secs_f64() / window.as_secs_f64(),
        window,
        resident: memory.resident as f64,
        descriptors: descriptors as f64,
        herd,
        herd_descriptors: herd_descriptors as f64,
        herd_wall: herd.last.saturating_duration_since(begun).as_secs_f64(),
        herd_time: herd_time.as_secs_f64(),
    })
}
