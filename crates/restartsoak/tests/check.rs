//! The check finds each kind of breach in records that are made for it, and nothing in those that keep the rules.

use restartsoak::check;
use restartsoak::check::Rule;
use restartsoak::plan::Plan;
use restartsoak::records::{
    Attempt, Change, Discovery, Fate, Life, MILLI, Micros, Outcome, Phase, Records, Request, SECOND, Unasked,
};

/// When the play begins.
const BEGIN: Micros = 1_000 * SECOND;
/// Classes by their numbers.
const SAFE: usize = 0;
const ONCE: usize = 2;

fn plan() -> Plan {
    let mut plan = Plan::draw(1, 1);
    plan.crowd = 0;
    plan.drain_grace = SECOND;
    plan.cold = (20.0, SECOND);
    plan.lives[0].serves = Some(SECOND);
    plan
}

fn request(id: &str, class: usize, sent: Micros, outcome: Outcome, ended: Micros) -> Request {
    let (sent, ended) = (BEGIN + sent, BEGIN + ended);
    let timeout = 400 * MILLI;
    let due = sent + timeout;
    Request {
        id: id.into(),
        class,
        plan: 0,
        connection: 0,
        place: 0,
        units: 2,
        sent,
        timeout,
        due,
        outcome,
        ended,
        arrived: None,
    }
}

fn attempt(id: &str, node: usize, begun: Micros, fate: Fate, ended: Micros) -> Attempt {
    let (begun, ended) = (BEGIN + begun, BEGIN + ended);
    Attempt { id: id.into(), node, begun, whole: begun, timeout: None, fate, ended }
}

const SERVED: Outcome = Outcome::Answered { status: 200, is_own: true };
const REFUSED: Outcome = Outcome::Answered { status: 503, is_own: false };

/// One life that serves one request and ends in order.
fn good() -> Records {
    let life = Life {
        started: BEGIN,
        ready: Some(BEGIN + 10 * MILLI),
        told: Some(BEGIN + 60 * SECOND),
        ended: Some((BEGIN + 61 * SECOND, "exit status: 0".into())),
        killed: None,
        is_crash: false,
        held: None,
    };
    Records {
        requests: vec![request("a", SAFE, 100 * MILLI, SERVED, 110 * MILLI)],
        attempts: vec![attempt("a", 0, 101 * MILLI, Fate::Served, 109 * MILLI)],
        lives: vec![life],
        ..Records::default()
    }
}

fn rules(records: &Records) -> Vec<Rule> {
    check(&plan(), records).into_iter().map(|breach| breach.rule).collect()
}

fn with(change: impl FnOnce(&mut Records)) -> Vec<Rule> {
    let mut records = good();
    change(&mut records);
    rules(&records)
}

#[test]
fn records_that_keep_the_rules_have_no_breach() {
    assert_eq!(rules(&good()), []);
}

#[test]
fn a_request_without_its_one_true_answer_is_found() {
    let ended = |ended| request("b", SAFE, SECOND, Outcome::Ended, ended);
    assert_eq!(
        with(|r| r.requests.push(ended(SECOND + 20 * MILLI))),
        [],
        "it crossed the end of a connection"
    );
    assert_eq!(with(|r| r.requests.push(ended(SECOND + 200 * MILLI))), [Rule::Lost]);
    let forwarded = attempt("b", 0, SECOND, Fate::Unanswered, SECOND + 20 * MILLI);
    let lost = with(|r| {
        r.requests.push(ended(SECOND + 20 * MILLI));
        r.attempts.push(forwarded);
    });
    assert_eq!(lost, [Rule::Lost], "a node had it");
    let silent = request("b", SAFE, SECOND, Outcome::Silent, 2 * SECOND);
    assert_eq!(with(|r| r.requests.push(silent)), [Rule::Lost]);
    let made_up = request("b", SAFE, SECOND, SERVED, SECOND + MILLI);
    assert_eq!(with(|r| r.requests.push(made_up)), [Rule::Untrue]);
    let refused = with(|r| {
        r.requests.push(request("b", ONCE, SECOND, REFUSED, SECOND + 20 * MILLI));
        r.attempts.push(attempt("b", 0, SECOND, Fate::Reset, SECOND + 10 * MILLI));
    });
    assert_eq!(refused, [Rule::Untrue]);
}

#[test]
fn an_answer_that_is_not_whole_or_not_asked_for_is_found() {
    let torn = |outcome| {
        with(|r| {
            r.requests.push(request("b", SAFE, SECOND, outcome, SECOND + 20 * MILLI));
            r.attempts.push(attempt("b", 0, SECOND, Fate::Torn, SECOND + 10 * MILLI));
        })
    };
    assert_eq!(torn(SERVED), [Rule::Untrue], "no node made a whole answer");
    assert_eq!(torn(Outcome::Answered { status: 502, is_own: false }), []);
    let refused = with(|r| {
        r.requests.push(request("b", ONCE, SECOND, REFUSED, SECOND + 20 * MILLI));
        r.attempts.push(attempt("b", 0, SECOND, Fate::Torn, SECOND + 10 * MILLI));
    });
    assert_eq!(refused, [Rule::Untrue], "it may have run");
    let unasked = with(|r| r.unasked.push(Unasked { connection: 0, at: BEGIN + SECOND }));
    assert_eq!(unasked, [Rule::Untrue]);
}

