//! `check`, `status`, `requests` and `stop`.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use gateway::{ControlAnswer, ControlRequest, Status};

use crate::command::{At, RecoveryVerb, SiteAt};
use crate::{Ended, Failure, USAGE, operate};

pub fn check(file: &Path) -> Ended {
    let site = crate::serve::load(file)?;
    output::outln!(
        "{}: well formed; {} classes, {} plans, {} volumes, {} gateways, {} nodes, {} clients, {} troubles",
        file.display(),
        site.class.len(),
        site.plan.len(),
        site.volume.len(),
        site.gateway.len(),
        site.node.len(),
        site.client.len(),
        site.trouble.len()
    );
    Ok(ExitCode::SUCCESS)
}

fn ask(control: &Path, request: &ControlRequest) -> Result<ControlAnswer, Failure> {
    Ok(control::call(control, request, Duration::from_secs(10))?)
}

fn site_at(at: &At) -> SiteAt {
    SiteAt { state: at.state.clone(), json: at.json }
}

fn unexpected() -> Failure {
    Failure { code: 1, what: "the gateway answered something else; is it of another version?".into() }
}

pub fn status(at: &At) -> Ended {
    let Some(control) = &at.control else { return operate::status(&site_at(at)) };
    let ControlAnswer::Status(status) = ask(control, &ControlRequest::Status)? else {
        return Err(unexpected());
    };
    if at.json {
        output::outln!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print_status(&status);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_status(s: &Status) {
    let up = (s.now - s.started) as f64 / 1e6;
    let stopping = if s.stopping { ", stopping" } else { "" };
    output::outln!("{} on {}, up {up:.0} s{stopping}; {} connections", s.name, s.address, s.connections);
    output::outln!(
        "taken {}, served {}, refused {}, failed {}, aborted {}, left by their client {}, open {}",
        s.taken,
        s.served,
        s.refused,
        s.failed,
        s.aborted,
        s.withdrawn,
        s.open
    );
    for (cause, count) in &s.causes {
        output::outln!("not served, {cause}: {count}");
    }
    output::outln!("attempts {}, repeats {}, out {}, late {}", s.sent, s.retries, s.out, s.late_ends);
    if s.lost_log_lines > 0 {
        output::outln!("lines of the log that could not be written: {}", s.lost_log_lines);
    }
    output::outln!();
    output::outln!(
        "{:16} {:21} {:>5} {:>9} {:>10} {:>5} {:>9} {:>9} {:>8} {:>9}",
        "node",
        "address",
        "shard",
        "state",
        "link",
        "out",
        "sent",
        "served",
        "unserved",
        "last ms"
    );
    for n in &s.nodes {
        output::outln!(
            "{:16} {:21} {:>5} {:>9} {:>10} {:>5} {:>9} {:>9} {:>8} {:>9.1}",
            n.name,
            n.address,
            n.shard,
            format!("{:?}", n.state).to_lowercase(),
            n.link,
            n.out,
            n.sent,
            n.served,
            n.unserved,
            n.latency as f64 / 1000.0
        );
    }
    output::outln!();
    output::outln!(
        "{:16} {:>5} {:>6} {:>9} {:>9} {:>9} {:>9} {:>11}",
        "volume",
        "nsid",
        "open",
        "taken",
        "served",
        "refused",
        "failed",
        "units"
    );
    for v in &s.volumes {
        output::outln!(
            "{:16} {:>5} {:>6} {:>9} {:>9} {:>9} {:>9} {:>11.0}",
            v.name,
            v.nsid,
            v.open,
            v.taken,
            v.served,
            v.refused,
            v.failed,
            v.units
        );
    }
    let lines = console::fleet_lines(s);
    if !lines.is_empty() {
        output::outln!();
        lines.iter().for_each(|line| output::outln!("{line}"));
    }
}

/// The recovery of a gateway, and its clock.
fn recovery_of(control: &Path) -> Result<(recovery::Shown, i64, String), Failure> {
    let ControlAnswer::Status(status) = ask(control, &ControlRequest::Status)? else {
        return Err(unexpected());
    };
    let none =
        || Failure { code: USAGE, what: format!("{} has no [recovery]: it is open at once", status.name) };
    Ok((status.recovery.clone().ok_or_else(none)?, status.now, status.name))
}

pub fn recovery(verb: &RecoveryVerb) -> Ended {
    match verb {
        RecoveryVerb::Status { control, json } => {
            let (shown, now, name) = recovery_of(control)?;
            if *json {
                output::outln!("{}", serde_json::to_string_pretty(&shown)?);
            } else {
                print_recovery(&name, &shown, now);
            }
            Ok(ExitCode::SUCCESS)
        }
        RecoveryVerb::Explain { nsid, block, control } => {
            let (shown, now, _) = recovery_of(control)?;
            explain(&shown, now, *nsid, *block);
            Ok(ExitCode::SUCCESS)
        }
        RecoveryVerb::Hurry { control, confirm } => {
            let costs = "orders that only a peer holds come when it does, and cold nodes may be pushed over";
            force(control, *confirm, &ControlRequest::Recovery { stop_waiting: true, release: None }, costs)
        }
        RecoveryVerb::Release { number, control, confirm } => {
            let costs = "that write may still run, and overtake what is written to the key from now on";
            force(
                control,
                *confirm,
                &ControlRequest::Recovery { stop_waiting: false, release: Some(*number) },
                costs,
            )
        }
    }
}

/// Carries out what costs something once it was named.
fn force(control: &Path, confirm: bool, request: &ControlRequest, costs: &str) -> Ended {
    if !confirm {
        let what = format!("nothing was done: {costs}; with --confirm it is carried out");
        return Err(Failure { code: USAGE, what });
    }
    ask(control, request)?;
    output::outln!("carried out, and in the gateway's log: {costs}");
    Ok(ExitCode::SUCCESS)
}

fn print_recovery(name: &str, r: &recovery::Shown, now: i64) {
    let ago = |t: i64| (now - t) as f64 / 1e6;
    output::outln!(
        "{name} in life {}: {} for {:.1} s",
        r.life,
        format!("{:?}", r.phase).to_lowercase(),
        ago(r.since)
    );
    if !r.waits_for.is_empty() {
        output::outln!("waits for the words of {}", r.waits_for.join(", "));
    }
    let of = r.orders_of.as_ref().map_or(String::new(), |peer| format!(", as {peer} told"));
    output::outln!("orders {}{of}", r.orders);
    if r.blind {
        output::outln!("its journal of work in hand was missing or damaged: all writes rest once");
    }
    let [ran, not_there, unknown] = r.settled;
    output::outln!(
        "writes from before: {ran} ran, {not_there} not there, {unknown} unknown, {} open",
        r.unsettled.len()
    );
    for key in &r.unsettled {
        let p = key.place;
        output::outln!(
            "  {:>8}  volume {} blocks {}+{}, at {}: waits for {}",
            key.number,
            p.nsid,
            p.slba,
            p.blocks,
            key.node,
            key.waits_for
        );
    }
    match r.full_by {
        Some(t) if t > now => {
            output::outln!("all is open in {:.1} s at the latest, if every node is there", -ago(t))
        }
        Some(_) => output::outln!("all is open once every node is there and answers"),
        None => output::outln!("all is open"),
    }
}

fn explain(r: &recovery::Shown, now: i64, nsid: u32, block: u64) {
    let left = r.full_by.map_or(0.0, |t| ((t - now) as f64 / 1e6).max(0.0));
    let holds =
        |p: &recovery::Place| p.nsid == nsid && (p.slba..p.slba + u64::from(p.blocks)).contains(&block);
    let key = r.unsettled.iter().find(|k| holds(&k.place));
    let reads = match r.phase {
        recovery::Phase::Joining => format!("closed: the words of {} are waited for", r.waits_for.join(", ")),
        recovery::Phase::Settling | recovery::Phase::Admitting => {
            format!("open as far as its node is there and warm, for another {left:.1} s at the most")
        }
        recovery::Phase::Serving => "open".into(),
    };
    let writes = match key {
        Some(key) => format!("closed: write {} from before waits for {}", key.number, key.waits_for),
        None if r.blind && r.phase < recovery::Phase::Admitting => {
            "closed: without a journal any key may have been in hand".into()
        }
        None => reads.clone(),
    };
    output::outln!("reads   {reads}");
    output::outln!("writes  {writes}");
}

pub fn requests(at: &At, most: usize) -> Ended {
    let Some(control) = &at.control else { return operate::requests(&site_at(at), most) };
    let ControlAnswer::Requests(requests) = ask(control, &ControlRequest::Requests { limit: most })? else {
        return Err(unexpected());
    };
    if at.json {
        output::outln!("{}", serde_json::to_string_pretty(&requests)?);
        return Ok(ExitCode::SUCCESS);
    }
    output::outln!(
        "{:>10} {:>9} {:16} {:6} {:16} {:>8}  nodes",
        "request",
        "age ms",
        "volume",
        "op",
        "class",
        "attempts"
    );
    for r in requests {
        let age = r.age as f64 / 1000.0;
        let nodes = if r.nodes.is_empty() { "held".to_owned() } else { r.nodes.join(" ") };
        output::outln!(
            "{:>10} {age:>9.1} {:16} {:6} {:16} {:>8}  {nodes}",
            r.id,
            r.volume,
            r.op,
            r.class,
            r.attempts
        );
    }
    Ok(ExitCode::SUCCESS)
}

pub fn stop(at: &At) -> Ended {
    let Some(control) = &at.control else { return operate::stop(&site_at(at)) };
    ask(control, &ControlRequest::Stop)?;
    output::outln!("the gateway takes nothing new and leaves once all is answered");
    Ok(ExitCode::SUCCESS)
}
