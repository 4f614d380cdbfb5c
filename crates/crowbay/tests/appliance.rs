//! The appliance with real processes and a real pseudo-terminal.
//!
//! Two proofs have a size: `CROWBAY_DRAINS` drains in a row (6 here, 50 for the record in docs/appliance.md) and
//! `CROWBAY_KILLS` kills (12 here, 200 for the record). `CROWBAY_SEED` replays a run of kills.
mod appliance_site;

use std::io::Write;
use std::os::unix::net::UnixStream;
use std::process::Command;
use std::time::{Duration, Instant};

use appliance::wire::{self, Answer, FromConsole, Hello, Question, ToConsole, Update, VERSION};
use appliance::{Client, ClientError, SiteView};
use judge::{Day, judge};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use records::{Clock, NodeLine};
use steering::{Change, Request, RequestId, Revision, State, Verdict};

use appliance_site::*;

#[test]
fn a_drain_typed_at_the_console_under_load_stops_new_work_within_a_second_and_no_answer_is_lost() {
    let stage = Stage::new(4, 2);
    let mut client = stage.client();
    let view = stage.all_up(&mut client);
    let load = Load::start(&stage, &view, 250.0);
    let mut terminal = Terminal::open(&stage.state());
    terminal.until_shown("node4");
    let clock = Clock::new();
    let mut drains = Vec::new();
    for n in 0..size("CROWBAY_DRAINS", 6) {
        let node = format!("node{}", n % 4 + 1);
        let typed = clock.now();
        terminal.type_in(&format!(":drain {node}!\r"));
        stage.until(&mut client, "the drain is followed", |v| is_drained(v, &node));
        // Past the second within which it must show, for some; undone after 300 ms, for the others.
        let undo = if n % 2 == 0 { Duration::from_millis(1200) } else { Duration::from_millis(300) };
        while clock.now() - typed < undo.as_micros() as i64 {
            std::thread::sleep(Duration::from_millis(5));
        }
        drains.push((node.clone(), typed, clock.now()));
        terminal.type_in(&format!(":undrain {node}\r"));
        stage.until(&mut client, "the drain is undone", |v| !is_drained(v, &node));
    }
    terminal.type_in("q");
    assert!(terminal.child.wait().unwrap().success());
    let summary = load.end();
    let mut longest = 0;
    for (node, typed, undone) in &drains {
        let lines: Vec<NodeLine> = records::read(&stage.state().join(format!("node-{node}.jsonl"))).unwrap();
        let arrived = lines.iter().filter_map(|l| match l {
            NodeLine::Arrive { t, .. } if (*typed..*undone).contains(t) => Some(*t - typed),
            _ => None,
        });
        longest = longest.max(arrived.max().unwrap_or(0));
    }
    println!("{} drains: the last new work came {longest} us after the typing", drains.len());
    assert!(longest < 1_000_000, "{longest} us");
    let report = judge(&Day::read(&stage.state()).unwrap());
    println!(
        "{} commands, {} served, {} refused, {} failed, {} lost",
        report.commands, report.served, report.refused, report.failed, report.lost
    );
    assert!(report.kept() && report.lost == 0, "{:#?}", report.rules);
    assert!(summary.issued > 200 && report.served > report.commands / 3, "{summary:?}");
}

