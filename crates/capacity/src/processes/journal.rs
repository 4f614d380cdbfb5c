//! What the journal of work in hand costs, by the program's own measurement.

use std::process::Command;
use std::time::Duration;

use serde::Deserialize;

use super::running::Running;
use super::{Sheet, folder, gauge, sizes};
use crate::{Ask, MeasureError, Role, Row};

/// Writes in hand at a time.
const SIZES: [usize; 5] = [1, 4, 16, 64, 128];
/// One write in hand of each client connection that a gateway is to keep.
const AT: f64 = 5000.0;
const SECONDS: &str = "0.4";
const ROUNDS: &str = "3";
/// Two operations, two gateways, all rounds and sizes, and the start.
const WITHIN: Duration = Duration::from_secs(58);

/// A row of the program's table, as far as it is read here.
#[derive(Deserialize)]
struct Line {
    depth: u32,
    op: String,
    straight: Part,
    through: Part,
}

#[derive(Deserialize)]
struct Part {
    rate: f64,
    /// Microseconds.
    p50: f64,
    cpu: f64,
    unserved: u64,
}

pub(super) fn measure(ask: &Ask) -> Result<Vec<Row>, MeasureError> {
    let load = gauge::load_averages()?;
    let folder = folder(ask, "journal")?;
    let depths: Vec<String> = sizes(ask, &SIZES).iter().map(usize::to_string).collect();
    let mut command = Command::new(&ask.program);
    command.args(["bench", "journal", "--json", "--seconds", SECONDS, "--rounds", ROUNDS]);
    command.args(["--sizes", "4", "--depths", &depths.join(",")]).arg("--folder").arg(folder.join("kept"));
    let said = Running::start(&mut command, folder.join("bench.log"))?.output(WITHIN)?;
    let lines: Vec<Line> = serde_json::from_str(&said)
        .map_err(|e| MeasureError::Failed(format!("the program's table cannot be read: {e}")))?;
    let writes: Vec<&Line> = lines.iter().filter(|l| l.op == "write").collect();
    if writes.len() != depths.len() {
        return Err(MeasureError::Failed(format!(
            "{} of {} depths were measured",
            writes.len(),
            depths.len()
        )));
    }
    let told = |l: &&Line| {
        let unserved = l.straight.unserved + l.through.unserved;
        format!("{}: {:.0} and {:.0} ({unserved})", l.depth, l.straight.rate, l.through.rate)
    };
    let how = format!(
        "'crowbay bench journal': one process holds a host, two gateways, one of them with the journal, and \
         a stand-in node without work; writes of 4 KiB, so many in hand at a time, {SECONDS} s each, the \
         median of {ROUNDS} rounds in turn. The cost is the difference between the two, so that it may be \
         below 0 by noise; processor time is the whole process's, the journal's disk is this machine's. \
         Writes a second without and with it, and how many were not served, by size: {}. Load averages of \
         the machine before: {load}",
        writes.iter().map(told).collect::<Vec<_>>().join(", "),
    );
    let sheet = Sheet { role: Role::GatewayData, of: "writes in hand", at: AT, how };
    let of = |cost: fn(&Part) -> f64| {
        let point = |l: &&Line| (f64::from(l.depth), cost(&l.through) - cost(&l.straight));
        writes.iter().map(point).collect::<Vec<_>>()
    };
    Ok(vec![
        sheet.row("journal_time", "processor time that it adds to a write, us", None, of(|p| p.cpu)),
        sheet.row("journal_latency", "median latency that it adds to a write, us", None, of(|p| p.p50)),
    ])
}
