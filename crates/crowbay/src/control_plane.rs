//! `control`: machines of the control plane, gateways that only follow, and changes of what it holds.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use peer::PeerName;
use plane::{Change, Key, Micros, Proposal, ProposalError, Region};
use planecheck::Verdict;
use planelab::{DayError, DayOptions};
use planelink::{MachineAddress, ProposeError, Proposer};
use records::Clock;
use settings::{ControlTable, Site};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::command::{ControlVerb, DayArgs, HollowArgs, MachineArgs, PutArgs, STATE};
use crate::{Ended, Failure, USAGE, log, serve};

/// Nothing was taken; the same may be asked for later.
const NOT_NOW: u8 = 3;

pub fn run(verb: &ControlVerb) -> Ended {
    match verb {
        ControlVerb::Machine(args) => machine(args),
        ControlVerb::Hollow(args) => hollow(args),
        ControlVerb::Put(args) => put(args),
        ControlVerb::Day(args) => day(args),
        ControlVerb::Check { dir, json } => check(dir, *json),
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
    let mut run = table.machine_run(site.number(), index, folder);
    (run.records, run.seed) = (args.records.clone(), seed(args.seed));
    serve::outlive_terminal()?;
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
    let names = args.names.0.iter().cloned().map(PeerName).collect();
    let mut run = table.hollow_run(site.number(), region, &args.process, names, args.state.clone());
    (run.records, run.seed) = (args.records.clone(), seed(args.seed));
    run.stuck = args.stuck.map(|s| planelink::Stuck {
        every: s.every,
        from: Micros::from(s.from_ms) * 1000,
        span: Micros::from(s.for_ms) * 1000,
    });
    serve::outlive_terminal()?;
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
        return Err(Failure {
            code: USAGE,
            what: format!("--seconds: {} is not from 0.001 to 3600", args.seconds),
        });
    }
    let owner = Region(args.region);
    let key = Key::new(owner, args.kind, &args.name);
    let value = args.value.as_ref().map(|value| value.as_bytes().to_vec().into());
    let change = Change { owner, kind: args.kind, name: args.name.as_str().into(), value };
    let within = Duration::from_secs_f64(args.seconds);
    let unanswered = |error: ProposeError| {
        let code = if matches!(error, ProposeError::TooLong) { USAGE } else { 1 };
        Failure { code, what: format!("{}: {error}", writer.name) }
    };
    let name = PeerName(format!("put-{}", std::process::id()));
    let machine =
        MachineAddress { site: site.number(), name: writer.name.as_str().into(), address: writer.listen };
    let mut proposer = Proposer::connect(&machine, &name).map_err(unanswered)?;
    let proposed = proposer.propose(&Proposal { changes: vec![change] }, within).map_err(unanswered)?;
    let stamps = proposed.map_err(|error| {
        let code = match error {
            ProposalError::Recovering(_) | ProposalError::Busy => NOT_NOW,
            ProposalError::Bound { .. } => USAGE,
            _ => 1,
        };
        Failure { code, what: format!("{} turned it down: {error}", writer.name) }
    })?;
    let Some(stamp) = stamps.first() else {
        let what = format!("{} answered without a stamp; is it of another version?", writer.name);
        return Err(Failure { code: 1, what });
    };
    if args.json {
        let shown = serde_json::json!({
            "key": key.to_string(), "epoch": stamp.epoch.0, "version": stamp.version.0, "writer": writer.name,
        });
        output::outln!("{shown}");
    } else {
        let what = if args.delete { "deleted" } else { "durable" };
        output::outln!("{key} {stamp}, {what} at {}", writer.name);
    }
    Ok(ExitCode::SUCCESS)
}

fn day(args: &DayArgs) -> Ended {
    let mut options = DayOptions::new(std::env::current_exe()?, args.out.clone(), args.size.clone());
    if !args.days.is_empty() {
        options.days.clone_from(&args.days);
    }
    options.ordinary = Duration::from_secs(args.ordinary);
    options.spread = Duration::from_secs(args.spread);
    options.down = Duration::from_secs(args.down);
    options.all_down = Duration::from_secs(args.all_down);
    options.stuck = Duration::from_secs(args.stuck);
    options.patience = Duration::from_secs(args.patience);
    (options.seed, options.keep) = (args.seed, args.keep);
    let report = planelab::play(&options).map_err(|error| {
        let code = if matches!(error, DayError::Option(_)) { USAGE } else { 1 };
        Failure { code, what: error.to_string() }
    })?;
    if args.json {
        output::outln!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        output::outln!("{}", report.text());
    }
    Ok(kept(&report.verdict))
}

fn kept(verdict: &Verdict) -> ExitCode {
    if verdict.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn check(dir: &Path, json: bool) -> Ended {
    let records = dir.join("records");
    let records = if records.is_dir() { records.as_path() } else { dir };
    let verdict = planecheck::check_folder(records)
        .map_err(|error| Failure { code: USAGE, what: error.to_string() })?;
    if json {
        output::outln!("{}", serde_json::to_string_pretty(&verdict)?);
        return Ok(kept(&verdict));
    }
    output::outln!(
        "{} changes written, {} entries in force at {} holders, {} digests compared",
        verdict.written,
        verdict.in_force,
        verdict.holders,
        verdict.compared
    );
    if let Some(all) = verdict.latencies.get("all").filter(|l| l.all.count > 0) {
        let ms = |micros: u64| micros as f64 / 1000.0;
        let (median, p99, worst) = (ms(all.all.median), ms(all.all.p99), ms(all.all.worst));
        output::outln!("in force after: median {median:.1} ms, p99 {p99:.1} ms, worst {worst:.1} ms");
    }
    output::outln!(
        "{} changes lost with a writer's disk that was set back; {} holders and regions not at the end",
        verdict.lost_with_disk,
        verdict.unreached_count
    );
    for one in &verdict.unreached {
        output::outln!(
            "    {} holds region {} up to {:?} of {:?}",
            one.holder,
            one.region,
            one.held,
            one.last
        );
    }
    output::outln!("broken: {}", verdict.broken());
    for (kind, count) in &verdict.counts {
        output::outln!("  {kind:?}: {count}");
    }
    for found in &verdict.breaks {
        output::outln!("    {:?} at {}, {}: {}", found.kind, found.at, found.t, found.what);
    }
    Ok(kept(&verdict))
}
