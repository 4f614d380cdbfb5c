//! What the judge found.

use std::collections::BTreeMap;

use records::{Micros, Op, Told};
use serde::{Deserialize, Serialize};

use crate::day::Day;
use crate::{cap, rules, view};

/// Breaches told one by one for each rule at most.
const TOLD: usize = 20;

/// A breach.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// When, on the records' clock.
    pub t: Micros,
    /// What.
    pub what: String,
}

/// What was found of one rule.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RuleReport {
    /// Things held against it.
    pub checked: u64,
    /// Breaches.
    pub broken: u64,
    /// The first of them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
}

impl RuleReport {
    pub(crate) fn breach(&mut self, t: Micros, what: String) {
        self.broken += 1;
        if self.findings.len() < TOLD {
            self.findings.push(Finding { t, what });
        }
    }
}

/// What was found of a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Commands sent.
    pub commands: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Aborted.
    pub aborted: u64,
    /// Lost with a gateway that was killed, or by a client that left.
    pub lost: u64,
    /// Attempts that nodes saw.
    pub attempts: u64,
    /// Each rule.
    pub rules: BTreeMap<String, RuleReport>,
    /// Worth earned over worth due, of commands that were not lost with their client.
    pub worth_part: f64,
}

impl Report {
    /// Whether all rules were kept.
    pub fn kept(&self) -> bool {
        self.rules.values().all(|r| r.broken == 0)
    }
}

/// Judges a day.
pub fn judge(day: &Day) -> Report {
    let count = |told: Told| {
        let with = |c: &&crate::Command| c.answers.first().is_some_and(|a| a.1 == told);
        day.commands.values().filter(with).count() as u64
    };
    let rules = [
        ("1 one final answer", rules::one_answer(day)),
        ("2 no double effect", rules::no_double_effect(day)),
        ("3 drains", rules::drains(day)),
        ("4 cold nodes", rules::cold_nodes(day)),
        ("5 order", rules::order(day)),
        ("6 budget", rules::budget(day)),
        ("7 limits", rules::limits(day)),
        ("data", rules::data(day)),
        ("durable", rules::durable(day)),
    ];
    // Properties of the fleet are judged where the terms state them.
    let fleet = [
        ("fleet view", day.terms.view.map(|terms| view::settled(day, terms))),
        ("fleet members", day.terms.view.map(|terms| view::nobody_healthy_expelled(day, terms))),
        ("fleet changes", day.terms.view.map(|terms| view::numbers(day, terms))),
        ("fleet cap", day.terms.cap.map(|terms| cap::sends(day, terms))),
    ];
    let fleet = fleet.into_iter().filter_map(|(name, rule)| rule.map(|rule| (name, rule)));
    Report {
        commands: day.commands.len() as u64,
        served: count(Told::Served),
        refused: count(Told::Refused),
        failed: count(Told::Failed),
        aborted: count(Told::Aborted),
        lost: day.commands.values().filter(|c| c.answers.is_empty()).count() as u64,
        attempts: day.attempts.len() as u64,
        rules: rules.into_iter().chain(fleet).map(|(name, r)| (name.to_owned(), r)).collect(),
        worth_part: worth_part(day),
    }
}

fn worth_part(day: &Day) -> f64 {
    let (mut due, mut earned) = (0.0, 0.0);
    for c in day.commands.values().filter(|c| !c.lost.is_some_and(|l| l.1) && !c.abort) {
        let Some(class) = day.class(c.op, c.nsid, c.blocks) else { continue };
        let price = day.volume(c.nsid).and_then(|v| day.terms.plans.get(v.plan)).map_or(1.0, |p| p.price);
        let units = if c.op == Op::Flush { 1.0 } else { day.units(c.nsid, c.blocks) };
        let worth = class.worth * price * units / day.terms.mean_units.max(0.01);
        due += worth;
        if let Some((t, Told::Served)) = c.answers.first() {
            earned += if t - c.issued <= class.aim { worth } else { worth * class.late_worth };
        }
    }
    if due > 0.0 { earned / due } else { 1.0 }
}
