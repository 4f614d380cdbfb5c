//! A snapshot is published while it is read.

use interleavings::checker::{Fault, assert_detected, check};
use interleavings::{Arc, Published, thread};

/// A value of two parts that belong to its number.
#[derive(Debug, PartialEq)]
struct Pair(u64, u64);

fn pair(number: u64) -> Pair {
    Pair(number * 10, number * 10 + 1)
}

fn read(published: &Published<Pair>) {
    let mut held = published.latest();
    let first = held.number();
    assert_eq!(*held, pair(first), "a snapshot has another's number");
    let announced = published.number();
    let later = published.refresh(&mut held);
    assert!(held.number() >= announced, "a snapshot is older than its announced number");
    assert!(held.number() >= first, "a reader's number went back");
    assert_eq!(later, held.number() > first);
    assert_eq!(*held, pair(held.number()), "a snapshot has another's number");
}

fn one_publishes_while_two_read() {
    let published = Arc::new(Published::new(pair(0)));
    let readers = [0, 1].map(|_| {
        let published = published.clone();
        thread::spawn(move || read(&published))
    });
    assert_eq!(published.publish(pair(1)), 1);
    assert_eq!(published.publish(pair(2)), 2);
    readers.into_iter().for_each(|reader| reader.join().expect("it read"));
    assert_eq!(*published.latest(), pair(2));
}

fn one_publishes_while_one_reads() {
    let published = Arc::new(Published::new(pair(0)));
    let own = published.clone();
    let reader = thread::spawn(move || read(&own));
    published.publish(pair(1));
    published.publish(pair(2));
    reader.join().expect("it read");
}

#[test]
fn snapshots_are_whole_and_numbers_never_go_back() {
    println!("one reader: {}", check(None, one_publishes_while_one_reads));
    println!("two readers: {}", check(Some(3), one_publishes_while_two_read));
}

#[test]
fn a_publish_in_two_steps_is_caught() {
    assert_detected(Fault::NumberFirst, "another's number", Some(3), one_publishes_while_two_read);
}
