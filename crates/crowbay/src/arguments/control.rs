//! Arguments of `control`.

use std::path::PathBuf;
use std::str::FromStr;

use clap::builder::RangedU64ValueParser;
use clap::{Args, Subcommand};
use plane::Kind;
use planelab::{Day, Size};

use super::CONFIG;

/// Gateways of one process at most.
const MOST_NAMES: usize = 10_000;

/// Arguments of `control`.
#[derive(Debug, Args)]
pub struct ControlArgs {
    /// What to do
    #[command(subcommand)]
    pub verb: ControlVerb,
}

/// What `control` does.
#[derive(Debug, Subcommand)]
pub enum ControlVerb {
    /// Run a control machine in the foreground until SIGTERM or SIGINT
    ///
    /// It holds the state of all regions on its disk, serves gateways and other machines, and if the file says `writer = true`
    /// takes its region's changes. A writer that starts first asks every other machine of its region what it holds, and takes
    /// nothing before all have answered.
    ///
    /// Prints a JSON line on standard output every 500 ms and at once when it opens or loses its level: "t" in microseconds since
    /// the Unix epoch, "name", "open" (true: its writer takes changes; false: it waits for the machines in "waits_for", or another
    /// life of it has written; null: it is no writer), "subscribers", "cursors" (region: epoch and version), "entries", "bytes_in",
    /// "bytes_out", "notes_out", "entries_out", "wholes", "turned_away". Logs go to standard error.
    ///
    /// Exit codes: 0 it was told to leave; 1 it could not listen, or its disk failed; 2 a file or argument is wrong.
    Machine(MachineArgs),
    /// Run many gateways that only follow, in one process, until SIGTERM or SIGINT
    ///
    /// Each has a name, a folder and a link of its own, as a gateway has, and serves no client: for measuring the control plane.
    /// Prints a JSON line every 500 ms: "gateways", "ready" (they hold a state), "level" (theirs is their machine's), "stuck", "cursors"
    /// (the least of any), bytes, "links", "wholes", "turned_away".
    ///
    /// Exit codes as of `control machine`.
    Hollow(HollowArgs),
    /// Have a region's writer change one entry, and print the version that it has now
    ///
    /// The change is durable at the writer when its stamp, EPOCH.VERSION, is printed; gateways have it once `crowbay status` shows that
    /// version or a later one. A value is kept as it is given. Gateways carry out one kind of entry by themselves:
    /// `node NAME '{"state":"draining"}'` drains a node as `crowbay drain` does, until the value is '{"state":"on"}' or the entry is
    /// deleted. All others are held and shown.
    ///
    /// Exit codes: 0 it is so now; 1 the writer cannot be reached, turned it down, or gave no answer in time (then it may have been
    /// taken; the same change may be made again); 2 a file or argument is wrong; 3 nothing was taken, as the writer waits for other
    /// machines, or for its disk: ask again later.
    Put(PutArgs),
    /// Play days of a control plane on this machine, measure them, and hold what was written down against its rules
    ///
    /// Starts processes of `control machine` and `control hollow` on loopback, brings in a base state, and plays the days: usual
    /// changes, gateways that all start anew, machines that are killed, put back or emptied, many changes at once, gateways that take
    /// nothing. Prints the report, which is also OUT/report.md and OUT/report.json; records are in OUT/records, logs in OUT/logs. No
    /// process outlives it.
    ///
    /// Size `full` starts 16 machines and 3,600 gateways in 20 processes and writes several GB; `pair` and `small` are for trials.
    ///
    /// Exit codes: 0 played, and no rule was broken; 1 a rule was broken, or a day could not be played to its end; 2 an argument is
    /// wrong.
    Day(DayArgs),
    /// Hold records of a control plane against its rules
    ///
    /// The rules: whatever came into force was written so by its owner; nobody goes back; who is at the same place holds the same;
    /// who has come to a region's end has missed nothing; a writer gives each version once.
    ///
    /// Exit codes: 0 none was broken; 1 one was; 2 there are no records, or they cannot be read.
    Check {
        /// Folder of records, as --records names it, or the folder that a day was played into
        dir: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
}

/// Arguments of `control machine`.
#[derive(Debug, Args)]
pub struct MachineArgs {
    /// Site file
    #[arg(long, default_value = CONFIG)]
    pub config: PathBuf,
    /// Name of the machine in the file, a [[control.machine]]
    #[arg(long)]
    pub name: String,
    /// Folder of its life and state; left out: site.state/NAME
    #[arg(long)]
    pub state: Option<PathBuf>,
    /// Folder for what a checker needs: held-NAME.log, and of a writer written-NAME.log
    #[arg(long)]
    pub records: Option<PathBuf>,
    /// Seed of its drawn pauses; left out: from the clock
    #[arg(long)]
    pub seed: Option<u64>,
    /// End when standard input closes
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// Arguments of `control hollow`.
#[derive(Debug, Args)]
pub struct HollowArgs {
    /// Site file
    #[arg(long, default_value = CONFIG)]
    pub config: PathBuf,
    /// Region of the gateways; left out: control.region of the file
    #[arg(long)]
    pub region: Option<u16>,
    /// Their names: g0001..g0180, both ends included, or one name
    #[arg(long, value_name = "FIRST..LAST")]
    pub names: Names,
    /// Name of this process, in its lines and records
    #[arg(long)]
    pub process: String,
    /// Folder of their states, one folder in it for each
    #[arg(long)]
    pub state: PathBuf,
    /// Folder for what a checker needs: inforce-PROCESS.log
    #[arg(long)]
    pub records: Option<PathBuf>,
    /// Every so manieth gateway reads nothing from FROM_MS after the start, for FOR_MS
    #[arg(long, value_name = "EVERY,FROM_MS,FOR_MS")]
    pub stuck: Option<Stuck>,
    /// Seed of the drawn pauses; left out: from the clock
    #[arg(long)]
    pub seed: Option<u64>,
    /// End when standard input closes
    #[arg(long, hide = true)]
    pub with_parent: bool,
}

/// Arguments of `control put`.
#[derive(Debug, Args)]
pub struct PutArgs {
    /// Site file
    #[arg(long, default_value = CONFIG)]
    pub config: PathBuf,
    /// Region that owns the entry; its writer is asked
    #[arg(long)]
    pub region: u16,
    /// member, node, shard, volume, plan, limit or extents
    #[arg(value_parser = kind)]
    pub kind: Kind,
    /// Name of the entry within region and kind
    pub name: String,
    /// The value, kept as it is
    #[arg(required_unless_present = "delete", conflicts_with = "delete")]
    pub value: Option<String>,
    /// Delete the entry
    #[arg(long)]
    pub delete: bool,
    /// Seconds for which the writer's answer is waited
    #[arg(long, default_value_t = 5.0)]
    pub seconds: f64,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `control day`.
#[derive(Debug, Args)]
pub struct DayArgs {
    /// New or empty folder for all that is written
    #[arg(long)]
    pub out: PathBuf,
    /// How large: full, pair or small
    #[arg(long, default_value = "small")]
    pub size: Size,
    /// Which days, in this order: ordinary, restart, machines, burst, stuck, short; left out: the first five
    #[arg(long, value_delimiter = ',')]
    pub days: Vec<Day>,
    /// Seconds for which usual changes come
    #[arg(long, default_value_t = 120, value_parser = seconds())]
    pub ordinary: u64,
    /// Seconds over which gateways that were killed come back
    #[arg(long, default_value_t = 60, value_parser = seconds())]
    pub spread: u64,
    /// Seconds for which a machine that was killed stays away
    #[arg(long, default_value_t = 10, value_parser = seconds())]
    pub down: u64,
    /// The same where all machines were killed
    #[arg(long, default_value_t = 60, value_parser = seconds())]
    pub all_down: u64,
    /// Seconds for which some gateways take nothing
    #[arg(long, default_value_t = 30, value_parser = seconds())]
    pub stuck: u64,
    /// Seconds within which whatever is waited for has to come about
    #[arg(long, default_value_t = 180, value_parser = seconds())]
    pub patience: u64,
    /// Seed of all that is drawn
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Keep the processes' states beside the records
    #[arg(long)]
    pub keep: bool,
    /// Print the report as JSON
    #[arg(long)]
    pub json: bool,
}

fn seconds() -> RangedU64ValueParser {
    RangedU64ValueParser::new().range(1..=86_400)
}

fn kind(word: &str) -> Result<Kind, String> {
    let found = Kind::ALL.into_iter().find(|kind| kind.word() == word);
    found.ok_or_else(|| format!("it is one of {}", Kind::ALL.map(Kind::word).join(", ")))
}

/// Names that are numbered in a row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Names(pub Vec<String>);

impl FromStr for Names {
    type Err = String;