#[test]
fn a_console_closed_killed_or_cut_off_half_way_loses_nothing() {
    let stage = Stage::new(2, 1);
    let mut client = stage.client();
    let view = stage.all_up(&mut client);
    let load = Load::start(&stage, &view, 150.0);
    for signal in ["HUP", "KILL"] {
        let mut terminal = Terminal::open(&stage.state());
        terminal.until_shown("node2");
        terminal.type_in(":drain node1"); // Half sent: no return.
        kill(terminal.child.process_id().unwrap(), signal);
        terminal.child.wait().unwrap();
    }
    // A question cut off in its frame, and one whose asker is gone before the answer.
    let hello = wire::frame(&Hello { version: VERSION, who: "ben".into() }).unwrap();
    let hold = Request {
        id: RequestId(7),
        change: Change::Hold("vol2".into()),
        by: "ben".into(),
        from: "test".into(),
        expects: None,
        confirmed: false,
    };
    let question = wire::frame(&FromConsole { number: 1, question: Question::Intent(hold.clone()) }).unwrap();
    for cut in [question.len() / 2, question.len()] {
        let mut stream = UnixStream::connect(stage.socket()).unwrap();
        stream.write_all(&hello).unwrap();
        stream.write_all(&question[..cut]).unwrap();
        let _: Option<ToConsole> = wire::read(&mut stream).unwrap();
    }
    let view = stage.until(&mut client, "the whole one counts", |v| v.revision == 1);
    assert!(view.volumes[1].held.is_some() && view.nodes.iter().all(|n| n.drained.is_none()));
    let again = client.ask(Question::Intent(hold)).unwrap();
    assert!(matches!(again, Answer::Verdict(Verdict::Accepted { revision: Revision(1), .. })), "{again:?}");
    load.end();
    let report = judge(&Day::read(&stage.state()).unwrap());
    assert!(report.kept() && report.lost == 0 && report.served > 0, "{:#?}", report.rules);
    assert_eq!(client.log(10).unwrap().len(), 1);
}

#[test]
fn kills_of_the_supervisor_at_random_points_leave_the_intents_acknowledged_exactly_once_in_order() {
    let mut stage = Stage::new(2, 1);
    let seed = size("CROWBAY_SEED", 20_261_201);
    println!("seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let first = stage.all_up(&mut stage.client());
    let mut acknowledged: Vec<(RequestId, String)> = Vec::new();
    let mut next = 0u64;
    for _ in 0..size("CROWBAY_KILLS", 12) {
        let deadline = Instant::now() + Duration::from_micros(rng.random_range(0..60_000));
        let mut client = stage.client();
        let kill_at = std::thread::spawn({
            let pid = stage.supervisor.as_ref().unwrap().id();
            move || {
                std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
                kill(pid, "KILL");
            }
        });
        // Intents one after the other until the connection breaks; the last may or may not count.
        let request = loop {
            next += 1;
            let change = match rng.random_range(0..4) {
                0 => Change::Drain("node1".into()),
                1 => Change::Undrain("node1".into()),
                2 => Change::Hold("vol1".into()),
                _ => Change::Note(format!("n{next}")),
            };
            let request = Request {
                id: RequestId(next),
                change,
                by: "anna".into(),
                from: "test".into(),
                expects: None,
                confirmed: true,
            };
            match client.ask(Question::Intent(request.clone())) {
                Ok(Answer::Verdict(Verdict::Accepted { .. })) => {
                    acknowledged.push((request.id, request.change.to_string()));
                }
                Ok(_) => {}
                Err(_) => break request,
            }
        };
        kill_at.join().unwrap();
        stage.kill_supervisor();
        stage.start();
        // Asked again with its number it counts once, whether it had counted or not.
        if let Answer::Verdict(Verdict::Accepted { .. }) =
            stage.client().ask(Question::Intent(request.clone())).unwrap()
        {
            acknowledged.push((request.id, request.change.to_string()));
        }
    }
    let mut client = stage.client();
    let log = client.log(usize::MAX >> 1).unwrap();
    let stored: Vec<(RequestId, String)> = log.iter().map(|e| (e.id, e.change.to_string())).collect();
    println!("{} intents acknowledged", acknowledged.len());
    assert_eq!(stored, acknowledged);
    let view = stage.all_up(&mut client);
    assert_eq!(pid(&view, "gw1"), pid(&first, "gw1"), "the gateway was adopted each time");
    assert!(view.processes.iter().all(|p| p.restarts == 0));
}

#[test]
fn a_killed_gateway_is_started_again_under_the_intents_and_there_is_never_a_second() {
    let mut stage = Stage::new(2, 1);
    let mut client = stage.client();
    let view = stage.all_up(&mut client);
    let drain = Change::Drain("node1".into());
    assert!(client.intent(drain, "anna", "test", None, true).unwrap().is_done());
    stage.until(&mut client, "the drain is followed", |v| is_drained(v, "node1"));
    let old = pid(&view, "gw1");
    kill(old, "KILL");
    let back =
        |v: &SiteView| v.gateways[0].status.as_ref().is_some_and(|s| s.pid != old) && is_drained(v, "node1");
    let view = stage.until(&mut client, "it is started again, and follows the drain", back);
    assert_eq!(view.gateways[0].status.as_ref().unwrap().nodes.iter().map(|n| n.sent).sum::<u64>(), 0);
    // A second supervisor, and a second gateway on the identity, are turned away.
    assert_eq!(stage.command().status().unwrap().code(), Some(1));
    let lock = stage.state().join("gw1.lock");
    let second = Command::new(EXE)
        .args([
            "gateway",
            "--config",
            stage.file().to_str().unwrap(),
            "--name",
            "gw1",
            "--listen",
            "127.0.0.1:0",
        ])
        .arg("--lock")
        .arg(&lock)
        .output()
        .unwrap();
    assert_eq!(second.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&second.stderr).contains("is held by process"));
    // Without a supervisor a gateway that is killed stays down; the next supervisor replaces it.
    stage.kill_supervisor();
    kill(pid(&view, "gw1"), "KILL");
    stage.start();
    let mut client = stage.client();
    stage.until(&mut client, "it is replaced", |v| is_drained(v, "node1"));
}

