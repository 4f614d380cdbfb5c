//! The commands and their arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

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
    /// Run a stand-in storage node in the foreground
    ///
    /// It keeps its blocks in memory. Prints one JSON line, {"name", "address"}, once it listens.
    Node(NodeArgs),
    /// Show it: one gateway, six stand-in nodes, clients and some troubles, in one process for 30 s
    Demo(DemoArgs),
    /// Play a scripted day through real gateway and node processes, and judge it
    Badday {
        /// The day file: a site with [day], [[client]] and [[trouble]]
        file: PathBuf,
        /// Folder for the records, logs and report.json
        #[arg(long)]
        out: PathBuf,
    },
    /// Hold the records of a day against the seven rules
    Judge {
        /// The folder that a day was played into
        dir: PathBuf,
    },
    /// Map the troubles of a bench day to a scripted day, play it and judge it
    ReplayDay(ReplayArgs),
    /// Show the state of a gateway
    Status(At),
    /// Show the open requests of a gateway, oldest first
    Requests {
        /// Where it is reached
        #[command(flatten)]
        at: At,
        /// At most so many
        #[arg(long, default_value_t = 50)]
        most: usize,
    },
    /// Tell a gateway to take nothing new, answer all, and leave
    Stop(At),
    /// Measure the path: straight to one node without work, against through the gateway
    Bench(BenchArgs),
}

/// How a gateway is reached.
#[derive(Debug, Args)]
pub struct At {
    /// Its control socket
    #[arg(long)]
    pub control: PathBuf,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `gateway`.
#[derive(Debug, Args)]
pub struct GatewayArgs {
    /// Site file
    #[arg(long)]
    pub config: PathBuf,
    /// Name of the gateway in the file
    #[arg(long)]
    pub name: String,
    /// Listen here in place of the file's address
    #[arg(long)]
    pub listen: Option<SocketAddr>,
    /// Control socket to make
    #[arg(long)]
    pub control: Option<PathBuf>,
    /// JSON file with the node list to start with; left out: the nodes of the site file with stated addresses
    #[arg(long)]
    pub nodes: Option<PathBuf>,
    /// Seed of the module's randomness; left out: from the clock
    #[arg(long)]
    pub seed: Option<u64>,
    /// End when standard input closes
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// Arguments of `node`.
#[derive(Debug, Args)]
pub struct NodeArgs {
    /// Site file
    #[arg(long)]
    pub config: PathBuf,
    /// Name of the node in the file
    #[arg(long)]
    pub name: String,
    /// Listen here in place of the file's address
    #[arg(long)]
    pub listen: Option<SocketAddr>,
    /// Control socket to make, for faults
    #[arg(long)]
    pub control: Option<PathBuf>,
    /// File to which everything that arrives, runs and leaves is written, as JSON lines
    #[arg(long)]
    pub records: Option<PathBuf>,
    /// Start cold
    #[arg(long)]
    pub cold: bool,
    /// End when standard input closes
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// Arguments of `demo`.
#[derive(Debug, Args)]
pub struct DemoArgs {
    /// Start gateway and nodes without clients, print one JSON line when ready, and serve until SIGINT
    #[arg(long)]
    pub hold: bool,
    /// Folder for the records; left out: a temporary one
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Length in seconds; troubles after it are left out
    #[arg(long, default_value_t = 30.0)]
    pub seconds: f64,
}

/// Arguments of `replay-day`.
#[derive(Debug, Args)]
pub struct ReplayArgs {
    /// The bench day
    pub file: PathBuf,
    /// Folder for the day file, records and report.json
    #[arg(long)]
    pub out: PathBuf,
    /// Length in seconds to which the day is scaled
    #[arg(long, default_value_t = 30.0)]
    pub seconds: f64,
    /// Only write the day file and tell what is mapped
    #[arg(long)]
    pub dry: bool,
}

/// Arguments of `bench`.
#[derive(Debug, Args)]
pub struct BenchArgs {
    /// What to measure
    #[arg(value_parser = ["path"])]
    pub what: String,
    /// Seconds for each point
    #[arg(long, default_value_t = 1.0)]
    pub seconds: f64,
    /// Rounds; the median counts
    #[arg(long, default_value_t = 3)]
    pub rounds: u32,
    /// Queue depths
    #[arg(long, value_delimiter = ',', default_value = "1,32,128")]
    pub depths: Vec<u32>,
    /// Sizes in KiB
    #[arg(long, value_delimiter = ',', default_value = "4,64")]
    pub sizes: Vec<u32>,
}
