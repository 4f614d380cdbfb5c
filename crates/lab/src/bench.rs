//! What the way through the gateway costs: straight to one node with no work to do, against through the gateway; and what its
//! journal of work in hand costs: through a gateway without, against through one with it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use emulator::Node;
use gateway::{ControlAnswer, ControlRequest, Gateway, NodeLine};
use hdrhistogram::Histogram;
use load::{Host, HostOptions, Word, fill};
use nvme::Digests;
use records::{Op, Recorder};
use serde::Serialize;
use settings::Site;

use crate::LabError;

/// Settings of the measurement.
#[derive(Clone, Debug)]
pub struct BenchOptions {
    /// How long each point is measured.
    pub span: Duration,
    /// Queue depths.
    pub depths: Vec<u32>,
    /// Sizes, in KiB.
    pub sizes: Vec<u32>,
    /// Rounds; straight and through alternate. The median of the rates counts, and what was not served in any round.
    pub rounds: u32,
    /// Measure the journal of work in hand, kept in this folder, in place of the way itself.
    pub journal: Option<PathBuf>,
}

/// A point: one depth, size and operation, straight and through.
#[derive(Clone, Debug, Serialize)]
pub struct BenchRow {
    /// Queue depth.
    pub depth: u32,
    /// Size, in KiB.
    pub kib: u32,
    /// Operation.
    pub op: Op,
    /// Straight to the node.
    pub straight: BenchPoint,
    /// Through the gateway.
    pub through: BenchPoint,
}

/// A measurement.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct BenchPoint {
    /// Commands a second.
    pub rate: f64,
    /// Latency, in microseconds.
    pub p50: u64,
    /// Latency.
    pub p99: u64,
    /// Latency.
    pub p999: u64,
    /// CPU time of the process for each command, in microseconds.
    pub cpu: f64,
    /// Commands that were not served; of a row, in all its rounds.
    pub unserved: u64,
}

/// Measures in this process: node, gateway and host share its cores. The site has one gateway and one node without
/// work.
///
/// # Errors
/// What could not be started.
pub fn bench_path(options: &BenchOptions, tell: &mut dyn FnMut(&str)) -> Result<Vec<BenchRow>, LabError> {
    let built_in = |problems| settings::LoadError::Problems("the built-in bench".into(), problems);
    let site = Site::parse(include_str!("bench.toml")).map_err(built_in)?;
    let node = Node::start(site.node_options(0, false), Recorder::none())?;
    let lines = vec![site.node_line(0, node.address(), 0)];
    let gateway = Gateway::start(site.gateway_options(0, 1, lines.clone(), None)?)?;
    let keeps = options.journal.as_ref().map(|folder| keeping(&site, lines, folder)).transpose()?;
    let addresses = match &keeps {
        Some(keeps) => (gateway.address(), keeps.address()),
        None => (node.address(), gateway.address()),
    };
    let mut rows = Vec::new();
    for op in [Op::Read, Op::Write] {
        for &kib in &options.sizes {
            for &depth in &options.depths {
                let (mut straight, mut through) = (Vec::new(), Vec::new());
                for _ in 0..options.rounds.max(1) {
                    straight.push(point(&site, addresses.0, op, kib, depth, options.span)?);
                    through.push(point(&site, addresses.1, op, kib, depth, options.span)?);
                }
                let row = BenchRow { depth, kib, op, straight: median(straight), through: median(through) };
                tell(&row.line());
                rows.push(row);
            }
        }
    }
    gateway.stop();
    if let Some(keeps) = keeps {
        keeps.stop();
    }
    Ok(rows)
}

