//! Plays seeds of the soak against a program, and tells what broke.

#![forbid(unsafe_code)]

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use clap::{Parser, ValueEnum};
use restartsoak::plan::Plan;
use restartsoak::records::{Outcome, Records};
use restartsoak::{Breach, Options, SoakError, check, play};

/// Restarts of the platform gateway under drawn troubles; what crossed the sockets is held against the platform's rules.
#[derive(Debug, Parser)]
#[command(name = "restartsoak")]
struct Arguments {
    /// The program under test, `crowbay`.
    #[arg(long, default_value = "target/release/crowbay")]
    program: PathBuf,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// How many seeds.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// What each seed draws.
    #[arg(long, value_enum, default_value_t = Kind::Restarts)]
    kind: Kind,
    /// Lives of the process for each seed; 4, or 1 of `split`, if it is not given.
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=1000))]
    lives: Option<u16>,
    /// Seeds played at once.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    at_once: u16,
    /// Folder for the records and logs of seeds that failed.
    #[arg(long, default_value = "found/restartsoak")]
    out: PathBuf,
}

/// A kind of plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Kind {
    /// Restarts, with troubles around them.
    Restarts,
    /// Nodes that are cut off and answers that are torn for some seconds, without restarts.
    Split,
}

impl Arguments {
    fn plan(&self, seed: u64) -> Plan {
        match self.kind {
            Kind::Restarts => Plan::draw(seed, usize::from(self.lives.unwrap_or(4))),
            Kind::Split => Plan::draw_split(seed, usize::from(self.lives.unwrap_or(1))),
        }
    }
}

/// What became of a seed.
struct Played {
    seed: u64,
    result: Result<(Records, Vec<Breach>), SoakError>,
}

fn main() -> ExitCode {
    // A thread of the soak that panics would otherwise be missed, with what it had to check.
    panics::install_hook();
    let arguments = Arguments::parse();
    let begun = Instant::now();
    let next = AtomicU64::new(arguments.first);
    let all = Mutex::new(Vec::new());
    let end = arguments.first.saturating_add(arguments.seeds);
    thread::scope(|scope| {
        for _ in 0..arguments.at_once {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= end {
                        return;
                    }
                    let played = one(&arguments, seed);
                    tell(&played, &arguments.out);
                    all.lock().unwrap_or_else(std::sync::PoisonError::into_inner).push(played);
                }
            });
        }
    });
    let all = all.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    sum_up(&all, begun)
}

fn one(arguments: &Arguments, seed: u64) -> Played {
    let plan = arguments.plan(seed);
    let folder = arguments.out.join(format!("seed-{seed}"));
    let result = fresh(&folder).and_then(|()| {
        let options = Options { program: arguments.program.clone(), folder: folder.clone() };
        let records = play(&plan, &options)?;
        let breaches = check(&plan, &records);
        if breaches.is_empty() {
            // A folder that stays only takes room.
            let _ = std::fs::remove_dir_all(&folder);
        } else {
            write(&folder.join("plan.json"), &plan)?;
            write(&folder.join("records.json"), &records)?;
            write(&folder.join("breaches.json"), &breaches)?;
        }
        Ok((records, breaches))
    });
    Played { seed, result }
}

fn fresh(folder: &Path) -> Result<(), SoakError> {
    let failed = |error| SoakError::File { path: folder.to_owned(), error };
    if folder.exists() {
        std::fs::remove_dir_all(folder).map_err(failed)?;
    }
    std::fs::create_dir_all(folder).map_err(failed)
}

fn write(path: &Path, what: &impl serde::Serialize) -> Result<(), SoakError> {
    let failed = |error| SoakError::File { path: path.to_owned(), error };
    let file = File::create(path).map_err(failed)?;
    serde_json::to_writer(file, what).map_err(|error| failed(error.into()))
}

fn tell(played: &Played, out: &Path) {
    let seed = played.seed;
    match &played.result {
        Err(error) => output::outln!("seed {seed}: not played: {error}"),
        Ok((_, breaches)) if breaches.is_empty() => {}
        Ok((_, breaches)) => {
            output::outln!(
                "seed {seed}: {} breaches; records in {}",
                breaches.len(),
                out.join(format!("seed-{seed}")).display()
            );
            breaches.iter().take(5).for_each(|breach| output::outln!("  {breach}"));
        }
    }
}

fn sum_up(all: &[Played], begun: Instant) -> ExitCode {
    let good = all.iter().filter_map(|played| played.result.as_ref().ok());
    let records: Vec<&Records> = good.map(|(records, _)| records).collect();
    let requests = || records.iter().flat_map(|records| &records.requests);
    let answered = |wanted: u16| {
        let is_it =
            |outcome: Outcome| matches!(outcome, Outcome::Answered { status, .. } if status == wanted);
        requests().filter(|request| is_it(request.outcome)).count()
    };
    let is_clean = |played: &&Played| played.result.as_ref().is_ok_and(|(_, breaches)| breaches.is_empty());
    let clean = all.iter().filter(is_clean).count();
    output::outln!(
        "{} seeds, {} lives, {} requests ({} served, {} refused, {} failed), {} attempts, {:.0} s",
        all.len(),
        records.iter().map(|records| records.lives.len()).sum::<usize>(),
        requests().count(),
        answered(200),
        answered(503),
        answered(502),
        records.iter().map(|records| records.attempts.len()).sum::<usize>(),
        begun.elapsed().as_secs_f64(),
    );
    output::outln!("{clean} passed, {} failed", all.len() - clean);
    if clean == all.len() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
