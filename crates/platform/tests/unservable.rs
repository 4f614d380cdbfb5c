//! Which configurations are rejected, with an error that names the file and the key, and which are accepted.

mod common;

use common::*;
use platform::Config;
use serde_json::{Value, json};

fn valid_config() -> Value {
    let known = node_list(1, true, &[list_entry("a", address(100), 0, "in_service")]);
    serde_json::from_str(&config_text(address(1), 256, &known)).expect("a configuration")
}

/// Sets the value at a key, written as in error messages, or removes the key.
fn set_value(config: &mut Value, key: &str, value: Option<Value>) {
    let pointer = format!("/{}", key.replace(['.', '['], "/").replace(']', ""));
    let (parent, name) = pointer.rsplit_once('/').expect("a pointer");
    let parent = config.pointer_mut(parent).expect(key);
    match (parent, value) {
        (Value::Object(map), Some(value)) => drop(map.insert(name.to_owned(), value)),
        (Value::Object(map), None) => assert!(map.remove(name).is_some(), "{key}"),
        (Value::Array(list), Some(value)) => list[name.parse::<usize>().expect(key)] = value,
        (parent, value) => panic!("{key}: {parent} {value:?}"),
    }
}

fn parse_result(config: &Value) -> String {
    match Config::parse("/etc/customer.json", config.to_string().as_bytes()) {
        Ok(_) => "taken".to_owned(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn invalid_configurations_are_rejected_with_file_and_key() {
    let no_limit = json!({"name": "plain", "usualRate": 50.0, "floorRate": 0.0, "ceilingRate": 10.0, "limitBurst": 0.5,
                          "capSlack": 0.25, "shares": 1.0, "price": 1.0});
    let cases: Vec<(&str, Option<Value>)> = vec![
        ("listen", Some(json!("127.0.0.1"))),
        ("listen", Some(json!(""))),
        ("discovery", Some(json!("discovery.internal:8500"))),
        ("discovery", Some(json!("127.0.0.1:0"))),
        ("discovery", Some(json!("127.0.0.1:70000"))),
        ("seed", Some(json!(""))),
        ("seed", Some(json!("10112233445566778"))),
        ("known", Some(json!([]))),
        ("limits.cores", Some(json!(0.0))),
        ("limits.cores", Some(json!(-1))),
        ("limits.memory_mb", Some(json!(0))),
        ("limits.memory_mb", Some(json!(15))),
        ("limits.memory_mb", Some(json!(-64))),
        ("limits.sockets", Some(json!(0))),
        ("limits.sockets", Some(json!(31))),
        ("limits.sockets", Some(json!(-1))),
        ("settings.classes", Some(json!([]))),
        ("settings.classes[0].name", Some(json!(""))),
        ("settings.classes[0].name", Some(json!("a/b"))),
        ("settings.classes[0].name", Some(json!("a b"))),
        ("settings.classes[1].name", Some(json!("look"))),
        ("settings.classes[0].targetUs", Some(json!(0))),
        ("settings.classes[0].targetUs", None),
        ("settings.classes[1].deadlineUs", Some(json!(0))),
        ("settings.classes[1].deadlineUs", Some(json!(-500_000))),
        ("settings.classes[1].deadlineUs", Some(json!(i64::MAX))),
        ("settings.classes[1].deadlineUs", Some(json!(150.5))),
        ("settings.classes[0].worth", Some(json!(-1.0))),
        ("settings.classes[0].worth", Some(json!("NaN"))),
        ("settings.classes[0].lateValue", Some(json!(-0.1))),
        ("settings.classes[0].aimStretch", Some(json!(-1.0))),
        ("settings.classes[0].idempotency", Some(json!("once"))),
        ("settings.classes[0].idempotency", None),
        ("settings.classes[1].group", Some(json!("rack"))),
        ("settings.classes[1].keyTtlUs", Some(json!(0))),
        ("settings.classes[1].keyTtlUs", Some(json!(-1))),
        ("settings.classes[1].keyTtlUs", None),
        ("settings.policies", Some(json!([]))),
        ("settings.policies[0].name", Some(json!(""))),
        ("settings.policies[1].name", Some(json!("plain"))),
        ("settings.policies[0].usualRate", Some(json!(-1.0))),
        ("settings.policies[0].floorRate", Some(json!(-1.0))),
        ("settings.policies[0].ceilingRate", Some(json!(-1.0))),
        ("settings.policies[0].limitBurst", Some(json!(-1.0))),
        ("settings.policies[0].capSlack", Some(json!(-1.0))),
        ("settings.policies[0].shares", Some(json!(-1.0))),
        ("settings.policies[0].price", Some(json!(-1.0))),
        ("settings.peersTotal", Some(json!(0))),
        ("settings.index", Some(json!(1))),
        ("settings.discovery", Some(json!("ask"))),
        ("settings.discovery", Some(json!("dns"))),
        ("settings.policyLimits.sendCap", Some(json!(0))),
        ("settings.policyLimits.maxRetryAfterUs", Some(json!(-1))),
        ("settings.policyLimits.connIdleUs", Some(json!(0))),
        ("settings.policyLimits.connectTimeoutUs", Some(json!(0))),
        ("settings.familyInfo.coldBears", Some(json!(-1.0))),
        ("settings.familyInfo.largest", Some(json!(0))),
        ("settings.familyInfo.meanUnits", Some(json!(0.0))),
        ("settings.familyInfo.fairWorth", Some(json!(-0.5))),
        ("settings.familyInfo.idleWorth", Some(json!(-0.5))),
        ("settings.familyInfo.slotsTotal", Some(json!(0))),
        ("settings.familyInfo.writes", Some(json!([false]))),
        ("settings.familyInfo.writes", None),
        ("settings.rules.coldFrom", Some(json!(1.5))),
        ("settings.rules.warmUpUs", Some(json!(-1))),
        ("settings.rules.fallUs", Some(json!(-1))),
        ("settings.rules.drainGraceUs", Some(json!(-1))),
        ("settings.rules.orderSettleUs", Some(json!(-1))),
        ("settings.rules.spareAttempts", Some(json!(-1.0))),
        ("settings.rules.resendRatio", Some(json!(-1.0))),
        ("settings.fees.waste", Some(json!(-0.1))),
    ];
    for (key, value) in cases {
        let mut config = valid_config();
        set_value(&mut config, key, value.clone());
        let result = parse_result(&config);
        assert!(
            result.starts_with(&format!("/etc/customer.json: key '{key}': ")),
            "{key}, {value:?}: {result}"
        );
    }
    // Conflicts between two keys.
    for (key, changes) in [
        ("settings.policies[0].limitBurst", vec![("settings.policies[0]", no_limit)]),
        ("settings.rules.lookBackUs", vec![("settings.rules.resendRatio", json!(0.1))]),
    ] {
        let mut config = valid_config();
        changes.into_iter().for_each(|(at, value)| set_value(&mut config, at, Some(value)));
        let result = parse_result(&config);
        assert!(result.starts_with(&format!("/etc/customer.json: key '{key}': ")), "{key}: {result}");
    }
    // A missing key is reported with the table that lacks it.
    for (table, name) in [("limits", "sockets"), ("limits", "memory_mb"), ("limits", "cores")] {
        let mut config = valid_config();
        set_value(&mut config, &format!("{table}.{name}"), None);
        let result = parse_result(&config);
        assert!(result.contains(&format!("key '{table}'")) && result.contains(name), "{result}");
    }
    for name in ["name", "listen", "discovery", "seed", "limits", "known", "settings"] {
        let mut config = valid_config();
        set_value(&mut config, name, None);
        let result = parse_result(&config);
        assert!(
            result.starts_with("/etc/customer.json: ") && result.contains(&format!("`{name}`")),
            "{result}"
        );
    }
    // JSON has no notation for such numbers; one that is too large is rejected as well.
    for figure in ["NaN", "Infinity", "-Infinity", "1e999", "null"] {
        let text = valid_config().to_string().replacen("\"worth\":2.0", &format!("\"worth\":{figure}"), 1);
        let error = Config::parse("/etc/customer.json", text.as_bytes()).expect_err(figure).to_string();
        assert!(error.starts_with("/etc/customer.json: key 'settings"), "{figure}: {error}");
    }
}

#[test]
fn unusual_but_valid_configurations_are_accepted() {
    let taken: Vec<Vec<(&str, Option<Value>)>> = vec![
        vec![],
        // The platform's own example: keys that a class doesn't need, and unknown keys.
        vec![
            ("settings.classes[0].group", Some(json!("all"))),
            ("settings.classes[0].keyTtlUs", Some(json!(5_000_000))),
        ],
        vec![
            ("settings.classes[0].group", Some(json!("rack"))),
            ("settings.classes[0].keyTtlUs", Some(json!(0))),
        ],
        vec![("settings.tickUs", Some(json!(2000))), ("settings.layers", Some(json!(["store"])))],
        vec![
            ("settings.classes[1].idempotency", Some(json!("non_idempotent"))),
            ("settings.classes[1].keyTtlUs", None),
        ],
        vec![
            ("settings.classes[1].group", Some(json!("all"))),
            ("settings.classes[1].keyTtlUs", Some(json!(1))),
        ],
        vec![("settings.classes[0].targetUs", Some(json!(2_000_000)))],
        vec![("settings.classes[0].deadlineUs", Some(json!(150_000)))],
        vec![("settings.classes[0].deadlineUs", Some(json!(5_000_000)))],
        vec![("settings.rules.drainGraceUs", Some(json!(0)))],
        vec![("settings.rules.coldFrom", Some(json!(0.0))), ("settings.rules.fallUs", Some(json!(0)))],
        vec![("settings.rules.lookBackUs", Some(json!(5_000_000)))],
        vec![
            ("settings.rules.spareAttempts", Some(json!(0.0))),
            ("settings.rules.resendRatio", Some(json!(0.0))),
        ],
        vec![
            ("settings.policies[0].ceilingRate", Some(json!(0.5))),
            ("settings.policies[0].limitBurst", Some(json!(1.0))),
        ],
        vec![("settings.policyLimits.connIdleUs", None), ("settings.policyLimits.connectTimeoutUs", None)],
        vec![
            ("settings.familyInfo.coldBears", Some(Value::Null)),
            ("settings.familyInfo.slotsTotal", Some(Value::Null)),
        ],
        vec![
            ("limits.sockets", Some(json!(32))),
            ("limits.memory_mb", Some(json!(16))),
            ("limits.cores", Some(json!(0.05))),
        ],
        vec![("known", Some(node_list(0, true, &[])))],
    ];
    for changes in taken {
        let mut config = valid_config();
        changes.iter().for_each(|(key, value)| set_value(&mut config, key, value.clone()));
        assert_eq!(parse_result(&config), "taken", "{changes:?}");
    }
}
