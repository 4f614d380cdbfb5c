//! Before a site starts: `init`, `doctor`, completions and manual pages.

use std::fmt::Write as _;
use std::io::{BufRead, IsTerminal, Write};
use std::net::TcpListener;
use std::path::Path;
use std::process::ExitCode;

use clap::CommandFactory;
use settings::Site;

use crate::command::{Cli, InitArgs};
use crate::{Ended, Failure, USAGE};

fn usage(what: String) -> Failure {
    Failure { code: USAGE, what }
}

/// An answer from the flags, from a person, or the usual one.
fn answer<T: std::str::FromStr + std::fmt::Display + Clone>(
    flag: &Option<T>,
    question: &str,
    usual: T,
) -> Result<T, Failure> {
    if let Some(value) = flag {
        return Ok(value.clone());
    }
    if !std::io::stdin().is_terminal() {
        return Ok(usual);
    }
    loop {
        output::out!("{question} [{usual}]: ");
        output::command_output_result()?;
        let mut line = String::new();
        if std::io::stdin().lock().read_line(&mut line)? == 0 || line.trim().is_empty() {
            return Ok(usual);
        }
        match line.trim().parse() {
            Ok(value) => return Ok(value),
            Err(_) => output::outln!("'{}' is not understood", line.trim()),
        }
    }
}

pub fn init(args: &InitArgs) -> Ended {
    if args.file.exists() {
        return Err(usage(format!("{} is there already; name another file", args.file.display())));
    }
    let name = answer(&args.name, "Name of the site", "shop".to_owned())?;
    let nodes = answer(&args.nodes, "Stand-in nodes", 4)?.clamp(1, 64);
    let gateways = answer(&args.gateways, "Gateways", 2)?.clamp(1, 16);
    let volumes = answer(&args.volumes, "Volumes", 2)?.clamp(1, 256);
    let port = answer(&args.port, "First port of the gateways", 4420)?;
    let text = site_text(&name, nodes, gateways, volumes, port);
    if let Err(problems) = Site::parse(&text) {
        let told: Vec<String> = problems.iter().map(ToString::to_string).collect();
        return Err(usage(format!("these answers give no site:\n{}", told.join("\n"))));
    }
    let mut file =
        std::fs::File::create_new(&args.file).map_err(|e| usage(format!("{}: {e}", args.file.display())))?;
    file.write_all(text.as_bytes())?;
    output::outln!("{} is written; next: crowbay doctor --config {0} --state DIR", args.file.display());
    Ok(ExitCode::SUCCESS)
}

fn site_text(name: &str, nodes: u32, gateways: u32, volumes: u32, port: u16) -> String {
    let mut text = include_str!("site.toml").replace("{name}", name);
    let shards: Vec<String> = (0..nodes).map(|n| n.to_string()).collect();
    let mut add = |section: String| {
        let _ = write!(text, "{section}"); // A String takes everything.
    };
    for v in 1..=volumes {
        add(format!(
            "\n[[volume]]\nname = \"vol{v}\"\nnsid = {v}\nblocks = 65536          # of 4 KiB: 256 MiB\nplan = \"standard\"\n\
             extent_blocks = 64      # extents lie on the shards in turn\nshards = [{}]\n",
            shards.join(", ")
        ));
    }
    for g in 0..gateways {
        let port = port.saturating_add(g as u16);
        add(format!("\n[[gateway]]\nname = \"gw{}\"\nlisten = \"127.0.0.1:{port}\"\n", g + 1));
    }
    for n in 0..nodes {
        add(format!(
            "\n[[node]]\nname = \"node{}\"\nshard = {n}\ncores = 2               # the rest is a stand-in's power\n\
             base_us = 500\nus_per_kib = 20\n",
            n + 1
        ));
    }
    text
}

pub fn doctor(config: &Path, state: &Path) -> Ended {
    let (mut bad, told) =
        (0, |ok: bool, what: String| output::outln!("{} {what}", if ok { "ok  " } else { "BAD " }));
    let mut check = |ok: bool, what: String| {
        bad += u32::from(!ok);
        told(ok, what);
    };
    let site = match Site::load(config) {
        Ok(site) => site,
        Err(e) => {
            output::outln!("BAD  the site file:\n{e}");
            return Ok(ExitCode::from(USAGE));
        }
    };
    check(true, format!("{} is well formed", config.display()));
    let runs = appliance::Client::connect(&state.join("appliance.sock"), "doctor").is_ok();
    if runs {
        check(true, "the site runs: its ports and locks are its own".into());
    }
    for gateway in &site.gateway {
        check(gateway.listen.port() != 0, format!("{} has a port that clients can know", gateway.name));
        if !runs {
            let free = TcpListener::bind(gateway.listen);
            let why = free.as_ref().err().map_or(String::new(), |e| format!(": {e}"));
            check(free.is_ok(), format!("{} can listen on {}{why}", gateway.name, gateway.listen));
        }
    }
    for node in site.node.iter().filter(|_| !site.appliance.run_nodes) {
        check(node.address.port() != 0, format!("{} has a stated address", node.name));
    }
    let made = std::fs::create_dir_all(state).and_then(|()| {
        let probe = state.join(".doctor");
        std::fs::write(&probe, vec![0; 1 << 20])?;
        std::fs::remove_file(&probe)
    });
    let why = made.as_ref().err().map_or(String::new(), |e| format!(": {e}"));
    check(made.is_ok(), format!("{} can be written, with 1 MiB to spare{why}", state.display()));
    let longest = state.join("appliance.sock").as_os_str().len();
    check(longest < 100, format!("its path is short enough for sockets ({longest} of 100 bytes)"));
    let need = 2 * site.limits.connections as u64 + 256;
    if let Ok((soft, hard)) = nix::sys::resource::getrlimit(nix::sys::resource::Resource::RLIMIT_NOFILE) {
        let what = format!("open files: {soft} now, {hard} at most; limits.connections wants {need}");
        check(soft >= need, what);
    }
    let now = records::Clock::new().now();
    check(now > 1_700_000_000_000_000, "the clock is set".into());
    let cold = site.rules.cold_units / f64::from(site.gateway.len() as u32).max(1.0);
    check(
        cold >= site.site.mean_units,
        format!("a gateway's part of a cold node, {cold:.1} units, carries a request"),
    );
    for v in &site.volume {
        let alone = v.shards.iter().any(|s| site.node.iter().filter(|n| n.shard == *s).count() > 1);
        if !alone {
            output::outln!(
                "note {}: each of its shards has one node; a drain of one refuses that part",
                v.name
            );
        }
    }
    Ok(if bad == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

pub fn completions(shell: clap_complete::Shell) -> Ended {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Cli::command(), "crowbay", &mut script);
    output::out!("{}", String::from_utf8_lossy(&script));
    Ok(ExitCode::SUCCESS)
}

pub fn man(dir: &Path) -> Ended {
    std::fs::create_dir_all(dir).map_err(|e| usage(format!("{}: {e}", dir.display())))?;
    clap_mangen::generate_to(Cli::command(), dir)?;
    output::outln!("manual pages are in {}", dir.display());
    Ok(ExitCode::SUCCESS)
}
