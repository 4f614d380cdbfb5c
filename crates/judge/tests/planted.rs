//! A day that keeps all rules, and one planted breach of each.

use judge::{Day, Report, judge};
use records::*;

const S: Micros = 1_000_000;

fn terms() -> Terms {
    let class = |name: &str, op, kind, in_order| ClassTerms {
        name: name.into(),
        op,
        max_bytes: (op == Op::Write && kind == Kind::Keyed).then_some(4096),
        kind,
        window: if kind == Kind::Keyed { 2 * S } else { 0 },
        in_order,
        aim: S / 10,
        patience: S,
        worth: 1.0,
        late_worth: 0.1,
    };
    Terms {
        classes: vec![
            class("read", Op::Read, Kind::Safe, false),
            class("post", Op::Write, Kind::Keyed, true),
            class("bulk", Op::Write, Kind::Unsafe, false),
            class("flush", Op::Flush, Kind::Safe, false),
        ],
        plans: vec![PlanTerms { name: "p".into(), limit: 10.0, burst: 20.0, slack: 2.0, price: 1.0 }],
        volumes: vec![VolumeTerms {
            nsid: 1,
            plan: 0,
            block_size: 4096,
            extent_blocks: 1 << 20,
            shards: vec![0],
        }],
        unit_bytes: 4096,
        most_units: 8.0,
        mean_units: 1.0,
        drain_grace: S / 2,
        order_rest: S / 5,
        cold: ColdTerms { from: 0.2, warm_after: 10 * S, multiple: 2.0, window: S, units: 4.0 },
        budget: Some(Budget { window: 5 * S, free: 2.0, share: 0.1 }),
        clock_slack: S / 20,
        view: None,
        cap: None,
    }
}

/// A day in the making.
struct Plant {
    terms: Terms,
    clients: Vec<ClientLine>,
    node: Vec<NodeLine>,
    lines: Vec<DayLine>,
}

impl Plant {
    fn new() -> Self {
        let start = NodeLine::Start {
            t: 0,
            node: "n1".into(),
            shard: 0,
            cold: false,
            units_per_s: 100.0,
            kept: None,
        };
        Plant { terms: terms(), clients: Vec::new(), node: vec![start], lines: Vec::new() }
    }

    fn issue(&mut self, t: Micros, token: u64, op: Op, slba: u64, blocks: u32) {
        let gateway = "g1".into();
        self.clients.push(ClientLine::Issue { t, token, gateway, connection: 1, op, nsid: 1, slba, blocks });
    }

    fn told(&mut self, t: Micros, token: u64, told: Told) {
        self.clients.push(ClientLine::Answer { t, token, told, advice: 0, found: vec![], torn: 0 });
    }

    fn arrive(&mut self, t: Micros, token: u64, attempt: u32, op: Op, slba: u64, blocks: u32) {
        let gateway = "g1".into();
        self.node.push(NodeLine::Arrive {
            t,
            began: None,
            gateway,
            token,
            attempt,
            op,
            nsid: 1,
            slba,
            blocks,
        });
    }

    fn run(&mut self, t: Micros, token: u64, attempt: u32, slba: u64, applied: bool) {
        self.node.push(NodeLine::Run { t, token, attempt, nsid: 1, slba, op: Op::Write, applied, number: 0 });
        self.node.push(NodeLine::Answer { t, token, attempt, slba, full: false });
    }

    /// A write from issue to answer, in 10 ms.
    fn whole(&mut self, t: Micros, token: u64, slba: u64, blocks: u32) {
        self.issue(t, token, Op::Write, slba, blocks);
        self.arrive(t + 2000, token, 0, Op::Write, slba, blocks);
        self.run(t + 8000, token, 0, slba, true);
        self.told(t + 10_000, token, Told::Served);
    }

    fn judge(&self) -> Report {
        judge(&Day::of(self.terms.clone(), self.clients.clone(), vec![self.node.clone()], self.lines.clone()))
    }

    /// The one rule that is broken.
    fn broken(&self) -> String {
        let report = self.judge();
        let broken: Vec<&String> = report.rules.iter().filter(|r| r.1.broken > 0).map(|r| r.0).collect();
        assert_eq!(broken.len(), 1, "{:#?}", report.rules);
        broken[0].clone()
    }
}

fn good() -> Plant {
    let mut p = Plant::new();
    for n in 0..10 {
        p.whole(n as Micros * S, 100 + n, n % 3, 1);
    }
    p
}

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

fn stall(p: &mut Plant, from: Micros, to: Micros) {
    for (t, on) in [(from, true), (to, false)] {
        p.lines.push(DayLine::Stall { t, gateway: "g1".into(), on });
    }
}

