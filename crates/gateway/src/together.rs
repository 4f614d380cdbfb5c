//! What a gateway does together with its fleet, by the site file.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use decisions::NodeId;
use fleet::Holding;
use repeats::CapOptions;
use shadow::ShadowOptions;
use storage_core::Micros;

use crate::company::Company;
use crate::gateway::GatewayError;
use crate::membership::{Membership, MembershipOptions};
use crate::rights::Rights;
use crate::trial::Trial;

/// Settings of a gateway that acts as one with others.
#[derive(Clone, Debug)]
pub struct TogetherOptions {
    /// The view.
    pub membership: MembershipOptions,
    /// The cap on repeats; without it each gateway has its own budget alone.
    pub repeats: Option<CapOptions>,
    /// The candidate that is tried in the shadow.
    pub candidate: Option<ShadowOptions>,
}

pub(crate) struct Together {
    pub(crate) membership: Membership,
    pub(crate) rights: Option<Rights>,
    pub(crate) trial: Option<Trial>,
    /// Nodes whose links are not up, and since when.
    pub(crate) down: BTreeMap<NodeId, Micros>,
    /// It leaves, and says by then that it has left; its words of that have gone out by the later time.
    left_at: Option<Micros>,
    said_by: Option<Micros>,
    period: Micros,
    company: Company,
    folder: PathBuf,
    seed: u64,
    /// Volumes that it serves.
    volumes: Vec<u32>,
    /// What tells the cap's figures from others.
    cap: u64,
}

impl Together {
    pub(crate) fn start(
        options: TogetherOptions,
        company: &Company,
        folder: &Path,
        volumes: Vec<u32>,
        now: Micros,
        seed: u64,
    ) -> Result<Together, GatewayError> {
        let cap = options.repeats.as_ref().map_or(0, figures);
        let rights = options.repeats.map(|o| Rights::start(o, company.clone(), now, seed));
        let trial = match options.candidate {
            Some(o) => Some(Trial::start(o, company.clone(), folder, now, seed)?),
            None => None,
        };
        let period = options.membership.fleet.period;
        let membership =
            Membership::start(options.membership, company.clone(), now, seed).map_err(GatewayError::Start)?;
        let mut together = Together {
            membership,
            rights,
            trial,
            down: BTreeMap::new(),
            left_at: None,
            said_by: None,
            period,
            company: company.clone(),
            folder: folder.to_owned(),
            seed,
            volumes,
            cap,
        };
        together.hold(now);
        Ok(together)
    }

    /// States what this gateway holds; whether the view is another now.
    pub(crate) fn hold(&mut self, now: Micros) -> bool {
        let candidate = self.trial.as_ref().map_or(0, Trial::digest);
        self.membership.hold(now, Holding { volumes: self.volumes.clone(), cap: self.cap, candidate })
    }

    /// Another candidate, or none, is to be tried from now on; the same one goes on.
    ///
    /// # Errors
    /// It does not fit, or what was kept of it cannot be read: the one before stays.
    pub(crate) fn try_instead(
        &mut self,
        now: Micros,
        candidate: Option<ShadowOptions>,
    ) -> Result<(), GatewayError> {
        let Some(options) = candidate else {
            self.trial = None;
            return Ok(());
        };
        if self.trial.as_ref().is_none_or(|t| t.digest() != options.candidate.digest()) {
            // Drawn anew for each instance: it tells it from others of this life.
            let seed = self.seed ^ (now as u64).rotate_left(32);
            self.trial = Some(Trial::start(options, self.company.clone(), &self.folder, now, seed)?);
        }
        Ok(())
    }

    /// It is about to leave by its own will.
    ///
    /// Danger: one that ends in the same moment is taken for one that was cut off, and doubted for as long as those are; only its own
    /// word says that it has left. Harm: it goes two and a half periods later, with all answered and nothing new taken: one in which
    /// others hear that it leaves and turn to the rest, and one and a half for them to pass its last word on.
    pub(crate) fn leave(&mut self, now: Micros) {
        self.membership.leave(now);
        self.left_at = Some(now + self.period);
        self.said_by = Some(now + self.period * 5 / 2);
    }

    /// Says that it has left, when that is due; whether the view is another now.
    pub(crate) fn take_leave(&mut self, now: Micros) -> bool {
        self.left_at.take_if(|at| now >= *at).is_some() && self.membership.has_left(now)
    }

    /// Whether its word of leaving is still on its way.
    pub(crate) fn is_saying(&self, now: Micros) -> bool {
        self.said_by.is_some_and(|by| now < by)
    }

    pub(crate) fn next_due(&self, now: Micros) -> Micros {
        let said = self.said_by.filter(|by| now < *by).unwrap_or(Micros::MAX);
        let said = said.min(self.left_at.unwrap_or(Micros::MAX));
        let rights = self.rights.as_ref().map_or(Micros::MAX, Rights::next_due);
        let trial = self.trial.as_ref().map_or(Micros::MAX, Trial::next_due);
        self.membership.next_due().min(rights).min(trial).min(said)
    }
}

/// A number for the figures of a cap: gateways with other figures don't hold one cap together, and operators see it.
fn figures(options: &CapOptions) -> u64 {
    let CapOptions { members, window, free, share, recovering_share, fleet_free, fleet_share, drift, .. } =
        options;
    let floats = [free, share, recovering_share, fleet_free, fleet_share, drift];
    let words = [*members as u64, *window as u64].into_iter().chain(floats.into_iter().map(|f| f.to_bits()));
    words
        .flat_map(u64::to_le_bytes)
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}
