//! The gateway's coordination with its fleet, as configured in the site file.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use decisions::NodeId;
use fleet::Holding;
use repeats::CapOptions;
use shadow::ShadowOptions;
use storage_core::Micros;

use crate::gateway::GatewayError;
use crate::membership::{Membership, MembershipOptions};
use crate::peer_network::PeerNetwork;
use crate::retry_cap::RetryCap;
use crate::shadow_trial::ShadowTrial;

/// Settings of the coordination with other gateways.
#[derive(Clone, Debug)]
pub struct CoordinationOptions {
    /// The membership view.
    pub membership: MembershipOptions,
    /// The retry cap of the fleet; without it each gateway has only its own retry budget.
    pub retry_cap: Option<CapOptions>,
    /// The candidate shard map on shadow trial.
    pub candidate: Option<ShadowOptions>,
}

/// The subsystems that work together with other gateways.
pub(crate) struct Coordination {
    pub(crate) membership: Membership,
    pub(crate) retry_cap: Option<RetryCap>,
    pub(crate) trial: Option<ShadowTrial>,
    /// Nodes whose connection is down, with the time since when.
    pub(crate) down_since: BTreeMap<NodeId, Micros>,
    /// Shutdown: when the gateway announces that it has left, and by when that announcement has been sent.
    announce_left_at: Option<Micros>,
    announced_by: Option<Micros>,
    period: Micros,
    peer_network: PeerNetwork,
    folder: PathBuf,
    seed: u64,
    /// Volumes that this gateway serves.
    volumes: Vec<u32>,
    /// Digest of the cap's settings.
    cap_digest: u64,
}

impl Coordination {
    pub(crate) fn start(
        options: CoordinationOptions,
        peer_network: &PeerNetwork,
        folder: &Path,
        volumes: Vec<u32>,
        now: Micros,
        seed: u64,
    ) -> Result<Coordination, GatewayError> {
        let cap_digest = options.retry_cap.as_ref().map_or(0, cap_settings_digest);
        let retry_cap = options.retry_cap.map(|o| RetryCap::start(o, peer_network.clone(), now, seed));
        let trial = match options.candidate {
            Some(o) => Some(ShadowTrial::start(o, peer_network.clone(), folder, now, seed)?),
            None => None,
        };
        let period = options.membership.fleet.period;
        let membership = Membership::start(options.membership, peer_network.clone(), now, seed)
            .map_err(GatewayError::Start)?;
        let mut coordination = Coordination {
            membership,
            retry_cap,
            trial,
            down_since: BTreeMap::new(),
            announce_left_at: None,
            announced_by: None,
            period,
            peer_network: peer_network.clone(),
            folder: folder.to_owned(),
            seed,
            volumes,
            cap_digest,
        };
        coordination.announce(now);
        Ok(coordination)
    }

    /// Announces this gateway's volumes and the digests of its cap settings and of the candidate on trial.
    /// Returns whether the view changed.
    pub(crate) fn announce(&mut self, now: Micros) -> bool {
        let candidate = self.trial.as_ref().map_or(0, ShadowTrial::digest);
        self.membership
            .announce(now, Holding { volumes: self.volumes.clone(), cap: self.cap_digest, candidate })
    }

    /// Replaces the candidate on trial, or ends the trial; a trial of the same candidate continues.
    ///
    /// # Errors
    ///
    /// The candidate does not fit, or its stored counts cannot be read; the previous trial continues.
    pub(crate) fn replace_candidate(
        &mut self,
        now: Micros,
        candidate: Option<ShadowOptions>,
    ) -> Result<(), GatewayError> {
        let Some(options) = candidate else {
            self.trial = None;
            return Ok(());
        };
        if self.trial.as_ref().is_none_or(|t| t.digest() != options.candidate.digest()) {
            // A new seed for each trial distinguishes it from others of this life.
            let seed = self.seed ^ (now as u64).rotate_left(32);
            self.trial =
                Some(ShadowTrial::start(options, self.peer_network.clone(), &self.folder, now, seed)?);
        }
        Ok(())
    }

    /// Begins to leave the fleet deliberately.
    ///
    /// A gateway that ends without announcing it looks like one that was cut off, and is suspected for as
    /// long as those are; only its own message tells that it has left. The cost is that it exits two and a
    /// half periods later, with all requests answered and no new ones accepted: one period in which peers
    /// hear that it is leaving and turn to the others, and one and a half for them to pass on its last
    /// message.
    pub(crate) fn begin_leaving(&mut self, now: Micros) {
        self.membership.announce_leaving(now);
        self.announce_left_at = Some(now + self.period);
        self.announced_by = Some(now + self.period * 5 / 2);
    }

    /// Announces that the gateway has left, when that is due. Returns whether the view changed.
    pub(crate) fn announce_left_if_due(&mut self, now: Micros) -> bool {
        self.announce_left_at.take_if(|at| now >= *at).is_some() && self.membership.announce_left(now)
    }

    /// Whether the announcement of leaving is still being sent.
    pub(crate) fn is_announcing(&self, now: Micros) -> bool {
        self.announced_by.is_some_and(|by| now < by)
    }

    pub(crate) fn next_due(&self, now: Micros) -> Micros {
        let announcement = self.announced_by.filter(|by| now < *by).unwrap_or(Micros::MAX);
        let announcement = announcement.min(self.announce_left_at.unwrap_or(Micros::MAX));
        let retry_cap = self.retry_cap.as_ref().map_or(Micros::MAX, RetryCap::next_due);
        let trial = self.trial.as_ref().map_or(Micros::MAX, ShadowTrial::next_due);
        self.membership.next_due().min(retry_cap).min(trial).min(announcement)
    }
}

/// FNV-1a digest (64 bits) of a cap's settings. Gateways whose settings differ do not enforce a common limit;
/// the digests show this to operators.
fn cap_settings_digest(options: &CapOptions) -> u64 {
    let CapOptions { members, window, free, share, recovering_share, fleet_free, fleet_share, drift, .. } =
        options;
    let floats = [free, share, recovering_share, fleet_free, fleet_share, drift];
    let words = [*members as u64, *window as u64].into_iter().chain(floats.into_iter().map(|f| f.to_bits()));
    words
        .flat_map(u64::to_le_bytes)
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
}
