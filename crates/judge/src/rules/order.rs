//! Rule 5: order.

use std::collections::BTreeMap;

use records::{Micros, Told};

use crate::day::{Attempt, Command, Day};
use crate::report::RuleReport;

/// Rule 5: commands of an ordered class on one block run one at a time, in the order taken, with a rest after one
/// that may still run.
pub(crate) fn order(day: &Day) -> RuleReport {
    let mut report = RuleReport::default();
    let mut keys: BTreeMap<(&str, u32, u64), Vec<&Attempt>> = BTreeMap::new();
    for a in &day.attempts {
        let Some(c) = day.commands.get(&a.token) else { continue };
        if day.class(c.op, c.nsid, c.blocks).is_some_and(|k| k.in_order) {
            keys.entry((&a.gateway, a.nsid, a.slba)).or_default().push(a);
        }
    }
    for ((gateway, nsid, slba), attempts) in keys {
        let mut turns: Vec<(u64, Vec<&Attempt>)> = Vec::new();
        for a in attempts {
            match turns.iter_mut().find(|t| t.0 == a.token) {
                Some(turn) => turn.1.push(a),
                None => turns.push((a.token, vec![a])),
            }
        }
        for pair in turns.windows(2) {
            let ((first, before), (second, after)) = (&pair[0], &pair[1]);
            report.checked += 1;
            let (a, b) = (&day.commands[first], &day.commands[second]);
            let began = after[0].arrived;
            // What its node read late may have been sent before.
            if a.connection == b.connection && a.issued > b.issued && after[0].sent > before[0].arrived {
                let what = format!("{gateway}: {first:x} went before {second:x}, which was taken first");
                report.breach(began, what);
            }
            // Nor does one of several that came late say when the other went out.
            if before.last().is_some_and(|x| x.sent > began) {
                report.breach(
                    began,
                    format!("{gateway}: {second:x} and {first:x} went at one time on {nsid}/{slba}"),
                );
            }
            // Two that were kept on their way come in any order once it lets go.
            let put_off = began - after[0].sent > day.terms.clock_slack;
            if put_off && before[0].arrived - before[0].sent > day.terms.clock_slack {
                continue;
            }
            if let Some(what) = overlap(day, a, b, before, began) {
                report.breach(began, format!("{gateway}, {nsid}/{slba}: {what}"));
            }
        }
    }
    report
}

/// Whether an ordered command went out while the one before it was unfinished or might still run. What a gateway
/// knew of a lost attempt's end does not show in the records, so its earliest moment counts. A command of several parts
/// is finished on a block once its part is.
fn overlap(day: &Day, a: &Command, b: &Command, before: &[&Attempt], began: Micros) -> Option<String> {
    let (slack, rest) = (day.terms.clock_slack, day.terms.order_rest);
    let (first, second) = (a.token, b.token);
    let (over, told) = match (a.answers.first(), a.lost) {
        (Some(&(t, told)), _) => (day.given(a, t), told),
        (None, Some((t, false))) => (day.given(a, t), Told::Failed),
        _ => return None,
    };
    let last = before.last()?;
    match last.answered {
        Some((t, _)) if t <= began => {}
        // One of several attempts may have been served, and the last of them came late.
        Some(_) if told == Told::Served && last.arrived - last.sent <= slack => {
            return Some(format!("{second:x} came before {first:x} was answered"));
        }
        // A gateway may stand still between the two writes.
        _ if began + slack < over - day.stalled(&a.gateway, began, over) => {
            return Some(format!("{second:x} went out before {first:x} had its final answer"));
        }
        _ => {}
    }
    let patience = day.class(a.op, a.nsid, a.blocks).map_or(0, |k| k.patience);
    // A gateway that stood still took it when it went on, and may have ended it before its patience was over.
    // Nor does it show how long a link kept the command from it.
    let taken = day.reached(a, a.issued).max(a.issued);
    let timed_out = over - taken - day.stalled(&a.gateway, taken, over) >= patience - slack;
    let lost = before.iter().filter(|x| x.answered.is_none_or(|(t, _)| t > began));
    let ends = lost.map(|x| if timed_out { over } else { x.sent }).max();
    let early = ends.is_some_and(|t| began + slack < t + rest);
    early.then(|| format!("{second:x} went out while {first:x} might still run"))
}
