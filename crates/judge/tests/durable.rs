//! What was answered as served is there.

mod plant;

use plant::{Plant, S, good};
use records::*;

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
