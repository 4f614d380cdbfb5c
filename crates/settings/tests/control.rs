//! Problems of the control plane's tables are told with line and key, and good ones mean what they say.

use settings::{Problem, Site};

const GOOD: &str = include_str!("../../gateway/tests/site.toml");
const TABLES: &str = "
[control]
region = 1
spread_ms = 500
beat_ms = 200
rate_bytes = 1048576

[[control.machine]]
name = \"c1\"
region = 1
listen = \"127.0.0.1:9001\"
writer = true

[[control.machine]]
name = \"c2\"
region = 1
listen = \"127.0.0.1:9002\"

[[control.machine]]
name = \"c3\"
region = 2
listen = \"127.0.0.1:9003\"
writer = true

[[gateway]]
name = \"gw2\"
listen = \"127.0.0.1:9010\"
region = 2
";

fn text() -> String {
    GOOD.to_owned() + TABLES
}

fn problems(text: &str) -> Vec<Problem> {
    Site::parse(text).expect_err("it has problems")
}

/// The problems once this stands in place of that, and the line at which it begins.
fn with(from: &str, to: &str) -> (Vec<Problem>, usize) {
    let at = TABLES.find(from).unwrap_or_else(|| panic!("no {from}"));
    let before = GOOD.to_owned() + &TABLES[..at];
    (problems(&(before.clone() + &TABLES[at..].replacen(from, to, 1))), before.matches('\n').count() + 1)
}

#[test]
fn tables_with_their_defaults_are_well_formed() {
    let site = Site::parse(&text()).expect("well formed");
    let control = site.control.expect("a table");
    assert_eq!((control.region, control.spread_ms, control.beat_ms), (1, 500, 200));
    assert_eq!((control.silence_ms, control.machine_spread_ms), (15_000, 200));
    assert_eq!((control.subscribers, control.rate_bytes), (1500, 1 << 20));
    let writers: Vec<&str> = control.machine.iter().filter(|m| m.writer).map(|m| m.name.as_str()).collect();
    assert_eq!(writers, ["c1", "c3"]);
    assert_eq!(site.gateway.iter().map(|g| g.region).collect::<Vec<_>>(), [None, Some(2)]);
}

#[test]
fn each_wrong_figure_is_told_with_its_line_and_key() {
    let cases = [
        ("spread_ms = 500", "spread_ms = 600001", "spread_ms"),
        ("spread_ms = 500", "machine_spread_ms = 600001", "machine_spread_ms"),
        ("beat_ms = 200", "beat_ms = 9", "beat_ms"),
        ("beat_ms = 200", "beat_ms = 2501", "beat_ms"),
        ("beat_ms = 200", "silence_ms = 3999", "silence_ms"),
        ("beat_ms = 200", "silence_ms = 4294967295", "silence_ms"),
        ("beat_ms = 200", "pause_ms = 0", "pause_ms"),
        ("beat_ms = 200", "subscribers = 0", "subscribers"),
        ("beat_ms = 200", "unsent_bytes = 4095", "unsent_bytes"),
        ("beat_ms = 200", "entries = 0", "entries"),
        ("beat_ms = 200", "state_bytes = 0", "state_bytes"),
        ("rate_bytes = 1048576", "rate_bytes = 65535", "rate_bytes"),
    ];
    for (from, to, key) in cases {
        let (found, line) = with(from, to);
        let keys: Vec<&str> = found.iter().map(|p| p.key.as_str()).collect();
        assert_eq!(keys, [format!("control.{key}")], "{to}: {found:?}");
        assert_eq!(found[0].line, line, "{to}: {found:?}");
    }
}

#[test]
fn each_wrong_machine_is_told_with_its_line_and_key() {
    let cases = [
        ("name = \"c2\"", "name = \"c1\"", "machine[1].name", "a second control.machine"),
        ("name = \"c2\"", "name = \"gw1\"", "machine[1].name", "a [[gateway]] is named 'gw1' too"),
        ("name = \"c2\"", "name = \"c 2\"", "machine[1].name", "is no name"),
        ("127.0.0.1:9002", "127.0.0.1:9001", "machine[1].listen", "control machine c1 already"),
        ("127.0.0.1:9002", "127.0.0.1:9010", "machine[1].listen", "gateway gw2 already"),
        ("127.0.0.1:9002", "127.0.0.1:0", "machine[1].listen", "0 is none"),
        ("9003\"\nwriter = true", "9003\"\nwriter = false", "machine[2].writer", "region 2 has no writer"),
        ("9002\"\n", "9002\"\nwriter = true\n", "machine[1].writer", "a writer already, c1"),
        ("9003\"\n", "9003\"\nwriters = true\n", "machine[2].writers", "unknown field"),
        ("listen = \"127.0.0.1:9002\"", "listen = \"here\"", "machine[1].listen", "socket address"),
    ];
    for (from, to, key, what) in cases {
        let (found, line) = with(from, to);
        let key = format!("control.{key}");
        let told = found.iter().find(|p| p.key == key).unwrap_or_else(|| panic!("{to}: {found:?}"));
        assert!(told.what.contains(what), "{to}: {told}");
        assert!((line..=line + 1).contains(&told.line), "{to}: {told}, not {line}");
    }
}

