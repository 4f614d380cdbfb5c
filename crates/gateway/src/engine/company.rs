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
        match company.concern(&told) {
            Concern::All | Concern::Kind(WORD) => {
                self.return_with(now, |r, orders| r.told(now, told, orders))
            }
            Concern::Recovery if self.returning.is_some() => {
                self.return_with(now, |r, orders| r.told(now, told, orders));
            }
            Concern::Recovery => {
                // A peer that comes back asks; one without a word of its own passes, so that it isn't waited for.
                if let Told::Asked { conn, id, .. } = told {
                    company.answer(conn, id, None);
                }
            }
            // A later version may say more than is known here.
            Concern::Kind(_) | Concern::Nobody => {}
        }
    }
}
