//! Per-volume accounting: the limit, the reserve and recent demand.

use crate::interface::*;
use crate::requests::{Attempt, AttemptState};
use crate::sums::*;

pub(crate) struct Volume {
    /// This host's part of the plan's limit, if the plan has one.
    pub(crate) limit: Option<TokenBucket>,
    /// This host's part of the plan's reserve.
    pub(crate) reserve: TokenBucket,
    /// Use over all hosts as last metered, as a fraction of the plan's rate.
    pub(crate) metered_use: f64,
    /// Position in a low-discrepancy sequence that admits a fraction of the units to the share tier.
    pub(crate) share_sequence: f64,
    /// Units recently requested through this host.
    pub(crate) demand: DecayingSum,
    pub(crate) last_request: Micros,
    /// Units of attempts that await their connection: held in the limit for these attempts, not yet spent.
    /// They are back in the bucket, and each check of the limit subtracts them.
    pub(crate) awaiting_units: f64,
}

impl Volume {
    /// Records that an attempt awaits its connection, or begins after that wait. Its units are held in
    /// the limit for it while it waits, and charged to the limit when it begins.
    pub(crate) fn set_awaiting_connection(
        &mut self,
        now: Micros,
        attempt: &mut Attempt,
        units: f64,
        awaiting: bool,
    ) {
        if !attempt.charged || attempt.awaiting_connection == awaiting {
            return;
        }
        attempt.awaiting_connection = awaiting;
        let change = if awaiting { units } else { -units };
        self.awaiting_units = (self.awaiting_units + change).max(0.0);
        if let Some(limit) = &mut self.limit {
            limit.add(now, change);
        }
    }

    /// Releases the units of an attempt that ended without having begun; the next attempt is charged.
    pub(crate) fn release_unsent(&mut self, attempt: &mut Attempt, units: f64) {
        if attempt.charged && attempt.awaiting_connection {
            self.awaiting_units = (self.awaiting_units - units).max(0.0);
        }
        attempt.charged &= !attempt.awaiting_connection && attempt.state != AttemptState::NotSent;
    }
}