#[test]
fn a_region_without_machines_is_told_where_it_is_named() {
    let (found, line) = with("region = 1\nspread", "region = 7\nspread");
    assert_eq!((found[0].line, found[0].key.as_str()), (line, "control.region"), "{found:?}");
    assert!(found[0].what.contains("no [[control.machine]] is of region 7; there are some of 1, 2"));
    let (found, _) =
        with("listen = \"127.0.0.1:9010\"\nregion = 2", "listen = \"127.0.0.1:9010\"\nregion = 9");
    assert_eq!(found[0].key, "gateway[1].region", "{found:?}");
    let (found, _) = with("region = 2\nlisten", "region = 0\nlisten");
    let keys: Vec<&str> = found.iter().map(|p| p.key.as_str()).collect();
    assert_eq!(keys, ["control.machine[2].region", "gateway[1].region"], "{found:?}");
}

#[test]
fn a_table_without_machines_and_a_region_without_the_table_are_told_what_to_do() {
    let found = problems(&(GOOD.to_owned() + "\n[control]\nregion = 1\n"));
    assert_eq!(found.len(), 1, "{found:?}");
    assert!(found[0].what.contains("at least one [[control.machine]] is needed"), "{found:?}");
    let found = problems(&GOOD.replacen("name = \"gw1\"\n", "name = \"gw1\"\nregion = 1\n", 1));
    assert_eq!(found.iter().map(|p| p.key.as_str()).collect::<Vec<_>>(), ["gateway[0].region"], "{found:?}");
    assert!(found[0].what.contains("add [control]"), "{found:?}");
}

#[test]
fn machines_and_gateways_are_told_what_the_tables_say() {
    let site = Site::parse(&text()).expect("well formed");
    let table = site.control.clone().expect("a table");
    let run = table.machine_run(site.number(), 1, "c2.state".into());
    assert_eq!((run.name.0.as_str(), run.listen.port()), ("c2", 9002));
    let places: Vec<_> = run.machines.iter().map(|m| (m.name.0.as_str(), m.region.0, m.writer)).collect();
    assert_eq!(places, [("c1", 1, true), ("c2", 1, false), ("c3", 2, true)]);
    assert_eq!((run.feed.rate, run.beat, run.spread), (1 << 20, 200_000, 200_000));
    assert_eq!(run.addresses.values().map(|a| a.port()).collect::<Vec<_>>(), [9001, 9002, 9003]);
    // Machines of a gateway's own region come first, and it follows all regions.
    let follows = |index: usize| {
        let options = site.follow_options(index, "state".into(), 7).expect("it follows");
        let names = |of: &[peer::PeerName]| of.iter().map(|m| m.0.clone()).collect::<Vec<_>>().join(" ");
        let regions = options.link.regions.iter().map(|r| r.0).collect::<Vec<_>>();
        assert_eq!((regions, options.link.spread, options.link.site), (vec![1, 2], 500_000, run.site));
        (options.name.0, names(&options.link.near), names(&options.link.far), options.seed)
    };
    let (first, second) = (follows(0), follows(1));
    assert_eq!((first.0.as_str(), first.1.as_str(), first.2.as_str()), ("gw1", "c1 c2", "c3"));
    assert_eq!((second.0.as_str(), second.1.as_str(), second.2.as_str()), ("gw2", "c3", "c1 c2"));
    assert_ne!(first.3, second.3, "gateways started with one seed do not draw the same");
    assert!(Site::parse(GOOD).expect("well formed").follow_options(0, "state".into(), 7).is_none());
}

#[test]
fn a_file_that_is_written_from_a_site_says_the_same() {
    let site = Site::parse(&text()).expect("well formed");
    assert_eq!(Site::parse(&toml::to_string(&site).expect("a text")).expect("well formed"), site);
}
