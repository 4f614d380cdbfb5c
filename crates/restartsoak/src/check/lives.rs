//! Starts that are ready in time and serve, and ends that come before the kill.

use crate::check::{Breach, Play, Rule};
use crate::records::{Life, MILLI, Micros, Outcome, SECOND};

/// A start is ready within this.
const READY: Micros = 10 * SECOND;
/// How a process ends that a signal met before it had begun to serve.
const BEFORE_SERVING: [&str; 2] = ["signal: 15 (SIGTERM)", "signal: 1 (SIGHUP)"];

pub(super) fn check(play: &Play<'_>, breaches: &mut Vec<Breach>) {
    for (number, life) in play.records.lives.iter().enumerate() {
        let serves = play.plan.lives.get(number).is_some_and(|plan| plan.serves.is_some());
        if serves {
            breaches.extend(start(play, number, life));
        }
        breaches.extend(end(number, life, serves));
    }
}

fn start(play: &Play<'_>, number: usize, life: &Life) -> Option<Breach> {
    let what = match life.ready {
        None => "never ready".to_owned(),
        Some(ready) if ready - life.started > READY => {
            format!("ready after {} ms", (ready - life.started) / MILLI)
        }
        Some(ready) => {
            let until = life.told.or(life.killed).unwrap_or(Micros::MAX);
            let is_served = |outcome: Outcome| matches!(outcome, Outcome::Answered { status: 200, .. });
            let requests = play.records.requests.iter();
            if requests.into_iter().any(|r| r.sent >= ready && r.sent <= until && is_served(r.outcome)) {
                return None;
            }
            "serves nobody".to_owned()
        }
    };
    Some(Breach { rule: Rule::Start, at: life.started, what: format!("life {number}: {what}") })
}

fn end(number: usize, life: &Life, serves: bool) -> Option<Breach> {
    if life.is_crash {
        return None;
    }
    let what = match (&life.ended, life.killed) {
        (None, Some(killed)) => {
            format!("still there {} ms after SIGTERM", (killed - life.told.unwrap_or(killed)) / MILLI)
        }
        (Some((_, how)), _) if how == "exit status: 0" => return None,
        (Some((_, how)), _) if !serves && BEFORE_SERVING.contains(&how.as_str()) => return None,
        (Some((_, how)), _) => format!("ended with {how}"),
        (None, None) => "has no end".to_owned(),
    };
    let at = life.killed.or(life.ended.as_ref().map(|(at, _)| *at)).unwrap_or(life.started);
    Some(Breach { rule: Rule::End, at, what: format!("life {number}: {what}") })
}