#[test]
fn twenty_consoles_one_of_which_never_reads_and_one_of_another_version() {
    let stage = Stage::new(2, 1);
    let mut client = stage.client();
    stage.all_up(&mut client);
    // It subscribes and never reads.
    let mut deaf = UnixStream::connect(stage.socket()).unwrap();
    deaf.write_all(&wire::frame(&Hello { version: VERSION, who: "deaf".into() }).unwrap()).unwrap();
    deaf.write_all(&wire::frame(&FromConsole { number: 1, question: Question::Subscribe }).unwrap()).unwrap();
    let mut others: Vec<Client> = (0..19).map(|_| stage.client()).collect();
    for other in &mut others {
        other.ask(Question::Subscribe).unwrap();
    }
    // More events than a backlog holds: the deaf one must get a snapshot in their place.
    for n in 0..400 {
        let note = Change::Note(format!("{n} {}", "x".repeat(2000)));
        assert!(client.intent(note, "anna", "test", None, false).unwrap().is_done());
    }
    for other in &mut others {
        let end = Instant::now() + PATIENCE;
        while other.view().unwrap().revision < 400 {
            assert!(Instant::now() < end);
        }
    }
    // It reads at last: what waited in the socket, then a fresh snapshot in place of what it missed.
    deaf.set_read_timeout(Some(PATIENCE)).unwrap();
    let (end, mut frames, mut fresh) = (Instant::now() + PATIENCE, 0, false);
    while !fresh && Instant::now() < end {
        let frame = wire::read::<ToConsole>(&mut deaf).unwrap().expect("it goes on");
        frames += 1;
        fresh = matches!(frame, ToConsole::Update(Update::Snapshot(view)) if view.revision == 400);
    }
    assert!(fresh && frames < 350, "{frames} frames");
    match Client::connect_as(&stage.socket(), "old", VERSION + 1) {
        Err(ClientError::Version { theirs: VERSION, why }) => assert!(why.contains("same release"), "{why}"),
        other => panic!("{:?}", other.err()),
    }
}

