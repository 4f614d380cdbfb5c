//! What processes use, by the system's own figures and by their lines.

use std::time::Duration;

use crate::line::Line;

/// Ticks of processor time in a second, as the system tells them to programs on every machine that this runs on.
const TICKS: u64 = 100;

/// What the system says of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// Processor time since its start, of itself and of the system for it.
    pub(crate) used: Duration,
    /// Bytes resident.
    pub(crate) resident: u64,
}

/// Reads it; none if there is no such process.
pub(crate) fn usage(process: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    read(&stat, &status)
}

fn read(stat: &str, status: &str) -> Option<Usage> {
    // The name, in brackets, may have blanks and brackets in it; the state is the third field.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    // One that has ended and was not buried has none.
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = resident.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0);
    Some(Usage { used: Duration::from_millis(ticks * 1000 / TICKS), resident: kib << 10 })
}

/// What a process has used and counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Counters {
    pub(crate) used: Duration,
    pub(crate) bytes_in: u64,
    pub(crate) bytes_out: u64,
    pub(crate) notes_out: u64,
    pub(crate) entries_out: u64,
    pub(crate) links: u64,
    pub(crate) wholes: u64,
    pub(crate) turned_away: u64,
}

impl Counters {
    pub(crate) fn of(line: &Line) -> Counters {
        match line {
            Line::Machine(line) => Counters {
                used: Duration::ZERO,
                bytes_in: line.bytes_in,
                bytes_out: line.bytes_out,
                notes_out: line.notes_out,
                entries_out: line.entries_out,
                links: 0,
                wholes: line.wholes,
                turned_away: line.turned_away,
            },
            Line::Hollow(line) => Counters {
                bytes_in: line.bytes_in,
                bytes_out: line.bytes_out,
                links: line.links,
                wholes: line.wholes,
                turned_away: line.turned_away,
                ..Counters::default()
            },
        }
    }

    fn each(self, other: Counters, with: impl Fn(u64, u64) -> u64) -> Counters {
        let micros = |used: Duration| used.as_micros() as u64;
        Counters {
            used: Duration::from_micros(with(micros(self.used), micros(other.used))),
            bytes_in: with(self.bytes_in, other.bytes_in),
            bytes_out: with(self.bytes_out, other.bytes_out),
            notes_out: with(self.notes_out, other.notes_out),
            entries_out: with(self.entries_out, other.entries_out),
            links: with(self.links, other.links),
            wholes: with(self.wholes, other.wholes),
            turned_away: with(self.turned_away, other.turned_away),
        }
    }

    pub(crate) fn plus(self, other: Counters) -> Counters {
        self.each(other, |a, b| a + b)
    }

    /// What came behind an earlier reading.
    pub(crate) fn since(self, earlier: Counters) -> Counters {
        self.each(earlier, u64::saturating_sub)
    }
}
