//! Ids of requests whose clients have left while a node may have run them.

use std::collections::{HashSet, VecDeque};

use decisions::Micros;

/// How long an id is remembered: longer than any client waits.
const MEMORY: Micros = 10_000_000;
/// Most ids remembered; beyond it the oldest is forgotten.
const MAX_IDS: usize = 4096;

/// Remembers ids of requests that were sent to a node and withdrawn, so that a request that comes again under
/// the same id does not run a second time.
#[derive(Debug, Default)]
pub(crate) struct DepartedIds {
    ids: HashSet<String>,
    /// The ids in the order of their time.
    order: VecDeque<(Micros, String)>,
}

impl DepartedIds {
    pub(crate) fn remember(&mut self, now: Micros, id: &str) {
        if self.order.len() >= MAX_IDS {
            self.forget_oldest();
        }
        if self.ids.insert(id.to_owned()) {
            self.order.push_back((now, id.to_owned()));
        }
    }

    pub(crate) fn contains(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Forgets the ids whose time is over.
    pub(crate) fn sweep(&mut self, now: Micros) {
        while self.order.front().is_some_and(|(at, _)| now - at >= MEMORY) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.order.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ids_are_forgotten_after_their_time_and_beyond_their_number() {
        let mut departed = DepartedIds::default();
        departed.remember(0, "first");
        departed.remember(1, "second");
        departed.sweep(MEMORY);
        assert!(!departed.contains("first") && departed.contains("second"));
        (0..MAX_IDS).for_each(|n| departed.remember(2, &n.to_string()));
        assert!(!departed.contains("second") && departed.contains("0"));
        assert_eq!(departed.ids.len(), MAX_IDS);
    }
}
