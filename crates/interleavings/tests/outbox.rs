//! The site publishes events and views, and answers, while a console's writer writes.

extern crate interleavings as sync;

#[path = "../../appliance/src/outbox.rs"]
mod outbox;

use std::time::{Duration, Instant};

use outbox::{Outbox, Piece};
use sync::checker::{Fault, assert_detected, check};
use sync::{Arc, Published, queue, thread};

/// More updates than may wait.
const MANY: u8 = 65;

/// The site's events; its view is all of them so far.
struct Site {
    view: Published<Vec<u8>>,
    outbox: Outbox,
}

impl Site {
    fn new() -> Arc<Site> {
        Arc::new(Site { view: Published::new(Vec::new()), outbox: Outbox::default() })
    }

    fn event(&self, number: u8) {
        self.outbox.publish(&[number], &self.view);
    }

    fn show(&self, most: u8) {
        self.view.publish((1..=most).collect());
        self.outbox.wake();
    }
}

/// What the console shows once it has shown the event `last`.
fn shown(site: &Site, last: u8) -> Vec<u8> {
    let mut shown = Vec::new();
    while shown.last() != Some(&last) {
        match site.outbox.next(&site.view).expect("it is open") {
            Piece::Bytes(update) => shown.extend(update),
            Piece::Whole(view) => shown = view.to_vec(),
        }
    }
    shown
}

/// Events come while the console that just subscribed gets its first view.
fn subscribed() {
    let site = Site::new();
    site.outbox.subscribe(&site.view);
    let own = site.clone();
    let writer = thread::spawn(move || shown(&own, 2));
    site.event(1);
    site.show(1);
    site.event(2);
    site.show(2);
    assert_eq!(writer.join().expect("it showed"), [1, 2], "an event is missing or doubled");
}

/// A console falls behind by more than is kept for it.
fn overtaken() {
    let site = Site::new();
    site.outbox.subscribe(&site.view);
    assert!(matches!(site.outbox.next(&site.view), Some(Piece::Whole(_))));
    (1..MANY).for_each(|n| site.event(n));
    let own = site.clone();
    let writer = thread::spawn(move || shown(&own, MANY));
    site.event(MANY);
    site.show(MANY);
    let all: Vec<u8> = (1..=MANY).collect();
    assert_eq!(writer.join().expect("it showed"), all, "an event is missing or doubled");
}

/// The site answers and leaves; the console's writer still writes, or its reader finds it gone.
fn settled(is_gone: bool) {
    let site = Site::new();
    let own = site.clone();
    let (wrote, written) = queue();
    let writer = thread::spawn(move || {
        while let Some(Piece::Bytes(bytes)) = own.outbox.next(&own.view) {
            wrote.send(bytes);
            if is_gone {
                // Its write fails, and it ends.
                return;
            }
        }
    });
    let own = site.clone();
    let reader = thread::spawn(move || {
        own.outbox.admit();
        if is_gone {
            own.outbox.close();
        }
    });
    site.outbox.answer(Some(b"a".to_vec()));
    site.outbox.settle(Instant::now() + Duration::from_secs(3600));
    let is_written = written.receive() == Some(b"a".to_vec());
    assert!(is_written || is_gone, "it left before its answer was written");
    reader.join().expect("it read");
    site.outbox.close();
    writer.join().expect("it wrote");
}

#[test]
fn each_event_is_shown_once_and_in_order() {
    println!("subscribed: {}", check(Some(3), subscribed));
    println!("overtaken: {}", check(Some(1), overtaken));
}

#[test]
fn a_site_that_leaves_waits_for_its_answers() {
    println!("{}", check(Some(2), || settled(false)));
    println!("gone: {}", check(Some(2), || settled(true)));
}

#[test]
fn an_update_missing_in_the_snapshot_is_caught() {
    assert_detected(Fault::UpdateDroppedForSnapshot, "deadlock", Some(3), subscribed);
}

#[test]
fn an_update_behind_a_snapshot_that_it_is_in_is_caught() {
    assert_detected(Fault::UpdateAfterSnapshot, "missing or doubled", Some(3), subscribed);
}
