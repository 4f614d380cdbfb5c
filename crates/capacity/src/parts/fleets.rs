//! What the view of the fleet costs each member.

use crate::coming::{CONTROL_BYTES, GATEWAYS};
use crate::{Ask, MeasureError, Role, Row};

use super::net::{Net, PERIOD, Taken};
use super::timing::{median, sizes};

const SIZES: [usize; 6] = [10, 20, 40, 80, 160, 320];
/// Runs of which the median is taken; a look takes one.
const RUNS: u64 = 3;
/// Periods at rest that are counted, and those before.
const REST: i64 = 60;
const BEFORE: i64 = 30;

struct Run {
    rest: Taken,
    merge: Taken,
    due: f64,
}

fn play(members: usize, seed: u64) -> Result<Run, MeasureError> {
    let mut net = Net::started(members, seed);
    net.settle("the start")?;
    net.run(BEFORE * PERIOD);
    let rest = net.taken(|net| {
        net.run(REST * PERIOD);
        Ok(())
    })?;
    let due = net.asked_when_due();
    net.part(true);
    net.settle("the cut")?;
    net.part(false);
    let merge = net.taken(|net| net.settle("the cut was healed"))?;
    Ok(Run { rest, merge, due })
}

/// Bytes and processor time of a member at rest and while two halves merge.
pub(super) fn measure(ask: &Ask) -> Result<Vec<Row>, MeasureError> {
    const ROWS: usize = 7;
    let mut points: [Vec<(f64, f64)>; ROWS] = Default::default();
    let seeds = if ask.look { 1 } else { RUNS };
    for &members in sizes(&SIZES, ask.look) {
        let runs: Vec<Run> = (0..seeds).map(|n| play(members, ask.seed + n)).collect::<Result<_, _>>()?;
        let of: [fn(&Run) -> f64; ROWS] = [
            |r| r.rest.bytes,
            |r| r.merge.bytes,
            |r| r.merge.worst,
            |r| r.rest.micros,
            |r| r.merge.micros,
            |r| r.due,
            |r| r.merge.seconds,
        ];
        for (points, of) in points.iter_mut().zip(of) {
            points.push((members as f64, median(runs.iter().map(of).collect())));
        }
    }
    let how = |what: &str| {
        format!(
            "Package `fleet` in virtual time, defaults of its options (period 1 s), notes 0.2 to 2 ms under way, no volumes held and \
             no node seen; median of {seeds} run(s), each with its seed. {what}"
        )
    };
    let row = |name, cost, points, budget, what: &str| Row {
        name,
        role: Role::GatewayControl,
        of: "members of the fleet",
        cost,
        points,
        at: GATEWAYS as f64,
        budget,
        how: how(what),
    };
    let rest = "Mean over 60 periods, all settled and nothing happening.";
    let merge = "Mean from the moment at which two halves that held each other for unreachable can speak again until all hold one view.";
    let worst = "The most bytes that any member sent within any second of that merging.";
    let due = "One question of `next_due`, which the engine asks after each batch of messages; median over members.";
    let [a, b, c, d, e, f, g] = points;
    let control = Some(CONTROL_BYTES);
    Ok(vec![
        row("fleet_rest", "bytes out for each member and second", a, control, rest),
        row("fleet_merge", "bytes out for each member and second", b, control, merge),
        row("fleet_merge_worst", "bytes out of one member in its worst second", c, control, worst),
        row(
            "fleet_merge_time",
            "from the moment at which halves can speak until all hold one view, s",
            g,
            None,
            merge,
        ),
        row("fleet_rest_processor", "processor time of a member in a second, us", d, None, rest),
        row("fleet_merge_processor", "processor time of a member in a second, us", e, None, merge),
        row("fleet_due_processor", "processor time of asking when it is due, us", f, None, due),
    ])
}
