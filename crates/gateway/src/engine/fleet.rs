//! The view: fed with what the engine sees at housekeeping, at its own times and at peers' words. Nothing of it is on the path of
//! a request.

use decisions::NodeState;
use fleet::NodeSight;
use peer::Told;
use storage_core::Micros;

use super::Engine;
use crate::status::FleetStatus;

/// A link that is not up for so long counts as silence.
const SILENT: Micros = 1_000_000;

impl Engine {
    /// What is due of it.
    pub(super) fn together(&mut self, now: Micros) {
        if let Some(together) = self.together.as_mut().filter(|t| now >= t.membership.next_due()) {
            together.membership.tick(now);
        }
    }

    /// A peer said or did what concerns it.
    pub(super) fn told_together(&mut self, now: Micros, told: &Told) {
        if let Some(together) = &mut self.together {
            together.membership.told(now, told.clone());
        }
    }

    /// What is seen of nodes.
    pub(super) fn sights(&mut self, now: Micros) {
        let Some(together) = &mut self.together else { return };
        let mut sights = Vec::new();
        let warm_after = self.options.catalogue.settings.warm_after;
        for (id, n) in self.core.node_views().iter().filter(|(_, n)| n.state != NodeState::Gone) {
            let up = self.links.get(id).is_some_and(|link| link.phase() == "up");
            let since = if up {
                together.down.remove(id);
                None
            } else {
                Some(*together.down.entry(*id).or_insert(now)).filter(|since| now - since > SILENT)
            };
            let look = self.core.look(*id);
            let unheard = look.filter(|l| l.silent).map(|_| (now - n.heard.unwrap_or(self.started)).max(1));
            let silent_for = since.map(|s| now - s).max(unheard).unwrap_or(0);
            let cold = look.is_some_and(|l| l.cold);
            let cold_for = if cold { (warm_after - (now - n.started.unwrap_or(now))).max(1) } else { 0 };
            let started = self.starts.get(id).copied().unwrap_or(0);
            sights.push(NodeSight { node: n.name.clone(), started, cold_for, silent_for });
        }
        together.down.retain(|id, _| self.links.contains_key(id));
        together.membership.saw(now, sights);
    }

    /// What operators see of it.
    pub(super) fn fleet_status(&self) -> Option<FleetStatus> {
        let m = &self.together.as_ref()?.membership;
        Some(FleetStatus::of(&m.view(), m.life(), &m.counts()))
    }
}
