//! The cap on repeats over all gateways, by what nodes saw.

use std::collections::BTreeMap;

use records::{CapTerms, Micros};

use crate::day::{Attempt, Day};
use crate::report::RuleReport;

/// What one shard, or all, got and served, by time.
#[derive(Default)]
struct Sends<'a> {
    further: Vec<&'a Attempt>,
    served: Vec<Micros>,
}

/// In any window the sends to a shard beyond the first for each command, at whatever gateway, stay under the cap; so do those
/// to all shards.
///
/// Danger: when a gateway sent what came late does not show. So an attempt that may have been put off is not where a window
/// ends, and counts in those only that it must have been sent in; what was served counts a slack more on both sides.
pub(crate) fn sends(day: &Day, terms: CapTerms) -> RuleReport {
    let mut report = RuleReport::default();
    let mut shards: BTreeMap<u32, Sends> = BTreeMap::new();
    let mut all = Sends::default();
    let mut seen: BTreeMap<(u64, u64), usize> = BTreeMap::new();
    for a in &day.attempts {
        let shard = shards.entry(day.lives[a.node].shard).or_default();
        let nth = seen.entry((a.token, a.slba)).or_default();
        *nth += 1;
        if *nth > 1 {
            shard.further.push(a);
            all.further.push(a);
        }
        // A write that a cut of power took back was served all the same.
        if let Some((t, false)) = a.answered {
            shard.served.push(t);
            all.served.push(t);
        }
    }
    for (shard, sends) in shards {
        let what = format!("shard {shard}");
        hold(day, terms, (terms.free, terms.share), sends, &what, &mut report);
    }
    hold(day, terms, (terms.fleet_free, terms.fleet_share), all, "the fleet", &mut report);
    report
}

fn hold(
    day: &Day,
    terms: CapTerms,
    (free, share): (f64, f64),
    mut sends: Sends,
    whose: &str,
    report: &mut RuleReport,
) {
    let slack = day.terms.clock_slack;
    sends.served.sort_unstable();
    let in_time = |a: &&&Attempt| a.arrived - a.sent <= slack;
    for (n, a) in sends.further.iter().enumerate().filter(|(_, a)| in_time(a)) {
        report.checked += 1;
        let (t, since) = (a.arrived, a.arrived - terms.window);
        let made = sends.further[..=n].iter().filter(|x| x.sent > since + slack).count() as f64;
        let until = sends.served.partition_point(|&x| x <= t + slack);
        let served = until - sends.served.partition_point(|&x| x < since - slack);
        let most = free + share * served as f64 + terms.slack;
        if made > most {
            let what = format!(
                "{whose} got {made} sends beyond the first in the window, and served {served}; {most:.1} are allowed"
            );
            report.breach(t, what);
        }
    }
}
