//! Charts of a run, as SVG.

use std::path::{Path, PathBuf};

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::behaviour::End;
use crate::meter::{Results, Second};
use crate::report::word;

/// A chart that could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{0}: {1}")]
pub struct ChartError(PathBuf, String);

const SIZE: (u32, u32) = (900, 420);

/// A line: its name, colour and points.
type Line = (String, RGBColor, Vec<(f64, f64)>);

/// Draws `latency.svg`, `percentiles.svg`, `answers.svg` and `worth.svg` into a folder.
///
/// # Errors
/// A file that cannot be written.
pub fn charts(r: &Results, dir: &Path) -> Result<(), ChartError> {
    let of = |value: fn(&Second) -> f64| -> Vec<(f64, f64)> {
        r.seconds.iter().map(|s| (s.second as f64, value(s))).collect()
    };
    let latency: Vec<Line> = vec![
        ("max".into(), RED, of(|s| s.latency.max as f64 / 1000.0)),
        ("p99".into(), RGBColor(230, 140, 0), of(|s| s.latency.p99 as f64 / 1000.0)),
        ("p50".into(), BLUE, of(|s| s.latency.p50 as f64 / 1000.0)),
    ];
    draw(
        dir,
        "latency.svg",
        "latency of what was served, from the intended time",
        ("second", "ms"),
        &latency,
        true,
    )?;
    let nines = |p: f64| if p >= 100.0 { 4.0 } else { -(1.0 - p / 100.0).log10() };
    let curve = r.percentiles.iter().map(|(p, us)| (nines(*p), *us as f64 / 1000.0)).collect();
    let curve: Vec<Line> = vec![("served".into(), BLUE, curve)];
    draw(
        dir,
        "percentiles.svg",
        "latency by percentile",
        ("nines: 1 is p90, 2 is p99, 3 is p99.9", "ms"),
        &curve,
        true,
    )?;
    let colours = [
        (End::Served, GREEN),
        (End::Refused, RGBColor(230, 140, 0)),
        (End::Failed, RED),
        (End::GaveUp, MAGENTA),
        (End::Lost, BLACK),
        (End::NotOffered, CYAN),
    ];
    let mut answers: Vec<Line> = vec![("wanted".into(), RGBColor(160, 160, 160), of(|s| s.wanted as f64))];
    for (end, colour) in colours {
        let points =
            r.seconds.iter().map(|s| (s.second as f64, s.ends.get(&end).copied().unwrap_or(0) as f64));
        if r.ends.contains_key(&end) {
            answers.push((word(end).replace('_', " "), colour, points.collect()));
        }
    }
    draw(dir, "answers.svg", "ends by kind", ("second", "commands a second"), &answers, false)?;
    let worth: Vec<Line> = vec![
        ("due".into(), RGBColor(160, 160, 160), of(|s| s.worth_due)),
        ("earned".into(), BLUE, of(|s| s.worth)),
    ];
    draw(dir, "worth.svg", "worth, by the second it was wanted", ("second", "worth"), &worth, false)
}

fn draw(
    dir: &Path,
    name: &str,
    title: &str,
    axes: (&str, &str),
    lines: &[Line],
    logarithmic: bool,
) -> Result<(), ChartError> {
    let path = dir.join(name);
    let area = SVGBackend::new(&path, SIZE).into_drawing_area();
    let drawn = area.fill(&WHITE).map_err(|e| e.to_string()).and_then(|()| {
        let points = || lines.iter().flat_map(|l| l.2.iter());
        let right = points().map(|p| p.0).fold(1.0, f64::max);
        let top = points().map(|p| p.1).fold(0.0, f64::max).max(0.001) * 1.15;
        if logarithmic {
            let least = points().map(|p| p.1).filter(|y| *y > 0.0).fold(top, f64::min);
            on_log(&area, title, axes, lines, right, (least * 0.8, top * 1.2))
        } else {
            on_plain(&area, title, axes, lines, right, top)
        }
        .map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())
    });
    drawn.map_err(|why| ChartError(path.clone(), why))
}

/// Draws the mesh, the lines and the key on a chart whose axes are set.
macro_rules! finish {
    ($chart:expr, $axes:expr, $lines:expr, $keep:expr) => {{
        $chart.configure_mesh().x_desc($axes.0).y_desc($axes.1).light_line_style(WHITE).draw()?;
        for (name, colour, points) in $lines {
            let colour = *colour;
            let kept = points.iter().copied().filter($keep);
            $chart
                .draw_series(LineSeries::new(kept, colour.stroke_width(2)))?
                .label(name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        $chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(RGBColor(200, 200, 200))
            .position(SeriesLabelPosition::UpperRight)
            .draw()?;
        Ok(())
    }};
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Drawn<'a> = Result<(), Box<dyn std::error::Error + 'a>>;

fn on_plain<'a>(
    area: &Area<'a>,
    title: &str,
    axes: (&str, &str),
    lines: &[Line],
    right: f64,
    top: f64,
) -> Drawn<'a> {
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    finish!(chart, axes, lines, |_: &(f64, f64)| true)
}

/// Seconds without a value are left out.
fn on_log<'a>(
    area: &Area<'a>,
    title: &str,
    axes: (&str, &str),
    lines: &[Line],
    right: f64,
    (least, most): (f64, f64),
) -> Drawn<'a> {
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, (least..most).log_scale())?;
    finish!(chart, axes, lines, |p: &(f64, f64)| p.1 > 0.0)
}
