//! The data of reads, and what was answered as served.

use std::collections::BTreeMap;

use records::{Micros, Op, Told};

use crate::day::Day;
use crate::report::RuleReport;

/// The data of reads: whole blocks, each written by a command that was sent to that block before.
pub(crate) fn data(day: &Day) -> RuleReport {
    let mut report = RuleReport::default();
    for c in day.commands.values().filter(|c| c.op == Op::Read && !c.answers.is_empty()) {
        let t = c.answers[0].0;
        if c.torn > 0 {
            report.breach(t, format!("{} blocks of read {:x} do not belong together", c.torn, c.token));
        }
        for (n, token) in c.found.iter().enumerate().filter(|(_, token)| **token != 0) {
            report.checked += 1;
            let lba = c.slba + n as u64;
            let wrote = day.commands.get(token).filter(|w| {
                let to = w.slba..w.slba + u64::from(w.blocks);
                w.op == Op::Write && w.nsid == c.nsid && to.contains(&lba) && w.issued <= t
            });
            if wrote.is_none() {
                report.breach(
                    t,
                    format!("read {:x} found {token:x} in block {lba}, which never wrote it", c.token),
                );
            }
        }
    }
    report
}

/// A write of a block: two moments, of its asking and its answer as served (never: the end of time), and its token.
type Written = (Micros, Micros, u64);

/// What was answered as served is there: no read finds a block as it was before a write that had been answered when the read
/// was asked for, and no cut of power took back what a client had been told of.
pub(crate) fn durable(day: &Day) -> RuleReport {
    let mut report = RuleReport::default();
    for a in &day.attempts {
        let Some(c) = day.commands.get(&a.token) else { continue };
        let Some(undone) = a.undone else { continue };
        report.checked += 1;
        // A repeat may have run since, and served it then; its first run does not count for that.
        let again = day.attempts.iter().any(|b| (b.token, b.slba) == (a.token, a.slba) && b.ran.is_some());
        if let Some((t, Told::Served)) = c.answers.first()
            && *t < undone
            && !again
        {
            report
                .breach(*t, format!("command {:x} was answered as served, and a cut took it back", a.token));
        }
    }
    if !day.one_node_a_shard() {
        return report;
    }
    let mut blocks: BTreeMap<(u32, u64), Vec<Written>> = BTreeMap::new();
    for c in day.commands.values().filter(|c| c.op == Op::Write) {
        let served = c.answers.first().filter(|x| x.1 == Told::Served).map_or(Micros::MAX, |x| x.0);
        for lba in c.slba..c.slba + u64::from(c.blocks) {
            blocks.entry((c.nsid, lba)).or_default().push((c.issued, served, c.token));
        }
    }
    // By the time of the answer, each with the latest write asked for of those that were answered by then.
    let mut latest: BTreeMap<(u32, u64), Vec<Written>> = BTreeMap::new();
    for (at, writes) in &mut blocks {
        writes.sort_by_key(|w| w.1);
        let mut last = (Micros::MIN, 0);
        let served = writes.iter().filter(|w| w.1 < Micros::MAX);
        let line = served.map(|&(issued, answered, token)| {
            last = last.max((issued, token));
            (answered, last.0, last.1)
        });
        latest.insert(*at, line.collect());
    }
    for c in day.commands.values().filter(|c| c.op == Op::Read && !c.answers.is_empty()) {
        for (n, found) in c.found.iter().enumerate() {
            let at = (c.nsid, c.slba + n as u64);
            let Some(line) = latest.get(&at) else { continue };
            let before = line.partition_point(|w| w.0 < c.issued);
            let Some(&(_, asked, token)) = before.checked_sub(1).map(|i| &line[i]) else { continue };
            report.checked += 1;
            let wrote = blocks[&at].iter().find(|w| w.2 == *found);
            let older = match wrote {
                Some((_, answered, _)) => *answered < asked,
                None => *found == 0,
            };
            if older {
                let what = format!(
                    "read {:x} found {found:x} in block {} after {token:x} had been answered as served",
                    c.token, at.1
                );
                report.breach(c.answers[0].0, what);
            }
        }
    }
    report
}
