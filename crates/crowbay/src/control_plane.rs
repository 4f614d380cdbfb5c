//! `control`: machines of the control plane, gateways that only follow, and changes of what it holds.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use peer::PeerName;
use plane::{Change, Key, Proposal, ProposalError, Region};
use planelink::Proposer;
use records::Clock;
use settings::{ControlTable, HollowPlace, Site};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::command::{ControlVerb, HollowArgs, MachineArgs, PutArgs, STATE};
use crate::{Ended, Failure, USAGE, log, serve};

/// Nothing was taken; the same may be asked for later.
const NOT_NOW: u8 = 3;

pub fn run(verb: &ControlVerb) -> Ended {
    match verb {
        ControlVerb::Machine(args) => machine(args),
        ControlVerb::Hollow(args) => hollow(args),
        ControlVerb::Put(args) => put(args),
    }
}

/// A site with a control plane.
fn load(config: &Path) -> Result<(Site, ControlTable), Failure> {
    let site = serve::load(config)?;
    let without = || wrong(config, "no [control]; docs/control-plane.md has its keys");
    let table = site.control.clone().ok_or_else(without)?;
    Ok((site, table))
}

fn wrong(config: &Path, what: impl std::fmt::Display) -> Failure {
    Failure { code: USAGE, what: format!("{}: {what}", config.display()) }
}

fn no_region(config: &Path, region: u16) -> Failure {
    wrong(config, format!("no [[control.machine]] is of region {region}"))
}

/// Set by SIGTERM and SIGINT.
fn told_to_stop() -> std::io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, stop.clone())?;
    signal_hook::flag::register(SIGINT, stop.clone())?;
    Ok(stop)
}

fn seed(given: Option<u64>) -> u64 {
    given.unwrap_or_else(|| Clock::new().now() as u64 ^ u64::from(std::process::id()) << 40)
}

fn machine(args: &MachineArgs) -> Ended {
    let (site, table) = load(&args.config)?;
    log::start(&site.log);
    let index = table.machine.iter().position(|m| m.name == args.name);
    let unknown = || wrong(&args.config, format!("no [[control.machine]] is named '{}'", args.name));
    let index = index.ok_or_else(unknown)?;
    let folder = args.state.clone().unwrap_or_else(|| Path::new(STATE).join(&args.name));
    let run = site.machine_run(&table, index, folder, args.records.clone(), seed(args.seed));
    let stop = told_to_stop()?;
    if args.with_parent {
        serve::end_with_parent();
    }
    planelink::run_machine(run, stop)?;
    Ok(ExitCode::SUCCESS)
}

fn hollow(args: &HollowArgs) -> Ended {
    let (site, table) = load(&args.config)?;
    log::start(&site.log);
    let region = args.region.unwrap_or(table.region);
    if !table.machine.iter().any(|m| m.region == region) {
        return Err(no_region(&args.config, region));
    }
    let place = HollowPlace {
        process: args.process.clone(),
        region,
        names: args.names.0.clone(),
        folder: args.state.clone(),
        records: args.records.clone(),
        seed: seed(args.seed),
        stuck: args.stuck.map(|s| (s.every, s.from_ms, s.for_ms)),
    };
    let run = site.hollow_run(&table, place);
    let stop = told_to_stop()?;
    if args.with_parent {
        serve::end_with_parent();
    }
    planelink::run_hollow(run, stop)?;
    Ok(ExitCode::SUCCESS)
}

fn put(args: &PutArgs) -> Ended {
    let (site, table) = load(&args.config)?;
    let writer = table.machine.iter().find(|m| m.region == args.region && m.writer);
    let writer = writer.ok_or_else(|| no_region(&args.config, args.region))?;
    if !args.seconds.is_finite() || !(0.001..=3600.0).contains(&args.seconds) {
        return Err(Failure { code: USAGE, what: format!("--seconds: {} is not from 0.001 to 3600", args.seconds) });
    }
    let owner = Region(args.region);
    let key = Key::new(owner, args.kind, &args.name);
    let value = args.value.as_ref().map(|value| value.as_bytes().to_vec().into());
    let change = Change { owner, kind: args.kind, name: args.name.as_str().into(), value };
    let within = Duration::from_secs_f64(args.seconds);
    let at = |what: String| format!("{} at {}: {what}", writer.name, writer.listen);
    let name = PeerName(format!("put-{}", std::process::id()));
    let mut proposer = Proposer::connect(writer.listen, site.number(), name)
        .map_err(|e| Failure { code: 1, what: at(e.to_string()) })?;
    let proposed = proposer
        .propose(&Proposal { changes: vec![change] }, within)
        .map_err(|e| Failure { code: 1, what: at(e.to_string()) })?;
    let stamps = proposed.map_err(|error| {
        let code = match error {
            ProposalError::Recovering(_) | ProposalError::Busy => NOT_NOW,
            ProposalError::Bound { .. } => USAGE,
            _ => 1,
        };
        Failure { code, what: at(format!("turned down: {error}")) }
    })?;
    let Some(stamp) = stamps.first() else {
        return Err(Failure { code: 1, what: at("it answered without a version; is it of another one?".into()) });
    };
    if args.json {
        let shown = serde_json::json!({
            "key": key.to_string(), "epoch": stamp.epoch.0, "version": stamp.version.0, "writer": writer.name,
        });
        println!("{shown}");
    } else {
        let what = if args.delete { "deleted" } else { "durable" };
        println!("{key} {stamp}, {what} at {}", writer.name);
    }
    Ok(ExitCode::SUCCESS)
}
