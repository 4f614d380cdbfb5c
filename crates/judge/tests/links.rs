//! Links that keep what is sent, and nodes' processes that stand still: what may be held against gateways then, and what not.

mod plant;

use plant::{Plant, S, good};
use records::*;

fn kept(p: &Plant, rule: &str) -> bool {
    let report = p.judge();
    let others = report.rules.iter().filter(|r| r.0 != rule && r.1.broken > 0).count();
    assert_eq!(others, 0, "{:#?}", report.rules);
    report.rules[rule].broken == 0
}

const ONE: &str = "1 one final answer";

#[test]
fn an_answer_is_late_only_by_what_its_gateway_took() {
    // One second of patience; the answer comes after 2.5 s.
    let late = |cut: Option<(&str, &str, Micros)>| {
        let mut p = good();
        p.issue(20 * S, 7, Op::Read, 0, 1);
        p.arrive(22 * S + 400_000, 7, 0, Op::Read, 0, 1);
        p.told(22 * S + 500_000, 7, Told::Served);
        if let Some((from, to, until)) = cut {
            p.cut(from, to, 19 * S, until);
        }
        kept(&p, ONE)
    };
    assert!(!late(None), "nothing kept it");
    assert!(late(Some(("c1", "g1", 22 * S))), "the command was kept");
    assert!(late(Some(("g1", "c1", 22 * S))), "the answer was kept");
    assert!(!late(Some(("c1", "g1", 21 * S))), "it was let go in time");
    assert!(!late(Some(("c2", "g1", 22 * S))), "the link of another client");
    assert!(!late(Some(("g1", "n1", 22 * S))), "a node that cannot be reached is no reason to answer late");
}

#[test]
fn a_slow_link_takes_its_delay_both_ways_and_no_more() {
    for (answered, fine) in [(1_150_000, true), (1_400_000, false)] {
        let mut p = good();
        p.way(19 * S, "c1", "g1", false, 60_000);
        p.way(19 * S, "g1", "c1", false, 60_000);
        p.issue(20 * S, 7, Op::Read, 0, 1);
        p.told(20 * S + answered, 7, Told::Refused);
        assert_eq!(kept(&p, ONE), fine);
        p.way(19 * S + S / 2, "c1", "g1", false, 0);
        p.way(19 * S + S / 2, "g1", "c1", false, 0);
        assert!(!kept(&p, ONE), "it was fast again");
    }
}

#[test]
fn a_connection_that_ends_under_a_cut_is_no_gateways_fault_and_one_that_ends_without_is() {
    for (until, fine) in [(25 * S, true), (19 * S + S / 2, false)] {
        let mut p = good();
        p.issue(20 * S, 7, Op::Read, 0, 1);
        p.clients.push(ClientLine::Lost { t: 25 * S + 1000, token: 7, by_client: false });
        p.cut("c1", "g1", 19 * S, until);
        assert_eq!(kept(&p, ONE), fine);
    }
}

#[test]
fn a_command_without_an_answer_is_excused_only_where_the_link_kept_it_to_the_end() {
    for (until, fine) in [(24 * S, true), (21 * S, false)] {
        let mut p = good();
        p.issue(20 * S, 7, Op::Read, 0, 1);
        p.whole(24 * S + S / 2, 300, 9, 1);
        p.cut("c1", "g1", 19 * S, until);
        assert_eq!(kept(&p, ONE), fine);
    }
}

#[test]
fn an_attempt_that_a_link_or_a_node_kept_was_sent_before_its_commands_end() {
    let late = |plant: &dyn Fn(&mut Plant)| {
        let mut p = good();
        p.issue(20 * S, 7, Op::Read, 0, 1);
        p.told(20 * S + 800_000, 7, Told::Failed);
        p.arrive(23 * S + 1000, 7, 0, Op::Read, 0, 1);
        plant(&mut p);
        kept(&p, ONE)
    };
    assert!(!late(&|_| {}));
    assert!(late(&|p| p.cut("g1", "n1", 20 * S - 1000, 23 * S)));
    assert!(!late(&|p| p.cut("n1", "g1", 20 * S - 1000, 23 * S)), "the answers' way keeps no command");
    assert!(!late(&|p| p.cut("g1", "n1", 20 * S - 1000, 22 * S)), "it was let go a second before");
    assert!(late(&|p| p.stall("n1", 20 * S - 1000, 23 * S)));
    assert!(!late(&|p| p.stall("n2", 20 * S - 1000, 23 * S)));
    // One after the other: the link let go while the node stood still.
    assert!(late(&|p| {
        p.cut("g1", "n1", 20 * S - 1000, 22 * S);
        p.stall("n1", 21 * S, 23 * S);
    }));
    assert!(late(&|p| p.way(19 * S, "g1", "n1", false, 2 * S + S / 2)), "a very slow link");
}

