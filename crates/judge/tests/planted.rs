//! A day that keeps all rules, and one planted breach of each.

mod plant;

use plant::{S, good};
use records::*;

#[test]
fn a_day_without_a_breach_is_kept_and_all_was_looked_at() {
    let report = good().judge();
    assert!(report.kept(), "{:#?}", report.rules);
    assert_eq!((report.commands, report.served, report.worth_part), (10, 10, 1.0));
    for rule in ["1 one final answer", "2 no double effect", "5 order", "7 limits"] {
        assert!(report.rules[rule].checked > 0, "{rule}");
    }
}

#[test]
fn a_command_without_an_answer_breaks_rule_1() {
    let mut p = good();
    p.issue(20 * S, 7, Op::Read, 0, 1);
    assert_eq!(p.broken(), "1 one final answer");
}

#[test]
fn a_command_of_a_gateway_that_was_killed_is_its_clients_loss() {
    let mut p = good();
    p.issue(20 * S, 7, Op::Read, 0, 1);
    p.clients.push(ClientLine::Lost { t: 20 * S + 5000, token: 7, by_client: false });
    assert_eq!(p.broken(), "1 one final answer");
    p.lines.push(DayLine::Down { t: 20 * S + 4000, gateway: "g1".into(), killed: true });
    assert!(p.judge().kept());
}

#[test]
fn two_answers_a_late_one_and_a_send_after_the_end_break_rule_1() {
    let mut p = good();
    p.told(S * 9 + 20_000, 109, Told::Failed);
    assert_eq!(p.broken(), "1 one final answer");

    let mut p = good();
    p.issue(20 * S, 7, Op::Read, 0, 1);
    p.told(21 * S + 100_000, 7, Told::Refused);
    assert_eq!(p.broken(), "1 one final answer");

    let mut p = good();
    p.issue(20 * S, 7, Op::Read, 0, 1);
    p.told(20 * S + 1000, 7, Told::Refused);
    p.arrive(20 * S + 900_000, 7, 0, Op::Read, 0, 1);
    assert_eq!(p.broken(), "1 one final answer");
}

#[test]
fn a_posting_that_takes_effect_twice_breaks_rule_2() {
    let mut p = good();
    p.issue(20 * S, 7, Op::Write, 50, 1);
    p.arrive(20 * S + 1000, 7, 0, Op::Write, 50, 1);
    p.run(20 * S + 2000, 7, 0, 50, true);
    p.arrive(20 * S + 3000, 7, 1, Op::Write, 50, 1);
    p.run(20 * S + 4000, 7, 1, 50, true);
    p.told(20 * S + 5000, 7, Told::Served);
    assert_eq!(p.broken(), "2 no double effect");
}

#[test]
fn a_keyed_repeat_that_was_discarded_keeps_rule_2_and_one_after_the_window_breaks_it() {
    for (after, kept) in [(S / 2, true), (3 * S, false)] {
        let mut p = good();
        p.issue(20 * S, 7, Op::Write, 50, 1);
        p.arrive(20 * S, 7, 0, Op::Write, 50, 1);
        p.run(20 * S + 2000, 7, 0, 50, true);
        p.arrive(20 * S + after, 7, 1, Op::Write, 50, 1);
        p.run(20 * S + after + 1000, 7, 1, 50, false);
        p.told(20 * S + after + 2000, 7, Told::Served);
        let report = p.judge();
        assert_eq!(report.rules["2 no double effect"].broken == 0, kept, "{:#?}", report.rules);
    }
}

#[test]
fn an_unsafe_write_sent_again_and_a_refused_one_that_ran_break_rule_2() {
    let mut p = good();
    p.issue(20 * S, 7, Op::Write, 50, 2);
    p.arrive(20 * S + 1000, 7, 0, Op::Write, 50, 2);
    p.arrive(20 * S + 9000, 7, 1, Op::Write, 50, 2);
    p.told(20 * S + 10_000, 7, Told::Failed);
    assert_eq!(p.broken(), "2 no double effect");

    let mut p = good();
    p.issue(20 * S, 7, Op::Write, 50, 2);
    p.arrive(20 * S + 1000, 7, 0, Op::Write, 50, 2);
    p.run(20 * S + 2000, 7, 0, 50, true);
    p.told(20 * S + 10_000, 7, Told::Refused);
    assert_eq!(p.broken(), "2 no double effect");
}

