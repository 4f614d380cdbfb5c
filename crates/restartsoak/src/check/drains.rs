//! Nothing new goes to a node that drains, once the gateway counts as told and the grace is over.

use crate::check::{Breach, Play, Rule, SLACK};
use crate::records::{Change, Discovery, MILLI, Micros, Phase, SECOND};

/// Discovery's news count as told at the latest so long after it fell silent.
const SILENCE: Micros = 6 * SECOND;
/// After SIGHUP what the other discovery has counts so much later.
const MOVED: Micros = 4 * SECOND;

pub(super) fn check(play: &Play<'_>, breaches: &mut Vec<Breach>) {
    let changes = &play.records.changes;
    for (n, change) in changes.iter().enumerate().filter(|(_, change)| change.phase == Phase::Terminating) {
        let next = changes[n + 1..]
            .iter()
            .find(|other| other.node == change.node)
            .map_or(Micros::MAX, |next| next.at);
        for attempt in &play.records.attempts {
            if attempt.node != change.node || attempt.begun <= change.at || attempt.begun >= next {
                continue;
            }
            let told = told(play, change, attempt.begun);
            let late = attempt.begun - told;
            if late > play.plan.drain_grace + SLACK {
                let (id, node) = (&attempt.id, change.node);
                let what = format!(
                    "{id}: an attempt at node {node} {} ms after it was told that it drains",
                    late / MILLI
                );
                breaches.push(Breach { rule: Rule::Drain, at: attempt.begun, what });
            }
        }
    }
}

/// From when on a change counts as told to the life that an attempt belongs to.
pub(super) fn told(play: &Play<'_>, change: &Change, attempt: Micros) -> Micros {
    let begun =
        play.records.lives.iter().map(|life| life.started).filter(|started| *started <= attempt).max();
    let mut at = change.at.max(begun.unwrap_or(change.at));
    // One may follow from another, in any order.
    for _ in 0..play.records.discovery.len() {
        for trouble in &play.records.discovery {
            at = match *trouble {
                Discovery::Down { from, until } if from <= at && at < until => until,
                Discovery::WatchesSilenced { at: silenced } if silenced <= at && at < silenced + SILENCE => {
                    silenced + SILENCE
                }
                Discovery::Moved { at: moved } if moved <= at && at < moved + MOVED => moved + MOVED,
                _ => at,
            };
        }
    }
    let slow = play.records.discovery.iter().filter_map(|trouble| match *trouble {
        // A line may wait behind another.
        Discovery::Slow { from, until, by } if from <= at && at < until + by => Some(2 * by),
        _ => None,
    });
    at + slow.max().unwrap_or(0)
}
