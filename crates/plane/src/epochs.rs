//! Where each epoch of a region began.

use serde::{Deserialize, Serialize};

use crate::entry::{Cursor, Epoch, Version};

/// Epochs remembered for a region; of older ones only the end of all of them is known.
const MOST: usize = 256;

/// Epochs of a region and the first version of each, oldest first. It tells whether a cursor lies on this line of history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epochs(Vec<(Epoch, Version)>);

impl Epochs {
    /// The latest epoch.
    pub fn last(&self) -> Option<Epoch> {
        self.0.last().map(|(epoch, _)| *epoch)
    }

    /// Those behind an epoch, up to another.
    pub fn between(&self, after: Epoch, upto: Epoch) -> Epochs {
        Epochs(self.0.iter().filter(|(epoch, _)| *epoch > after && *epoch <= upto).copied().collect())
    }

    /// Whether they rise in both.
    pub fn is_rising(&self) -> bool {
        self.0.windows(2).all(|w| w[0].0 < w[1].0 && w[0].1 <= w[1].1) && self.0.len() <= MOST
    }

    /// Begins another epoch; those not later than the last are known already.
    pub fn begin(&mut self, epoch: Epoch, first: Version) {
        if self.last().is_none_or(|last| epoch > last) {
            self.0.push((epoch, first));
            if self.0.len() > MOST {
                self.0.remove(0);
            }
        }
    }

    /// Takes later ones from another line.
    pub fn extend(&mut self, later: &Epochs) {
        for (epoch, first) in &later.0 {
            self.begin(*epoch, *first);
        }
    }

    /// The last version of an epoch, if a later one has begun: a cursor of that epoch beyond it is on another line.
    pub fn end_of(&self, epoch: Epoch) -> Option<Version> {
        let next = self.0.iter().find(|(later, _)| *later > epoch)?;
        Some(Version(next.1.0.saturating_sub(1)))
    }

    /// Whether a change can have been written on this line: within its epoch's versions.
    pub fn wrote(&self, stamp: Cursor) -> bool {
        let began = self.0.iter().find(|(epoch, _)| *epoch == stamp.epoch).map(|(_, first)| *first);
        let older = self.0.first().is_none_or(|(first, _)| stamp.epoch < *first);
        self.holds(stamp) && began.map_or(older, |first| stamp.version >= first)
    }

    /// Whether a cursor that is not ahead of this line lies on it.
    pub fn holds(&self, cursor: Cursor) -> bool {
        self.end_of(cursor.epoch).is_none_or(|end| cursor.version <= end)
    }
}
