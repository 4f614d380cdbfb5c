//! The `platform` command: runs the gateway on the platform until a signal ends it.

use std::path::PathBuf;
use std::process::ExitCode;

use platform::{Command, Config, Gateway};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::{Ended, Failure, USAGE, log};

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "PROXY_CONFIG";

pub fn run() -> Ended {
    let usage_error = |what: String| Failure { code: USAGE, what };
    let path = std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from).ok_or_else(|| {
        usage_error(format!("{CONFIG_VARIABLE} is not set; it must name the configuration file"))
    })?;
    let config = Config::load(&path).map_err(|e| usage_error(format!("{CONFIG_VARIABLE}: {e}")))?;
    log::start(&settings::Log::default());
    // Signals are registered before the gateway starts; until here SIGTERM ends the process, as no request is
    // open.
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    let gateway = std::sync::Arc::new(Gateway::start(&config)?);
    let signalled_gateway = gateway.clone();
    let handle = signals.handle();
    let signal_thread = std::thread::spawn(move || {
        for signal in signals.forever() {
            match signal {
                SIGHUP => match Config::load(&path) {
                    Ok(config) => signalled_gateway.send(Command::SetDiscovery(config.discovery)),
                    // A partly written file must not stop a gateway that is serving.
                    Err(error) => {
                        tracing::error!(%error, "invalid configuration; the current one stays in effect")
                    }
                },
                _ => signalled_gateway.send(Command::ShutDown),
            }
        }
    });
    gateway.wait()?;
    handle.close();
    let _ = signal_thread.join();
    Ok(ExitCode::SUCCESS)
}
