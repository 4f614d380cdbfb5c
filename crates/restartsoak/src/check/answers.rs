//! Each request that was taken has its one final answer, in time, and a true one.

use crate::check::{Breach, Play, Rule, SLACK};
use crate::plan::Effect;
use crate::records::{Attempt, Fate, MILLI, Micros, Outcome, Request};

/// An answer up to so long after its client's time only earns nothing.
const LATE: Micros = 500 * MILLI;

pub(super) fn check(play: &Play<'_>, breaches: &mut Vec<Breach>) {
    for request in &play.records.requests {
        let found = match request.outcome {
            Outcome::Answered { status, is_own } => answered(play, request, status, is_own),
            Outcome::Ended | Outcome::Cut | Outcome::Silent => unanswered(play, request),
            Outcome::Left | Outcome::Unsent => None,
        };
        breaches.extend(found);
    }
    let unasked = play.records.unasked.iter();
    breaches.extend(unasked.map(|unasked| Breach {
        rule: Rule::Untrue,
        at: unasked.at,
        what: format!("connection {}: bytes that no request asked for", unasked.connection),
    }));
}

fn answered(play: &Play<'_>, request: &Request, status: u16, is_own: bool) -> Option<Breach> {
    let attempts = play.attempts_of(request);
    let over = request.due + LATE + SLACK + play.stopped(request.ended);
    let (rule, what) = if request.ended > over {
        // A client's thread without a processor reads late; the judgement is by its time all the same.
        let at_socket = request.arrived.map_or(String::new(), |arrived| {
            format!(", and was at its socket {} ms behind its time", (arrived - request.due) / MILLI)
        });
        (Rule::Lost, format!("its answer came {} ms late{at_socket}", (request.ended - over + LATE) / MILLI))
    } else if status == 200 && !(is_own && attempts.iter().any(|a| a.fate == Fate::Served)) {
        (Rule::Untrue, "it was served with something that no node made for it".to_owned())
    } else if matches!(status, 429 | 503)
        && runs_once(play, request)
        && attempts.iter().any(|a| may_have_run(a))
    {
        (Rule::Untrue, format!("it was refused with {status} after an attempt that may have run"))
    } else {
        return None;
    };
    Some(breach(rule, request, attempts, &what))
}

/// Whether a refusal may only be given where nothing ran. All nodes throw away the repeats of keyed requests here (`group` is `all`), and the
/// rules allow a refusal of such a request at any time.
fn runs_once(play: &Play<'_>, request: &Request) -> bool {
    play.plan.classes[request.class].effect == Effect::Once
}

/// Whether an attempt that came whole may have had its effect.
pub(super) fn may_have_run(attempt: &Attempt) -> bool {
    attempt.fate != Fate::TurnedAway
}

fn unanswered(play: &Play<'_>, request: &Request) -> Option<Breach> {
    if play.crashed(request.sent, request.ended) {
        return None;
    }
    let attempts = play.attempts_of(request);
    let waited = request.ended - request.sent;
    let is_orderly = request.outcome == Outcome::Ended && attempts.is_empty();
    // The gateway may end a connection between requests; one that is written at that very moment is asked again.
    let has_crossed = waited <= SLACK + play.stopped(request.ended);
    // Where idle clients have taken all descriptors, new connections may be shut unread.
    let is_crowded_out = play.plan.crowd > 0 && request.place == 0;
    if is_orderly && (has_crossed || is_crowded_out) {
        return None;
    }
    let what = format!("no answer: {:?} after {} ms", request.outcome, waited / MILLI);
    Some(breach(Rule::Lost, request, attempts, &what))
}

fn breach(rule: Rule, request: &Request, attempts: &[&Attempt], what: &str) -> Breach {
    let (id, connection, place, seen) = (&request.id, request.connection, request.place, attempts.len());
    let what = format!("{id} (connection {connection}, place {place}, {seen} attempts): {what}");
    Breach { rule, at: request.ended, what }
}
