//! The commands' arguments.

mod control;

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Subcommand};

pub use control::*;

/// The site file that every command takes unless it is told another.
pub const CONFIG: &str = "site.toml";
/// The folder of a site's state that every command takes unless it is told another.
pub const STATE: &str = "site.state";

/// How a site or one gateway is reached.
#[derive(Debug, Args)]
#[group(skip)]
pub struct At {
    /// Folder of the site's state
    #[arg(long, default_value = STATE)]
    pub state: PathBuf,
    /// Control socket of one gateway, in place of a site
    #[arg(long, conflicts_with = "state")]
    pub control: Option<PathBuf>,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}

/// How a site is reached.
#[derive(Debug, Args)]
pub struct SiteAt {
    /// Folder of the site's state
    #[arg(long, default_value = STATE)]
    pub state: PathBuf,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}

/// Arguments of a change.
#[derive(Debug, Args)]
pub struct IntentArgs {
    /// Name of the node or volume
    pub name: String,
    /// Where
    #[command(flatten)]
    pub at: SiteAt,
    /// Carry it out although requests will be refused
    #[arg(long)]
    pub confirm: bool,
}

/// Arguments of `appliance`.
#[derive(Debug, Args)]
pub struct ApplianceArgs {
    /// Site file
    #[arg(long, default_value = CONFIG)]
    pub config: PathBuf,
    /// Folder of the state: journal, sockets, locks, logs
    #[arg(long, default_value = STATE)]
    pub state: PathBuf,
}

/// Arguments of `console`.
#[derive(Debug, Args)]
pub struct ConsoleArgs {
    /// Folder of the site's state
    #[arg(long, default_value = STATE)]
    pub state: PathBuf,
    /// Print the view once, as text, and end
    #[arg(long)]
    pub once: bool,
    /// With --once: as JSON
    #[arg(long, requires = "once")]
    pub json: bool,
}

/// Arguments of `init`.
#[derive(Debug, Args)]
pub struct InitArgs {
    /// The file to write; one that is there is not overwritten
    pub file: PathBuf,
    /// Name of the site; left out: asked for
    #[arg(long)]
    pub name: Option<String>,
    /// Stand-in nodes; left out: asked for
    #[arg(long)]
    pub nodes: Option<u32>,
    /// Gateways; left out: asked for
    #[arg(long)]
    pub gateways: Option<u32>,
    /// Volumes; left out: asked for
    #[arg(long)]
    pub volumes: Option<u32>,
    /// First port of the gateways; left out: asked for
    #[arg(long)]
    pub port: Option<u16>,
}