    fn from_str(text: &str) -> Result<Names, String> {
        let Some((first, last)) = text.split_once("..") else {
            return if text.is_empty() {
                Err("a name is needed".into())
            } else {
                Ok(Names(vec![text.into()]))
            };
        };
        let digits = |name: &str| name.len() - name.trim_end_matches(|c: char| c.is_ascii_digit()).len();
        let (one, other) =
            (first.split_at(first.len() - digits(first)), last.split_at(last.len() - digits(last)));
        let numbers = one.1.parse::<usize>().ok().zip(other.1.parse::<usize>().ok());
        let Some((from, to)) = numbers.filter(|(from, to)| from <= to && one.0 == other.0) else {
            return Err(
                "both ends need the same name before their numbers, the lower first: g0001..g0180".into()
            );
        };
        if to - from >= MOST_NAMES {
            return Err(format!("more than {MOST_NAMES} names"));
        }
        let width = one.1.len();
        Ok(Names((from..=to).map(|n| format!("{}{n:0width$}", one.0)).collect()))
    }
}

/// Which gateways stop reading, when and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stuck {
    /// Every so manieth.
    pub every: usize,
    /// From then on, in milliseconds after the start.
    pub from_ms: u32,
    /// For so long, in milliseconds.
    pub for_ms: u32,
}

impl FromStr for Stuck {
    type Err = String;

    fn from_str(text: &str) -> Result<Stuck, String> {
        let parts: Vec<u32> = text.split(',').map_while(|part| part.trim().parse().ok()).collect();
        match parts[..] {
            [every, from_ms, for_ms] if every > 0 && text.split(',').count() == 3 => {
                Ok(Stuck { every: every as usize, from_ms, for_ms })
            }
            _ => Err("three whole numbers, the first above 0: EVERY,FROM_MS,FOR_MS".into()),
        }
    }
}