#[test]
fn a_held_volume_takes_nothing_new_ends_what_is_in_flight_and_is_taken_again() {
    let stage = Stage::new(2, 1);
    let mut client = stage.client();
    let view = stage.all_up(&mut client);
    let load = Load::start(&stage, &view, 150.0);
    stage.until(&mut client, "it is served", |v| v.volumes[0].served > 20);
    assert!(client.intent(Change::Hold("vol1".into()), "anna", "test", None, false).unwrap().is_done());
    let held = |v: &SiteView| {
        v.gateways[0].status.as_ref().is_some_and(|s| s.held == ["vol1"]) && v.volumes[0].open == 0
    };
    let before = stage.until(&mut client, "it is held, and nothing of it is open", held);
    let later = stage
        .until(&mut client, "the other goes on", |v| v.volumes[1].served > before.volumes[1].served + 20);
    assert_eq!(later.volumes[0].taken, before.volumes[0].taken);
    assert!(client.intent(Change::Release("vol1".into()), "anna", "test", None, false).unwrap().is_done());
    stage.until(&mut client, "it is taken again", |v| v.volumes[0].served > before.volumes[0].served + 5);
    load.end();
    let report = judge(&Day::read(&stage.state()).unwrap());
    assert!(report.kept() && report.lost == 0, "{:#?}", report.rules);
}

#[test]
fn a_silent_node_with_work_out_is_drained_twice_and_undone_and_no_answer_is_lost() {
    let stage = Stage::new(2, 2);
    let mut client = stage.client();
    let view = stage.all_up(&mut client);
    let load = Load::start(&stage, &view, 200.0);
    stage.until(&mut client, "it is served", |v| v.volumes[0].served > 20);
    let fault = |on| {
        let request = lab::NodeRequest::Fault(emulator::Fault::Silent(on));
        let control = stage.state().join("node1.sock");
        control::call::<_, Option<emulator::NodeStatus>>(&control, &request, PATIENCE)
            .expect("it is switched")
    };
    fault(true);
    stage.until(&mut client, "attempts hang at it", |v| v.nodes[0].out > 0);
    let clock = Clock::new();
    let drained = clock.now();
    let drain = || Change::Drain("node1".into());
    assert!(client.intent(drain(), "anna", "test", None, true).unwrap().is_done());
    let twice = client.intent(drain(), "anna", "test", None, true).unwrap();
    assert!(matches!(twice, Verdict::Already { since: Some(_) }), "{twice:?}");
    stage.until(&mut client, "the drain is followed", |v| is_drained(v, "node1"));
    // What hung is answered at its deadline, while nothing new goes there.
    stage.until(&mut client, "nothing is out there any more", |v| v.nodes[0].out == 0);
    fault(false);
    let undone = clock.now();
    assert!(client.intent(Change::Undrain("node1".into()), "anna", "test", None, false).unwrap().is_done());
    let before = view.nodes[0].served;
    stage.until(&mut client, "it serves again", |v| {
        v.nodes[0].state == State::On && v.nodes[0].served > before + 20
    });
    load.end();
    let lines: Vec<NodeLine> = records::read(&stage.state().join("node-node1.jsonl")).unwrap();
    let late = lines.iter().filter(|l| match l {
        NodeLine::Arrive { t, .. } => (drained + 1_000_000..undone).contains(t),
        _ => false,
    });
    assert_eq!(late.count(), 0, "new work a second after the drain");
    let report = judge(&Day::read(&stage.state()).unwrap());
    assert!(report.kept() && report.lost == 0, "{:#?}", report.rules);
}

/// Bounds the size of the files that a process may write; none: no bound.
fn bound_files(pid: u32, bytes: Option<u64>) {
    use rustix::process::{Pid, Resource, Rlimit, prlimit};
    let pid = Pid::from_raw(pid as i32).unwrap();
    prlimit(Some(pid), Resource::Fsize, Rlimit { current: bytes, maximum: None }).unwrap();
}