/// Arguments of `gateway`.
#[derive(Debug, Args)]
pub struct GatewayArgs {
    /// Site file
    #[arg(long, default_value = CONFIG)]
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
    /// Folder of what it has to know after a start; for a site with [recovery], [fleet] or [control]. Left out: site.state/NAME
    #[arg(long)]
    pub state: Option<PathBuf>,
    /// JSON file with addresses of peers, {"NAME": "ADDRESS"}, in place of the site file's
    #[arg(long)]
    pub peers: Option<PathBuf>,
    /// Folder for view-NAME.jsonl, a line for each change of its view; for a site with [fleet]
    #[arg(long)]
    pub records: Option<PathBuf>,
    /// Lock file that stands for the identity: a second gateway on it is not started
    #[arg(long)]
    pub lock: Option<PathBuf>,
    /// Keep the marks that a rig needs to cut the power
    #[arg(long, hide = true)]
    pub mark: bool,
    /// Take nothing until the supervisor's first orders
    #[arg(long, hide = true)]
    pub await_orders: bool,
    /// End when standard input closes
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// Arguments of `node`.
#[derive(Debug, Args)]
pub struct NodeArgs {
    /// Site file
    #[arg(long, default_value = CONFIG)]
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
    /// Keep the blocks in this file, and answer a write once it is durable; left out: in memory
    #[arg(long)]
    pub disk: Option<PathBuf>,
    /// Forget the tokens of earlier lives
    #[arg(long, requires = "disk")]
    pub forget_tokens: bool,
    /// Lock file that stands for the identity: a second node on it is not started
    #[arg(long)]
    pub lock: Option<PathBuf>,
    /// End when standard input closes
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// Arguments of `recovery`.
#[derive(Debug, Args)]
pub struct RecoveryArgs {
    /// What to do
    #[command(subcommand)]
    pub verb: RecoveryVerb,
}

/// What `recovery` does.
#[derive(Debug, Subcommand)]
pub enum RecoveryVerb {
    /// Its life and state, what it waits for, keys not settled, and when all is open at the latest
    Status {
        /// Control socket of the gateway
        #[arg(long)]
        control: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Why reads or writes of a block are not open yet
    Explain {
        /// Namespace identifier of the volume
        nsid: u32,
        /// The block
        block: u64,
        /// Control socket of the gateway
        #[arg(long)]
        control: PathBuf,
    },
    /// Wait for peers and cold nodes no longer
    ///
    /// Costs: orders that only a peer holds come when it does, so that a node they drain may get work until then; cold nodes may be
    /// pushed over by all that was held back. Keys that are not settled stay closed.
    Hurry {
        /// Control socket of the gateway
        #[arg(long)]
        control: PathBuf,
        /// Carry it out
        #[arg(long)]
        confirm: bool,
    },
    /// Open a key whose write from before is not settled
    ///
    /// Costs: that write may still run, and overtake what is written to the key from now on.
    Release {
        /// Number of the write, as `recovery status` shows it
        number: u64,
        /// Control socket of the gateway
        #[arg(long)]
        control: PathBuf,
        /// Carry it out
        #[arg(long)]
        confirm: bool,
    },
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

/// Arguments of `soak`.
#[derive(Debug, Args)]
pub struct SoakArgs {
    /// How long
    #[arg(long, default_value_t = 1.0)]
    pub minutes: f64,
    /// Seed of the schedule and the clients
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Folder for the day file, records, logs and report.json
    #[arg(long)]
    pub out: PathBuf,
}

/// Arguments of `load`.
#[derive(Debug, Args)]
pub struct LoadArgs {
    /// The scenario; docs/load.md has its keys
    pub file: PathBuf,
    /// Folder for results.json, seconds.csv, table.txt and charts (SVG)
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Talk to these gateways in place of the file's, in its order
    #[arg(long = "gateway", value_name = "ADDRESS")]
    pub gateways: Vec<SocketAddr>,
    /// Print the results as JSON
    #[arg(long)]
    pub json: bool,
    /// Only check the file
    #[arg(long)]
    pub check: bool,
}

/// Arguments of `fuzz`.
#[derive(Debug, Args)]
pub struct FuzzArgs {
    /// Where the target listens
    #[arg(long)]
    pub address: SocketAddr,
    /// NQN of its subsystem
    #[arg(long)]
    pub subsystem: String,
    /// Namespace of the good host, from whose first 64 blocks its data is lost
    #[arg(long, default_value_t = 1)]
    pub nsid: u32,
    /// Number of namespaces
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..))]
    pub namespaces: u32,
    /// Odd hosts
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u16).range(0..=256))]
    pub hosts: u16,
    /// Hosts that write commands at full speed, in turns on their admin queue and on an I/O queue
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u16).range(0..=256))]
    pub floods: u16,
    /// Seed of all that is drawn
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How long to go on
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub seconds: u64,
}

/// Arguments of `hostile`.
#[derive(Debug, Args)]
pub struct HostileArgs {
    /// Where the gateway listens
    #[arg(long)]
    pub address: SocketAddr,
    /// What the hostile clients do
    #[arg(long, value_enum)]
    pub kind: hostile::Kind,
    /// Hostile clients, each with one connection at a time
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(1..=1000))]
    pub connections: u16,
    /// Sound clients beside them
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u16).range(1..=300))]
    pub sound_clients: u16,
    /// Class of reads, as the gateway's settings name it
    #[arg(long)]
    pub read_class: String,
    /// Class of writes
    #[arg(long)]
    pub write_class: String,
    /// Plan of the requests
    #[arg(long)]
    pub plan: String,
    /// Shard of the requests
    #[arg(long, default_value_t = 0)]
    pub shard: u32,
    /// Seed of all that is drawn
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How long to go on
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub seconds: u64,
}

/// Arguments of `badday`.
#[derive(Debug, Args)]
pub struct BaddayArgs {
    /// The day file: a site with [day], [[client]] and [[trouble]]; with --random any site file
    pub file: PathBuf,
    /// Folder for the records, logs and report.json
    #[arg(long)]
    pub out: PathBuf,
    /// Draw the troubles by this seed in place of the file's; the day is kept as OUT/drawn.toml
    #[arg(long, value_name = "SEED")]
    pub random: Option<u64>,
    /// How many troubles are drawn
    #[arg(long, requires = "random", default_value_t = 45, value_parser = clap::value_parser!(u32).range(1..=1000))]
    pub troubles: u32,
    /// A drawn day that fails is cut down, by playing parts of it, this often at most; the smallest that fails is kept as OUT/smallest.toml
    #[arg(long, requires = "random", default_value_t = 12, value_parser = clap::value_parser!(u32).range(0..=1000))]
    pub plays: u32,
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
    /// What to measure: the way through a gateway, or its journal of work in hand
    #[arg(value_parser = ["path", "journal"])]
    pub what: String,
    /// Folder for the journal, on the disk that is to be measured; left out: a temporary one
    #[arg(long)]
    pub folder: Option<PathBuf>,
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
    /// Print the rows as JSON; how it goes is told on standard error
    #[arg(long)]
    pub json: bool,
}
