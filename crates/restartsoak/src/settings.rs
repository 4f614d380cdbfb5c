//! A plan as the configuration that the platform hands to the gateway.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::plan::{Class, Effect, Plan, Tariff};

/// The largest request, in units.
pub(crate) const LARGEST: u32 = 4;
/// Units of a request in the mean.
pub(crate) const MEAN_UNITS: f64 = 2.0;
/// The connection of a gateway to a node that stands idle is closed by the node after this.
pub(crate) const IDLE_US: u64 = 3_000_000;

/// The configuration of one life.
pub(crate) fn configuration(plan: &Plan, listen: SocketAddr, discovery: SocketAddr, known: &Value) -> Value {
    let (window, free, share) = plan.budget;
    let (cold_units, cold_window) = plan.cold;
    json!({
        "name": "g0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "seed": format!("{:016x}", plan.seed),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": plan.sockets},
        "known": known,
        "settings": {
            "classes": plan.classes.iter().map(class).collect::<Vec<_>>(),
            "policies": plan.tariffs.iter().map(tariff).collect::<Vec<_>>(),
            "peersTotal": 1, "index": 0, "discovery": "push",
            "policyLimits": {"sendCap": plan.most_attempts, "mayDuplicate": false, "cancel": true, "retryAfter": true,
                             "maxRetryAfterUs": 1_000_000, "connIdleUs": IDLE_US, "connectTimeoutUs": 250_000},
            "familyInfo": {"largest": LARGEST, "meanUnits": MEAN_UNITS, "slotsTotal": 2, "coldBears": cold_units,
                           "writes": plan.classes.iter().map(|c| c.effect != Effect::Safe).collect::<Vec<_>>()},
            "rules": {"fallUs": cold_window, "warmUpUs": plan.warm_after, "coldFrom": 0.2, "fallMultiple": 3.0,
                      "drainGraceUs": plan.drain_grace, "lookBackUs": window, "spareAttempts": free, "resendRatio": share}
        }
    })
}

fn class(class: &Class) -> Value {
    let (effect, window) = match class.effect {
        Effect::Safe => ("read_like", 0),
        Effect::Keyed(window) => ("idempotency_key", window),
        Effect::Once => ("non_idempotent", 0),
    };
    json!({"name": class.name, "targetUs": class.deadline / 2, "deadlineUs": class.deadline, "worth": 1.0, "lateValue": 0.2,
           "idempotency": effect, "group": "all", "keyTtlUs": window})
}

fn tariff(tariff: &Tariff) -> Value {
    json!({"name": tariff.name, "usualRate": 20.0, "floorRate": 200.0, "ceilingRate": tariff.rate,
           "limitBurst": tariff.burst, "capSlack": tariff.slack, "shares": 1.0, "price": 1.0})
}
