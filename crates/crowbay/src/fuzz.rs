//! `fuzz`.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use load::fuzz::{FuzzOptions, run};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::Ended;
use crate::command::FuzzArgs;

pub fn fuzz(args: &FuzzArgs) -> Ended {
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, stop.clone())?;
    signal_hook::flag::register(SIGINT, stop.clone())?;
    let options = FuzzOptions {
        address: args.address,
        subsystem: args.subsystem.clone(),
        nsid: args.nsid,
        namespaces: args.namespaces,
        hosts: args.hosts,
        floods: args.floods,
        seed: args.seed,
        duration: Duration::from_secs(args.seconds),
    };
    let report = run(&options, &stop)?;
    output::outln!("{}", serde_json::to_string(&report)?);
    Ok(if report.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
