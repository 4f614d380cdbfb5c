//! `check`, `status`, `requests` and `stop`.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use gateway::{ControlAnswer, ControlRequest, Status};

use crate::command::{At, SiteAt};
use crate::{Ended, Failure, operate};

pub fn check(file: &Path) -> Ended {
    let site = crate::serve::load(file)?;
    println!(
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
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print_status(&status);
    }
    Ok(ExitCode::SUCCESS)
}

fn print_status(s: &Status) {
    let up = (s.now - s.started) as f64 / 1e6;
    let stopping = if s.stopping { ", stopping" } else { "" };
    println!("{} on {}, up {up:.0} s{stopping}; {} connections", s.name, s.address, s.connections);
    println!(
        "taken {}, served {}, refused {}, failed {}, aborted {}, left by their client {}, open {}",
        s.taken, s.served, s.refused, s.failed, s.aborted, s.withdrawn, s.open
    );
    println!("attempts {}, repeats {}, out {}, late {}", s.sent, s.further, s.out, s.late);
    println!();
    println!(
        "{:16} {:21} {:>5} {:>9} {:>10} {:>5} {:>9} {:>9} {:>8} {:>9}",
        "node", "address", "shard", "state", "link", "out", "sent", "served", "unserved", "last ms"
    );
    for n in &s.nodes {
        println!(
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
    println!();
    println!(
        "{:16} {:>5} {:>6} {:>9} {:>9} {:>9} {:>9} {:>11}",
        "volume", "nsid", "open", "taken", "served", "refused", "failed", "units"
    );
    for v in &s.volumes {
        println!(
            "{:16} {:>5} {:>6} {:>9} {:>9} {:>9} {:>9} {:>11.0}",
            v.name, v.nsid, v.open, v.taken, v.served, v.refused, v.failed, v.units
        );
    }
}

pub fn requests(at: &At, most: usize) -> Ended {
    let Some(control) = &at.control else { return operate::requests(&site_at(at), most) };
    let ControlAnswer::Requests(requests) = ask(control, &ControlRequest::Requests { most })? else {
        return Err(unexpected());
    };
    if at.json {
        println!("{}", serde_json::to_string_pretty(&requests)?);
        return Ok(ExitCode::SUCCESS);
    }
    println!(
        "{:>10} {:>9} {:16} {:6} {:16} {:>8}  nodes",
        "request", "age ms", "volume", "op", "class", "attempts"
    );
    for r in requests {
        let age = r.age as f64 / 1000.0;
        let nodes = if r.nodes.is_empty() { "held".to_owned() } else { r.nodes.join(" ") };
        println!(
            "{:>10} {age:>9.1} {:16} {:6} {:16} {:>8}  {nodes}",
            r.id, r.volume, r.op, r.class, r.attempts
        );
    }
    Ok(ExitCode::SUCCESS)
}

pub fn stop(at: &At) -> Ended {
    let Some(control) = &at.control else { return operate::stop(&site_at(at)) };
    ask(control, &ControlRequest::Stop)?;
    println!("the gateway takes nothing new and leaves once all is answered");
    Ok(ExitCode::SUCCESS)
}
