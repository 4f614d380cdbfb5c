//! Recorded traces: commands at recorded times.
//!
//! CSV: a header `time_us,op,volume,block,blocks`, then a command a line; times rise. The I/O log of fio (versions 2 and 3):
//! `fio version 2 iolog`, then `FILE add|open|close` and `FILE read|write|sync OFFSET LENGTH`, in version 3 with the time in
//! milliseconds first, in version 2 with `FILE wait MICROSECONDS` between (fio's HOWTO, "Trace file format"). A file of
//! fio's is the volume of that name, or of its last path component.

use std::io::BufRead;
use std::path::PathBuf;

use crate::scenario::{Gaps, Micros, Op, Scenario, Trace, TraceFormat};
use crate::workload::Wanted;

/// Why a trace cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Io(PathBuf, std::io::Error),
    /// A line that says nothing that can be played.
    #[error("{0}: line {1}: {2}")]
    Line(PathBuf, usize, String),
}

/// One recorded command.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Recorded {
    time: Micros,
    op: Op,
    volume: String,
    /// First byte and bytes.
    offset: u64,
    length: u64,
}

/// Reads a scenario's trace: its commands in order, with gaps and speed as it says. A command takes the class of its
/// operation with the nearest size; the gateway is drawn later.
///
/// # Errors
/// The file, or the first line that cannot be played.
pub fn read_trace(scenario: &Scenario, trace: &Trace) -> Result<Vec<Wanted>, TraceError> {
    let file = std::fs::File::open(&trace.file).map_err(|e| TraceError::Io(trace.file.clone(), e))?;
    let lines = std::io::BufReader::new(file).lines();
    let mut state =
        Reader { trace, scenario, log_version: 0, wait: 0, now: 0, last: 0, shift: 0, wanted: Vec::new() };
    for (number, line) in lines.enumerate() {
        let line = line.map_err(|e| TraceError::Io(trace.file.clone(), e))?;
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let told = |what: String| TraceError::Line(trace.file.clone(), number + 1, what);
        state.line(line, state.wanted.is_empty()).map_err(told)?;
    }
    Ok(state.wanted)
}

struct Reader<'a> {
    trace: &'a Trace,
    scenario: &'a Scenario,
    /// Version of fio's log; 0 before its first line, as is a CSV before its header.
    log_version: u32,
    /// What fio's log has waited since the last command.
    wait: Micros,
    now: Micros,
    /// Time of the last command, and what closed gaps and the first time take off.
    last: Micros,
    shift: Micros,
    wanted: Vec<Wanted>,
}

