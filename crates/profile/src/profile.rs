//! The settings object and its conversion to the settings of the decision module and of the gateway.

mod check;

use decisions::{Class, DedupScope, Idempotency, Micros, Plan, RetryBudget, Settings};
use serde::Deserialize;

use crate::service::{ClassName, Service};

pub use check::Unservable;

/// Why the settings can't be converted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProfileError {
    /// The `idempotency` of a class has an unknown value.
    #[error(
        "classes[{class}].idempotency: unknown word '{word}'; read_like, idempotency_key or non_idempotent is wanted"
    )]
    Idempotency {
        /// Index of the class.
        class: usize,
        /// The unknown value.
        word: String,
    },
}

/// The settings object.
#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub struct Profile {
    classes: Vec<WireClass>,
    policies: Vec<WirePolicy>,
    peers_total: u32,
    index: u32,
    discovery: String,
    policy_limits: Limits,
    family_info: Family,
    rules: Rules,
    fees: Fees,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireClass {
    name: String,
    target_us: Micros,
    deadline_us: Micros,
    aim_stretch: Option<f64>,
    worth: f64,
    late_value: f64,
    idempotency: String,
    group: Option<String>,
    key_ttl_us: Option<Micros>,
    fifo_by_key: Option<bool>,
    stream: Option<bool>,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WirePolicy {
    name: String,
    usual_rate: f64,
    floor_rate: f64,
    ceiling_rate: f64,
    limit_burst: f64,
    cap_slack: f64,
    shares: f64,
    price: f64,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Limits {
    send_cap: u32,
    may_duplicate: bool,
    cancel: bool,
    probing: bool,
    retry_after: bool,
    max_retry_after_us: Micros,
    conn_idle_us: Option<Micros>,
    connect_timeout_us: Option<Micros>,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Family {
    cold_bears: Option<f64>,
    largest: Option<f64>,
    mean_units: Option<f64>,
    fair_worth: Option<f64>,
    idle_worth: Option<f64>,
    slots_total: Option<u32>,
    writes: Vec<bool>,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Rules {
    cold_from: f64,
    warm_up_us: Micros,
    fall_us: Micros,
    drain_grace_us: Micros,
    order_settle_us: Option<Micros>,
    look_back_us: Option<Micros>,
    spare_attempts: Option<f64>,
    resend_ratio: Option<f64>,
}

#[derive(Clone, Debug, Deserialize, Default)]
#[serde(default)]
struct Fees {
    waste: f64,
}

impl WireClass {
    fn class(&self, index: usize) -> Result<Class, ProfileError> {
        let idempotency = match self.idempotency.as_str() {
            "read_like" => Idempotency::Safe,
            "non_idempotent" => Idempotency::Unsafe,
            "idempotency_key" => Idempotency::Keyed {
                scope: match self.group.as_deref() {
                    Some("all") => DedupScope::All,
                    Some("zone") => DedupScope::Zone,
                    _ => DedupScope::Shard,
                },
                window: self.key_ttl_us.unwrap_or(0),
            },
            other => return Err(ProfileError::Idempotency { class: index, word: other.to_owned() }),
        };
        Ok(Class {
            latency_target: self.target_us,
            latency_target_stretch: self.aim_stretch.unwrap_or(0.0),
            worth: self.worth,
            late_worth: self.late_value,
            idempotency,
            in_order: self.fifo_by_key.unwrap_or(false),
            stream: self.stream.unwrap_or(false),
        })
    }
}

impl WirePolicy {
    fn plan(&self) -> Plan {
        Plan {
            rate: self.usual_rate,
            reserve: self.floor_rate,
            limit: self.ceiling_rate,
            limit_burst: self.limit_burst,
            limit_slack: self.cap_slack,
            weight: self.shares,
            price: self.price,
        }
    }
}

impl Profile {
    /// Returns the settings of the decision module.
    ///
    /// # Errors
    /// The `idempotency` of a class has an unknown value.
    pub fn settings(&self) -> Result<Settings, ProfileError> {
        let budget = match (self.rules.look_back_us, self.rules.spare_attempts, self.rules.resend_ratio) {
            (_, None, None) => None,
            (window, free, share) => Some(RetryBudget {
                window: window.unwrap_or(0),
                base: free.unwrap_or(0.0),
                per_request: share.unwrap_or(0.0),
            }),
        };
        let classes = self.classes.iter().enumerate().map(|(i, c)| c.class(i));
        Ok(Settings {
            classes: classes.collect::<Result<_, _>>()?,
            plans: self.policies.iter().map(WirePolicy::plan).collect(),
            hosts: self.peers_total,
            index: self.index,
            needs_subscription: self.discovery == "ask",
            max_attempts: self.policy_limits.send_cap,
            hedging: self.policy_limits.may_duplicate,
            cancellation: self.policy_limits.cancel,
            probing: self.policy_limits.probing,
            retry_advice: self.policy_limits.retry_after,
            max_retry_after: self.policy_limits.max_retry_after_us,
            cold_units: self.family_info.cold_bears.unwrap_or(0.0),
            cold_window: self.rules.fall_us,
            cold_start_fraction: self.rules.cold_from,
            warm_after: self.rules.warm_up_us,
            drain_grace: self.rules.drain_grace_us,
            key_pause: self.rules.order_settle_us.unwrap_or(0),
            retry_budget: budget,
            max_request_units: self.family_info.largest.unwrap_or(1.0),
            mean_request_units: self.family_info.mean_units.unwrap_or(1.0),
            share_worth: self.family_info.fair_worth.unwrap_or(1.0),
            spare_worth: self.family_info.idle_worth.unwrap_or(1.0),
            waste_cost: self.fees.waste,
        })
    }

    /// Returns the settings that the gateway itself uses.
    pub fn service(&self) -> Service {
        let class = |(i, c): (usize, &WireClass)| ClassName {
            name: c.name.clone(),
            writes: self.family_info.writes.get(i).copied().unwrap_or(false),
            keyed: c.idempotency == "idempotency_key",
        };
        Service {
            classes: self.classes.iter().enumerate().map(class).collect(),
            plans: self.policies.iter().map(|p| p.name.clone()).collect(),
            shards: self.family_info.slots_total,
            longest_deadline: self.classes.iter().map(|c| c.deadline_us).max().unwrap_or(0),
            node_idle_timeout: self.policy_limits.conn_idle_us,
            connect_timeout: self.policy_limits.connect_timeout_us,
        }
    }
}
