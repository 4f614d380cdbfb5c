//! The chart of a report: one line a row that has a budget.

use plotters::coord::Shift;
use plotters::prelude::*;

use super::{Entry, Report};

const SIZE: (u32, u32) = (1100, 640);
const COLOURS: [RGBColor; 10] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
    RGBColor(227, 119, 194),
    RGBColor(23, 190, 207),
    RGBColor(188, 189, 34),
    RGBColor(60, 60, 60),
];
const GREY: RGBColor = RGBColor(160, 160, 160);

/// A row as it is drawn: sizes and costs as parts of the coming size and of the budget.
struct Line {
    name: String,
    measured: Vec<(f64, f64)>,
    /// From the largest size on, by the fit.
    ahead: Vec<(f64, f64)>,
}

fn line(entry: &Entry) -> Option<Line> {
    let budget = entry.budget.filter(|b| *b > 0.0)?;
    let scaled = |(size, cost): (f64, f64)| (size / entry.at, cost / budget);
    // A cost of nought has no place on this scale.
    let measured: Vec<_> = entry.points.iter().copied().filter(|p| p.1 > 0.0).map(scaled).collect();
    let last = entry.points.last()?.0;
    let mut ahead = Vec::new();
    if let Some(fit) = entry.fit
        && last < entry.at
    {
        const STEPS: i32 = 32;
        let size = |step: i32| last * (entry.at / last).powf(f64::from(step) / f64::from(STEPS));
        let all = (0..=STEPS).map(|step| (size(step), fit.form.value(size(step))));
        ahead.extend(all.filter(|p| p.1 > 0.0).map(scaled));
    }
    Some(Line { name: entry.name.clone(), measured, ahead })
}

pub(super) fn chart(report: &Report) -> Result<String, String> {
    let lines: Vec<Line> = report.rows.iter().filter_map(line).collect();
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        draw(&area, &lines).map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(text)
}

fn draw<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error + 'a>> {
    area.fill(&WHITE)?;
    let points = || lines.iter().flat_map(|l| l.measured.iter().chain(&l.ahead));
    let (left, right) = points().fold((0.1, 1.0), |(l, r), p| (f64::min(l, p.0), f64::max(r, p.0)));
    let (low, high) = points().fold((0.1, 1.0), |(l, h), p| (f64::min(l, p.1), f64::max(h, p.1)));
    let (left, right, low, high) = (left * 0.8, right * 1.5, low * 0.7, high * 1.6);
    let mut chart = ChartBuilder::on(area)
        .caption("cost against budget, by size against the size that is coming", ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(72)
        .build_cartesian_2d((left..right).log_scale(), (low..high).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("part of the coming size; thin: by the fit")
        .y_desc("part of the budget")
        .light_line_style(WHITE)
        .draw()?;
    chart.draw_series(LineSeries::new([(left, 1.0), (right, 1.0)], GREY.stroke_width(2)))?;
    chart.draw_series(LineSeries::new([(1.0, low), (1.0, high)], GREY.stroke_width(2)))?;
    for (line, colour) in lines.iter().zip(COLOURS.iter().cycle()) {
        let colour = *colour;
        chart
            .draw_series(LineSeries::new(line.measured.iter().copied(), colour.stroke_width(2)))?
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        chart.draw_series(line.measured.iter().map(|p| Circle::new(*p, 3, colour.filled())))?;
        chart.draw_series(LineSeries::new(line.ahead.iter().copied(), colour.stroke_width(1)))?;
    }
    if lines.is_empty() {
        return Ok(());
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(RGBColor(200, 200, 200))
        .position(SeriesLabelPosition::UpperLeft)
        .draw()?;
    Ok(())
}