impl Reader<'_> {
    fn line(&mut self, line: &str, first: bool) -> Result<(), String> {
        let recorded = match self.trace.format {
            TraceFormat::Csv => self.csv(line)?,
            TraceFormat::Fio => self.fio(line)?,
        };
        let Some(recorded) = recorded else { return Ok(()) };
        self.take(&recorded, first)
    }

    fn csv(&mut self, line: &str) -> Result<Option<Recorded>, String> {
        const HEADER: &str = "time_us,op,volume,block,blocks";
        if self.log_version == 0 {
            self.log_version = 1;
            let bare: String = line.chars().filter(|c| !c.is_whitespace()).collect();
            return if bare == HEADER { Ok(None) } else { Err(format!("the header must be {HEADER}")) };
        }
        let fields: Vec<&str> = line.split(',').map(str::trim).collect();
        let [time, op, volume, block, blocks] = fields[..] else {
            return Err(format!("5 fields are wanted, {} are there", fields.len()));
        };
        let number = |what: &str, text: &str| {
            text.parse::<u64>().map_err(|_| format!("{what} '{text}' is not a whole number"))
        };
        let size = self.volume(volume)?.1;
        let time = i64::try_from(number("time_us", time)?).map_err(|e| e.to_string())?;
        let bytes = |blocks: u64| blocks.checked_mul(size).ok_or("too large".to_owned());
        let (offset, length) = (bytes(number("block", block)?)?, bytes(number("blocks", blocks)?)?);
        Ok(Some(Recorded { time, op: op_of(op)?, volume: volume.to_owned(), offset, length }))
    }

    fn fio(&mut self, line: &str) -> Result<Option<Recorded>, String> {
        if self.log_version == 0 {
            self.log_version = match line {
                "fio version 2 iolog" => 2,
                "fio version 3 iolog" => 3,
                other => return Err(format!("'{other}' is not the first line of a log that is known")),
            };
            return Ok(None);
        }
        let mut words: Vec<&str> = line.split_whitespace().collect();
        if self.log_version == 3 {
            let ms = words.first().and_then(|w| w.parse::<Micros>().ok());
            self.now = ms.ok_or("a time in milliseconds comes first")? * 1000;
            words.remove(0);
        }
        let number = |n: usize| words.get(n).and_then(|w| w.parse::<u64>().ok());
        let (Some(file), Some(action)) = (words.first(), words.get(1)) else {
            return Err("a file and an action are wanted".into());
        };
        let op = match *action {
            "add" | "open" | "close" => return Ok(None),
            "wait" => {
                self.wait += number(2).and_then(|n| i64::try_from(n).ok()).ok_or("wait needs a time")?;
                self.now = self.wait;
                return Ok(None);
            }
            "sync" | "datasync" => Op::Flush,
            other => op_of(other)?,
        };
        let (offset, length) = match op {
            Op::Flush => (0, 0),
            _ => (number(2).ok_or("an offset is wanted")?, number(3).ok_or("a length is wanted")?),
        };
        let volume = file.rsplit('/').next().unwrap_or(file).to_owned();
        Ok(Some(Recorded { time: self.now, op, volume, offset, length }))
    }

    /// Index and block size of a volume.
    fn volume(&self, name: &str) -> Result<(usize, u64), String> {
        let index = self.scenario.volume.iter().position(|v| v.name == name);
        let index = index.ok_or_else(|| format!("no [[volume]] is named '{name}'"))?;
        Ok((index, u64::from(self.scenario.volume[index].block_kib) * 1024))
    }

    fn take(&mut self, r: &Recorded, first: bool) -> Result<(), String> {
        if first {
            (self.shift, self.last) = (r.time, r.time);
        }
        if r.time < self.last {
            return Err(format!("its time is {} us before the line above it", self.last - r.time));
        }
        let longest = (self.trace.longest_gap_s * 1e6) as Micros;
        if self.trace.gaps == Gaps::Close && r.time - self.last > longest {
            self.shift += r.time - self.last - longest;
        }
        self.last = r.time;
        let intended = ((r.time - self.shift) as f64 / self.trace.speed) as Micros;
        let (volume, size) = self.volume(&r.volume)?;
        let class = self.class(r)?;
        let (slba, blocks) = (r.offset / size, r.length.div_ceil(size));
        let blocks = u32::try_from(blocks)
            .ok()
            .filter(|b| *b <= 1 << 16)
            .ok_or("it is longer than a command may be")?;
        if slba + u64::from(blocks) > self.scenario.volume[volume].blocks {
            return Err(format!("block {slba} and {blocks} more pass the end of '{}'", r.volume));
        }
        if blocks == 0 && r.op != Op::Flush {
            return Err("it has no length".into());
        }
        self.wanted.push(Wanted { intended, volume, class, slba, blocks, gateway: 0 });
        Ok(())
    }

    fn class(&self, r: &Recorded) -> Result<usize, String> {
        let classes = self.scenario.class.iter().enumerate().filter(|(_, c)| c.op == r.op);
        let off = |kib: u32| (i64::from(kib) * 1024 - r.length as i64).abs();
        let nearest = classes.min_by_key(|(_, c)| off(c.kib));
        nearest
            .map(|(n, _)| n)
            .ok_or_else(|| format!("no [[class]] has the operation {:?}", r.op).to_lowercase())
    }
}

fn op_of(word: &str) -> Result<Op, String> {
    match word {
        "read" => Ok(Op::Read),
        "write" => Ok(Op::Write),
        "flush" => Ok(Op::Flush),
        other => Err(format!("'{other}' is no operation; read, write and flush are")),
    }
}
