//! Gateways of one site that hold a view of each other and serve nobody.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gateway::{ControlAnswer, ControlRequest, FleetStatus, Status};

use super::running::Running;
use super::{LONG, Sheet, folder, gauge, io_error, sizes, until};
use crate::{Ask, MeasureError, Role, Row};

const SIZES: [usize; 5] = [5, 10, 20, 40, 80];
/// How many gateways a site is to have, and what each of them may cost at rest.
const AT: f64 = 3600.0;
const BUDGET_CORE: f64 = 0.018;
const BUDGET_BYTES: f64 = 32e6;
/// How long the processors are watched: ten of the fleet's periods, and one exchange of views on average.
const WINDOW: Duration = Duration::from_secs(10);
/// All are up within this; gossip that finds its peers takes some tens of periods at most.
const UP: Duration = Duration::from_secs(120);
/// No view has changed for so long when the window begins: three periods.
const CALM: i64 = 3_000_000;

pub(super) fn measure(ask: &Ask) -> Result<Vec<Row>, MeasureError> {
    let load = gauge::load_averages()?;
    let points = sizes(ask, &SIZES).into_iter().map(|n| point(ask, n)).collect::<Result<Vec<_>, _>>()?;
    let noise: Vec<String> = points.iter().map(|p| format!("{}: {}", p.size, p.standings)).collect();
    let how = format!(
        "'crowbay gateway' processes of one site with [fleet] in its defaults (a period of 1 s), each with \
         its control socket and its state on the disk; all of them share this machine's cores and loopback, \
         where each would have a machine and a network. No nodes, no clients, nobody asks for status \
         meanwhile. Once each holds all for up and no view has changed for 3 s, over {} s: utime and stime \
         of all, the mean of a gateway; notes' bytes by the gateways' own count, the mean; threads, \
         descriptors and VmRSS at the end, the largest of all. Changes of a member's standing meanwhile, \
         over all gateways, by size: {}. Load averages of the machine before: {load}",
        WINDOW.as_secs(),
        noise.join(", "),
    );
    let sheet = Sheet { role: Role::GatewayControl, of: "gateways of the site", at: AT, how };
    let of = |cost: fn(&Point) -> f64| points.iter().map(|p| (p.size as f64, cost(p))).collect::<Vec<_>>();
    Ok(vec![
        sheet.row(
            "fleet_rest_time",
            "processor time of a gateway at rest, part of a core",
            Some(BUDGET_CORE),
            of(|p| p.core),
        ),
        sheet.row(
            "fleet_rest_memory",
            "resident memory of a gateway, bytes",
            Some(BUDGET_BYTES),
            of(|p| p.resident),
        ),
        sheet.row("fleet_rest_threads", "threads of a gateway", None, of(|p| p.threads)),
        sheet.row("fleet_rest_descriptors", "open descriptors of a gateway", None, of(|p| p.descriptors)),
        sheet.row(
            "fleet_rest_bytes",
            "bytes of notes that a gateway sends, a second",
            None,
            of(|p| p.bytes_per_second),
        ),
    ])
}

struct Point {
    size: usize,
    /// Part of a core, of each.
    core: f64,
    resident: f64,
    threads: f64,
    descriptors: f64,
    bytes_per_second: f64,
    /// Changes of standing during the window, over all.
    standings: u64,
}

/// A gateway process of the site.
struct Member {
    running: Running,
    control: PathBuf,
    name: String,
}

impl Member {
    fn start(ask: &Ask, folder: &Path, name: String) -> Result<Member, MeasureError> {
        let control = folder.join(&name);
        let mut command = Command::new(&ask.program);
        command.args(["gateway", "--with-parent", "--name", &name]);
        command.arg("--config").arg(folder.join("site.toml"));
        command.arg("--state").arg(folder.join(format!("{name}.state")));
        command.arg("--control").arg(&control);
        let running = Running::start(&mut command, folder.join(format!("{name}.log")))?;
        Ok(Member { running, control, name })
    }

    fn status(&self) -> Result<Status, MeasureError> {
        match control::call(&self.control, &ControlRequest::Status, LONG) {
            Ok(ControlAnswer::Status(status)) => Ok(*status),
            Ok(other) => Err(MeasureError::Failed(format!("{} answers a status with {other:?}", self.name))),
            Err(error) => Err(MeasureError::Failed(error.to_string())),
        }
    }
}

