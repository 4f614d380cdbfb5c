//! Peers on real sockets: they meet, answer, come back, and notice a disk that was put back.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;

use peer::{Incarnation, Kind, NoAnswer, PeerName, Told};
use peerlink::{PeerOptions, Peers, StartError};

const LONG: Duration = Duration::from_secs(20);

fn start(
    name: &str,
    listen: SocketAddr,
    other: (&str, SocketAddr),
    folder: &Path,
) -> (Peers, Receiver<Told>) {
    let (tell, told) = mpsc::channel();
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
    (peers.expect("it starts"), told)
}

fn next<T>(told: &Receiver<Told>, what: &str, pick: impl Fn(Told) -> Option<T>) -> T {
    loop {
        let t = told.recv_timeout(LONG).unwrap_or_else(|_| panic!("never: {what}"));
        if let Some(found) = pick(t) {
            return found;
        }
    }
}

fn up(told: &Receiver<Told>) -> Incarnation {
    next(told, "up", |t| if let Told::Up { life, .. } = t { Some(life.incarnation) } else { None })
}

/// An address that nobody else is given until its peer listens there.
fn address() -> SocketAddr {
    loopback::address().expect("an address")
}

#[test]
fn two_meet_ask_and_notice_that_a_disk_was_put_back() {
    let (da, db) = (tempfile::tempdir().expect("a folder"), tempfile::tempdir().expect("a folder"));
    let (at_a, at_b) = (address(), address());
    let (a, told_a) = start("a", at_a, ("b", at_b), da.path());
    let (b, told_b) = start("b", at_b, ("a", at_a), db.path());
    assert_eq!((up(&told_a), up(&told_b)), (Incarnation(1), Incarnation(1)));
    a.ask(&PeerName::from("b"), Kind(3), b"who".to_vec(), 10_000_000);
    let (conn, id) = next(&told_b, "asked", |t| match t {
        Told::Asked { conn, id, kind: Kind(3), body, .. } if body == b"who" => Some((conn, id)),
        _ => None,
    });
    b.answer(conn, id, Some(b"me".to_vec()));
    let outcome =
        next(
            &told_a,
            "answered",
            |t| if let Told::Answered { outcome, .. } = t { Some(outcome) } else { None },
        );
    assert_eq!(outcome, Ok(b"me".to_vec()));
    a.note(Kind(4), b"news".to_vec());
    next(&told_b, "noted", |t| matches!(t, Told::Noted { kind: Kind(4), .. }).then_some(()));
    // a's disk is copied, a lives twice more, then the copy is put back.
    let copy = std::fs::read(da.path().join("life")).expect("its life");
    let mut a = a;
    let mut told_a = told_a;
    for n in 2..=3 {
        drop(a);
        (a, told_a) = start("a", at_a_again(at_a), ("b", at_b), da.path());
        assert_eq!(up(&told_b), Incarnation(n));
    }
    drop(a);
    std::fs::write(da.path().join("life"), copy).expect("put back");
    let (a, told_a2) = start("a", at_a_again(at_a), ("b", at_b), da.path());
    drop(told_a);
    assert_eq!(a.life().incarnation, Incarnation(2), "as its disk says");
    next(&told_a2, "superseded", |t| matches!(t, Told::Superseded { .. }).then_some(()));
    assert_eq!(up(&told_b), Incarnation(4));
    // With b gone every question has its outcome.
    up(&told_a2);
    drop(b);
    next(&told_a2, "down", |t| matches!(t, Told::Down { .. }).then_some(()));
    a.ask(&PeerName::from("b"), Kind(3), Vec::new(), 10_000_000);
    let outcome =
        next(
            &told_a2,
            "answered",
            |t| if let Told::Answered { outcome, .. } = t { Some(outcome) } else { None },
        );
    assert_eq!(outcome, Err(NoAnswer::NotUp));
}

/// The port may not be free at once after its holder was dropped.
fn at_a_again(at: SocketAddr) -> SocketAddr {
    let end = std::time::Instant::now() + LONG;
    while std::net::TcpListener::bind(at).is_err() {
        assert!(std::time::Instant::now() < end, "{at} is not free again");
        std::thread::yield_now();
    }
    at
}

#[test]
fn a_damaged_life_is_told_and_not_taken_for_none() {
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