#[test]
fn a_full_disk_under_the_running_supervisor_turns_intents_down_and_nothing_else_suffers() {
    let mut stage = Stage::new(2, 1);
    stage.all_up(&mut stage.client());
    stage.kill_supervisor();
    stage.start_without_file_size_signal();
    let mut client = stage.client();
    let view = stage.all_up(&mut client);
    let load = Load::start(&stage, &view, 150.0);
    assert!(client.intent(Change::Note("before".into()), "anna", "test", None, false).unwrap().is_done());
    let journal = stage.state().join("intents.log");
    let length = || std::fs::metadata(&journal).unwrap().len();
    let whole = length();
    let supervisor = stage.supervisor.as_ref().unwrap().id();
    // Room for a part of the next record only: it is torn, and cut off again.
    bound_files(supervisor, Some(whole + 20));
    let drain = || Change::Drain("node1".into());
    for n in 0..5 {
        let verdict = client.intent(drain(), "anna", "test", None, true).unwrap();
        assert!(matches!(verdict, Verdict::NotStored { .. }), "{n}: {verdict:?}");
        assert_eq!(length(), whole, "nothing of it is left behind");
    }
    let before = stage.until(&mut client, "the site goes on", |v| v.volumes[0].served > 20);
    assert!(before.revision == 1 && !is_drained(&before, "node1") && before.nodes[0].drained.is_none());
    bound_files(supervisor, None);
    assert!(client.intent(drain(), "anna", "test", None, true).unwrap().is_done());
    stage.until(&mut client, "the drain is followed", |v| is_drained(v, "node1"));
    stage.kill_supervisor();
    stage.start();
    let mut client = stage.client();
    let view = stage.until(&mut client, "it still stands", |v| is_drained(v, "node1"));
    assert_eq!((view.revision, client.log(10).unwrap().len()), (2, 2));
    load.end();
    let report = judge(&Day::read(&stage.state()).unwrap());
    assert!(report.kept() && report.lost == 0 && report.served > 0, "{:#?}", report.rules);
}

/// Nine gateways: the law's ceiling is 26 attempts for each.
#[test]
fn a_node_with_two_hundred_attempts_out_is_drained_and_every_one_is_answered() {
    // Nodes with many cores and long work: many attempts are out at an L that lets the bound rise.
    let stage = Stage::with(2, 9, |text| {
        let text =
            text.replace("aim_ms = 150", "aim_ms = 4000").replace("patience_ms = 750", "patience_ms = 9000");
        let text = text.replace("cores = 2 ", "cores = 400 ").replace("base_us = 500", "base_us = 400000");
        text.replace("rate = 2000 ", "rate = 90000 ").replace("reserve = 1000 ", "reserve = 90000 ")
    });
    let mut client = stage.client();
    let view = stage.all_up(&mut client);
    let load = Load::start_reads(&stage, &view, 1400.0);
    let full = |v: &SiteView| v.nodes[0].out >= 200;
    stage.until(&mut client, "two hundred attempts are out at it", full);
    let mut terminal = Terminal::open(&stage.state());
    terminal.until_shown("node1");
    stage.until(&mut client, "two hundred attempts are out at it", full);
    let clock = Clock::new();
    let out = client.view().unwrap().nodes[0].out;
    let drained = clock.now();
    terminal.type_in(":drain node1!\r");
    stage.until(&mut client, "the drain is followed", |v| is_drained(v, "node1"));
    stage.until(&mut client, "nothing is out there any more", |v| v.nodes[0].out == 0);
    println!("{out} attempts were out; nothing was {} ms after the drain", (clock.now() - drained) / 1000);
    load.end();
    let lines: Vec<NodeLine> = records::read(&stage.state().join("node-node1.jsonl")).unwrap();
    let late = lines.iter().filter(|l| matches!(l, NodeLine::Arrive { t, .. } if *t > drained + 1_000_000));
    assert_eq!(late.count(), 0, "new work a second after the drain");
    let report = judge(&Day::read(&stage.state()).unwrap());
    assert!(report.kept() && report.lost == 0 && report.failed == 0, "{report:#?}");
}
