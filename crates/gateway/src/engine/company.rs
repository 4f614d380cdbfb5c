//! What peers say, handed to whom it concerns.

use peer::Told;
use storage_core::Micros;

use super::Engine;
use crate::company::Concern;
use crate::returning::WORD;

impl Engine {
    /// A peer said or did something.
    pub(super) fn heard(&mut self, now: Micros, told: Told) {
        let Some(company) = &self.company else { return };
        let concern = company.concern(&told);
        match concern {
            Concern::Recovery if self.returning.is_none() => {
                // A peer that comes back asks; one without a word of its own passes, so that it isn't waited for.
                if let Told::Asked { conn, id, .. } = told {
                    company.answer(conn, id, None);
                }
            }
            Concern::Recovery | Concern::Kind(WORD) => {
                self.return_with(now, |r, orders| r.told(now, told, orders))
            }
            // Of another kind than are known here: a later version may say more.
            Concern::Kind(_) => self.told_together(now, &told),
            Concern::All => {
                self.told_together(now, &told);
                self.return_with(now, |r, orders| r.told(now, told, orders));
            }
            Concern::Nobody => {}
        }
    }
}
