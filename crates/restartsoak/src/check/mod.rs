//! Holds the records of a play against the platform's rules. It shares no code with the program.

mod answers;
mod attempts;
mod cold;
mod drains;
mod limits;
mod lives;

use std::collections::HashMap;
use std::fmt;

use serde::Serialize;

use crate::plan::{LONGEST_STOP, Plan};
use crate::records::{Attempt, MILLI, Micros, Records, Request};

/// Every time limit of the rules is this much longer on sockets.
pub(crate) const SLACK: Micros = 50 * MILLI;

/// A rule of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// Each request that was taken has its one final answer in time.
    Lost,
    /// An answer is one that a node made for this request, and a refusal is true.
    Untrue,
    /// Nothing runs twice that must not.
    Duplicate,
    /// Nothing goes out for a client that left, or for a request that is over.
    AfterTheEnd,
    /// Attempts are told no more time than is left.
    Timeout,
    /// Nothing goes to a node that drains.
    Drain,
    /// A cold node is not pushed over.
    Cold,
    /// Further attempts keep to the budget.
    Budget,
    /// Limits are kept.
    Limit,
    /// A start is ready in time and serves.
    Start,
    /// An end comes before the kill, in order.
    End,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// When.
    pub at: Micros,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.what)
    }
}

/// Holds records against the rules; breaches in the order of time.
pub fn check(plan: &Plan, records: &Records) -> Vec<Breach> {
    let play = Play::new(plan, records);
    let mut breaches = Vec::new();
    answers::check(&play, &mut breaches);
    attempts::check(&play, &mut breaches);
    drains::check(&play, &mut breaches);
    cold::check(&play, &mut breaches);
    limits::check(&play, &mut breaches);
    lives::check(&play, &mut breaches);
    breaches.sort_by_key(|breach| breach.at);
    breaches
}

/// Records, with what is asked of them again and again.
pub(crate) struct Play<'a> {
    pub(crate) plan: &'a Plan,
    pub(crate) records: &'a Records,
    /// Requests by their ids.
    pub(crate) requests: HashMap<&'a str, &'a Request>,
    /// Attempts by the ids of their requests, in the order in which they began.
    pub(crate) attempts: HashMap<&'a str, Vec<&'a Attempt>>,
}

impl<'a> Play<'a> {
    fn new(plan: &'a Plan, records: &'a Records) -> Play<'a> {
        let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
        for attempt in &records.attempts {
            attempts.entry(&attempt.id).or_default().push(attempt);
        }
        attempts.values_mut().for_each(|all| all.sort_by_key(|attempt| attempt.begun));
        let requests = records.requests.iter().map(|request| (request.id.as_str(), request)).collect();
        Play { plan, records, requests, attempts }
    }

    pub(crate) fn attempts_of(&self, request: &Request) -> &[&'a Attempt] {
        self.attempts.get(request.id.as_str()).map_or(&[], Vec::as_slice)
    }

    /// What the rules bear more around a time because the process was stopped then.
    pub(crate) fn stopped(&self, at: Micros) -> Micros {
        let is_near = |stop: &crate::records::Stop| stop.from <= at && at <= stop.until + LONGEST_STOP;
        if self.records.stops.iter().any(is_near) { LONGEST_STOP } else { 0 }
    }

    /// Units of an attempt's request; those that no request is known for count as one.
    pub(crate) fn units(&self, attempt: &Attempt) -> f64 {
        self.requests.get(attempt.id.as_str()).map_or(1.0, |request| f64::from(request.units))
    }

    /// Whether the process was killed without a word between two times.
    pub(crate) fn crashed(&self, from: Micros, until: Micros) -> bool {
        let killed = self.records.lives.iter().filter(|life| life.is_crash).filter_map(|life| life.killed);
        killed.into_iter().any(|at| from - SLACK <= at && at <= until + SLACK)
    }
}