fn view<'a>(member: &Member, status: &'a Status) -> Result<&'a FleetStatus, MeasureError> {
    let none = || MeasureError::Failed(format!("{} holds no view of its fleet", member.name));
    status.fleet.as_ref().ok_or_else(none)
}

fn holds_all(view: &FleetStatus, size: usize) -> bool {
    view.members.iter().filter(|m| m.standing == "up").count() == size
}

/// Addresses for peers that nobody else takes meanwhile: of the loopback's many, each process and call has one of its own.
fn addresses(count: usize) -> Result<Vec<SocketAddr>, MeasureError> {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let ip = [127, high | 0x80, low, NEXT.fetch_add(1, Ordering::SeqCst)];
    let own = |_| TcpListener::bind(SocketAddr::from((ip, 0)));
    let held = (0..count).map(own).collect::<Result<Vec<_>, _>>().map_err(io_error("addresses for peers"))?;
    held.iter().map(|l| l.local_addr().map_err(io_error("addresses for peers"))).collect()
}

fn point(ask: &Ask, size: usize) -> Result<Point, MeasureError> {
    let folder = folder(ask, &format!("fleet{size}"))?;
    let names: Vec<String> = (0..size).map(|n| format!("g{n}")).collect();
    let tables = names
        .iter()
        .zip(addresses(size)?)
        .map(|(name, peer)| format!("[[gateway]]\nname = \"{name}\"\npeer = \"{peer}\"\n\n"));
    let site = include_str!("site.toml").to_owned() + &tables.collect::<String>();
    let file = folder.join("site.toml");
    std::fs::write(&file, site).map_err(io_error(&file.display().to_string()))?;
    let members =
        names.into_iter().map(|name| Member::start(ask, &folder, name)).collect::<Result<Vec<_>, _>>();
    let mut members = members?;
    for member in &mut members {
        member.running.line()?;
    }
    let end = Instant::now() + UP;
    for member in &members {
        let what = format!("{} of {size} gateways holds all for up, and its view is calm", member.name);
        until(&what, end.saturating_duration_since(Instant::now()), || {
            let status = member.status()?;
            let view = view(member, &status)?;
            let calm = holds_all(view, size) && status.now - view.at >= CALM;
            Ok(calm.then_some(()))
        })?;
    }
    let before = members.iter().map(Member::status).collect::<Result<Vec<_>, _>>()?;
    let (begun, ran) = (Instant::now(), processor_time(&members)?);
    thread::sleep(WINDOW);
    let (lasted, ran) = (begun.elapsed(), processor_time(&members)? - ran);
    let after = members.iter().map(Member::status).collect::<Result<Vec<_>, _>>()?;
    let (mut bytes_per_second, mut standings) = (0.0, 0);
    for ((member, before), after) in members.iter().zip(&before).zip(&after) {
        let (old, new) = (view(member, before)?, view(member, after)?);
        if !holds_all(new, size) {
            return Err(MeasureError::Failed(format!(
                "{} of {size} gateways lost sight of some",
                member.name
            )));
        }
        let seconds = (after.now - before.now) as f64 / 1e6;
        bytes_per_second += (new.bytes_out - old.bytes_out) as f64 / seconds / size as f64;
        standings += new.standings - old.standings;
    }
    let most = |figure: fn(u32) -> Result<u64, MeasureError>| -> Result<f64, MeasureError> {
        let figures = members.iter().map(|m| figure(m.running.pid())).collect::<Result<Vec<_>, _>>()?;
        Ok(figures.into_iter().max().unwrap_or(0) as f64)
    };
    Ok(Point {
        size,
        core: ran.as_secs_f64() / lasted.as_secs_f64() / size as f64,
        resident: most(|pid| Ok(gauge::memory(pid)?.resident))?,
        threads: most(gauge::threads)?,
        descriptors: most(gauge::descriptors)?,
        bytes_per_second,
        standings,
    })
}

/// Of all of them.
fn processor_time(members: &[Member]) -> Result<Duration, MeasureError> {
    members.iter().map(|m| gauge::processor_time(m.running.pid())).sum()
}
