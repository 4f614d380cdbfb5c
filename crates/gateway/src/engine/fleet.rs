//! The view, the cap and the shadow: fed with what the engine sees, and carried out by it.
//!
//! What concerns a single request is one line where the request passes; the rest is at housekeeping, at their own times and
//! at peers' words. Of the view nothing is on the path of a request.

use std::collections::BTreeMap;

use decisions::{NodeState, Outcome, ShardId};
use fleet::{NodeSight, Standing};
use nvme::IoCommand;
use peer::Told;
use storage_core::{AttemptId, End, Micros, Send, Ticket};

use super::Engine;
use crate::rights::{Asked, Rights};
use crate::status::{FleetStatus, RepeatsStatus};

/// A link that is not up for so long counts as silence.
const SILENT: Micros = 1_000_000;

impl Engine {
    /// What is due of them.
    pub(super) fn together(&mut self, now: Micros) {
        let Some(together) = &mut self.together else { return };
        let mut changed = now >= together.membership.next_due() && together.membership.tick(now);
        changed |= together.take_leave(now);
        if let Some(rights) = together.rights.as_mut().filter(|r| now >= r.next_due()) {
            rights.tick(now);
        }
        if let Some(trial) = together.trial.as_mut().filter(|t| now >= t.next_due()) {
            trial.tick(now);
        }
        self.agree(now, changed);
    }

    /// Brings what the module is allowed up to now, before it decides anything.
    ///
    /// Danger: after a wait rights have fallen due, and what is decided before the cap's tick is decided on them. Harm: a tick for
    /// each step in which something comes.
    pub(super) fn refresh_rights(&mut self, now: Micros) {
        let rights = self.together.as_mut().and_then(|together| together.rights.as_mut());
        if let Some(rights) = rights.filter(|rights| rights.is_behind(now)) {
            rights.tick(now);
            self.settle(now);
        }
    }

    /// A peer said or did what concerns them.
    pub(super) fn told_together(&mut self, now: Micros, told: &Told) {
        let Some(together) = &mut self.together else { return };
        let changed = together.membership.told(now, told.clone());
        if let Some(rights) = &mut together.rights {
            rights.told(now, told.clone());
        }
        if let Some(trial) = &mut together.trial {
            trial.told(now, told.clone());
        }
        self.agree(now, changed);
    }

    /// Tells the others of a view that changed, and carries out what they say.
    pub(super) fn agree(&mut self, now: Micros, changed: bool) {
        if let Some(together) = self.together.as_mut().filter(|_| changed) {
            let view = together.membership.view();
            let others = || view.members.iter().filter(|m| m.name != view.own);
            if let Some(rights) = &mut together.rights {
                let up = others().filter(|m| m.standing == Standing::Up);
                rights.peers(now, up.map(|m| m.name.clone()).collect());
            }
            if let Some(trial) = &mut together.trial {
                let there = others().filter(|m| m.standing != Standing::Left);
                trial.peers(now, there.map(|m| m.name.clone()).collect());
            }
        }
        self.copies(now);
        self.settle(now);
    }

    /// Tells the cap what was held back and what waits, and the module of one shard what it is allowed; whether there was something
    /// to tell it.
    pub(super) fn allow(&mut self, now: Micros) -> bool {
        let Some(rights) = self.together.as_mut().and_then(|t| t.rights.as_mut()) else { return false };
        for wanted in self.core.take_wanted() {
            rights.wanted(now, wanted);
        }
        for shortage in self.core.take_shortages() {
            rights.waits(now, shortage);
        }
        let Some(allowance) = rights.next_allowance() else { return false };
        let shard = ShardId(allowance.shard);
        if let Some(most) = rights.new_await_limit(allowance.shard) {
            self.core.limit_awaiting(now, shard, most);
        }
        self.core.allow(now, shard, allowance.retries, allowance.retry_after, &mut self.effects);
        true
    }