#[test]
fn an_unsafe_write_turned_away_as_full_may_go_again() {
    let mut p = good();
    p.issue(20 * S, 7, Op::Write, 50, 2);
    p.arrive(20 * S + 1000, 7, 0, Op::Write, 50, 2);
    p.node.push(NodeLine::Answer { t: 20 * S + 1100, token: 7, attempt: 0, slba: 50, full: true });
    p.arrive(20 * S + 9000, 7, 1, Op::Write, 50, 2);
    p.run(20 * S + 9500, 7, 1, 50, true);
    p.told(20 * S + 10_000, 7, Told::Served);
    assert!(p.judge().kept(), "{:#?}", p.judge().rules);
}

#[test]
fn work_for_a_drained_node_after_the_grace_breaks_rule_3() {
    for (after, kept) in [(400_000, true), (700_000, false)] {
        let mut p = good();
        let (gateway, node) = ("g1".into(), "n1".into());
        p.lines.push(DayLine::Listed { t: 20 * S, gateway, node, on: false, started: 0 });
        p.whole(20 * S + after, 7, 50, 1);
        assert_eq!(p.judge().kept(), kept);
        if !kept {
            assert_eq!(p.broken(), "3 drains");
        }
    }
}

#[test]
fn too_much_for_a_cold_node_breaks_rule_4() {
    // It can do 20 units a second at first, and bears twice that over a second.
    for (count, kept) in [(35, true), (60, false)] {
        let mut p = good();
        p.node.push(NodeLine::Start {
            t: 20 * S,
            node: "n1".into(),
            shard: 0,
            cold: true,
            units_per_s: 100.0,
            kept: None,
        });
        for n in 0..count {
            // Attempts of one command at different blocks, so that only this rule counts them.
            p.arrive(20 * S + n as Micros * 10_000, 900 + n, 0, Op::Read, n, 1);
        }
        let broken = p.judge().rules["4 cold nodes"].broken;
        assert_eq!(broken == 0, kept, "{count}");
    }
}

#[test]
fn ordered_writes_at_one_time_or_out_of_turn_break_rule_5() {
    let mut p = good();
    p.issue(20 * S, 7, Op::Write, 50, 1);
    p.issue(20 * S + 100, 8, Op::Write, 50, 1);
    p.arrive(20 * S + 1000, 7, 0, Op::Write, 50, 1);
    p.arrive(20 * S + 1500, 8, 0, Op::Write, 50, 1);
    p.run(20 * S + 2000, 7, 0, 50, true);
    p.run(20 * S + 2500, 8, 0, 50, true);
    p.told(20 * S + 3000, 7, Told::Served);
    p.told(20 * S + 3000, 8, Told::Served);
    assert_eq!(p.broken(), "5 order");

    let mut p = good();
    p.whole(20 * S + 100, 8, 50, 1);
    p.issue(20 * S, 7, Op::Write, 50, 1);
    p.arrive(20 * S + 30_000, 7, 0, Op::Write, 50, 1);
    p.run(20 * S + 31_000, 7, 0, 50, true);
    p.told(20 * S + 32_000, 7, Told::Served);
    assert_eq!(p.broken(), "5 order");
}

#[test]
fn a_block_that_does_not_rest_after_a_time_out_breaks_rule_5() {
    for (after, kept) in [(250_000, true), (50_000, false)] {
        let mut p = good();
        p.issue(20 * S, 7, Op::Write, 50, 1);
        p.arrive(20 * S + 1000, 7, 0, Op::Write, 50, 1);
        p.told(21 * S, 7, Told::Failed);
        p.whole(21 * S + after, 8, 50, 1);
        assert_eq!(p.judge().kept(), kept, "{:#?}", p.judge().rules);
    }
}

#[test]
fn more_further_attempts_than_the_budget_break_rule_6() {
    let mut p = good();
    p.issue(20 * S, 7, Op::Read, 0, 1);
    for n in 0..4 {
        p.arrive(20 * S + 1000 * (1 + n as Micros), 7, n, Op::Read, 0, 1);
    }
    p.told(20 * S + 90_000, 7, Told::Served);
    assert_eq!(p.broken(), "6 budget");
}

#[test]
fn a_volume_over_its_limit_breaks_rule_7() {
    let mut p = good();
    for n in 0..26 {
        p.whole(20 * S + n as Micros * 1000, 300 + n, 60 + n, 1);
    }
    assert_eq!(p.broken(), "7 limits");
}

#[test]
fn a_read_that_finds_what_was_never_written_there_is_found() {
    let mut p = good();
    p.issue(20 * S, 7, Op::Read, 0, 2);
    let (told, found) = (Told::Served, vec![109, 102]);
    p.clients.push(ClientLine::Answer { t: 20 * S + 5000, token: 7, told, advice: 0, found, torn: 0 });
    assert_eq!(p.broken(), "data", "102 wrote block 2, not block 1");
}
