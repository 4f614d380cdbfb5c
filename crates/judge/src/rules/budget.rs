//! Rules 6 and 7: the budget for further attempts, and volumes' limits.

use std::collections::{BTreeMap, BTreeSet};

use records::Micros;

use crate::day::{Attempt, Day};
use crate::report::RuleReport;

/// What one life of a gateway took, at the earliest and the latest, and its attempts beyond a request's first.
#[derive(Default)]
struct Spent<'a> {
    issued: Vec<Micros>,
    taken_by: Vec<Micros>,
    further: Vec<&'a Attempt>,
}

/// Rule 6: attempts beyond a request's first stay within the budget of their gateway.
///
/// Danger: when a gateway took a request does not show, only that it did between the issue and the first arrival or the
/// end. One that stood still takes on its waking what came meanwhile: counted from the issue, its whole burst of
/// requests left the window too early (28 false breaches in one random day). So a request counts in every window that
/// it may have been taken in, and an attempt in those that it must have been sent in.
pub(crate) fn budget(day: &Day) -> RuleReport {
    let mut report = RuleReport::default();
    let Some(budget) = day.terms.budget else { return report };
    let slack = day.terms.clock_slack;
    let taken_by = day.taken_by();
    // Each life of a gateway counts from its start.
    let mut lives: BTreeMap<(&str, usize), Spent> = BTreeMap::new();
    for c in day.commands.values() {
        let life = lives.entry((&c.gateway, day.life(&c.gateway, c.issued))).or_default();
        let requests = day.requests(c);
        life.issued.extend(std::iter::repeat_n(c.issued, requests));
        life.taken_by.extend(std::iter::repeat_n(taken_by[&c.token], requests));
    }
    for a in day.attempts.iter().filter(|a| a.n > 0) {
        lives.entry((&a.gateway, day.life(&a.gateway, a.sent))).or_default().further.push(a);
    }
    for ((gateway, _), Spent { mut issued, mut taken_by, further }) in lives {
        issued.sort_unstable();
        taken_by.sort_unstable();
        for (n, a) in further.iter().enumerate().filter(|(_, a)| a.arrived - a.sent <= slack) {
            report.checked += 1;
            let (t, since) = (a.arrived, a.arrived - budget.window);
            let made = further[..=n].iter().filter(|x| x.sent > since + slack).count() as f64;
            let before = taken_by.partition_point(|&x| x < since - slack);
            let asked = issued.partition_point(|&x| x <= t).saturating_sub(before);
            let most = budget.free + budget.share * asked as f64;
            if made > most {
                let what =
                    format!("{gateway} made {made} further attempts in the window; {most:.1} are allowed");
                report.breach(t, what);
            }
        }
    }
    report
}

/// Rule 7: first attempts on a volume keep its limit, over all gateways.
pub(crate) fn limits(day: &Day) -> RuleReport {
    let mut report = RuleReport::default();
    for volume in &day.terms.volumes {
        let Some(plan) = day.terms.plans.get(volume.plan).filter(|p| p.limit > 0.0) else { continue };
        // What the clock may hide is granted once, not at every request.
        let floor = -plan.slack - plan.limit * day.terms.clock_slack as f64 / 1e6;
        let (mut level, mut at) = (plan.burst, None);
        let mut seen = BTreeSet::new();
        for a in day.attempts.iter().filter(|a| a.nsid == volume.nsid) {
            if !seen.insert((a.gateway.as_str(), a.token, a.slba)) {
                continue;
            }
            report.checked += 1;
            let since = at.map_or(0, |t| a.arrived - t);
            level = (level + plan.limit * since as f64 / 1e6).min(plan.burst);
            at = Some(a.arrived);
            level -= day.units(a.nsid, a.blocks);
            if level < floor && a.arrived - a.sent > day.terms.clock_slack {
                level = level.max(0.0); // Read late by a node that stood still: sent at some time before.
            }
            if level < floor {
                let what = format!("volume {} is {:.1} units under its limit's store", volume.nsid, -level);
                report.breach(a.arrived, what);
                level = 0.0;
            }
        }
    }
    report
}
