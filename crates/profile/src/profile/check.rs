//! Checks whether a gateway can serve requests with given settings.
//!
//! Without the check, nonsensical values would only show request by request: everything would be refused, or
//! decided by values that are not numbers, without an error that names the cause. Each value is checked against
//! its meaning, and the first invalid one is reported. Keys that nothing here reads are ignored, as keys are
//! added over time. The cost is that a mistake in a value which no request would ever use also has to be
//! corrected before the gateway starts.

use super::*;

/// Longest valid duration; sums of it and the time of day don't overflow.
const LONGEST: Micros = 1_000_000_000_000_000;

/// A key whose value prevents serving requests.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("key '{key}': {why}")]
pub struct Unservable {
    /// Path of the key within the settings object.
    pub key: String,
    /// What is wrong with the value.
    pub why: String,
}

type Checked = Result<(), Unservable>;

fn wrong(key: impl Into<String>, why: impl Into<String>) -> Checked {
    Err(Unservable { key: key.into(), why: why.into() })
}

fn span(key: &str, value: Micros, least: Micros) -> Checked {
    if (least..=LONGEST).contains(&value) {
        return Ok(());
    }
    wrong(key, format!("{value} microseconds are not possible here; {least} to {LONGEST} are"))
}

/// Checks that a number is at least 0.
fn amount(key: &str, value: f64) -> Checked {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    wrong(key, format!("{value} is not possible here; a number from 0 on is"))
}

/// Checks that a number is greater than 0.
fn size(key: &str, value: f64) -> Checked {
    if value.is_finite() && value > 0.0 {
        return Ok(());
    }
    wrong(key, format!("{value} is not possible here; a number above 0 is"))
}

/// Checks that requests can carry the names in a list and that the names are unique.
fn names<'a>(list: &str, each: impl Iterator<Item = &'a str>, fits: impl Fn(&str) -> bool) -> Checked {
    let mut before = Vec::new();
    for (i, name) in each.enumerate() {
        let key = || format!("{list}[{i}].name");
        if !fits(name) {
            return wrong(key(), format!("'{name}' cannot be named by a request"));
        }
        if before.contains(&name) {
            return wrong(key(), format!("'{name}' stands here twice; requests could not tell them apart"));
        }
        before.push(name);
    }
    Ok(())
}

impl Profile {
    /// Checks that requests can be served with these settings where discovery pushes the node lists.
    ///
    /// # Errors
    /// The first key whose value is invalid.
    pub fn check(&self) -> Checked {
        self.check_classes()?;
        self.check_plans()?;
        self.check_place()?;
        self.check_limits()?;
        self.check_family()?;
        self.check_rules()?;
        amount("fees.waste", self.fees.waste)
    }

