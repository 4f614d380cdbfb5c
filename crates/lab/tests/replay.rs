//! A bench day of our own making, mapped: each trouble is played or named.

use lab::map_day;
use settings::{Site, TroubleKind};

fn day(troubles: &str) -> String {
    format!(
        r#"{{"site":"s","length":40000000,"noise":5,"traffic":{{"load":0.6}},
        "servers":[{{"speed":1.0}},{{"speed":0.6}},{{"speed":1.0}},{{"speed":0.9}}],"balancers":[{{}},{{}}],
        "classes":[
          {{"name":"r","share":0.6,"aim":150000,"deadline":750000,"worth":2,"late_worth":0.1,"effect":"safe","write":false}},
          {{"name":"s","share":0.1,"aim":500000,"deadline":2000000,"worth":1,"late_worth":0.1,"effect":"safe","write":false}},
          {{"name":"w","share":0.3,"aim":250000,"deadline":1500000,"worth":2,"late_worth":0.1,"effect":"keyed",
            "window":2500000,"write":true,"in_order":true}}],
        "fam":{{"mean_units":2,"most_units":8,"plans":[
          {{"limit":30,"limit_burst":48,"price":1,"rate":4,"reserve":2,"slack":8,"weight":1}},
          {{"limit":0,"limit_burst":0,"price":1.2,"rate":8,"reserve":9,"slack":0,"weight":3}}]}},
        "discovery":{{"notice":1000000}},"drain_grace":1000000,"fall_multiple":3,"fall_for":2000000,
        "budget":{{"share":0.15,"free":3,"window":5000000}},"order_settle":200000,"troubles":[{troubles}]}}"#
    )
}

fn trouble(kind: &str, on: &str) -> String {
    format!(
        r#"{{"kind":"{kind}","at":10000000,"len":8000000,"size":0.5,"extra":2.0,"on":[{on}],"which":1,
        "steps":[{{"at":10000000,"stop":[0],"start":[]}}]}}"#
    )
}

fn mapped(text: &str) -> lab::Mapped {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("day.json");
    std::fs::write(&file, text).unwrap();
    map_day(&file, 20.0).expect("a bench day")
}

#[test]
fn each_known_trouble_is_played_at_half_the_time_by_a_day_that_is_well_formed() {
    let kinds = [
        ("crash", Some(TroubleKind::Die)),
        ("mass_restart", Some(TroubleKind::Die)),
        ("vanish", Some(TroubleKind::Silent)),
        ("slow", Some(TroubleKind::Slow)),
        ("ageing", Some(TroubleKind::Slow)),
        ("fast_errors", Some(TroubleKind::Fail)),
        ("pauses", Some(TroubleKind::Stall)),
        ("neighbour", Some(TroubleKind::Slow)),
        ("balancer_stall", Some(TroubleKind::StallGateway)),
        ("balancer_roll", Some(TroubleKind::KillGateway)),
        ("reconnect", Some(TroubleKind::Leave)),
        ("discovery_stale", Some(TroubleKind::LateList)),
        ("burst", None),
        ("tenant_burst", None),
        ("hot_key", None),
    ];
    for (kind, what) in kinds {
        let done = mapped(&day(&trouble(kind, "1,7")));
        assert_eq!((done.mapped.len(), done.unmapped.len()), (1, 0), "{kind}");
        let site = Site::parse(&done.toml).unwrap_or_else(|p| panic!("{kind}: {p:?}\n{}", done.toml));
        match what {
            Some(what) => {
                let first = site.trouble.iter().find(|t| t.what == what).unwrap_or_else(|| panic!("{kind}"));
                assert!((first.at_s - 5.0).abs() < 0.01, "{kind} at {}", first.at_s);
            }
            None => assert!(site.client.iter().any(|c| c.phases.iter().any(|p| p.factor != 1.0)), "{kind}"),
        }
    }
}

#[test]
fn troubles_that_cannot_be_played_are_named() {
    let both = format!("{},{}", trouble("retry_abuse", ""), trouble("comet", ""));
    let done = mapped(&day(&both));
    assert_eq!(done.mapped.len(), 0);
    assert!(done.unmapped[0].starts_with("retry_abuse at 5.0 s"), "{:?}", done.unmapped);
    assert!(done.unmapped[1].starts_with("comet at 5.0 s"), "{:?}", done.unmapped);
}

#[test]
fn what_is_no_bench_day_is_told_with_its_file() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("day.json");
    for text in ["", "{}", "[1]"] {
        std::fs::write(&file, text).unwrap();
        let error = map_day(&file, 20.0).unwrap_err().to_string();
        assert!(error.contains("day.json"), "{error}");
    }
}