    /// What is known of a command for the cap; none without it.
    pub(super) fn asked(&self, now: Micros, host: &str, command: &IoCommand) -> Option<Asked> {
        let rights = self.together.as_ref()?.rights.as_ref()?;
        let volume = self.options.catalogue.volume(command.nsid)?;
        let extent = (command.slba / volume.extent_blocks.max(1)) as usize;
        let shard = volume.shards.get(extent % volume.shards.len().max(1))?.0;
        let key = Rights::key(host, command);
        Some(Asked { key, shard, is_repeat: rights.is_repeat(now, key) })
    }

    /// An operation ended unserved, or its client has left it.
    pub(super) fn unserved(&mut self, now: Micros, asked: Asked, was_sent: bool) {
        if let Some(rights) = self.together.as_mut().and_then(|t| t.rights.as_mut()) {
            rights.unserved(now, asked, was_sent);
        }
    }

    /// Whether something of an operation that ended unserved had been sent; when in doubt it had.
    pub(super) fn was_sent(&self, ticket: Ticket) -> bool {
        self.core.ended_views().rev().find(|e| e.ticket == ticket).is_none_or(|e| e.attempts > 0)
    }

    /// An attempt is on its way out.
    pub(super) fn sends(&mut self, now: Micros, send: &Send) {
        let Some(together) = &mut self.together else { return };
        if let Some(rights) = &mut together.rights {
            rights.sent(now, send);
        }
        if let Some(trial) = &mut together.trial {
            trial.sends(now, send);
        }
    }

    /// An attempt has ended, as its link tells.
    pub(super) fn ends(&mut self, now: Micros, attempt: AttemptId, end: &End) {
        let Some(together) = &mut self.together else { return };
        if let Some(rights) = &mut together.rights {
            rights.ended(now, attempt, end.outcome);
        }
        if let Some(trial) = &mut together.trial {
            trial.ended(now, attempt, end);
        }
    }

    /// Nobody waits for an attempt any more.
    pub(super) fn forgets(&mut self, now: Micros, attempt: AttemptId) {
        let Some(together) = &mut self.together else { return };
        if let Some(rights) = &mut together.rights {
            rights.ended(now, attempt, Outcome::TimedOut);
        }
        if let Some(trial) = &mut together.trial {
            trial.forgotten(now, attempt);
        }
    }

    /// What is seen of nodes.
    pub(super) fn sights(&mut self, now: Micros) {
        let Some(together) = &mut self.together else { return };
        let view = together.membership.view();
        let (mut sights, mut troubles, mut nodes) = (Vec::new(), BTreeMap::new(), Vec::new());
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
            // A start is a fact about the node, whoever saw it; silence is one about a link.
            let fact = view.nodes.iter().find(|f| f.node == n.name);
            let warms = cold || fact.is_some_and(|f| f.cold_for > 0 && view.at + f.cold_for > now);
            *troubles.entry(n.shard).or_insert(false) |= warms || silent_for > 0;
            let doubted = fact.is_some_and(|f| !f.silent_for.is_empty());
            if up && n.state == NodeState::On && !warms && silent_for == 0 && !doubted {
                nodes.push((n.shard, n.name.clone()));
            }
            let started = self.starts.get(id).copied().unwrap_or(0);
            sights.push(NodeSight { node: n.name.clone(), started, cold_for, silent_for });
        }
        together.down.retain(|id, _| self.links.contains_key(id));
        let changed = together.membership.saw(now, sights);
        if let Some(rights) = &mut together.rights {
            rights.saw(now, troubles);
            nodes.retain(|(shard, _)| rights.bears_copy(*shard));
        }
        if let Some(trial) = &mut together.trial {
            trial.nodes(now, nodes);
        }
        self.agree(now, changed);
    }

    /// What operators see of it.
    pub(super) fn fleet_status(&self) -> Option<FleetStatus> {
        let m = &self.together.as_ref()?.membership;
        Some(FleetStatus::of(&m.view(), m.life(), &m.counts()))
    }

    pub(super) fn repeats_status(&self, now: Micros) -> Option<RepeatsStatus> {
        let (shards, counts) = self.together.as_ref()?.rights.as_ref()?.look(now);
        Some(RepeatsStatus { shards, counts })
    }
}
