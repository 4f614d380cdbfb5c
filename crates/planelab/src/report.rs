//! What a play tells.

use std::fmt::Write;

use planecheck::{Latencies, Verdict};
use serde::Serialize;

/// What one process or gateway used over a span.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Cost {
    /// Processor time, as a part of one core.
    pub core: f64,
    /// Bytes in, a second.
    pub bytes_in: f64,
    /// Bytes out, a second.
    pub bytes_out: f64,
    /// Bytes resident at the end of the span.
    pub resident: f64,
}

/// One figure that a span has beside the usual ones.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Measure {
    /// What it is.
    pub what: String,
    /// How much.
    pub value: f64,
    /// Of what.
    pub unit: String,
}

/// One span of a day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Its name, which is also the phase's in the checker's verdict.
    pub span: String,
    /// How long it was.
    pub seconds: f64,
    /// Changes that writers took.
    pub changes: u64,
    /// Tries to propose that came to nothing and were made again.
    pub tries: u64,
    /// How long its changes took to come into force.
    pub in_force: Latencies,
    /// One gateway's part, on average.
    pub gateway: Cost,
    /// One machine's part, on average.
    pub machine: Cost,
    /// Notes that machines sent.
    pub notes_out: u64,
    /// Entries that machines looked at to send them.
    pub entries_out: u64,
    /// Bytes that machines sent.
    pub bytes_out: u64,
    /// Links of gateways that came up.
    pub links: u64,
    /// Whole states that machines began to send.
    pub wholes: u64,
    /// Messages that machines and gateways turned away.
    pub turned_away: u64,
    /// Copies that the emptiest and the fullest machine served at the end.
    pub subscribers: (u64, u64),
    /// What else was measured.
    pub measures: Vec<Measure>,
}

impl Row {
    /// A figure by its name.
    pub fn measure(&self, what: &str) -> Option<f64> {
        self.measures.iter().find(|measure| measure.what == what).map(|measure| measure.value)
    }
}

/// All that was measured and found.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The size's word.
    pub size: String,
    /// Machines.
    pub machines: usize,
    /// Gateways.
    pub gateways: usize,
    /// Entries of the base state.
    pub entries: usize,
    /// Spans, in their order.
    pub rows: Vec<Row>,
    /// What the checker found in the records.
    pub verdict: Verdict,
}

impl Report {
    /// A span by its name.
    pub fn row(&self, span: &str) -> Option<&Row> {
        self.rows.iter().find(|row| row.span == span)
    }

    /// As text with tables in Markdown.
    pub fn text(&self) -> String {
        let mut text = String::new();
        self.write(&mut text).expect("a string takes all that is written to it");
        text
    }

    fn write(&self, text: &mut String) -> std::fmt::Result {
        let (size, machines, gateways, entries) = (&self.size, self.machines, self.gateways, self.entries);
        writeln!(text, "Size {size}: {machines} machines, {gateways} gateways, {entries} entries.\n")?;
        writeln!(
            text,
            "Time in force, ms, from durable at the writer, over all gateways; steady: gateways that were up all the"
        )?;
        writeln!(
            text,
            "while; gateway and machine: average of one, core: part of one core, in/out: bytes a second.\n"
        )?;
        writeln!(
            text,
            "| span | s | changes | again | median | p99 | worst | steady p99 | steady worst | gateway core | in | out | KiB | machine core | in | out | MiB | links | wholes | turned away | subscribers |"
        )?;
        writeln!(text, "|{}", " --- |".repeat(21))?;
        for row in &self.rows {
            let (all, steady) = (row.in_force.all, row.in_force.steady);
            let ms = |micros: u64, count: u64| match count {
                0 => "-".to_owned(),
                _ => format!("{:.1}", micros as f64 / 1000.0),
            };
            let (g, m) = (row.gateway, row.machine);
            writeln!(
                text,
                "| {} | {:.1} | {} | {} | {} | {} | {} | {} | {} | {:.5} | {:.0} | {:.0} | {:.0} | {:.4} | {:.0} | {:.0} | {:.1} | {} | {} | {} | {}-{} |",
                row.span,
                row.seconds,
                row.changes,
                row.tries,
                ms(all.median, all.count),
                ms(all.p99, all.count),
                ms(all.worst, all.count),
                ms(steady.p99, steady.count),
                ms(steady.worst, steady.count),
                g.core,
                g.bytes_in,
                g.bytes_out,
                g.resident / 1024.0,
                m.core,
                m.bytes_in,
                m.bytes_out,
                m.resident / 1_048_576.0,
                row.links,
                row.wholes,
                row.turned_away,
                row.subscribers.0,
                row.subscribers.1,
            )?;
        }
        writeln!(text, "\n| span | measure | value | unit |\n| --- | --- | --- | --- |")?;
        for (row, measure) in self.rows.iter().flat_map(|row| row.measures.iter().map(move |m| (row, m))) {
            writeln!(text, "| {} | {} | {:.2} | {} |", row.span, measure.what, measure.value, measure.unit)?;
        }
        let v = &self.verdict;
        writeln!(
            text,
            "\nBreaks: {}. {} changes written, {} entries in force at {} holders, {} digests compared, {} changes lost with a disk that was set back, {} holders and regions not at the end.",
            v.broken(),
            v.written,
            v.in_force,
            v.holders,
            v.compared,
            v.lost_with_disk,
            v.unreached_count
        )?;
        for (kind, count) in &v.counts {
            writeln!(text, "- {kind:?}: {count}")?;
        }
        for found in v.breaks.iter().take(20) {
            writeln!(text, "  - {:?} at {}, {}: {}", found.kind, found.at, found.t, found.what)?;
        }
        for one in v.unreached.iter().take(10) {
            writeln!(
                text,
                "- {} holds region {} up to {:?}, last is {:?}",
                one.holder, one.region, one.held, one.last
            )?;
        }
        Ok(())
    }
}
