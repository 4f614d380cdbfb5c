//! Things are given, taken and ended by two threads.

use interleavings::checker::{Fault, assert_detected, check};
use interleavings::{Arc, Mutex, lock, queue, thread};

fn given_and_ended() {
    let (giver, taker) = queue();
    let takes = thread::spawn(move || {
        let mut taken = Vec::new();
        while let Some(n) = taker.receive() {
            taken.push(n);
        }
        taken
    });
    assert!(giver.send(1));
    assert!(giver.send(2));
    drop(giver);
    assert_eq!(takes.join().expect("it took"), [1, 2], "something given was not taken");
}

fn given_and_taken_at_once() {
    let (giver, taker) = queue();
    let takes = thread::spawn(move || {
        let mut taken = Vec::new();
        while let Some(all) = taker.receive_all() {
            assert!(!all.is_empty());
            taken.extend(all);
        }
        taken
    });
    (0..3).for_each(|n| assert!(giver.send(n)));
    drop(giver);
    assert_eq!(takes.join().expect("it took"), [0, 1, 2], "something given was not taken");
}

/// Each thing is taken, or dropped with the taker, or comes back as not given; the giver never waits.
fn given_to_one_that_goes() {
    let (giver, taker) = queue();
    let taken = Arc::new(Mutex::new(0));
    let counts = taken.clone();
    let takes = thread::spawn(move || {
        *lock(&counts) += taker.receive().map_or(0, |_| 1);
    });
    let thing = std::sync::Arc::new(());
    let given = [0, 1].map(|_| giver.send(thing.clone()));
    takes.join().expect("it took");
    assert!(given[0] || !given[1], "a taker that had gone came back");
    assert_eq!((given[0], *lock(&taken)), (true, 1));
    assert_eq!(std::sync::Arc::strong_count(&thing), 1, "a thing was kept for nobody");
    assert!(!giver.send(thing));
}

#[test]
fn all_that_is_given_is_taken_in_order() {
    println!("one by one: {}", check(None, given_and_ended));
    println!("all at once: {}", check(None, given_and_taken_at_once));
}

#[test]
fn nothing_is_kept_for_a_taker_that_is_gone() {
    println!("{}", check(None, given_to_one_that_goes));
}

#[test]
fn a_wake_up_that_is_lost_is_caught() {
    assert_detected(Fault::SendWithoutWake, "deadlock", None, given_to_one_that_goes);
    assert_detected(Fault::DropWithoutWake, "deadlock", None, given_and_ended);
}

#[test]
fn an_end_before_what_was_given_is_caught() {
    assert_detected(Fault::EndBeforeItems, "was not taken", None, given_and_ended);
}
