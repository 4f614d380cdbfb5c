//! Settings that the gateway itself uses, beside those of the decision module.

use decisions::Micros;

/// A request class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassName {
    /// Name by which requests select it.
    pub name: String,
    /// Whether its requests write.
    pub writes: bool,
    /// Whether its requests carry an idempotency key, by which nodes recognise a repetition.
    pub keyed: bool,
}

/// Settings that the gateway itself uses. Classes and plans are in the order of the decision module's
/// settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Request classes.
    pub classes: Vec<ClassName>,
    /// Names of the plans.
    pub plans: Vec<String>,
    /// Number of shards, which are numbered from 0; none if not given.
    pub shards: Option<u32>,
    /// The longest deadline of a class.
    pub longest_deadline: Micros,
    /// Idle time after which nodes close a connection; none if not given.
    pub node_idle_timeout: Option<Micros>,
    /// Connect timeout; none if not given.
    pub connect_timeout: Option<Micros>,
}
