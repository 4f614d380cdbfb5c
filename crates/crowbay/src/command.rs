//! The commands.

use std::path::PathBuf;

use clap::{Parser, Subcommand};

pub use crate::arguments::*;

/// A storage gateway: schedules reads and writes over NVMe/TCP across storage nodes.
///
/// Exit codes: 0 all is well; 1 something failed, or a rule was broken; 2 a file or argument is wrong.
#[derive(Debug, Parser)]
#[command(version, max_term_width = 110)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check a site or day file and tell every problem with its line and key
    Check {
        /// The file
        file: PathBuf,
    },
    /// Run a gateway in the foreground until SIGTERM or SIGINT
    ///
    /// Prints one JSON line, {"name", "address"}, on standard output once it listens. Told to stop it takes nothing new,
    /// answers all it took, and leaves within limits.stop_within_ms. Logs go to standard error.
    Gateway(GatewayArgs),
    /// Run a gateway on its users' platform in the foreground: HTTP/1.1, configured by the file that PROXY_CONFIG names
    ///
    /// SIGHUP: read the file again and go over to its discovery. SIGTERM: answer all that was taken, and leave. Logs go to
    /// standard error. Exit codes: 0 it was told to leave; 1 it could not start; 2 the configuration is wrong.
    Platform,
    /// Run a stand-in storage node in the foreground
    ///
    /// It keeps its blocks in memory, or with --disk in a file. Prints one JSON line, {"name", "address"}, once it listens.
    Node(NodeArgs),
    /// Stand on connections between processes on this machine and cut, delay, throttle, hold or break them
    ///
    /// Prints one JSON line with where each link listens, and carries until SIGTERM, SIGINT or its standard input closes.
    /// Orders come from the plan, by time, and over its control socket. docs/relay.md has the keys.
    Relay {
        /// The plan: links, orders, control socket, records
        file: PathBuf,
        /// End when standard input closes
        #[arg(long, hide = true)]
        with_parent: bool,
    },
    /// Fuzz a gateway or node: hosts that connect in order and send odd, well-framed commands, beside a good one
    ///
    /// The good host writes and reads back blocks of a namespace that the odd ones do not write to. Prints one JSON line. Exit
    /// code 0 only if it was served throughout and read what it wrote.
    Fuzz(FuzzArgs),
    /// Offer hostile load to a platform gateway: clients that flood, stop half way or leave, beside sound ones
    ///
    /// The sound clients ask for one read at a time and give it 1 s. Prints one JSON line. Exit code 0 only if none of their
    /// requests was lost, late or failed and nine in ten were served.
    Hostile(HostileArgs),
    /// Show it: one gateway, six stand-in nodes, clients and some troubles, in one process for 30 s
    Demo(DemoArgs),
    /// Play a scripted day through real gateway and node processes, and judge it
    Badday(BaddayArgs),
    /// Soak: minutes of rising load and overlapping troubles through gateway and node processes, judged
    ///
    /// Three gateways, nine stand-in nodes; the load rises to twice what the nodes can do and falls again; faults of all kinds
    /// from a seeded schedule, and a rolling restart. The seed and length replay the schedule.
    Soak(SoakArgs),
    /// Hold the records of a day against the seven rules
    Judge {
        /// The folder that a day was played into
        dir: PathBuf,
    },
    /// Offer open-loop load to gateways and tell what its clients met
    ///
    /// Commands come by the clock, in the phases of the file or as a recorded trace; latency counts from the intended time,
    /// over all tries. Exit codes: 0 the run is valid and every block read was right; 1 not so; 2 the file is wrong.
    Load(LoadArgs),
    /// Map the troubles of a bench day to a scripted day, play it and judge it
    ReplayDay(ReplayArgs),
    /// Run a whole site: supervise its gateways and stand-in nodes, keep the operators' intents, serve consoles
    ///
    /// SIGTERM, SIGINT or `crowbay stop --state DIR` stop the site in order. Killed, it leaves the processes running; started
    /// again on the same state it adopts them.
    Appliance(ApplianceArgs),
    /// Watch and steer a site from this terminal
    Console(ConsoleArgs),
    /// Show the state of a site, or of one gateway
    Status(At),
    /// Show the nodes of a site: state, who says so, attempts out, the law's bound and L
    Nodes(SiteAt),
    /// Show the volumes of a site
    Volumes(SiteAt),
    /// Show the open requests, oldest first
    Requests {
        /// Where they are
        #[command(flatten)]
        at: At,
        /// At most so many of each gateway
        #[arg(long, default_value_t = 50)]
        most: usize,
    },
    /// Tell why a request waits, or how it ended
    Why {
        /// Number of the request, as `requests` shows it: GATEWAY/NUMBER
        request: String,
        /// Where
        #[command(flatten)]
        at: SiteAt,
    },
    /// Send nothing new to a node
    Drain(IntentArgs),
    /// Let a node take work again
    Undrain(IntentArgs),
    /// Take nothing new of a volume; what is in flight ends
    Hold(IntentArgs),
    /// Take a volume's requests again
    Release(IntentArgs),
    /// Take nothing new at all
    Pause(SiteAt),
    /// Take requests again
    Resume(SiteAt),
    /// Leave a note for whoever looks next
    Note {
        /// The note
        text: String,
        /// Where
        #[command(flatten)]
        at: SiteAt,
    },
    /// Show the audit record: who changed what, when, and the value before
    Log {
        /// Where
        #[command(flatten)]
        at: SiteAt,
        /// The last so many entries
        #[arg(long, default_value_t = 50)]
        most: usize,
    },
    /// Start again processes that ended too often and were given up
    Revive(SiteAt),
    /// Show how far a gateway has come back after a loss of power, or force it; docs/recovery.md
    Recovery(RecoveryArgs),
    /// The control plane: run its machines, change what it holds, measure it; docs/control-plane.md
    Control(ControlArgs),
    /// Stop a site in order, or tell one gateway to answer all and leave
    Stop(At),
    /// Write a commented site file
    Init(InitArgs),
    /// Check a site before its start: file, ports, limits, rights, space, clock
    Doctor {
        /// Site file
        #[arg(long, default_value = CONFIG)]
        config: PathBuf,
        /// Folder of the state
        #[arg(long, default_value = STATE)]
        state: PathBuf,
    },
    /// Print the completion script of a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
    /// Write the manual pages into a folder
    Man {
        /// The folder
        dir: PathBuf,
    },
    /// Measure straight to one node without work against through the gateway, or a gateway without its journal against one with it
    Bench(BenchArgs),
}