#[test]
fn requests_that_a_stalled_gateway_takes_when_it_goes_on_count_from_then_in_the_budget() {
    // 60 reads are issued in a stall of 1.5 s and taken at its end; the window's far edge lies inside the stall. With the
    // 3 of the quiet time before, 8.3 further attempts are allowed; counted from the issue it would be 4.
    for (further, kept) in [(7, true), (12, false)] {
        let mut p = good();
        p.terms.plans[0].limit = 0.0;
        stall(&mut p, 20 * S, 21 * S + S / 2);
        for n in 0..60 {
            p.issue(20 * S + 20_000 * n as Micros, 300 + n, Op::Read, 0, 1);
            p.arrive(21 * S + S / 2 + 1000 * n as Micros, 300 + n, 0, Op::Read, 0, 1);
            p.told(21 * S + S / 2 + 100_000 + 1000 * n as Micros, 300 + n, Told::Served);
        }
        p.issue(26 * S, 7, Op::Read, 0, 1);
        for n in 0..=further {
            p.arrive(26 * S + 1000 * (1 + n as Micros), 7, n, Op::Read, 0, 1);
        }
        p.told(26 * S + 90_000, 7, Told::Served);
        if kept {
            assert!(p.judge().kept(), "{:#?}", p.judge().rules);
        } else {
            assert_eq!(p.broken(), "6 budget");
        }
    }
}

#[test]
fn a_restarted_gateway_has_a_budget_of_its_own() {
    for (restarted, kept) in [(true, true), (false, false)] {
        let mut p = good();
        p.issue(20 * S, 7, Op::Read, 0, 1);
        p.issue(22 * S, 8, Op::Read, 0, 1);
        for (token, t) in [(7, 20 * S), (8, 22 * S)] {
            (0..3).for_each(|n| p.arrive(t + 1000 * (1 + n as Micros), token, n, Op::Read, 0, 1));
            p.told(t + 90_000, token, Told::Served);
        }
        if restarted {
            p.lines.push(DayLine::Up { t: 21 * S, gateway: "g1".into() });
        }
        assert_eq!(p.judge().kept(), kept, "{:#?}", p.judge().rules);
    }
}

#[test]
fn a_client_that_leaves_during_a_stall_is_missed_only_when_the_gateway_goes_on() {
    for (stalled, kept) in [(true, true), (false, false)] {
        let mut p = good();
        p.issue(20 * S, 7, Op::Read, 0, 1);
        p.clients.push(ClientLine::Lost { t: 20 * S + S / 2, token: 7, by_client: true });
        p.arrive(21 * S + 1000, 7, 0, Op::Read, 0, 1);
        if stalled {
            stall(&mut p, 20 * S - 1000, 21 * S);
        }
        assert_eq!(p.judge().kept(), kept, "{:#?}", p.judge().rules);
    }
}

#[test]
fn a_write_that_failed_at_once_after_a_stall_did_not_time_out() {
    // Issued in a stall of 1.5 s, reset at once when taken: its block rests from then, not from the late answer on.
    for (stalled, kept) in [(true, true), (false, false)] {
        let mut p = good();
        p.issue(20 * S, 7, Op::Write, 50, 1);
        p.arrive(21 * S + 501_000, 7, 0, Op::Write, 50, 1);
        p.told(21 * S + 800_000, 7, Told::Failed);
        p.whole(21 * S + 810_000, 8, 50, 1);
        if stalled {
            stall(&mut p, 20 * S - 1000, 21 * S + 500_000);
        }
        let broken = p.judge().rules["5 order"].broken;
        assert_eq!(broken == 0, kept, "{:#?}", p.judge().rules);
    }
}

#[test]
fn what_a_node_reads_late_after_coming_back_from_a_stall_was_sent_before() {
    for (fault, kept) in [("Revive", true), ("Slow(1.0)", false)] {
        let mut p = good();
        for (t, fault) in [(20 * S, "Stall(true)"), (21 * S, "Stall(true)"), (22 * S, fault)] {
            p.node.push(NodeLine::Fault { t, fault: fault.into() });
        }
        p.issue(20 * S + 1000, 7, Op::Read, 0, 1);
        p.told(20 * S + 800_000, 7, Told::Refused);
        p.arrive(22 * S + 10, 7, 0, Op::Read, 0, 1);
        assert_eq!(p.judge().kept(), kept, "{:#?}", p.judge().rules);
    }
}

#[test]
fn a_cold_node_pushed_by_a_gateway_that_was_not_told_of_its_start_is_no_breach() {
    for (told, kept) in [(false, true), (true, false)] {
        let mut p = good();
        let start = 20 * S;
        p.node.push(NodeLine::Start {
            t: start,
            node: "n1".into(),
            shard: 0,
            cold: true,
            units_per_s: 100.0,
            kept: None,
        });
        let listed =
            |t, started| DayLine::Listed { t, gateway: "g1".into(), node: "n1".into(), on: true, started };
        p.lines.push(listed(0, 0));
        if told {
            p.lines.push(listed(start, start));
        }
        (0..60).for_each(|n| p.arrive(start + n as Micros * 10_000, 900 + n, 0, Op::Read, n, 1));
        let broken = p.judge().rules["4 cold nodes"].broken;
        assert_eq!(broken == 0, kept);
    }
}

