//! Sites of a few control machines in this process, and how conditions are waited for.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use peer::PeerName;
use plane::{Change, Kind, Place, Proposal, ProposalError, Proposed, Region, Stamp};
use planelink::{
    FollowOptions, Followed, Follower, HollowRun, LinkOptions, MachineAddress, MachineRun, Proposer, RunError,
};
use serde_bytes::ByteBuf;
use serde_json::Value;

pub const LONG: Duration = Duration::from_secs(30);
pub const SITE: u64 = 7;

/// Where a process leaves the error that ended it.
type Failure = Arc<Mutex<Option<String>>>;

thread_local! {
    /// Of the processes that this test has started.
    static FAILURES: RefCell<Vec<Failure>> = const { RefCell::new(Vec::new()) };
}

/// Fails the test if a process that it has started could not start or go on.
fn assert_all_run() {
    FAILURES.with_borrow(|failures| {
        for failure in failures {
            let why = failure.lock().unwrap_or_else(PoisonError::into_inner);
            assert!(why.is_none(), "a process has ended: {}", why.as_deref().unwrap_or_default());
        }
    });
}

/// Waits for a condition.
pub fn until(what: &str, mut is_so: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !is_so() {
        assert_all_run();
        assert!(Instant::now() < end, "never: {what}");
        thread::yield_now();
    }
}

/// A process on a thread, with the lines it says.
pub struct Process {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<Result<(), RunError>>>,
    lines: Receiver<String>,
}

impl Process {
    fn start(
        run: impl FnOnce(planelink::Tell, Arc<AtomicBool>) -> Result<(), RunError> + Send + 'static,
    ) -> Process {
        let (tell, lines) = mpsc::channel();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let tell: planelink::Tell = Box::new(move |line: &str| drop(tell.send(line.to_owned())));
        let failure = Failure::default();
        FAILURES.with_borrow_mut(|failures| failures.push(failure.clone()));
        let run = move || {
            let result = run(tell, stopped);
            if let Err(error) = &result {
                *failure.lock().unwrap_or_else(PoisonError::into_inner) = Some(error.to_string());
            }
            result
        };
        Process { stop, thread: Some(thread::spawn(run)), lines }
    }

    /// The next line of which something holds.
    pub fn line(&self, what: &str, holds: impl Fn(&Value) -> bool) -> Value {
        let end = Instant::now() + LONG;
        loop {
            assert_all_run();
            let left = end.saturating_duration_since(Instant::now());
            let line = self.lines.recv_timeout(left).unwrap_or_else(|_| panic!("never said: {what}"));
            let value: Value = serde_json::from_str(&line).expect("a line of JSON");
            if holds(&value) {
                return value;
            }
        }
    }

    pub fn stop(mut self) {
        self.end().expect("it ends well");
    }

    pub fn end(&mut self) -> Result<(), RunError> {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.take().expect("it runs").join().expect("it doesn't panic")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.thread.is_some() {
            let _ = self.end();
        }
    }
}

/// Control machines and where they listen.
#[derive(Clone)]
pub struct Site {
    pub places: Vec<Place>,
    pub addresses: BTreeMap<PeerName, SocketAddr>,
}

impl Site {
    /// Machines by name, region, and whether they write.
    pub fn new(machines: &[(&str, u16, bool)]) -> Site {
        let place = |&(name, region, writer): &(&str, u16, bool)| Place {
            name: name.into(),
            region: Region(region),
            writer,
        };
        let places: Vec<Place> = machines.iter().map(place).collect();
        let addresses = places
            .iter()
            .map(|place| (place.name.clone(), loopback::address().expect("an address")))
            .collect();
        Site { places, addresses }
    }

