//! What is resident, and a process in which nothing else is.

use std::process::{Command, Stdio};

use crate::MeasureError;

/// Of the system's figures the one that counts each page: those of `statm` are kept by batches of pages.
const ROLLUP: &str = "/proc/self/smaps_rollup";

/// Bytes of this process that are resident.
fn resident() -> Result<f64, MeasureError> {
    let text = std::fs::read_to_string(ROLLUP).map_err(|e| MeasureError::Io(ROLLUP.into(), e))?;
    let line = text.lines().find_map(|line| line.strip_prefix("Rss:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    kib.map(|kib| kib * 1024.0)
        .ok_or_else(|| MeasureError::Failed(format!("{ROLLUP} does not tell what is resident")))
}

/// Bytes that become resident with one more of something, in the mean of so many more; one is there before.
pub(super) fn each<T>(
    copies: usize,
    mut make: impl FnMut(u64) -> Result<T, MeasureError>,
) -> Result<f64, MeasureError> {
    let mut all = Vec::with_capacity(copies + 1);
    all.push(make(0)?);
    let before = resident()?;
    for n in 1..=copies as u64 {
        all.push(make(n)?);
    }
    let after = resident()?;
    drop(all);
    Ok((after - before) / copies as f64)
}

/// What `--child NAME SIZE SEED` of the program that runs here tells, in a process of its own.
pub(super) fn in_child(name: &str, size: usize, seed: u64) -> Result<f64, MeasureError> {
    let program = std::env::current_exe()
        .map_err(|e| MeasureError::Io("the program that measures cannot be found".into(), e))?;
    let out = Command::new(&program)
        .args(["--child", name, &size.to_string(), &seed.to_string()])
        .stdin(Stdio::null())
        .output()
        .map_err(|e| MeasureError::Io(format!("{} --child {name} {size}", program.display()), e))?;
    let (told, said) = (String::from_utf8_lossy(&out.stdout), String::from_utf8_lossy(&out.stderr));
    told.trim().parse().ok().filter(|_| out.status.success()).ok_or_else(|| {
        MeasureError::Failed(format!("--child {name} {size} ended with {}: {}", out.status, said.trim()))
    })
}
