//! Gateways and nodes that stand still, and what may be held against them then.

mod plant;

use plant::{S, good};
use records::*;

#[test]
fn requests_that_a_stalled_gateway_takes_when_it_goes_on_count_from_then_in_the_budget() {
    // 60 reads are issued in a stall of 1.5 s and taken at its end; the window's far edge lies inside the stall. With the
    // 3 of the quiet time before, 8.3 further attempts are allowed; counted from the issue it would be 4.
    for (further, kept) in [(7, true), (12, false)] {
        let mut p = good();
        p.terms.plans[0].limit = 0.0;
        p.stall("g1", 20 * S, 21 * S + S / 2);
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
            p.stall("g1", 20 * S - 1000, 21 * S);
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
            p.stall("g1", 20 * S - 1000, 21 * S + 500_000);
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
