//! What goes out for a request: how often, how long, and for whom.

use crate::check::answers::may_have_run;
use crate::check::{Breach, Play, Rule, SLACK};
use crate::plan::Effect;
use crate::records::{Attempt, MILLI, Micros, Outcome, Request};

/// An attempt may begin so long after its client left.
const AFTER_LEAVING: Micros = 100 * MILLI;
/// An attempt may tell its node so much more time than is left.
const TIMEOUT_SLACK: Micros = 150 * MILLI;
/// A node notices the end of a connection this late at most.
const NOTICED: Micros = 50 * MILLI;

pub(super) fn check(play: &Play<'_>, breaches: &mut Vec<Breach>) {
    for (id, attempts) in &play.attempts {
        let Some(request) = play.requests.get(id) else {
            let what = format!("{id}: an attempt with an id that no client sent");
            breaches.push(Breach { rule: Rule::Untrue, at: attempts[0].begun, what });
            continue;
        };
        let mut add =
            |rule, at, what: String| breaches.push(Breach { rule, at, what: format!("{id}: {what}") });
        if attempts.len() > play.plan.most_attempts {
            add(Rule::Duplicate, attempts[0].begun, format!("{} attempts", attempts.len()));
        }
        if let Some((at, what)) = repeated(play, request, attempts) {
            add(Rule::Duplicate, at, what);
        }
        for attempt in attempts {
            if let Some(what) = after_the_end(request, attempt) {
                add(Rule::AfterTheEnd, attempt.begun, what);
            }
            if let Some(what) = told_too_long(play, request, attempt) {
                add(Rule::Timeout, attempt.begun, what);
            }
        }
    }
}

fn repeated(play: &Play<'_>, request: &Request, attempts: &[&Attempt]) -> Option<(Micros, String)> {
    let first = attempts.iter().position(|attempt| may_have_run(attempt));
    let behind = first.map_or(&[][..], |first| &attempts[first + 1..]);
    let first = first.map(|first| attempts[first]);
    let effect = play.plan.classes[request.class].effect;
    for attempt in behind {
        let since = attempt.whole - first.map_or(attempt.whole, |first| first.whole);
        match effect {
            Effect::Once => {
                return Some((attempt.begun, "sent again though it may have run".to_owned()));
            }
            Effect::Keyed(window) if since > window + SLACK + play.stopped(attempt.whole) => {
                let what = format!(
                    "sent again {} ms after it may have run; {} ms are allowed",
                    since / MILLI,
                    window / MILLI
                );
                return Some((attempt.begun, what));
            }
            Effect::Keyed(_) | Effect::Safe => {}
        }
    }
    attempts.windows(2).find_map(|pair| {
        let early = pair[0].ended - pair[1].begun;
        let is_copy = early > SLACK + NOTICED + play.stopped(pair[1].begun);
        is_copy
            .then(|| (pair[1].begun, format!("a second copy {} ms before the first was over", early / MILLI)))
    })
}

fn after_the_end(request: &Request, attempt: &Attempt) -> Option<String> {
    let late = attempt.begun - request.ended;
    let allowed = match request.outcome {
        Outcome::Left => AFTER_LEAVING + SLACK,
        Outcome::Answered { .. } => SLACK,
        Outcome::Ended | Outcome::Cut | Outcome::Silent | Outcome::Unsent => return None,
    };
    (late > allowed).then(|| format!("an attempt {} ms after {:?}", late / MILLI, request.outcome))
}

fn told_too_long(play: &Play<'_>, request: &Request, attempt: &Attempt) -> Option<String> {
    let over = request.sent + request.timeout;
    let told = attempt.begun + attempt.timeout?;
    let late = told - over;
    let allowed = TIMEOUT_SLACK + SLACK + play.stopped(attempt.begun);
    (late > allowed)
        .then(|| format!("an attempt was told a time that ends {} ms after its client's", late / MILLI))
}
