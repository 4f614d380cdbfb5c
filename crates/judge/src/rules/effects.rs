//! Rules 2 and 3: effects, and nodes that drain.

use std::collections::BTreeMap;

use records::{DayLine, Kind, Micros, Told};

use crate::day::{Attempt, Day};
use crate::report::RuleReport;

/// Whether an attempt may have run, as far as its gateway could know.
fn may_have_run(a: &Attempt) -> bool {
    !a.answered.is_some_and(|(_, full)| full)
}

/// Attempts by command and part.
fn by_part(day: &Day) -> BTreeMap<(u64, u64), Vec<&Attempt>> {
    let mut parts: BTreeMap<(u64, u64), Vec<&Attempt>> = BTreeMap::new();
    day.attempts.iter().for_each(|a| parts.entry((a.token, a.slba)).or_default().push(a));
    parts
}

/// Rule 2: no effect twice; a repeat only as its class allows; what was refused did not run.
pub(crate) fn no_double_effect(day: &Day) -> RuleReport {
    let mut report = RuleReport::default();
    for ((token, _), attempts) in by_part(day) {
        let Some(c) = day.commands.get(&token) else { continue };
        let Some(class) = day.class(c.op, c.nsid, c.blocks).filter(|k| k.kind != Kind::Safe) else {
            continue;
        };
        report.checked += 1;
        let applied: Vec<Micros> =
            attempts.iter().filter_map(|a| a.ran.filter(|r| r.1).map(|r| r.0)).collect();
        if applied.len() > 1 {
            report.breach(applied[1], format!("command {token:x} took effect {} times", applied.len()));
        }
        for (n, later) in attempts.iter().enumerate().skip(1) {
            let Some(first) = attempts[..n].iter().find(|a| may_have_run(a)) else { continue };
            let (held, after) =
                (day.lives[first.node].shard == day.lives[later.node].shard, later.sent - first.arrived);
            let allowed = class.kind == Kind::Keyed && held && after <= class.window + day.terms.clock_slack;
            if !allowed {
                let what = format!("command {token:x} went out again {after} us after it may have run");
                report.breach(later.arrived, what);
            }
        }
        if let Some((t, told)) = c.answers.first()
            && matches!(told, Told::Refused | Told::Aborted)
            && attempts.iter().any(|a| a.ran.is_some())
        {
            report.breach(*t, format!("command {token:x} was {told:?}, and ran"));
        }
    }
    report
}

/// Rule 3: nothing new to a node after the grace since its gateway was told that it drains or is gone.
pub(crate) fn drains(day: &Day) -> RuleReport {
    let mut report = RuleReport::default();
    let allowed = day.terms.drain_grace + day.terms.clock_slack;
    let mut told: BTreeMap<(&str, &str), Vec<(Micros, bool)>> = BTreeMap::new();
    for line in &day.lines {
        if let DayLine::Listed { t, gateway, node, on, .. } = line {
            told.entry((gateway, node)).or_default().push((*t, *on));
        }
    }
    for a in &day.attempts {
        let node = day.lives[a.node].name.as_str();
        let Some(list) = told.get(&(a.gateway.as_str(), node)) else { continue };
        report.checked += 1;
        // Since when the node has been off, as of the attempt.
        let mut off = None;
        for &(t, on) in list.iter().filter(|l| l.0 <= a.arrived) {
            off = if on { None } else { off.or(Some(t)) };
        }
        if let Some(since) = off.filter(|&t| a.sent - t > allowed) {
            let what = format!("{} sent to {node} {} us after it was told", a.gateway, a.arrived - since);
            report.breach(a.arrived, what);
        }
    }
    report
}
