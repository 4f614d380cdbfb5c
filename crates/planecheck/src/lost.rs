//! What holders that have come to the end have missed.

use crate::checker::Checker;
use crate::fact::Cursor;
use crate::history::{History, Place};
use crate::holder::{Holder, Last, Part};
use crate::verdict::{BreakKind, Unreached, Verdict};

/// Looks at each holder that has come to a region's end: the last change of each key that changed behind what it began with has
/// to be in force there. Tells the others.
pub(crate) fn find(checker: &Checker, verdict: &mut Verdict) {
    let history = &checker.history;
    for end in history.ends().filter(|end| end.version > 0) {
        for (number, holder) in checker.holders.iter().enumerate() {
            let name = checker.name(number as u32);
            let part = holder.parts.get(&end.region).cloned().unwrap_or_default();
            if part.version != end.version || !is_on_line(history, end.region, &part) {
                verdict.not_reached(Unreached {
                    holder: name.to_owned(),
                    region: end.region,
                    held: (part.epoch, part.version),
                    last: (end.epoch, end.version),
                });
                continue;
            }
            for id in history.lasts_behind(end.region, part.base) {
                let write = history.write(id);
                if part.is_untold(write.at.version) || is_in_force(history, holder, &part, id) {
                    continue;
                }
                let sort = if write.hash.is_some() { "changed" } else { "was deleted" };
                let key = checker.key(write.key);
                let what =
                    format!("{key} {sort} at {}.{} and never did here", write.at.epoch, write.at.version);
                verdict.found(BreakKind::Lost, 0, name.to_owned(), what);
            }
        }
    }
}

fn is_on_line(history: &History, region: u16, part: &Part) -> bool {
    let at = Cursor { region, epoch: part.epoch, version: part.version };
    matches!(history.place(at), Some(Place::Line(_)))
}

/// Whether a key's last change is what a holder has.
fn is_in_force(history: &History, holder: &Holder, part: &Part, id: u32) -> bool {
    let write = history.write(id);
    let last = holder.keys.get(&write.key).copied();
    if write.hash.is_some() {
        return last == Some(Last::changed(id));
    }
    // A deletion that a whole state brings shows only where the key was there before.
    let told = last.map(|last| (history.write(last.id()).at.version, is_live(history, last)));
    let kept = history.back(write.before, part.untold_upto());
    let kept = kept.map(|id| history.write(id)).map(|kept| (kept.at.version, kept.hash.is_some()));
    let latest = match (told, kept) {
        (Some(told), Some(kept)) if kept.0 > told.0 => Some(kept),
        (told, kept) => told.or(kept),
    };
    latest.is_none_or(|(_, live)| !live)
}

fn is_live(history: &History, last: Last) -> bool {
    !last.is_gone() && history.write(last.id()).hash.is_some()
}
