//! Rule 1: answers.

use records::Micros;

use crate::day::{Command, Day};
use crate::report::RuleReport;

/// Rule 1: one final answer in time, and nothing goes out for it after that.
pub(crate) fn one_answer(day: &Day) -> RuleReport {
    let mut report = RuleReport::default();
    let slack = day.terms.clock_slack;
    for c in day.commands.values() {
        report.checked += 1;
        let patience = day.class(c.op, c.nsid, c.blocks).map_or(0, |k| k.patience);
        match &c.answers[..] {
            [] => unanswered(day, c, patience, &mut report),
            [(t, _)] if taken(day, c, *t) > patience + slack => {
                let late = taken(day, c, *t) - patience;
                report.breach(*t, format!("command {:x} was answered {late} us after its deadline", c.token));
            }
            [_] => {}
            more => {
                report.breach(more[1].0, format!("command {:x} was answered {} times", c.token, more.len()))
            }
        }
    }
    for a in &day.attempts {
        let Some(c) = day.commands.get(&a.token) else { continue };
        // A gateway that stands still, or is cut off, hears of a client's leaving only later.
        let lost = c.lost.map(|l| day.reached(c, l.0));
        let over = c.answers.first().map(|x| x.0).or(lost);
        if let Some(over) = over.filter(|&t| a.sent > t.saturating_add(slack)) {
            let after = a.sent - over;
            report.breach(
                a.arrived,
                format!("attempt {} of command {:x} came {after} us after its end", a.n, a.token),
            );
        }
    }
    report
}

/// How long a gateway had a command, at the least, whose answer came at a time.
///
/// Danger: a link that keeps a command or its answer, and a gateway that stands still, take of the patience what the gateway
/// can do nothing about. Harm: one that answers too late on such a link is not found.
fn taken(day: &Day, c: &Command, t: Micros) -> Micros {
    let on_the_way = day.pauses.on_the_way(&c.client, &c.gateway, (c.issued, t), day.terms.clock_slack);
    t - c.issued - day.stalled(&c.gateway, c.issued, t) - on_the_way
}

fn unanswered(day: &Day, c: &Command, patience: Micros, report: &mut RuleReport) {
    let until = c.issued + patience;
    let slack = day.terms.clock_slack;
    let cut = |to: Micros| day.pauses.cut_until(&c.client, &c.gateway, c.issued - slack, to + slack);
    match c.lost {
        Some((_, true)) => {}
        // Nothing came from the other side, so one of them gave the connection up, or sent on one that was given up.
        Some((t, false)) if cut(t).is_some() => {}
        // The client waited for as long as it waits, and the link had not let go in time.
        None if cut(until).is_some_and(|end| {
            let last = day.client_ends.get(&c.client).copied().unwrap_or(Micros::MAX);
            end.saturating_add(patience + slack) >= last
        }) => {}
        // The gateway closed a connection with a command out: only where it was killed or told to leave.
        Some((t, false)) if day.was_down(&c.gateway, c.issued, t) => {}
        // Nor is owed what came while it was leaving: it takes nothing new then, and this never became a request.
        Some(_)
            if day.was_leaving(&c.gateway, c.issued) && day.attempts.iter().all(|a| a.token != c.token) => {}
        Some((t, false)) => {
            let what = format!("{} closed the connection with command {:x} out", c.gateway, c.token);
            report.breach(t, what);
        }
        None if day.was_down(&c.gateway, c.issued, until) => {}
        None => report.breach(until, format!("command {:x} at {} was never answered", c.token, c.gateway)),
    }
}
