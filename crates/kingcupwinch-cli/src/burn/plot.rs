//! Plots burn rates over time.

use plotters::prelude::*;
use quick_error::quick_error;

use super::rate::RateSeries;
use super::window::WINDOW_PAIRS;

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (960, 480);

/// Minimum upper end of the rate axis, just above the fast threshold.
const MIN_Y_MAX: f64 = 16.0;

quick_error! {
    /// Error of the plot.
    #[derive(Debug, PartialEq)]
    pub enum PlotError {
        /// The plotting library failed.
        Draw(cause: String) {
            display("the plot can't be drawn: {cause}")
        }
    }
}

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for PlotError {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        PlotError::Draw(error.to_string())
    }
}

/// Draws the rates and the alert thresholds as an SVG document.
pub(crate) fn draw_svg(series: &[RateSeries]) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        draw(&area, series)?;
        area.present()?;
    }
    Ok(svg)
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    series: &[RateSeries],
) -> Result<(), PlotError> {
    area.fill(&WHITE)?;
    let points = || series.iter().flat_map(|s| &s.points);
    let end = points().map(|p| p.0).fold(1.0, f64::max);
    let y_max = points().map(|p| p.1 * 1.1).fold(MIN_Y_MAX, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(
            "Burn rate of the service-level objectives",
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end, 0.0..y_max)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the first scrape")
        .y_desc("burn rate over the short window")
        .draw()?;
    for pair in WINDOW_PAIRS {
        let line = [(0.0, pair.threshold), (end, pair.threshold)];
        chart
            .draw_series(LineSeries::new(line, BLACK.mix(0.4)))?
            .label(format!("{} threshold", pair.name))
            .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLACK.mix(0.4)));
    }
    let drawn = series.iter().filter(|item| !item.points.is_empty());
    for (i, item) in drawn.enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(
                item.points.iter().copied(),
                colour.stroke_width(2),
            ))?
            .label(&item.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    Ok(())
}
