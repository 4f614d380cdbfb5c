//! `gateway`, `node`, `relay` and `appliance`: run until told to stop.

use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use appliance::{Identity, Paths};
use emulator::{DiskOptions, Node, NodeStatus};
use gateway::{Gateway, NodeLine};
use lab::{NodeRequest, Ready};
use records::{Clock, Recorder};
use settings::Site;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::command::{ApplianceArgs, GatewayArgs, NodeArgs, STATE};
use crate::{Ended, Failure, USAGE, log};

/// Reads a site file; its problems are the caller's mistake.
pub fn load(path: &Path) -> Result<Site, Failure> {
    Site::load(path).map_err(|e| Failure { code: USAGE, what: e.to_string() })
}

fn unknown(kind: &str, name: &str, config: &Path) -> Failure {
    Failure { code: USAGE, what: format!("{}: no [[{kind}]] is named '{name}'", config.display()) }
}

fn say_ready(name: &str, address: SocketAddr, peer: Option<SocketAddr>) -> Result<(), Failure> {
    output::announce(&serde_json::to_string(&Ready { name: name.to_owned(), address, peer })?);
    Ok(())
}

/// Lets a service go on when the terminal from which it was started is closed; by default the signal that
/// tells of it (SIGHUP) ends a process.
pub fn outlive_terminal() -> std::io::Result<()> {
    signal_hook::flag::register(SIGHUP, Arc::default()).map(|_| ())
}

/// Ends the process once standard input closes: its parent is gone.
pub fn end_with_parent() {
    std::thread::spawn(|| {
        let mut rest = [0; 64];
        while matches!(std::io::stdin().read(&mut rest), Ok(n) if n > 0) {}
        output::finish();
        std::process::exit(0);
    });
}

fn json_file<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, Failure> {
    let wrong = |what: String| Failure { code: USAGE, what: format!("{}: {what}", path.display()) };
    let text = std::fs::read(path).map_err(|e| wrong(e.to_string()))?;
    serde_json::from_slice(&text).map_err(|e| wrong(e.to_string()))
}

pub fn gateway(args: &GatewayArgs) -> Ended {
    let mut site = load(&args.config)?;
    log::start(&site.log);
    let index = site.gateway_index(&args.name).ok_or_else(|| unknown("gateway", &args.name, &args.config))?;
    if let Some(listen) = args.listen {
        site.gateway[index].listen = listen;
    }
    let nodes = match &args.nodes {
        Some(path) => json_file::<Vec<NodeLine>>(path)?,
        None => site.node_lines(),
    };
    let seed = args.seed.unwrap_or_else(|| Clock::new().now() as u64 ^ u64::from(std::process::id()) << 40);
    let _identity = args.lock.as_deref().map(Identity::take).transpose()?;
    let mut options = site.gateway_options(index, seed, nodes, args.control.clone())?;
    options.await_orders = args.await_orders;
    let folder = args.state.clone().unwrap_or_else(|| Path::new(STATE).join(&args.name));
    let told = match &args.peers {
        Some(path) => json_file(path)?,
        None => BTreeMap::new(),
    };
    options.control_plane = site.follow_options(index, folder.join("control"), seed);
    options.peer_network = site.company_options(index, folder, &told);
    if let Some(recovery) = options.peer_network.as_mut().and_then(|p| p.recovery.as_mut()) {
        recovery.power_cut_mark = args.mark;
    }
    if let Some(coordination) = options.peer_network.as_mut().and_then(|p| p.coordination.as_mut()) {
        coordination.membership.records.clone_from(&args.records);
    }
    let gateway = Gateway::start(options)?;
    if args.with_parent {
        end_with_parent();
    }
    let mut signals = Signals::new([SIGHUP, SIGINT, SIGTERM])?;
    say_ready(&args.name, gateway.address(), gateway.peer_address())?;
    let (handle, gateway) = (signals.handle(), std::sync::Arc::new(gateway));
    let (stops, config, name) = (gateway.clone(), args.config.clone(), args.name.clone());
    let waiter = std::thread::spawn(move || {
        for signal in signals.forever() {
            if signal != SIGHUP {
                stops.stop();
                return;
            }
            match Site::load(&config) {
                Ok(site) => stops.replace_candidate(site.candidate_options(&name)),
                Err(error) => tracing::error!(%error, "the site file is wrong: the candidate before stays"),
            }
        }
    });
    gateway.wait()?;
    gateway.stop();
    handle.close();
    let _ = waiter.join();
    if let Some(path) = &args.control {
        let _ = std::fs::remove_file(path); // Made by this process.
    }
    Ok(ExitCode::SUCCESS)
}

