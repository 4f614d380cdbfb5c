//! `hostile`.

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use hostile::{Options, Target, run};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::Ended;
use crate::command::HostileArgs;

pub fn hostile(args: &HostileArgs) -> Ended {
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, stop.clone())?;
    signal_hook::flag::register(SIGINT, stop.clone())?;
    let options = Options {
        address: args.address,
        target: Target {
            read_class: args.read_class.clone(),
            write_class: args.write_class.clone(),
            plan: args.plan.clone(),
            shard: args.shard,
        },
        kind: args.kind,
        connections: args.connections,
        sound_clients: args.sound_clients,
        seed: args.seed,
        duration: Duration::from_secs(args.seconds),
    };
    let report = run(&options, &stop)?;
    output::outln!("{}", serde_json::to_string(&report)?);
    Ok(if report.is_good() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
