//! Gateways as processes that try a candidate shard map in the shadow.

mod common;

use common::process::until;
use common::stage::{self, NODES, Stage, hurried};
use gateway::{ShadowStatus, Status};
use load::{Found, Host};
use relay::{Side, What};
use rustix::process::Signal;
use shadow::{Enough, Lost};

const GATEWAYS: [&str; 3] = ["g1", "g2", "g3"];

/// Extents of 8 blocks lie on shards 0 and 1 in turn; these two are to move from shard 0 to shard 1.
fn candidate(number: u64, extents: [u64; 2]) -> String {
    let moved: Vec<String> =
        extents.iter().map(|e| format!("{{ first = {e}, last = {e}, shard = 1 }}")).collect();
    format!(
        "[candidate]\nnumber = {number}\nslice = 1.0\nnode_rate = 300.0\n\n[[candidate.volume]]\nname = \"ledger\"\n\
         extent_blocks = 8\nshards = [0, 1]\nmoved = [{}]\n\n",
        moved.join(", ")
    )
}

fn site(candidate: &str) -> String {
    let tables = "[fleet]\nperiod_ms = 100\n\n[repeats]\nfree = 60.0\nfleet_free = 120.0\n\n[link]\nkeep_alive_ms = 1000\n\n";
    hurried(stage::site(&GATEWAYS, &format!("{tables}{candidate}")), 1000)
}

fn lit(candidate: &str) -> Stage {
    let mut stage = Stage::dark(&GATEWAYS, &site(candidate));
    NODES.into_iter().for_each(|n| stage.node(n, &[]));
    GATEWAYS.into_iter().for_each(|g| stage.gateway(g));
    stage
}

fn trial(status: &Status) -> &ShadowStatus {
    status.shadow.as_ref().expect("it tries a candidate")
}

/// Reads the first three extents through all gateways, as clients do, until this is so.
fn read_until(stage: &mut Stage, hosts: &[Host], what: &str, done: impl Fn(&Stage) -> bool) {
    let mut block = 0;
    until(what, || {
        for host in hosts {
            block = (block + 5) % 24;
            stage.read_served(host, block);
        }
        done(stage)
    });
}

#[test]
fn an_extent_that_is_wrong_in_the_candidate_is_found_and_no_other_and_clients_read_what_is_right() {
    let mut stage = lit(&candidate(1, [0, 2]));
    let hosts: Vec<Host> = GATEWAYS.into_iter().map(|g| stage.host(g)).collect();
    // Extent 0 has data where it lies, and none where the candidate puts it; extent 2 is empty in both places.
    let token = stage.write_served(&hosts[0], 3);
    read_until(&mut stage, &hosts, "all hold the same verdict", |stage| {
        GATEWAYS.iter().all(|g| {
            let status = stage.status(g);
            let v = &trial(&status).verdict;
            let same = v.extents.iter().any(|e| e.extent == 2 && e.results.same > 0);
            same && v.enough == Enough::Wrong(vec![(1, 0)]) && v.gateways == 3
        })
    });
    let status = stage.status("g2");
    let verdict = &trial(&status).verdict;
    let example = verdict.examples.first().expect("an example");
    assert_eq!((example.nsid, example.extent, example.shards), (1, 0, (0, 1)));
    assert_eq!(example.nodes, ("node0".to_owned(), "node1".to_owned()));
    assert!(verdict.extents.iter().all(|e| e.extent == 0 || e.results.different == 0), "{verdict:#?}");
    for host in &hosts {
        assert_eq!(stage.read_served(host, 3), Found::Written(token));
    }
    // A gateway that is killed and started again brings what it had counted, and nothing twice.
    let before = verdict.compared;
    stage.gateways.remove("g2");
    stage.gateway("g2");
    stage.until("g2", "it knows what was counted", |s| trial(s).verdict.compared >= before);
    drop(hosts);
    until("all come to the same sum", || {
        let sums: Vec<u64> = GATEWAYS.iter().map(|g| trial(&stage.status(g)).verdict.compared).collect();
        sums.iter().all(|s| *s == sums[0])
    });
}

#[test]
fn a_candidate_node_that_answers_nothing_costs_a_client_nothing() {
    let mut stage = lit(&candidate(1, [0, 2]));
    let hosts: Vec<Host> = GATEWAYS.into_iter().map(|g| stage.host(g)).collect();
    let out = |stage: &Stage, of: Lost| {
        let status = stage.status("g1");
        let looks = trial(&status).verdict.shards.iter().filter(|l| l.shard == 1);
        looks.filter_map(|l| l.lost.get(&of)).sum::<u64>()
    };
    read_until(&mut stage, &hosts, "reads are compared", |s| trial(&s.status("g1")).verdict.results.same > 0);
    // Its answers are held; the node in force answers as before.
    stage.order("*", "node1", What::Hold(Side::Back));
    let mut block = 0;
    until("copies time out", || {
        block = (block + 1) % 8;
        for host in &hosts {
            // At the first try, without advice to come again.
            stage.read(host, block).expect("it is served");
        }
        out(&stage, Lost::TimedOut) > 0
    });
    for host in &hosts {
        (0..8).for_each(|block| _ = stage.read(host, block).expect("it is served"));
    }
}

#[test]
fn another_candidate_is_tried_when_told_by_a_signal_and_a_wrong_file_leaves_the_old_one() {
    let mut stage = lit(&candidate(1, [0, 2]));
    let tell = |stage: &Stage, candidate: &str| {
        std::fs::write(stage.path("site.toml"), site(candidate)).expect("a file");
        GATEWAYS.iter().for_each(|g| stage.gateways[g].signal(Signal::HUP));
    };
    let digest = trial(&stage.status("g1")).digest.clone();
    tell(&stage, &candidate(2, [2, 4]));
    for gateway in GATEWAYS {
        stage.until(gateway, "it tries the second", |s| trial(s).number == 2 && trial(s).digest != digest);
    }
    let hosts: Vec<Host> = GATEWAYS.into_iter().map(|g| stage.host(g)).collect();
    read_until(&mut stage, &hosts, "it is compared", |s| trial(&s.status("g3")).verdict.results.same > 0);
    // An extent beyond the end.
    tell(&stage, &candidate(3, [2, 1 << 30]));
    let told = || std::fs::read_to_string(stage.path("gateways.log")).expect("a log");
    until("all say what is wrong", || told().matches("candidate.volume[0].moved[1].first").count() >= 3);
    assert!(told().contains("line "), "{}", told());
    for gateway in GATEWAYS {
        assert_eq!(trial(&stage.status(gateway)).number, 2, "{gateway}");
    }
    // None is tried any more once the table is gone.
    tell(&stage, "");
    for gateway in GATEWAYS {
        stage.until(gateway, "it tries none", |s| s.shadow.is_none());
    }
}