pub fn node(args: &NodeArgs) -> Ended {
    let mut site = load(&args.config)?;
    log::start(&site.log);
    let index = site.node.iter().position(|n| n.name == args.name);
    let index = index.ok_or_else(|| unknown("node", &args.name, &args.config))?;
    if let Some(listen) = args.listen {
        site.node[index].address = listen;
    }
    let recorder = match &args.records {
        Some(path) => Recorder::append(path)
            .map_err(|e| Failure { code: USAGE, what: format!("{}: {e}", path.display()) })?,
        None => Recorder::none(),
    };
    let _identity = args.lock.as_deref().map(Identity::take).transpose()?;
    outlive_terminal()?;
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let mut options = site.node_options(index, args.cold);
    options.disk = args.disk.as_ref().map(|path| DiskOptions {
        path: path.clone(),
        forget_tokens: args.forget_tokens,
        mark: true,
    });
    let node = std::sync::Arc::new(Node::start(options, recorder)?);
    if let Some(path) = &args.control {
        let node = node.clone();
        control::serve(path, move |request: NodeRequest| -> Result<Option<NodeStatus>, String> {
            match request {
                NodeRequest::Status => Ok(Some(node.status())),
                NodeRequest::Fault(fault) => {
                    node.fault(fault);
                    Ok(None)
                }
            }
        })?;
    }
    if args.with_parent {
        end_with_parent();
    }
    say_ready(&args.name, node.address(), None)?;
    signals.forever().next();
    if let Some(path) = &args.control {
        let _ = std::fs::remove_file(path); // Made by this process.
    }
    Ok(ExitCode::SUCCESS)
}

pub fn relay(file: &Path, with_parent: bool) -> Ended {
    let wrong = |what: String| Failure { code: USAGE, what };
    let plan = relay::Plan::load(file).map_err(|e| wrong(e.to_string()))?;
    outlive_terminal()?;
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let mut relay = relay::Relay::open(&plan)?;
    if with_parent {
        end_with_parent();
    }
    output::announce(&serde_json::to_string(&relay.listening())?);
    // It holds nothing that would have to be ended in order: a cut is what it is for.
    let carries = std::thread::spawn(move || relay.run());
    std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            std::process::exit(0);
        }
    });
    match carries.join() {
        Ok(ended) => ended.map(|()| ExitCode::SUCCESS).map_err(Failure::from),
        Err(_) => Err(Failure { code: 1, what: "the relay's thread ended".into() }),
    }
}

pub fn appliance(args: &ApplianceArgs) -> Ended {
    let site = load(&args.config)?;
    log::start(&site.log);
    let wrong = |e: std::io::Error| Failure { code: USAGE, what: format!("{}: {e}", args.config.display()) };
    let paths = Paths {
        config: args.config.canonicalize().map_err(wrong)?,
        state: std::path::absolute(&args.state)?,
        exe: std::env::current_exe()?,
    };
    outlive_terminal()?;
    let stop = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(SIGTERM, stop.clone())?;
    signal_hook::flag::register(SIGINT, stop.clone())?;
    appliance::run(paths, &stop, |paths| {
        let state = paths.state.display();
        output::announce(&format!("the site is supervised; watch it with: crowbay console --state {state}"));
    })?;
    Ok(ExitCode::SUCCESS)
}
