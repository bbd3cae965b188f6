//! Plots the service of each organisation over time, and below it the fairness gap.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::report::Report;

/// The width and height of the plot, in pixels.
const SIZE: (u32, u32) = (1_000, 800);

/// The height of the upper chart, which shows the service, in pixels.
const SERVICE_HEIGHT: u32 = 500;

/// The width of the label area of the y axis, in pixels. That of the x axis is half as high.
const LABEL_AREA_SIZE: u32 = 60;

/// The maximum number of organisations in the legend.
const LEGEND_MAX: usize = 20;

/// The drawing area of the plot or of one chart.
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// The series of one chart, each with its name.
struct Series {
    title: &'static str,
    unit: &'static str,
    series: Vec<(String, Vec<f64>)>,
}

/// Writes the plot as an SVG file.
///
/// # Errors
///
/// Fails with an error text if the file cannot be written.
pub(super) fn write(report: &Report, file: &Path) -> Result<(), String> {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    draw(report, &root).map_err(|err| err.to_string())
}

fn draw(report: &Report, root: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(SERVICE_HEIGHT);
    let times: Vec<f64> = report
        .samples
        .iter()
        .map(|s| s.at_ms as f64 / 1_000.0)
        .collect();
    let series = report
        .organisations
        .iter()
        .enumerate()
        .map(|(n, organisation)| {
            let values = report.samples.iter().map(|sample| sample.service[n]);
            (organisation.name.clone(), values.collect())
        });
    let service = Series {
        title: "Service by organisation, divided by its weight",
        unit: "tokens",
        series: series.collect(),
    };
    let gap = Series {
        title: "Gap between backlogged organisations",
        unit: "tokens",
        series: vec![(
            "gap".to_owned(),
            report.samples.iter().map(|s| s.gap).collect(),
        )],
    };
    chart(&upper, &times, &service)?;
    chart(&lower, &times, &gap)?;
    root.present()?;
    Ok(())
}

fn chart(
    area: &Area<'_>,
    times: &[f64],
    series: &Series,
) -> Result<(), Box<dyn std::error::Error>> {
    let end = times.last().copied().unwrap_or(1.0).max(0.1);
    let values = series.series.iter().flat_map(|(_, values)| values);
    let top = values.copied().fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(series.title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(LABEL_AREA_SIZE / 2)
        .y_label_area_size(LABEL_AREA_SIZE)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(series.unit)
        .draw()?;
    for (n, (name, values)) in series.series.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let points = times.iter().copied().zip(values.iter().copied());
        let drawn = chart.draw_series(LineSeries::new(points, &colour))?;
        if n < LEGEND_MAX {
            drawn
                .label(name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], colour));
        }
    }
    if series.series.len() > 1 {
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .border_style(BLACK)
            .background_style(WHITE.mix(0.8))
            .draw()?;
    }
    Ok(())
}
