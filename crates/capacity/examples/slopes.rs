//! Measures what each role costs at several sizes, one measurement at a time, and writes `slopes.json`, `slopes.md` and `slopes.svg`:
//!
//!     cargo run --release -p capacity --example slopes -- --program target/release/crowbay --out DIR [--only NAME]... [--look] [--seed N]
//!
//! What is in the folder already stays, but for the rows of the measurements that are taken again. Ends with 1 if one failed. Wants a quiet
//! machine: what others take is in every time.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::SystemTime;

use capacity::report::{Report, Taken};
use capacity::{Ask, Measure, parts, processes};
use clap::Parser;

/// Measures what each role costs by size, and where budgets break.
#[derive(Parser)]
struct Arguments {
    /// The program, for measurements that start processes.
    #[arg(long, default_value = "target/release/crowbay")]
    program: PathBuf,
    /// The folder for the report; what it holds of other measurements stays.
    #[arg(long, required_unless_present = "child")]
    out: Option<PathBuf>,
    /// Only the measurements of this name; may be given more than once.
    #[arg(long)]
    only: Vec<String>,
    /// The smaller half of the sizes only; what it gives is no slope and takes the place of none.
    #[arg(long)]
    look: bool,
    /// For everything that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prints the bytes that one of a kind keeps resident at a size; asked for by this program itself.
    #[arg(long, num_args = 3, value_names = ["NAME", "SIZE", "SEED"], hide = true)]
    child: Option<Vec<String>>,
}

type Failure = Box<dyn std::error::Error>;

fn child(words: &[String]) -> Result<(), Failure> {
    let [name, size, seed] = words else { return Err("--child takes a name, a size and a seed".into()) };
    println!("{}", parts::child(name, size.parse()?, seed.parse()?)?);
    Ok(())
}

fn taken(arguments: &Arguments, name: &str) -> Result<Taken, Failure> {
    let (seed, look) = (arguments.seed, arguments.look);
    // The folder is the caller's affair, and no part of what was measured.
    let command = format!(
        "cargo run --release -p capacity --example slopes -- --program target/release/crowbay --out DIR --only {name} --seed {seed}{}",
        if look { " --look" } else { "" }
    );
    Ok(Taken {
        command,
        date: SystemTime::now().duration_since(SystemTime::UNIX_EPOCH)?.as_secs(),
        cores: std::thread::available_parallelism()?.get(),
        load: Some(std::fs::read_to_string("/proc/loadavg")?.split(' ').next().unwrap_or_default().parse()?),
        seed,
        look,
    })
}

fn run(arguments: &Arguments) -> Result<ExitCode, Failure> {
    let Some(out) = &arguments.out else { return Err("--out is wanted: a folder for the report".into()) };
    let all: Vec<(&str, Measure)> = parts::ALL.iter().chain(processes::ALL).copied().collect();
    let names: Vec<&str> = all.iter().map(|(name, _)| *name).collect();
    if let Some(name) = arguments.only.iter().find(|n| !names.contains(&n.as_str())) {
        return Err(format!("--only {name}: there is none of that name, but {}", names.join(", ")).into());
    }
    let mut report = Report::load(out)?;
    let mut failed = false;
    for (name, measure) in all {
        if !arguments.only.is_empty() && !arguments.only.iter().any(|n| n == name) {
            continue;
        }
        let began = std::time::Instant::now();
        let folder = tempfile::tempdir()?;
        let ask = Ask {
            program: std::path::absolute(&arguments.program)?,
            folder: folder.path().to_owned(),
            look: arguments.look,
            seed: arguments.seed,
        };
        let taken = taken(arguments, name)?;
        match measure(&ask) {
            Ok(rows) => report.add(name, &rows, &taken),
            Err(why) => report.fail(name, why.to_string(), &taken),
        }
        let why = report.failed.iter().find(|f| f.measure == name).map(|f| f.why.as_str());
        failed |= why.is_some();
        eprintln!("{name}: {} after {:.1} s", why.unwrap_or("measured"), began.elapsed().as_secs_f64());
        report.save(out)?;
    }
    println!("{}", report.markdown());
    Ok(ExitCode::from(u8::from(failed)))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let done = match &arguments.child {
        Some(words) => child(words).map(|()| ExitCode::SUCCESS),
        None => run(&arguments),
    };
    done.unwrap_or_else(|why| {
        eprintln!("{why}");
        ExitCode::from(2)
    })
}