#[test]
fn a_seed_of_restarts_draws_no_split_and_one_of_splits_no_restart() {
    let restarts = Plan::draw(7, 3);
    assert!(restarts.split.is_none());
    let splits = Plan::draw_split(7, 3);
    assert_eq!(splits.lives.len(), 3);
    assert!(splits.lives.iter().all(|life| life.restarts.is_none() && life.stops.is_empty()));
    let split = splits.split.expect("what a split draws");
    let nodes = 2 * split.nodes_of_a_shard;
    let cuts: Vec<_> = split.cuts.iter().flatten().collect();
    assert!(cuts.len() >= 3 && cuts.iter().all(|cut| 5 * cut.severed.len() >= nodes), "a fifth and more");
}

#[test]
fn attempts_that_must_not_be_are_found() {
    let again = with(|r| {
        r.requests.push(request("b", ONCE, SECOND, SERVED, SECOND + 50 * MILLI));
        r.attempts.push(attempt("b", 0, SECOND, Fate::Reset, SECOND + 10 * MILLI));
        r.attempts.push(attempt("b", 1, SECOND + 20 * MILLI, Fate::Served, SECOND + 40 * MILLI));
    });
    assert_eq!(again, [Rule::Duplicate]);
    let left = |late| {
        with(|r| {
            r.requests.push(request("b", SAFE, SECOND, Outcome::Left, SECOND));
            r.attempts.push(attempt("b", 0, SECOND + late, Fate::Served, SECOND + late));
        })
    };
    assert_eq!((left(100 * MILLI), left(160 * MILLI)), (vec![], vec![Rule::AfterTheEnd]));
    let told = |timeout| with(|r| r.attempts[0].timeout = Some(timeout));
    assert_eq!((told(500 * MILLI), told(700 * MILLI)), (vec![], vec![Rule::Timeout]));
    let unknown = with(|r| r.attempts.push(attempt("z", 0, SECOND, Fate::Served, SECOND)));
    assert_eq!(unknown, [Rule::Untrue]);
}

/// Serves a request at a node at each of these moments.
fn serve_at(r: &mut Records, node: usize, moments: impl Iterator<Item = Micros>) {
    for (n, at) in moments.enumerate() {
        let id = format!("s{n}");
        r.requests.push(request(&id, SAFE, at, SERVED, at + 10 * MILLI));
        r.attempts.push(attempt(&id, node, at + MILLI, Fate::Served, at + 9 * MILLI));
    }
}

#[test]
fn a_node_that_drains_or_is_cold_is_watched_over() {
    let drains = |after: Micros, down: Option<Micros>| {
        with(|r| {
            r.changes.push(Change { at: BEGIN + SECOND, node: 1, phase: Phase::Terminating });
            let until = |until| Discovery::Down { from: BEGIN, until: BEGIN + until };
            r.discovery.extend(down.map(until));
            serve_at(r, 1, std::iter::once(SECOND + after));
        })
    };
    assert_eq!(drains(900 * MILLI, None), []);
    assert_eq!(drains(1_100 * MILLI, None), [Rule::Drain]);
    assert_eq!(drains(1_100 * MILLI, Some(1_500 * MILLI)), [], "it was told when discovery returned");
    let cold = |count: i64| {
        with(|r| {
            r.changes.push(Change { at: BEGIN + SECOND, node: 1, phase: Phase::Started });
            serve_at(r, 1, (0..count).map(|n| SECOND + n * 10 * MILLI));
        })
    };
    // 20 units are borne, and three times their root and three more are chance: 36.4 units.
    assert_eq!((cold(18), cold(19)), (vec![], vec![Rule::Cold]));
}

#[test]
fn starts_and_ends_out_of_order_are_found() {
    assert_eq!(with(|r| r.lives[0].ready = None), [Rule::Start]);
    assert_eq!(with(|r| r.lives[0].ready = Some(BEGIN + 11 * SECOND)), [Rule::Start]);
    assert_eq!(with(|r| r.lives[0].ready = Some(BEGIN + SECOND)), [Rule::Start], "it serves nobody");
    assert_eq!(with(|r| r.lives[0].ended = Some((BEGIN, "exit status: 1".into()))), [Rule::End]);
    let still_there = with(|r| {
        (r.lives[0].ended, r.lives[0].killed) = (None, Some(BEGIN + 63 * SECOND));
    });
    assert_eq!(still_there, [Rule::End]);
}

#[test]
fn a_limit_and_the_budget_are_counted() {
    let limited = |count: i64| {
        let mut records = good();
        for n in 0..count {
            let at = SECOND + n * MILLI;
            let id = format!("l{n}");
            records.requests.push(Request { plan: 1, ..request(&id, SAFE, at, SERVED, at + MILLI) });
            records.attempts.push(attempt(&id, 0, at, Fate::Served, at + MILLI));
        }
        let mut plan = plan();
        (plan.tariffs[1].rate, plan.tariffs[1].burst, plan.tariffs[1].slack) = (10.0, 20.0, 8.0);
        check(&plan, &records).into_iter().map(|breach| breach.rule).collect::<Vec<_>>()
    };
    // 20 units at once, 8 below nothing, and what comes in 0.15 s: 29.5 units and a little for each millisecond.
    assert_eq!((limited(14), limited(15)), (vec![], vec![Rule::Limit]));
    let further = |count: i64| {
        with(|r| {
            for n in 0..count {
                let at = SECOND + n * 20 * MILLI;
                let id = format!("f{n}");
                r.requests.push(request(&id, SAFE, at, SERVED, at + 15 * MILLI));
                r.attempts.push(attempt(&id, 0, at, Fate::Reset, at + MILLI));
                r.attempts.push(attempt(&id, 1, at + 2 * MILLI, Fate::Served, at + 9 * MILLI));
            }
        })
    };
    // Three are free, and 0.15 for each request: three of four keep to it, the fifth of six does not.
    assert_eq!((further(3), further(6).contains(&Rule::Budget)), (vec![], true));
}
