//! Charts of bench results as SVG.

use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::SVGBackend;
use plotters::style::BLUE;
use plotters::style::Color;
use plotters::style::RED;
use plotters::style::WHITE;

/// Draws points and the line through them, from the origin, with the names of both axes.
pub fn draw(
    path: &Path,
    caption: &str,
    axes: (&str, &str),
    points: &[(f64, f64)],
) -> eyre::Result<()> {
    let most_x = points.iter().map(|point| point.0).fold(1.0, f64::max);
    let most_y = points.iter().map(|point| point.1).fold(1.0, f64::max);
    let area = SVGBackend::new(path, (800, 500)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 20))
        .margin(15)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..most_x * 1.05, 0.0..most_y * 1.2)?;
    chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw()?;
    chart.draw_series(LineSeries::new(points.iter().copied(), &BLUE))?;
    chart.draw_series(points.iter().map(|point| Circle::new(*point, 4, RED.filled())))?;
    area.present()?;
    Ok(())
}
