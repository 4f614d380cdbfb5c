//! Peers on real sockets: connecting, answering, reconnecting, and detecting a restored disk.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;

use peer::{Incarnation, Kind, NoAnswer, PeerName, Told};
use peerlink::{PeerOptions, Peers, StartError};

const TIMEOUT: Duration = Duration::from_secs(20);

fn start(
    name: &str,
    listen: SocketAddr,
    other: (&str, SocketAddr),
    folder: &Path,
) -> (Peers, Receiver<Told>) {
    let (tell, notifications) = mpsc::channel();
    let options = PeerOptions {
        name: name.into(),
        listen,
        peers: vec![(other.0.into(), other.1)],
        site: 7,
        folder: folder.to_owned(),
    };
    let peers = Peers::start(options, move |t| {
        let _ = tell.send(t);
    });
    (peers.expect("it starts"), notifications)
}

fn wait_for<T>(notifications: &Receiver<Told>, what: &str, pick: impl Fn(Told) -> Option<T>) -> T {
    loop {
        let t = notifications.recv_timeout(TIMEOUT).unwrap_or_else(|_| panic!("never: {what}"));
        if let Some(found) = pick(t) {
            return found;
        }
    }
}

fn wait_for_up(notifications: &Receiver<Told>) -> Incarnation {
    wait_for(
        notifications,
        "up",
        |t| if let Told::Up { life, .. } = t { Some(life.incarnation) } else { None },
    )
}

/// A loopback address reserved for a peer until it listens there.
fn address() -> SocketAddr {
    loopback::address().expect("an address")
}

#[test]
fn peers_connect_answer_and_detect_a_restored_disk() {
    let (da, db) = (tempfile::tempdir().expect("a folder"), tempfile::tempdir().expect("a folder"));
    let (at_a, at_b) = (address(), address());
    let (a, notifications_a) = start("a", at_a, ("b", at_b), da.path());
    let (b, notifications_b) = start("b", at_b, ("a", at_a), db.path());
    assert_eq!(
        (wait_for_up(&notifications_a), wait_for_up(&notifications_b)),
        (Incarnation(1), Incarnation(1))
    );
    a.ask(&PeerName::from("b"), Kind(3), b"who".to_vec(), 10_000_000);
    let (conn, id) = wait_for(&notifications_b, "asked", |t| match t {
        Told::Asked { conn, id, kind: Kind(3), body, .. } if body == b"who" => Some((conn, id)),
        _ => None,
    });
    b.answer(conn, id, Some(b"me".to_vec()));
    let outcome = wait_for(&notifications_a, "answered", |t| {
        if let Told::Answered { outcome, .. } = t { Some(outcome) } else { None }
    });
    assert_eq!(outcome, Ok(b"me".to_vec()));
    a.note(Kind(4), b"news".to_vec());
    wait_for(&notifications_b, "noted", |t| matches!(t, Told::Noted { kind: Kind(4), .. }).then_some(()));
    // Copies a's stored life, restarts a twice, then restores the copy.
    let copy = std::fs::read(da.path().join("life")).expect("its life");
    let mut a = a;
    let mut notifications_a = notifications_a;
    for n in 2..=3 {
        drop(a);
        (a, notifications_a) = start("a", wait_until_free(at_a), ("b", at_b), da.path());
        assert_eq!(wait_for_up(&notifications_b), Incarnation(n));
    }
    drop(a);
    std::fs::write(da.path().join("life"), copy).expect("put back");
    let (a, notifications_a2) = start("a", wait_until_free(at_a), ("b", at_b), da.path());
    drop(notifications_a);
    assert_eq!(a.life().incarnation, Incarnation(2), "as its disk says");
    wait_for(&notifications_a2, "superseded", |t| matches!(t, Told::Superseded { .. }).then_some(()));
    assert_eq!(wait_for_up(&notifications_b), Incarnation(4));
    // A question has an outcome also without a connected peer.
    wait_for_up(&notifications_a2);
    drop(b);
    wait_for(&notifications_a2, "down", |t| matches!(t, Told::Down { .. }).then_some(()));
    a.ask(&PeerName::from("b"), Kind(3), Vec::new(), 10_000_000);
    let outcome = wait_for(&notifications_a2, "answered", |t| {
        if let Told::Answered { outcome, .. } = t { Some(outcome) } else { None }
    });
    assert_eq!(outcome, Err(NoAnswer::NotUp));
}

/// Waits until the port is free, which may take a moment after its holder was dropped.
fn wait_until_free(at: SocketAddr) -> SocketAddr {
    let end = std::time::Instant::now() + TIMEOUT;
    while std::net::TcpListener::bind(at).is_err() {
        assert!(std::time::Instant::now() < end, "{at} is not free again");
        std::thread::yield_now();
    }
    at
}

#[test]
fn damaged_life_is_an_error_and_not_treated_as_missing() {
    let folder = tempfile::tempdir().expect("a folder");
    let (a, _told) = start("a", address(), ("b", address()), folder.path());
    drop(a);
    let file = folder.path().join("life");
    let mut bytes = std::fs::read(&file).expect("its life");
    bytes[6] ^= 1;
    std::fs::write(&file, bytes).expect("damaged");
    let options = PeerOptions {
        name: "a".into(),
        listen: address(),
        peers: Vec::new(),
        site: 7,
        folder: folder.path().to_owned(),
    };
    let error = Peers::start(options, |_| {}).err().expect("it does not start");
    assert!(
        matches!(&error, StartError::Life(_)) && error.to_string().contains("life is damaged"),
        "{error}"
    );
}