#[test]
fn work_that_a_link_kept_is_no_work_for_a_drained_node() {
    for (cut, fine) in [(true, true), (false, false)] {
        let mut p = good();
        for (t, on) in [(0, true), (20 * S, false)] {
            let (gateway, node) = ("g1".into(), "n1".into());
            p.lines.push(DayLine::Listed { t, gateway, node, on, started: 0 });
        }
        p.issue(20 * S - 1000, 7, Op::Read, 0, 1);
        p.arrive(20 * S + 700_000, 7, 0, Op::Read, 0, 1);
        p.told(20 * S + 800_000, 7, Told::Served);
        if cut {
            p.cut("g1", "n1", 20 * S - 2000, 20 * S + 650_000);
        }
        assert_eq!(kept(&p, "3 drains"), fine);
    }
}

#[test]
fn an_answer_that_a_link_kept_was_given_before_the_next_of_its_block_went_out() {
    for (cut, fine) in [(true, true), (false, false)] {
        let mut p = good();
        p.issue(20 * S, 7, Op::Write, 50, 1);
        // Its node never answers; the gateway gives it up, and the block rests.
        p.arrive(20 * S + 2000, 7, 0, Op::Write, 50, 1);
        p.whole(20 * S + 600_000, 8, 50, 1);
        p.told(20 * S + 900_000, 7, Told::Failed);
        if cut {
            p.cut("g1", "c1", 20 * S, 20 * S + 890_000);
        }
        assert_eq!(kept(&p, "5 order"), fine);
    }
}

#[test]
fn writes_of_one_block_that_a_link_kept_come_in_any_order_once_it_lets_go() {
    for (cut, fine) in [(true, true), (false, false)] {
        let mut p = good();
        p.terms.classes[1].kind = Kind::Safe;
        p.issue(20 * S, 7, Op::Write, 50, 1);
        p.told(21 * S, 7, Told::Failed);
        p.issue(21 * S + 100_000, 8, Op::Write, 50, 1);
        // The second came over a new connection, which was read first.
        p.arrive(21 * S + 900_000, 8, 0, Op::Write, 50, 1);
        p.arrive(21 * S + 901_000, 7, 0, Op::Write, 50, 1);
        p.run(21 * S + 910_000, 8, 0, 50, true);
        p.run(21 * S + 911_000, 7, 0, 50, true);
        p.told(21 * S + 920_000, 8, Told::Served);
        if cut {
            p.cut("g1", "n1", 20 * S, 21 * S + 890_000);
        }
        let report = p.judge();
        assert_eq!(report.rules["5 order"].broken == 0, fine, "{:#?}", report.rules);
        assert_eq!(report.rules[ONE].broken == 0, fine, "{:#?}", report.rules);
    }
}

#[test]
fn a_cold_node_that_falls_over_what_a_link_let_go_at_once_is_no_gateways_fault() {
    for (cut, fine) in [(true, true), (false, false)] {
        let mut p = good();
        p.terms.plans[0].limit = 0.0;
        let (node, shard, kept_number) = ("n1".into(), 0, None);
        p.node.push(NodeLine::Start {
            t: 20 * S,
            node,
            shard,
            cold: true,
            units_per_s: 1.0,
            kept: kept_number,
        });
        let (gateway, node) = ("g1".into(), "n1".into());
        p.lines.push(DayLine::Listed { t: 20 * S, gateway, node, on: true, started: 20 * S });
        for n in 0..4 {
            p.issue(20 * S + 500_000 + n * 900_000, 300 + n as u64, Op::Read, 0, 1);
            p.arrive(24 * S + n * 1000, 300 + n as u64, 0, Op::Read, 0, 1);
            p.told(24 * S + 50_000 + n * 1000, 300 + n as u64, Told::Served);
        }
        p.node.push(NodeLine::Fell { t: 24 * S + 10_000 });
        if cut {
            p.cut("g1", "n1", 20 * S + 400_000, 24 * S - 1000);
        }
        let report = p.judge();
        assert_eq!(report.rules["4 cold nodes"].broken == 0, fine, "{:#?}", report.rules);
    }
}

#[test]
fn a_node_started_again_after_a_cut_of_power_does_not_stand_still_any_more() {
    let mut p = good();
    p.node.push(NodeLine::Fault { t: 20 * S, fault: "Stall(true)".into() });
    let (node, shard) = ("n1".into(), 0);
    p.node.push(NodeLine::Start { t: 21 * S, node, shard, cold: false, units_per_s: 100.0, kept: None });
    p.issue(22 * S, 7, Op::Read, 0, 1);
    p.told(22 * S + 100_000, 7, Told::Failed);
    p.arrive(23 * S, 7, 0, Op::Read, 0, 1);
    assert!(!kept(&p, ONE), "it read the command when it came");
}
