//! The control socket's answers are owed and written while the process waits to leave.

extern crate interleavings as sync;

#[path = "../../control/src/owed.rs"]
mod owed;

use std::time::Duration;

use owed::Owed;
use sync::checker::{Fault, assert_detected, check};
use sync::{Arc, Mutex, lock, thread};

/// Longer than any check; its end is a deadlock.
const WITHIN: Duration = Duration::from_secs(3600);

/// The asker of the stop is answered before the process leaves; another one comes meanwhile.
fn settled() {
    let (owed, written) = (Arc::new(Owed::default()), Arc::new(Mutex::new(0)));
    let asked = thread::spawn({
        let (owed, written) = (owed.clone(), written.clone());
        move || {
            let owing = owed.owe();
            *lock(&written) += 1;
            drop(owing);
        }
    });
    let owing = owed.owe();
    let answers = thread::spawn({
        let (owed, written) = (owed.clone(), written.clone());
        move || {
            // The request was read before the stop was.
            let _more = owed.owe();
            *lock(&written) += 1;
        }
    });
    *lock(&written) += 1;
    drop(owing);
    assert!(owed.settle(WITHIN));
    asked.join().expect("it asked");
    answers.join().expect("it answered");
    assert!(owed.settle(WITHIN) && *lock(&written) == 3);
}

/// What was owed when the wait began is written when it ends.
fn waited_for() {
    let (owed, written) = (Arc::new(Owed::default()), Arc::new(Mutex::new(false)));
    let (reads, read) = sync::queue();
    let converses = thread::spawn({
        let (owed, written) = (owed.clone(), written.clone());
        move || {
            let owing = owed.owe();
            reads.send(());
            *lock(&written) = true;
            drop(owing);
        }
    });
    read.receive().expect("the request was read");
    assert!(owed.settle(WITHIN));
    assert!(*lock(&written), "it left before its answer was written");
    converses.join().expect("it answered");
}

#[test]
fn one_that_leaves_waits_for_each_answer() {
    println!("one: {}", check(None, waited_for));
    println!("three: {}", check(Some(2), settled));
}

#[test]
fn an_answer_written_unsaid_is_caught() {
    assert_detected(Fault::PaidWithoutWake, "deadlock", None, waited_for);
}
