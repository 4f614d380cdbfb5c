//! What a gateway does together with its fleet, by the site file.

use std::collections::BTreeMap;

use decisions::NodeId;
use fleet::Holding;
use repeats::CapOptions;
use storage_core::Micros;

use crate::company::Company;
use crate::gateway::GatewayError;
use crate::membership::{Membership, MembershipOptions};
use crate::rights::Rights;

/// Settings of a gateway that acts as one with others.
#[derive(Clone, Debug)]
pub struct TogetherOptions {
    /// The view.
    pub membership: MembershipOptions,
    /// The cap on repeats; without it each gateway has its own budget alone.
    pub repeats: Option<CapOptions>,
}

pub(crate) struct Together {
    pub(crate) membership: Membership,
    pub(crate) rights: Option<Rights>,
    /// Nodes whose links are not up, and since when.
    pub(crate) down: BTreeMap<NodeId, Micros>,
    /// It leaves, and its word of that has gone out by then.
    said_by: Option<Micros>,
    period: Micros,
    /// Volumes that it serves.
    volumes: Vec<u32>,
    /// What tells the cap's figures from others.
    cap: u64,
}

impl Together {
    pub(crate) fn start(
        options: TogetherOptions,
        company: &Company,
        volumes: Vec<u32>,
        now: Micros,
        seed: u64,
    ) -> Result<Together, GatewayError> {
        let cap = options.repeats.as_ref().map_or(0, figures);
        let rights = options.repeats.map(|o| Rights::start(o, company.clone(), now, seed));
        let period = options.membership.fleet.period;
        let membership =
            Membership::start(options.membership, company.clone(), now, seed).map_err(GatewayError::Start)?;
        let mut together =
            Together { membership, rights, down: BTreeMap::new(), said_by: None, period, volumes, cap };
        together.hold(now);
        Ok(together)
    }

    /// States what this gateway holds; whether the view is another now.
    pub(crate) fn hold(&mut self, now: Micros) -> bool {
        self.membership.hold(now, Holding { volumes: self.volumes.clone(), cap: self.cap, candidate: 0 })
    }

    /// It is about to leave by its own will.
    ///
    /// Danger: one that ends in the same moment is taken for one that was cut off, and doubted for as long as those are. Harm: it goes a
    /// period and a half later, with all answered and nothing new taken.
    pub(crate) fn leave(&mut self, now: Micros) {
        self.membership.leave(now);
        self.said_by = Some(now + self.period * 3 / 2);
    }

    /// Whether its word of leaving is still on its way.
    pub(crate) fn is_saying(&self, now: Micros) -> bool {
        self.said_by.is_some_and(|by| now < by)
    }

    pub(crate) fn next_due(&self, now: Micros) -> Micros {
        let said = self.said_by.filter(|by| now < *by).unwrap_or(Micros::MAX);
        let rights = self.rights.as_ref().map_or(Micros::MAX, Rights::next_due);
        self.membership.next_due().min(rights).min(said)
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
