//! Rule 4: cold nodes.

use std::collections::VecDeque;

use records::Micros;

use crate::day::{Attempt, Day};
use crate::report::RuleReport;

/// An attempt at a cold node: when it arrived, the earliest it was sent, its units, whether its gateway had been told of
/// the start.
type ColdUnits = (Micros, Micros, f64, bool);

/// Rule 4: a cold node is not sent more than the multiple of what it can do over the window. What may have been sent
/// before the window does not count in it, and it is a breach only where two thirds came from gateways that were told.
pub(crate) fn cold_nodes(day: &Day) -> RuleReport {
    let mut report = RuleReport::default();
    let cold = day.terms.cold;
    for (index, life) in day.lives.iter().enumerate() {
        for &(start, _) in life.starts.iter().filter(|s| s.1) {
            report.checked += 1;
            let within =
                |a: &&Attempt| a.node == index && (start..start + cold.warm_after).contains(&a.arrived);
            let mut window: VecDeque<ColdUnits> = VecDeque::new();
            let mut fell = life.falls.iter().filter(|&&t| t >= start).min().copied();
            for a in day.attempts.iter().filter(within) {
                if let Some(t) = fell.take_if(|t| *t < a.arrived) {
                    fall(t, &life.name, &window, cold.window, &mut report);
                }
                let told = day.told_of_start(&a.gateway, &life.name, start, a.sent);
                window.push_back((a.arrived, a.sent, day.units(a.nsid, a.blocks), told));
                let since = a.arrived - cold.window;
                while window.front().is_some_and(|w| w.0 <= since) {
                    window.pop_front();
                }
                let (units, told) = cold_sum(window.iter().filter(|w| w.1 > since));
                let age = (a.arrived - start) as f64 / cold.warm_after.max(1) as f64;
                let able = life.units_per_s * (cold.from + (1.0 - cold.from) * age).min(1.0);
                let bears = (cold.multiple * able * cold.window as f64 / 1e6).max(cold.units);
                if units > bears && told * 3.0 >= units * 2.0 {
                    let what =
                        format!("{} got {units} units within the window; it bears {bears:.1}", life.name);
                    report.breach(a.arrived, what);
                    window.clear();
                }
            }
            if let Some(t) = fell {
                fall(t, &life.name, &window, cold.window, &mut report);
            }
        }
    }
    report
}

/// Units, and those of gateways that were told.
fn cold_sum<'a>(window: impl Iterator<Item = &'a ColdUnits>) -> (f64, f64) {
    window.fold((0.0, 0.0), |sum, w| (sum.0 + w.2, sum.1 + if w.3 { w.2 } else { 0.0 }))
}

/// What was put off on its way counts among the units that felled a node, and not as those of one who was told.
fn fall(t: Micros, node: &str, window: &VecDeque<ColdUnits>, length: Micros, report: &mut RuleReport) {
    let (units, _) = cold_sum(window.iter());
    let (_, told) = cold_sum(window.iter().filter(|w| w.1 > w.0 - length));
    if told * 3.0 >= units * 2.0 {
        report.breach(t, format!("{node} fell over"));
    }
}
