//! `demo`, `badday`, `judge`, `replay-day` and `bench`.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use judge::{Day, Report};
use lab::{BenchOptions, BenchRow, Demo, Summary, demo_site};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::command::{BaddayArgs, BenchArgs, DemoArgs, ReplayArgs, SoakArgs};
use crate::{Ended, Failure, USAGE, log};

/// A folder of this process, removed at its end unless it was asked for.
struct Folder {
    path: PathBuf,
    kept: bool,
}

impl Folder {
    fn new(out: Option<&PathBuf>) -> Result<Folder, Failure> {
        let own = || std::env::temp_dir().join(format!("crowbay-demo-{}", std::process::id()));
        let folder = Folder { path: out.cloned().unwrap_or_else(own), kept: out.is_some() };
        std::fs::create_dir_all(&folder.path)
            .map_err(|e| Failure { code: USAGE, what: format!("{}: {e}", folder.path.display()) })?;
        Ok(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.kept {
            let _ = std::fs::remove_dir_all(&self.path); // Left behind, it is only in a temporary folder.
        }
    }
}

pub fn demo(args: &DemoArgs) -> Ended {
    let mut site = demo_site()?;
    log::start(&site.log);
    if let Some(day) = &mut site.day {
        day.seconds = args.seconds.clamp(1.0, 3600.0);
    }
    site.trouble.retain(|t| t.at_s + t.for_s < args.seconds);
    let folder = Folder::new(args.out.as_ref())?;
    if args.out.is_some() && folder.path.join("day.jsonl").exists() {
        let what = format!("{} holds an earlier day; name another folder", folder.path.display());
        return Err(Failure { code: USAGE, what });
    }
    let demo = Demo::start(site, &folder.path)?;
    if args.hold {
        let mut signals = Signals::new([SIGINT, SIGTERM])?;
        output::outln!("{}", serde_json::to_string(&demo.ready())?);
        signals.forever().next();
        return Ok(if demo.stop() { ExitCode::SUCCESS } else { ExitCode::FAILURE });
    }
    let ready = demo.ready();
    output::outln!("a gateway on {} serves {} over six stand-in nodes", ready.address, ready.nqn);
    output::outln!(
        "nodes are shown as number:state/attempts out; clients, nodes and gateway share this process"
    );
    output::outln!();
    let (report, summary, status) = demo.play(&mut |line| output::outln!("{line}"))?;
    output::outln!();
    output::outln!(
        "answers    served {}, refused {}, failed {}",
        report.served,
        report.refused,
        report.failed
    );
    output::outln!(
        "attempts   {} sent, {} of them repeats, {} ended late",
        status.sent,
        status.retries,
        status.late_ends
    );
    output::outln!("latency    {}", latency(&summary));
    output::outln!();
    print_rules(&report);
    Ok(kept(&report))
}

fn latency(summary: &Summary) -> String {
    let at = |q| summary.latency.value_at_quantile(q) as f64 / 1000.0;
    format!(
        "of what was served, from the intended time: p50 {:.1} ms, p99 {:.1} ms, p99.9 {:.1} ms",
        at(0.5),
        at(0.99),
        at(0.999)
    )
}

fn print_rules(report: &Report) {
    output::outln!("{:22} {:>8} {:>8}", "rule", "checked", "broken");
    for (name, rule) in &report.rules {
        output::outln!("{name:22} {:>8} {:>8}", rule.checked, rule.broken);
        for finding in &rule.findings {
            output::outln!("    at {}: {}", finding.t, finding.what);
        }
    }
    output::outln!();
    output::outln!("worth served: {:.3} of what was due", report.worth_part);
}

fn code(broken: &BTreeSet<String>) -> ExitCode {
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn kept(report: &Report) -> ExitCode {
    if report.kept() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn exe() -> Result<PathBuf, Failure> {
    Ok(std::env::current_exe()?)
}

/// Plays a day file, or one that is drawn from it.
pub fn badday_of(args: &BaddayArgs) -> Ended {
    let Some(seed) = args.random else { return Ok(code(&badday(&args.file, &args.out)?)) };
    let mut site = crate::serve::load(&args.file)?;
    lab::draw_day(&mut site, lab::Draw { seed, troubles: args.troubles as usize });
    let broken = drawn(&site, seed, &args.out)?;
    if !broken.is_empty() && args.plays > 0 {
        smaller(&site, &broken, &args.out, args.plays as usize)?;
    }
    Ok(code(&broken))
}

/// Cuts a day that failed down to the smallest that still fails in one of the same ways.
fn smaller(
    site: &settings::Site,
    broken: &BTreeSet<String>,
    out: &Path,
    plays: usize,
) -> Result<(), Failure> {
    let names = |rules: &BTreeSet<String>| rules.iter().cloned().collect::<Vec<_>>().join(", ");
    output::outln!();
    output::outln!("broken: {}; cut down by at most {plays} plays", names(broken));
    let (exe, trials) = (exe()?, out.join("trial"));
    let done = lab::cut_down(site, broken, out, plays, |file, trial| {
        let rules = broken_by(&lab::play(&exe, file, &trials, &mut |_| {})?);
        let what = if rules.is_empty() { "all kept".to_owned() } else { names(&rules) };
        output::outln!("{:4} troubles: {what}", trial.trouble.len());
        Ok(rules)
    })?;
    output::outln!(
        "{} troubles are left after {} plays: {}",
        done.troubles.len(),
        done.plays,
        done.file.display()
    );
    Ok(())
}

/// The rules that a day broke; a gateway that did not leave when it was asked to is one.
fn broken_by(played: &lab::Played) -> BTreeSet<String> {
    let rules = played.report.rules.iter().filter(|r| r.1.broken > 0).map(|r| r.0.clone());
    let stuck = (!played.stuck.is_empty()).then(|| "leave".to_owned());
    rules.chain(stuck).collect()
}

pub fn soak(args: &SoakArgs) -> Ended {
    let site = lab::soak_site(lab::Soak { minutes: args.minutes, seed: args.seed })?;
    Ok(code(&drawn(&site, args.seed, &args.out)?))
}

/// Plays a day that was drawn; its file is kept.
fn drawn(site: &settings::Site, seed: u64, out: &Path) -> Result<BTreeSet<String>, Failure> {
    std::fs::create_dir_all(out)?;
    let file = out.join("drawn.toml");
    std::fs::write(&file, toml::to_string(site)?)?;
    output::outln!("{} troubles drawn by seed {seed}: {}", site.trouble.len(), file.display());
    badday(&file, out)
}

/// Plays a day file and tells what it came to; the rules that were broken.
fn badday(file: &Path, out: &Path) -> Result<BTreeSet<String>, Failure> {
    crate::serve::load(file)?;
    let played = lab::play(&exe()?, file, out, &mut |line| output::outln!("{line}"))?;
    let report = &played.report;
    output::outln!();
    output::outln!(
        "commands {}: served {}, refused {}, failed {}, aborted {}, lost with their connection {}; attempts {}",
        report.commands,
        report.served,
        report.refused,
        report.failed,
        report.aborted,
        report.lost,
        report.attempts
    );
    output::outln!("latency    {}", latency(&played.summary));
    output::outln!();
    print_rules(report);
    output::outln!("records and report: {}", out.display());
    if !played.stuck.is_empty() {
        output::errln!("did not leave when asked to: {}", played.stuck.join(", "));
    }
    Ok(broken_by(&played))
}

pub fn judge(dir: &Path) -> Ended {
    let report = judge::judge(&Day::read(dir).map_err(|e| Failure { code: USAGE, what: e.to_string() })?);
    print_rules(&report);
    Ok(kept(&report))
}

pub fn replay(args: &ReplayArgs) -> Ended {
    let wrong = |e: lab::LabError| Failure { code: USAGE, what: e.to_string() };
    let mapped = lab::map_day(&args.file, args.seconds).map_err(wrong)?;
    std::fs::create_dir_all(&args.out)?;
    let file = args.out.join("replay.toml");
    std::fs::write(&file, &mapped.toml)?;
    mapped.mapped.iter().for_each(|line| output::outln!("plays       {line}"));
    mapped.unmapped.iter().for_each(|line| output::outln!("leaves out  {line}"));
    output::outln!("day file: {}", file.display());
    if args.dry {
        crate::serve::load(&file)?;
        return Ok(ExitCode::SUCCESS);
    }
    Ok(code(&badday(&file, &args.out)?))
}

pub fn bench(args: &BenchArgs) -> Ended {
    let temporary = std::env::temp_dir().join(format!("crowbay-bench-{}", std::process::id()));
    let journal = (args.what == "journal").then(|| args.folder.clone().unwrap_or_else(|| temporary.clone()));
    let done = measure(args, journal);
    let _ = std::fs::remove_dir_all(temporary); // Made by this process, if at all.
    done
}

fn measure(args: &BenchArgs, journal: Option<PathBuf>) -> Ended {
    let options = BenchOptions {
        journal,
        span: Duration::from_secs_f64(args.seconds.clamp(0.05, 600.0)),
        depths: args.depths.clone(),
        sizes: args.sizes.clone(),
        rounds: args.rounds,
    };
    if args.json {
        let rows = lab::bench_path(&options, &mut |line| output::errln!("{line}"))?;
        output::outln!("{}", serde_json::to_string_pretty(&rows)?);
        return Ok(ExitCode::SUCCESS);
    }
    output::outln!(
        "one process holds host, gateway and stand-in node; medians of {} rounds",
        args.rounds.max(1)
    );
    if options.journal.is_some() {
        output::outln!("'straight' is a gateway without a journal, 'through' one with it");
    }
    output::outln!("{}", BenchRow::head());
    lab::bench_path(&options, &mut |line| output::outln!("{line}"))?;
    Ok(ExitCode::SUCCESS)
}
