//! Charts of bench results as SVG.

use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::SVGBackend;
use plotters::prelude::SeriesLabelPosition;
use plotters::style::BLACK;
use plotters::style::BLUE;
use plotters::style::Color;
use plotters::style::GREEN;
use plotters::style::MAGENTA;
use plotters::style::RED;
use plotters::style::WHITE;

/// Name and points of a line.
pub type Series = (String, Vec<(f64, f64)>);

/// Draws the lines with markers at their points. Both axes start at 0. `axis_labels` is for x and y.
pub fn draw(
    path: &Path,
    caption: &str,
    axis_labels: (&str, &str),
    series: &[Series],
) -> eyre::Result<()> {
    let points: Vec<(f64, f64)> = series.iter().flat_map(|s| s.1.iter().copied()).collect();
    let max_x = points.iter().map(|point| point.0).fold(1.0, f64::max);
    let max_y = points.iter().map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::new(path, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 20))
        .margin(15)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y * 1.2)?;
    chart.configure_mesh().x_desc(axis_labels.0).y_desc(axis_labels.1).draw()?;
    for ((name, points), colour) in series.iter().zip([BLUE, RED, GREEN, MAGENTA].iter().cycle()) {
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour))?
            .label(name)
            .legend(|(x, y)| Circle::new((x + 10, y), 4, colour.filled()));
        chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, colour.filled())))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