#[test]
fn a_command_that_meets_a_leaving_gateway_is_owed_nothing_unless_it_was_taken() {
    for (leaving, taken, kept) in [(true, false, true), (true, true, false), (false, false, false)] {
        let mut p = good();
        if leaving {
            p.lines.push(DayLine::Down { t: 20 * S, gateway: "g1".into(), killed: false });
        }
        p.issue(20 * S + 400_000, 7, Op::Read, 0, 1);
        if taken {
            p.arrive(20 * S + 401_000, 7, 0, Op::Read, 0, 1);
        }
        p.clients.push(ClientLine::Lost { t: 20 * S + 402_000, token: 7, by_client: false });
        assert_eq!(p.judge().kept(), kept, "{:#?}", p.judge().rules);
    }
}

#[test]
fn data_that_a_node_asks_for_late_does_not_make_its_command_late() {
    for (began, kept) in [(Some(20 * S + 1000), true), (None, false)] {
        let mut p = good();
        p.issue(20 * S, 7, Op::Write, 50, 2);
        p.told(20 * S + 300_000, 7, Told::Failed);
        let (gateway, token) = ("g1".into(), 7);
        p.node.push(NodeLine::Arrive {
            t: 22 * S,
            began,
            gateway,
            token,
            attempt: 0,
            op: Op::Write,
            nsid: 1,
            slba: 50,
            blocks: 2,
        });
        assert_eq!(p.judge().kept(), kept, "{:#?}", p.judge().rules);
    }
}

fn read(p: &mut Plant, t: Micros, token: u64, slba: u64, found: u64) {
    p.issue(t, token, Op::Read, slba, 1);
    p.arrive(t + 2000, token, 0, Op::Read, slba, 1);
    p.clients.push(ClientLine::Answer {
        t: t + 9000,
        token,
        told: Told::Served,
        advice: 0,
        found: vec![found],
        torn: 0,
    });
}

#[test]
fn a_read_that_finds_an_older_write_than_the_last_one_answered_breaks_durable() {
    // Writes 100 to 109 go to blocks 0, 1, 2 in turn, one a second: 106 and 109 are the last ones of block 0.
    for (found, kept) in [(109, true), (106, false), (0, false)] {
        let mut p = good();
        read(&mut p, 20 * S, 7, 0, found);
        let report = p.judge();
        assert_eq!(report.rules["durable"].broken == 0, kept, "{found}: {:#?}", report.rules);
    }
    // Asked for while 109 was on its way: both are right.
    let mut p = good();
    read(&mut p, 9 * S + 5000, 7, 0, 106);
    assert!(p.judge().kept());
}

#[test]
fn a_served_write_that_a_cut_took_back_breaks_durable_and_one_that_was_not_answered_does_not() {
    for (told, kept) in [(true, false), (false, true)] {
        let mut p = good();
        p.issue(20 * S, 7, Op::Write, 9, 1);
        p.arrive(20 * S + 2000, 7, 0, Op::Write, 9, 1);
        p.node.push(NodeLine::Run {
            t: 20 * S + 3000,
            token: 7,
            attempt: 0,
            nsid: 1,
            slba: 9,
            op: Op::Write,
            applied: true,
            number: 41,
        });
        if told {
            p.told(20 * S + 4000, 7, Told::Served);
        } else {
            p.told(20 * S + 900_000, 7, Told::Failed);
        }
        p.node.push(NodeLine::Start {
            t: 21 * S,
            node: "n1".into(),
            shard: 0,
            cold: false,
            units_per_s: 100.0,
            kept: Some(40),
        });
        let report = p.judge();
        assert_eq!(report.rules["durable"].broken == 0, kept, "{:#?}", report.rules);
    }
}

#[test]
fn a_write_that_a_cut_took_back_may_run_again() {
    let mut p = good();
    p.issue(20 * S, 7, Op::Write, 9, 1);
    p.arrive(20 * S + 2000, 7, 0, Op::Write, 9, 1);
    let run = |t, attempt, number| NodeLine::Run {
        t,
        token: 7,
        attempt,
        nsid: 1,
        slba: 9,
        op: Op::Write,
        applied: true,
        number,
    };
    p.node.push(run(20 * S + 3000, 0, 41));
    p.node.push(NodeLine::Start {
        t: 20 * S + 300_000,
        node: "n1".into(),
        shard: 0,
        cold: false,
        units_per_s: 100.0,
        kept: Some(40),
    });
    p.arrive(20 * S + 400_000, 7, 1, Op::Write, 9, 1);
    p.node.push(run(20 * S + 410_000, 1, 41));
    p.told(20 * S + 420_000, 7, Told::Served);
    let report = p.judge();
    assert!(report.kept(), "{:#?}", report.rules);
}
