//! Requests through a platform gateway: what one of them takes of a core, by the length of the list.

use std::time::{Duration, Instant};

use super::agent::Agent;
use super::client::{Crowd, Tally};
use super::node::Nodes;
use super::platform::{self, COPIES, Grants, Platform};
use super::{Sheet, folder, gauge, sizes};
use crate::{Ask, MeasureError, Role, Row};

const SIZES: [usize; 5] = [30, 300, 2100, 8400, 21_000];
/// How many nodes the list is to have.
const AT: f64 = 21_000.0;
/// Nodes that are there; the others are listed only.
const NODES: usize = 30;
const CLIENTS: usize = 64;
const GRANTS: Grants = Grants { sockets: 2048, memory_mb: 128 };
/// The law's bounds have opened by then.
const WARM: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(4);
/// Part of all answers that has to be served for a figure to be one of served requests.
const SERVED: f64 = 0.95;

pub(super) fn measure(ask: &Ask) -> Result<Vec<Row>, MeasureError> {
    let load = gauge::load_averages()?;
    let points = sizes(ask, &SIZES).into_iter().map(|n| point(ask, n)).collect::<Result<Vec<_>, _>>()?;
    let tallies: Vec<String> = points
        .iter()
        .map(|p| format!("{}: {:.0} and {}", p.size, p.tally.served as f64 / p.seconds, p.tally.refused))
        .collect();
    let how = format!(
        "One 'crowbay platform' process, {CLIENTS} clients on one thread of this measurement that ask again \
         upon each answer, for {} s after {} s of the same; {NODES} stand-in nodes on another thread that \
         answer at once, {COPIES} to a shard. The others of the list are addresses at which nobody listens, \
         in shards that no request names. Processor time is the run time of all threads of the gateway \
         (schedstat): requests served over the seconds of a core that it ran. Served a second of the clock, \
         and refused in all, by size: {}. Load averages of the machine before: {load}",
        WINDOW.as_secs(),
        WARM.as_secs(),
        tallies.join(", "),
    );
    let sheet = Sheet { role: Role::GatewayData, of: "nodes in the list", at: AT, how };
    let of = |cost: fn(&Point) -> f64| points.iter().map(|p| (p.size as f64, cost(p))).collect::<Vec<_>>();
    Ok(vec![
        sheet.row(
            "requests_core_rate",
            "requests that a core serves a second",
            None,
            of(|p| p.tally.served as f64 / p.run_time),
        ),
        sheet.row(
            "requests_core_time",
            "processor time of a request, us",
            None,
            of(|p| p.run_time * 1e6 / p.tally.served as f64),
        ),
    ])
}

struct Point {
    size: usize,
    tally: Tally,
    /// Of the clock.
    seconds: f64,
    /// Seconds of a core.
    run_time: f64,
}

fn point(ask: &Ask, size: usize) -> Result<Point, MeasureError> {
    let folder = folder(ask, &format!("core{size}"))?;
    let nodes = Nodes::start(NODES)?;
    let entries = platform::entries(size, nodes.addresses());
    let agent = Agent::start(entries.clone())?;
    let config = platform::config(agent.address(), GRANTS, size.div_ceil(COPIES), &entries[..NODES]);
    let gateway = Platform::start(ask, &folder, &config)?;
    let pid = gateway.pid();
    agent.called()?;
    let before = gauge::settle(pid)?;
    agent.release()?;
    gauge::settle_beyond(pid, before)?;

    let text = |number| platform::request(number, NODES / COPIES);
    let mut crowd = Crowd::connect(gateway.address(), CLIENTS)?;
    crowd.ask(WARM, text)?;
    let (begun, before) = (Instant::now(), gauge::run_time(pid)?);
    let tally = crowd.ask(WINDOW, text)?;
    let (seconds, run_time) = (begun.elapsed().as_secs_f64(), gauge::run_time(pid)? - before);
    let answers = tally.served + tally.refused;
    if (tally.served as f64) < SERVED * answers as f64 {
        let what = format!("{} of {answers} requests were refused with {size} nodes listed", tally.refused);
        return Err(MeasureError::Failed(what));
    }
    Ok(Point { size, tally, seconds, run_time: run_time.as_secs_f64() })
}
