//! The fleet, the retry cap and the shadow trial as shown on the control socket.

use repeats::ShardSnapshot;
use serde::{Deserialize, Serialize};
use shadow::{Enough, Verdict};
use storage_core::Micros;

use crate::membership::{life_name, standing_name};

/// The fleet as this gateway sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The life that this gateway is in.
    pub life: String,
    /// Number of the view; increases by one with each change within this life.
    pub number: u64,
    /// Digest of the view, 16 hexadecimal digits; equal at gateways that hold the same view.
    pub digest: String,
    /// When the view last changed.
    pub at: Micros,
    /// Members by name, including this gateway.
    pub members: Vec<MemberStatus>,
    /// Nodes of which something is known, by name.
    pub nodes: Vec<FleetNodeStatus>,
    /// Notes sent in this life.
    pub notes_out: u64,
    /// Bytes of the notes sent in this life.
    pub bytes_out: u64,
    /// Changes of members' standings in this life.
    pub standings: u64,
    /// Suspicions of this gateway that it refuted.
    pub refutations: u64,
    /// Messages from members that were rejected.
    #[serde(rename = "turned_away")]
    pub rejected_messages: u64,
    /// How often this gateway found that its own process had been suspended.
    #[serde(rename = "late")]
    pub suspensions: u64,
}

/// A member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: u32,
    /// The latest life known; `None` while it is joining.
    pub life: Option<String>,
    /// One of joining, up, suspected, unreachable, leaving and left.
    pub standing: String,
    /// Since when it has this standing, on this gateway's clock.
    pub since: Micros,
    /// Volumes that it serves, as it announced.
    pub volumes: Vec<u32>,
    /// Digest of the settings of its retry cap; 0 if it has none.
    pub cap: u64,
    /// Digest of the candidate on trial there; 0 if there is none.
    pub candidate: u64,
}

/// What the fleet knows of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetNodeStatus {
    /// Its name.
    pub node: String,
    /// The latest start that any gateway has seen.
    pub started: Micros,
    /// Remaining warm-up time when the view was made, in microseconds.
    pub cold_for: Micros,
    /// Gateways to which it is silent.
    pub silent_for: Vec<String>,
}

impl FleetStatus {
    pub(crate) fn of(view: &fleet::View, life: fleet::Life, counts: &fleet::Counts) -> FleetStatus {
        let member = |m: &fleet::Member| MemberStatus {
            name: m.name.0.clone(),
            zone: m.zone,
            life: m.life.map(life_name),
            standing: standing_name(m.standing).to_owned(),
            since: m.since,
            volumes: m.holding.volumes.clone(),
            cap: m.holding.cap,
            candidate: m.holding.candidate,
        };
        let node = |n: &fleet::NodeFact| FleetNodeStatus {
            node: n.node.clone(),
            started: n.started,
            cold_for: n.cold_for,
            silent_for: n.silent_for.iter().map(|p| p.0.clone()).collect(),
        };
        FleetStatus {
            life: life_name(life),
            number: view.number,
            digest: format!("{:016x}", view.digest),
            at: view.at,
            members: view.members.iter().map(member).collect(),
            nodes: view.nodes.iter().map(node).collect(),
            notes_out: counts.notes_out,
            bytes_out: counts.bytes_out,
            standings: counts.standings,
            refutations: counts.refutations,
            rejected_messages: counts.turned_away,
            suspensions: counts.late,
        }
    }
}

/// The retry cap as this gateway holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryCapStatus {
    /// Each shard; the last entry, without a number, is the total.
    pub shards: Vec<ShardSnapshot>,
    /// Totals of this life.
    pub counts: repeats::Counts,
}

/// The candidate on shadow trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShadowStatus {
    /// Its number.
    pub number: u64,
    /// Its digest, 16 hexadecimal digits; gateways with the same digest add up their counts.
    pub digest: String,
    /// Number of extents compared; the verdict lists only some of them.
    pub extents: usize,
    /// Number of extents that still lack comparisons; the verdict lists only some of them.
    pub lacking: usize,
    /// The verdict over all gateways and lives; at most a second old.
    pub verdict: Verdict,
}

/// Most extents listed in a status. A map has tens of thousands of extents, and consoles ask several times a
/// second. The cost is that not all lacking extents are listed; those with differences come first.
const MAX_LISTED_EXTENTS: usize = 64;

impl ShadowStatus {
    pub(crate) fn of(number: u64, digest: u64, mut verdict: Verdict) -> ShadowStatus {
        let extents = verdict.extents.len();
        verdict.extents.sort_by_key(|e| std::cmp::Reverse(e.results.different));
        verdict.extents.truncate(MAX_LISTED_EXTENTS);
        verdict.extents.sort_by_key(|e| (e.nsid, e.extent));
        let lacking = match &mut verdict.enough {
            Enough::NotYet { lacking } => {
                let all = lacking.len();
                lacking.truncate(MAX_LISTED_EXTENTS);
                all
            }
            Enough::Wrong(_) | Enough::Enough => 0,
        };
        ShadowStatus { number, digest: format!("{digest:016x}"), extents, lacking, verdict }
    }
}
