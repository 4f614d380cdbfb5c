//! What operators see of the fleet, the cap and the shadow.

use repeats::ShardLook;
use serde::{Deserialize, Serialize};
use shadow::{Enough, Verdict};
use storage_core::Micros;

use crate::membership::{name_of, word};

/// The fleet as this gateway sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The life that this gateway is in.
    pub life: String,
    /// Rises by one with each change of the view in this life.
    pub number: u64,
    /// Equal at gateways that hold the same; 16 digits.
    pub digest: String,
    /// Since when the view is this one.
    pub at: Micros,
    /// Members by name, this gateway included.
    pub members: Vec<MemberStatus>,
    /// Nodes that something is known of, by name.
    pub nodes: Vec<NodeFactStatus>,
    /// Notes sent in this life, and their bytes.
    pub notes_out: u64,
    /// See `notes_out`.
    pub bytes_out: u64,
    /// Changes of a member's standing in this life.
    pub standings: u64,
    /// Doubts of this gateway that it refuted.
    pub refutations: u64,
    /// What members said that was turned away.
    pub turned_away: u64,
    /// Times that it found that it had itself been stopped.
    pub late: u64,
}

/// A member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: u32,
    /// The latest life known; none while it is joining.
    pub life: Option<String>,
    /// joining, up, suspected, unreachable, leaving or left.
    pub standing: String,
    /// Since when, on this gateway's clock.
    pub since: Micros,
    /// Volumes that it serves, by its own word.
    pub volumes: Vec<u32>,
    /// Number of the cap's figures that it holds; 0: none.
    pub cap: u64,
    /// Digest of the candidate that it tries; 0: none.
    pub candidate: u64,
}

/// What the fleet has seen of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeFactStatus {
    /// Its name.
    pub node: String,
    /// The latest start that anybody has seen.
    pub started: Micros,
    /// What was left of its warming when the view was made, in microseconds.
    pub cold_for: Micros,
    /// Gateways that it says nothing to.
    pub silent_for: Vec<String>,
}

impl FleetStatus {
    pub(crate) fn of(view: &fleet::View, life: fleet::Life, counts: &fleet::Counts) -> FleetStatus {
        let member = |m: &fleet::Member| MemberStatus {
            name: m.name.0.clone(),
            zone: m.zone,
            life: m.life.map(name_of),
            standing: word(m.standing).to_owned(),
            since: m.since,
            volumes: m.holding.volumes.clone(),
            cap: m.holding.cap,
            candidate: m.holding.candidate,
        };
        let node = |n: &fleet::NodeFact| NodeFactStatus {
            node: n.node.clone(),
            started: n.started,
            cold_for: n.cold_for,
            silent_for: n.silent_for.iter().map(|p| p.0.clone()).collect(),
        };
        FleetStatus {
            life: name_of(life),
            number: view.number,
            digest: format!("{:016x}", view.digest),
            at: view.at,
            members: view.members.iter().map(member).collect(),
            nodes: view.nodes.iter().map(node).collect(),
            notes_out: counts.notes_out,
            bytes_out: counts.bytes_out,
            standings: counts.standings,
            refutations: counts.refutations,
            turned_away: counts.turned_away,
            late: counts.late,
        }
    }
}

/// The cap on repeats as this gateway holds it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RepeatsStatus {
    /// Each shard; the last, without a number, is all of them together.
    pub shards: Vec<ShardLook>,
    /// Totals of this life.
    pub counts: repeats::Counts,
}

/// The candidate that is tried.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShadowStatus {
    /// Its number.
    pub number: u64,
    /// Its digest, 16 digits: counts are added up among gateways that have the same.
    pub digest: String,
    /// Extents that were compared, and those that lack; the verdict names the first of them alone.
    pub extents: usize,
    /// See `extents`.
    pub lacking: usize,
    /// What is known of it, over all gateways and lives; at most a second old.
    pub verdict: Verdict,
}

/// Extents that a status names at most. Danger: a map has tens of thousands, and consoles ask several times a second. Harm: which of
/// them lack is not all shown; those that differ come first.
const MOST_EXTENTS: usize = 64;

impl ShadowStatus {
    pub(crate) fn of(number: u64, digest: u64, mut verdict: Verdict) -> ShadowStatus {
        let extents = verdict.extents.len();
        verdict.extents.sort_by_key(|e| std::cmp::Reverse(e.results.different));
        verdict.extents.truncate(MOST_EXTENTS);
        verdict.extents.sort_by_key(|e| (e.nsid, e.extent));
        let lacking = match &mut verdict.enough {
            Enough::NotYet { lacking } => {
                let all = lacking.len();
                lacking.truncate(MOST_EXTENTS);
                all
            }
            Enough::Wrong(_) | Enough::Enough => 0,
        };
        ShadowStatus { number, digest: format!("{digest:016x}"), extents, lacking, verdict }
    }
}
