//! The table of a report.

use std::fmt::Write as _;

use super::{Entry, Report};
use crate::fit::{Breaks, Form};

/// Three significant digits, thousands set apart; whole numbers below 1,000 as they are.
pub fn figure(x: f64) -> String {
    if !x.is_finite() {
        return x.to_string();
    }
    if x == 0.0 || x.fract() == 0.0 && x.abs() < 1000.0 {
        return format!("{x:.0}");
    }
    let digits = x.abs().log10().floor() as i32;
    if digits < 2 {
        return format!("{x:.*}", usize::try_from(2 - digits).unwrap_or(0));
    }
    let unit = 10_f64.powi(digits - 2);
    let whole = format!("{:.0}", ((x / unit).round() * unit).abs());
    let mut text = String::from(if x < 0.0 { "-" } else { "" });
    for (at, digit) in whole.chars().enumerate() {
        if at > 0 && (whole.len() - at).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

fn form(form: Form) -> String {
    match form {
        Form::Line { fixed: 0.0, slope } => format!("{} x", figure(slope)),
        Form::Line { fixed, slope } => {
            let sign = if slope < 0.0 { '-' } else { '+' };
            format!("{} {sign} {} x", figure(fixed), figure(slope.abs()))
        }
        Form::Power { factor, exponent } => format!("{} x^{exponent:.2}", figure(factor)),
    }
}

fn breaks(entry: &Entry) -> (String, String) {
    let part = entry.part().map_or("-".into(), |p| if p.is_finite() { figure(p) } else { "-".into() });
    let at = match entry.fit.and_then(|f| f.breaks) {
        None => "-".into(),
        Some(Breaks::Never) => "never".into(),
        Some(Breaks::At(size)) => figure(size),
        Some(Breaks::BelowFirst) => {
            format!("below {}", entry.points.first().map_or("-".into(), |p| figure(p.0)))
        }
    };
    (at, part)
}

fn line(entry: &Entry) -> String {
    let point =
        |p: Option<&(f64, f64)>| p.map_or("-".into(), |p| format!("{}: {}", figure(p.0), figure(p.1)));
    let (fit, worst, there) = match entry.fit {
        Some(fit) => (form(fit.form), format!("{:.1} %", 100.0 * fit.worst), figure(fit.value_at)),
        None => ("none".into(), "-".into(), "-".into()),
    };
    let (at, part) = breaks(entry);
    let name = if entry.taken.look { format!("{} (a look)", entry.name) } else { entry.name.clone() };
    let role = format!("{:?}", entry.role);
    let cells = [
        name,
        role,
        entry.of.clone(),
        entry.cost.clone(),
        point(entry.points.first()),
        point(entry.points.last()),
        fit,
        worst,
        figure(entry.at),
        there,
        entry.budget.map_or("-".into(), figure),
        at,
        part,
    ];
    format!("| {} |", cells.join(" | "))
}

const HEAD: [&str; 13] = [
    "row",
    "role",
    "x",
    "cost",
    "smallest",
    "largest",
    "fit",
    "worst residual",
    "coming x",
    "cost there, by the fit",
    "budget",
    "breaks at",
    "part of coming x",
];

pub(super) fn markdown(report: &Report) -> String {
    let mut text = String::from("# Slopes of cost\n\nWhat breaks first stands first.\n\n");
    let _ = writeln!(text, "| {} |\n|{}", HEAD.join(" | "), " --- |".repeat(HEAD.len()));
    for entry in &report.rows {
        let _ = writeln!(text, "{}", line(entry));
    }
    text.push_str("\n## How each was taken\n\n");
    for entry in &report.rows {
        let taken = &entry.taken;
        let load = taken.load.map_or("unknown".to_owned(), |load| format!("{load:.1}"));
        let _ = writeln!(
            text,
            "- `{}`: {} Taken at {} s since 1970 on {} cores, load {load} as it began: `{}`.",
            entry.name, entry.how, taken.date, taken.cores, taken.command
        );
        if let Some(why) = &entry.no_fit {
            let _ = writeln!(text, "  No fit: {why}.");
        }
    }
    if !report.failed.is_empty() {
        text.push_str(
            "\n## Failed\n\nThe last run of these came to nothing; rows of theirs above are of before.\n\n",
        );
        for failed in &report.failed {
            let _ = writeln!(text, "- `{}`: {} (`{}`)", failed.measure, failed.why, failed.taken.command);
        }
    }
    text
}
