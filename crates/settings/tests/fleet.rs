//! Problems of the fleet's tables are told with line and key.

use settings::{Problem, Site};

const GOOD: &str = include_str!("../../gateway/tests/site.toml");
const TABLES: &str = "
[fleet]
period_ms = 100

[repeats]
share = 0.2

[candidate]
number = 3
slice = 0.5
parts = { ledger = 1.0 }

[[candidate.volume]]
name = \"ledger\"
extent_blocks = 8
shards = [0, 1]
moved = [{ first = 1, last = 1, shard = 0 }]
";

fn text() -> String {
    GOOD.to_owned() + TABLES
}

fn problems(text: &str) -> Vec<Problem> {
    Site::parse(text).expect_err("it has problems")
}

#[test]
fn tables_with_their_defaults_are_well_formed() {
    let site = Site::parse(&text()).expect("well formed");
    let fleet = site.fleet.expect("a table");
    assert_eq!((fleet.period_ms, fleet.fanout, fleet.exchange), (100, 3, 10));
    assert_eq!(site.repeats.expect("a table").window_ms, 1000);
    assert_eq!(site.candidate.expect("a table").node_rate, 50.0);
}

#[test]
fn each_wrong_value_is_told_with_its_line_and_key() {
    let cases = [
        ("period_ms = 100", "period_ms = 1", "fleet.period_ms"),
        ("period_ms = 100", "suspicion = [2, 5]", "fleet.suspicion"),
        ("share = 0.2", "recovering_share = 0.3", "repeats.recovering_share"),
        ("share = 0.2", "drift = 0.6", "repeats.drift"),
        ("number = 3", "number = 0", "candidate.number"),
        ("slice = 0.5", "slice = 1.5", "candidate.slice"),
        ("parts = { ledger = 1.0 }", "parts = { letters = 1.0 }", "candidate.parts.letters"),
        (
            "extent_blocks = 8\nshards = [0, 1]\nmoved",
            "extent_blocks = 16\nshards = [0, 1]\nmoved",
            "candidate.volume[0].extent_blocks",
        ),
        ("shards = [0, 1]\nmoved", "shards = [0, 9]\nmoved", "candidate.volume[0].shards[1]"),
        ("last = 1, shard = 0", "last = 999999, shard = 0", "candidate.volume[0].moved[0].first"),
        ("last = 1, shard = 0", "last = 1, shard = 7", "candidate.volume[0].moved[0].shard"),
        (
            "last = 1, shard = 0 }",
            "last = 1, shard = 0 }, { first = 0, last = 4, shard = 1 }",
            "candidate.volume[0].moved[1].first",
        ),
    ];
    for (from, to, key) in cases {
        assert!(TABLES.contains(from), "{from}");
        let found = problems(&(GOOD.to_owned() + &TABLES.replacen(from, to, 1)));
        let told = found.iter().find(|p| p.key == key);
        assert!(told.is_some_and(|p| p.line > GOOD.lines().count()), "{to}: {found:?}");
    }
}

#[test]
fn a_cap_or_a_candidate_without_the_view_is_told_what_to_do() {
    let found = problems(&text().replacen("[fleet]\nperiod_ms = 100\n", "", 1));
    for table in ["repeats", "candidate"] {
        let told = found.iter().find(|p| p.key == table).expect("it is told");
        assert!(told.what.contains("add [fleet]"), "{told}");
    }
}

#[test]
fn a_volume_left_out_and_one_there_twice_are_named() {
    let found = problems(&text().replacen("name = \"ledger\"\nextent", "name = \"letters\"\nextent", 1));
    assert!(found.iter().any(|p| p.key == "candidate.volume[0].name" && p.what.contains("letters")));
    assert!(found.iter().any(|p| p.key == "candidate.volume" && p.what.contains("ledger")), "{found:?}");
}

#[test]
fn gateways_of_a_fleet_need_an_address_for_their_peers() {
    let two = text().replacen("name = \"gw1\"\n", "name = \"gw1\"\n\n[[gateway]]\nname = \"gw2\"\n", 1);
    let found = problems(&two);
    let keys: Vec<&str> = found.iter().map(|p| p.key.as_str()).collect();
    assert_eq!(keys, ["gateway[0].peer", "gateway[1].peer"], "{found:?}");
    assert!(found[0].what.contains("[fleet]"));
}
