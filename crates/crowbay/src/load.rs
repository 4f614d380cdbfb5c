//! `load`.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use loadgen::{Progress, RunError, Scenario};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::command::LoadArgs;
use crate::{Ended, Failure, USAGE};

pub fn load(args: &LoadArgs) -> Ended {
    let wrong = |what: String| Failure { code: USAGE, what };
    let mut scenario = Scenario::load(&args.file).map_err(|e| wrong(e.to_string()))?;
    if !args.gateways.is_empty() && args.gateways.len() != scenario.gateway.len() {
        let (given, wanted) = (args.gateways.len(), scenario.gateway.len());
        return Err(wrong(format!("{given} --gateway for {wanted} [[gateway]] in {}", args.file.display())));
    }
    scenario.gateway.iter_mut().zip(&args.gateways).for_each(|(g, address)| g.address = *address);
    if let Some(trace) = &scenario.trace {
        // Read twice, so that a wrong line is told before anybody is connected to.
        let commands = loadgen::read_trace(&scenario, trace).map_err(|e| wrong(e.to_string()))?;
        output::errln!("{}: {} commands", trace.file.display(), commands.len());
    }
    if args.check {
        output::outln!("{}: well formed", args.file.display());
        return Ok(ExitCode::SUCCESS);
    }
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, stop.clone())?;
    signal_hook::flag::register(SIGINT, stop.clone())?;
    let results =
        loadgen::run(&scenario, &stop, &mut |p| output::errln!("{}", line(p))).map_err(|e| match e {
            RunError::Trace(_) | RunError::Files { .. } => wrong(e.to_string()),
            _ => Failure { code: 1, what: e.to_string() },
        })?;
    if let Some(out) = &args.out {
        loadgen::save(&results, out)?;
    }
    if args.json {
        output::outln!("{}", serde_json::to_string_pretty(&results)?);
    } else {
        output::out!("{}", loadgen::table(&results));
        if let Some(out) = &args.out {
            output::outln!("results and charts: {}", out.display());
        }
    }
    let good = results.valid && results.data_is_right();
    Ok(if good { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn line(p: &Progress) -> String {
    let ends: Vec<String> = p.ends.iter().map(|(k, n)| format!("{k:?} {n}").to_lowercase()).collect();
    format!(
        "{:5.0} s  wanted {}, open {}, {}, {} associations up",
        p.second,
        p.wanted,
        p.open,
        ends.join(", "),
        p.up
    )
}
