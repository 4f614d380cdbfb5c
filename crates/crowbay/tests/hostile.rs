//! Hostile load on the platform gateway as a process, beside sound clients that must be served.
//!
//! `CROWBAY_HOSTILE_SECONDS` is the length of each play (3 here), `CROWBAY_SEED` its seed, `CROWBAY_MEMORY_MB`
//! and `CROWBAY_DESCRIPTORS` what the gateway is granted.

mod stage;

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hostile::{Kind, Options, Report, Target, run};
use http1::RequestDecoder;
use stage::gauge::Gauge;
use stage::{LIMITS, Process, agent, list, next_request, request, serve};

/// The least memory and the descriptors that the platform grants.
const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u64 = 1024;
/// An attempt may begin this long after its client has closed.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);
/// Time for which the machine may hold up a stand-in between an event and its note of it.
const NOTE_SLACK: Duration = Duration::from_millis(50);
const NODES: usize = 4;
/// Size of the answers to clients that do not read them; the protocol's longest.
const LONG_ANSWER: usize = 64 << 10;

/// Requests that stand-in nodes received, with the time.
type Received = Arc<Mutex<Vec<(Instant, String)>>>;

fn number_from(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

fn memory_mb() -> u64 {
    number_from("CROWBAY_MEMORY_MB", MEMORY_MB)
}

/// Held by the play that is on. Several floods at once take all processors, and the gateway's thread, ready to run,
/// had none for 1.5 to 2 of 3 s; what is late then says nothing of the gateway.
static PLAY: Mutex<()> = Mutex::new(());

/// A gateway before sound nodes of one shard.
struct Site {
    process: Process,
    received: Received,
    /// Dropped last, once the process has ended.
    _play: MutexGuard<'static, ()>,
}

impl Site {
    fn start() -> Site {
        let play = PLAY.lock().unwrap_or_else(PoisonError::into_inner);
        let received = Received::default();
        let nodes: Vec<_> = (0..NODES).map(|n| (format!("node{n}"), node(&received))).collect();
        let nodes: Vec<_> = nodes.iter().map(|(name, at)| (name.as_str(), *at)).collect();
        let mut known = list(1, &nodes);
        known["members"].as_array_mut().expect("members").iter_mut().for_each(|m| m["cell"] = 0.into());
        let mut config = request::site(agent(known.clone(), Arc::default()), &known, true);
        config["limits"]["memory_mb"] = memory_mb().into();
        config["limits"]["sockets"] = number_from("CROWBAY_DESCRIPTORS", DESCRIPTORS).into();
        Site { _play: play, process: Process::start(&config), received }
    }

    /// How long the gateway's thread that had to wait most for a processor did so, since its start.
    fn longest_delayed_thread(&self) -> Duration {
        let tasks =
            std::fs::read_dir(format!("/proc/{}/task", self.process.child.id())).expect("its threads");
        let delay = |task: std::io::Result<std::fs::DirEntry>| {
            let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
            text.split_ascii_whitespace().nth(1)?.parse().ok()
        };
        Duration::from_nanos(tasks.filter_map(delay).max().unwrap_or(0))
    }

    /// Plays hostile load; returns what became of it and the most memory the gateway held, in KB.
    fn play(&self, kind: Kind, connections: u16) -> (Report, u64) {
        let target = Target {
            read_class: request::READ.into(),
            write_class: request::KEYED.into(),
            plan: "plain".into(),
            shard: 0,
        };
        let options = Options {
            address: self.process.address,
            target,
            kind,
            connections,
            sound_clients: 12,
            seed: number_from("CROWBAY_SEED", 20_261_205),
            duration: Duration::from_secs(number_from("CROWBAY_HOSTILE_SECONDS", 3)),
        };
        let gauge = Gauge::new(self.process.child.id());
        let report = run(&options, &AtomicBool::new(false)).expect("the gateway listens");
        let (memory, descriptors) = gauge.most();
        let delayed = self.longest_delayed_thread();
        println!(
            "{kind:?} by {connections}: {memory} KB, {descriptors} descriptors, a thread ready without a processor \
             for {delayed:?}; {report:?}"
        );
        (report, memory)
    }
}

/// A stand-in node that answers at once.
fn node(received: &Received) -> std::net::SocketAddr {
    let received = received.clone();
    serve(move |mut stream| {
        use std::io::Write;
        let mut decoder = RequestDecoder::new(LIMITS);
        while let Some(request) = next_request(&mut stream, &mut decoder) {
            let arrived = Instant::now();
            let id = request.fields.unique("x-request-id").ok().flatten().unwrap_or_default();
            let id = String::from_utf8_lossy(id).into_owned();
            let body =
                if id.starts_with("unread") { vec![b'y'; LONG_ANSWER] } else { id.clone().into_bytes() };
            let answer = http1::encode_response(200, &[], &body, true);
            received.lock().expect("received").push((arrived, id));
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    })
}

/// Sound clients are served beside it, within the memory that is granted.
fn is_borne(kind: Kind, connections: u16) {
    let site = Site::start();
    let (report, memory) = site.play(kind, connections);
    assert!(report.is_good(), "{kind:?} by {connections}: {:?}", report.sound);
    assert!(memory < memory_mb() << 10, "{kind:?} by {connections}: {memory} KB");
}

/// Guards against a process that passes its memory limit by the bodies that hundreds of clients do not end.
#[test]
fn open_bodies_stay_within_the_memory() {
    is_borne(Kind::OpenBodies, 300);
}

/// Guards against a process that passes its memory limit by the bodies that hundreds of clients send slowly.
#[test]
fn slow_bodies_stay_within_the_memory() {
    is_borne(Kind::SlowBodies, 300);
}

/// Guards against a process that passes its memory limit by heads of very many short fields.
#[test]
fn open_heads_stay_within_the_memory() {
    is_borne(Kind::OpenHeads, 300);
}

/// Guards against a process that passes its memory limit by answers that nobody reads.
#[test]
fn unread_answers_stay_within_the_memory() {
    let site = Site::start();
    let (report, memory) = site.play(Kind::Unread, 200);
    let sound = report.sound;
    assert!(sound.asked > 0 && sound.lost + sound.late + sound.failed == 0, "{sound:?}");
    assert!(memory < memory_mb() << 10, "{memory} KB");
}

#[test]
fn open_bodies_and_heads_together_stay_within_the_memory() {
    is_borne(Kind::Mixed, 300);
}

/// Guards against one client whose requests keep the others' from being read.
#[test]
fn one_flood_of_unsound_requests_delays_nobody() {
    is_borne(Kind::Unsound, 1);
}

#[test]
fn six_floods_of_unsound_requests_delay_nobody() {
    is_borne(Kind::Unsound, 6);
}

#[test]
fn six_floods_of_readiness_checks_delay_nobody() {
    is_borne(Kind::Ready, 6);
}

#[test]
fn six_floods_of_new_classes_delay_nobody() {
    is_borne(Kind::Classes, 6);
}

/// Guards against memory that grows with the requests of a flood.
#[test]
fn six_floods_of_short_reads_delay_nobody_and_hold_no_memory() {
    is_borne(Kind::Reads, 6);
}

/// Guards against tables that grow with the names that a client makes up.
#[test]
fn six_floods_of_reads_of_new_volumes_delay_nobody_and_hold_no_memory() {
    is_borne(Kind::Volumes, 6);
}

#[test]
fn floods_of_sixty_connections_delay_nobody() {
    for kind in [Kind::Unsound, Kind::Ready, Kind::Classes, Kind::Reads] {
        is_borne(kind, 60);
    }
}

#[test]
fn floods_of_hundreds_of_connections_delay_nobody() {
    for kind in [Kind::Unsound, Kind::Reads] {
        is_borne(kind, 300);
    }
}

/// Guards against requests that are sent on after their client has closed with its answers unread.
#[test]
fn nothing_is_sent_for_clients_that_have_left() {
    let site = Site::start();
    let (report, _) = site.play(Kind::Leaving, 9);
    let closed: HashMap<&str, Instant> = report
        .departures
        .iter()
        .flat_map(|departure| departure.ids.iter().map(|id| (id.as_str(), departure.closed)))
        .collect();
    assert!(!closed.is_empty());
    let received = site.received.lock().expect("received");
    let mut times: HashMap<&str, u32> = HashMap::new();
    for (arrived, id) in received.iter() {
        let Some(closed) = closed.get(id.as_str()) else { continue };
        let after = arrived.saturating_duration_since(*closed);
        assert!(after < DEPARTURE_GRACE + NOTE_SLACK, "{id} was sent {after:?} after its client had left");
        *times.entry(id).or_default() += 1;
    }
    assert!(report.is_good(), "{:?}", report.sound);
}
