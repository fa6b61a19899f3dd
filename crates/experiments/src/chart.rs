//! Draws line charts as SVG files.

use std::io;
use std::path::Path;

use plotters::chart::ChartBuilder;
use plotters::coord::combinators::IntoLogRange;
use plotters::drawing::{DrawingAreaErrorKind, IntoDrawingArea};
use plotters::element::{Circle, PathElement};
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::{Color, Palette, Palette99, BLACK, WHITE};

/// Width and height of a chart, in pixels.
const CHART_SIZE: [u32; 2] = [760, 420];
const TITLE_FONT_SIZE: u32 = 18;
/// Length of a line in the legend, in pixels.
const LEGEND_LINE_LENGTH: i32 = 18;
const LINE_WIDTH: u32 = 2;
const POINT_RADIUS: u32 = 3;

/// One line of a chart.
pub struct Series {
    /// The line's label in the legend.
    pub name: &'static str,
    /// The line's points, from left to right.
    pub points: Vec<Point>,
}

/// A point of a line.
#[derive(Clone, Copy)]
pub struct Point {
    /// A value of at least 1, on the logarithmic axis.
    pub x: f64,
    /// A share, from 0 to 1.
    pub y: f64,
}

/// Draws a chart of shares from 0 to 1 over a logarithmic axis, and writes it to an SVG file.
///
/// # Errors
///
/// An error of the drawing library if the chart cannot be drawn or the file cannot be written.
pub fn draw_shares(
    path: &Path,
    title: &str,
    x_label: &str,
    series: &[Series],
) -> Result<(), DrawingAreaErrorKind<io::Error>> {
    let numbers = series.iter().flat_map(|line| &line.points).map(|p| p.x);
    let x_end = numbers.fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, CHART_SIZE.into()).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", TITLE_FONT_SIZE))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((0.9..x_end).log_scale(), 0.0..1.0)?;
    chart.configure_mesh().x_desc(x_label).draw()?;
    for (index, line) in series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let points = || line.points.iter().map(|point| (point.x, point.y));
        chart
            .draw_series(LineSeries::new(points(), colour.stroke_width(LINE_WIDTH)))?
            .label(line.name)
            .legend(move |(x, y)| {
                let ends = [(x, y), (x + LEGEND_LINE_LENGTH, y)];
                PathElement::new(ends, colour.stroke_width(LINE_WIDTH))
            });
        chart
            .draw_series(points().map(|point| Circle::new(point, POINT_RADIUS, colour.filled())))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()
}
