//! Changes of one key that stand together in one message: each is counted against what stood before it.

mod common;

use common::*;
use plane::{Bounds, Copy, Message, Taken};

/// The same changes, each in a message of its own.
fn one_by_one(values: &[Option<&str>]) -> Copy {
    let mut copy = Copy::new([ONE], Bounds::default());
    for (value, v) in values.iter().zip(1..) {
        let entry = wire(1, v, "key", *value);
        copy.take(delta(at(u64::from(v > 1), v - 1), at(1, v), &[(1, 1)], vec![entry]), FROM, None)
            .expect("a change");
    }
    copy
}

/// Danger: what is counted twice falls below none, and a state within its bounds, or a machine's own disk, is turned away.
#[test]
fn a_key_that_is_changed_twice_in_one_message_is_counted_once() {
    let large = "x".repeat(2_000);
    let cases: [&[Option<&str>]; 4] = [
        &[Some(&large), Some("a"), Some("b")],
        &[Some(&large), None, Some("b")],
        &[Some(&large), Some("a"), None],
        &[Some(&large), None, None, Some("b"), Some(&large), None],
    ];
    for values in cases {
        let wanted = one_by_one(values);
        let entry = |(value, v): (&Option<&str>, u64)| wire(1, v, "key", *value);
        let entries: Vec<_> = values.iter().zip(1..).map(entry).collect();
        let count = entries.len() as u64;
        let mut copy = Copy::new([ONE], Bounds::default());
        let first = delta(at(0, 0), at(1, 1), &[(1, 1)], entries[..1].to_vec());
        copy.take(first, FROM, None).expect("the first");
        let mut rest = delta(at(1, 1), at(1, count), &[(1, 1)], entries[1..].to_vec());
        // The sender's word of what is held then.
        if let Message::Delta { digest, .. } = &mut rest {
            *digest = Some(wanted.table(ONE).expect("its region").digest());
        }
        let taken = copy.take(rest, FROM, None);
        assert!(matches!(taken, Ok(Taken::Delta { level: true, .. })), "{count} changes: {taken:?}");
        assert_eq!(look(&copy), look(&wanted), "{count} changes");
    }
}