    fn check_classes(&self) -> Checked {
        if self.classes.is_empty() {
            return wrong("classes", "there is no class; requests could not be told apart");
        }
        // A class stands in the path, between two slashes.
        let in_a_path = |name: &str| {
            !name.is_empty() && name.bytes().all(|b| b.is_ascii_graphic() && !b"/?#".contains(&b))
        };
        names("classes", self.classes.iter().map(|c| c.name.as_str()), in_a_path)?;
        for (i, class) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("classes[{i}].{name}");
            span(&key("targetUs"), class.target_us, 1)?;
            span(&key("deadlineUs"), class.deadline_us, 1)?;
            amount(&key("aimStretch"), class.aim_stretch.unwrap_or(0.0))?;
            amount(&key("worth"), class.worth)?;
            amount(&key("lateValue"), class.late_value)?;
            match class.idempotency.as_str() {
                "read_like" | "non_idempotent" => {}
                "idempotency_key" => {
                    span(&key("keyTtlUs"), class.key_ttl_us.unwrap_or(0), 1)?;
                    if let Some(word) = &class.group
                        && !["all", "zone", "cell"].contains(&word.as_str())
                    {
                        return wrong(
                            key("group"),
                            format!("unknown word '{word}'; all, zone or cell is wanted"),
                        );
                    }
                }
                word => {
                    let wanted = "read_like, idempotency_key or non_idempotent is wanted";
                    return wrong(key("idempotency"), format!("unknown word '{word}'; {wanted}"));
                }
            }
        }
        Ok(())
    }

    fn check_plans(&self) -> Checked {
        if self.policies.is_empty() {
            return wrong("policies", "there is no plan; volumes belong to one");
        }
        // A plan stands in a header, whose ends are trimmed.
        let in_a_header =
            |name: &str| !name.is_empty() && name.trim() == name && !name.chars().any(char::is_control);
        names("policies", self.policies.iter().map(|p| p.name.as_str()), in_a_header)?;
        for (i, plan) in self.policies.iter().enumerate() {
            let key = |name: &str| format!("policies[{i}].{name}");
            amount(&key("usualRate"), plan.usual_rate)?;
            amount(&key("floorRate"), plan.floor_rate)?;
            amount(&key("ceilingRate"), plan.ceiling_rate)?;
            amount(&key("limitBurst"), plan.limit_burst)?;
            amount(&key("capSlack"), plan.cap_slack)?;
            amount(&key("shares"), plan.shares)?;
            amount(&key("price"), plan.price)?;
            if plan.ceiling_rate > 0.0 && plan.limit_burst + plan.cap_slack < 1.0 {
                return wrong(
                    key("limitBurst"),
                    "not even a request of one unit passes this limit; with capSlack it has to hold one",
                );
            }
        }
        Ok(())
    }

    fn check_place(&self) -> Checked {
        if self.peers_total == 0 {
            return wrong("peersTotal", "this gateway counts as well; 1 or more is wanted");
        }
        if self.index >= self.peers_total {
            return wrong(
                "index",
                format!("{} is not possible among {}, counted from 0", self.index, self.peers_total),
            );
        }
        match self.discovery.as_str() {
            "push" => Ok(()),
            "ask" => wrong(
                "discovery",
                "lists that have to be asked for ('ask') are not served: this gateway follows a watch ('push')",
            ),
            word => wrong("discovery", format!("unknown word '{word}'; push is wanted")),
        }
    }

    fn check_limits(&self) -> Checked {
        let limits = &self.policy_limits;
        if limits.send_cap == 0 {
            return wrong("policyLimits.sendCap", "without an attempt no request is served");
        }
        span("policyLimits.maxRetryAfterUs", limits.max_retry_after_us, 0)?;
        span("policyLimits.connIdleUs", limits.conn_idle_us.unwrap_or(1), 1)?;
        span("policyLimits.connectTimeoutUs", limits.connect_timeout_us.unwrap_or(1), 1)
    }

    fn check_family(&self) -> Checked {
        let family = &self.family_info;
        amount("familyInfo.coldBears", family.cold_bears.unwrap_or(0.0))?;
        size("familyInfo.largest", family.largest.unwrap_or(1.0))?;
        size("familyInfo.meanUnits", family.mean_units.unwrap_or(1.0))?;
        amount("familyInfo.fairWorth", family.fair_worth.unwrap_or(1.0))?;
        amount("familyInfo.idleWorth", family.idle_worth.unwrap_or(1.0))?;
        if family.slots_total == Some(0) {
            return wrong("familyInfo.slotsTotal", "without a shard there is no data");
        }
        if family.writes.len() != self.classes.len() {
            let (told, classes) = (family.writes.len(), self.classes.len());
            return wrong(
                "familyInfo.writes",
                format!(
                    "tells of {told} classes, and there are {classes}; reads and writes are told apart by it"
                ),
            );
        }
        Ok(())
    }

    fn check_rules(&self) -> Checked {
        let rules = &self.rules;
        if !(0.0..=1.0).contains(&rules.cold_from) {
            return wrong("rules.coldFrom", format!("{} is not possible here; 0 to 1 is", rules.cold_from));
        }
        span("rules.warmUpUs", rules.warm_up_us, 0)?;
        span("rules.fallUs", rules.fall_us, 0)?;
        span("rules.drainGraceUs", rules.drain_grace_us, 0)?;
        span("rules.orderSettleUs", rules.order_settle_us.unwrap_or(0), 0)?;
        let (spare, share) = (rules.spare_attempts.unwrap_or(0.0), rules.resend_ratio.unwrap_or(0.0));
        amount("rules.spareAttempts", spare)?;
        amount("rules.resendRatio", share)?;
        // A budget without a span to count it in counts nothing.
        let counted = spare > 0.0 || share > 0.0;
        span("rules.lookBackUs", rules.look_back_us.unwrap_or(0), Micros::from(counted))
    }
}