/// A gateway with the journal of work in hand, once all is open.
fn keeping(site: &Site, lines: Vec<NodeLine>, folder: &Path) -> Result<Gateway, LabError> {
    let mut site = site.clone();
    site.recovery = Some(settings::Recovery { ask_for_ms: 10, journal: true });
    let mut options = site.gateway_options(0, 2, lines, None)?;
    options.peer_network = site.company_options(0, folder.to_owned(), &BTreeMap::new());
    let gateway = Gateway::start(options)?;
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let phase = match gateway.ask(ControlRequest::Status)? {
            ControlAnswer::Status(status) => status.recovery.map(|r| r.phase),
            _ => None,
        };
        if phase == Some(recovery::Phase::Serving) {
            return Ok(gateway);
        }
        if Instant::now() > end {
            return Err(LabError::NotUp("the gateway with a journal".into(), format!("it is {phase:?}")));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

impl BenchRow {
    /// The head of the table.
    pub fn head() -> String {
        format!(
            "{:5} {:>5} {:>5} | {:>9} {:>6} {:>6} {:>6} {:>6} | {:>9} {:>6} {:>6} {:>6} {:>6} | {:>5} {:>6}",
            "op",
            "KiB",
            "depth",
            "straight",
            "p50",
            "p99",
            "p99.9",
            "cpu us",
            "through",
            "p50",
            "p99",
            "p99.9",
            "cpu us",
            "rate",
            "+p50"
        )
    }

    /// A line of the table.
    pub fn line(&self) -> String {
        let (s, t) = (&self.straight, &self.through);
        let op = format!("{:?}", self.op).to_lowercase();
        let unserved = s.unserved + t.unserved;
        format!(
            "{op:5} {:>5} {:>5} | {:>9.0} {:>6} {:>6} {:>6} {:>6.1} | {:>9.0} {:>6} {:>6} {:>6} {:>6.1} | {:>5.2} {:>6}{}",
            self.kib,
            self.depth,
            s.rate,
            s.p50,
            s.p99,
            s.p999,
            s.cpu,
            t.rate,
            t.p50,
            t.p99,
            t.p999,
            t.cpu,
            t.rate / s.rate.max(1.0),
            t.p50 as i64 - s.p50 as i64,
            if unserved > 0 { format!("  ({unserved} not served)") } else { String::new() }
        )
    }
}

/// The round with the median rate; commands that were not served are those of all rounds.
pub fn median(mut points: Vec<BenchPoint>) -> BenchPoint {
    points.sort_by(|a, b| a.rate.total_cmp(&b.rate));
    let unserved = points.iter().map(|p| p.unserved).sum();
    let middle = points.get(points.len() / 2).copied().unwrap_or_default();
    BenchPoint { unserved, ..middle }
}

/// Keeps `depth` commands out on the site's first volume for a span.
///
/// # Errors
/// The address cannot be connected to, or a command is not answered in 5 s.
pub fn point(
    site: &Site,
    address: SocketAddr,
    op: Op,
    kib: u32,
    depth: u32,
    span: Duration,
) -> Result<BenchPoint, LabError> {
    let (sender, answers) = mpsc::channel();
    let options = HostOptions {
        address,
        subsystem: site.site.subsystem.clone(),
        name: "nqn.2026-12.example.crowbay:bench".into(),
        id: [3; 16],
        queues: 1,
        depth,
        digests: Digests::default(),
        keep_alive: 0,
    };
    let host = Host::connect(options, &sender)?;
    let volume = &site.volume[0];
    let blocks = kib * 1024 / volume.block_size;
    let data = fill(1, volume.nsid, 0, blocks, volume.block_size);
    let mut sent = std::collections::HashMap::new();
    let mut next = 1u64;
    let mut send = |sent: &mut std::collections::HashMap<u64, Instant>| {
        let slba = (next * u64::from(blocks)) % (volume.blocks - u64::from(blocks));
        let token = next << 8 | 1;
        next += 1;
        sent.insert(token, Instant::now());
        match op {
            Op::Write => host.write(1, volume.nsid, slba, blocks, data.clone(), token),
            _ => host.read(1, volume.nsid, slba, blocks, volume.block_size, token),
        }
    };
    let mut latency: Histogram<u64> =
        Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!("fixed bounds"));
    let (start, cpu) = (Instant::now(), cpu_time());
    for _ in 0..depth {
        send(&mut sent)?;
    }
    let (mut done, mut unserved) = (0u64, 0);
    while start.elapsed() < span {
        let patience = Duration::from_secs(5);
        let answer = answers.recv_timeout(patience).map_err(|_| load::HostError::Late(patience))?;
        if let Some(at) = sent.remove(&answer.user) {
            let _ = latency.record((answer.at - at).as_micros() as u64); // Within the bounds.
        }
        done += 1;
        unserved += u64::from(!matches!(answer.word, Word::Served(_)));
        send(&mut sent)?;
    }
    let wall = start.elapsed().as_secs_f64();
    Ok(BenchPoint {
        rate: done as f64 / wall,
        p50: latency.value_at_quantile(0.5),
        p99: latency.value_at_quantile(0.99),
        p999: latency.value_at_quantile(0.999),
        cpu: (cpu_time() - cpu) / done.max(1) as f64,
        unserved,
    })
}

/// CPU time of this process so far, in microseconds.
fn cpu_time() -> f64 {
    use nix::sys::resource::{UsageWho, getrusage};
    getrusage(UsageWho::RUSAGE_SELF).map_or(0.0, |u| {
        let micros = |t: nix::sys::time::TimeVal| t.tv_sec() as f64 * 1e6 + t.tv_usec() as f64;
        micros(u.user_time()) + micros(u.system_time())
    })
}