    pub fn regions(&self) -> Vec<Region> {
        let mut regions: Vec<Region> = self.places.iter().map(|place| place.region).collect();
        regions.sort();
        regions.dedup();
        regions
    }

    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[&PeerName::from(name)]
    }

    /// The machine as a proposer is told of it.
    pub fn machine(&self, name: &str) -> MachineAddress {
        MachineAddress { site: SITE, name: name.into(), address: self.address(name) }
    }

    pub fn machine_run(&self, name: &str, folder: &Path) -> MachineRun {
        let (places, addresses) = (self.places.clone(), self.addresses.clone());
        let mut run =
            MachineRun::new(name.into(), SITE, places, self.address(name), addresses, folder.to_owned());
        run.spread = 20_000;
        run
    }

    pub fn start(&self, name: &str, folder: &Path) -> Process {
        self.start_with(self.machine_run(name, folder))
    }

    /// Starts a machine with records in a folder.
    pub fn start_recorded(&self, name: &str, folder: &Path, records: &Path) -> Process {
        let mut run = self.machine_run(name, folder);
        run.records = Some(records.to_owned());
        self.start_with(run)
    }

    pub fn start_with(&self, mut run: MachineRun) -> Process {
        Process::start(move |tell, stop| {
            run.tell = Some(tell);
            planelink::run_machine(run, stop)
        })
    }

    /// How gateways of a region follow.
    pub fn link(&self, region: u16) -> LinkOptions {
        let of = |near: bool| {
            let there = self.places.iter().filter(|place| (place.region.0 == region) == near);
            there.map(|place| place.name.clone()).collect::<Vec<_>>()
        };
        let mut link = LinkOptions::new(SITE, self.regions(), of(true), of(false));
        link.addresses = self.addresses.clone();
        link.spread = 20_000;
        link
    }

    pub fn follow(&self, name: &str, folder: &Path) -> (Follower, Receiver<Followed>) {
        follow(name, self.link(1), folder)
    }

    pub fn start_hollow(&self, change: impl FnOnce(&mut HollowRun), names: usize, folder: &Path) -> Process {
        let names = (0..names).map(|n| PeerName(format!("g{n:04}"))).collect();
        let mut run = HollowRun::new("h1", names, self.link(1), folder.to_owned());
        change(&mut run);
        Process::start(move |tell, stop| {
            run.tell = Some(tell);
            planelink::run_hollow(run, stop)
        })
    }

    /// Proposes changes until they are taken or turned down for another reason than that the writer recovers.
    pub fn propose(&self, machine: &str, changes: Vec<Change>) -> Proposed {
        let proposal = Proposal { changes };
        let end = Instant::now() + LONG;
        loop {
            assert_all_run();
            let proposer = Proposer::connect(&self.machine(machine), &"put".into());
            match proposer.and_then(|mut proposer| proposer.propose(&proposal, LONG)) {
                Ok(Err(ProposalError::Recovering(_))) => {}
                Ok(proposed) => return proposed,
                // It doesn't listen yet.
                Err(planelink::ProposeError::Io(..)) => {}
                Err(error) => panic!("no answer: {error}"),
            }
            assert!(Instant::now() < end, "{machine} never opens");
            thread::yield_now();
        }
    }

    /// Puts one node's value, in the region of a writer.
    pub fn put(&self, machine: &str, name: &str, value: &[u8]) -> Stamp {
        let region = self.places.iter().find(|place| place.name.0 == machine).expect("a machine").region;
        let stamps = self.propose(machine, vec![change(region, name, Some(value))]).expect("it is taken");
        assert_eq!(stamps.len(), 1);
        stamps[0]
    }
}

pub fn follow(name: &str, link: LinkOptions, folder: &Path) -> (Follower, Receiver<Followed>) {
    let (tell, told) = mpsc::channel();
    let options = FollowOptions { name: name.into(), link, folder: folder.to_owned(), seed: 5 };
    let follower = Follower::start(options, move |followed| drop(tell.send(followed)));
    (follower.expect("it starts"), told)
}

pub fn change(owner: Region, name: &str, value: Option<&[u8]>) -> Change {
    Change { owner, kind: Kind::Node, name: name.into(), value: value.map(|v| ByteBuf::from(v.to_vec())) }
}

/// Copies the files of one folder into another, in place of what is there.
pub fn copy_files(from: &Path, to: &Path) {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to).expect("a folder");
    for entry in std::fs::read_dir(from).expect("a folder") {
        let path = entry.expect("a file").path();
        std::fs::copy(&path, to.join(path.file_name().expect("a name"))).expect("a copy");
    }
}

/// Lines of a file of records, in words.
pub fn records(folder: &Path, name: &str) -> Vec<Vec<String>> {
    let text = std::fs::read_to_string(folder.join(name)).expect("records");
    text.lines().map(|line| line.split(' ').map(str::to_owned).collect()).collect()
}
