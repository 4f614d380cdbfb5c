//! Results as a table, JSON and CSV.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

use crate::behaviour::End;
use crate::chart::{ChartError, charts};
use crate::meter::{Latency, Results};

/// Why results could not be kept.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A file.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// A chart.
    #[error(transparent)]
    Chart(#[from] ChartError),
}

const ENDS: [End; 7] =
    [End::Served, End::Refused, End::Failed, End::GaveUp, End::Lost, End::NotOffered, End::Invalid];

/// A word for an end.
pub(crate) fn word(end: End) -> &'static str {
    match end {
        End::Served => "served",
        End::Refused => "refused",
        End::Failed => "failed",
        End::Invalid => "invalid",
        End::Lost => "lost",
        End::NotOffered => "not_offered",
        End::GaveUp => "gave_up",
    }
}

fn ms(us: u64) -> String {
    format!("{:.2}", us as f64 / 1000.0)
}

/// A table for people.
pub fn table(r: &Results) -> String {
    let mut t = String::new();
    let mut line = |text: String| {
        let _ = writeln!(t, "{text}"); // A String takes everything.
    };
    line(format!(
        "{:16} {:>8} {:>8} {:>8} {:>7} {:>7} {:>6} {:>7} | {:>8} {:>8} {:>8} {:>8} | {:>5}",
        "class",
        "wanted",
        "served",
        "refused",
        "failed",
        "gave up",
        "lost",
        "not off",
        "p50 ms",
        "p99",
        "p99.9",
        "max",
        "worth"
    ));
    for c in &r.classes {
        let of = |end| c.ends.get(&end).copied().unwrap_or(0);
        let l: &Latency = &c.latency;
        line(format!(
            "{:16} {:>8} {:>8} {:>8} {:>7} {:>7} {:>6} {:>7} | {:>8} {:>8} {:>8} {:>8} | {:>5.3}",
            c.name,
            c.wanted,
            of(End::Served),
            of(End::Refused),
            of(End::Failed) + of(End::Invalid),
            of(End::GaveUp),
            of(End::Lost),
            of(End::NotOffered),
            ms(l.p50),
            ms(l.p99),
            ms(l.p999),
            ms(l.max),
            if c.worth_due > 0.0 { c.worth / c.worth_due } else { 0.0 }
        ));
    }
    line(String::new());
    line(format!(
        "all: {} wanted, worth {:.3} of what was due; latency of what was served, from the intended time: p50 {} ms, p99 {} ms, max {} ms",
        r.wanted,
        r.worth_part,
        ms(r.latency.p50),
        ms(r.latency.p99),
        ms(r.latency.max)
    ));
    line(format!(
        "data: {} blocks checked, {} torn, {} foreign, {} stale; {} answers came when nobody waited any more",
        r.blocks_checked, r.torn, r.foreign, r.stale, r.late_answers
    ));
    line(format!(
        "generator: commands went out p50 {} ms, p99 {} ms, at most {} ms after their time; {} associations made, {} broke",
        ms(r.lateness.p50),
        ms(r.lateness.p99),
        ms(r.lateness.max),
        r.connections,
        r.lost_connections
    ));
    if !r.valid {
        line(
            "INVALID: the generator could not keep up; lower the rate, or give it a processor of its own"
                .into(),
        );
    }
    t
}

fn csv(r: &Results) -> String {
    let mut t = "second,wanted".to_owned();
    for end in ENDS {
        let _ = write!(t, ",{}", word(end)); // A String takes everything.
    }
    t.push_str(",p50_us,p99_us,p999_us,max_us,worth_due,worth\n");
    for s in &r.seconds {
        let _ = write!(t, "{},{}", s.second, s.wanted);
        for end in ENDS {
            let _ = write!(t, ",{}", s.ends.get(&end).copied().unwrap_or(0));
        }
        let l = &s.latency;
        let _ = writeln!(t, ",{},{},{},{},{:.3},{:.3}", l.p50, l.p99, l.p999, l.max, s.worth_due, s.worth);
    }
    t
}

/// Keeps results in a folder: `results.json`, `seconds.csv`, `table.txt`, and charts as SVG.
///
/// # Errors
/// A file that cannot be written.
pub fn save(r: &Results, dir: &Path) -> Result<(), ReportError> {
    std::fs::create_dir_all(dir).map_err(|e| ReportError::Io(dir.to_owned(), e))?;
    let write = |name: &str, text: &[u8]| {
        let path = dir.join(name);
        std::fs::write(&path, text).map_err(|e| ReportError::Io(path, e))
    };
    write("results.json", &serde_json::to_vec_pretty(r).unwrap_or_default())?;
    write("seconds.csv", csv(r).as_bytes())?;
    write("table.txt", table(r).as_bytes())?;
    Ok(charts(r, dir)?)
}
