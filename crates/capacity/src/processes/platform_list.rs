//! A platform gateway and the list of storage nodes: what it holds of it, what a change and a whole list cost.

use std::thread;
use std::time::{Duration, Instant};

use super::agent::Agent;
use super::platform::{self, COPIES, Grants, Platform};
use super::{Sheet, folder, gauge, sizes};
use crate::{Ask, MeasureError, Role, Row};

const SIZES: [usize; 5] = [30, 300, 2100, 8400, 21_000];
/// How many nodes the list is to have, and what a gateway may hold then.
const AT: f64 = 21_000.0;
const BUDGET_BYTES: f64 = 32e6;
/// What the configuration grants a gateway.
const GRANTS: Grants = Grants { sockets: 256, memory_mb: 32 };
/// Times that one node drains and comes back.
const PAIRS: usize = 20;
/// How long it is watched while nothing changes.
const WINDOW: Duration = Duration::from_secs(3);

pub(super) fn measure(ask: &Ask) -> Result<Vec<Row>, MeasureError> {
    let load = gauge::load_averages()?;
    let points = sizes(ask, &SIZES).into_iter().map(|n| point(ask, n)).collect::<Result<Vec<_>, _>>()?;
    let how = format!(
        "One 'crowbay platform' process that remembers {COPIES} nodes, granted {} descriptors and {} MB; a \
         stand-in discovery agent of this measurement brings the whole list over the watch, then, {PAIRS} \
         times, one node that drains and the same one back, each as an increment of one entry, which is how \
         the protocol carries a change. The nodes are addresses at which nobody listens, {COPIES} to a \
         shard; nobody asks for anything. Processor time is the run time of all threads (schedstat), from \
         rest to rest; of a change the median of half a pair; of a second at rest over {} s. Reading takes \
         from the agent's first byte until the process rests, seen to 2 ms. Resident (VmRSS) after the \
         changes; the peak (VmHWM) is since the start. That all changes were learnt is shown by the version \
         after which the next watch asks. Load averages of the machine before: {load}",
        GRANTS.sockets,
        GRANTS.memory_mb,
        WINDOW.as_secs(),
    );
    let sheet = Sheet { role: Role::GatewayControl, of: "nodes in the list", at: AT, how };
    let of = |cost: fn(&Point) -> f64| points.iter().map(|p| (p.size as f64, cost(p))).collect::<Vec<_>>();
    Ok(vec![
        sheet.row("platform_list_memory", "resident memory, bytes", Some(BUDGET_BYTES), of(|p| p.resident)),
        sheet.row(
            "platform_list_peak",
            "the most that was resident, bytes",
            Some(BUDGET_BYTES),
            of(|p| p.peak),
        ),
        sheet.row("platform_list_change", "processor time of one change, us", None, of(|p| p.change)),
        sheet.row("platform_list_rest", "processor time at rest, part of a core", None, of(|p| p.rest)),
        sheet.row(
            "platform_list_read_time",
            "processor time of reading a whole list, us",
            None,
            of(|p| p.read),
        ),
        sheet.row("platform_list_read_wall", "time of reading a whole list, us", None, of(|p| p.read_wall)),
        sheet.row("platform_list_bytes", "bytes of a whole list on the wire", None, of(|p| p.bytes)),
    ])
}

struct Point {
    size: usize,
    /// Bytes.
    resident: f64,
    peak: f64,
    bytes: f64,
    /// Microseconds.
    change: f64,
    read: f64,
    read_wall: f64,
    /// Part of a core.
    rest: f64,
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}

fn point(ask: &Ask, size: usize) -> Result<Point, MeasureError> {
    let folder = folder(ask, &format!("list{size}"))?;
    let entries = platform::entries(size, &[]);
    let agent = Agent::start(entries.clone())?;
    let config = platform::config(agent.address(), GRANTS, size.div_ceil(COPIES), &entries[..COPIES]);
    let gateway = Platform::start(ask, &folder, &config)?;
    let pid = gateway.pid();
    agent.called()?;

    let before = gauge::settle(pid)?;
    let told = agent.release()?;
    let read = gauge::settle_beyond(pid, before)?;

    let (begun, at_rest) = (Instant::now(), gauge::run_time(pid)?);
    thread::sleep(WINDOW);
    let (lasted, at_rest) = (begun.elapsed(), gauge::run_time(pid)? - at_rest);

    let place = size / 2;
    let mut halves = Vec::with_capacity(PAIRS);
    for _ in 0..PAIRS {
        let before = gauge::settle(pid)?;
        let mut now = before;
        for phase in ["terminating", "in_service"] {
            agent.change(place, platform::entry(place, platform::nowhere(place), phase))?;
            now = gauge::settle_beyond(pid, now)?;
        }
        halves.push((now.run_time - before.run_time) / 2);
    }
    halves.sort_unstable();
    let memory = gauge::memory(pid)?;
    if !agent.all_is_learnt()? {
        return Err(MeasureError::Failed(format!("a change in a list of {size} nodes was not learnt")));
    }
    Ok(Point {
        size,
        resident: memory.resident as f64,
        peak: memory.peak as f64,
        bytes: told.bytes as f64,
        change: micros(halves[PAIRS / 2]),
        read: micros(read.run_time - before.run_time),
        read_wall: micros(read.since.saturating_duration_since(told.begun)),
        rest: at_rest.as_secs_f64() / lasted.as_secs_f64(),
    })
}
