//! A node that has just started gets no more than it bears, over all lives of the gateway.

use crate::check::drains::told;
use crate::check::{Breach, Play, Rule};
use crate::records::{Micros, Phase};

pub(super) fn check(play: &Play<'_>, breaches: &mut Vec<Breach>) {
    let (units, window) = play.plan.cold;
    for change in play.records.changes.iter().filter(|change| change.phase == Phase::Started) {
        let is_in_it = |whole: Micros| change.at <= whole && whole < change.at + window;
        let at_node = play.records.attempts.iter().filter(|a| a.node == change.node && is_in_it(a.whole));
        let counted = at_node.filter(|attempt| attempt.begun >= told(play, change, attempt.begun));
        let sum: f64 = counted.map(|attempt| play.units(attempt)).sum();
        if sum > bound(units) {
            let what =
                format!("node {} got {sum} units within its first window; {units} are borne", change.node);
            breaches.push(Breach { rule: Rule::Cold, at: change.at, what });
        }
    }
}

/// Beyond this it is no chance.
fn bound(units: f64) -> f64 {
    if units < 30.0 { units + 3.0 * units.sqrt() + 3.0 } else { units + 2.0 * units.sqrt() + 2.0 }
}
