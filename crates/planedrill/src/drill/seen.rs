//! What must never be seen: cursors and stamps that go back, states that nobody wrote, changes without a word.

use plane::{Cursor, Region, Taken};

use super::Drill;

impl Drill {
    /// Something came into force at a process.
    pub(super) fn in_force(&mut self, process: usize, taken: &Taken, kept: bool) -> Result<(), String> {
        let (region, upto, whole) = match taken {
            Taken::Delta { region, upto, .. } => (*region, *upto, false),
            Taken::Whole { region, upto, .. } => (*region, *upto, true),
            _ => return Ok(()),
        };
        let Drill { processes, ledger, .. } = self;
        let at = &mut processes[process];
        let before = at.cursors.insert(region, upto).unwrap_or_default();
        at.told.insert(region);
        let name = at.name.clone();
        let line = ledger.entry(region).or_default();
        if kept
            && region == at.region
            && let Taken::Delta { changed, .. } = taken
        {
            let Some(table) = at.copy().and_then(|copy| copy.table(region)) else { return Ok(()) };
            if changed.is_empty() {
                line.opened(before, upto.epoch, table)?;
            } else {
                line.written(changed)?;
            }
        }
        let back = upto < before || upto.version < before.version && !line.is_abandoned(before);
        if back {
            return Err(format!("{name} goes back from {before} to {upto} in region {}", region.0));
        }
        let entries = match taken {
            Taken::Delta { changed, .. } => changed,
            Taken::Whole { entries, .. } => entries,
            _ => return Ok(()),
        };
        for entry in entries {
            let live = entry.value.is_some();
            let (seen, was_live) = at.seen.insert(entry.key.clone(), (entry.stamp, live)).unwrap_or_default();
            // A deletion that others have forgotten may be told again.
            if entry.stamp < seen && (live || was_live) && !line.is_abandoned(seen) {
                return Err(format!(
                    "{} of {} is back at {name}, which had it at {seen}",
                    entry.key, entry.stamp
                ));
            }
            if entry.stamp < seen && !live {
                at.seen.insert(entry.key.clone(), (seen, false));
            }
        }
        if let Taken::Whole { gone, .. } = taken {
            for entry in gone {
                // It was deleted by now; it may come again with a later version only.
                at.seen.insert(entry.key.clone(), (upto, false));
            }
        }
        self.played.wholes += u64::from(whole);
        if self.processes[process].place.as_ref().is_some_and(|place| place.region == region && !place.writer)
        {
            self.ledger.entry(region).or_default().replicated(upto);
        }
        let level = whole || matches!(taken, Taken::Delta { level: true, .. });
        if level { self.is_state(process, region, upto) } else { Ok(()) }
    }

    /// What a process holds has to be what was written up to there.
    fn is_state(&mut self, process: usize, region: Region, upto: Cursor) -> Result<(), String> {
        let at = &self.processes[process];
        let Some(copy) = at.copy().filter(|copy| copy.cursor(region) == upto) else { return Ok(()) };
        let digest = copy.table(region).map(|table| table.digest()).unwrap_or_default();
        if self.ledger.entry(region).or_default().is_state(upto, digest) {
            return Ok(());
        }
        Err(format!("{} holds at {upto} of region {} what was never written so", at.name, region.0))
    }

    /// Nothing that a process holds may change but with a word of it.
    pub(super) fn look(&mut self, process: usize) -> Result<(), String> {
        let at = &mut self.processes[process];
        let Some(copy) = at.copy() else { return Ok(()) };
        let held = |region| (region, copy.table(region).map(|table| table.digest()).unwrap_or_default());
        let all: Vec<_> = copy.regions().map(held).collect();
        for (region, digest) in all {
            let before = at.digests.insert(region, digest).unwrap_or_default();
            if before != digest && !at.told.contains(&region) {
                return Err(format!("{} changed region {} without a word", at.name, region.0));
            }
        }
        Ok(())
    }

    /// What proposers were answered has to be so.
    pub(super) fn answers(&mut self, process: usize) -> Result<(), String> {
        let region = self.processes[process].region;
        let Some(proposer) = self.processes[process].proposer() else { return Ok(()) };
        if let Some(wrong) = &proposer.wrong {
            return Err(wrong.clone());
        }
        let answers = std::mem::take(&mut proposer.answers);
        let line = self.ledger.entry(region).or_default();
        for answer in answers {
            match answer.proposed {
                Ok(stamps) if stamps.len() != answer.changes.len() => {
                    return Err(format!(
                        "{} changes answered with {} stamps",
                        answer.changes.len(),
                        stamps.len()
                    ));
                }
                Ok(stamps) => {
                    for (change, stamp) in answer.changes.iter().zip(stamps) {
                        line.answered(change, stamp)?;
                    }
                }
                Err(_) => {
                    self.played.refused += 1;
                    for change in &answer.changes {
                        line.refused(change)?;
                    }
                }
            }
        }
        Ok(())
    }
}
