//! Measurements within one process, at their smaller sizes: what they give can be taken into a report.

use std::collections::BTreeSet;

use capacity::fit::{Breaks, Fit};
use capacity::{Ask, Measure, Row, parts, processes};

fn measure(name: &str) -> Measure {
    parts::ALL.iter().find(|m| m.0 == name).expect("a measurement of that name").1
}

fn ask(look: bool) -> Ask {
    Ask { program: "none".into(), folder: "none".into(), look, seed: 1 }
}

fn is_sound(row: &Row) {
    let Row { name, points, .. } = row;
    assert!(points.len() >= 2, "{name}: {points:?}");
    assert!(points.is_sorted_by(|a, b| a.0 < b.0) && points[0].0 > 0.0, "{name}: {points:?}");
    assert!(points.iter().all(|p| p.1.is_finite() && p.1 > 0.0), "{name}: {points:?}");
    assert!(row.at >= points[points.len() - 1].0, "{name}: {points:?} beyond what is coming");
    assert!(row.how.ends_with('.'), "{name}: {}", row.how);
}

/// Without times, which no two runs have alike.
fn drawn(rows: &[Row]) -> Vec<(&str, &[(f64, f64)])> {
    let is_time = |row: &Row| row.cost.contains("time");
    rows.iter().filter(|r| !is_time(r)).map(|r| (r.name, r.points.as_slice())).collect()
}

#[test]
fn names_of_measurements_are_unique() {
    let all: Vec<&str> = parts::ALL.iter().chain(processes::ALL).map(|m| m.0).collect();
    assert_eq!(all.iter().collect::<BTreeSet<_>>().len(), all.len(), "{all:?}");
}

#[test]
fn one_sample_in_an_aim_is_lost_where_a_gateway_has_as_many_nodes_as_requests_in_it() {
    let rows = measure("law_samples")(&ask(false)).expect("calculated");
    rows.iter().for_each(is_sound);
    let breaks = |row: &Row| match Fit::of(row).expect("a slope").breaks {
        Some(Breaks::At(nodes)) => nodes.round(),
        other => panic!("{other:?}"),
    };
    let found: Vec<(&str, f64)> = rows.iter().map(|r| (r.name, breaks(r))).collect();
    assert_eq!(found, [("law_samples_aim_200_ms", 183.0), ("law_samples_aim_1_s", 917.0)]);
}

#[test]
fn the_view_of_small_fleets_costs_what_it_did_with_the_same_seed() {
    let play = || measure("fleet")(&ask(true)).expect("it settles");
    let (rows, again) = (play(), play());
    rows.iter().for_each(is_sound);
    assert_eq!(drawn(&rows), drawn(&again));
    let bytes = |name: &str| rows.iter().find(|r| r.name == name).expect("a row").points[0].1;
    assert!(bytes("fleet_merge") > bytes("fleet_rest"), "a merge tells more than rest");
}

#[test]
fn caps_of_small_fleets_cost_what_they_did_with_the_same_seed() {
    let play = || measure("repeats_members")(&ask(true)).expect("it plays");
    let (rows, again) = (play(), play());
    rows.iter().for_each(is_sound);
    assert_eq!(drawn(&rows), drawn(&again));
    // Notes go to all the others: with four times the members, 39 for 9.
    let notes = &rows.iter().find(|r| r.name == "repeats_notes").expect("a row").points;
    let growth = notes[1].1 / notes[0].1;
    assert!((3.9..4.9).contains(&growth), "{notes:?}");
}

#[test]
fn a_gateway_serves_decides_and_follows_its_list_while_it_is_measured() {
    for name in ["module", "lists", "repeats_shards"] {
        measure(name)(&ask(true)).expect("it plays").iter().for_each(is_sound);
    }
}
