//! The plots of a day.

use crate::report::series::{Series, SAMPLES};
use plotters::drawing::DrawingAreaErrorKind;
use plotters::prelude::*;

const SIZE: (u32, u32) = (760, 260);
const BLUE: RGBColor = RGBColor(31, 119, 180);
const RED: RGBColor = RGBColor(214, 39, 40);

fn last(series: &Series) -> f64 {
    series.seconds.last().copied().unwrap_or(1.0).max(1.0)
}

/// A plot as SVG.
pub(super) type Drawn = Result<String, DrawingAreaErrorKind<std::io::Error>>;

/// All servers as bands: the fullest and the emptiest, the nine in ten between, the half.
pub(super) fn bands(series: &Series) -> Drawn {
    let mut text = String::new();
    {
        let at = |sample: usize| {
            let mut all: Vec<f64> = series.fill.iter().filter_map(|it| it[sample]).collect();
            all.sort_by(f64::total_cmp);
            move |part: f64| {
                let ix = ((all.len() as f64 * part) as usize).min(all.len().saturating_sub(1));
                all.get(ix).copied().unwrap_or(0.0)
            }
        };
        let of = |part: f64| -> Vec<(f64, f64)> {
            series.seconds.iter().enumerate().map(|(ix, second)| (*second, at(ix)(part))).collect()
        };
        let top = of(1.0).iter().map(|it| it.1).fold(0.1, f64::max) * 1.08;
        let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(
                "asked over what the link gives: fullest and emptiest, nine in ten, half",
                ("sans-serif", 14),
            )
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..last(series), 0.0..top)?;
        chart.configure_mesh().x_labels(8).y_labels(5).light_line_style(WHITE).draw()?;
        for (low, high, strength) in [(0.0, 1.0, 0.15), (0.05, 0.95, 0.3)] {
            let ring: Vec<(f64, f64)> = of(high).into_iter().chain(of(low).into_iter().rev()).collect();
            chart.draw_series([Polygon::new(ring, BLUE.mix(strength))])?;
        }
        chart.draw_series(LineSeries::new(of(0.5), BLUE.stroke_width(2)))?;
        root.present()?;
    }
    Ok(text)
}

/// Server by time; the darker, the fuller, red past its link.
pub(super) fn heat(series: &Series) -> Drawn {
    let mut text = String::new();
    {
        let root = SVGBackend::with_string(&mut text, (SIZE.0, SIZE.1 + 140)).into_drawing_area();
        root.fill(&WHITE)?;
        let count = series.fill.len().max(1) as f64;
        let mut chart = ChartBuilder::on(&root)
            .caption("each server over time: the darker the fuller, red past its link", ("sans-serif", 14))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..last(series), 0.0..count)?;
        chart.configure_mesh().x_labels(8).y_labels(5).disable_mesh().draw()?;
        // A cell of the map stands for a few samples, so that the page stays small.
        let several = (SAMPLES / 60).max(1);
        let cells = series.fill.iter().enumerate().flat_map(|(ix, row)| {
            row.chunks(several).enumerate().filter_map(move |(at, some)| {
                let known: Vec<f64> = some.iter().flatten().copied().collect();
                let fill = known.iter().sum::<f64>() / known.len().max(1) as f64;
                let from = series.seconds.get(at * several)?;
                let until = series.seconds.get((at + 1) * several).copied().unwrap_or(last(series));
                let colour = if fill > 1.02 { RED.mix(0.9) } else { BLUE.mix(fill.clamp(0.0, 1.0)) };
                let corners = [(*from, ix as f64), (until, ix as f64 + 1.0)];
                (!known.is_empty()).then(|| Rectangle::new(corners, colour.filled()))
            })
        });
        chart.draw_series(cells)?;
        root.present()?;
    }
    Ok(text)
}

pub(super) fn herd(series: &Series) -> Drawn {
    let mut text = String::new();
    {
        let points: Vec<(f64, f64)> =
            series.seconds.iter().copied().zip(series.herd.iter().copied()).collect();
        let top = points.iter().map(|it| it.1).fold(2.0, f64::max) * 1.08;
        let root = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption("herd index of each second, equal parts assumed (chance: 1)", ("sans-serif", 14))
            .margin(6)
            .x_label_area_size(24)
            .y_label_area_size(46)
            .build_cartesian_2d(0.0..last(series), 0.0..top)?;
        chart.configure_mesh().x_labels(8).y_labels(5).light_line_style(WHITE).draw()?;
        chart.draw_series(LineSeries::new(points, RED.stroke_width(1)))?;
        chart.draw_series(LineSeries::new([(0.0, 1.0), (last(series), 1.0)], BLACK.mix(0.5)))?;
        root.present()?;
    }
    Ok(text)
}
