//! The terms by which records are judged: the rules' figures as the operators stated them.

use serde::{Deserialize, Serialize};

use crate::{Micros, Op};

/// Whether a command of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Any number of runs is harmless.
    Safe,
    /// Nodes of one shard discard repeats for a window.
    Keyed,
    /// It must not run twice.
    Unsafe,
}

/// A class of commands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassTerms {
    /// Its name.
    pub name: String,
    /// What its commands do.
    pub op: Op,
    /// The most bytes of one, if limited.
    pub max_bytes: Option<u64>,
    /// May it run again.
    pub kind: Kind,
    /// How long nodes remember, for keyed ones.
    pub window: Micros,
    /// One at a time for each block, in the order taken.
    pub in_order: bool,
    /// An answer within this earns the full worth.
    pub aim: Micros,
    /// The client waits this long.
    pub patience: Micros,
    /// Worth of one of mean size.
    pub worth: f64,
    /// Part of it for a late answer.
    pub late_worth: f64,
}

/// A plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanTerms {
    /// Its name.
    pub name: String,
    /// Units a second; 0: no limit.
    pub limit: f64,
    /// Most units at once.
    pub burst: f64,
    /// Slack, in units.
    pub slack: f64,
    /// Factor on the worth.
    pub price: f64,
}

/// A volume.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VolumeTerms {
    /// Its identifier.
    pub nsid: u32,
    /// Index of its plan.
    pub plan: usize,
    /// Bytes in a block.
    pub block_size: u32,
    /// Blocks in an extent.
    pub extent_blocks: u64,
    /// Shards of the extents, in turn.
    pub shards: Vec<u32>,
}

/// The rule on cold nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdTerms {
    /// Part of its capacity that a node starts with.
    pub from: f64,
    /// Warm after this long.
    pub warm_after: Micros,
    /// More than this multiple of its present capacity ...
    pub multiple: f64,
    /// ... over this long breaks the rule.
    pub window: Micros,
    /// Units within the window that are borne in any case.
    pub units: f64,
}

/// The rule on further attempts.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    /// Window.
    pub window: Micros,
    /// Free attempts.
    pub free: f64,
    /// And for each request taken.
    pub share: f64,
}

/// What is promised of the gateways' views of each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewTerms {
    /// So long after the last fault all that can reach each other hold the same.
    pub settle: Micros,
    /// Changes of one gateway's view in any minute at most, and as many more for each trouble that began or ended in it or
    /// in the time before in which a view settles.
    pub changes: u64,
}

/// The cap on repeats over all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapTerms {
    /// Window.
    pub window: Micros,
    /// To a shard, beyond the first send for each command: so many ...
    pub free: f64,
    /// ... and this part of what the shard has served.
    pub share: f64,
    /// The same over all shards.
    pub fleet_free: f64,
    /// Part of all that was served.
    pub fleet_share: f64,
    /// Sends more that the records may show, as gateways book by their own clocks.
    pub slack: f64,
}

/// All terms of a day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    /// Classes; the first that fits a command is its class.
    pub classes: Vec<ClassTerms>,
    /// Plans.
    pub plans: Vec<PlanTerms>,
    /// Volumes.
    pub volumes: Vec<VolumeTerms>,
    /// Bytes that count as a unit.
    pub unit_bytes: u64,
    /// The most units of one command.
    pub most_units: f64,
    /// Mean units of one command.
    pub mean_units: f64,
    /// Time after which a drained node gets nothing new.
    pub drain_grace: Micros,
    /// Rest of a block after an attempt that may still run.
    pub order_rest: Micros,
    /// Cold nodes.
    pub cold: ColdTerms,
    /// Further attempts, where there is such a rule.
    pub budget: Option<Budget>,
    /// How far two clocks or a busy machine may put a record off its moment.
    pub clock_slack: Micros,
    /// Gateways' views, where they keep one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub view: Option<ViewTerms>,
    /// The cap on repeats, where there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap: Option<CapTerms>,
}
