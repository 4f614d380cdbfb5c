//! Messages to copies and machines that can be decoded and whose contents are odd.

mod common;
#[path = "../../peer/tests/odd/mod.rs"]
mod odd;

use common::*;
use peer::channel;
use plane::{Bounds, Copy, KIND, Message, Proposal, Region, Version};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const MESSAGES: usize = 20_000;

/// Messages of every kind, of which a copy that holds five entries takes some.
fn sound_messages() -> Vec<Message> {
    let entries = || (6..=8).map(|v| wire(1, v, &format!("k{v}"), Some("new"))).collect::<Vec<_>>();
    let all = (1..=8).map(|v| wire(1, v, &format!("k{v}"), Some("new"))).collect();
    let mut messages = vec![
        delta(at(1, 5), at(1, 8), &[], entries()),
        delta(at(1, 5), at(2, 8), &[(2, 6)], Vec::new()),
        Message::Behind { region: ONE, at: at(1, 3) },
        Message::Busy { pause: 1000 },
        Message::Subscribe(vec![(ONE, at(1, 5)), (Region(2), at(0, 0))]),
        Message::Renew { wanted: vec![(ONE, at(1, 5))], doubted: vec![ONE] },
    ];
    messages.extend(whole(at(1, 8), 2, &[(1, 1)], all));
    messages
}

/// Guards against a stamp, count or position of a message that is added to or used as an index unchecked.
#[test]
fn odd_messages_to_a_copy_leave_it_in_a_state_that_it_can_tell_and_restore() {
    let (mut rng, sound) = (StdRng::seed_from_u64(68), sound_messages());
    let bodies: Vec<Vec<u8>> = sound.iter().map(Message::body).collect();
    for _ in 0..MESSAGES / 20 {
        let mut copy = copy_of(5, Bounds::default());
        for n in 0..20 {
            // The parts of a whole state in their order now and then, so that odd ones are met in the middle.
            let index = if n % 2 == 0 { rng.random_range(0..bodies.len()) } else { bodies.len() - 3 + n % 3 };
            let body =
                if rng.random() { odd::altered(&mut rng, &bodies[index]) } else { bodies[index].clone() };
            let Some(message) = Message::read(&body) else { continue };
            let _ = copy.take(message, FROM, None);
        }
        let mut other = Copy::new([ONE], Bounds::default());
        for body in copy.export() {
            other.restore(&body, None).expect("what it exports can be taken");
        }
        assert_eq!(look(&other), look(&copy));
    }
}

/// The same of what readers and proposers send to a machine.
#[test]
fn odd_messages_to_a_machine_leave_what_it_holds_and_it_goes_on() {
    let mut rng = StdRng::seed_from_u64(68);
    let mut desk = Desk::writes();
    desk.change(vec![put("a", "1"), put("b", "2")]);
    let changes = vec![put("a", "3"), delete("b")];
    let proposal = peer::wire::encode(&Proposal { changes });
    let bodies: Vec<Vec<u8>> = sound_messages().iter().map(Message::body).collect();
    for n in 0..MESSAGES / 20 {
        let conn = desk.connect("reader");
        for _ in 0..20 {
            if desk.is_closed(conn) {
                break;
            }
            let (id, index) = (rng.random(), rng.random_range(0..bodies.len()));
            let frame = if rng.random_range(0..4) == 0 {
                channel::ask(id, KIND, odd::altered(&mut rng, &proposal))
            } else {
                channel::note(KIND, odd::altered(&mut rng, &bodies[index]))
            };
            desk.bytes(conn, frame.expect("it fits a frame"));
        }
        if n % 50 == 0 {
            desk.run(1);
        }
    }
    let before = desk.machine.copy().cursor(ONE);
    desk.change(vec![put("after", "4")]);
    let after = desk.machine.copy().cursor(ONE);
    assert_eq!(after.version, Version(before.version.0 + 1), "it still takes changes, one version each");
}
