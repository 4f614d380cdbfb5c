//! Limits of plans and the budget for further attempts, over all lives of the gateway.

use std::collections::HashSet;

use crate::check::{Breach, Play, Rule, SLACK};
use crate::records::{Attempt, MILLI, Micros, SECOND};

/// What a limit allows in so long is borne on sockets.
const LIMIT_SLACK: Micros = 150 * MILLI;

pub(super) fn check(play: &Play<'_>, breaches: &mut Vec<Breach>) {
    let mut attempts: Vec<&Attempt> = play.records.attempts.iter().collect();
    attempts.sort_by_key(|attempt| attempt.whole);
    let mut known = HashSet::new();
    let (first, further): (Vec<&Attempt>, Vec<&Attempt>) =
        attempts.into_iter().partition(|attempt| known.insert(attempt.id.as_str()));
    (0..play.plan.tariffs.len()).for_each(|tariff| limit(play, tariff, &first, breaches));
    budget(play, &further, breaches);
}

/// A request draws its units from its plan's limit when it is sent first.
fn limit(play: &Play<'_>, tariff: usize, first: &[&Attempt], breaches: &mut Vec<Breach>) {
    let limit = &play.plan.tariffs[tariff];
    if limit.rate == 0.0 {
        return;
    }
    let floor = -limit.slack - limit.rate * LIMIT_SLACK as f64 / SECOND as f64;
    let (mut level, mut since) = (limit.burst, Micros::MIN);
    for attempt in first {
        let Some(request) = play.requests.get(attempt.id.as_str()).filter(|r| r.plan == tariff) else {
            continue;
        };
        let passed = if since == Micros::MIN { 0 } else { attempt.whole - since };
        level = (level + limit.rate * passed as f64 / SECOND as f64).min(limit.burst);
        since = attempt.whole;
        level -= f64::from(request.units);
        if level < floor {
            let what = format!(
                "plan {} is {:.1} units below its limit; {:.1} are borne",
                limit.name, -level, -floor
            );
            breaches.push(Breach { rule: Rule::Limit, at: attempt.whole, what });
            level = floor;
        }
    }
}

fn budget(play: &Play<'_>, further: &[&Attempt], breaches: &mut Vec<Breach>) {
    let (window, free, share) = play.plan.budget;
    let mut taken: Vec<Micros> = play.records.requests.iter().map(|request| request.sent).collect();
    taken.sort_unstable();
    for (last, attempt) in further.iter().enumerate() {
        let (from, until) = (attempt.whole - window, attempt.whole);
        let count = further[..=last].iter().filter(|other| other.whole > from + SLACK).count();
        let requests = taken.iter().filter(|at| **at > from - SLACK && **at <= until + SLACK).count();
        let allowed = free + share * requests as f64;
        if count as f64 > allowed {
            let what = format!("{count} further attempts within a window; {allowed:.1} are allowed");
            breaches.push(Breach { rule: Rule::Budget, at: attempt.whole, what });
        }
    }
}
