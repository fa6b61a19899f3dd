//! Line charts as SVG files.

use std::path::Path;

use plotters::prelude::*;

use crate::Error;

/// A line of a chart.
pub struct Series {
    /// What it shows.
    pub name: &'static str,
    /// Its points; 0 to 1 upwards.
    pub points: Vec<(f64, f64)>,
}

/// Draws shares from 0 to 1 over numbers on a logarithmic scale.
pub fn shares(path: &Path, title: &str, across: &str, series: &[Series]) -> Result<(), Error> {
    let fail = |e: &dyn std::fmt::Display| Error::Chart(e.to_string());
    let numbers = series.iter().flat_map(|s| s.points.iter().map(|p| p.0));
    let most = numbers.fold(1.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, (760, 420)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| fail(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d((0.9..most).log_scale(), 0.0..1.0)
        .map_err(|e| fail(&e))?;
    chart
        .configure_mesh()
        .x_desc(across)
        .draw()
        .map_err(|e| fail(&e))?;
    for (number, line) in series.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let points = line.points.clone();
        chart
            .draw_series(LineSeries::new(points.clone(), colour.stroke_width(2)))
            .map_err(|e| fail(&e))?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        chart
            .draw_series(
                points
                    .into_iter()
                    .map(|point| Circle::new(point, 3, colour.filled())),
            )
            .map_err(|e| fail(&e))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| fail(&e))?;
    area.present().map_err(|e| fail(&e))
}
