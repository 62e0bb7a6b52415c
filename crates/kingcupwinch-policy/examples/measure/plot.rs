//! SVG plots of waiting time and packing over the load.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::driver::Figures;
use crate::scenario::{SchedulerKind, Variant};

const SIZE: (u32, u32) = (720, 420);
const COLOURS: [RGBColor; 3] = [
    RGBColor(0, 90, 160),
    RGBColor(200, 80, 0),
    RGBColor(90, 90, 90),
];
const LOADS: std::ops::Range<f64> = 45.0..155.0;

/// Draws the waiting time of urgent tasks and the packing of each site.
pub(crate) fn draw_all(folder: &Path, figures: &[Figures]) -> Result<(), Box<dyn Error>> {
    for site in ["riigi", "magnolia"] {
        let runs: Vec<&Figures> = figures
            .iter()
            .filter(|f| f.scenario.site.name == site && f.scenario.variant == Variant::Plain)
            .collect();
        if runs.is_empty() {
            continue;
        }
        draw_waiting(
            &folder.join(format!("policy-waiting-{site}.svg")),
            site,
            &runs,
        )?;
        draw_packing(
            &folder.join(format!("policy-packing-{site}.svg")),
            site,
            &runs,
        )?;
    }
    Ok(())
}

fn points(
    runs: &[&Figures],
    kind: SchedulerKind,
    value: impl Fn(&Figures) -> f64,
) -> Vec<(f64, f64)> {
    runs.iter()
        .filter(|f| f.scenario.kind == kind)
        .map(|f| (f64::from(f.scenario.load), value(f)))
        .collect()
}

fn urgent_wait(figures: &Figures) -> f64 {
    let urgent = figures.streams.iter().find(|s| s.urgent);
    urgent.map_or(0.0, |s| s.wait(0.99).as_secs_f64() * 1e3)
}

fn draw_waiting(path: &Path, site: &str, runs: &[&Figures]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{site}: urgent waiting, p99"), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(LOADS, (0.5f64..1e6).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("offered load, % of capacity")
        .y_desc("ms")
        .draw()?;
    for (kind, colour) in SchedulerKind::ALL.into_iter().zip(COLOURS) {
        let line = points(runs, kind, urgent_wait);
        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)).point_size(3))?
            .label(kind.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

fn draw_packing(path: &Path, site: &str, runs: &[&Figures]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{site}: useful packing"), ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(LOADS, 0.0..100.0)?;
    chart
        .configure_mesh()
        .x_desc("offered load, % of capacity")
        .y_desc("% of paid capacity")
        .draw()?;
    for (kind, colour) in SchedulerKind::ALL.into_iter().zip(COLOURS) {
        let line = points(runs, kind, |f| 100.0 * f.useful);
        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(2)).point_size(3))?
            .label(kind.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
