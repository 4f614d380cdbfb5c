//! The terms by which a day's records are judged.

use records::{
    Budget, CapTerms, ClassTerms, ColdTerms, Kind, Micros, PlanTerms, Terms, ViewTerms, VolumeTerms,
};

use crate::assemble::micros;
use crate::schema::*;

/// Changes of a view, for each member, that one trouble's beginning or end may bring: it is suspected, and then gone or back.
const CHANGES: u64 = 2;

impl Site {
    /// The terms by which the day's records are judged.
    pub fn terms(&self) -> Terms {
        let r = &self.rules;
        let class = |c: &Class| ClassTerms {
            name: c.name.clone(),
            op: c.op,
            max_bytes: c.most_kib.map(|kib| u64::from(kib) * 1024),
            kind: match c.repeats {
                Repeats::Safe => Kind::Safe,
                Repeats::Keyed => Kind::Keyed,
                Repeats::Unsafe => Kind::Unsafe,
            },
            window: micros(c.window_ms.unwrap_or(0)),
            in_order: c.in_order,
            aim: micros(c.aim_ms),
            patience: micros(c.patience_ms),
            worth: c.worth,
            late_worth: c.late_worth,
        };
        let plan = |p: &Plan| PlanTerms {
            name: p.name.clone(),
            limit: p.limit,
            burst: p.limit_burst,
            slack: p.limit_slack,
            price: p.price,
        };
        let volume = |v: &Volume| VolumeTerms {
            nsid: v.nsid,
            plan: self.plan_index(v),
            block_size: v.block_size,
            extent_blocks: v.extent_blocks,
            shards: v.shards.clone(),
        };
        Terms {
            classes: self.class.iter().map(class).collect(),
            plans: self.plan.iter().map(plan).collect(),
            volumes: self.volume.iter().map(volume).collect(),
            unit_bytes: u64::from(self.site.unit_kib) * 1024,
            most_units: self.site.most_units,
            mean_units: self.site.mean_units,
            drain_grace: micros(r.drain_grace_ms),
            order_rest: micros(r.order_rest_ms),
            cold: ColdTerms {
                from: r.cold_from,
                warm_after: micros(r.warm_after_ms),
                multiple: r.fall_multiple,
                window: micros(r.cold_window_ms),
                units: r.cold_units,
            },
            budget: r.budget_window_ms.map(|ms| Budget {
                window: micros(ms),
                free: r.budget_free,
                share: r.budget_share,
            }),
            clock_slack: micros(self.day.as_ref().map_or(150, |d| d.clock_slack_ms)),
            view: self.view_terms(),
            cap: self.cap_terms(),
        }
    }

    /// What is promised of the view: what its own figures come to.
    fn view_terms(&self) -> Option<ViewTerms> {
        let together = self.together_options(self.gateway.first()?, self.fleet.as_ref()?);
        let fleet = together.membership.fleet;
        let settle = Micros::from(fleet.settling()) * fleet.period;
        Some(ViewTerms { settle, changes: CHANGES * self.gateway.len() as u64 })
    }

    /// The cap on repeats. Gateways count a window by their own clocks, and at most one send each is between its booking and
    /// its arrival when a window ends.
    fn cap_terms(&self) -> Option<CapTerms> {
        let together = self.together_options(self.gateway.first()?, self.fleet.as_ref()?);
        let cap = together.retry_cap?;
        Some(CapTerms {
            window: cap.window,
            free: cap.free,
            share: cap.share,
            fleet_free: cap.fleet_free,
            fleet_share: cap.fleet_share,
            slack: 2.0 * cap.drift * cap.free + self.gateway.len() as f64,
        })
    }
}
