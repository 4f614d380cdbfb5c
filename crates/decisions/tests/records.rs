//! Names that requests bring do not size what the scheduler remembers, and what it forgets breaks no limit.

mod common;

use common::*;
use decisions::*;

/// Guards against tables that grow with every volume and object that a client makes up: the process passed its
/// memory limit within seconds.
#[test]
fn volumes_beyond_the_limit_are_forgotten_the_least_recently_used_first() {
    let mut scheduler = Scheduler::new(settings(), 1);
    scheduler.limit_records(100);
    for n in 0..10_000u64 {
        let request = Request { volume: VolumeId(n), key: Some(KeyId(n)), timeout: 0, ..request(n) };
        scheduler.handle(n as Micros, Event::Request(request), &mut Vec::new());
        assert!(scheduler.remembered_records() <= 2 * 100, "{n}");
    }
}

/// Guards against a limit that is full again because its volume was forgotten.
#[test]
fn a_limit_holds_for_volumes_that_were_forgotten() {
    let mut limited = settings();
    (limited.plans[0].limit, limited.plans[0].limit_burst) = (10.0, 10.0);
    let mut host = Host::with_nodes(limited, &[entry(1, 0)]);
    host.scheduler.limit_records(4);
    // The limit has filled since the start.
    host.advance(10 * SECOND);
    for round in 0..20 {
        // The volume under test, and others that push it out.
        for volume in [1, 1000 + 4 * round, 1001 + 4 * round, 1002 + 4 * round, 1003 + 4 * round] {
            let id = round * 10_000 + volume;
            host.submit(Request { volume: VolumeId(volume), units: 5.0, ..request(id) });
            while let Some(&(sent, attempt)) = host.checker.in_flight.keys().next() {
                host.answer(sent.0, attempt, Outcome::Served);
            }
            host.advance(100);
        }
    }
    let sent = host.sent().iter().filter(|id| *id % 10_000 == 1).count();
    assert!(sent >= 1, "nothing of the volume was sent");
    assert!(sent <= 2, "{sent} requests of 5 units within 10 ms, where the limit allows 10 units");
}
